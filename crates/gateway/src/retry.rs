//! Retries of a request: which targets it may still try, and when it gives up.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fleet::catalog::Route;
use fleet::lateness::Limit;
use fleet::queue::{self, Ticket};
use fleet::shutdown::Stage;
use types::{Build, Service, Target, Time, Version};

use crate::adapter::Platform;
use crate::answer::Reason;
use crate::attempt::{Admitted, Choice};
use crate::builds;
use crate::choose;
use crate::clock::now;
use crate::dispatch;
use crate::quarantine::{self, Trial, Verdict};
use crate::serve::{self, DEFAULT_RETRY_AFTER};
use crate::shared::Shared;
use crate::shutdown;

/// A request with less time left than this is not sent.
const MIN_REMAINING: Duration = Duration::from_millis(15);

/// The attempts of a request so far.
#[derive(Debug)]
pub(crate) struct Progress<Adapter> {
    service: Service,
    /// The version of the configuration that the service was last checked against.
    config: Version,
    excluded: Vec<Target>,
    /// Number of targets that received the request.
    pub(crate) deliveries: u32,
    /// Number of targets at which it may have run.
    pub(crate) runs: u32,
    /// Set if the request tests whether what is quarantined still crashes targets.
    pub(crate) trial: Option<Trial<Adapter>>,
    /// Whether a target may be running it.
    pub(crate) in_flight: bool,
    /// The build that began the stream, once it is known; no other may go on with it.
    pub(crate) build: Option<Build>,
    /// Whether its caller takes up a stream that an entry remembers.
    has_begun: bool,
    /// How long the last attempt took to get a connection, if it got one.
    pub(crate) connect_time: Option<Duration>,
    /// The attempt that takes the request over from a silent target.
    takeover: Option<Box<Choice>>,
    /// Its ticket while it waits in the queue of its service.
    queued: Option<Queued<Adapter>>,
}

/// A queued request; it leaves the queue when this is dropped, also if the caller disconnects.
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
        // The next queued request may be eligible now.
        self.shared.capacity_freed.notify_waiters();
    }
}

/// The next step of a request.
pub(crate) enum Step {
    /// Send it to this target.
    Send(Box<Choice>),
    /// Wait until a target has capacity, and try again.
    Wait,
    /// Respond with this reason, and a delay after which the caller may retry.
    Fail(Reason, Duration),
}

impl<Adapter> Progress<Adapter> {
    /// Starts without any attempts.
    pub(crate) fn new(service: Service, config: Version) -> Self {
        Self {
            service,
            config,
            excluded: Vec::new(),
            deliveries: 0,
            runs: 0,
            trial: None,
            in_flight: false,
            build: None,
            has_begun: false,
            connect_time: None,
            takeover: None,
            queued: None,
        }
    }

    /// Excludes a target from further attempts.
    pub(crate) fn exclude(&mut self, target: &Target) {
        if !self.excluded.contains(target) {
            self.excluded.push(target.clone());
        }
    }

    pub(crate) fn service(&self) -> &Service {
        &self.service
    }

    /// Records that the caller takes up a stream of this build.
    pub(crate) fn take_up(&mut self, origin: builds::Known) {
        self.build = Some(origin.build);
        self.has_begun = origin.is_recorded;
    }

    /// Whether the caller takes up a stream that has begun, and no target has received the request
    /// yet. Its caller has waited since the stream broke off. One that only claims to take up a
    /// stream does not pass others.
    pub(crate) fn is_taken_up(&self) -> bool {
        self.deliveries == 0 && self.has_begun
    }

    /// Returns the targets that are excluded from further attempts.
    pub(crate) fn excluded(&self) -> &[Target] {
        &self.excluded
    }

    /// Whether the route allows another run.
    pub(crate) fn may_run_again(&self, admitted: &Admitted) -> bool {
        self.runs < admitted.route.max_attempts
    }

    /// Follows a newer configuration that admits the request: its route may be longer in time, or
    /// use other services.
    pub(crate) fn follow_config(&mut self, shared: &Rc<Shared<Adapter>>, admitted: &Admitted) {
        let Some(route) = self.newer_route(shared, admitted) else {
            return;
        };
        if let Some(catalog) = shared.catalog() {
            self.config = catalog.version;
        }
        admitted.extend_deadline(route.timeout);
        if !route.uses(&self.service)
            && let Some(service) = route.pick_service(shared.random())
        {
            self.service = service.clone();
            // The ticket belongs to the queue of the former service.
            self.queued = None;
        }
    }

