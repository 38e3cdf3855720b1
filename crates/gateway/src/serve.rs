use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fleet::catalog::{Caller, Catalog, Limits};
use fleet::kept::{self, Act, Kept};
use fleet::peers::FAN_OUT;
use fleet::placement;
use fleet::roster::Member;
use fleet::stop::Stop;
use fleet::waiting::{Ticket, Turn};
use http::header::HOST;
use http::{Request, Response, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use types::{Domain, Service, Store, Target, Time};

use crate::answer::{Body, Reason, close};
use crate::attempt::{self, Asked, Choice, Outcome, Whole};
use crate::border::{Fetch, Platform, Prompt, Send};
use crate::clock::now;
use crate::journal::Event;
use crate::relay;
use crate::shared::Shared;

/// The time that a request without a deadline gets.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// When a caller may come back after a refusal that has nothing to do with load.
const SOON: Duration = Duration::from_millis(300);
/// How long a request waits before it looks again for a target.
const LOOK_AGAIN: Duration = Duration::from_millis(30);
/// A request with less time than this is not sent.
const LEAST_LEFT: Duration = Duration::from_millis(15);
/// A failure that comes later than this is one of a slow target.
const SLOW: Duration = Duration::from_millis(1500);

/// What was tried for a request.
#[derive(Debug)]
pub(crate) struct Tries<Border> {
    service: Service,
    left_out: Vec<Target>,
    /// Targets that got the request.
    arrivals: u32,
    /// Targets at which it may have run.
    runs: u32,
    /// Its place among the waiting requests.
    ticket: Option<Waiting<Border>>,
}

/// The place of a request among the waiting ones; it is given up when the caller leaves.
#[derive(Debug)]
struct Waiting<Border> {
    shared: Rc<Shared<Border>>,
    service: Service,
    ticket: Ticket,
    served: bool,
}

impl<Border> Drop for Waiting<Border> {
    fn drop(&mut self) {
        let mut lobby = self.shared.lobby.borrow_mut();
        lobby.leave(&self.service, self.ticket, self.served, now());
        // The next one may look now.
        self.shared.room.notify_waiters();
    }
}

/// What a request needs next.
enum Step {
    Send(Box<Choice>),
    Wait,
    End(Reason, Duration),
}

/// Answers a request of a caller.
pub(crate) async fn serve<Border>(
    shared: Rc<Shared<Border>>,
    request: Request<Incoming>,
) -> Response<Body>
where
    Border: Platform,
{
    let arrived = now();
    let (head, body) = request.into_parts();
    let mut response = match admit(&shared, head, body, arrived).await {
        Ok(asked) => answer(&shared, Rc::new(asked)).await,
        Err((reason, id)) => refuse(&shared, reason, SOON, &id, arrived),
    };
    if shared.stopping.get().is_some() {
        close(response.headers_mut());
    }
    response
}

/// Checks a request against the configuration and reads its body.
async fn admit<Border>(
    shared: &Rc<Shared<Border>>,
    head: request::Parts,
    body: Incoming,
    arrived: Time,
) -> Result<Asked, (Reason, Box<str>)>
where
    Border: Platform,
{
    let ask = match shared.border.ask(&head) {
        Ok(ask) => ask,
        Err(fault) => {
            Event::new("malformed")
                .with("why", fault.to_string())
                .warn();
            return Err((Reason::Malformed, "".into()));
        }
    };
    let refused = |reason| (reason, ask.id.clone());
    let catalog = shared.catalog().ok_or_else(|| refused(Reason::NoCatalog))?;
    // An unknown route or key may only be unknown because the configuration is old.
    let fresh = shared.is_fresh(arrived);
    let unless_stale = |reason| refused(if fresh { reason } else { Reason::Stale });
    let route = catalog
        .route(host(&head), head.uri.path())
        .ok_or_else(|| unless_stale(Reason::NoRoute))?;
    let holder = match catalog.caller(route, ask.key.as_deref()) {
        Caller::Anyone => None,
        Caller::Unknown => return Err(unless_stale(Reason::NoKey)),
        Caller::Known(_) if !fresh => return Err(refused(Reason::Stale)),
        Caller::Known(holder) => Some(holder),
    };
    if let Some(begun) = shared.stopping.get() {
        let stop = Stop {
            grace: shared.settings.grace(),
        };
        if !stop.accepts(route, arrived.since(begun)) {
            return Err(refused(Reason::Stopping));
        }
    }
    let patience = ask.patience.unwrap_or(DEFAULT_PATIENCE).min(route.timeout);
    let deadline = arrived + patience;
    let body = match read(body, &catalog.limits, patience).await {
        Ok(body) => body,
        Err(reason) => return Err(refused(reason)),
    };
    let route = Arc::clone(route);
    Ok(Asked {
        head,
        body,
        ask,
        route,
        holder,
        arrived,
        deadline,
    })
}

async fn read(body: Incoming, limits: &Limits, patience: Duration) -> Result<Bytes, Reason> {
    let limited = Limited::new(body, limits.body_bytes);
    match tokio::time::timeout(patience, limited.collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Reason::TooLarge),
        Ok(Err(_)) => Err(Reason::Malformed),
        Err(_) => Err(Reason::TooLate),
    }
}

