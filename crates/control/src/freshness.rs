use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use types::{Time, Version};

/// Tracks whether a process may accept work: whether it has a current configuration, and when it
/// last had contact with the platform or a peer.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    heard: Option<Time>,
    platform: bool,
    seeds: BTreeSet<SocketAddr>,
    greatest: Version,
    ready: bool,
}

/// Time without contact after which a process refuses new work; also the time limit within which a
/// drain must take effect everywhere.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without contact after which a process contacts more peers, so that one failed peer or one
/// lost response does not isolate it.
const FADING: Duration = Duration::from_millis(1500);

impl Freshness {
    /// Records a response of the platform or a peer to a request sent at `asked`.
    ///
    /// The time of the request counts, and requests received from others do not count at all: a
    /// process that was paused finds arbitrarily old messages when it resumes.
    pub fn hear(&mut self, asked: Time) {
        self.heard = self.heard.max(Some(asked));
    }

    /// Records that the platform reported the accepted version.
    pub fn hear_platform(&mut self) {
        self.platform = true;
    }

    /// Records a response of a seed. Only a ready seed counts, because all processes may have
    /// started at the same time.
    pub fn hear_seed(&mut self, seed: SocketAddr, ready: bool) {
        if ready && !self.ready {
            self.seeds.insert(seed);
        }
    }

    /// Records that a version exists; a starting process must not accept work under an older one.
    pub fn note(&mut self, version: Version) {
        self.greatest = self.greatest.max(version);
    }

    /// Becomes ready once the platform or a majority of the seeds has responded and no version
    /// newer than `version` is known; returns whether the process became ready just now.
    pub fn settle(&mut self, version: Version, seeds: usize) -> bool {
        let heard = self.platform || (seeds > 0 && self.seeds.len() > seeds / 2);
        if self.ready || !heard || version < self.greatest {
            return false;
        }
        self.ready = true;
        self.seeds.clear();
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
        self.heard
            .is_none_or(|heard| now.since(heard) >= ISOLATION_TIMEOUT)
    }

    /// Returns whether the process is close to isolation.
    #[must_use]
    pub fn is_fading(&self, now: Time) -> bool {
        self.heard.is_none_or(|heard| now.since(heard) >= FADING)
    }

    /// Returns when the last request was sent that the platform or a peer answered.
    #[must_use]
    pub fn heard(&self) -> Option<Time> {
        self.heard
    }
}
