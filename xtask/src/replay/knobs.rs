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

/// When kept context is fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fetch {
    /// After the agent has admitted the request.
    After,
    /// While it waits for admission.
    Overlap,
    /// Before admission is asked for.
    Before,
}

/// What the rounds of `docs/routing.md` change, one at a time, with `--set NAME=VALUE`.
#[derive(Debug, Clone)]
pub(crate) struct Knobs {
    pub(crate) candidates: usize,
    pub(crate) waiting: u32,
    pub(crate) sent: Duration,
    pub(crate) slot: Duration,
    pub(crate) told: bool,
    pub(crate) served: bool,
    pub(crate) fetch: Fetch,
    pub(crate) urgent: bool,
    pub(crate) parallel: bool,
    pub(crate) patience: f64,
    pub(crate) spill: bool,
    pub(crate) confirm_first: bool,
    /// The wait beyond the next candidate's at which an agent sends a request back.
    pub(crate) redirect: Option<Duration>,
    pub(crate) sized: bool,
}

impl Default for Knobs {
    fn default() -> Self {
        Self {
            candidates: 4,
            waiting: 0,
            sent: Duration::ZERO,
            slot: Duration::from_millis(200),
            told: false,
            served: false,
            fetch: Fetch::After,
            urgent: false,
            parallel: false,
            patience: 0.0,
            spill: false,
            confirm_first: false,
            redirect: None,
            sized: false,
        }
    }
}

impl Knobs {
    /// Changes one knob; `text` is `NAME=VALUE`.
    pub(crate) fn set(&mut self, text: &str) -> Result<()> {
        let (name, value) = text.split_once('=').ok_or("--set: write NAME=VALUE")?;
        let millis = || -> Result<Duration> { Ok(Duration::from_millis(value.parse()?)) };
        match name {
            "candidates" => self.candidates = value.parse()?,
            "waiting" => self.waiting = value.parse()?,
            "sent" => self.sent = millis()?,
            "slot" => self.slot = millis()?,
            "told" => self.told = value.parse()?,
            "served" => self.served = value.parse()?,
            "urgent" => self.urgent = value.parse()?,
            "parallel" => self.parallel = value.parse()?,
            "patience" => self.patience = value.parse()?,
            "confirm_first" => self.confirm_first = value.parse()?,
            "redirect" if value == "none" => self.redirect = None,
            "redirect" => self.redirect = Some(millis()?),
            "sized" => self.sized = value.parse()?,
            "spill" => self.spill = value.parse()?,
            "fetch" => {
                self.fetch = match value {
                    "after" => Fetch::After,
                    "overlap" => Fetch::Overlap,
                    "before" => Fetch::Before,
                    _ => return Err("--set fetch: accepted are after, overlap, before".into()),
                }
            }
            _ => return Err(format!("--set: there is no knob {name:?}").into()),
        }
        Ok(())
    }
}
