use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use types::{Domain, Time};

use super::{Key, Lateness};
use crate::catalog::StoreHost;

/// The state of one store host.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) host: StoreHost,
    /// The last known boot id.
    pub(super) boot: Option<u64>,
    /// The boot ids before it, oldest first; a host never returns to one.
    former_boots: VecDeque<u64>,
    /// When the host was last known to run under `boot`, or to be down.
    pub(super) observed_at: Option<Time>,
    /// When the host was first known to run under `boot`.
    pub(super) boot_since: Time,
    pub(super) up: bool,
    /// Whether all its reports are known, except the newest ones.
    pub(super) synced: bool,
    /// Whether this entry learns of evictions before they happen.
    pub(super) informed: bool,
    /// Since when announcements of evictions are recorded for this host.
    pub(super) known_since: Option<Time>,
    pub(super) cached: HashMap<Key, Cached>,
    pub(super) saving: HashMap<Key, Saving>,
    pub(super) retired: HashMap<Key, Time>,
    /// When other entries last reported that they are still fetching a segment.
    pub(super) pinned: HashMap<Key, Time>,
    /// Total tokens of the cached segments.
    pub(super) tokens: u64,
    /// Exponentially decaying sum of this entry's transfer times, in seconds.
    pub(super) work: f64,
    pub(super) work_updated: Time,
    /// The fraction of possible fetches that are made; lowered while the host is slow.
    pub(super) fetch_share: f64,
    /// Exponentially decaying lateness of all entries' fetches: the sum in ms, the number of
    /// fetches, and the time of the last update in `lateness_updated`.
    lateness: (f64, f64),
    lateness_updated: Time,
    /// The lateness of each of this entry's recent fetches, in ms.
    pub(super) recent: VecDeque<(Time, f64)>,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Cached {
    pub(super) tokens: u64,
    pub(super) last_used: Time,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Saving {
    pub(super) tokens: u64,
    pub(super) since: Time,
}

/// Number of former boot ids to remember. Messages that are older than several restarts of a host
/// do not arrive.
const MAX_FORMER_BOOTS: usize = 8;
/// The age of the newest evidence of a host's boot up to which segments are fetched from it. It
/// covers two calls that a host holds for 0.8 s, and gossip among hundreds of entries.
const BOOT_EVIDENCE_TTL: Duration = Duration::from_millis(2500);
/// How long a target may take from the choice of a fetch to its start.
const FETCH_START_TIME: Duration = Duration::from_millis(1000);
/// Upper limit of a transfer time; nothing is fetched at such durations anyway.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(3600);
/// Slowdown of links between failure domains.
const REMOTE_FACTOR: f64 = 2.0;
/// Time constant of the decaying sum of transfer times, in seconds.
pub(super) const WORK_DECAY_S: f64 = 2.0;

/// Time constant of the decaying lateness, in seconds; it covers a few dozen fetches of all
/// entries.
const LATENESS_DECAY_S: f64 = 1.0;
/// Mean lateness above which a host counts as slow, in ms; queueing at the targets varies by less
/// than this.
const SLOW_MS: f64 = 150.0;
/// Factor on the fetch share for each fetch while the host is slow.
const FETCH_SHARE_DECREASE: f64 = 0.97;
/// Increment of the fetch share for each fetch while the host is not slow.
const FETCH_SHARE_INCREASE: f64 = 0.015;
/// Minimum fetch share of a slow host, so that its recovery is noticed.
const MIN_FETCH_SHARE: f64 = 0.05;

impl Server {
    pub(super) fn new(host: StoreHost) -> Self {
        Self {
            host,
            boot: None,
            former_boots: VecDeque::new(),
            observed_at: None,
            boot_since: Time::default(),
            up: false,
            synced: true,
            informed: false,
            known_since: None,
            cached: HashMap::new(),
            saving: HashMap::new(),
            retired: HashMap::new(),
            pinned: HashMap::new(),
            tokens: 0,
            work: 0.0,
            work_updated: Time::default(),
            fetch_share: 1.0,
            lateness: (0.0, 0.0),
            lateness_updated: Time::default(),
            recent: VecDeque::new(),
        }
    }

    /// Adopts a boot id that was not known before. The host has lost everything reported so far.
    pub(super) fn on_new_boot(&mut self, boot: u64, since: Time) {
        if let Some(former) = self.boot.replace(boot) {
            self.former_boots.push_back(former);
            if self.former_boots.len() > MAX_FORMER_BOOTS {
                self.former_boots.pop_front();
            }
        }
        self.boot_since = since;
        self.clear();
    }

    pub(super) fn is_former_boot(&self, boot: u64) -> bool {
        self.former_boots.contains(&boot)
    }

    /// Returns whether segments may be fetched from the host.
    pub(super) fn may_fetch(&self, now: Time) -> bool {
        let observed_at = self.observed_at;
        let is_confirmed = observed_at.is_some_and(|at| now.since(at) <= BOOT_EVIDENCE_TTL);
        self.up && self.synced && self.informed && is_confirmed
    }

    /// Returns whether segments may be saved to the host.
    pub(super) fn accepts_saves(&self, now: Time) -> bool {
        self.up && now.since(self.boot_since) >= BOOT_EVIDENCE_TTL + FETCH_START_TIME
    }

    fn clear(&mut self) {
        self.cached.clear();
        self.saving.clear();
        self.retired.clear();
        self.pinned.clear();
        self.tokens = 0;
        self.work = 0.0;
        self.fetch_share = 1.0;
        self.lateness = (0.0, 0.0);
    }

    /// Lowers the fetch share of a host while its fetches are late, and raises it otherwise.
    pub(super) fn on_lateness(&mut self, lateness: Lateness, now: Time) {
        let (sum, count) = self.lateness;
        let decay = |value| decayed(value, self.lateness_updated, LATENESS_DECAY_S, now);
        self.lateness = (
            decay(sum) + lateness.sum_ms,
            decay(count) + f64::from(lateness.count),
        );
        self.lateness_updated = now;
        let slow = self.mean_lateness_ms() > SLOW_MS;
        for _ in 0..lateness.count {
            self.fetch_share = match slow {
                true => (self.fetch_share * FETCH_SHARE_DECREASE).max(MIN_FETCH_SHARE),
                false => (self.fetch_share + FETCH_SHARE_INCREASE).min(1.0),
            };
        }
    }

    /// Returns the mean lateness of fetches in ms; 0 if there were none.
    pub(super) fn mean_lateness_ms(&self) -> f64 {
        let (sum, count) = self.lateness;
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Returns the decayed sum of transfer times at `now`, in seconds.
    pub(super) fn recent_work(&self, now: Time) -> f64 {
        decayed(self.work, self.work_updated, WORK_DECAY_S, now)
    }

    pub(super) fn remove_segment(&mut self, key: &Key) {
        if let Some(cached) = self.cached.remove(key) {
            self.tokens -= cached.tokens;
        }
    }

    /// Returns the time of a transfer without queueing.
    pub(super) fn transfer_time(&self, tokens: u64, token_bytes: u64, domain: &Domain) -> Duration {
        self.host.latency + self.link_time(tokens, token_bytes, domain)
    }

    /// Returns how long a transfer occupies the link. The link speed is in Mbit/s, that is bits per
    /// µs.
    pub(super) fn link_time(&self, tokens: u64, token_bytes: u64, domain: &Domain) -> Duration {
        let bits = tokens as f64 * token_bytes as f64 * 8.0;
        let micros = bits / self.host.link_mbps.max(1.0);
        let factor = match *domain == self.host.domain {
            true => 1.0,
            false => REMOTE_FACTOR,
        };
        Duration::try_from_secs_f64(micros * factor / 1e6)
            .map_or(MAX_TRANSFER_TIME, |time| time.min(MAX_TRANSFER_TIME))
    }
}

/// Returns a sum after exponential decay with a time constant in seconds.
pub(super) fn decayed(sum: f64, last: Time, constant: f64, now: Time) -> f64 {
    sum * (-now.since(last).as_secs_f64() / constant).exp()
}
