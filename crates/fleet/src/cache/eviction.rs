//! Eviction in two phases: segments are retired, which is announced to the other entries, and
//! evicted once no entry fetches them any more.

use std::time::Duration;

use types::{Store, Time};

use super::server::Cached;
use super::{Index, Key, RETIRED_TTL, Status};

/// The fraction of a host's capacity above which segments of current weights are evicted, on hosts
/// of the slowest tier.
const HIGH_WATERMARK: f64 = 0.92;
/// The fraction of a host's capacity down to which these are evicted.
const LOW_WATERMARK: f64 = 0.88;
/// The fraction of a host's capacity above which segments of older weights are evicted. Segments of
/// new weights arrive faster than capacity is freed, because other entries need time to stop using
/// a segment.
const OUTDATED_HIGH_WATERMARK: f64 = 0.65;
/// The fraction of a host's capacity down to which segments of older weights are evicted.
const OUTDATED_LOW_WATERMARK: f64 = 0.6;
/// How long a segment must be idle before it may be evicted.
const MIN_IDLE: Duration = Duration::from_secs(10);
/// The same for segments of older weights.
const OUTDATED_MIN_IDLE: Duration = Duration::from_secs(1);
/// Maximum number of segments to retire at a time; each of them is announced to the other entries
/// first.
const MAX_RETIRED: usize = 20;
/// How long other entries have to stop using a retired segment before it is evicted.
const RETIRE_GRACE: Duration = Duration::from_millis(2000);
/// An entry whose ticks are this far apart was itself stalled. It is short enough that a running
/// entry receives two messages from each other entry within [`RETIRE_GRACE`].
const STALL_THRESHOLD: Duration = Duration::from_millis(700);
/// Maximum number of pinned segments in one gossip message.
const MAX_PINNED: usize = 40;

impl Index {
    /// Records the periodic tick, several times a second. After a stall, the entry has missed the
    /// evictions that happened in the meantime, so no host counts as synced.
    ///
    /// Load pattern: the entry's host is suspended for seconds while segments are evicted. The
    /// messages that announced the evictions overflow the socket buffer before the entry resumes.
    pub fn on_tick(&mut self, now: Time) {
        if self.is_stalled(now) {
            self.resumed_at = now;
            for server in self.servers.values_mut() {
                server.synced = false;
            }
        }
        for server in self.servers.values_mut() {
            server.known_since.get_or_insert(now);
        }
        self.last_tick = Some(now);
    }

    /// Returns the time since which all announcements of evictions from a host are known, if they
    /// arrive at all.
    #[must_use]
    pub fn announced_since(&self, store: &Store) -> Option<Time> {
        let known_since = self.servers.get(store)?.known_since?;
        Some(known_since.max(self.resumed_at))
    }

    /// Records whether this entry learns of evictions from a host before they happen. Otherwise
    /// nothing is fetched from it.
    ///
    /// Load pattern: an entry starts while a host is full, and its oldest segments are evicted all
    /// the time. The host's reports show retired segments as present until they are evicted.
    ///
    /// Returns whether this has changed.
    pub fn set_informed(&mut self, store: &Store, informed: bool) -> bool {
        let server = self.servers.get_mut(store);
        server.is_some_and(|server| std::mem::replace(&mut server.informed, informed) != informed)
    }

    /// Returns whether this entry has stalled after a time.
    #[must_use]
    pub fn has_stalled_since(&self, at: Time, now: Time) -> bool {
        self.resumed_at > at || self.is_stalled(now)
    }

    pub(super) fn is_stalled(&self, now: Time) -> bool {
        self.last_tick
            .is_some_and(|last_tick| now.since(last_tick) >= STALL_THRESHOLD)
    }

    /// Records that this entry has read all reports of a host itself, with a call that began at
    /// `begun`.
    pub fn on_synced(&mut self, store: &Store, begun: Time) {
        let current = begun >= self.resumed_at;
        if let Some(server) = self.servers.get_mut(store) {
            server.synced |= current;
        }
    }

    /// Returns whether all reports of a host are known, except the newest ones. Nothing is fetched
    /// from a host that is not synced.
    #[must_use]
    pub fn is_synced(&self, store: &Store) -> bool {
        self.servers.get(store).is_some_and(|server| server.synced)
    }

