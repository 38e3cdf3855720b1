//! Which failure domains an entry cannot reach.
//!
//! Load pattern: the link between two failure domains is cut for seconds. Dispatchers elsewhere
//! reach both, so they go on giving places at targets that the asking entry cannot reach; each costs
//! the time that a connection may take to open, after which the request is too late to wait.

use std::collections::HashMap;
use std::time::Duration;

use types::{Domain, Target, Time};

/// The failure domains to which connections fail.
#[derive(Debug, Default)]
pub struct Reachability {
    domains: HashMap<Domain, Failures>,
}

/// What failed in a failure domain since something there was last reached.
#[derive(Debug, Default)]
struct Failures {
    targets: HashMap<Target, Time>,
    cut: Option<Time>,
}

/// What a failed connection says of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// Nothing so far; the target alone may be gone.
    Inconclusive,
    /// The failure domain cannot be reached from now on.
    Unreachable,
    /// It was known already.
    AlreadyKnown,
}

/// Targets of a failure domain that have to be out of reach, with none reached in between, before
/// the whole is held to be: one alone may be dead.
const TARGETS: usize = 2;
/// How long a failed connection counts; a request that opens one comes a few times a second.
const COUNTED: Duration = Duration::from_millis(1500);

impl Reachability {
    /// Records that no connection to a target came about in time. One that was refused is not meant:
    /// its host was reached.
    pub fn on_failed(&mut self, domain: &Domain, target: &Target, now: Time) -> Finding {
        let failures = self.domains.entry(domain.clone()).or_default();
        if failures.cut.is_some() {
            return Finding::AlreadyKnown;
        }
        failures
            .targets
            .retain(|_, failed| now.since(*failed) < COUNTED);
        failures.targets.insert(target.clone(), now);
        if failures.targets.len() < TARGETS {
            return Finding::Inconclusive;
        }
        failures.cut = Some(now);
        Finding::Unreachable
    }

    /// Records that something in a failure domain was reached. Returns for how long it was held to
    /// be out of reach, if it was.
    pub fn on_reached(&mut self, domain: &Domain, now: Time) -> Option<Duration> {
        let failures = self.domains.remove(domain)?;
        failures.cut.map(|cut| now.since(cut))
    }

    /// Says whether a failure domain cannot be reached.
    #[must_use]
    pub fn is_unreachable(&self, domain: &Domain) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|failures| failures.cut.is_some())
    }

    /// Returns the failure domains that cannot be reached, in order of their names.
    #[must_use]
    pub fn unreachable(&self) -> Vec<Domain> {
        let cut = self.domains.iter();
        let cut = cut.filter(|(_, failures)| failures.cut.is_some());
        let mut cut: Vec<Domain> = cut.map(|(domain, _)| domain.clone()).collect();
        cut.sort();
        cut
    }
}
