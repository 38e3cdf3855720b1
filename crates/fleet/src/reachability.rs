//! Detection of failure domains that an entry cannot reach.
//!
//! Load pattern: the link between two failure domains is cut for seconds. Dispatchers elsewhere
//! reach both, so they continue to grant targets that the requesting entry cannot reach; each such
//! grant costs the connection timeout, after which the request is too late to wait.

use std::collections::HashMap;
use std::time::Duration;

use types::{Domain, Target, Time};

/// The failure domains to which connections fail.
#[derive(Debug, Default)]
pub struct Reachability {
    domains: HashMap<Domain, Failures>,
}

/// Connection failures in a failure domain since something there was last reached.
#[derive(Debug, Default)]
struct Failures {
    targets: HashMap<Target, Time>,
    unreachable_since: Option<Time>,
}

/// What a failed connection says about its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// Nothing yet; only this target may be down.
    Inconclusive,
    /// The failure domain is considered unreachable from now on.
    Unreachable,
    /// The failure domain was considered unreachable already.
    AlreadyKnown,
}

/// Number of unreachable targets, with none reached in between, from which the whole failure domain
/// is considered unreachable. A single one may be down.
const MIN_TARGETS: usize = 2;
/// How long a failed connection counts; a request that opens one arrives a few times a second.
const FAILURE_WINDOW: Duration = Duration::from_millis(1500);

impl Reachability {
    /// Records that a connection to a target timed out. A refused connection does not count, since
    /// its host was reached.
    pub fn on_failed(&mut self, domain: &Domain, target: &Target, now: Time) -> Finding {
        let failures = self.domains.entry(domain.clone()).or_default();
        if failures.unreachable_since.is_some() {
            return Finding::AlreadyKnown;
        }
        failures
            .targets
            .retain(|_, failed| now.since(*failed) < FAILURE_WINDOW);
        failures.targets.insert(target.clone(), now);
        if failures.targets.len() < MIN_TARGETS {
            return Finding::Inconclusive;
        }
        failures.unreachable_since = Some(now);
        Finding::Unreachable
    }

    /// Records that something in a failure domain was reached. Returns for how long the domain was
    /// considered unreachable, if it was.
    pub fn on_reached(&mut self, domain: &Domain, now: Time) -> Option<Duration> {
        let failures = self.domains.remove(domain)?;
        failures.unreachable_since.map(|since| now.since(since))
    }

    /// Returns whether a failure domain is considered unreachable.
    #[must_use]
    pub fn is_unreachable(&self, domain: &Domain) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|failures| failures.unreachable_since.is_some())
    }

    /// Returns the unreachable failure domains, ordered by name.
    #[must_use]
    pub fn unreachable(&self) -> Vec<Domain> {
        let unreachable = self.domains.iter();
        let unreachable = unreachable.filter(|(_, failures)| failures.unreachable_since.is_some());
        let mut unreachable: Vec<Domain> = unreachable.map(|(domain, _)| domain.clone()).collect();
        unreachable.sort();
        unreachable
    }
}
