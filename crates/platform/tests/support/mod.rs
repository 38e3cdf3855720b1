//! An in-memory platform; tests choose the order of its operations and inject a fault into each.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

use platform::config::{Failure, Head, Outcome, Record, propose, record_key};
use platform::{Commit, Error, Objects, Row, Table, Write};
use types::{Verdict, Version};

thread_local! {
    static FAULT: RefCell<Fault> = const { RefCell::new(Fault::None) };
}

/// The fault that is injected into an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The operation never reaches the platform, and the caller knows.
    Unreachable,
    /// The operation takes effect; the response is lost.
    AnswerLost,
    /// The request is lost; the caller cannot tell this from a lost response.
    RequestLost,
    /// A write takes effect only after the next operation.
    Delayed,
    /// A write takes effect after all operations.
    AfterAll,
    /// The transport sends a write twice and returns the second response.
    Duplicated,
    /// The stored object is corrupted.
    Corrupt,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Vec<u8>>,
    version: u64,
    delayed: Vec<Vec<Write>>,
    after_all: Vec<Vec<Write>>,
}

#[derive(Debug, Clone, Default)]
pub struct Fake(Arc<Mutex<State>>);

/// Yields to the scheduler before an operation and returns the fault that it chose.
async fn next_fault() -> Fault {
    let mut waited = false;
    poll_fn(|_| match std::mem::replace(&mut waited, true) {
        false => Poll::Pending,
        true => Poll::Ready(()),
    })
    .await;
    FAULT.replace(Fault::None)
}

fn request_error() -> reqwest::Error {
    let request = reqwest::Client::new().get("not an address").build();
    request.expect_err("the address is malformed")
}

impl State {
    fn commit(&mut self, writes: &[Write]) -> Commit {
        let version = |write: &Write| self.rows.get(&write.key).map_or(0, |row| row.version);
        if let Some(write) = writes.iter().find(|write| version(write) != write.expect) {
            return Commit::Conflict(write.key.clone());
        }
        let mut versions = Vec::new();
        for write in writes {
            self.version += 1;
            let (key, version) = (write.key.clone(), self.version);
            versions.push(version);
            match write.value.clone() {
                Some(value) => drop(self.rows.insert(
                    key.clone(),
                    Row {
                        key,
                        version,
                        value,
                    },
                )),
                None => drop(self.rows.remove(&key)),
            }
        }
        Commit::Applied(versions)
    }
}

impl Fake {
    /// Runs one operation with its fault, and then the delayed writes of earlier operations.
    async fn step<Output>(
        &self,
        run: impl FnOnce(&mut State, Fault) -> Output,
    ) -> Result<Output, Error> {
        let fault = next_fault().await;
        let mut state = self.0.lock().unwrap();
        let delayed = std::mem::take(&mut state.delayed);
        let result = match fault {
            Fault::Unreachable => Err(Error::Unreachable(request_error())),
            Fault::RequestLost => Err(Error::Lost(request_error())),
            Fault::AnswerLost | Fault::Delayed | Fault::AfterAll => {
                run(&mut state, fault);
                Err(Error::Lost(request_error()))
            }
            Fault::None | Fault::Duplicated | Fault::Corrupt => Ok(run(&mut state, fault)),
        };
        for writes in delayed {
            state.commit(&writes);
        }
        result
    }

    /// Applies all delayed writes and returns the head and all records.
    pub fn deliver_late_writes(&self) -> (Head, Vec<Record>) {
        let mut state = self.0.lock().unwrap();
        let delayed = std::mem::take(&mut state.delayed);
        let after_all = std::mem::take(&mut state.after_all);
        for writes in delayed.into_iter().chain(after_all) {
            state.commit(&writes);
        }
        let head = state.rows.get("config/head");
        let head: Head = head.map_or(Head::default(), |row| {
            serde_json::from_value(row.value.clone()).unwrap()
        });
        let records = (1..=head.version.0).map(|version| {
            serde_json::from_value(state.rows[&record_key(Version(version))].value.clone()).unwrap()
        });
        (head.clone(), records.collect())
    }

    /// Returns the accepted version without applying delayed writes.
    pub fn accepted_version(&self) -> Version {
        let state = self.0.lock().unwrap();
        state.rows.get("config/head").map_or(Version(0), |row| {
            serde_json::from_value::<Head>(row.value.clone())
                .unwrap()
                .version
        })
    }

