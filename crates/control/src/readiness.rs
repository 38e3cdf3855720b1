use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use types::{Time, Version};

/// Tracks whether a process may accept work: whether it has a current configuration, and when it
/// last had contact with the platform or a peer.
#[derive(Debug, Clone, Default)]
pub struct Readiness {
    last_contact: Option<Time>,
    platform_responded: bool,
    ready_seeds: BTreeSet<SocketAddr>,
    newest: Version,
    ready: bool,
}

/// Time without contact after which a process refuses new work; also the time limit within which a
/// drain must take effect everywhere.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without contact after which a process contacts more peers, so that one failed peer or one
/// lost response does not isolate it.
const NEAR_ISOLATION_TIMEOUT: Duration = Duration::from_millis(1500);

impl Readiness {
    /// Records a response of the platform or a peer to a request sent at `sent_at`.
    ///
    /// The time of the request counts, and requests received from others do not count at all: a
    /// process that was paused finds arbitrarily old messages when it resumes.
    pub fn on_response(&mut self, sent_at: Time) {
        self.last_contact = self.last_contact.max(Some(sent_at));
    }

    /// Records that the platform reported the accepted version.
    pub fn on_platform_response(&mut self) {
        self.platform_responded = true;
    }

    /// Records a response of a seed. Only a ready seed counts, because all processes may have
    /// started at the same time.
    pub fn on_seed_response(&mut self, seed: SocketAddr, ready: bool) {
        if ready && !self.ready {
            self.ready_seeds.insert(seed);
        }
    }

    /// Records that a version exists; a starting process must not accept work under an older one.
    pub fn on_version(&mut self, version: Version) {
        self.newest = self.newest.max(version);
    }

    /// Becomes ready once the platform or a majority of the seeds has responded and no version
    /// newer than `version` is known; returns whether the process became ready just now.
    pub fn update(&mut self, version: Version, seeds: usize) -> bool {
        let is_confirmed =
            self.platform_responded || (seeds > 0 && self.ready_seeds.len() > seeds / 2);
        if self.ready || !is_confirmed || version < self.newest {
            return false;
        }
        self.ready = true;
        self.ready_seeds.clear();
        true
    }

    /// Returns whether the process has received a current configuration since it started.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns whether the last contact is at least [`ISOLATION_TIMEOUT`] ago.
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        self.last_contact
            .is_none_or(|last| now.since(last) >= ISOLATION_TIMEOUT)
    }

    /// Returns whether the process is close to isolation.
    #[must_use]
    pub fn is_nearly_isolated(&self, now: Time) -> bool {
        self.last_contact
            .is_none_or(|last| now.since(last) >= NEAR_ISOLATION_TIMEOUT)
    }

    /// Returns when the last request was sent that the platform or a peer answered.
    #[must_use]
    pub fn last_contact(&self) -> Option<Time> {
        self.last_contact
    }
}
