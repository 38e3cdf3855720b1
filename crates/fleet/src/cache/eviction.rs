//! Eviction in two phases: segments are retired, which is announced to the other entries, and
//! evicted once no entry fetches them any more.

use std::time::Duration;

use types::{Store, Time};

use super::server::Held;
use super::{Index, Key, RETIRED, Status};

/// The fraction of a host's capacity above which segments of current weights are evicted, on hosts
/// of the slowest tier.
const FULL: f64 = 0.92;
/// The fraction of a host's capacity down to which these are evicted.
const FREED: f64 = 0.88;
/// The fraction of a host's capacity above which segments of older weights are evicted. Segments of
/// new weights arrive faster than capacity is freed, because other entries need time to stop using
/// a segment.
const OUTDATED_FULL: f64 = 0.65;
/// The fraction of a host's capacity down to which segments of older weights are evicted.
const OUTDATED_FREED: f64 = 0.6;
/// How long a segment must be idle before it may be evicted.
const LEAST_IDLE: Duration = Duration::from_secs(10);
/// The same for segments of older weights.
const OUTDATED_IDLE: Duration = Duration::from_secs(1);
/// Maximum number of segments to retire at a time; each of them is announced to the other entries
/// first.
const MOST_FREED: usize = 20;
/// How long other entries have to stop using a retired segment before it is evicted.
const RETIRE: Duration = Duration::from_millis(2000);
/// An entry whose ticks are this far apart was itself stalled. It is short enough that a running
/// entry receives two messages from each other entry within the retire time.
const STALL: Duration = Duration::from_millis(700);
/// Maximum number of pinned segments in one gossip message.
const MOST_READING: usize = 40;

impl Index {
    /// Records the periodic tick, several times a second. After a stall, the entry has missed the
    /// evictions that happened in the meantime, so no host counts as synced.
    ///
    /// Load pattern: the entry's host is suspended for seconds while segments are evicted. The
    /// messages that announced the evictions overflow the socket buffer before the entry resumes.
    pub fn on_tick(&mut self, now: Time) {
        if self.stood_still(now) {
            self.resumed = now;
            for shelf in self.shelves.values_mut() {
                shelf.sure = false;
            }
        }
        self.looked = Some(now);
    }

    pub(super) fn stood_still(&self, now: Time) -> bool {
        self.looked.is_some_and(|looked| now.since(looked) >= STALL)
    }

    /// Records that this entry has read all reports of a host itself, with a call that began at
    /// `begun`.
    pub fn on_synced(&mut self, store: &Store, begun: Time) {
        let current = begun >= self.resumed;
        if let Some(shelf) = self.shelves.get_mut(store) {
            shelf.sure |= current;
        }
    }

    /// Returns whether all reports of a host are known, except the newest ones. Nothing is fetched
    /// from a host that is not synced.
    #[must_use]
    pub fn is_synced(&self, store: &Store) -> bool {
        self.shelves.get(store).is_some_and(|shelf| shelf.sure)
    }

    /// Chooses segments of a host to evict, if the host is nearly full or has namespaces that are
    /// out of use.
    ///
    /// Load pattern: new weights are released twice within seconds while targets still serve older
    /// ones. The hosts are then full of segments of older weights that few requests will fetch;
    /// unless these are evicted, nothing that is prefilled on the new weights can be saved.
    ///
    /// This retires at most `most` segments. They may be evicted after [`Kept::retire_grace`], once
    /// the other entries have stopped using them and none reports that it is still fetching one.
    pub fn retire<Of>(&mut self, store: &Store, standing: Of, most: usize, now: Time) -> Vec<Key>
    where
        Of: Fn(&str) -> Status,
    {
        let slowest = self.shelves.values().map(|shelf| shelf.host.latency).max();
        let Some(shelf) = self.shelves.get_mut(store) else {
            return Vec::new();
        };
        // Segments that do not fit on a fast host go to a slower one, so the slowest tier has to
        // evict segments of current weights.
        let last_resort = slowest == Some(shelf.host.latency);
        shelf.retired.retain(|_, at| now.since(*at) < RETIRED);
        shelf.reading.retain(|_, at| now.since(*at) < RETIRED);
        let unused = shelf.held.keys();
        let unused = unused.filter(|key| standing(&key.namespace) == Status::Unused);
        let mut chosen: Vec<Key> = unused.take(most).cloned().collect();
        let freed: u64 = chosen.iter().map(|key| shelf.held[key].tokens).sum();
        let room = shelf.host.capacity as f64;
        let mut left = (shelf.tokens - freed) as f64;
        let mut outdated = shelf.held.keys();
        let outdated = outdated.any(|key| standing(&key.namespace) == Status::Outdated);
        let (full, freed) = match outdated {
            true => (OUTDATED_FULL, OUTDATED_FREED),
            false => (FULL, FREED),
        };
        if left > room * full {
            let held = shelf.held.iter();
            let mut idle: Vec<(Status, &Key, &Held)> = held
                .map(|(key, held)| (standing(&key.namespace), key, held))
                .filter(|(standing, _, held)| match standing {
                    Status::Unused => false,
                    Status::Outdated => now.since(held.used) >= OUTDATED_IDLE,
                    Status::Current => last_resort && now.since(held.used) >= LEAST_IDLE,
                })
                .collect();
            idle.sort_by_key(|(standing, _, held)| (*standing, held.used));
            for (standing, key, held) in idle.into_iter().take(MOST_FREED.min(most - chosen.len()))
            {
                let least = match standing {
                    Status::Current => FREED,
                    Status::Unused | Status::Outdated => freed,
                };
                if left <= room * least {
                    break;
                }
                left -= held.tokens as f64;
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
            let shelf = self.shelves.get(store);
            shelf.is_some_and(|shelf| shelf.retired.contains_key(key))
        };
        let reading = self.fetching.keys().filter(retired);
        let mut reading: Vec<(Store, Key)> = reading.cloned().collect();
        reading.sort();
        reading.truncate(MOST_READING);
        reading
    }

    /// Records that another entry is still fetching a retired segment.
    pub fn on_pinned(&mut self, store: &Store, key: &Key, now: Time) {
        if let Some(shelf) = self.shelves.get_mut(store) {
            shelf.reading.insert(key.clone(), now);
        }
    }

    /// Returns whether any entry has reported `within` this time that it is still fetching a
    /// segment.
    #[must_use]
    pub fn is_pinned(&self, store: &Store, key: &Key, within: Duration, now: Time) -> bool {
        let shelf = self.shelves.get(store);
        let told = shelf.and_then(|shelf| shelf.reading.get(key));
        told.is_some_and(|at| now.since(*at) < within)
            || self.fetching.contains_key(&(store.clone(), key.clone()))
    }

    /// Records that segments are retired; they are not fetched any more.
    pub fn on_retired(&mut self, store: &Store, keys: &[Key], now: Time) {
        let Some(shelf) = self.shelves.get_mut(store) else {
            return;
        };
        for key in keys {
            shelf.drop_part(key);
            shelf.retired.insert(key.clone(), now);
        }
    }

    /// Records that another entry has used a segment.
    pub fn on_used(&mut self, store: &Store, key: &Key, now: Time) {
        let shelf = self.shelves.get_mut(store);
        if let Some(held) = shelf.and_then(|shelf| shelf.held.get_mut(key)) {
            held.used = now;
        }
    }

    /// Returns how long to wait before a retired segment is evicted.
    #[must_use]
    pub fn retire_grace() -> Duration {
        RETIRE
    }
}
