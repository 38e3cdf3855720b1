//! The attempts of one request: where it may still go, and when it gives up.

use std::rc::Rc;
use std::time::Duration;

use fleet::queue::{self, Decision, Ticket};
use types::{Service, Target, Time};

use crate::answer::Reason;
use crate::attempt::{Asked, Choice};
use crate::choose;
use crate::clock::now;
use crate::serve::SOON;
use crate::shared::Shared;

/// A request with less time than this is not sent.
const LEAST_LEFT: Duration = Duration::from_millis(15);

/// What was tried for a request.
#[derive(Debug)]
pub(crate) struct Tries<Adapter> {
    service: Service,
    left_out: Vec<Target>,
    /// Targets that got the request.
    pub(crate) arrivals: u32,
    /// Targets at which it may have run.
    pub(crate) runs: u32,
    /// Its place among the waiting requests.
    ticket: Option<Waiting<Adapter>>,
}

/// The place of a request among the waiting ones; it is given up when the caller leaves.
#[derive(Debug)]
struct Waiting<Adapter> {
    shared: Rc<Shared<Adapter>>,
    service: Service,
    ticket: Ticket,
    served: bool,
}

impl<Adapter> Drop for Waiting<Adapter> {
    fn drop(&mut self) {
        let mut lobby = self.shared.queues.borrow_mut();
        lobby.remove(&self.service, self.ticket, self.served, now());
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
    End(Reason, Duration),
}

impl<Adapter> Tries<Adapter> {
    /// Starts with nothing tried.
    pub(crate) fn new(service: Service) -> Self {
        Self {
            service,
            left_out: Vec::new(),
            arrivals: 0,
            runs: 0,
            ticket: None,
        }
    }

    /// Keeps further attempts from a target.
    pub(crate) fn leave_out(&mut self, target: &Target) {
        if !self.left_out.contains(target) {
            self.left_out.push(target.clone());
        }
    }

    /// Returns the service that the request is for.
    pub(crate) fn service(&self) -> &Service {
        &self.service
    }

    /// Returns the targets that get no further attempt.
    pub(crate) fn left_out(&self) -> &[Target] {
        &self.left_out
    }

    /// Says whether the route allows another run.
    pub(crate) fn may_run_again(&self, asked: &Asked) -> bool {
        self.runs < asked.route.max_attempts
    }

    /// Returns what the request needs next, and gives its place up once it stops waiting.
    pub(crate) fn step(
        &mut self,
        shared: &Rc<Shared<Adapter>>,
        asked: &Asked,
        seen: Option<u64>,
    ) -> Step {
        let step = self.consider(shared, asked, seen);
        if !matches!(step, Step::Wait)
            && let Some(mut waiting) = self.ticket.take()
        {
            waiting.served = matches!(step, Step::Send(_));
        }
        step
    }

    /// Returns the end of a request that has no time left, or may not run again.
    pub(crate) fn over(&self, asked: &Asked) -> Option<Step> {
        if asked.left(now()) < LEAST_LEFT {
            let late = self.runs > 0;
            let reason = if late { Reason::Late } else { Reason::TooLate };
            return Some(Step::End(reason, SOON));
        }
        let spent = self.runs > 0 && !self.may_run_again(asked);
        spent.then_some(Step::End(Reason::Failed, SOON))
    }

    /// Returns the end of a request that cannot be sent once more.
    pub(crate) fn unable(&self) -> Step {
        let reason = match self.runs {
            0 => Reason::Refused,
            _ => Reason::Failed,
        };
        Step::End(reason, SOON)
    }

    /// Returns the end of a request that gets no place in time.
    pub(crate) fn refused(&self, again: Duration) -> Step {
        match self.unable() {
            Step::End(Reason::Refused, _) if self.arrivals == 0 => Step::End(Reason::Busy, again),
            Step::End(reason, _) => Step::End(reason, again),
            step => step,
        }
    }

    /// Says whether the request may be sent now; another target than the first one costs a part of
    /// the budget that all entries share.
    pub(crate) fn may_send(&self, shared: &Rc<Shared<Adapter>>) -> bool {
        if self.arrivals == 0 {
            return true;
        }
        let time = now();
        let entries = shared.entry_count.get();
        let mut retries = shared.retries.borrow_mut();
        shared.may_use_quota(time) && retries.try_retry(&self.service, entries, time)
    }

    fn consider(&mut self, shared: &Rc<Shared<Adapter>>, asked: &Asked, seen: Option<u64>) -> Step {
        if let Some(step) = self.over(asked) {
            return step;
        }
        let time = now();
        // A request that was sent before goes first: its caller has waited for longest.
        let first = self.arrivals == 0;
        if first && let Some(step) = self.queue(shared, asked, time) {
            return step;
        }
        let demand = choose::demand(shared, asked, &self.left_out);
        let Some(choice) = choose::choose(shared, asked, &self.service, &demand, seen) else {
            if first {
                self.join(shared, asked);
                return Step::Wait;
            }
            return self.unable();
        };
        if !self.may_send(shared) {
            return self.unable();
        }
        // Counted here and not when it is sent: several may open connections at the same time.
        let mut ramp = shared.ramp.borrow_mut();
        ramp.on_sent(&choice.member.id, time);
        Step::Send(Box::new(choice))
    }

    /// Takes a place among the waiting requests.
    fn join(&mut self, shared: &Rc<Shared<Adapter>>, asked: &Asked) -> Ticket {
        let waiting = self.ticket.get_or_insert_with(|| {
            let ticket = shared.queues.borrow_mut().push(&self.service, asked.rank());
            Waiting {
                shared: Rc::clone(shared),
                service: self.service.clone(),
                ticket,
                served: false,
            }
        });
        waiting.ticket
    }

    /// Returns the step of a request that waits, unless it may look for a target.
    fn queue(&mut self, shared: &Rc<Shared<Adapter>>, asked: &Asked, time: Time) -> Option<Step> {
        let nobody = shared.queues.borrow().is_empty(&self.service);
        if nobody && self.ticket.is_none() {
            return None;
        }
        let ticket = self.join(shared, asked);
        let service = &self.service;
        let draw = f64::from(shared.random()) / f64::from(u32::MAX);
        let waited = time.since(asked.arrived);
        let lobby = shared.queues.borrow();
        match lobby.decide(
            service,
            ticket,
            waited,
            queue::max_wait(asked.route.objective),
            draw,
        ) {
            Decision::Try => None,
            Decision::Wait => Some(Step::Wait),
            Decision::Refuse(again) => {
                let none = self.left_out.is_empty() && !has_targets(shared, service);
                let reason = if none { Reason::NoTarget } else { Reason::Busy };
                Some(Step::End(reason, again))
            }
        }
    }
}

/// Says whether the list has any target of a service.
fn has_targets<Adapter>(shared: &Rc<Shared<Adapter>>, service: &Service) -> bool {
    let roster = shared.roster.borrow();
    roster.iter().any(|entry| entry.member.service == *service)
}
