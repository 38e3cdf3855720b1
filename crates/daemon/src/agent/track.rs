use tokio::sync::watch;

/// Counts pieces of work, so that a stopping agent can wait for the last of them.
#[derive(Debug, Clone)]
pub(super) struct Tracker(watch::Sender<usize>);

/// Stands for one piece of work until it is dropped, also by a panic.
#[derive(Debug)]
pub(super) struct Guard(watch::Sender<usize>);

impl Default for Tracker {
    fn default() -> Self {
        Self(watch::channel(0).0)
    }
}

impl Tracker {
    pub(super) fn start(&self) -> Guard {
        self.0.send_modify(|count| *count += 1);
        Guard(self.0.clone())
    }

    /// Returns once no work is left.
    pub(super) async fn idle(&self) {
        // The wait ends early only when the sender is gone, and this is one.
        let _ = self.0.subscribe().wait_for(|&count| count == 0).await;
    }

    /// Returns once there is work.
    pub(super) async fn busy(&self) {
        let _ = self.0.subscribe().wait_for(|&count| count > 0).await;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
