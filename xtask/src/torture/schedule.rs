//! The schedule of a round, which depends only on the seed and the number of the round.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::deployment::Deployment;

/// A fault. Numbers are indices into the lists of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Fault {
    /// Sends SIGKILL, later restarts the process.
    Kill(Process),
    /// Sends SIGSTOP, later SIGCONT.
    Freeze(Process),
    /// Sends SIGTERM; the process has to finish its work and exit with status 0, and is restarted.
    Terminate(Process),
    /// Closes all connections of a link and refuses new ones.
    Cut(usize),
    /// Holds back data from the connecting side of a link.
    HoldRequests(usize),
    /// Holds back data from the accepting side of a link.
    HoldAnswers(usize),
    /// Delays each chunk on a link.
    Slow(usize),
    PlatformDown,
    PlatformSlow,
    /// The platform executes the next requests but their responses are lost.
    PlatformLoses(u32),
    /// The engine turns cold without warning.
    Cold(usize),
    /// The engine breaks streams after some tokens.
    CutStreams(usize, u32),
    /// The engine executes requests but their responses are lost.
    EngineLoses(usize),
    /// The service executes calls but their responses are lost.
    ServiceLoses(usize),
    Corrupt(usize),
    Truncate(usize),
    Swap(usize),
    /// Drains a failure domain or a target for at least 4.5 s, which spans several rounds.
    Drain(String),
    /// Two operators apply configurations concurrently on the same base version.
    Race,
}

/// A process that faults can be injected into, by its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Process {
    Entry(usize),
    Agent(usize),
    Store(usize),
    Engine(usize),
    Service(usize),
}

/// A fault with its start and end, in milliseconds from the start of the round.
#[derive(Debug, Clone)]
pub(super) struct Planned {
    pub(super) fault: Fault,
    pub(super) start: u64,
    pub(super) end: u64,
}

/// A request with its start, in milliseconds from the start of the round.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) start: u64,
    pub(super) team: usize,
    pub(super) entry: usize,
    pub(super) kind: Kind,
}

/// The kind and parameters of a request.
#[derive(Debug, Clone)]
pub(super) enum Kind {
    Prompt {
        words: usize,
        tokens: u32,
        is_streamed: bool,
        is_returning: bool,
        is_probed_by_others: bool,
    },
    Call {
        has_key: bool,
        is_sent_twice: bool,
    },
}

/// The schedule of a round.
#[derive(Debug, Clone)]
pub(super) struct Round {
    pub(super) faults: Vec<Planned>,
    pub(super) requests: Vec<Request>,
}

/// Length of the interval in which the requests of a round start, in milliseconds.
const SEND_WINDOW_MS: u64 = 500;
/// Number of the alternatives from which a fault is drawn.
const FAULT_KINDS: u32 = 21;
const PROMPTS_PER_ROUND: usize = 8;
const CALLS_PER_ROUND: usize = 5;

/// Draws a round, deterministically from the seed and the number.
pub(super) fn draw(seed: u64, number: u32, deployment: &Deployment, links: &[String]) -> Round {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(u64::from(number) + 1);
    let faults = (0..rng.random_range(1..=2))
        .map(|_| {
            let start = rng.random_range(0..SEND_WINDOW_MS);
            Planned {
                fault: draw_fault(&mut rng, deployment, links),
                start,
                end: start + rng.random_range(50..800),
            }
        })
        .collect();
    let mut requests = Vec::new();
    for index in 0..PROMPTS_PER_ROUND + CALLS_PER_ROUND {
        let kind = if index < PROMPTS_PER_ROUND {
            Kind::Prompt {
                words: *[20, 300, 1100, 2100].choose(&mut rng).unwrap_or(&20),
                tokens: rng.random_range(5..60),
                is_streamed: rng.random_bool(0.7),
                is_returning: rng.random_bool(0.4),
                is_probed_by_others: rng.random_bool(0.2),
            }
        } else {
            let has_key = rng.random_bool(0.6);
            Kind::Call {
                has_key,
                is_sent_twice: has_key && rng.random_bool(0.5),
            }
        };
        requests.push(Request {
            start: rng.random_range(0..SEND_WINDOW_MS),
            team: rng.random_range(0..deployment.teams),
            entry: rng.random_range(0..deployment.entries),
            kind,
        });
    }
    Round { faults, requests }
}

