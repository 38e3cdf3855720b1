//! Runs a [`control::Lease`] against the platform's table store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use control::{Grant, Lease, Step, Timing, Written};
use futures_util::future::select_all;
use platform::{Commit, Row, Table, Write};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use types::Fence;

use crate::control::View;

/// A lease that a task acquires and renews until it is released.
#[derive(Debug)]
pub(super) struct Handle {
    lease: Arc<Mutex<Lease>>,
    task: JoinHandle<()>,
}

/// The delay after a failed request, so that an outage of the platform does not cause more load.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// How often a waiting caller checks whether the lease is held.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a release may take; after that the other agents wait until the lease expires.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

impl Handle {
    /// Starts to acquire the lease in the row `key`.
    pub(super) fn spawn(view: Arc<View>, key: String, holder: String, timing: Timing) -> Self {
        let mut lease = Lease::new(holder, view.incarnation(), timing, rand::random());
        lease.acquire();
        let lease = Arc::new(Mutex::new(lease));
        let task = tokio::spawn(run(view, key, Arc::clone(&lease)));
        Self { lease, task }
    }

    /// Returns the fencing token while the lease is held; it has to be checked before each action.
    pub(super) fn fence(&self) -> Option<Fence> {
        lock(&self.lease).fence(crate::now())
    }

    /// Waits until the lease is held.
    pub(super) async fn wait(&self) {
        while self.fence().is_none() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until one of the leases is held; returns its index.
    pub(super) async fn wait_any(handles: &[Self]) -> usize {
        let waits = handles.iter().map(|handle| Box::pin(handle.wait()));
        select_all(waits).await.1
    }

    /// Releases the lease and makes that known to the other agents, if the platform answers.
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
                let wait = until.since(crate::now()).min(RETRY_DELAY);
                // `RETRY_DELAY` bounds how long a call of `release` goes unnoticed.
                sleep(wait.max(Duration::from_millis(1))).await;
            }
            Step::Read => match view.platform().get(&key).await.map(parse) {
                Ok(Ok(row)) => lock(&lease).on_read(crate::now(), row),
                Ok(Err(error)) => {
                    log::error!("row {key} does not contain a lease: {error}");
                    sleep(RETRY_DELAY).await;
                }
                Err(_) => sleep(RETRY_DELAY.mul_f64(rand::random_range(0.5..1.5))).await,
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
                sleep(RETRY_DELAY.mul_f64(rand::random_range(0.5..1.5))).await;
            }
        }
    }
}

fn parse(row: Option<Row>) -> Result<Option<(u64, Grant)>, serde_json::Error> {
    row.map(|row| Ok((row.version, serde_json::from_value(row.value)?)))
        .transpose()
}

fn lock(lease: &Mutex<Lease>) -> MutexGuard<'_, Lease> {
    lease.lock().unwrap_or_else(PoisonError::into_inner)
}