fn host(head: &request::Parts) -> &str {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    named.or_else(|| head.uri.host()).unwrap_or("")
}

/// Sends a request to targets until one answers, or until it is clear that none will.
async fn answer<Border>(shared: &Rc<Shared<Border>>, asked: Rc<Asked>) -> Response<Body>
where
    Border: Platform,
{
    let Some(service) = asked.route.service(shared.draw()).cloned() else {
        return give_up(shared, &asked, Reason::NoTarget, SOON);
    };
    shared
        .retries
        .borrow_mut()
        .on_request(&service, asked.arrived);
    let mut tries = Tries::new(service);
    let mut fallback: Option<Box<Whole>> = None;
    loop {
        let choice = match tries.step(shared, &asked, asked.ask.seen) {
            Step::Send(choice) => choice,
            Step::Wait => {
                let room = shared.room.notified();
                // The time limits the wait if nothing ends meanwhile.
                let _ = tokio::time::timeout(LOOK_AGAIN, room).await;
                continue;
            }
            Step::End(reason, again) => {
                // The failure that a target answered says more than one of this entry.
                return match fallback {
                    Some(whole) => {
                        ended(shared, &asked, "error");
                        whole.response()
                    }
                    None => give_up(shared, &asked, reason, again),
                };
            }
        };
        match attempt(shared, &asked, &mut tries, &choice).await {
            Outcome::Answered(whole) => {
                let retry = whole.status.is_server_error()
                    && asked.route.repeatable()
                    && tries.may_run_again(&asked);
                if retry {
                    fallback = Some(whole);
                    continue;
                }
                shared.metrics.on_first(now().since(asked.arrived));
                ended(shared, &asked, "served");
                return whole.response();
            }
            Outcome::Started(running) => {
                shared.metrics.on_first(now().since(asked.arrived));
                return relay::respond(Rc::clone(shared), asked, tries, *running);
            }
            Outcome::NotRun { .. } => {}
            Outcome::Failed { .. } => {
                if !asked.route.repeatable() || !tries.may_run_again(&asked) {
                    let late = asked.left(now()).is_zero();
                    let reason = if late { Reason::Late } else { Reason::Failed };
                    return give_up(shared, &asked, reason, SOON);
                }
            }
        }
    }
}

