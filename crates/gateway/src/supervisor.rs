//! Supervises the background tasks of an entry.

use std::time::Duration;

use crate::logging::Event;

/// The delay before a task that panicked is restarted; without it, a task that panics immediately
/// again would use up the CPU.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs a task for the lifetime of the process, and restarts it after a panic. If a task were
/// missing, the entry would go on with a stale configuration, or without gossip with the other
/// entries.
pub(crate) fn spawn<Make, Task>(name: &'static str, make: Make)
where
    Make: Fn() -> Task + 'static,
    Task: Future<Output = ()> + 'static,
{
    tokio::task::spawn_local(async move {
        loop {
            match tokio::task::spawn_local(make()).await {
                Ok(()) => return,
                Err(error) if error.is_panic() => {
                    Event::new("task_restarted").with("task", name).warn();
                    tokio::time::sleep(RESTART_DELAY).await;
                }
                // The task was cancelled: the process is shutting down.
                Err(_) => return,
            }
        }
    });
}
