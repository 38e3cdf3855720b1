//! What store hosts keep of prompts, and when to fetch it, save it or free it.
//!
//! Names of parts carry the weights and, for an isolated team, the team, so that a part of other
//! weights or of another team is never found. See `docs/platform.md`.

mod eviction;
mod lateness;
mod server;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use types::{Domain, Store, Target, Time};

use crate::catalog::StoreHost;
use crate::prefill::Rate;
pub use lateness::Lateness;
use server::{Held, MEMORY_S, Saving, Shelf, decayed};

/// The name of a part within a space.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The weights and, where isolated, the team.
    pub namespace: Arc<str>,
    /// The part.
    pub id: Arc<str>,
}

/// A part of a prompt that others may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Its name.
    pub key: Key,
    /// Its length in tokens.
    pub tokens: u64,
}

/// All store hosts.
#[derive(Debug, Default)]
pub struct Index {
    shelves: HashMap<Store, Shelf>,
    pace: Rate,
    token_bytes: u64,
    /// Entries that share the hosts about evenly.
    entries: usize,
    /// When a part was last used at a target.
    local: HashMap<Target, HashMap<Key, Time>>,
    /// How often parts were used by this entry, of which older uses count less.
    uses: HashMap<Key, (f64, Time)>,
    /// How late the first events of requests without fetches come at the targets of a failure
    /// domain, in ms.
    usual_ms: HashMap<Domain, f64>,
    /// Parts that requests of this entry fetch now, with the number of these requests.
    fetching: HashMap<(Store, Key), u32>,
    /// When the entry last looked at the time.
    looked: Option<Time>,
    /// When it last went on after it had stood still.
    resumed: Time,
}

/// A target as the place where a prompt is read.
#[derive(Debug, Clone, Copy)]
pub struct Location<'name> {
    /// The target.
    pub target: &'name Target,
    /// Its failure domain.
    pub domain: &'name Domain,
    /// The number of targets among which requests are spread.
    pub pool_size: usize,
}

/// Of what use the parts of a space are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// No target serves its weights any more.
    Unused,
    /// Targets serve its weights, and newer ones are named.
    Outdated,
    /// Its weights are the newest.
    Current,
}

impl Status {
    /// Returns what is known where the list of targets may still lack some.
    ///
    /// Load pattern: all entries start again while the hosts are full of parts of older weights.
    /// Without room nothing is saved, and every prompt is read again for as long as the entries
    /// wait for the whole list. Weights that seem unused may have targets, so their parts go as those
    /// of outdated ones do: some at a time, the longest unused first.
    #[must_use]
    pub fn conservative(self, settled: bool) -> Self {
        match self {
            Self::Unused if !settled => Self::Outdated,
            standing => standing,
        }
    }
}

/// What to do with one part of a prompt.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// The target reads it and nothing is kept.
    Prefill,
    /// The target reads it, though it is kept there: the host's link is too busy.
    Skip(Store),
    /// The target reads it and saves it there.
    Save(Store),
    /// The target fetches it there.
    Fetch(Store),
}

/// How it is known which parts a target has in its own memory.
#[derive(Debug, Clone, Copy)]
pub enum Residency<'flags> {
    /// From this entry's requests, if those of the others are alike.
    Estimated,
    /// From all requests to the target, which this entry places.
    Tracked,
    /// By the entry that places the requests; one flag for each part.
    Reported(&'flags [bool]),
}

/// What to do with the shared parts of a prompt at one target.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    /// One entry for each shared part.
    pub actions: Vec<Action>,
    /// Which of the parts the target has in its own memory.
    pub resident: Vec<bool>,
    /// Tokens that the target has to read of the shared parts.
    pub prefill_tokens: u64,
    /// How long fetching takes.
    pub fetch_time: Duration,
    /// How much longer the fetches of other requests take because of it, all together.
    pub congestion: Duration,
}

/// A part in a store host, as the host reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Whether it is complete there now; otherwise it is gone.
    pub present: bool,
    /// Its name.
    pub key: Key,
    /// Its length in tokens.
    pub tokens: u64,
}

