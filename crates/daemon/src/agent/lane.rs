use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use context::{Capacity, Class, Scheduler};
use tokio::sync::oneshot;

/// The link to a store host: transfers wait for their turn, fetches before exports.
#[derive(Debug, Clone)]
pub(super) struct Lane(Arc<Mutex<Scheduler<oneshot::Sender<()>>>>);

/// The right to one transfer; dropping it lets the next one start.
#[derive(Debug)]
pub(super) struct Turn(Lane);

/// Transfers at the same time on the link to one store host.
const PARALLEL: usize = 4;
/// Exports that wait; the oldest are dropped, which only causes a recomputation later.
const EXPORTS: usize = 256;

impl Lane {
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(Scheduler::new(Capacity {
            parallel: PARALLEL,
            queued_exports: EXPORTS,
        }))))
    }

    /// Waits for a turn; an export that was dropped gets none.
    pub(super) async fn turn(&self, urgency: Class) -> Option<Turn> {
        let (sender, receiver) = oneshot::channel();
        drop(self.lock().push(urgency, sender));
        self.start();
        receiver.await.ok()?;
        Some(Turn(self.clone()))
    }

    fn start(&self) {
        let mut link = self.lock();
        while let Some(sender) = link.start() {
            // Nobody waits for this transfer any more.
            if sender.send(()).is_err() {
                link.finish();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Scheduler<oneshot::Sender<()>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.lock().finish();
        self.0.start();
    }
}