/// Makes one attempt and records what it says of its target.
pub(crate) async fn attempt<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Asked,
    tries: &mut Tries<Border>,
    choice: &Choice,
) -> Outcome<Border>
where
    Border: Platform,
{
    let target = &choice.member.id;
    let sent = now();
    let outcome = attempt::run(shared, asked, choice).await;
    let time = now();
    let (word, why) = match &outcome {
        Outcome::Answered(whole) if whole.status.is_server_error() => {
            tries.arrivals += 1;
            tries.runs += 1;
            shared.board.borrow_mut().on_failure(target, time);
            ("error", whole.status.as_u16().to_string())
        }
        Outcome::Answered(whole) => {
            tries.arrivals += 1;
            tries.runs += 1;
            shared.board.borrow_mut().on_success(target);
            ("answered", whole.status.as_u16().to_string())
        }
        Outcome::Started(_) => {
            tries.arrivals += 1;
            tries.runs += 1;
            ("started", String::new())
        }
        Outcome::NotRun { sent: true, why } => {
            tries.arrivals += 1;
            let outdated = is_outdated(shared, asked.ask.prompt.as_ref(), &choice.member);
            let mut board = shared.board.borrow_mut();
            match outdated {
                true => board.on_change(target, time),
                false => board.on_refusal(target, time),
            }
            ("refused", why.clone())
        }
        Outcome::NotRun { sent: false, why } => {
            shared.board.borrow_mut().on_failure(target, time);
            ("unsent", why.clone())
        }
        Outcome::Failed { why } => {
            tries.arrivals += 1;
            tries.runs += 1;
            // A target that was slow only is not left out: the others would get its load.
            let mut board = shared.board.borrow_mut();
            if board.is_silent(target, time) || time.since(sent) < SLOW {
                board.on_failure(target, time);
            }
            ("failed", why.clone())
        }
    };
    tries.leave_out(target);
    shared.metrics.attempts.with_label_values(&[word]).inc();
    Event::new("attempt")
        .with("request", &*asked.ask.id)
        .with("target", &**target)
        .with("outcome", word)
        .with("why", why)
        .with("waited_ms", millis(sent.since(asked.arrived)))
        .with("took_ms", millis(time.since(sent)))
        .with("unread", choice.unread)
        .with("parts", choice.describe())
        .with("running", shared.board.borrow().load(target).running)
        .info();
    outcome
}

