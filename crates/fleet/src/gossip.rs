//! What entries tell each other: their loads and the kept parts that they use.
//!
//! Words are small, sent to a few peers at a time, and may be lost; without any, an entry assumes
//! that the others do what it does itself.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use types::{Model, Store, Target, Time};

use crate::cache::{Key, Lateness, Report};
use crate::cell::Cell;
use crate::placement::Load;

/// What one entry tells another.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct State {
    /// The sender.
    pub from: String,
    /// Drawn at each start of the sender.
    pub incarnation: u64,
    /// Grows with each word of a start.
    pub sequence: u64,
    /// The version of the configuration that it uses; 0 for none.
    pub config_version: u64,
    /// When its newest evidence for that was given, on the store's steady clock in milliseconds.
    pub evidence: Option<u64>,
    /// The version of the store's rows at which it last learned something of the operator.
    pub operator_version: u64,
    /// Whether it has run for long enough to know what the others have under way.
    pub warm: bool,
    /// What the sender has under way, by target.
    pub loads: Vec<(Target, Load)>,
    /// How long ago it heard each of these targets.
    pub last_heard: Vec<(Target, Duration)>,
    /// How late its fetches from each host were since the last word.
    pub lateness: Vec<(Store, Lateness)>,
    /// Targets that take new weights now, by its order.
    pub updating: Vec<Target>,
    /// Targets that it has lately seen with new weights.
    pub updated: Vec<(Target, Model, u64)>,
    /// Parts that it fetched lately.
    pub used: Vec<(Store, Key)>,
    /// Parts that it is about to free.
    pub retired: Vec<(Store, Key)>,
    /// Parts that others are about to free and that it still fetches.
    pub pinned: Vec<(Store, Key)>,
    /// The store hosts whose reports it passes on: their boot, or none for one that is down.
    pub stores: Vec<(Store, Option<u64>)>,
    /// What these reported lately.
    pub reports: Vec<(Store, Report)>,
    /// Cells of the sender in which requests wait, with the time that another one would.
    pub queue_delays: Vec<(Cell, Duration)>,
    /// Entries that it does not hear any more and that have not said that they end.
    pub suspected: Vec<String>,
    /// Whether it ends now and uses nothing any more.
    pub leaving: bool,
}

/// What one entry tells the dispatchers of its targets at once.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Update {
    /// The sender.
    pub from: String,
    /// Drawn at each start of the sender.
    pub incarnation: u64,
    /// From the same counter as the numbers of words.
    pub sequence: u64,
    /// What it has under way at these targets now.
    pub loads: Vec<(Target, Load)>,
    /// The places that are part of it, or that were not used, by the numbers of their requests.
    pub acknowledged: Vec<u64>,
    /// Targets that have sent something.
    pub heard: Vec<Target>,
    /// Targets that failed.
    pub failed: Vec<Target>,
    /// Targets that had no room.
    pub refused: Vec<Target>,
    /// Targets that refused as they take new weights.
    pub updating: Vec<Target>,
}

/// The kept parts that a word names.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Segments {
    /// Those fetched lately.
    pub used: Vec<(Store, Key)>,
    /// Those about to be freed.
    pub retired: Vec<(Store, Key)>,
}

/// What an entry knows of the others.
#[derive(Debug, Default)]
pub struct Peers {
    heard: HashMap<String, Heard>,
    /// Entries that are not heard any more and have not said that they end, with the time of their
    /// last word.
    silent: HashMap<String, Time>,
    sums: HashMap<Target, Load>,
    used: VecDeque<(Time, Store, Key)>,
    retired: VecDeque<(Time, Store, Key)>,
    news: VecDeque<(Time, Store, Report)>,
    changed: VecDeque<(Time, Target, Model, u64)>,
    /// The newest version at which any other entry learned something of the operator, and when that
    /// was first heard of.
    operator: (u64, Time),
    /// When another entry last had orders under way.
    ordering: Option<Time>,
    /// What dispatchers said of the waits in their cells.
    delays: HashMap<Cell, (Duration, Time)>,
    /// The newest configuration that any entry uses, and when it was first heard of.
    config: Option<(u64, Time)>,
    next: usize,
}

