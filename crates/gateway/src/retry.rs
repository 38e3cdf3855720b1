//! The attempts of one request: where it may still go, and when it gives up.

use std::rc::Rc;
use std::time::Duration;

use fleet::queue::{self, Decision, Ticket};
use types::{Service, Target, Time};

use crate::answer::Reason;
use crate::attempt::{Admitted, Choice};
use crate::choose;
use crate::clock::now;
use crate::serve::DEFAULT_RETRY_AFTER;
use crate::shared::Shared;

/// A request with less time than this is not sent.
const MIN_REMAINING: Duration = Duration::from_millis(15);

/// What was tried for a request.
#[derive(Debug)]
pub(crate) struct Progress<Adapter> {
    service: Service,
    excluded: Vec<Target>,
    /// Targets that got the request.
    pub(crate) deliveries: u32,
    /// Targets at which it may have run.
    pub(crate) runs: u32,
    /// Its place among the waiting requests.
    queued: Option<Queued<Adapter>>,
}

/// The place of a request among the waiting ones; it is given up when the caller leaves.
#[derive(Debug)]
struct Queued<Adapter> {
    shared: Rc<Shared<Adapter>>,
    service: Service,
    ticket: Ticket,
    served: bool,
}

impl<Adapter> Drop for Queued<Adapter> {
    fn drop(&mut self) {
        let mut queues = self.shared.queues.borrow_mut();
        queues.remove(&self.service, self.ticket, self.served, now());
        // The next one may look now.
        self.shared.capacity_freed.notify_waiters();
    }
}

/// What a request needs next.
pub(crate) enum Step {
    /// Send it there.
    Send(Box<Choice>),
    /// Wait until a target has room, and ask again.
    Wait,
    /// Answer the caller, who may come back after the time.
    Fail(Reason, Duration),
}

impl<Adapter> Progress<Adapter> {
    /// Starts with nothing tried.
    pub(crate) fn new(service: Service) -> Self {
        Self {
            service,
            excluded: Vec::new(),
            deliveries: 0,
            runs: 0,
            queued: None,
        }
    }

    /// Keeps further attempts from a target.
    pub(crate) fn exclude(&mut self, target: &Target) {
        if !self.excluded.contains(target) {
            self.excluded.push(target.clone());
        }
    }

    /// Returns the service that the request is for.
    pub(crate) fn service(&self) -> &Service {
        &self.service
    }

    /// Returns the targets that get no further attempt.
    pub(crate) fn excluded(&self) -> &[Target] {
        &self.excluded
    }

    /// Says whether the route allows another run.
    pub(crate) fn may_run_again(&self, admitted: &Admitted) -> bool {
        self.runs < admitted.route.max_attempts
    }

    /// Returns what the request needs next, and gives its place up once it stops waiting.
    pub(crate) fn step(
        &mut self,
        shared: &Rc<Shared<Adapter>>,
        admitted: &Admitted,
        last_event: Option<u64>,
    ) -> Step {
        let step = self.decide_step(shared, admitted, last_event);
        if !matches!(step, Step::Wait)
            && let Some(mut queued) = self.queued.take()
        {
            queued.served = matches!(step, Step::Send(_));
        }
        step
    }

    /// Returns the end of a request that has no time left, or may not run again.
    pub(crate) fn exhausted(&self, admitted: &Admitted) -> Option<Step> {
        if admitted.remaining(now()) < MIN_REMAINING {
            let may_have_run = self.runs > 0;
            let reason = if may_have_run {
                Reason::TimedOut
            } else {
                Reason::TimedOutUnsent
            };
            return Some(Step::Fail(reason, DEFAULT_RETRY_AFTER));
        }
        let out_of_attempts = self.runs > 0 && !self.may_run_again(admitted);
        out_of_attempts.then_some(Step::Fail(Reason::Failed, DEFAULT_RETRY_AFTER))
    }

