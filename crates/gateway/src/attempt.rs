use std::cell::RefCell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fleet::cache::{self, Key};
use fleet::catalog::{Delivery, Pool, Route};
use fleet::roster::Member;
use fleet::stream::Limit;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, Response, StatusCode, request};
use http_body_util::Full;
use hyper::body::Incoming;
use types::{Store, Target, Time};

use crate::adapter::{Envelope, Head, Platform};
use crate::buffer::{self, Hold};
use crate::clock::now;
use crate::connection::{self, Connection, Error, Next};
use crate::logging::Event;
use crate::reachability;
use crate::shared::Shared;
use crate::sse::{Chunk, Events, Step};

/// A request of a caller, whole and checked.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    /// Counts the body for as long as the request is under way.
    pub(crate) _hold: Hold,
    pub(crate) ask: Head,
    pub(crate) route: Arc<Route>,
    pub(crate) holder: Option<Arc<fleet::catalog::Owner>>,
    pub(crate) arrived: Time,
    /// When the caller or the route gives up.
    pub(crate) deadline: Time,
    /// Who had no place for it in time, and the number under which that was asked.
    pub(crate) refused_by: RefCell<Option<Place>>,
}

/// Where an attempt goes.
#[derive(Debug, Clone)]
pub(crate) struct Choice {
    pub(crate) member: Arc<Member>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) send: Envelope,
    /// Tokens that the target has to read.
    pub(crate) unread: u64,
    /// Tokens of memory that the request takes there.
    pub(crate) need: u64,
    /// The number of targets from which it was chosen.
    pub(crate) targets: usize,
    /// The parts of the prompt that others may share.
    pub(crate) parts: Vec<cache::Segment>,
    /// What becomes of them.
    pub(crate) plan: cache::Plan,
    /// The place that a dispatcher gave for it.
    pub(crate) place: Option<Place>,
}

/// A place that the dispatcher of a cell gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Place {
    /// The dispatcher.
    pub(crate) dispatcher: String,
    /// The number of the request for the place.
    pub(crate) number: u64,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Outcome<Adapter> {
    /// The whole answer is there.
    Answered(Box<Whole>),
    /// The stream has begun.
    Started(Box<Running<Adapter>>),
    /// The request has not run at this target and will not; `sent` says whether it got there.
    NotRun {
        /// Whether the target got the request.
        sent: bool,
        /// What happened, for logs.
        why: String,
    },
    /// The request may have run, or it ran and the answer is lost.
    Failed {
        /// What happened, for logs.
        why: String,
    },
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) hold: Hold,
}

/// A stream whose first event is there.
#[derive(Debug)]
pub(crate) struct Running<Adapter> {
    pub(crate) headers: HeaderMap,
    pub(crate) status: StatusCode,
    /// The first events; none if the stream has ended without any.
    pub(crate) first: Option<Chunk>,
    pub(crate) events: Events,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) flight: Flight<Adapter>,
    pub(crate) keep: Option<Duration>,
    pub(crate) closes: bool,
}

/// Counts a request at its target while it is under way.
#[derive(Debug)]
pub(crate) struct Flight<Adapter> {
    shared: Rc<Shared<Adapter>>,
    target: Target,
    unread: u64,
    need: u64,
    reading: bool,
    /// What the target fetches for it.
    fetched: Vec<(Store, Key)>,
}

/// How often a request that waits for the first byte looks whether its target still sends anything.
const LOOK: Duration = Duration::from_millis(200);
/// Callers give up a stream after a gap of this many objectives, this many pauses, or the least gap,
/// whichever is the longest.
const GAP_OBJECTIVES: u32 = 4;
/// See [`GAP_OBJECTIVES`].
const GAP_PAUSES: u32 = 8;
/// See [`GAP_OBJECTIVES`].
const LEAST_GAP: Duration = Duration::from_secs(2);
/// The part of a target's connections that all entries use together; health checks and closing
/// connections take the rest.
const CONNECTIONS: f64 = 0.8;