#[derive(Debug)]
struct Heard {
    start: u64,
    number: u64,
    at: Time,
    warm: bool,
    silent: HashSet<String>,
    /// When this start of it was first heard.
    since: Time,
    loads: HashMap<Target, Load>,
}

/// How often an entry sends words.
pub const INTERVAL: Duration = Duration::from_millis(100);
/// How many peers get a word at each tick. It bounds the cost at any number of entries.
pub const FAN_OUT: usize = 5;
/// Parts in one word that were used.
const MOST_USED: usize = 20;
/// Parts in one word that are about to be freed: what an entry frees of a few hosts while all others
/// get a word.
const MOST_RETIRED: usize = 80;
/// Silent entries in one word, about those of a failure domain.
const MOST_SILENT: usize = 40;
/// Reports in one word.
const MOST_NEWS: usize = 80;
/// How long a part that is about to be freed is named, at least.
const RETIRED: Duration = Duration::from_millis(1800);
/// How long an entry that has fallen silent may still use what it knew: cuts and standstills of hosts
/// last seconds.
const SILENT: Duration = Duration::from_secs(10);
/// How long an entry may take to learn of a configuration that another one uses: both wait for the
/// same answer of the store.
const LEARN: Duration = Duration::from_millis(1000);
/// How long the answers of the store to two entries lie apart that wait for the same change.
const NOTICE: Duration = Duration::from_millis(300);

impl Peers {
    /// How long a word counts beyond the time after which the next one is due.
    pub const EXPIRY_SLACK: Duration = Duration::from_millis(400);

    /// Returns the time in which each of `count` peers gets a word.
    #[must_use]
    pub fn round(count: usize) -> Duration {
        let ticks = count.div_ceil(FAN_OUT).max(1);
        INTERVAL * u32::try_from(ticks).unwrap_or(u32::MAX)
    }

    /// Takes a word; says whether it is newer than what was heard of its sender.
    pub fn on_state(&mut self, word: &State, now: Time) -> bool {
        let known = self.heard.get(&word.from);
        let old = known
            .is_some_and(|known| known.start == word.incarnation && known.number >= word.sequence);
        if old {
            return false;
        }
        let same = known.filter(|known| known.start == word.incarnation);
        let since = same.map_or(now, |known| known.since);
        self.forget(&word.from);
        if word.operator_version > self.operator.0 {
            self.operator = (word.operator_version, now);
        }
        if !word.updating.is_empty() || !word.updated.is_empty() {
            self.ordering = Some(now);
        }
        for (cell, delay) in &word.queue_delays {
            self.delays.insert(cell.clone(), (*delay, now));
        }
        if self
            .config
            .is_none_or(|(version, _)| version < word.config_version)
        {
            self.config = Some((word.config_version, now));
        }
        let loads: HashMap<Target, Load> = word.loads.iter().cloned().collect();
        for (target, load) in &loads {
            self.sums.entry(target.clone()).or_default().add(load);
        }
        let heard = Heard {
            start: word.incarnation,
            number: word.sequence,
            at: now,
            warm: word.warm,
            silent: word.suspected.iter().cloned().collect(),
            since,
            loads,
        };
        self.heard.insert(word.from.clone(), heard);
        self.silent.remove(&word.from);
        if word.leaving {
            self.forget(&word.from);
        }
        true
    }

    /// Takes the loads of some targets; says whether they are newer than what was heard of the sender.
    pub fn on_update(&mut self, update: &Update, now: Time) -> bool {
        let known = self.heard.get(&update.from);
        let same = known.filter(|known| known.start == update.incarnation);
        if same.is_some_and(|known| known.number >= update.sequence) {
            return false;
        }
        if same.is_none() {
            self.forget(&update.from);
        }
        let heard = self
            .heard
            .entry(update.from.clone())
            .or_insert_with(|| Heard {
                start: update.incarnation,
                number: update.sequence,
                at: now,
                warm: false,
                silent: HashSet::new(),
                since: now,
                loads: HashMap::new(),
            });
        heard.number = update.sequence;
        heard.at = now;
        self.silent.remove(&update.from);
        for (target, load) in &update.loads {
            let former = match load.running {
                0 => heard.loads.remove(target),
                _ => heard.loads.insert(target.clone(), *load),
            };
            let sum = self.sums.entry(target.clone()).or_default();
            sum.subtract(&former.unwrap_or_default());
            sum.add(load);
            if sum.running == 0 {
                self.sums.remove(target);
            }
        }
        true
    }

