//! Keeps a stream at the software build that began it, wherever its caller takes it up.
//!
//! See `docs/design/builds.md`.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::builds::{Origin, Recorded, Step, Stream};
use platform::{Commit, Row, Write};
use tokio::sync::mpsc;
use types::{Build, Service, Time};

use crate::adapter::Platform;
use crate::attempt::{Admitted, Choice};
use crate::clock::now;
use crate::logging::Event;
use crate::packet::Message;
use crate::retry::Progress;
use crate::shared::Shared;

/// Row of the builds that have served each service lately.
const ROW: &str = "builds/services";
/// The number of entries that record builds; the others are fallbacks for the first.
const RECORDERS: usize = 3;
/// How long each fallback waits for the entries before it.
const RECORD_STEP: Duration = Duration::from_secs(1);
/// How often the list of targets is compared with the known builds.
const INTERVAL: Duration = Duration::from_millis(100);
/// How often the known builds are compared with the recorded ones if none is new.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Back-off after a failed call to the table store.
const BACK_OFF: Duration = Duration::from_millis(300);
/// The number of other entries that keep the build of a stream. Datagrams may be lost, and hosts
/// fail together.
const HOLDERS: usize = 3;
/// The number of entries that are asked for the build of a stream; some that kept it may be gone,
/// and others may have started since.
const ASKED: usize = 8;
/// How long to wait for a reply before the question is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(15);
/// How often a question is sent.
const MAX_QUESTIONS: usize = 3;
/// Streams in one datagram.
const MAX_STREAMS: usize = 200;
/// How long streams of a service may be taken up if the configuration is unknown.
const DEFAULT_WINDOW: Duration = Duration::from_secs(30);
/// A caller's deadline spans its attempts, each of which the route's timeout limits.
const TIMEOUTS: u32 = 2;

/// Follows the builds in the list of targets and records them in the table store, so that an entry
/// which starts knows of builds that have just left.
pub(crate) async fn watch<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let mut recorded = load(&shared).await;
    let mut era = shared.era();
    let mut differs_since: Option<Time> = None;
    let mut next_check = now();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let has_new_build = observe(&shared);
        if !has_new_build && now() < next_check {
            continue;
        }
        next_check = now() + CHECK_INTERVAL;
        if era != shared.era() {
            // The table store was restored, perhaps from a copy with another row.
            era = shared.era();
            recorded = None;
        }
        if shared.roster.borrow().iter().next().is_none() {
            continue;
        }
        let rank = shared.live_rank(ROW);
        let Some(rank) = rank.filter(|rank| *rank < RECORDERS) else {
            continue;
        };
        if step(&shared, recorded.as_ref(), rank) == Step::Keep {
            differs_since = None;
            continue;
        }
        let since = *differs_since.get_or_insert_with(now);
        let turn = RECORD_STEP * u32::try_from(rank).unwrap_or(u32::MAX);
        if now().since(since) < turn {
            continue;
        }
        match record(&shared, rank).await {
            Ok(current) => {
                recorded = Some(current);
                differs_since = None;
            }
            Err(why) => {
                log::warn!("the row {ROW} cannot be written: {why}");
                tokio::time::sleep(BACK_OFF).await;
            }
        }
    }
}

/// Reads the recorded builds at the start of the process.
async fn load<Adapter>(shared: &Rc<Shared<Adapter>>) -> Option<Recorded>
where
    Adapter: Platform,
{
    loop {
        match shared.adapter.get(ROW).await {
            Ok(row) => {
                let recorded = row.and_then(|row| parse(&row));
                let window = window(shared);
                let is_first_start = shared.settings.first_start;
                let mut register = shared.builds.borrow_mut();
                let history = &mut register.history;
                history.on_recorded(recorded.as_ref(), is_first_start, window, now());
                return recorded;
            }
            Err(error) => log::warn!("the row {ROW} cannot be read: {error}"),
        }
        tokio::time::sleep(BACK_OFF).await;
    }
}

/// Parses the recorded builds. An invalid row counts as none, so that nothing is presumed of the
/// builds that have left.
fn parse(row: &Row) -> Option<Recorded> {
    match serde_json::from_value(row.value.clone()) {
        Ok(recorded) => Some(recorded),
        Err(error) => {
            log::warn!("the row {ROW} is invalid: {error}");
            None
        }
    }
}

