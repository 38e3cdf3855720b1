use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use control::claim::Written;
use futures_util::future::join_all;
use platform::{Commit, Table as _, Write};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};
use types::Verdict;

use crate::control::View;

/// Writes rows in shared transactions: one is in flight at a time, and the next contains the writes
/// queued meanwhile. The platform supports only several hundred writes per second.
#[derive(Debug, Clone)]
pub(super) struct Batch(mpsc::Sender<Job>);

#[derive(Debug)]
struct Job {
    write: Write,
    done: oneshot::Sender<Written>,
}

/// The maximum number of queued writes; further ones fail as not sent.
const MAX_QUEUED: usize = 1024;
/// The maximum number of writes in one transaction.
const MAX_WRITES: usize = 64;

impl Batch {
    pub(super) fn spawn(view: Arc<View>) -> Self {
        let (sender, jobs) = mpsc::channel(MAX_QUEUED);
        tokio::spawn(run(view, jobs));
        Self(sender)
    }

    /// Writes one row if its version is `expect`.
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
    let mut queued = VecDeque::new();
    loop {
        if queued.is_empty() {
            match jobs.recv().await {
                Some(job) => queued.push_back(job),
                None => return,
            }
        }
        while let Ok(job) = jobs.try_recv() {
            queued.push_back(job);
        }
        let jobs = next_batch(&mut queued);
        let writes: Vec<Write> = jobs.iter().map(|job| job.write.clone()).collect();
        let results = commit(&view, &writes).await;
        for (job, written) in jobs.into_iter().zip(results) {
            let _ = job.done.send(written);
        }
    }
}

/// Takes the writes of the next transaction, at most one per row: a second write of a row would
/// make the transaction conflict with itself.
fn next_batch(queued: &mut VecDeque<Job>) -> Vec<Job> {
    let mut keys = HashSet::new();
    let (mut batch, mut remaining) = (Vec::new(), VecDeque::new());
    for job in queued.drain(..) {
        if batch.len() < MAX_WRITES && keys.insert(job.write.key.clone()) {
            batch.push(job);
        } else {
            remaining.push_back(job);
        }
    }
    *queued = remaining;
    batch
}

async fn commit(view: &View, writes: &[Write]) -> Vec<Written> {
    match view.platform().commit(writes).await {
        Ok(Commit::Applied(versions)) if versions.len() == writes.len() => {
            versions.into_iter().map(Written::Applied).collect()
        }
        // Nothing was written. The writes are repeated one by one, so that only the conflicting row
        // fails.
        Ok(Commit::Conflict(_)) if writes.len() > 1 => {
            join_all(writes.iter().map(|write| commit_one(view, write))).await
        }
        Ok(Commit::Conflict(_)) => vec![Written::Conflict],
        Ok(Commit::Applied(_)) => vec![Written::Lost; writes.len()],
        Err(error) => vec![failed_write(&error); writes.len()],
    }
}

async fn commit_one(view: &View, write: &Write) -> Written {
    match view.platform().commit(std::slice::from_ref(write)).await {
        Ok(Commit::Applied(versions)) => versions
            .first()
            .map_or(Written::Lost, |&version| Written::Applied(version)),
        Ok(Commit::Conflict(_)) => Written::Conflict,
        Err(error) => failed_write(&error),
    }
}

fn failed_write(error: &platform::Error) -> Written {
    match error.verdict() {
        Verdict::NotRun => Written::NotSent,
        Verdict::MayHaveRun | Verdict::Ran => Written::Lost,
    }
}
