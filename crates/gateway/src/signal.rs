//! Receives the signal to shut down.

use std::cell::RefCell;
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

use fleet::shutdown::Lag;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;
use types::Time;

use crate::clock::now;

/// When the shutdown began, which is when the signal arrived.
#[derive(Debug, Clone, Default)]
pub(crate) struct Start(Arc<OnceLock<Time>>);

impl Start {
    /// Returns when the shutdown began, or `None` if the entry is not stopping.
    pub(crate) fn get(&self) -> Option<Time> {
        self.0.get().copied()
    }
}

/// When the shutdown began, and how late the event loop runs; both bound the requests in progress.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) start: Start,
    lag: RefCell<Lag>,
}

impl State {
    /// Returns when the shutdown began, or `None` if the entry is not stopping.
    pub(crate) fn get(&self) -> Option<Time> {
        self.start.get()
    }

    /// Records how late the event loop has run a task.
    pub(crate) fn on_lag(&self, lag: Duration, now: Time) {
        self.lag.borrow_mut().on_sample(lag, now);
    }

    /// Returns the greatest recent lag of the event loop.
    pub(crate) fn lag(&self) -> Duration {
        self.lag.borrow().greatest()
    }
}

/// The signal to shut down.
///
/// A thread of its own waits for it: the event loop of a busy process handles a signal only after
/// the tasks that are ready, while the grace period has begun.
#[derive(Debug)]
pub(crate) struct Signal {
    start: Start,
    received: oneshot::Receiver<()>,
}

impl Signal {
    /// Starts to wait for SIGTERM, until this is dropped; `start` is set when it arrives.
    ///
    /// # Errors
    /// Fails if the thread cannot be spawned or the signal cannot be received.
    pub(crate) fn listen(start: &Start) -> std::io::Result<Self> {
        let (sender, received) = oneshot::channel();
        let (started, is_started) = std::sync::mpsc::channel();
        let recorded = start.clone();
        thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || wait_for_signal(&started, &recorded, sender))?;
        let ended = |_| std::io::Error::other("the thread for signals ended");
        is_started.recv().map_err(ended)??;
        let start = start.clone();
        Ok(Self { start, received })
    }

    /// Waits for the signal and returns when it arrived; `None` if no signal can arrive any more.
    pub(crate) async fn wait(&mut self) -> Option<Time> {
        let received = (&mut self.received).await;
        received.ok().and_then(|()| self.start.get())
    }
}

/// Records when the signal arrives, after reporting to `started` whether it can be received.
fn wait_for_signal(
    started: &std::sync::mpsc::Sender<std::io::Result<()>>,
    start: &Start,
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
                    start.0.get_or_init(now);
                    // Without a receiver the entry has ended.
                    let _ = sender.send(());
                }
            }
            () = sender.closed() => {}
        }
    });
}