/// How much longer than reading a fetch may take. Reading again takes an engine's time from all
/// requests, so a fetch is preferred until it endangers the objective of its own request.
const TOLERANCE: Duration = Duration::from_millis(200);
/// Memory is kept in blocks of this many tokens, and the rest of a part is not.
const BLOCK: u64 = 16;
/// A fast host takes parts up to this share of its room; long parts would fill it with few prompts.
/// They go to the slowest hosts, which take what there is room for.
const FAST_SHARE: u64 = 90;
/// The part of a host's room up to which parts are saved; saves of other entries are not known
/// until the host reports them.
const ROOM: f64 = 0.96;
/// How long a save may take before the part is saved again; it begins once the part is read.
const SAVE_TIME: Duration = Duration::from_millis(4000);
/// How long a target keeps a part in its own memory after its last use; a prompt of nine thousand
/// tokens needs a seventh of it, and a few come each second.
const LOCAL: Duration = Duration::from_millis(2500);
/// A part that was used at least this often at an average target in that time is most likely there.
const POPULAR: f64 = 1.5;
/// How long a freed part is not fetched, so that a late report does not bring it back.
const RETIRED: Duration = Duration::from_secs(6);
/// The use of a link up to which parts are fetched; beyond it a part of the fetches is left out.
const MOST_USED: f64 = 0.85;
/// The time of a common transfer: five thousand tokens over 74 Gbit/s, half of them between failure
/// domains.
const MEAN_TRANSFER: Duration = Duration::from_millis(30);
impl Index {
    /// Takes over the hosts of a configuration; what is known of hosts that stay is kept.
    pub fn configure(&mut self, hosts: &[StoreHost], token_bytes: u64) {
        self.token_bytes = token_bytes;
        self.shelves
            .retain(|name, _| hosts.iter().any(|host| host.name == *name));
        for host in hosts.iter().filter(|host| host.managed) {
            let known = self.shelves.get(&host.name);
            if known.is_some_and(|shelf| shelf.host == *host) {
                continue;
            }
            self.shelves
                .insert(host.name.clone(), Shelf::new(host.clone()));
        }
    }

    /// Takes over how fast targets read.
    pub fn on_prefill_rate(&mut self, pace: Rate) {
        self.pace = pace;
    }

    /// Records what a host reports; another boot means that everything before is gone.
    pub fn on_reports(&mut self, store: &Store, boot: u64, reports: Vec<Report>, now: Time) {
        let Some(shelf) = self.shelves.get_mut(store) else {
            return;
        };
        if shelf.boot != Some(boot) {
            shelf.clear();
            shelf.boot = Some(boot);
        }
        shelf.up = true;
        for report in reports {
            shelf.saving.remove(&report.key);
            if !report.present {
                shelf.drop_part(&report.key);
                continue;
            }
            let retired = shelf.retired.get(&report.key);
            if retired.is_some_and(|&at| now.since(at) < RETIRED) {
                continue;
            }
            let held = Held {
                tokens: report.tokens,
                used: now,
            };
            if let Some(former) = shelf.held.insert(report.key, held) {
                shelf.tokens -= former.tokens;
            }
            shelf.tokens += report.tokens;
        }
    }

    /// Takes over all that a host keeps, in place of what was known: reports may be lost, and a host
    /// remembers only the newest ones.
    pub fn on_snapshot(&mut self, store: &Store, boot: u64, reports: Vec<Report>, now: Time) {
        if let Some(shelf) = self.shelves.get_mut(store) {
            shelf.held.clear();
            shelf.tokens = 0;
        }
        self.on_reports(store, boot, reports, now);
    }

    /// Records that a host does not answer; nothing is fetched from it or saved there.
    pub fn on_down(&mut self, store: &Store) {
        if let Some(shelf) = self.shelves.get_mut(store) {
            shelf.up = false;
            shelf.saving.clear();
        }
    }