    /// Returns how long a request waits in a cell, as far as its dispatcher has said so.
    #[must_use]
    pub fn queue_delay(&self, cell: &Cell) -> Duration {
        self.delays
            .get(cell)
            .map_or(Duration::ZERO, |(delay, _)| *delay)
    }

    /// Returns how many entries were heard lately.
    #[must_use]
    pub fn count(&self) -> usize {
        self.heard.len()
    }

    /// Says whether an entry was heard lately.
    #[must_use]
    pub fn is_alive(&self, name: &str) -> bool {
        self.heard.contains_key(name)
    }

    /// Says whether any other entry knows what all have under way.
    #[must_use]
    pub fn has_warm(&self) -> bool {
        self.heard.values().any(|heard| heard.warm)
    }

    /// Returns the load that the others have told of a target.
    #[must_use]
    pub fn reported_load(&self, target: &Target) -> Load {
        self.sums.get(target).copied().unwrap_or_default()
    }

    /// Says whether another entry has used a newer configuration for longer than this one needs to
    /// learn of it.
    ///
    /// A store that answers with old data, or a restarted entry that reads it, must not bring keys
    /// back that were taken away.
    #[must_use]
    pub fn has_newer_config(&self, version: u64, now: Time) -> bool {
        self.config
            .is_some_and(|(newest, since)| newest > version && now.since(since) >= LEARN)
    }

    /// Says whether another entry has learned something of the operator that an entry with this
    /// version lacks, for longer than it takes to learn of it.
    #[must_use]
    pub fn has_newer_operator_data(&self, version: u64, now: Time) -> bool {
        let (newest, since) = self.operator;
        newest > version && now.since(since) >= NOTICE
    }

    /// Says whether another entry has had orders under way within some time.
    #[must_use]
    pub fn has_recent_orders(&self, within: Duration, now: Time) -> bool {
        self.ordering.is_some_and(|at| now.since(at) < within)
    }

    /// Drops what is too old to count; `count` is the number of peers.
    pub fn expire(&mut self, count: usize, now: Time) {
        let limit = Self::round(count) * 2 + Self::EXPIRY_SLACK;
        let old: Vec<String> = self
            .heard
            .iter()
            .filter(|(_, heard)| now.since(heard.at) > limit)
            .map(|(name, _)| name.clone())
            .collect();
        for name in old {
            if let Some(heard) = self.heard.get(&name) {
                self.silent.insert(name.clone(), heard.at);
            }
            self.forget(&name);
        }
        self.silent.retain(|_, at| now.since(*at) < SILENT);
        let recent = Self::round(count) + INTERVAL * 2;
        self.delays.retain(|_, (_, at)| now.since(*at) <= recent);
        while self
            .used
            .front()
            .is_some_and(|(at, ..)| now.since(*at) > recent)
        {
            self.used.pop_front();
        }
        while self
            .news
            .front()
            .is_some_and(|(at, ..)| now.since(*at) > recent)
        {
            self.news.pop_front();
        }
        while self
            .changed
            .front()
            .is_some_and(|(at, ..)| now.since(*at) > recent)
        {
            self.changed.pop_front();
        }
        let told = RETIRED.max(Self::round(count) * 3);
        while self
            .retired
            .front()
            .is_some_and(|(at, ..)| now.since(*at) > told)
        {
            self.retired.pop_front();
        }
    }

