//! The record of a run: what was sent, answered and run, and where the rule was broken.

use std::collections::HashSet;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    state: Mutex<State>,
}

struct State {
    file: File,
    broken: usize,
    /// Tenants that are isolated by the configuration in force, once it must be in force.
    isolated: HashSet<String>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            state: Mutex::new(State {
                file: File::create(path)?,
                broken: 0,
                isolated: HashSet::new(),
            }),
        })
    }

    pub fn line(&self, text: &str) {
        let mut state = self.state.lock().unwrap();
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(state.file, "{at:9.3} {text}");
    }

    /// Records a line, and prints it.
    pub fn step(&self, text: &str) {
        println!("{:9.3} {text}", self.started.elapsed().as_secs_f64());
        self.line(text);
    }

    /// Records that the rule was broken.
    pub fn broken(&self, text: &str) {
        self.state.lock().unwrap().broken += 1;
        self.step(&format!("BROKEN {text}"));
    }

    pub fn breaks(&self) -> usize {
        self.state.lock().unwrap().broken
    }

    pub fn isolate(&self, tenant: &str) {
        self.state
            .lock()
            .unwrap()
            .isolated
            .insert(tenant.to_owned());
    }

    /// Checks a use of KV cache that another request made.
    pub fn on_cache_use(
        &self,
        id: &str,
        tenant: &str,
        maker: &str,
        owner: &str,
        part: &str,
        place: &str,
    ) {
        self.line(&format!(
            "{id} ({tenant}) uses {part} in {place}, made by {maker} ({owner})"
        ));
        let is_walled = {
            let state = self.state.lock().unwrap();
            tenant != owner && (state.isolated.contains(tenant) || state.isolated.contains(owner))
        };
        if is_walled {
            self.broken(&format!(
                "{id} of {tenant} uses {part} in {place}, which {maker} of {owner} made"
            ));
        }
    }
}
