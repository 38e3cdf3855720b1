use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use types::{Domain, Time};

use super::{Key, Lateness};
use crate::catalog::StoreHost;

/// The state of one store host.
#[derive(Debug)]
pub(super) struct Shelf {
    pub(super) host: StoreHost,
    pub(super) boot: Option<u64>,
    pub(super) up: bool,
    /// Whether all its reports are known, except the newest ones.
    pub(super) sure: bool,
    pub(super) held: HashMap<Key, Held>,
    pub(super) saving: HashMap<Key, Saving>,
    pub(super) retired: HashMap<Key, Time>,
    /// When other entries last reported that they are still fetching a segment.
    pub(super) reading: HashMap<Key, Time>,
    pub(super) tokens: u64,
    /// Exponentially decaying sum of this entry's transfer times, in seconds.
    pub(super) work: f64,
    pub(super) worked: Time,
    pub(super) willing: f64,
    /// Exponentially decaying lateness of all entries' fetches: the sum in ms, the number of
    /// fetches, and the time of the last update in `judged`.
    late: (f64, f64),
    judged: Time,
    /// The lateness of each of this entry's recent fetches, in ms.
    pub(super) own: VecDeque<(Time, f64)>,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Held {
    pub(super) tokens: u64,
    pub(super) used: Time,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Saving {
    pub(super) tokens: u64,
    pub(super) since: Time,
}

/// Upper limit of a transfer time; nothing is fetched at such durations anyway.
const MOST_TRANSFER: Duration = Duration::from_secs(3600);
/// Slowdown of links between failure domains.
const REMOTE_FACTOR: f64 = 2.0;
/// Time constant of the decaying sum of transfer times, in seconds.
pub(super) const MEMORY_S: f64 = 2.0;

/// Time constant of the decaying lateness, in seconds; it covers a few dozen fetches of all
/// entries.
const JUDGED_S: f64 = 1.0;
/// Mean lateness above which a host counts as slow, in ms; queueing at the targets varies by less
/// than this.
const SLOW_MS: f64 = 150.0;
/// Factor on the fetch share for each fetch while the host is slow.
const LESS_WILLING: f64 = 0.97;
/// Increment of the fetch share for each fetch while the host is not slow.
const MORE_WILLING: f64 = 0.015;
/// Minimum fetch share of a slow host, so that its recovery is noticed.
const LEAST_WILLING: f64 = 0.05;

impl Shelf {
    pub(super) fn new(host: StoreHost) -> Self {
        Self {
            host,
            boot: None,
            up: false,
            sure: true,
            held: HashMap::new(),
            saving: HashMap::new(),
            retired: HashMap::new(),
            reading: HashMap::new(),
            tokens: 0,
            work: 0.0,
            worked: Time::default(),
            willing: 1.0,
            late: (0.0, 0.0),
            judged: Time::default(),
            own: VecDeque::new(),
        }
    }

    pub(super) fn clear(&mut self) {
        self.held.clear();
        self.saving.clear();
        self.retired.clear();
        self.reading.clear();
        self.tokens = 0;
        self.work = 0.0;
        self.willing = 1.0;
        self.late = (0.0, 0.0);
    }

    /// Lowers the fetch share of a host while its fetches are late, and raises it otherwise.
    pub(super) fn on_late(&mut self, late: Lateness, now: Time) {
        let (sum, count) = self.late;
        let left = |value| decayed(value, self.judged, JUDGED_S, now);
        self.late = (left(sum) + late.sum_ms, left(count) + f64::from(late.count));
        self.judged = now;
        let slow = self.late_ms() > SLOW_MS;
        for _ in 0..late.count {
            self.willing = match slow {
                true => (self.willing * LESS_WILLING).max(LEAST_WILLING),
                false => (self.willing + MORE_WILLING).min(1.0),
            };
        }
    }

    /// Returns the mean lateness of fetches in ms; 0 if there were none.
    pub(super) fn late_ms(&self) -> f64 {
        let (sum, count) = self.late;
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Returns the decayed sum of transfer times at `now`, in seconds.
    pub(super) fn worked(&self, now: Time) -> f64 {
        decayed(self.work, self.worked, MEMORY_S, now)
    }

    pub(super) fn drop_part(&mut self, key: &Key) {
        if let Some(held) = self.held.remove(key) {
            self.tokens -= held.tokens;
        }
    }

    /// Returns the time of a transfer without queueing.
    pub(super) fn transfer(&self, tokens: u64, token_bytes: u64, domain: &Domain) -> Duration {
        self.host.latency + self.occupied(tokens, token_bytes, domain)
    }

    /// Returns how long a transfer occupies the link. The link speed is in Mbit/s, that is bits per
    /// µs.
    pub(super) fn occupied(&self, tokens: u64, token_bytes: u64, domain: &Domain) -> Duration {
        let bits = tokens as f64 * token_bytes as f64 * 8.0;
        let micros = bits / self.host.link_mbps.max(1.0);
        let factor = match *domain == self.host.domain {
            true => 1.0,
            false => REMOTE_FACTOR,
        };
        Duration::try_from_secs_f64(micros * factor / 1e6)
            .map_or(MOST_TRANSFER, |time| time.min(MOST_TRANSFER))
    }
}

/// Returns a sum after exponential decay with a time constant in seconds.
pub(super) fn decayed(sum: f64, last: Time, constant: f64, now: Time) -> f64 {
    sum * (-now.since(last).as_secs_f64() / constant).exp()
}