    /// Corrupts a stored object.
    pub fn corrupt(&self, object: &str) {
        self.0
            .lock()
            .unwrap()
            .objects
            .insert(object.to_owned(), b"other".to_vec());
    }

    /// Removes a stored object.
    pub fn remove(&self, object: &str) {
        self.0.lock().unwrap().objects.remove(object);
    }
}

impl Table for Fake {
    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        self.step(|state, _| state.rows.get(key).cloned()).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let matching = |state: &mut State| -> Vec<Row> {
            let rows = state
                .rows
                .values()
                .filter(|row| row.key.starts_with(prefix));
            rows.cloned().collect()
        };
        self.step(|state, _| matching(state)).await
    }

    async fn commit(&self, writes: &[Write]) -> Result<Commit, Error> {
        self.step(|state, fault| {
            match fault {
                Fault::Delayed => state.delayed.push(writes.to_vec()),
                Fault::AfterAll => state.after_all.push(writes.to_vec()),
                Fault::Duplicated => {
                    state.commit(writes);
                    return state.commit(writes);
                }
                _ => return state.commit(writes),
            }
            Commit::Applied(Vec::new())
        })
        .await
    }
}

impl Objects for Fake {
    async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        self.step(|state, _| state.objects.get(name).cloned()).await
    }

    async fn put_object(&self, name: &str, bytes: Vec<u8>) -> Result<(), Error> {
        self.step(|state, fault| {
            let bytes = if fault == Fault::Corrupt {
                b"other".to_vec()
            } else {
                bytes
            };
            state.objects.insert(name.to_owned(), bytes);
        })
        .await
    }
}

/// The result that an operator gets in the end.
#[derive(Debug, PartialEq, Eq)]
pub enum Report {
    Accepted(Version),
    Conflict(Version),
    NotRun,
    Unknown,
}

/// Acts as an operator that retries a proposal until it succeeds, with at most `calls` calls.
pub async fn operate(fake: Fake, name: String, base: Version, calls: u32) -> Report {
    let record = Record {
        version: Version(0),
        change: name.clone(),
        who: name.clone(),
        why: String::new(),
        when: 0,
        digest: String::new(),
    };
    let text = format!("# {name}");
    let mut verdict = Verdict::NotRun;
    for _ in 0..calls {
        match propose(&fake, base, &text, record.clone()).await {
            Ok(Outcome::Accepted(version)) => return Report::Accepted(version),
            Ok(Outcome::Conflict(version)) => return Report::Conflict(version),
            Err(Failure { verdict: later, .. }) => verdict = verdict.combine(later),
        }
    }
    match verdict {
        Verdict::NotRun => Report::NotRun,
        _ => Report::Unknown,
    }
}

pub type Task<Output> = Pin<Box<dyn Future<Output = Output>>>;

/// Runs tasks step by step; `choose` picks a running task and the fault of its operation.
pub fn run<Output>(
    mut tasks: Vec<Task<Output>>,
    mut choose: impl FnMut(&[usize]) -> (usize, Fault),
) -> Vec<Output> {
    let mut outputs: Vec<Option<Output>> = tasks.iter().map(|_| None).collect();
    let mut context = Context::from_waker(Waker::noop());
    // The first poll runs each task up to its first operation.
    for (task, output) in tasks.iter_mut().zip(&mut outputs) {
        if let Poll::Ready(value) = task.as_mut().poll(&mut context) {
            *output = Some(value);
        }
    }
    loop {
        let running: Vec<usize> = (0..tasks.len())
            .filter(|&task| outputs[task].is_none())
            .collect();
        if running.is_empty() {
            return outputs.into_iter().flatten().collect();
        }
        let (task, fault) = choose(&running);
        FAULT.set(fault);
        if let Poll::Ready(value) = tasks[task].as_mut().poll(&mut context) {
            outputs[task] = Some(value);
        }
    }
}

/// Runs a future without faults.
pub fn run_without_faults<Output>(future: impl Future<Output = Output>) -> Output {
    let mut future = pin!(future);
    let mut context = Context::from_waker(Waker::noop());
    loop {
        FAULT.set(Fault::None);
        if let Poll::Ready(value) = future.as_mut().poll(&mut context) {
            return value;
        }
    }
}
