use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

use fleet::allowance::{Ramp, Retries, Terms};
use fleet::catalog::Catalog;
use fleet::placement::Board;
use fleet::proof::Proof;
use fleet::rollout::Rollout;
use fleet::roster::Roster;
use rand::Rng;
use tokio::sync::Notify;
use types::{Domain, Service, Target, Time};

use crate::connection;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// What all tasks of an entry share. One thread runs them, so cells suffice; no borrow is held
/// while a task waits.
#[derive(Debug)]
pub(crate) struct Shared<Border> {
    pub(crate) settings: Settings,
    pub(crate) border: Border,
    pub(crate) metrics: Metrics,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) roster: RefCell<Roster>,
    pub(crate) evacuated: RefCell<HashSet<Domain>>,
    pub(crate) proof: Cell<Proof>,
    pub(crate) board: RefCell<Board>,
    pub(crate) retries: RefCell<Retries<Service>>,
    pub(crate) ramp: RefCell<Ramp<Target>>,
    pub(crate) rollout: RefCell<Rollout>,
    pub(crate) lines: RefCell<connection::Lines>,
    /// Entries that share the allowances, this one among them.
    pub(crate) entries: Cell<usize>,
    /// The time before which an entry that joined uses no allowances, as others still count
    /// without it.
    pub(crate) joined: Cell<Option<Time>>,
    /// When the process was told to stop.
    pub(crate) stopping: Cell<Option<Time>>,
    /// Woken when weights fall behind.
    pub(crate) lag: Notify,
}

impl<Border> Shared<Border> {
    pub(crate) fn new(settings: Settings, border: Border, metrics: Metrics) -> Self {
        let bounds = settings.bounds;
        let terms = Terms {
            ratio: bounds.retry_ratio,
            window: settings.retry_window(),
            extra: bounds.retry_extra,
        };
        Self {
            settings,
            border,
            metrics,
            catalog: RefCell::default(),
            roster: RefCell::default(),
            evacuated: RefCell::default(),
            proof: Cell::default(),
            board: RefCell::default(),
            retries: RefCell::new(Retries::new(terms)),
            ramp: RefCell::default(),
            rollout: RefCell::default(),
            lines: RefCell::default(),
            entries: Cell::new(1),
            joined: Cell::new(None),
            stopping: Cell::new(None),
            lag: Notify::new(),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Says whether keyed requests may be served.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        self.proof.get().holds(now, self.settings.revoke())
    }

    /// Says whether the allowances that entries share may be used.
    pub(crate) fn has_joined(&self, now: Time) -> bool {
        self.joined.get().is_some_and(|joined| now >= joined)
    }

    /// Says whether new connections are welcome.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        self.stopping.get().is_none() && self.catalog.borrow().is_some() && self.is_fresh(now)
    }

    /// Returns a uniformly distributed number.
    pub(crate) fn draw(&self) -> u32 {
        rand::rng().random()
    }
}
