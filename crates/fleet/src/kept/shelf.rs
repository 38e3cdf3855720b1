use std::collections::HashMap;
use std::time::Duration;

use types::{Domain, Time};

use super::Key;
use crate::catalog::StoreHost;

/// One store host.
#[derive(Debug)]
pub(super) struct Shelf {
    pub(super) host: StoreHost,
    pub(super) boot: Option<u64>,
    pub(super) up: bool,
    pub(super) held: HashMap<Key, Held>,
    pub(super) saving: HashMap<Key, Saving>,
    pub(super) retired: HashMap<Key, Time>,
    pub(super) tokens: u64,
    /// Seconds of transfers by this entry, of which older ones count less.
    pub(super) work: f64,
    pub(super) worked: Time,
    pub(super) willing: f64,
    pub(super) excess_ms: f64,
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

/// How much slower links between failure domains are.
const REMOTE_FACTOR: f64 = 2.0;
/// The time over which transfers are averaged, in seconds.
pub(super) const MEMORY_S: f64 = 2.0;

impl Shelf {
    pub(super) fn new(host: StoreHost) -> Self {
        Self {
            host,
            boot: None,
            up: false,
            held: HashMap::new(),
            saving: HashMap::new(),
            retired: HashMap::new(),
            tokens: 0,
            work: 0.0,
            worked: Time::default(),
            willing: 1.0,
            excess_ms: 0.0,
        }
    }

    pub(super) fn clear(&mut self) {
        self.held.clear();
        self.saving.clear();
        self.retired.clear();
        self.tokens = 0;
        self.work = 0.0;
        self.willing = 1.0;
    }

    /// Returns the seconds of transfers that count at a time.
    pub(super) fn worked(&self, now: Time) -> f64 {
        decayed(self.work, self.worked, MEMORY_S, now)
    }

    pub(super) fn drop_part(&mut self, key: &Key) {
        if let Some(held) = self.held.remove(key) {
            self.tokens -= held.tokens;
        }
    }

    /// Returns the time of a transfer without waiting; `link` is in Mbit/s, that is bits in a µs.
    pub(super) fn transfer(&self, tokens: u64, token_bytes: u64, domain: &Domain) -> Duration {
        let bits = (tokens * token_bytes * 8) as f64;
        let micros = bits / self.host.link.max(1.0);
        let factor = match *domain == self.host.domain {
            true => 1.0,
            false => REMOTE_FACTOR,
        };
        self.host.delay + Duration::from_secs_f64(micros * factor / 1e6)
    }
}

/// Returns what is left of a sum after some time, which fades with a time constant in seconds.
pub(super) fn decayed(sum: f64, last: Time, constant: f64, now: Time) -> f64 {
    sum * (-now.since(last).as_secs_f64() / constant).exp()
}
