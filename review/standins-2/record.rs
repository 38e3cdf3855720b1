//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A shared log with times in seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    inner: Arc<Mutex<BufWriter<File>>>,
    started: Instant,
}

impl Record {
    pub fn open(folder: &str) -> Self {
        let path = std::path::Path::new(folder).join("record.txt");
        let file = match File::create(&path) {
            Ok(file) => file,
            Err(error) => {
                eprintln!("record.txt cannot be written: {error}");
                std::process::exit(2);
            }
        };
        Self {
            inner: Arc::new(Mutex::new(BufWriter::new(file))),
            started: Instant::now(),
        }
    }

    /// Returns the seconds since the start of the case.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at = self.seconds();
        if let Ok(mut file) = self.inner.lock() {
            let _ = writeln!(file, "{at:9.3} s  {text}");
        }
    }

    pub fn finish(&self) {
        if let Ok(mut file) = self.inner.lock() {
            let _ = file.flush();
        }
    }
}
