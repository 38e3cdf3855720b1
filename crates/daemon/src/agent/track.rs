use tokio::sync::watch;

/// Counts running work, such as tasks and readers, so that others can wait for the last of it.
#[derive(Debug, Clone)]
pub(super) struct Tracker(watch::Sender<usize>);

/// Counts as one unit of work until it is dropped, also by a panic.
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

    /// Returns once no work is running.
    pub(super) async fn idle(&self) {
        // The wait fails only if all senders are gone, and `self` is one.
        let _ = self.0.subscribe().wait_for(|&count| count == 0).await;
    }

    /// Returns once work is running.
    pub(super) async fn busy(&self) {
        let _ = self.0.subscribe().wait_for(|&count| count > 0).await;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}