fn draw_fault(rng: &mut ChaCha8Rng, deployment: &Deployment, links: &[String]) -> Fault {
    let daemons = deployment.entries + deployment.engines + deployment.services;
    let daemon = |number: usize| match number.checked_sub(deployment.entries) {
        Some(agent) => Process::Agent(agent),
        None => Process::Entry(number),
    };
    let engine = rng.random_range(0..deployment.engines);
    let store = rng.random_range(0..deployment.stores);
    let service = rng.random_range(0..deployment.services);
    let link = draw_link(rng, links);
    let number = rng.random_range(0..daemons);
    match rng.random_range(0..FAULT_KINDS) {
        0 | 1 => Fault::Kill(daemon(number)),
        2 => Fault::Kill(Process::Store(store)),
        3 | 4 => Fault::Freeze(daemon(number)),
        5 => match rng.random_range(0..3) {
            0 => Fault::Freeze(Process::Store(store)),
            1 => Fault::Freeze(Process::Engine(engine)),
            _ => Fault::Freeze(Process::Service(service)),
        },
        6 | 7 => Fault::Terminate(daemon(number)),
        8 => Fault::Cut(link),
        9 => Fault::HoldRequests(link),
        10 => Fault::HoldAnswers(link),
        11 => Fault::Slow(link),
        12 => Fault::PlatformDown,
        13 => Fault::PlatformSlow,
        14 => Fault::PlatformLoses(rng.random_range(1..4)),
        15 => Fault::Cold(engine),
        16 => Fault::CutStreams(engine, rng.random_range(0..30)),
        17 => match rng.random_bool(0.5) {
            true => Fault::EngineLoses(engine),
            false => Fault::ServiceLoses(service),
        },
        18 => match rng.random_range(0..3) {
            0 => Fault::Corrupt(store),
            1 => Fault::Truncate(store),
            _ => Fault::Swap(store),
        },
        19 => Fault::Drain(match rng.random_range(0..3) {
            0 => format!("domain {}", deployment.domain(engine)),
            1 => format!("target {}-{engine}", deployment.model),
            _ => format!("target {}-{service}", deployment.service),
        }),
        _ => Fault::Race,
    }
}

/// Draws a link, preferring those on the path of requests.
fn draw_link(rng: &mut ChaCha8Rng, links: &[String]) -> usize {
    let is_on_path = |name: &str| {
        let (from, to) = name.split_once('>').unwrap_or_default();
        from.starts_with("entry") && to.starts_with("agent")
            || from.starts_with("agent") && !to.starts_with("agent") && !to.starts_with("entry")
    };
    let on_path: Vec<_> = (0..links.len())
        .filter(|&link| is_on_path(&links[link]))
        .collect();
    match on_path.choose(rng) {
        Some(&link) if rng.random_bool(0.7) => link,
        _ => rng.random_range(0..links.len()),
    }
}

impl Fault {
    /// Returns the name under which the fault is counted.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Self::Kill(Process::Store(_)) => "store killed",
            Self::Kill(Process::Entry(_)) => "entry killed",
            Self::Kill(_) => "agent killed",
            Self::Freeze(Process::Entry(_) | Process::Agent(_)) => "own process frozen",
            Self::Freeze(_) => "outside process frozen",
            Self::Terminate(_) => "graceful shutdown",
            Self::Cut(_) => "link cut",
            Self::HoldRequests(_) => "link cut one way (requests)",
            Self::HoldAnswers(_) => "link cut one way (answers)",
            Self::Slow(_) => "link slow",
            Self::PlatformDown => "platform down",
            Self::PlatformSlow => "platform slow",
            Self::PlatformLoses(_) => "platform loses answers",
            Self::Cold(_) => "engine cold without warning",
            Self::CutStreams(..) => "engine cuts streams",
            Self::EngineLoses(_) => "engine loses answers",
            Self::ServiceLoses(_) => "service loses answers",
            Self::Corrupt(_) => "blocks corrupted",
            Self::Truncate(_) => "blocks truncated",
            Self::Swap(_) => "blocks swapped",
            Self::Drain(_) => "drain",
            Self::Race => "operators race",
        }
    }
}