    /// Returns the failure domain of the host that keeps a part.
    #[must_use]
    pub fn holder_domain(&self, part: &Segment) -> Option<&Domain> {
        let holders = self.shelves.values();
        let mut holders = holders.filter(|shelf| shelf.up && shelf.held.contains_key(&part.key));
        holders.next().map(|shelf| &shelf.host.domain)
    }

    /// Returns the failure domain of the host on which a part would be saved.
    #[must_use]
    pub fn home_domain(&self, part: &Segment) -> Option<&Domain> {
        let home = self.home(part)?;
        self.host(&home).map(|host| &host.domain)
    }

    /// Returns the boot of a host that answers.
    #[must_use]
    pub fn boot(&self, store: &Store) -> Option<u64> {
        let shelf = self.shelves.get(store)?;
        shelf.boot.filter(|_| shelf.up)
    }

    /// Plans the shared parts of a prompt for a target; `draw` is uniform between 0 and 1. Nothing
    /// is recorded.
    #[must_use]
    pub fn plan(
        &self,
        parts: &[Segment],
        at: &Location<'_>,
        known: Residency<'_>,
        draw: f64,
        now: Time,
    ) -> Plan {
        let mut plan = Plan::default();
        let current = !self.stood_still(now);
        let holder = |part: &Segment| self.holder(part).filter(|_| current);
        // A part is of use only if all parts before it are there too.
        let mut unbroken = true;
        for (index, part) in parts.iter().enumerate() {
            let there = match known {
                Residency::Estimated => {
                    self.is_local(part, at, now) || self.is_popular(part, at, now)
                }
                Residency::Tracked => self.is_local(part, at, now),
                Residency::Reported(flags) => flags.get(index).copied().unwrap_or(false),
            };
            plan.resident.push(there);
            let local = unbroken && there;
            let source = self.source(part, at.domain, draw, now);
            let source = source.filter(|_| current);
            if unbroken && let Some((store, time)) = source {
                if !local {
                    plan.fetch_time += time;
                    plan.congestion += self.strain(&store, part, at.domain, now);
                }
                plan.actions.push(Action::Fetch(store));
                continue;
            }
            if local {
                plan.actions
                    .push(match (holder(part), self.is_known(part)) {
                        // Named in case the target has dropped it.
                        (Some(store), _) => Action::Fetch(store),
                        (None, true) => Action::Prefill,
                        (None, false) => self.home(part).map_or(Action::Prefill, Action::Save),
                    });
                continue;
            }
            let reached = std::mem::replace(&mut unbroken, false);
            plan.prefill_tokens += part.tokens;
            plan.actions
                .push(match (holder(part), self.is_known(part)) {
                    (Some(store), _) if reached => Action::Skip(store),
                    (Some(_), _) => Action::Prefill,
                    (None, true) => Action::Prefill,
                    (None, false) => self.home(part).map_or(Action::Prefill, Action::Save),
                });
        }
        plan
    }

    /// Records that a plan is carried out; `entries` share each host about evenly.
    pub fn on_sent(
        &mut self,
        parts: &[Segment],
        plan: &Plan,
        at: &Location<'_>,
        entries: usize,
        now: Time,
    ) {
        self.entries = entries;
        let bytes = self.token_bytes;
        self.on_placed(parts, at.target, now);
        for ((part, act), local) in parts.iter().zip(&plan.actions).zip(&plan.resident) {
            let (uses, last) = self.uses.get(&part.key).copied().unwrap_or((0.0, now));
            let uses = decayed(uses, last, LOCAL.as_secs_f64(), now) + 1.0;
            self.uses.insert(part.key.clone(), (uses, now));
            match act {
                Action::Prefill | Action::Skip(_) => {}
                Action::Save(store) => {
                    if let Some(shelf) = self.shelves.get_mut(store) {
                        let saving = Saving {
                            tokens: part.tokens,
                            since: now,
                        };
                        shelf.saving.insert(part.key.clone(), saving);
                    }
                }
                Action::Fetch(store) => {
                    let fetched = (store.clone(), part.key.clone());
                    *self.fetching.entry(fetched).or_insert(0) += 1;
                    let shelf = self.shelves.get_mut(store);
                    if let Some(held) = shelf.and_then(|shelf| shelf.held.get_mut(&part.key)) {
                        held.used = now;
                    }
                }
            }
            if *local {
                continue;
            }
            // A fetch that is left out counts as well, or leaving some out would let more through.
            let wanted = match act {
                Action::Fetch(store) | Action::Skip(store) => Some(store),
                Action::Prefill | Action::Save(_) => None,
            };
            if let Some(shelf) = wanted.and_then(|store| self.shelves.get_mut(store)) {
                let time = shelf.transfer(part.tokens, bytes, at.domain);
                shelf.work = shelf.worked(now) + time.as_secs_f64();
                shelf.worked = now;
            }
        }
    }