impl<Adapter> Flight<Adapter> {
    fn start(shared: &Rc<Shared<Adapter>>, choice: &Choice) -> Self {
        let target = choice.member.id.clone();
        shared
            .tracker
            .borrow_mut()
            .on_sent(&target, choice.unread, choice.need, now());
        let time = now();
        shared.cache_index.borrow_mut().on_sent(
            &choice.parts,
            &choice.plan,
            &crate::choose::place(&choice.member, choice.targets),
            shared.entry_count.get(),
            time,
        );
        let mut fetched = Vec::new();
        for (part, act) in choice.parts.iter().zip(&choice.plan.actions) {
            if let cache::Action::Fetch(store) = act {
                fetched.push((store.clone(), part.key.clone()));
            }
        }
        let mut peers = shared.peers.borrow_mut();
        for (store, key) in &fetched {
            peers.on_used(store.clone(), key.clone(), time);
        }
        drop(peers);
        let tokens = &shared.metrics.prompt_tokens;
        tokens.with_label_values(&["read"]).inc_by(choice.unread);
        let input = choice.need.saturating_sub(choice.unread);
        tokens.with_label_values(&["kept"]).inc_by(input);
        if let Some(place) = &choice.place {
            shared.dispatch.on_settled(shared, place);
        }
        shared.dispatch.on_load(&target);
        Self {
            shared: Rc::clone(shared),
            target,
            unread: choice.unread,
            need: choice.need,
            reading: true,
            fetched,
        }
    }

    fn on_fetched(&mut self) {
        let mut kept = self.shared.cache_index.borrow_mut();
        for (store, key) in self.fetched.drain(..) {
            kept.on_fetch_done(&store, &key);
        }
    }

    /// Records the first event.
    pub(crate) fn on_first(&mut self) {
        if std::mem::take(&mut self.reading) {
            let mut board = self.shared.tracker.borrow_mut();
            board.on_first_token(&self.target, self.unread);
            self.shared.dispatch.on_first(&self.target);
            drop(board);
            self.on_fetched();
        }
    }

    /// Returns the target.
    pub(crate) fn target(&self) -> &Target {
        &self.target
    }
}

impl<Adapter> Drop for Flight<Adapter> {
    fn drop(&mut self) {
        self.on_first();
        let mut board = self.shared.tracker.borrow_mut();
        board.on_end(&self.target, self.need);
        self.shared.dispatch.on_load(&self.target);
        self.shared.capacity_freed.notify_waiters();
    }
}

impl Choice {
    /// Says for logs what becomes of each shared part.
    pub(crate) fn describe(&self) -> String {
        let parts = self.parts.iter().zip(&self.plan.actions);
        let words = parts.map(|(part, act)| {
            let (id, tokens) = (&part.key.id, part.tokens);
            match act {
                cache::Action::Prefill => format!("{id}:{tokens} read"),
                cache::Action::Skip(store) => format!("{id}:{tokens} skip {store}"),
                cache::Action::Save(store) => format!("{id}:{tokens} save {store}"),
                cache::Action::Fetch(store) => format!("{id}:{tokens} fetch {store}"),
            }
        });
        words.collect::<Vec<_>>().join(", ")
    }
}

impl Asked {
    /// Returns the time that is left.
    pub(crate) fn left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the rank: that of the team goes before that of the route.
    pub(crate) fn rank(&self) -> u8 {
        let team = self.holder.as_ref().and_then(|holder| holder.rank);
        team.unwrap_or(self.route.rank)
    }

    /// Returns how long nothing may come before the caller has given up.
    pub(crate) fn gap(&self) -> Duration {
        if self.route.delivery != Delivery::Stream {
            return Duration::MAX;
        }
        let objectives = self.route.objective * GAP_OBJECTIVES;
        let pauses = self.route.gap_objective * GAP_PAUSES;
        objectives.max(pauses).max(LEAST_GAP)
    }
}

/// Waits for a target for as long as the caller does, or, where the request can be sent again, until
/// the target has fallen silent. A busy target is waited for: what it has read would be lost.
pub(crate) async fn patiently<Adapter, Coming>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Asked,
    target: &Target,
    coming: Coming,
) -> Result<Coming::Output, String>
where
    Adapter: Platform,
    Coming: Future,
{
    let begun = now();
    let most = asked.gap().min(asked.left(begun));
    let mut coming = pin!(coming);
    loop {
        let waited = now().since(begun);
        let left = most.saturating_sub(waited);
        if let Ok(output) = tokio::time::timeout(left.min(LOOK), coming.as_mut()).await {
            shared.tracker.borrow_mut().on_heard(target, now());
            return Ok(output);
        }
        let time = now();
        let (silent, asks, stalled) = {
            let mut board = shared.tracker.borrow_mut();
            board.on_tick(time);
            let stalled = time.since(board.awake_since()) < LOOK;
            (
                board.is_unresponsive(target, time),
                board.should_probe(target, time),
                stalled,
            )
        };
        // After a standstill of the entry, what came meanwhile has not been read yet.
        if left <= LOOK && !stalled {
            return Err(format!("nothing came within {most:?}"));
        }
        if silent && asked.route.is_retryable() {
            return Err("the target has fallen silent".to_owned());
        }
        if asks {
            tokio::task::spawn_local(ask(Rc::clone(shared), target.clone()));
        }
    }
}