    /// Chooses segments of a host to evict, if the host is nearly full or has namespaces that are
    /// out of use.
    ///
    /// Load pattern: new weights are released twice within seconds while targets still serve older
    /// ones. The hosts are then full of segments of older weights that few requests will fetch;
    /// unless these are evicted, nothing that is prefilled on the new weights can be saved.
    ///
    /// This retires at most `max` segments. They may be evicted after [`Index::retire_grace`], once
    /// the other entries have stopped using them and none reports that it is still fetching one.
    pub fn retire<Of>(&mut self, store: &Store, status: Of, max: usize, now: Time) -> Vec<Key>
    where
        Of: Fn(&str) -> Status,
    {
        let slowest = self
            .servers
            .values()
            .map(|server| server.host.latency)
            .max();
        let Some(server) = self.servers.get_mut(store) else {
            return Vec::new();
        };
        // Segments that do not fit on a fast host go to a slower one, so the slowest tier has to
        // evict segments of current weights.
        let last_resort = slowest == Some(server.host.latency);
        server.retired.retain(|_, at| now.since(*at) < RETIRED_TTL);
        server.pinned.retain(|_, at| now.since(*at) < RETIRED_TTL);
        let unused = server.cached.keys();
        let unused = unused.filter(|key| status(&key.namespace) == Status::Unused);
        let mut chosen: Vec<Key> = unused.take(max).cloned().collect();
        let freed: u64 = chosen.iter().map(|key| server.cached[key].tokens).sum();
        let capacity = server.host.capacity as f64;
        let mut occupied = (server.tokens - freed) as f64;
        let mut outdated = server.cached.keys();
        let outdated = outdated.any(|key| status(&key.namespace) == Status::Outdated);
        let (high, low) = match outdated {
            true => (OUTDATED_HIGH_WATERMARK, OUTDATED_LOW_WATERMARK),
            false => (HIGH_WATERMARK, LOW_WATERMARK),
        };
        if occupied > capacity * high {
            let cached = server.cached.iter();
            let mut idle: Vec<(Status, &Key, &Cached)> = cached
                .map(|(key, cached)| (status(&key.namespace), key, cached))
                .filter(|(status, _, cached)| match status {
                    Status::Unused => false,
                    Status::Outdated => now.since(cached.last_used) >= OUTDATED_MIN_IDLE,
                    Status::Current => last_resort && now.since(cached.last_used) >= MIN_IDLE,
                })
                .collect();
            idle.sort_by_key(|(status, _, cached)| (*status, cached.last_used));
            for (status, key, cached) in idle.into_iter().take(MAX_RETIRED.min(max - chosen.len()))
            {
                let floor = match status {
                    Status::Current => LOW_WATERMARK,
                    Status::Unused | Status::Outdated => low,
                };
                if occupied <= capacity * floor {
                    break;
                }
                occupied -= cached.tokens as f64;
                chosen.push(key.clone());
            }
        }
        self.on_retired(store, &chosen, now);
        chosen
    }

    /// Records that a request has finished a fetch or no longer needs it.
    pub fn on_fetch_done(&mut self, store: &Store, key: &Key) {
        let fetched = (store.clone(), key.clone());
        if let Some(count) = self.fetching.get_mut(&fetched) {
            *count -= 1;
            if *count == 0 {
                self.fetching.remove(&fetched);
            }
        }
    }

    /// Returns the retired segments that requests of this entry are still fetching.
    ///
    /// Load pattern: a store host or a target is slow, and a request receives its segments seconds
    /// after it was sent.
    #[must_use]
    pub fn pinned(&self) -> Vec<(Store, Key)> {
        let retired = |(store, key): &&(Store, Key)| {
            let server = self.servers.get(store);
            server.is_some_and(|server| server.retired.contains_key(key))
        };
        let pinned = self.fetching.keys().filter(retired);
        let mut pinned: Vec<(Store, Key)> = pinned.cloned().collect();
        pinned.sort();
        pinned.truncate(MAX_PINNED);
        pinned
    }

    /// Records that another entry is still fetching a retired segment.
    pub fn on_pinned(&mut self, store: &Store, key: &Key, now: Time) {
        if let Some(server) = self.servers.get_mut(store) {
            server.pinned.insert(key.clone(), now);
        }
    }

    /// Returns whether any entry has reported `within` this time that it is still fetching a
    /// segment.
    #[must_use]
    pub fn is_pinned(&self, store: &Store, key: &Key, within: Duration, now: Time) -> bool {
        let server = self.servers.get(store);
        let reported = server.and_then(|server| server.pinned.get(key));
        reported.is_some_and(|at| now.since(*at) < within)
            || self.fetching.contains_key(&(store.clone(), key.clone()))
    }

    /// Records that segments are retired; they are not fetched any more.
    pub fn on_retired(&mut self, store: &Store, keys: &[Key], now: Time) {
        let Some(server) = self.servers.get_mut(store) else {
            return;
        };
        for key in keys {
            server.remove_segment(key);
            server.retired.insert(key.clone(), now);
        }
    }

    /// Records that another entry has used a segment.
    pub fn on_used(&mut self, store: &Store, key: &Key, now: Time) {
        let server = self.servers.get_mut(store);
        if let Some(cached) = server.and_then(|server| server.cached.get_mut(key)) {
            cached.last_used = now;
        }
    }

    /// Returns how long to wait before a retired segment is evicted.
    #[must_use]
    pub fn retire_grace() -> Duration {
        RETIRE_GRACE
    }
}
