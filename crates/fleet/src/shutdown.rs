//! Graceful shutdown: which requests a stopping process may still send to a target.

use std::collections::VecDeque;
use std::time::Duration;

use types::Time;

use crate::catalog::{Delivery, Route};

/// The phases of a graceful shutdown, by the time since it began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// The time between the request to shut down and the forced exit.
    pub grace: Duration,
    /// How late the event loop may run its tasks; see [`Lag`].
    pub lag: Duration,
}

/// How late the event loop has lately run its tasks, because the host is short of processor time.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    samples: VecDeque<(Time, Duration)>,
}

/// How far a request has come when it would be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Its head has arrived; its body may follow, and it may have to wait for a target.
    Arriving,
    /// It was accepted: its body arrives, it waits for a target, or has been granted one.
    Waiting,
    /// A target has received it, and another one would run it again or resume its stream.
    Repeating,
}

/// The fraction of the grace period in which responses may be completed; the rest is for writing
/// them to the callers, the last log lines, and the end of the process.
const RESPONSE_FRACTION: f64 = 0.95;
/// The fraction of the grace period in which streams may go on. Nothing has to be written after
/// their end.
const STREAM_FRACTION: f64 = 0.965;
/// Turns of the event loop between the end of the time for responses and the exit: the responses
/// are made, written, and awaited, and the last log lines are written.
const LAST_TURNS: u32 = 4;
/// The maximum fraction of the grace period that is kept for a late event loop. Requests that were
/// accepted in time may need most of the period.
const MAX_LAG_FRACTION: f64 = 0.13;
/// How long a lag counts.
const LAG_WINDOW: Duration = Duration::from_secs(5);
/// The time in which the balancer notices the shutdown: two health checks one second apart have to
/// fail. Until then it sends new connections.
const NOTICE_TIME: Duration = Duration::from_millis(2400);
/// The fraction of the grace period that is left for a stream from its arrival on, and for any
/// request whose own deadline is later than the exit.
const ARRIVING_FRACTION: f64 = 0.65;
/// The fraction of the grace period that is left for a stream once it has a target.
const WAITING_FRACTION: f64 = 0.5;
/// Latency objectives within which plain requests and resumed streams are usually served, also by a
/// slow target.
const OBJECTIVES: u32 = 4;

impl Lag {
    /// Records how late a task has run.
    pub fn on_sample(&mut self, lag: Duration, now: Time) {
        self.samples.push_back((now, lag));
        let is_old = |(at, _): &(Time, Duration)| now.since(*at) >= LAG_WINDOW;
        while self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
    }

    /// Returns the greatest recent lag.
    #[must_use]
    pub fn greatest(&self) -> Duration {
        let lags = self.samples.iter().map(|(_, lag)| *lag);
        lags.max().unwrap_or_default()
    }
}

impl Shutdown {
    /// Returns the part of the grace period in which the shutdown has to be complete.
    ///
    /// Load pattern: callers of entries that have stopped come to small hosts, which stop next.
    /// Each step there waits for the tasks before it, and a process that takes its steps as late
    /// as an idle one is killed before it has responded.
    #[must_use]
    pub fn usable(&self) -> Duration {
        let reserve = self.lag.saturating_mul(LAST_TURNS);
        self.grace - reserve.min(self.grace.mul_f64(MAX_LAG_FRACTION))
    }

    /// Returns the earliest time at which a request must have a response, however late the event
    /// loop becomes.
    #[must_use]
    pub fn earliest_response_limit(&self, delivery: Delivery) -> Duration {
        let lag = Duration::MAX;
        Self { lag, ..*self }.response_limit(delivery)
    }

    /// Returns the time since the shutdown began at which a request must have a response, or the
    /// end of its stream.
    #[must_use]
    pub fn response_limit(&self, delivery: Delivery) -> Duration {
        self.usable().mul_f64(match delivery {
            Delivery::Idempotent | Delivery::AtMostOnce => RESPONSE_FRACTION,
            Delivery::Stream => STREAM_FRACTION,
        })
    }

    /// Returns the time since the shutdown began after which a request is not sent to a target any
    /// more. `deadline` is the request's own, also since the shutdown began.
    ///
    /// Load pattern: if all entries of a failure domain shut down at the same time, the balancer
    /// sends callers to them until they are gone. A request that is sent too late to be served
    /// before the exit ends without a result, and one that may run only once cannot be repeated.
    /// Refused in time, it is served by another entry. One that ends before the exit in any case is
    /// accepted. A stream is accepted so only if it ends before the earliest limit, because once it
    /// has begun it can only be cut.
    #[must_use]
    pub fn last_start(&self, route: &Route, stage: Stage, deadline: Duration) -> Duration {
        let limit = self.response_limit(route.delivery);
        let safe_limit = match (route.delivery, stage) {
            (Delivery::Stream, Stage::Arriving) => self.earliest_response_limit(route.delivery),
            _ => limit,
        };
        if deadline <= safe_limit {
            return deadline;
        }
        let plain = route.objective.saturating_mul(OBJECTIVES);
        let longest = self.usable().mul_f64(match stage {
            Stage::Arriving => ARRIVING_FRACTION,
            Stage::Waiting | Stage::Repeating => WAITING_FRACTION,
        });
        let needed = match (route.delivery, stage) {
            (Delivery::Stream, Stage::Arriving | Stage::Waiting) => longest,
            (Delivery::Stream, Stage::Repeating)
            | (Delivery::Idempotent | Delivery::AtMostOnce, _) => plain.min(longest),
        };
        let last_start = limit.saturating_sub(needed);
        match (route.delivery, stage) {
            // It may outlast the grace period, and cannot be answered otherwise once it has begun.
            (Delivery::Stream, Stage::Arriving) => last_start.min(NOTICE_TIME),
            _ => last_start,
        }
    }

    /// Returns whether a request may be sent `since` the shutdown began; see
    /// [`Shutdown::last_start`].
    #[must_use]
    pub fn accepts(
        &self,
        route: &Route,
        stage: Stage,
        deadline: Duration,
        since: Duration,
    ) -> bool {
        since < self.last_start(route, stage, deadline)
    }
}
