//! Bounds requests by the shutdown of the process.

use std::sync::{Arc, OnceLock};
use std::thread;

use fleet::catalog::Route;
use fleet::shutdown::{Shutdown, Stage};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;
use types::Time;

use crate::clock::now;
use crate::shared::Shared;

/// The signal to shut down.
///
/// A thread of its own waits for it: the event loop of a busy process handles a signal only after
/// the tasks that are ready, while the grace period has begun.
#[derive(Debug)]
pub(crate) struct Signal {
    arrived: Arc<OnceLock<Time>>,
    received: oneshot::Receiver<()>,
}

impl Signal {
    /// Starts to wait for SIGTERM, until this is dropped.
    ///
    /// # Errors
    /// Fails if the thread cannot be spawned or the signal cannot be received.
    pub(crate) fn listen() -> std::io::Result<Self> {
        let arrived = Arc::new(OnceLock::new());
        let (sender, received) = oneshot::channel();
        let (started, is_started) = std::sync::mpsc::channel();
        let recorded = Arc::clone(&arrived);
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || wait_for_signal(&started, &recorded, sender))?;
        let ended = |_| std::io::Error::other("the thread for signals ended");
        is_started.recv().map_err(ended)??;
        Ok(Self { arrived, received })
    }

    /// Waits for the signal and returns when it arrived; `None` if no signal can arrive any more.
    pub(crate) async fn wait(&mut self) -> Option<Time> {
        let received = (&mut self.received).await;
        received.ok().and_then(|()| self.arrived.get().copied())
    }
}

/// Records when the signal arrives, after reporting to `started` whether it can be received.
fn wait_for_signal(
    started: &std::sync::mpsc::Sender<std::io::Result<()>>,
    arrived: &OnceLock<Time>,
    mut sender: oneshot::Sender<()>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build();
    let listening = runtime.and_then(|runtime| {
        let terminated = {
            let _context = runtime.enter();
            signal(SignalKind::terminate())?
        };
        Ok((runtime, terminated))
    });
    let (runtime, mut terminated) = match listening {
        Ok(listening) => listening,
        Err(error) => {
            // The receiver waits for this report.
            let _ = started.send(Err(error));
            return;
        }
    };
    let _ = started.send(Ok(()));
    runtime.block_on(async {
        tokio::select! {
            received = terminated.recv() => {
                if received.is_some() {
                    arrived.get_or_init(now);
                    // Without a receiver the entry has ended.
                    let _ = sender.send(());
                }
            }
            () = sender.closed() => {}
        }
    });
}

/// Begins the shutdown.
pub(crate) fn begin<Adapter>(shared: &Shared<Adapter>, time: Time) {
    shared.stopping.set(Some(time));
    shared.shutdown_begun.notify_waiters();
}

/// Returns the time at which a request must have a response, once the shutdown has begun.
pub(crate) fn response_limit<Adapter>(shared: &Shared<Adapter>, route: &Route) -> Option<Time> {
    let began = shared.stopping.get()?;
    Some(began + shutdown(shared).response_limit(route.delivery))
}

/// Returns whether a request with this deadline may be sent to a target now.
pub(crate) fn accepts<Adapter>(
    shared: &Shared<Adapter>,
    route: &Route,
    stage: Stage,
    deadline: Time,
) -> bool {
    let Some(began) = shared.stopping.get() else {
        return true;
    };
    let since = now().since(began);
    shutdown(shared).accepts(route, stage, deadline.since(began), since)
}

/// Waits until the entry is stopping and a request with this deadline may not be sent to a target
/// any more.
pub(crate) async fn until_last_start<Adapter>(
    shared: &Shared<Adapter>,
    route: &Route,
    stage: Stage,
    deadline: Time,
) {
    let began = until_begun(shared).await;
    let last_start = shutdown(shared).last_start(route, stage, deadline.since(began));
    tokio::time::sleep((began + last_start).since(now())).await;
}

/// Waits until the entry is stopping and a request must have a response.
pub(crate) async fn until_response_limit<Adapter>(shared: &Shared<Adapter>, route: &Route) {
    let began = until_begun(shared).await;
    let limit = began + shutdown(shared).response_limit(route.delivery);
    tokio::time::sleep(limit.since(now())).await;
}

async fn until_begun<Adapter>(shared: &Shared<Adapter>) -> Time {
    loop {
        // Registered before the check, so that no change between the two is missed.
        let begun = shared.shutdown_begun.notified();
        if let Some(began) = shared.stopping.get() {
            return began;
        }
        begun.await;
    }
}

fn shutdown<Adapter>(shared: &Shared<Adapter>) -> Shutdown {
    Shutdown {
        grace: shared.settings.grace(),
    }
}