    /// Returns the end of a request that cannot be sent once more.
    pub(crate) fn no_target_left(&self) -> Step {
        let reason = match self.runs {
            0 => Reason::Refused,
            _ => Reason::Failed,
        };
        Step::Fail(reason, DEFAULT_RETRY_AFTER)
    }

    /// Returns the end of a request that gets no place in time.
    pub(crate) fn placement_refused(&self, retry_after: Duration) -> Step {
        match self.no_target_left() {
            Step::Fail(Reason::Refused, _) if self.deliveries == 0 => {
                Step::Fail(Reason::Busy, retry_after)
            }
            Step::Fail(reason, _) => Step::Fail(reason, retry_after),
            step => step,
        }
    }

    /// Says whether the request may be sent now; another target than the first one costs a part of
    /// the budget that all entries share.
    pub(crate) fn may_send(&self, shared: &Rc<Shared<Adapter>>) -> bool {
        if self.deliveries == 0 {
            return true;
        }
        let time = now();
        let entries = shared.entry_count.get();
        let mut retries = shared.retries.borrow_mut();
        shared.may_use_quota(time) && retries.try_retry(&self.service, entries, time)
    }

    fn decide_step(
        &mut self,
        shared: &Rc<Shared<Adapter>>,
        admitted: &Admitted,
        last_event: Option<u64>,
    ) -> Step {
        if let Some(step) = self.exhausted(admitted) {
            return step;
        }
        let time = now();
        // A request that was sent before goes first: its caller has waited for longest.
        let is_first = self.deliveries == 0;
        if is_first && let Some(step) = self.check_queue(shared, admitted, time) {
            return step;
        }
        let demand = choose::demand(shared, admitted, &self.excluded);
        let Some(choice) = choose::choose(shared, admitted, &self.service, &demand, last_event)
        else {
            if is_first {
                self.enqueue(shared, admitted);
                return Step::Wait;
            }
            return self.no_target_left();
        };
        if !self.may_send(shared) {
            return self.no_target_left();
        }
        // Counted here and not when it is sent: several may open connections at the same time.
        let mut ramp = shared.ramp.borrow_mut();
        ramp.on_sent(&choice.member.id, time);
        Step::Send(Box::new(choice))
    }

    /// Takes a place among the waiting requests.
    fn enqueue(&mut self, shared: &Rc<Shared<Adapter>>, admitted: &Admitted) -> Ticket {
        let queued = self.queued.get_or_insert_with(|| {
            let ticket = shared
                .queues
                .borrow_mut()
                .push(&self.service, admitted.rank());
            Queued {
                shared: Rc::clone(shared),
                service: self.service.clone(),
                ticket,
                served: false,
            }
        });
        queued.ticket
    }

    /// Returns the step of a request that waits, unless it may look for a target.
    fn check_queue(
        &mut self,
        shared: &Rc<Shared<Adapter>>,
        admitted: &Admitted,
        time: Time,
    ) -> Option<Step> {
        let is_empty = shared.queues.borrow().is_empty(&self.service);
        if is_empty && self.queued.is_none() {
            return None;
        }
        let ticket = self.enqueue(shared, admitted);
        let service = &self.service;
        let random = f64::from(shared.random()) / f64::from(u32::MAX);
        let waited = time.since(admitted.arrived);
        let queues = shared.queues.borrow();
        match queues.decide(
            service,
            ticket,
            waited,
            queue::max_wait(admitted.route.objective),
            random,
        ) {
            Decision::Try => None,
            Decision::Wait => Some(Step::Wait),
            Decision::Refuse(retry_after) => {
                let has_no_target = self.excluded.is_empty() && !has_targets(shared, service);
                let reason = if has_no_target {
                    Reason::NoTarget
                } else {
                    Reason::Busy
                };
                Some(Step::Fail(reason, retry_after))
            }
        }
    }
}

/// Says whether the list has any target of a service.
fn has_targets<Adapter>(shared: &Rc<Shared<Adapter>>, service: &Service) -> bool {
    let roster = shared.roster.borrow();
    roster.iter().any(|entry| entry.member.service == *service)
}