    /// Records that a request with these parts goes to a target, which keeps them for a while.
    pub fn on_placed(&mut self, parts: &[Segment], target: &Target, now: Time) {
        let used = self.local.entry(target.clone()).or_default();
        used.extend(parts.iter().map(|part| (part.key.clone(), now)));
    }

    /// Returns the hosts with the boot that is known of each.
    pub fn hosts(&self) -> impl Iterator<Item = (&StoreHost, Option<u64>)> {
        self.shelves.values().map(|shelf| (&shelf.host, shelf.boot))
    }

    /// Returns a host.
    #[must_use]
    pub fn host(&self, store: &Store) -> Option<&StoreHost> {
        self.shelves.get(store).map(|shelf| &shelf.host)
    }

    /// Says whether a target has kept a part in its own memory since a request that is known here.
    fn is_local(&self, part: &Segment, at: &Location<'_>, now: Time) -> bool {
        let used = self.local.get(at.target);
        let used = used.and_then(|used| used.get(&part.key));
        used.is_some_and(|&used| now.since(used) < LOCAL)
    }

    /// Says whether a part is used so often that most likely each target has it.
    fn is_popular(&self, part: &Segment, at: &Location<'_>, now: Time) -> bool {
        // Other entries use it about as often, and their requests are spread over all targets.
        let Some(&(uses, last)) = self.uses.get(&part.key) else {
            return false;
        };
        let recent = decayed(uses, last, LOCAL.as_secs_f64(), now);
        recent * self.entries as f64 / at.pool_size.max(1) as f64 >= POPULAR
    }

    /// Says whether a part is kept or being saved somewhere.
    fn is_known(&self, part: &Segment) -> bool {
        self.shelves.values().any(|shelf| {
            shelf.up && (shelf.held.contains_key(&part.key) || shelf.saving.contains_key(&part.key))
        })
    }

    /// Returns any host that keeps a part.
    fn holder(&self, part: &Segment) -> Option<Store> {
        let holder = self.shelves.iter().find(|(_, shelf)| {
            let held = shelf.held.get(&part.key);
            shelf.up && shelf.sure && held.is_some_and(|held| held.tokens + BLOCK > part.tokens)
        });
        holder.map(|(name, _)| name.clone())
    }

    /// Returns the host from which a part comes soonest, if fetching pays.
    fn source(
        &self,
        part: &Segment,
        domain: &Domain,
        draw: f64,
        now: Time,
    ) -> Option<(Store, Duration)> {
        let read = self.pace.duration(part.tokens);
        // Without a limit the queues of overloaded links would delay all fetches.
        let holders = self.shelves.iter().filter(|(_, shelf)| {
            shelf.up
                && shelf.sure
                && draw * self.used(shelf, now) <= MOST_USED
                && draw <= shelf.willing
                && shelf
                    .held
                    .get(&part.key)
                    .is_some_and(|held| held.tokens + BLOCK > part.tokens)
        });
        let times = holders.map(|(name, shelf)| {
            let time = shelf.transfer(part.tokens, self.token_bytes, domain);
            (name, time + self.wait(shelf, now))
        });
        let (name, time) = times.min_by_key(|(_, time)| *time)?;
        (time < read + TOLERANCE).then(|| (name.clone(), time))
    }

