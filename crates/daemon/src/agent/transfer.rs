use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use context::{Capacity, Class, Scheduler};
use tokio::sync::oneshot;

/// The queue of transfers between this agent and one store host; fetches start before exports.
#[derive(Debug, Clone)]
pub(super) struct Queue(Arc<Mutex<Scheduler<oneshot::Sender<()>>>>);

/// The permit for one transfer; dropping it lets the next one start.
#[derive(Debug)]
pub(super) struct Permit(Queue);

/// The maximum number of concurrent transfers with one store host.
const MAX_PARALLEL: usize = 4;
/// The maximum number of queued exports; the oldest are dropped, which only causes a recomputation
/// later.
const MAX_QUEUED_EXPORTS: usize = 256;

impl Queue {
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(Scheduler::new(Capacity {
            parallel: MAX_PARALLEL,
            queued_exports: MAX_QUEUED_EXPORTS,
        }))))
    }

    /// Waits for a permit; an export that was dropped gets none.
    pub(super) async fn acquire(&self, class: Class) -> Option<Permit> {
        let (sender, receiver) = oneshot::channel();
        drop(self.lock().push(class, sender));
        self.start_next();
        receiver.await.ok()?;
        Some(Permit(self.clone()))
    }

    fn start_next(&self) {
        let mut scheduler = self.lock();
        while let Some(sender) = scheduler.start() {
            // Nobody waits for this transfer any more.
            if sender.send(()).is_err() {
                scheduler.finish();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Scheduler<oneshot::Sender<()>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.lock().finish();
        self.0.start_next();
    }
}