/// Asks a quiet target whether it is there. One that answers is slow, and its work goes on.
async fn ask<Adapter>(shared: Rc<Shared<Adapter>>, target: Target)
where
    Adapter: Platform,
{
    let engine = {
        let (roster, catalog) = (shared.roster.borrow(), shared.catalog());
        let member = roster.get(&target).map(|entry| Arc::clone(&entry.member));
        let pool = |member: &Member| catalog?.pool(&member.service).cloned();
        member.filter(|member| pool(member).is_some_and(|pool| pool.engine.is_some()))
    };
    // A plain service answers in some tens of milliseconds and has no such call.
    let Some(member) = engine else {
        return;
    };
    let there = shared.adapter.status(member.address).await.is_some();
    if there {
        shared.tracker.borrow_mut().on_heard(&target, now());
    }
    Event::new("target_asked")
        .with("target", &*target)
        .with("answers", there)
        .info();
}

/// Sends a request to a target and waits for the whole answer, or for the first event of a stream.
///
/// Dropping the future closes the connection, which stops the target's work.
pub(crate) async fn run<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Asked,
    choice: &Choice,
) -> Outcome<Adapter>
where
    Adapter: Platform,
{
    let once = !asked.route.is_retryable();
    loop {
        let connection = match connect(shared, choice, once).await {
            Ok(connection) => connection,
            Err(unopened) => {
                let why = unopened.to_string();
                return Outcome::NotRun { sent: false, why };
            }
        };
        let used = connection.used;
        match exchange(shared, asked, choice, connection).await {
            // The target closed an idle connection; nothing of the request was sent.
            Outcome::NotRun { sent: false, .. } if used => {}
            outcome => return outcome,
        }
    }
}

async fn connect<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    choice: &Choice,
    once: bool,
) -> Result<Connection, Error>
where
    Adapter: Platform,
{
    let entries = shared.entry_count.get().max(1) as f64;
    let share = f64::from(choice.pool.max_connections) * CONNECTIONS / entries;
    let limit = (share as u32).max(1);
    let next = shared
        .connections
        .borrow_mut()
        .next(&choice.member.id, limit, once, now());
    match next {
        Next::Use(connection) => Ok(connection),
        Next::Open(slot) => {
            shared.metrics.connections.inc();
            reachability::connect(shared, &choice.member, slot).await
        }
        Next::Full => Err(Error::Exhausted(limit)),
    }
}

async fn exchange<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Asked,
    choice: &Choice,
    mut connection: Connection,
) -> Outcome<Adapter>
where
    Adapter: Platform,
{
    let request = match compose(shared, asked, choice) {
        Ok(request) => request,
        Err(why) => return Outcome::NotRun { sent: false, why },
    };
    let sent = now();
    let mut flight = Flight::start(shared, choice);
    let sending = connection.sender.try_send_request(request);
    let response = match patiently(shared, asked, flight.target(), sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            if error.take_message().is_some() {
                let why = error.into_error().to_string();
                return Outcome::NotRun { sent: false, why };
            }
            let error = error.into_error();
            if error.is_parse() {
                shared
                    .metrics
                    .invalid_responses
                    .with_label_values(&["head"])
                    .inc();
            }
            let why = error.to_string();
            return Outcome::Failed { why };
        }
        Err(why) => return Outcome::Failed { why },
    };
    let answered = now();
    let (head, mut body) = response.into_parts();
    let answer = shared.adapter.parse_response(head.status, &head.headers);
    // A refusal of another request says nothing of this one, which may be running; dropping the
    // connection keeps the answer that is still missing from the next request.
    if answer.id.as_deref() != Some(&*asked.ask.id) {
        shared
            .metrics
            .invalid_responses
            .with_label_values(&["foreign"])
            .inc();
        let why = format!("status {} of another request", head.status.as_u16());
        return Outcome::Failed { why };
    }
    let mut hold = Hold::new(&shared.buffers);
    if answer.not_run || answer.misdirected {
        let why = format!("status {}", head.status.as_u16());
        let rest = buffer::collect(&mut body, REFUSAL_BYTES, &mut hold);
        let collected = tokio::time::timeout(SHORT, rest).await;
        if !answer.closes && matches!(collected, Ok(Ok(_))) {
            connection::keep(shared, flight.target(), connection, answer.keep_alive);
        }
        return Outcome::NotRun { sent: true, why };
    }
    if !answer.authentic {
        let why = format!("status {} without the target's mark", head.status.as_u16());
        return Outcome::Failed { why };
    }
    let left = asked.left(now());
    if asked.route.delivery == Delivery::Stream && head.status.is_success() {
        let waited = answered.since(sent);
        let pace = shared.on_first_event(choice.unread, waited);
        let excess = waited.saturating_sub(pace.duration(choice.unread));
        let domain = &choice.member.domain;
        shared
            .cache_index
            .borrow_mut()
            .on_first_token(&choice.plan, domain, excess, now());
        return begin(shared, asked, head, body, connection, flight, &answer).await;
    }
    let limit = shared.settings.limits.answer_bytes;
    let whole = buffer::collect(&mut body, limit, &mut hold);
    let whole = tokio::time::timeout(left, whole).await;
    flight.on_first();
    let body = match whole {
        Ok(Ok(whole)) => whole,
        Ok(Err(problem)) => {
            if !matches!(problem, buffer::Problem::Broken(_)) {
                shared
                    .metrics
                    .invalid_responses
                    .with_label_values(&["long"])
                    .inc();
            }
            let why = format!("the answer cannot be used: {problem}");
            return Outcome::Failed { why };
        }
        Err(_) => {
            let why = "the answer did not end in time".to_owned();
            return Outcome::Failed { why };
        }
    };
    if !answer.closes {
        connection::keep(shared, flight.target(), connection, answer.keep_alive);
    }
    Outcome::Answered(Box::new(Whole {
        status: head.status,
        headers: shared.adapter.downstream_headers(&head.headers),
        body,
        hold,
    }))
}