    /// Whether a newer configuration has moved the request to another service.
    pub(crate) fn is_moved(&self, shared: &Rc<Shared<Adapter>>, admitted: &Admitted) -> bool {
        let route = self.newer_route(shared, admitted);
        route.is_some_and(|route| !route.uses(&self.service))
    }

    /// Returns the route in a newer configuration that still admits the request.
    fn newer_route(&self, shared: &Rc<Shared<Adapter>>, admitted: &Admitted) -> Option<Arc<Route>> {
        let catalog = shared.catalog()?;
        if catalog.version <= self.config {
            return None;
        }
        let (parts, key) = (&admitted.parts, admitted.head.key.as_deref());
        let host_and_path = (serve::host(parts), parts.uri.path());
        let owner = admitted.owner.as_deref();
        let route = catalog.readmit(host_and_path, key, &admitted.route, owner);
        route.cloned()
    }

    /// Returns the next step, and leaves the queue unless the request has to wait.
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

    /// Returns the final step if the request has too little time left, or no attempts left.
    pub(crate) fn exhausted(&self, shared: &Shared<Adapter>, admitted: &Admitted) -> Option<Step> {
        let may_have_run = self.runs > 0;
        let is_stopping = !shutdown::accepts(
            shared,
            &admitted.route,
            self.stage(),
            admitted.deadline.get(),
        );
        let is_late = admitted.remaining(shared, now()) < MIN_REMAINING;
        let reason = match (may_have_run, is_stopping, is_late) {
            (false, true, _) => Reason::Stopping,
            (false, false, true) => Reason::TimedOutUnsent,
            (true, _, true) => Reason::TimedOut,
            (true, true, false) => Reason::Failed,
            (true, false, false) if !self.may_run_again(admitted) => Reason::Failed,
            (true, false, false) if !self.has_build(shared) => Reason::Failed,
            (false, false, false) if !self.has_build(shared) => Reason::NoBuild,
            (_, false, false) => return None,
        };
        Some(Step::Fail(reason, DEFAULT_RETRY_AFTER))
    }

    /// Whether any target may go on with the stream, if it has begun.
    fn has_build(&self, shared: &Shared<Adapter>) -> bool {
        let Some(build) = &self.build else {
            return true;
        };
        let roster = shared.roster.borrow();
        let mut members = roster.iter().map(|record| &record.member);
        members.any(|member| {
            member.service == self.service && member.build == *build && !member.draining
        })
    }

    /// Returns the reason of the failure of a request that has no response when a stopping entry
    /// must respond.
    pub(crate) fn cut_off(&self) -> Reason {
        match self.runs {
            0 => Reason::Stopping,
            _ => Reason::TimedOut,
        }
    }

    /// Waits until the entry is stopping and has too little time left to send the request.
    pub(crate) async fn until_last_start(&self, shared: &Shared<Adapter>, admitted: &Admitted) {
        let deadline = admitted.deadline.get();
        shutdown::until_last_start(shared, &admitted.route, self.stage(), deadline).await;
    }

    fn stage(&self) -> Stage {
        match self.runs {
            0 => Stage::Waiting,
            _ => Stage::Repeating,
        }
    }

    /// Returns the final step if the request or a segment of its prompt is quarantined.
    pub(crate) fn quarantined(
        &mut self,
        shared: &Rc<Shared<Adapter>>,
        admitted: &Admitted,
    ) -> Option<Step> {
        if self.trial.is_some() {
            return None;
        }
        let retry_after = match quarantine::decide(shared, admitted) {
            Verdict::Send => return None,
            Verdict::Trial(trial) => {
                self.trial = Some(trial);
                return None;
            }
            Verdict::Refuse(retry_after) => retry_after,
        };
        let reason = match self.runs {
            0 => Reason::Quarantined,
            _ => Reason::Failed,
        };
        Some(Step::Fail(reason, retry_after))
    }

    /// Returns the final step of a request that cannot be sent to another target.
    pub(crate) fn no_target_left(&self) -> Step {
        let reason = match self.runs {
            0 => Reason::Refused,
            _ => Reason::Failed,
        };
        Step::Fail(reason, DEFAULT_RETRY_AFTER)
    }

