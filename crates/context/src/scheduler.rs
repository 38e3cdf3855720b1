use std::collections::VecDeque;

/// Orders the transfers over a link of limited bandwidth: what a caller waits for goes first.
#[derive(Debug)]
pub struct Scheduler<Transfer> {
    urgent: VecDeque<Transfer>,
    bulk: VecDeque<Transfer>,
    running: usize,
    limits: Capacity,
}

/// How much a [`Scheduler`] takes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Transfers at the same time.
    pub parallel: usize,
    /// Exports that may wait; the oldest are dropped, since a loss only causes a recomputation.
    pub queued_exports: usize,
}

/// How a transfer is weighed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A caller waits for it.
    Fetch,
    /// Nobody waits for it.
    Export,
}

impl<Transfer> Scheduler<Transfer> {
    /// Starts with an idle link.
    #[must_use]
    pub fn new(limits: Capacity) -> Self {
        Self {
            urgent: VecDeque::new(),
            bulk: VecDeque::new(),
            running: 0,
            limits,
        }
    }

    /// Queues a transfer; returns an export that had to be dropped for it.
    pub fn push(&mut self, urgency: Class, transfer: Transfer) -> Option<Transfer> {
        match urgency {
            Class::Fetch => {
                self.urgent.push_back(transfer);
                None
            }
            Class::Export => {
                self.bulk.push_back(transfer);
                (self.bulk.len() > self.limits.queued_exports)
                    .then(|| self.bulk.pop_front())
                    .flatten()
            }
        }
    }

    /// Returns the next transfer to start, while the link has room for one.
    pub fn start(&mut self) -> Option<Transfer> {
        if self.running >= self.limits.parallel {
            return None;
        }
        let next = self.urgent.pop_front().or_else(|| self.bulk.pop_front())?;
        self.running += 1;
        Some(next)
    }

    /// Records that a started transfer ended, however it ended.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Drops the waiting transfers that are no longer of use.
    pub fn retain(&mut self, keep: impl Fn(&Transfer) -> bool) {
        self.urgent.retain(&keep);
        self.bulk.retain(&keep);
    }

    /// Returns the number of fetches that wait.
    #[must_use]
    pub fn queued_fetches(&self) -> usize {
        self.urgent.len()
    }
}
