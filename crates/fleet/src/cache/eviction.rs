//! When parts may be freed: what is told to the other entries, and what they still fetch.

use std::time::Duration;

use types::{Store, Time};

use super::server::Held;
use super::{Index, Key, RETIRED, Status};

/// The part of a host's room above which unused parts are freed, on hosts that are the last resort.
const FULL: f64 = 0.92;
/// The part of a host's room to which it is freed.
const FREED: f64 = 0.88;
/// The part of a host's room above which parts of older weights are freed. Those of new ones come
/// faster than room is made for them, which takes as long as others need to stop using a part.
const OUTDATED_FULL: f64 = 0.65;
/// The part of a host's room down to which parts of older weights are freed.
const OUTDATED_FREED: f64 = 0.6;
/// How long an unused part is safe from being freed.
const LEAST_IDLE: Duration = Duration::from_secs(10);
/// The same for parts of older weights.
const OUTDATED_IDLE: Duration = Duration::from_secs(1);
/// Parts that are freed together; the others hear of each of them first.
const MOST_FREED: usize = 20;
/// How long others have to stop using a part before it is freed.
const RETIRE: Duration = Duration::from_millis(2000);
/// An entry that has not looked at the time for this long stood still itself. It gets two words from
/// each other entry in the time that others have to stop using a part.
const STALL: Duration = Duration::from_millis(700);
/// Parts in one word that are about to be freed and still fetched.
const MOST_READING: usize = 40;

impl Index {
    /// Records that the entry looks at the time, as it does several times a second. After a time in
    /// which it did not, it has missed what was freed meanwhile.
    ///
    /// Load pattern: the entry's host stands still for seconds, and parts are freed. The words that
    /// said so no longer fit the socket when it goes on.
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

    /// Records that this entry has read all reports of a host itself, with a call that began then.
    pub fn on_synced(&mut self, store: &Store, begun: Time) {
        let current = begun >= self.resumed;
        if let Some(shelf) = self.shelves.get_mut(store) {
            shelf.sure |= current;
        }
    }

    /// Says whether all reports of a host are known but for the newest ones. Nothing is fetched from
    /// one where this is not so.
    #[must_use]
    pub fn is_synced(&self, store: &Store) -> bool {
        self.shelves.get(store).is_some_and(|shelf| shelf.sure)
    }

    /// Chooses parts of a host to free, when it is nearly full or keeps spaces that are out of use.
    ///
    /// Load pattern: new weights are named twice within seconds, and targets still serve older ones.
    /// The hosts are full of parts of older weights then, which few requests will fetch; unless they
    /// make room, nothing that is read on the new weights can be kept.
    ///
    /// The parts are retired here, `most` of them; they may be freed after [`Index::retire_grace`], when
    /// the other entries have stopped using them and none says that it still reads one.
    pub fn retire<Of>(&mut self, store: &Store, standing: Of, most: usize, now: Time) -> Vec<Key>
    where
        Of: Fn(&str) -> Status,
    {
        let slowest = self.shelves.values().map(|shelf| shelf.host.latency).max();
        let Some(shelf) = self.shelves.get_mut(store) else {
            return Vec::new();
        };
        // What finds no room on a fast host goes to a slower one, so parts in use are freed there.
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

    /// Records that a request has what it fetched, or does not need it any more.
    pub fn on_fetch_done(&mut self, store: &Store, key: &Key) {
        let fetched = (store.clone(), key.clone());
        if let Some(count) = self.fetching.get_mut(&fetched) {
            *count -= 1;
            if *count == 0 {
                self.fetching.remove(&fetched);
            }
        }
    }

    /// Returns the parts that are about to be freed while requests of this entry still fetch them.
    ///
    /// Load pattern: a store host or a target is slow, and a request gets its parts seconds after it
    /// was sent.
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

    /// Records that another entry still fetches a part that is about to be freed.
    pub fn on_pinned(&mut self, store: &Store, key: &Key, now: Time) {
        if let Some(shelf) = self.shelves.get_mut(store) {
            shelf.reading.insert(key.clone(), now);
        }
    }

    /// Says whether any entry has said `within` the last time that it still fetches a part.
    #[must_use]
    pub fn is_pinned(&self, store: &Store, key: &Key, within: Duration, now: Time) -> bool {
        let shelf = self.shelves.get(store);
        let told = shelf.and_then(|shelf| shelf.reading.get(key));
        told.is_some_and(|at| now.since(*at) < within)
            || self.fetching.contains_key(&(store.clone(), key.clone()))
    }

    /// Records that parts are about to be freed; they are not fetched any more.
    pub fn on_retired(&mut self, store: &Store, keys: &[Key], now: Time) {
        let Some(shelf) = self.shelves.get_mut(store) else {
            return;
        };
        for key in keys {
            shelf.drop_part(key);
            shelf.retired.insert(key.clone(), now);
        }
    }

    /// Records that parts were used by another entry.
    pub fn on_used(&mut self, store: &Store, key: &Key, now: Time) {
        let shelf = self.shelves.get_mut(store);
        if let Some(held) = shelf.and_then(|shelf| shelf.held.get_mut(key)) {
            held.used = now;
        }
    }

    /// Returns how long a retired part has to be left alone before it is freed.
    #[must_use]
    pub fn retire_grace() -> Duration {
        RETIRE
    }
}
