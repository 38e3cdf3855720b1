use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use control::claim::Written;
use futures_util::future::join_all;
use platform::{Commit, Table as _, Write};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};
use types::Verdict;

use crate::control::View;

/// Writes rows in transactions that are shared: one is on its way at a time, and the next carries
/// what has queued meanwhile. The platform bears only several hundred writes a second.
#[derive(Debug, Clone)]
pub(super) struct Batch(mpsc::Sender<Job>);

#[derive(Debug)]
struct Job {
    write: Write,
    done: oneshot::Sender<Written>,
}

/// Writes that may wait; more of them are refused as not sent.
const QUEUE: usize = 1024;
/// Writes in one transaction.
const MAX_WRITES: usize = 64;

impl Batch {
    pub(super) fn spawn(view: Arc<View>) -> Self {
        let (sender, jobs) = mpsc::channel(QUEUE);
        tokio::spawn(run(view, jobs));
        Self(sender)
    }

    /// Writes one row if it has the version `expect`.
    pub(super) async fn write(&self, key: &str, expect: u64, value: Value) -> Written {
        let (done, written) = oneshot::channel();
        let write = Write {
            key: key.to_owned(),
            expect,
            value: Some(value),
        };
        if self.0.try_send(Job { write, done }).is_err() {
            return Written::NotSent;
        }
        written.await.unwrap_or(Written::Lost)
    }
}

async fn run(view: Arc<View>, mut jobs: mpsc::Receiver<Job>) {
    let mut waiting = VecDeque::new();
    loop {
        if waiting.is_empty() {
            match jobs.recv().await {
                Some(job) => waiting.push_back(job),
                None => return,
            }
        }
        while let Ok(job) = jobs.try_recv() {
            waiting.push_back(job);
        }
        let jobs = take(&mut waiting);
        let writes: Vec<Write> = jobs.iter().map(|job| job.write.clone()).collect();
        let results = commit(&view, &writes).await;
        for (job, written) in jobs.into_iter().zip(results) {
            let _ = job.done.send(written);
        }
    }
}

/// Takes the writes of the next transaction; a row is written at most once in it, since a second
/// write of the row would make the transaction conflict with itself.
fn take(waiting: &mut VecDeque<Job>) -> Vec<Job> {
    let mut keys = HashSet::new();
    let (mut taken, mut left) = (Vec::new(), VecDeque::new());
    for job in waiting.drain(..) {
        if taken.len() < MAX_WRITES && keys.insert(job.write.key.clone()) {
            taken.push(job);
        } else {
            left.push_back(job);
        }
    }
    *waiting = left;
    taken
}

async fn commit(view: &View, writes: &[Write]) -> Vec<Written> {
    match view.platform().commit(writes).await {
        Ok(Commit::Applied(versions)) if versions.len() == writes.len() => {
            versions.into_iter().map(Written::Applied).collect()
        }
        // Nothing was written, and only the row that conflicts must not hold up the others.
        Ok(Commit::Conflict(_)) if writes.len() > 1 => {
            join_all(writes.iter().map(|write| commit_one(view, write))).await
        }
        Ok(Commit::Conflict(_)) => vec![Written::Conflict],
        Ok(Commit::Applied(_)) => vec![Written::Lost; writes.len()],
        Err(error) => vec![lost(&error); writes.len()],
    }
}

async fn commit_one(view: &View, write: &Write) -> Written {
    match view.platform().commit(std::slice::from_ref(write)).await {
        Ok(Commit::Applied(versions)) => versions
            .first()
            .map_or(Written::Lost, |&version| Written::Applied(version)),
        Ok(Commit::Conflict(_)) => Written::Conflict,
        Err(error) => lost(&error),
    }
}

fn lost(error: &platform::Error) -> Written {
    match error.verdict() {
        Verdict::NotRun => Written::NotSent,
        Verdict::MayHaveRun | Verdict::Ran => Written::Lost,
    }
}
