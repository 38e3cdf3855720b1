//! Runs a [`control::Lease`] against the platform.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use control::{Grant, Lease, Step, Timing, Written};
use futures_util::future::select_all;
use platform::{Commit, Row, Table, Write};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use types::Fence;

use crate::control::View;

/// A lease that a task takes and renews until it is released.
#[derive(Debug)]
pub(super) struct Handle {
    lease: Arc<Mutex<Lease>>,
    task: JoinHandle<()>,
}

/// Pauses while the platform fails, so that an outage is not answered with more load.
const RETRY: Duration = Duration::from_millis(250);
/// How often a waiting caller looks whether the lease is held.
const LOOK: Duration = Duration::from_millis(20);
/// How long a release may take; after that the others wait the lease out.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

impl Handle {
    /// Starts to take the lease in the row `key`.
    pub(super) fn spawn(view: Arc<View>, key: String, holder: String, terms: Timing) -> Self {
        let mut lease = Lease::new(holder, view.incarnation(), terms, rand::random());
        lease.acquire();
        let lease = Arc::new(Mutex::new(lease));
        let task = tokio::spawn(run(view, key, Arc::clone(&lease)));
        Self { lease, task }
    }

    /// Returns the fencing number while the lease is held; it is asked before each act.
    pub(super) fn fence(&self) -> Option<Fence> {
        lock(&self.lease).fence(crate::now())
    }

    /// Waits until the lease is held.
    pub(super) async fn wait(&self) {
        while self.fence().is_none() {
            sleep(LOOK).await;
        }
    }

    /// Waits until one of the leases is held; returns which.
    pub(super) async fn wait_any(handles: &[Self]) -> usize {
        let waits = handles.iter().map(|handle| Box::pin(handle.wait()));
        select_all(waits).await.1
    }

    /// Gives the lease up and tells the others, if the platform answers.
    pub(super) async fn release(mut self) {
        lock(&self.lease).release();
        if tokio::time::timeout(RELEASE_TIMEOUT, &mut self.task)
            .await
            .is_err()
        {
            self.task.abort();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(view: Arc<View>, key: String, lease: Arc<Mutex<Lease>>) {
    loop {
        let step = lock(&lease).poll(crate::now());
        match step {
            Step::Idle => return,
            Step::Wait(until) => {
                let wait = until.since(crate::now()).min(RETRY);
                // A release is noticed within this time.
                sleep(wait.max(Duration::from_millis(1))).await;
            }
            Step::Read => match view.platform().get(&key).await.map(read) {
                Ok(Ok(row)) => lock(&lease).on_read(crate::now(), row),
                Ok(Err(problem)) => {
                    log::error!("row {key} is not a lease: {problem}");
                    sleep(RETRY).await;
                }
                Err(_) => sleep(RETRY.mul_f64(rand::random_range(0.5..1.5))).await,
            },
            Step::Write(write) => {
                let Ok(value) = serde_json::to_value(&write.grant) else {
                    return;
                };
                let write = Write {
                    key: key.clone(),
                    expect: write.expect,
                    value: Some(value),
                };
                let written = match view.platform().commit(&[write]).await {
                    Ok(Commit::Applied(versions)) => versions
                        .first()
                        .map_or(Written::Lost, |&version| Written::Applied(version)),
                    Ok(Commit::Conflict(_)) => Written::Conflict,
                    Err(_) => Written::Lost,
                };
                lock(&lease).on_write(written);
                if written != Written::Lost {
                    continue;
                }
                sleep(RETRY.mul_f64(rand::random_range(0.5..1.5))).await;
            }
        }
    }
}

fn read(row: Option<Row>) -> Result<Option<(u64, Grant)>, serde_json::Error> {
    row.map(|row| Ok((row.version, serde_json::from_value(row.value)?)))
        .transpose()
}

fn lock(lease: &Mutex<Lease>) -> MutexGuard<'_, Lease> {
    lease.lock().unwrap_or_else(PoisonError::into_inner)
}
