//! An in-memory platform whose steps and faults a test chooses one by one.

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

/// What happens to one operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The operation never reaches the platform, and the caller knows.
    Unreachable,
    /// The operation takes effect; the answer is lost.
    AnswerLost,
    /// The operation is lost on its way; the caller cannot tell.
    RequestLost,
    /// A write takes effect only after the operation that comes next.
    Late,
    /// A write takes effect after everything else.
    Last,
    /// The transport sends a write twice and returns the second answer.
    Twice,
    /// An object is changed at rest.
    Corrupt,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Vec<u8>>,
    version: u64,
    late: Vec<Vec<Write>>,
    last: Vec<Vec<Write>>,
}

#[derive(Debug, Clone, Default)]
pub struct Fake(Arc<Mutex<State>>);

/// Gives the scheduler a turn before each operation.
async fn turn() -> Fault {
    let mut waited = false;
    poll_fn(|_| match std::mem::replace(&mut waited, true) {
        false => Poll::Pending,
        true => Poll::Ready(()),
    })
    .await;
    FAULT.replace(Fault::None)
}

fn broken() -> reqwest::Error {
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
    /// Runs one operation under a fault; late writes of earlier operations come after it.
    async fn step<Output>(
        &self,
        run: impl FnOnce(&mut State, Fault) -> Output,
    ) -> Result<Output, Error> {
        let fault = turn().await;
        let mut state = self.0.lock().unwrap();
        let late = std::mem::take(&mut state.late);
        let result = match fault {
            Fault::Unreachable => Err(Error::Unreachable(broken())),
            Fault::RequestLost => Err(Error::Lost(broken())),
            Fault::AnswerLost | Fault::Late | Fault::Last => {
                run(&mut state, fault);
                Err(Error::Lost(broken()))
            }
            Fault::None | Fault::Twice | Fault::Corrupt => Ok(run(&mut state, fault)),
        };
        for writes in late {
            state.commit(&writes);
        }
        result
    }

    /// Lets late writes arrive and returns the head with all records.
    pub fn settle(&self) -> (Head, Vec<Record>) {
        let mut state = self.0.lock().unwrap();
        let late = std::mem::take(&mut state.late);
        let last = std::mem::take(&mut state.last);
        for writes in late.into_iter().chain(last) {
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

    /// Returns the accepted version without letting late writes arrive.
    pub fn peek(&self) -> Version {
        let state = self.0.lock().unwrap();
        state.rows.get("config/head").map_or(Version(0), |row| {
            serde_json::from_value::<Head>(row.value.clone())
                .unwrap()
                .version
        })
    }

    /// Changes an object at rest.
    pub fn corrupt(&self, object: &str) {
        self.0
            .lock()
            .unwrap()
            .objects
            .insert(object.to_owned(), b"other".to_vec());
    }

    /// Loses an object.
    pub fn remove(&self, object: &str) {
        self.0.lock().unwrap().objects.remove(object);
    }
}

impl Table for Fake {
    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        self.step(|state, _| state.rows.get(key).cloned()).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let fits = |state: &mut State| -> Vec<Row> {
            let rows = state
                .rows
                .values()
                .filter(|row| row.key.starts_with(prefix));
            rows.cloned().collect()
        };
        self.step(|state, _| fits(state)).await
    }

    async fn commit(&self, writes: &[Write]) -> Result<Commit, Error> {
        self.step(|state, fault| {
            match fault {
                Fault::Late => state.late.push(writes.to_vec()),
                Fault::Last => state.last.push(writes.to_vec()),
                Fault::Twice => {
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

/// What an operator was told in the end.
#[derive(Debug, PartialEq, Eq)]
pub enum Told {
    Accepted(Version),
    Raced(Version),
    NotRun,
    Unknown,
}

/// An operator who repeats a proposal until there is an answer or `calls` are used up.
pub async fn operate(fake: Fake, name: String, base: Version, calls: u32) -> Told {
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
            Ok(Outcome::Accepted(version)) => return Told::Accepted(version),
            Ok(Outcome::Conflict(version)) => return Told::Raced(version),
            Err(Failure { verdict: later, .. }) => verdict = verdict.combine(later),
        }
    }
    match verdict {
        Verdict::NotRun => Told::NotRun,
        _ => Told::Unknown,
    }
}

pub type Task<Output> = Pin<Box<dyn Future<Output = Output>>>;

/// Runs tasks step by step; `choose` gets the tasks that still run and picks one and its fault.
pub fn run<Output>(
    mut tasks: Vec<Task<Output>>,
    mut choose: impl FnMut(&[usize]) -> (usize, Fault),
) -> Vec<Output> {
    let mut outputs: Vec<Option<Output>> = tasks.iter().map(|_| None).collect();
    let mut context = Context::from_waker(Waker::noop());
    // The first poll brings each task to its first operation.
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

/// Runs one future without faults.
pub fn calm<Output>(future: impl Future<Output = Output>) -> Output {
    let mut future = pin!(future);
    let mut context = Context::from_waker(Waker::noop());
    loop {
        FAULT.set(Fault::None);
        if let Poll::Ready(value) = future.as_mut().poll(&mut context) {
            return value;
        }
    }
}
