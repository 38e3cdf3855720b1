use std::time::Duration;

use crate::Result;

/// How targets are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The product's own cores.
    Ours,
    /// Each entry takes the targets in turn; engines keep context only in their own memory.
    RoundRobin,
    /// The target with the least load that the entry heard of; no stores either.
    LeastLoaded,
    /// The first rendezvous hash of the conversation, whatever its load; no stores either.
    Sticky,
    /// Round robin with the store hosts of the product, to tell the two effects apart.
    RoundRobinStores,
    /// Knows all queues and caches, never misses a block that was ever computed, has a link of
    /// its own for each fetch and never meets a cold target.
    Bound,
}

/// All policies by name.
pub(crate) const POLICIES: [(&str, Policy); 6] = [
    ("ours", Policy::Ours),
    ("round-robin", Policy::RoundRobin),
    ("least-loaded", Policy::LeastLoaded),
    ("sticky", Policy::Sticky),
    ("round-robin-stores", Policy::RoundRobinStores),
    ("bound", Policy::Bound),
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
        self == Self::Bound
    }

    pub(crate) fn has_stores(self) -> bool {
        matches!(self, Self::Ours | Self::RoundRobinStores | Self::Bound)
    }
}

/// What the rounds of `docs/routing.md` change, one at a time, with `--set NAME=VALUE`.
#[derive(Debug, Clone)]
pub(crate) struct Knobs {
    /// Candidates of the first try.
    pub(crate) candidates: usize,
    /// Requests that may wait at an agent.
    pub(crate) waiting: u32,
    /// The wait beyond the next candidate's at which an agent sends a request back.
    pub(crate) redirect: Option<Duration>,
    /// Whether the expected wait depends on the prompt's own length.
    pub(crate) sized: bool,
    /// Whether fetches go before exports.
    pub(crate) urgent: bool,
    /// The deadline of a fetch, as a multiple of the time to recompute; 0 for none.
    pub(crate) patience: f64,
    /// Whether all targets are candidates after the first try.
    pub(crate) spill: bool,
}

impl Default for Knobs {
    fn default() -> Self {
        Self {
            candidates: 4,
            waiting: 64,
            redirect: Some(routing::REDIRECT_MARGIN),
            sized: true,
            urgent: true,
            patience: 1.0,
            spill: true,
        }
    }
}

impl Knobs {
    /// Changes one knob; `text` is `NAME=VALUE`.
    pub(crate) fn set(&mut self, text: &str) -> Result<()> {
        let (name, value) = text.split_once('=').ok_or("--set: write NAME=VALUE")?;
        match name {
            "candidates" => self.candidates = value.parse()?,
            "waiting" => self.waiting = value.parse()?,
            "redirect" if value == "none" => self.redirect = None,
            "redirect" => self.redirect = Some(Duration::from_millis(value.parse()?)),
            "sized" => self.sized = value.parse()?,
            "urgent" => self.urgent = value.parse()?,
            "patience" => self.patience = value.parse()?,
            "spill" => self.spill = value.parse()?,
            _ => return Err(format!("--set: there is no knob {name:?}").into()),
        }
        Ok(())
    }
}