impl<Border> Tries<Border> {
    fn new(service: Service) -> Self {
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

    /// Returns the next attempt of a stream that is continued.
    pub(crate) fn next(
        &mut self,
        shared: &Rc<Shared<Border>>,
        asked: &Asked,
        seen: Option<u64>,
    ) -> Option<Choice> {
        match self.step(shared, asked, seen) {
            Step::Send(choice) => Some(*choice),
            Step::Wait | Step::End(..) => None,
        }
    }

    /// Says whether the route allows another run.
    fn may_run_again(&self, asked: &Asked) -> bool {
        self.runs < asked.route.attempts
    }

    fn step(&mut self, shared: &Rc<Shared<Border>>, asked: &Asked, seen: Option<u64>) -> Step {
        let step = self.consider(shared, asked, seen);
        if !matches!(step, Step::Wait)
            && let Some(mut waiting) = self.ticket.take()
        {
            waiting.served = matches!(step, Step::Send(_));
        }
        step
    }

    fn consider(&mut self, shared: &Rc<Shared<Border>>, asked: &Asked, seen: Option<u64>) -> Step {
        let time = now();
        if asked.left(time) < LEAST_LEFT {
            let late = self.runs > 0;
            let reason = if late { Reason::Late } else { Reason::TooLate };
            return Step::End(reason, SOON);
        }
        if self.runs > 0 && !self.may_run_again(asked) {
            return Step::End(Reason::Failed, SOON);
        }
        let unable = match self.runs {
            0 => Reason::Refused,
            _ => Reason::Failed,
        };
        // A request that was sent before goes first: its caller has waited for longest.
        let first = self.arrivals == 0;
        if first && let Some(step) = self.queue(shared, asked, time) {
            return step;
        }
        let Some(choice) = choose(shared, asked, &self.service, &self.left_out, seen) else {
            if first {
                self.join(shared, asked);
                return Step::Wait;
            }
            return Step::End(unable, SOON);
        };
        if !first {
            let entries = shared.entries.get();
            let allowed = shared.has_joined(time)
                && shared
                    .retries
                    .borrow_mut()
                    .take(&self.service, entries, time);
            if !allowed {
                return Step::End(unable, SOON);
            }
        }
        Step::Send(Box::new(choice))
    }

    /// Takes a place among the waiting requests.
    fn join(&mut self, shared: &Rc<Shared<Border>>, asked: &Asked) -> Ticket {
        let waiting = self.ticket.get_or_insert_with(|| {
            let ticket = shared.lobby.borrow_mut().join(&self.service, asked.rank());
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
    fn queue(&mut self, shared: &Rc<Shared<Border>>, asked: &Asked, time: Time) -> Option<Step> {
        let nobody = shared.lobby.borrow().is_empty(&self.service);
        if nobody && self.ticket.is_none() {
            return None;
        }
        let ticket = self.join(shared, asked);
        let service = &self.service;
        let draw = f64::from(shared.draw()) / f64::from(u32::MAX);
        let waited = time.since(asked.arrived);
        let lobby = shared.lobby.borrow();
        match lobby.turn(service, ticket, waited, asked.route.objective, draw) {
            Turn::Look => None,
            Turn::Wait => Some(Step::Wait),
            Turn::Refuse(again) => {
                let none = self.left_out.is_empty() && !has_targets(shared, service);
                let reason = if none { Reason::NoTarget } else { Reason::Busy };
                Some(Step::End(reason, again))
            }
        }
    }
}

/// Says whether the list has any target of a service.
fn has_targets<Border>(shared: &Rc<Shared<Border>>, service: &Service) -> bool {
    let roster = shared.roster.borrow();
    roster.iter().any(|entry| entry.member.service == *service)
}

/// Chooses a target for a request.
fn choose<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Asked,
    service: &Service,
    left_out: &[Target],
    seen: Option<u64>,
) -> Option<Choice> {
    let time = now();
    let catalog: Rc<Catalog> = shared.catalog()?;
    let pool = catalog.pool(service)?;
    let roster = shared.roster.borrow();
    let evacuated = shared.evacuated.borrow();
    let board = shared.board.borrow();
    let mut ramp = shared.ramp.borrow_mut();
    let bounds = &shared.settings.bounds;
    let entries = shared.entries.get();
    let cold_limit = pool.cold_rate * bounds.cold_factor + bounds.cold_slack;
    let mut usable = Vec::new();
    for entry in roster.iter() {
        let member = &entry.member;
        if member.service != *service
            || member.draining
            || evacuated.contains(&member.domain)
            || left_out.contains(&member.id)
        {
            continue;
        }
        if is_expired(shared, asked.ask.prompt.as_ref(), member, time) {
            continue;
        }
        let is_cold = pool.cold_rate > 0.0 && entry.cold_until > time;
        if is_cold
            && !(shared.has_joined(time) && ramp.allows(&member.id, cold_limit, entries, time))
        {
            continue;
        }
        let avoided = board.avoids(&member.id, time) || entry.doubted_since.is_some();
        usable.push((member, avoided));
    }
    // A target that failed lately is better than none.
    if usable.iter().any(|(_, avoided)| !avoided) {
        usable.retain(|(_, avoided)| !avoided);
    }
    let prompt = asked.ask.prompt.as_ref();
    let usable_count = usable.len();
    let kept = shared.kept.borrow();
    let near = prompt.and_then(|prompt| near(asked, prompt, &usable, &kept));
    let mut home = prompt.and_then(|prompt| home(prompt, &usable, near.as_ref()));
    sample(shared, &mut usable, &mut home, near.as_ref());
    let draw = f64::from(shared.draw()) / f64::from(u32::MAX);
    let own = prompt.map_or(0, own_tokens);
    let need = prompt.map_or(0, memory);
    let capacity = pool.engine.as_ref().map_or(0, |engine| engine.memory);
    let mut plans = Vec::with_capacity(usable.len());
    let mut candidates = Vec::with_capacity(usable.len());
    for (index, (member, _)) in usable.iter().enumerate() {
        let parts = prompt.map(|prompt| shared_parts(asked, prompt, member));
        let parts = parts.unwrap_or_default();
        let plan = kept.plan(&parts, &place(member, usable_count), draw, time);
        // Requests of a session meet at the same target, which has likely kept their parts.
        let fetch = match Some(index) == home {
            true => plan.fetch.mul_f64(HOME_FETCH),
            false => plan.fetch,
        };
        candidates.push(placement::Candidate {
            load: shared.load(&member.id),
            unread: own + plan.unread,
            fetch,
            slots: member.slots,
            capacity,
            need,
            remote: member.domain != shared.settings.domain,
            outdated: is_outdated(shared, prompt, member),
        });
        plans.push((parts, plan));
    }
    let open: Vec<usize> = (0..candidates.len())
        .filter(|&index| candidates[index].is_open())
        .collect();
    let choices: Vec<placement::Candidate> = open.iter().map(|&index| candidates[index]).collect();
    let index = open[placement::best(&choices, shared.draw())?];
    let member = Arc::clone(usable[index].0);
    let version = prompt.and_then(|prompt| member.version(&prompt.model));
    let space = prompt.map(|prompt| space(asked, &prompt.model, version));
    let (parts, plan) = plans.swap_remove(index);
    let address = |store: &Store| kept.host(store).map(|host| host.address);
    let fetch = plan.acts.iter().map(|act| match act {
        Act::Fetch(store) => address(store).map(|from| Fetch { from, tokens: None }),
        Act::Read | Act::Save(_) => None,
    });
    let save = plan.acts.iter().map(|act| match act {
        Act::Save(store) => address(store),
        Act::Read | Act::Fetch(_) => None,
    });
    // The last part of a prompt is its own and neither fetched nor saved.
    let fetch = fetch.chain(prompt.map(|_| None)).collect();
    let save = save.chain(prompt.map(|_| None)).collect();
    Some(Choice {
        send: Send {
            target: member.id.clone(),
            left: asked.left(time),
            team: asked.holder.as_ref().map(|holder| holder.team.clone()),
            seen,
            space,
            version,
            urgency: None,
            fetch,
            save,
        },
        unread: candidates[index].unread,
        need,
        targets: usable_count,
        parts,
        plan,
        member,
        pool: Arc::clone(pool),
    })
}

/// The part of the fetch time that is expected at the target where requests of a session meet.
const HOME_FETCH: f64 = 0.5;
/// Leaves a few targets to choose from, the home among them, where many entries choose.
///
/// Loads of others are some hundred ms old then, and the target that seems least loaded would get
/// the requests of all entries.
fn sample<Border>(
    shared: &Shared<Border>,
    usable: &mut Vec<(&Arc<Member>, bool)>,
    home: &mut Option<usize>,
    near: Option<&Domain>,
) {
    if shared.entries.get() <= MOST_CURRENT || usable.len() <= SAMPLE {
        return;
    }
    if let Some(index) = *home {
        usable.swap(0, index);
        *home = Some(0);
    }
    let kept = usize::from(home.is_some());
    for index in kept..SAMPLE {
        let close: Vec<usize> = (index..usable.len())
            .filter(|&other| index < SAMPLE_NEAR && Some(&usable[other].0.domain) == near)
            .collect();
        let draw = shared.draw() as usize;
        let chosen = match close.len() {
            0 => index + draw % (usable.len() - index),
            count => close[draw % count],
        };
        usable.swap(index, chosen);
    }
    usable.truncate(SAMPLE);
}

/// The number of entries up to which all loads are current at each.
const MOST_CURRENT: usize = 2 * FAN_OUT;
/// Targets to choose from beyond that.
const SAMPLE: usize = 7;
/// How many of them are close to the store host that keeps the session, if there is one.
const SAMPLE_NEAR: usize = 4;

/// Returns the failure domain of the store host that keeps the session's part, where there are
/// many targets; a transfer to another domain takes its link twice as long.
fn near(
    asked: &Asked,
    prompt: &Prompt,
    usable: &[(&Arc<Member>, bool)],
    kept: &Kept,
) -> Option<Domain> {
    let (member, _) = usable.first()?;
    let parts = shared_parts(asked, prompt, member);
    let domain = kept.domain(parts.last()?)?;
    let there = usable.iter().filter(|(member, _)| member.domain == *domain);
    (there.count() >= SAMPLE_NEAR).then(|| domain.clone())
}

/// Returns the target at which requests of a session meet.
fn home(prompt: &Prompt, usable: &[(&Arc<Member>, bool)], near: Option<&Domain>) -> Option<usize> {
    let session = prompt.parts.iter().rev().nth(1).or(prompt.parts.last())?;
    let key = routing::Key::new(&[session.id.as_bytes()]);
    let is_near = |member: &Member| near.is_none_or(|near| member.domain == *near);
    let members = usable
        .iter()
        .enumerate()
        .filter(|(_, (member, _))| is_near(member))
        .map(|(index, (member, _))| (hash(&member.id), index));
    routing::top(key, members, 1).first().copied()
}

pub(crate) fn place(member: &Member, targets: usize) -> kept::Place<'_> {
    kept::Place {
        targets,
        target: &member.id,
        domain: &member.domain,
    }
}

/// Returns the tokens of memory that a prompt takes beyond the first part, which nearly all prompts
/// share.
fn memory(prompt: &Prompt) -> u64 {
    let first = match prompt.parts.len() {
        0 | 1 => 0,
        _ => prompt.parts[0].tokens,
    };
    let expected = prompt.expected.unwrap_or(EXPECTED_OUTPUT);
    prompt.input.saturating_sub(first) + expected.min(prompt.output)
}

/// Tokens of an answer whose length nobody estimated.
const EXPECTED_OUTPUT: u64 = 80;

fn own_tokens(prompt: &Prompt) -> u64 {
    prompt.parts.last().map_or(prompt.input, |part| part.tokens)
}

/// Returns the parts that other requests may share: all but the last.
fn shared_parts(asked: &Asked, prompt: &Prompt, member: &Member) -> Vec<kept::Shared> {
    let space: Arc<str> = space(asked, &prompt.model, member.version(&prompt.model)).into();
    let count = prompt.parts.len().saturating_sub(1);
    let parts = prompt.parts.iter().take(count);
    parts
        .map(|part| kept::Shared {
            key: kept::Key {
                space: Arc::clone(&space),
                id: part.id.as_ref().into(),
            },
            tokens: part.tokens,
        })
        .collect()
}

fn is_outdated<Border>(
    shared: &Rc<Shared<Border>>,
    prompt: Option<&Prompt>,
    member: &Member,
) -> bool {
    let Some(prompt) = prompt else {
        return false;
    };
    let named = shared.rollout.borrow().named(&prompt.model);
    let serves = member.version(&prompt.model);
    matches!((named, serves), (Some(named), Some(serves)) if serves < named.version)
}

/// Returns the name under which a target keeps parts of a prompt. Weights and, where a team is
/// isolated, the team are part of it, so that parts of other ones cannot be found.
fn space(asked: &Asked, model: &str, version: Option<u64>) -> Box<str> {
    let version = version.unwrap_or(0);
    match &asked.holder {
        Some(holder) if holder.isolated => format!("{model}.{version}.{}", holder.team).into(),
        _ => format!("{model}.{version}").into(),
    }
}

/// Says whether nothing may begin on a target's weights any more, as newer ones were named too long
/// ago. What begins there is worth nothing then.
fn is_expired<Border>(
    shared: &Shared<Border>,
    prompt: Option<&Prompt>,
    member: &Member,
    time: Time,
) -> bool {
    let bound = shared.settings.weights().saturating_sub(WEIGHTS_MARGIN);
    let rollout = shared.rollout.borrow();
    let since = prompt.and_then(|prompt| rollout.outdated_since(member, &prompt.model));
    since.is_some_and(|since| time.since(since) >= bound)
}

/// The time before the bound on old weights in which a request may still wait at its target.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1500);

fn hash(target: &Target) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(target.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

fn give_up<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Asked,
    reason: Reason,
    again: Duration,
) -> Response<Body> {
    refuse(shared, reason, again, &asked.ask.id, asked.arrived)
}

fn refuse<Border>(
    shared: &Rc<Shared<Border>>,
    reason: Reason,
    again: Duration,
    id: &str,
    arrived: Time,
) -> Response<Body> {
    shared
        .metrics
        .refusals
        .with_label_values(&[reason.word()])
        .inc();
    let time = now();
    let proof = shared.proof.get().age(time).map(millis);
    Event::new("refused")
        .with("request", id)
        .with("reason", reason.word())
        .with("status", reason.status().as_u16())
        .with("after_ms", millis(time.since(arrived)))
        .with("again_ms", millis(again))
        .with("config", shared.catalog().map(|catalog| catalog.version.0))
        .with("proof_age_ms", proof)
        .warn();
    let promises = reason.status() == http::StatusCode::SERVICE_UNAVAILABLE;
    reason.answer(promises.then_some(again))
}

/// Records the end of a request that a target answered.
pub(crate) fn ended<Border>(shared: &Rc<Shared<Border>>, asked: &Asked, outcome: &str) {
    shared.metrics.requests.with_label_values(&[outcome]).inc();
    Event::new("ended")
        .with("request", &*asked.ask.id)
        .with("outcome", outcome)
        .with("route", &*asked.route.name)
        .with("after_ms", millis(now().since(asked.arrived)))
        .info();
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
