use std::path::Path;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::fleet;
use crate::Result;
use crate::deployment::Deployment;

/// One line of a trace; the format is described in `docs/trace-format.md`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Line {
    /// A conversation starts.
    Prompt {
        at_ms: u64,
        conversation: String,
        team: String,
        tokens: u32,
        /// How many of the tokens were computed before the trace starts and are cached at the store
        /// hosts.
        #[serde(default)]
        history: u32,
        answer: u32,
        #[serde(default = "default_deadline")]
        deadline_ms: u64,
    },
    /// A conversation returns: its prompts and answers so far, followed by new tokens.
    Return {
        at_ms: u64,
        conversation: String,
        append: u32,
        answer: u32,
        #[serde(default = "default_deadline")]
        deadline_ms: u64,
    },
    /// Operators drain a failure domain.
    Drain { at_ms: u64, domain: usize },
    /// Operators end the drain; `cold` engines have lost their warm-up and their caches.
    Undrain {
        at_ms: u64,
        domain: usize,
        cold: bool,
    },
    /// An engine loses its runs, its cache and its warm-up without warning.
    Cold { at_ms: u64, engine: usize },
    /// An engine is down for a while and returns cold.
    Down {
        at_ms: u64,
        engine: usize,
        for_ms: u64,
    },
    /// A store host is down for a while and returns empty.
    StoreDown {
        at_ms: u64,
        store: usize,
        for_ms: u64,
    },
    /// The link of a store host is slower by a factor for a while.
    SlowLink {
        at_ms: u64,
        store: usize,
        factor: f64,
        for_ms: u64,
    },
    /// All engines switch to another weight version, two at a time.
    Rollout { at_ms: u64, weights: u32 },
    /// Is replaced by generated prompts and returns; see [`generate`].
    Generate(Generate),
}

/// Parameters of the generator.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Generate {
    seed: u64,
    seconds: u32,
    /// The load of an ideal system, as a share of the fleet's capacity.
    load: f64,
}

fn default_deadline() -> u64 {
    60_000
}

impl Line {
    pub(crate) fn at_ms(&self) -> u64 {
        match self {
            Self::Prompt { at_ms, .. }
            | Self::Return { at_ms, .. }
            | Self::Drain { at_ms, .. }
            | Self::Undrain { at_ms, .. }
            | Self::Cold { at_ms, .. }
            | Self::Down { at_ms, .. }
            | Self::StoreDown { at_ms, .. }
            | Self::SlowLink { at_ms, .. }
            | Self::Rollout { at_ms, .. } => *at_ms,
            Self::Generate(_) => 0,
        }
    }
}

/// Reads a trace, expands its generated parts and sorts it by time.
pub(crate) fn open(path: &Path, deployment: &Deployment) -> Result<Vec<Line>> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut lines = Vec::new();
    for (number, text) in text.lines().enumerate() {
        if text.trim().is_empty() || text.starts_with("//") {
            continue;
        }
        let line = serde_json::from_str(text)
            .map_err(|error| format!("{}:{}: {error}", path.display(), number + 1))?;
        match line {
            Line::Generate(plan) => lines.extend(generate(&plan, deployment.engines)),
            line => lines.push(line),
        }
    }
    lines.sort_by_key(Line::at_ms);
    Ok(lines)
}

/// Maximum time from the first to the last visit of a generated conversation, in seconds.
const MAX_CONVERSATION_S: f64 = 800.0;

/// Generates conversations whose work amounts to the given share of the fleet's capacity.
///
/// A third of the returns come within seconds and the rest after half a minute to four minutes,
/// when an engine has evicted the conversation. The arrivals are a Poisson process. Conversations
/// also start before and end after the window, of which only the visits inside it are returned, so
/// that the load is constant; what precedes the window is the history of a conversation.
fn generate(plan: &Generate, engines: usize) -> Vec<Line> {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let duration = f64::from(plan.seconds) + MAX_CONVERSATION_S;
    let target_work = engines as f64 * plan.load * duration;
    // The work in an ideal system, in seconds: prefill, and occupied slots.
    let (mut prefill, mut slots) = (0.0, 0.0);
    let mut lines = Vec::new();
    let mut number = 0;
    while f64::max(prefill, slots / f64::from(fleet::WARM_LIMIT)) < target_work {
        number += 1;
        // The first two of ten teams send most of the requests.
        let team = match random.random_range(0..10) {
            0..=3 => 0,
            4..=6 => 1,
            _ => random.random_range(2..10),
        };
        let mut at = random.random_range(-MAX_CONVERSATION_S..f64::from(plan.seconds));
        let (mut tokens, mut history) = (random.random_range(1000..6000_u32), 0);
        let mut has_started = false;
        for visit in 0..random.random_range(2..5) {
            let append = random.random_range(100..800);
            let answer = random.random_range(20..120);
            if visit > 0 {
                at += match random.random_range(0..3) {
                    0 => random.random_range(2.0..8.0),
                    _ => random.random_range(30.0..240.0),
                };
                tokens += append;
            }
            let cached = history / fleet::BLOCK_TOKENS * fleet::BLOCK_TOKENS;
            let work = fleet::prefill_time(tokens - cached) + fleet::LOCAL_DELAY;
            prefill += work.as_secs_f64();
            slots += (work + fleet::TOKEN_INTERVAL * answer).as_secs_f64();
            let conversation = format!("c{number}");
            let (at_ms, deadline_ms) = ((at.max(0.0) * 1000.0) as u64, default_deadline());
            if (0.0..f64::from(plan.seconds)).contains(&at) {
                lines.push(if has_started {
                    Line::Return {
                        at_ms,
                        conversation,
                        append,
                        answer,
                        deadline_ms,
                    }
                } else {
                    let team = format!("team-{team}");
                    Line::Prompt {
                        at_ms,
                        conversation,
                        team,
                        tokens,
                        history,
                        answer,
                        deadline_ms,
                    }
                });
                has_started = true;
            }
            tokens += answer;
            history = tokens;
        }
    }
    lines
}