    /// Returns the load that all entries together have at a target, of which `own` is this entry's;
    /// `count` is the number of peers.
    #[must_use]
    pub fn total_load(&self, target: &Target, own: Load, count: usize) -> Load {
        if count == 0 {
            return own;
        }
        if self.heard.is_empty() {
            return own.scaled(count as f64 + 1.0);
        }
        let sum = self.sums.get(target).copied().unwrap_or_default();
        let mut total = sum.scaled(count as f64 / self.heard.len() as f64);
        total.add(&own);
        total
    }

    /// Records that this entry fetches a part.
    pub fn on_used(&mut self, store: Store, key: Key, now: Time) {
        self.used.push_back((now, store, key));
    }

    /// Says whether parts may be freed: any entry that this one does not hear is silent for all
    /// others as well. Such an entry is dead or stands still, and reads the reports of the hosts
    /// before it fetches anything again; one that others hear goes on with what it knows.
    ///
    /// Load pattern: the link between two failure domains is cut while parts are about to be freed.
    #[must_use]
    pub fn may_evict(&self) -> bool {
        self.silent.iter().all(|(name, last)| {
            // One that started since then has never heard it.
            let mut others = self.heard.values().filter(|heard| heard.since <= *last);
            others.all(|heard| heard.silent.contains(name))
        })
    }

    /// Returns the entries that are silent, for a word.
    #[must_use]
    pub fn suspected(&self) -> Vec<String> {
        let mut silent: Vec<String> = self.silent.keys().cloned().collect();
        silent.sort();
        silent.truncate(MOST_SILENT);
        silent
    }

    /// Returns how many more parts may be about to be freed, so that each word names all of them.
    #[must_use]
    pub fn retire_capacity(&self) -> usize {
        MOST_RETIRED.saturating_sub(self.retired.len())
    }

    /// Records that this entry is about to free a part.
    pub fn on_retired(&mut self, store: Store, key: Key, now: Time) {
        self.retired.push_back((now, store, key));
    }

    /// Records that this entry has seen a target with new weights; the list of targets tells so up to
    /// two seconds later.
    pub fn on_updated(&mut self, target: Target, model: Model, version: u64, now: Time) {
        self.changed.push_back((now, target, model, version));
    }

    /// Returns the targets with new weights for a word.
    #[must_use]
    pub fn updated(&self) -> Vec<(Target, Model, u64)> {
        let changed = self.changed.iter().cloned();
        changed
            .map(|(_, target, model, version)| (target, model, version))
            .collect()
    }

    /// Records what a store host reported, to pass it on.
    pub fn on_reports(&mut self, store: &Store, reports: &[Report], now: Time) {
        let news = reports.iter().cloned();
        self.news
            .extend(news.map(|report| (now, store.clone(), report)));
    }

    /// Returns the reports for a word.
    #[must_use]
    pub fn reports(&self) -> Vec<(Store, Report)> {
        let newest = self.news.iter().rev().take(MOST_NEWS).rev();
        newest
            .map(|(_, store, report)| (store.clone(), report.clone()))
            .collect()
    }

    /// Returns the peers that are to get a word now, in turn.
    pub fn next_recipients<'names>(&mut self, peers: &'names [String]) -> Vec<&'names str> {
        let count = peers.len().min(FAN_OUT);
        let chosen = (0..count).map(|step| peers[(self.next + step) % peers.len()].as_str());
        let chosen = chosen.collect();
        self.next = self.next.wrapping_add(count);
        chosen
    }

    /// Returns the parts for a word: those used lately and those about to be freed.
    #[must_use]
    pub fn segments(&self) -> Segments {
        let strip = |list: &VecDeque<(Time, Store, Key)>, most| {
            let newest = list.iter().rev().take(most);
            newest
                .map(|(_, store, key)| (store.clone(), key.clone()))
                .collect()
        };
        Segments {
            used: strip(&self.used, MOST_USED),
            retired: strip(&self.retired, MOST_RETIRED),
        }
    }

    fn forget(&mut self, name: &str) {
        let Some(heard) = self.heard.remove(name) else {
            return;
        };
        for (target, load) in &heard.loads {
            if let Some(sum) = self.sums.get_mut(target) {
                sum.subtract(load);
                if sum.running == 0 && sum.kv_tokens == 0 {
                    self.sums.remove(target);
                }
            }
        }
    }
}
