//! Carries out what `fleet::callers` decides about the connections of callers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use fleet::callers::{self, Activity, Admission, Capacity, Cause, Check, Growth, Id, Usage};
use tokio::sync::{Notify, Semaphore};
use types::Time;

use crate::clock::now;
use crate::logging::Event;
use crate::metrics::Metrics;

/// The account of the callers of one or more addresses.
#[derive(Debug)]
pub(crate) struct Callers {
    account: RefCell<callers::Callers<Rc<Notice>>>,
    /// For each cause the connections that were closed or refused since the last log line.
    closed: [Cell<u64>; CAUSES.len()],
    /// When the last log line was written.
    reported_at: Cell<Time>,
    /// Admits one pipelined request at a time.
    pipeline: Semaphore,
    metrics: Metrics,
}

/// The place of a connection in the account; it leaves on drop.
#[derive(Debug)]
pub(crate) struct Seat {
    callers: Rc<Callers>,
    id: Id,
    notice: Rc<Notice>,
}

/// Tells the task of a connection that it must be closed.
#[derive(Debug, Default)]
pub(crate) struct Notice {
    cause: Cell<Option<Cause>>,
    given: Notify,
}

/// The least time between two log lines about closed connections.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The causes, in the order of the counters.
const CAUSES: [Cause; 4] = [
    Cause::Memory,
    Cause::Connections,
    Cause::SlowBody,
    Cause::Unread,
];

impl Callers {
    /// Creates an account without connections.
    pub(crate) fn new(capacity: Capacity, metrics: Metrics) -> Self {
        Self {
            account: RefCell::new(callers::Callers::new(capacity)),
            closed: Default::default(),
            reported_at: Cell::default(),
            pipeline: Semaphore::new(1),
            metrics,
        }
    }

    /// Admits a connection; `None` if it must be closed at once.
    pub(crate) fn admit(self: &Rc<Self>) -> Option<Seat> {
        let notice = Rc::new(Notice::default());
        let admission = self.account.borrow_mut().admit(Rc::clone(&notice), now());
        self.close_evicted();
        match admission {
            Admission::Admitted(id) => Some(Seat {
                callers: Rc::clone(self),
                id,
                notice,
            }),
            Admission::Full(cause) => {
                self.count(cause);
                None
            }
        }
    }

    /// Returns what the connections hold.
    pub(crate) fn usage(&self) -> Usage {
        self.account.borrow().usage()
    }

    /// Logs which connections were closed or refused since the last line, at most once a second.
    pub(crate) fn report(&self, now: Time) {
        let is_early = now.since(self.reported_at.get()) < REPORT_INTERVAL;
        if is_early || self.closed.iter().all(|count| count.get() == 0) {
            return;
        }
        self.reported_at.set(now);
        let Usage { connections, bytes } = self.usage();
        let counts = CAUSES.iter().zip(&self.closed);
        let event = counts.fold(Event::new("callers_closed"), |event, (cause, count)| {
            event.with(cause.label(), count.take())
        });
        event.with("open", connections).with("bytes", bytes).warn();
    }

    fn close_evicted(&self) {
        for (notice, cause) in self.account.borrow_mut().take_evicted() {
            self.count(cause);
            notice.cause.set(Some(cause));
            notice.given.notify_one();
        }
    }

    fn count(&self, cause: Cause) {
        let closed = &self.metrics.closed_callers;
        closed.with_label_values(&[cause.label()]).inc();
        if let Some(index) = CAUSES.iter().position(|other| *other == cause) {
            self.closed[index].set(self.closed[index].get() + 1);
        }
    }
}

impl Seat {
    /// Waits until the connection must be closed for want of room.
    pub(crate) async fn evicted(&self) -> Cause {
        loop {
            if let Some(cause) = self.notice.cause.get() {
                return cause;
            }
            self.notice.given.notified().await;
        }
    }

    /// Waits for the turn of a request that was sent ahead of the previous response. All connections
    /// together get one such turn between two turns of all other tasks, so that callers which send
    /// thousands of requests ahead do not delay others.
    pub(crate) async fn pipelined_turn(&self) {
        // The semaphore is never closed.
        let turn = self.callers.pipeline.acquire().await;
        tokio::task::yield_now().await;
        drop(turn);
    }

    /// Returns whether the caller makes too little progress.
    pub(crate) fn check(&self) -> Check {
        self.callers.account.borrow().check(self.id, now())
    }

    /// Counts that the connection is closed for this cause.
    pub(crate) fn on_closed(&self, cause: Cause) {
        self.callers.count(cause);
    }

    /// Records what the connection does from now on.
    pub(crate) fn begin(&self, activity: Activity) {
        let mut account = self.callers.account.borrow_mut();
        account.begin(self.id, activity, now());
    }

    /// Records that a target has answered a request.
    pub(crate) fn on_served(&self) {
        self.callers.account.borrow_mut().on_served(self.id);
    }

    /// Records that bytes were read; refused if the connection must be closed.
    pub(crate) fn on_read(&self, bytes: usize) -> Growth {
        let mut account = self.callers.account.borrow_mut();
        let growth = account.on_read(self.id, bytes, now());
        drop(account);
        self.settle(growth)
    }

    /// Records that bytes of a response were written.
    pub(crate) fn on_written(&self, bytes: usize) {
        let mut account = self.callers.account.borrow_mut();
        account.on_written(self.id, bytes, now());
    }

    /// Requests memory for the caller.
    pub(crate) fn grow(&self, bytes: usize) -> Growth {
        let growth = self
            .callers
            .account
            .borrow_mut()
            .grow(self.id, bytes, now());
        self.settle(growth)
    }

    /// Closes connections that hold messages without progress, since the caller needs room for one.
    pub(crate) fn reclaim(&self, bytes: usize) {
        let mut account = self.callers.account.borrow_mut();
        account.reclaim(self.id, bytes, now());
        drop(account);
        self.callers.close_evicted();
    }

    /// Releases memory of the caller.
    pub(crate) fn shrink(&self, bytes: usize) {
        self.callers.account.borrow_mut().shrink(self.id, bytes);
    }

    fn settle(&self, growth: Growth) -> Growth {
        self.callers.close_evicted();
        growth
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.callers.account.borrow_mut().leave(self.id);
    }
}
