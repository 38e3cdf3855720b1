use std::collections::VecDeque;

/// Schedules the transfers over a bandwidth-limited link: fetches, for which a caller waits,
/// precede exports.
#[derive(Debug)]
pub struct Scheduler<Transfer> {
    urgent: VecDeque<Transfer>,
    bulk: VecDeque<Transfer>,
    running: usize,
    limits: Capacity,
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
    pub fn new(limits: Capacity) -> Self {
        Self {
            urgent: VecDeque::new(),
            bulk: VecDeque::new(),
            running: 0,
            limits,
        }
    }

    /// Queues a transfer; returns an export that was dropped to stay within the limit, if any.
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

    /// Returns the next transfer to start, or `None` if the link is at its limit or nothing is
    /// queued.
    pub fn start(&mut self) -> Option<Transfer> {
        if self.running >= self.limits.parallel {
            return None;
        }
        let next = self.urgent.pop_front().or_else(|| self.bulk.pop_front())?;
        self.running += 1;
        Some(next)
    }

    /// Records the end of a started transfer, successful or not.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes the queued transfers that do not satisfy the predicate.
    pub fn retain(&mut self, keep: impl Fn(&Transfer) -> bool) {
        self.urgent.retain(&keep);
        self.bulk.retain(&keep);
    }

    /// Returns the number of queued fetches.
    #[must_use]
    pub fn queued_fetches(&self) -> usize {
        self.urgent.len()
    }
}