    /// Returns the final step of a request that gets no grant in time.
    pub(crate) fn placement_refused(&self, retry_after: Duration) -> Step {
        match self.no_target_left() {
            Step::Fail(Reason::Refused, _) if self.deliveries == 0 => {
                Step::Fail(Reason::Busy, retry_after)
            }
            Step::Fail(reason, _) => Step::Fail(reason, retry_after),
            step => step,
        }
    }

    /// Returns the attempt that takes the request over from a silent target, once.
    pub(crate) fn take_takeover(&mut self) -> Option<Box<Choice>> {
        self.takeover.take()
    }

    /// Whether the request may be sent to a target now. Sending it to another target uses the retry
    /// quota, which all entries share. From a silent target, which may go on, it is moved only to a
    /// target that is healthy.
    pub(crate) fn may_send(&self, shared: &Rc<Shared<Adapter>>, choice: &Choice) -> bool {
        if self.deliveries == 0 {
            return true;
        }
        if self.in_flight && choose::avoids(shared, &choice.member) {
            return false;
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
        if let Some(step) = self.exhausted(shared, admitted) {
            return step;
        }
        let time = now();
        // A request that was sent before skips the queue: its caller has waited longest.
        let is_first = self.deliveries == 0;
        if is_first && let Some(step) = self.check_queue(shared, admitted, time) {
            return step;
        }
        let demand = choose::demand(shared, admitted, &self.excluded, self.build.as_ref());
        // One that was sent before, has begun, or has lost time at a target that did not get it, is
        // worth sending even if it begins late.
        let is_new = is_first && !self.is_taken_up() && self.excluded.is_empty();
        let limit = is_new.then(|| Limit {
            waited: time.since(admitted.arrived),
            objective: admitted.route.objective,
        });
        let service = &self.service;
        let choice = choose::choose(shared, admitted, service, &demand, last_event, limit);
        let Some(choice) = choice else {
            if is_first {
                self.enqueue(shared, admitted);
                return Step::Wait;
            }
            return self.no_target_left();
        };
        if !self.may_send(shared, &choice) {
            return self.no_target_left();
        }
        // Counted here instead of on sending, because several requests may open connections
        // concurrently.
        let mut ramp = shared.ramp.borrow_mut();
        ramp.on_sent(&choice.member.id, time);
        Step::Send(Box::new(choice))
    }

    /// Adds the request to the queue of its service, unless it is queued already.
    fn enqueue(&mut self, shared: &Rc<Shared<Adapter>>, admitted: &Admitted) -> Ticket {
        let rank = match self.is_taken_up() {
            true => 0,
            false => admitted.rank(),
        };
        let queued = self.queued.get_or_insert_with(|| {
            let ticket = shared.queues.borrow_mut().push(&self.service, rank);
            Queued {
                shared: Rc::clone(shared),
                service: self.service.clone(),
                ticket,
                served: false,
            }
        });
        queued.ticket
    }

    /// Returns the step of a request that has to wait or is refused, or `None` if it may try a
    /// target.
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
        let max_wait = match self.is_taken_up() {
            true => admitted.retry_wait(shared, time),
            false => queue::max_wait(admitted.route.objective),
        };
        let queues = shared.queues.borrow();
        match queues.decide(service, ticket, waited, max_wait, random) {
            queue::Decision::Try => None,
            queue::Decision::Wait => Some(Step::Wait),
            queue::Decision::Refuse(retry_after) => {
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

/// Places a request, whose target is silent, at another target. Returns whether it was placed; the
/// next step is to send it there.
///
/// Dropping the future keeps the request at its target and uses no quota.
pub(crate) async fn take_over<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    progress: &mut Progress<Adapter>,
    silent: &Target,
    last_event: Option<u64>,
) -> bool
where
    Adapter: Platform,
{
    progress.exclude(silent);
    match dispatch::next(shared, admitted, progress, last_event).await {
        Step::Send(choice) => {
            progress.takeover = Some(choice);
            true
        }
        Step::Wait | Step::Fail(..) => false,
    }
}

/// Whether the roster has any target of a service.
fn has_targets<Adapter>(shared: &Rc<Shared<Adapter>>, service: &Service) -> bool {
    let roster = shared.roster.borrow();
    roster
        .iter()
        .any(|record| record.member.service == *service)
}
