use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use types::{Time, Version};

/// Whether a process knows enough to take work: what it has heard, from whom and when.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    heard: Option<Time>,
    platform: bool,
    seeds: BTreeSet<SocketAddr>,
    greatest: Version,
    ready: bool,
}

/// How long a process may hear from nobody before it refuses new work; the time within which a
/// drain has to hold everywhere.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);
/// After this time without news a process asks more peers, so that one dead peer or one lost
/// answer does not isolate it.
const FADING: Duration = Duration::from_millis(1500);

impl Freshness {
    /// Records that the platform or a peer answered a question that was asked at `asked`.
    ///
    /// The time of the question counts, and questions of others do not count at all: a process that
    /// was paused finds messages of any age when it goes on.
    pub fn hear(&mut self, asked: Time) {
        self.heard = self.heard.max(Some(asked));
    }

    /// Records that the platform told the accepted version.
    pub fn hear_platform(&mut self) {
        self.platform = true;
    }

    /// Records an answer of a seed; only a ready seed says something about the configuration,
    /// since all processes may have started at the same time.
    pub fn hear_seed(&mut self, seed: SocketAddr, ready: bool) {
        if ready && !self.ready {
            self.seeds.insert(seed);
        }
    }

    /// Records that a version exists; a starting process must not take work under an older one.
    pub fn note(&mut self, version: Version) {
        self.greatest = self.greatest.max(version);
    }

    /// Becomes ready once the platform or a majority of the seeds was heard and nothing greater
    /// than `version` is known; says whether it became ready just now.
    pub fn settle(&mut self, version: Version, seeds: usize) -> bool {
        let heard = self.platform || (seeds > 0 && self.seeds.len() > seeds / 2);
        if self.ready || !heard || version < self.greatest {
            return false;
        }
        self.ready = true;
        self.seeds.clear();
        true
    }

    /// Says whether the process has learned the configuration since its start.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Says whether the process has heard from nobody for [`ISOLATION_TIMEOUT`].
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        self.heard
            .is_none_or(|heard| now.since(heard) >= ISOLATION_TIMEOUT)
    }

    /// Says whether the process is about to become isolated.
    #[must_use]
    pub fn is_fading(&self, now: Time) -> bool {
        self.heard.is_none_or(|heard| now.since(heard) >= FADING)
    }

    /// Returns when the last question was asked that the platform or a peer answered.
    #[must_use]
    pub fn heard(&self) -> Option<Time> {
        self.heard
    }
}
