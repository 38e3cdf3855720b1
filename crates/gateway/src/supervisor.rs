//! Keeps the entry's own tasks running.

use std::time::Duration;

use crate::logging::Event;

/// How long a task that panicked is left alone; one that panics at once again must not use up the
/// processor.
const PAUSE: Duration = Duration::from_millis(200);

/// Runs a task that lives as long as the process, and starts it again after a panic. Without it the
/// entry would go on with an old configuration, or unheard by the others.
pub(crate) fn spawn<Make, Work>(name: &'static str, make: Make)
where
    Make: Fn() -> Work + 'static,
    Work: Future<Output = ()> + 'static,
{
    tokio::task::spawn_local(async move {
        loop {
            match tokio::task::spawn_local(make()).await {
                Ok(()) => return,
                Err(error) if error.is_panic() => {
                    Event::new("task_restarted").with("task", name).warn();
                    tokio::time::sleep(PAUSE).await;
                }
                // The process ends.
                Err(_) => return,
            }
        }
    });
}
