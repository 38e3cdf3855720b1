use std::collections::VecDeque;

/// Schedules the transfers over a bandwidth-limited link: fetches, for which a caller waits,
/// precede exports.
#[derive(Debug)]
pub struct Scheduler<Transfer> {
    fetches: VecDeque<Transfer>,
    exports: VecDeque<Transfer>,
    running: usize,
    capacity: Capacity,
}

/// The limits of a [`Scheduler`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// The maximum number of concurrent transfers.
    pub parallel: usize,
    /// The maximum number of queued exports. The oldest are dropped, because losing one only causes
    /// a recomputation.
    pub queued_exports: usize,
}

/// The scheduling class of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A read for which a caller waits.
    Fetch,
    /// A background write.
    Export,
}

impl<Transfer> Scheduler<Transfer> {
    /// Creates a scheduler for an idle link.
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        Self {
            fetches: VecDeque::new(),
            exports: VecDeque::new(),
            running: 0,
            capacity,
        }
    }

    /// Queues a transfer; returns an export that was dropped to stay within the limit, if any.
    pub fn push(&mut self, class: Class, transfer: Transfer) -> Option<Transfer> {
        match class {
            Class::Fetch => {
                self.fetches.push_back(transfer);
                None
            }
            Class::Export => {
                self.exports.push_back(transfer);
                (self.exports.len() > self.capacity.queued_exports)
                    .then(|| self.exports.pop_front())
                    .flatten()
            }
        }
    }

    /// Returns the next transfer to start, or `None` if the link is at its limit or nothing is
    /// queued.
    pub fn start(&mut self) -> Option<Transfer> {
        if self.running >= self.capacity.parallel {
            return None;
        }
        let next = self
            .fetches
            .pop_front()
            .or_else(|| self.exports.pop_front())?;
        self.running += 1;
        Some(next)
    }

    /// Records the end of a started transfer, successful or not.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes the queued transfers that do not satisfy the predicate.
    pub fn retain(&mut self, keep: impl Fn(&Transfer) -> bool) {
        self.fetches.retain(&keep);
        self.exports.retain(&keep);
    }

    /// Returns the number of queued fetches.
    #[must_use]
    pub fn queued_fetches(&self) -> usize {
        self.fetches.len()
    }
}