/// Reads the row and replaces it if it differs from what is known; returns its content.
///
/// # Errors
/// Fails with the cause when the store does not respond, or when another entry has written the row.
async fn record<Adapter>(shared: &Rc<Shared<Adapter>>, rank: usize) -> Result<Recorded, String>
where
    Adapter: Platform,
{
    let row = shared.adapter.get(ROW).await;
    let row = row.map_err(|error| error.to_string())?;
    let recorded = row.as_ref().and_then(parse);
    let wanted = match step(shared, recorded.as_ref(), rank) {
        Step::Keep => return Ok(recorded.unwrap_or_default()),
        Step::Write(wanted) => wanted,
    };
    let write = Write {
        key: ROW.to_owned(),
        expect: row.map_or(0, |row| row.version),
        value: Some(serde_json::json!(wanted)),
    };
    match shared.adapter.commit(&[write]).await {
        Ok(Commit::Applied(_)) => {
            Event::new("builds_recorded")
                .with("builds", serde_json::json!(wanted).to_string())
                .info();
            Ok(wanted)
        }
        Ok(Commit::Conflict(_)) => Err("another entry has written it".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

fn step<Adapter>(shared: &Shared<Adapter>, recorded: Option<&Recorded>, rank: usize) -> Step {
    let removes = rank == 0 && shared.dispatch.uptime() >= window(shared);
    shared.builds.borrow().history.record(recorded, removes)
}

/// Returns how long after its beginning a stream may be taken up, and how long after its target has
/// left the list.
fn window<Adapter>(shared: &Shared<Adapter>) -> Duration {
    let catalog = shared.catalog();
    let timeout = catalog.map(|catalog| catalog.longest_resumable);
    timeout.map_or(DEFAULT_WINDOW, |timeout| {
        timeout * TIMEOUTS + shared.settings.drain_limit()
    })
}

/// Compares the list of targets with the known builds. When a service gets another build, the
/// recent streams are told to other entries again: some that were told before may have restarted.
/// Returns whether a service has a new build.
fn observe<Adapter>(shared: &Shared<Adapter>) -> bool {
    let time = now();
    let window = window(shared);
    let has_new_build = {
        let roster = shared.roster.borrow();
        let mut register = shared.builds.borrow_mut();
        let generation = Some(roster.generation());
        let has_new_build = register.generation != generation && {
            register.generation = generation;
            let members = roster.iter().map(|record| &record.member);
            let listed = members.map(|member| (&member.service, &member.build));
            register.history.on_listed(listed, time)
        };
        register.history.expire(window, time);
        register.log.expire(window, time);
        has_new_build
    };
    if has_new_build {
        let streams: Vec<(Stream, Build)> = {
            let register = shared.builds.borrow();
            let own = register.log.own();
            own.map(|(stream, build)| (stream, build.clone())).collect()
        };
        tell(shared, &streams);
    }
    has_new_build
}

/// Records that a target has begun a stream, or goes on with one that its caller takes up. Others
/// are told at once, also while all targets have one build: when another build appears, this entry
/// may be suspended or gone.
pub(crate) fn on_begun<Adapter>(
    shared: &Shared<Adapter>,
    admitted: &Admitted,
    progress: &mut Progress<Adapter>,
    choice: &Choice,
) {
    if !admitted.route.resumable {
        return;
    }
    let build = &choice.member.build;
    progress.build.get_or_insert_with(|| build.clone());
    let stream = stream(admitted);
    let is_new = {
        let mut register = shared.builds.borrow_mut();
        let service = &choice.member.service;
        register.history.on_begun(service, build, now());
        register.log.add_own(stream, build, now())
    };
    if is_new {
        tell(shared, &[(stream, build.clone())]);
    }
}

/// Returns whether targets with different builds serve, or have served lately.
pub(crate) fn is_mixed<Adapter>(shared: &Shared<Adapter>, service: &Service) -> bool {
    shared.builds.borrow().history.is_mixed(service, now())
}

/// The build that began a stream which a caller takes up.
#[derive(Debug)]
pub(crate) struct Known {
    pub(crate) build: Build,
    /// Whether an entry remembers the stream. Otherwise its service has had no other build lately.
    pub(crate) is_recorded: bool,
}

/// Returns the build that began the stream which a caller takes up; `None` if that is not known.
pub(crate) async fn origin<Adapter>(
    shared: &Shared<Adapter>,
    admitted: &Admitted,
    service: &Service,
) -> Option<Known> {
    let stream = stream(admitted);
    if let Some(build) = shared.builds.borrow().log.get(&stream) {
        return Some(Known {
            build: build.clone(),
            is_recorded: true,
        });
    }
    // Also if all known targets have one build: another one may have appeared while this entry was
    // suspended or cut off from the table store.
    let told = match &admitted.head.resumes {
        Some(_) => ask(shared, stream).await,
        None => None,
    };
    let known = match told {
        Some(build) => {
            shared.builds.borrow_mut().log.add(stream, &build, now());
            Some(Known {
                build,
                is_recorded: true,
            })
        }
        None => presume(shared, service),
    };
    Event::new("stream_origin")
        .with("request", &*admitted.head.id)
        .with("resumes", admitted.head.resumes.as_deref())
        .with("build", known.as_ref().map(|known| &*known.build))
        .with("recorded", known.as_ref().map(|known| known.is_recorded))
        .info();
    known
}

/// Returns the build of a stream that no entry remembers, if its service has had no other.
fn presume<Adapter>(shared: &Shared<Adapter>, service: &Service) -> Option<Known> {
    observe(shared);
    let time = now();
    // The list was read after the start, perhaps from a neighbour of which no notice has come yet.
    let started_at = time - shared.dispatch.uptime();
    let confirmed_at = shared.discovery.confirmed_at(time).max(Some(started_at));
    let register = shared.builds.borrow();
    match register.history.origin(service, confirmed_at, time) {
        Origin::Known(build) => Some(Known {
            build,
            is_recorded: false,
        }),
        Origin::Unknown => None,
    }
}

/// Asks other entries for the build of a stream.
async fn ask<Adapter>(shared: &Shared<Adapter>, stream: Stream) -> Option<Build> {
    let (sender, mut replies) = mpsc::unbounded_channel();
    let number = shared.dispatch.next_sequence();
    let questions = &shared.dispatch.origins;
    questions.borrow_mut().insert(number, sender);
    let answer = async {
        for _ in 0..MAX_QUESTIONS {
            let asked = holders(shared, stream, ASKED);
            if asked.is_empty() {
                return None;
            }
            for to in asked {
                let message = Message::AskOrigin(number, stream);
                shared.dispatch.send_to(&message, to);
            }
            if let Ok(Some(build)) = tokio::time::timeout(RESEND_INTERVAL, replies.recv()).await {
                return Some(build);
            }
        }
        None
    };
    let build = answer.await;
    questions.borrow_mut().remove(&number);
    build
}

/// Keeps the builds that began streams, as another entry tells.
pub(crate) fn on_told<Adapter>(shared: &Shared<Adapter>, streams: Vec<(Stream, Build)>) {
    let mut register = shared.builds.borrow_mut();
    for (stream, build) in streams {
        register.log.add(stream, &build, now());
    }
}

/// Answers the question of another entry if the build is known.
pub(crate) fn on_question<Adapter>(
    shared: &Shared<Adapter>,
    number: u64,
    stream: Stream,
    sender: SocketAddr,
) {
    let build = shared.builds.borrow().log.get(&stream).cloned();
    if let Some(build) = build {
        let message = Message::Origin(number, build);
        shared.dispatch.send_to(&message, sender);
    }
}

/// Passes an answer on to the request that waits for it.
pub(crate) fn on_answer<Adapter>(shared: &Shared<Adapter>, number: u64, build: Build) {
    if let Some(question) = shared.dispatch.origins.borrow().get(&number) {
        // Another answer may have come first.
        let _ = question.send(build);
    }
}

/// Tells other entries which builds began streams.
fn tell<Adapter>(shared: &Shared<Adapter>, streams: &[(Stream, Build)]) {
    let mut by_holder: BTreeMap<SocketAddr, Vec<(Stream, Build)>> = BTreeMap::new();
    for (stream, build) in streams {
        for holder in holders(shared, *stream, HOLDERS) {
            let told = by_holder.entry(holder).or_default();
            told.push((*stream, build.clone()));
        }
    }
    for (holder, streams) in by_holder {
        for streams in streams.chunks(MAX_STREAMS) {
            let message = Message::Began(streams.to_vec());
            shared.dispatch.send_to(&message, holder);
        }
    }
}

/// Returns the addresses of the first `count` other entries for a stream, which all entries rank in
/// the same way.
fn holders<Adapter>(shared: &Shared<Adapter>, stream: Stream, count: usize) -> Vec<SocketAddr> {
    let key = u128::from_le_bytes(stream.0).to_string();
    let addresses: HashMap<String, _> = shared.peer_addresses().into_iter().collect();
    let order = shared.presumed_order(&key, count + 1);
    let addresses = order.iter().filter_map(|name| addresses.get(name));
    let port = shared.settings.peer_port;
    let holders = addresses.map(|ip| SocketAddr::new(*ip, port));
    holders.take(count).collect()
}

/// Identifies the stream of a request, or that which its caller takes up.
fn stream(admitted: &Admitted) -> Stream {
    let owner = admitted.owner.as_ref();
    let team = owner.map_or(&b""[..], |owner| owner.team.as_bytes());
    let id = admitted.head.resumes.as_deref();
    let id = id.unwrap_or(&admitted.head.id);
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(team.len() as u64).to_le_bytes());
    hasher.update(team);
    hasher.update(id.as_bytes());
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Stream(bytes)
}
