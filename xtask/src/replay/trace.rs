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
        /// How many of the tokens were computed before the trace starts and are in the stores.
        #[serde(default)]
        history: u32,
        answer: u32,
        #[serde(default = "default_deadline")]
        deadline_ms: u64,
    },
    /// A conversation returns: all that was said before, and some tokens more.
    Return {
        at_ms: u64,
        conversation: String,
        append: u32,
        answer: u32,
        #[serde(default = "default_deadline")]
        deadline_ms: u64,
    },
    /// Operators take a failure domain out.
    Drain { at_ms: u64, domain: usize },
    /// They bring it back; `cold` engines lost their warm-up and their caches.
    Undrain {
        at_ms: u64,
        domain: usize,
        cold: bool,
    },
    /// An engine loses its runs, its cache and its warm-up without warning.
    Cold { at_ms: u64, engine: usize },
    /// An engine is away for a while and returns cold.
    Down {
        at_ms: u64,
        engine: usize,
        for_ms: u64,
    },
    /// A store host is away for a while and returns empty.
    StoreDown {
        at_ms: u64,
        store: usize,
        for_ms: u64,
    },
    /// The link of a store host gets slower by a factor.
    SlowLink {
        at_ms: u64,
        store: usize,
        factor: f64,
        for_ms: u64,
    },
    /// All engines load another weight version, two at a time.
    Rollout { at_ms: u64, weights: u32 },
    /// Stands for generated prompts and returns; see [`generate`].
    Generate(Generate),
}

/// What the generator makes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Generate {
    seed: u64,
    seconds: u32,
    /// The share of the fleet's capacity that an ideal system would use.
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

/// Reads a trace, expands its generated part and orders it by time.
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

/// The longest time from the first to the last visit of a generated conversation, in seconds.
const LONGEST: f64 = 800.0;

/// Makes conversations whose work fills the given share of the fleet.
///
/// A third of the returns come within seconds and the rest after half a minute to four minutes,
/// which is longer than an engine's memory lasts. The arrivals are a Poisson process. Only the
/// visits inside the window are given out, so that the load is the same from start to end; what
/// was said before the window is the history of a conversation.
fn generate(plan: &Generate, engines: usize) -> Vec<Line> {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let whole = f64::from(plan.seconds) + LONGEST;
    let wanted = engines as f64 * plan.load * whole;
    // Seconds of work that an ideal system could not avoid.
    let (mut compute, mut slots) = (0.0, 0.0);
    let mut lines = Vec::new();
    let mut number = 0;
    while f64::max(compute, slots / f64::from(fleet::WARM_LIMIT)) < wanted {
        number += 1;
        // The first two of ten teams are large.
        let team = match random.random_range(0..10) {
            0..=3 => 0,
            4..=6 => 1,
            _ => random.random_range(2..10),
        };
        let mut at = random.random_range(-LONGEST..f64::from(plan.seconds));
        let (mut tokens, mut history) = (random.random_range(1000..6000_u32), 0);
        let mut seen = false;
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
            let held = history / fleet::BLOCK_TOKENS * fleet::BLOCK_TOKENS;
            let work = fleet::compute(tokens - held) + fleet::LOCAL;
            compute += work.as_secs_f64();
            slots += (work + fleet::TOKEN * answer).as_secs_f64();
            let conversation = format!("c{number}");
            let (at_ms, deadline_ms) = ((at.max(0.0) * 1000.0) as u64, default_deadline());
            if (0.0..f64::from(plan.seconds)).contains(&at) {
                lines.push(if seen {
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
                seen = true;
            }
            tokens += answer;
            history = tokens;
        }
    }
    lines
}