    /// Returns the host on which a part is saved; all entries choose the same one.
    fn home(&self, part: &Segment) -> Option<Store> {
        let key = routing::Key::new(&[part.key.namespace.as_bytes(), part.key.id.as_bytes()]);
        let room = |shelf: &&Shelf| {
            let filled = shelf.tokens + shelf.saving.values().map(|one| one.tokens).sum::<u64>();
            shelf.up && (filled + part.tokens) as f64 <= shelf.host.capacity as f64 * ROOM
        };
        let slowest = self.shelves.values().map(|shelf| shelf.host.latency).max();
        let fast = |shelf: &&Shelf| {
            Some(shelf.host.latency) == slowest || part.tokens * FAST_SHARE <= shelf.host.capacity
        };
        let pick = |shelves: Vec<&Shelf>| {
            let named = shelves.into_iter().map(|shelf| {
                let mut bytes = [0; 8];
                let hash = blake3::hash(shelf.host.name.as_bytes());
                bytes.copy_from_slice(&hash.as_bytes()[..8]);
                (u64::from_le_bytes(bytes), shelf.host.name.clone())
            });
            routing::top(key, named, 1).into_iter().next()
        };
        let delay = self
            .shelves
            .values()
            .filter(room)
            .filter(fast)
            .map(|shelf| shelf.host.latency)
            .min()?;
        let tier = |shelf: &&Shelf| shelf.host.latency == delay;
        let shelves = self.shelves.values();
        pick(shelves.filter(room).filter(fast).filter(tier).collect())
    }

    /// Returns the use of a host's link by all entries; hosts of one speed have equal shares of the
    /// parts, so their mean is closer than the few transfers of this entry from one of them.
    fn used(&self, shelf: &Shelf, now: Time) -> f64 {
        let tier = self.shelves.values();
        let tier = tier.filter(|other| other.up && other.host.latency == shelf.host.latency);
        let (count, work) = tier.fold((0u32, 0.0), |(count, work), other| {
            (count + 1, work + other.worked(now))
        });
        work / MEMORY_S / f64::from(count.max(1)) * self.entries.max(1) as f64
    }

    /// Returns how long a transfer waits for others.
    fn wait(&self, shelf: &Shelf, now: Time) -> Duration {
        let used = self.used(shelf, now).min(MOST_USED);
        // A queue of transfers of equal length at random times.
        let wait = MEAN_TRANSFER.as_secs_f64() * used / (2.0 * (1.0 - used));
        Duration::from_secs_f64(wait)
    }

    /// Returns how much longer all other transfers of a host take because of one.
    ///
    /// Load pattern: many sessions, whose parts together use most of the hosts' links. A transfer to
    /// another failure domain holds its link twice as long, which is little for the request itself
    /// and takes the link from those that come after.
    fn strain(&self, store: &Store, part: &Segment, domain: &Domain, now: Time) -> Duration {
        let Some(shelf) = self.shelves.get(store) else {
            return Duration::ZERO;
        };
        let used = self.used(shelf, now).min(MOST_USED);
        let held = shelf.occupied(part.tokens, self.token_bytes, domain);
        held.mul_f64(used / (1.0 - used))
    }

    /// Forgets saves that were not reported; an event may be lost.
    pub fn expire(&mut self, now: Time) {
        for shelf in self.shelves.values_mut() {
            shelf
                .saving
                .retain(|_, saving| now.since(saving.since) < SAVE_TIME);
            shelf
                .own
                .retain(|(at, _)| now.since(*at) < lateness::OBSERVED);
        }
        self.uses
            .retain(|_, (uses, last)| decayed(*uses, *last, LOCAL.as_secs_f64(), now) > 0.05);
        self.local.retain(|_, used| {
            used.retain(|_, at| now.since(*at) < LOCAL);
            !used.is_empty()
        });
    }
}