/// How long the rest of a refusal may take.
const SHORT: Duration = Duration::from_millis(200);
/// Bytes of a refusal; it has little to say.
const REFUSAL_BYTES: usize = 64 << 10;

/// Waits for the first event of a stream.
async fn begin<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Asked,
    head: http::response::Parts,
    mut body: Incoming,
    connection: Connection,
    mut flight: Flight<Adapter>,
    answer: &crate::adapter::Response,
) -> Outcome<Adapter>
where
    Adapter: Platform,
{
    let prompt = asked.ask.prompt.as_ref();
    let extent = Limit::new(prompt.map(|prompt| prompt.max_output));
    let mut events = Events::new(extent, Hold::new(&shared.buffers));
    let target = flight.target().clone();
    let coming = next(shared, &target, &mut events, &mut body);
    let first = patiently(shared, asked, &target, coming).await;
    let first = match first.and_then(|first| first) {
        Ok(first) => first,
        Err(why) => return Outcome::Failed { why },
    };
    flight.on_first();
    Outcome::Started(Box::new(Running {
        headers: shared.adapter.downstream_headers(&head.headers),
        status: head.status,
        first,
        events,
        body,
        connection,
        flight,
        keep: answer.keep_alive,
        closes: answer.closes,
    }))
}

/// Waits for the next whole events of a stream; `None` is the regular end. A target is heard by each
/// byte that it sends, also by those in which no event ends.
pub(crate) async fn next<Adapter>(
    shared: &Shared<Adapter>,
    target: &Target,
    events: &mut Events,
    body: &mut Incoming,
) -> Result<Option<Chunk>, String> {
    loop {
        match events.read(body).await? {
            Step::Events(chunk) => return Ok(Some(chunk)),
            Step::End => return Ok(None),
            Step::Part => shared.tracker.borrow_mut().on_heard(target, now()),
        }
    }
}

fn compose<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Asked,
    choice: &Choice,
) -> Result<Request<Full<Bytes>>, String>
where
    Adapter: Platform,
{
    let mut send = choice.send.clone();
    send.remaining = asked.left(now());
    let path = asked.head.uri.path_and_query();
    let path = path.map_or("/", PathAndQuery::as_str);
    let mut request = Request::builder()
        .method(asked.head.method.clone())
        .uri(path)
        .body(Full::new(asked.body.clone()))
        .map_err(|error| error.to_string())?;
    *request.headers_mut() = shared.adapter.upstream_headers(&asked.head, &send);
    if asked.head.method != Method::GET || !asked.body.is_empty() {
        let length = http::HeaderValue::from(asked.body.len());
        request
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, length);
    }
    Ok(request)
}

impl Whole {
    /// Makes the answer to the caller.
    pub(crate) fn response(self) -> Response<crate::answer::Body> {
        let mut response = Response::new(crate::answer::Body::held(self.body, self.hold));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
