use std::time::Duration;

use crate::Result;

/// How entries choose targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The routing of the product.
    Product,
    /// Each entry uses the targets in turn. There are no store hosts: engines only reuse what is in
    /// their own KV memory.
    RoundRobin,
    /// The target with the least load according to the last reports to the entry; no store hosts.
    LeastLoaded,
    /// The first target by rendezvous hash of the conversation, regardless of its load; no store
    /// hosts.
    Sticky,
    /// Round robin with the store hosts of the product, to separate their effect from that of
    /// routing.
    RoundRobinStores,
    /// An upper bound: knows all queues and caches, reuses every block that was ever computed, has
    /// a separate link for each fetch, and targets are never cold.
    Ideal,
}

/// All policies by name.
pub(crate) const POLICIES: [(&str, Policy); 6] = [
    ("ours", Policy::Product),
    ("round-robin", Policy::RoundRobin),
    ("least-loaded", Policy::LeastLoaded),
    ("sticky", Policy::Sticky),
    ("round-robin-stores", Policy::RoundRobinStores),
    ("bound", Policy::Ideal),
];

impl Policy {
    pub(crate) fn parse(name: &str) -> Result<Self> {
        let found = POLICIES.iter().find(|(known, _)| *known == name);
        Ok(found
            .ok_or_else(|| {
                let names: Vec<_> = POLICIES.iter().map(|(name, _)| *name).collect();
                format!("--policy {name:?}: accepted are {}", names.join(", "))
            })?
            .1)
    }

    pub(crate) fn is_ideal(self) -> bool {
        self == Self::Ideal
    }

    pub(crate) fn has_stores(self) -> bool {
        matches!(self, Self::Product | Self::RoundRobinStores | Self::Ideal)
    }
}

/// The parameters that the experiments in `docs/routing.md` vary, one at a time, with
/// `--set NAME=VALUE`.
#[derive(Debug, Clone)]
pub(crate) struct Parameters {
    /// Number of candidates in the first round.
    pub(crate) candidates: usize,
    /// Maximum number of requests that wait at an agent.
    pub(crate) max_waiting: u32,
    /// How much an agent's expected wait may exceed that of the next candidate before the agent
    /// sends the request back.
    pub(crate) redirect_margin: Option<Duration>,
    /// Whether the expected wait depends on the length of the prompt.
    pub(crate) uses_prompt_length: bool,
    /// Whether fetches have priority over exports.
    pub(crate) prioritizes_fetches: bool,
    /// The timeout of a fetch, as a multiple of the time to recompute the blocks; 0 for none.
    pub(crate) fetch_timeout: f64,
    /// Whether an agent knows which blocks are resident in its engine and fetches only the rest.
    /// Engines do not report cache events yet, so the product fetches all.
    pub(crate) trusts_cache: bool,
    /// Whether all targets are candidates after the first round.
    pub(crate) spills: bool,
}

impl Default for Parameters {
    fn default() -> Self {
        Self {
            candidates: 6,
            max_waiting: 64,
            redirect_margin: Some(routing::REDIRECT_MARGIN),
            uses_prompt_length: true,
            prioritizes_fetches: true,
            fetch_timeout: 1.0,
            spills: true,
            trusts_cache: false,
        }
    }
}

impl Parameters {
    /// Sets one parameter; `text` is `NAME=VALUE`.
    pub(crate) fn set(&mut self, text: &str) -> Result<()> {
        let (name, value) = text.split_once('=').ok_or("--set: write NAME=VALUE")?;
        match name {
            "candidates" => self.candidates = value.parse()?,
            "waiting" => self.max_waiting = value.parse()?,
            "redirect" if value == "none" => self.redirect_margin = None,
            "redirect" => self.redirect_margin = Some(Duration::from_millis(value.parse()?)),
            "sized" => self.uses_prompt_length = value.parse()?,
            "urgent" => self.prioritizes_fetches = value.parse()?,
            "patience" => self.fetch_timeout = value.parse()?,
            "believe" => self.trusts_cache = value.parse()?,
            "spill" => self.spills = value.parse()?,
            _ => return Err(format!("--set: there is no parameter {name:?}").into()),
        }
        Ok(())
    }
}
