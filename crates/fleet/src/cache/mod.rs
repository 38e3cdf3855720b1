//! Index of the cached prompt segments on store hosts; decides when to fetch, save or evict them.
//!
//! A segment of other weights, or of a team that does not share its segments, is in another
//! [namespace](crate::namespace) and never found. See `docs/platform.md`.

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
use server::{Cached, Saving, Server, WORK_DECAY_S, decayed};

/// Identifies a segment within a cache namespace.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The name of the [namespace](crate::namespace).
    pub namespace: Arc<str>,
    /// The identifier of the segment.
    pub id: Arc<str>,
}

/// A prompt segment that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// The key of the segment.
    pub key: Key,
    /// Length in tokens.
    pub tokens: u64,
}

/// The state of all store hosts and what is known of the targets' own caches.
#[derive(Debug, Default)]
pub struct Index {
    servers: HashMap<Store, Server>,
    prefill_rate: Rate,
    token_bytes: u64,
    /// Number of entries, assumed to use the hosts about equally.
    entries: usize,
    /// When a segment was last used at a target.
    resident: HashMap<Target, HashMap<Key, Time>>,
    /// Exponentially decaying count of this entry's uses of each segment.
    uses: HashMap<Key, (f64, Time)>,
    /// How late the first tokens of requests without fetches are at the targets of each failure
    /// domain, in ms. This is the baseline for judging fetches.
    baseline_ms: HashMap<Domain, f64>,
    /// Segments that requests of this entry are fetching, with the number of these requests.
    fetching: HashMap<(Store, Key), u32>,
    /// When the entry last ran its periodic tick.
    last_tick: Option<Time>,
    /// When the entry last resumed after a stall.
    resumed_at: Time,
}

/// A target as the location of a prefill.
#[derive(Debug, Clone, Copy)]
pub struct Location<'name> {
    /// The target.
    pub target: &'name Target,
    /// The failure domain of the target.
    pub domain: &'name Domain,
    /// The number of targets over which requests are spread.
    pub pool_size: usize,
}

/// Whether the weights of a namespace are still in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// No target serves the weights any more.
    Unused,
    /// Targets serve the weights, but newer ones have been released.
    Outdated,
    /// The weights are the newest.
    Current,
}

impl Status {
    /// Returns the status to assume; unless it has `converged`, the target list may be incomplete.
    ///
    /// Load pattern: all entries restart while the hosts are full of segments of older weights.
    /// Without free capacity nothing is saved, and every prompt is prefilled again for as long as
    /// the entries wait for the complete list. Weights that seem unused may still have targets, so
    /// their segments are evicted like those of outdated weights: a few at a time, least recently
    /// used first.
    #[must_use]
    pub fn conservative(self, converged: bool) -> Self {
        match self {
            Self::Unused if !converged => Self::Outdated,
            status => status,
        }
    }
}

/// What to do with one segment of a prompt.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// The target prefills it, and nothing is saved.
    Prefill,
    /// The target prefills it although this host has it, because the host's link is too busy.
    Skip(Store),
    /// The target prefills it and saves it to this host.
    Save(Store),
    /// The target fetches it from this host.
    Fetch(Store),
}

/// How it is known which segments are resident in a target's own memory.
#[derive(Debug, Clone, Copy)]
pub enum Residency<'flags> {
    /// Estimated from this entry's requests, assuming that those of other entries are similar.
    Estimated,
    /// Tracked from all requests to the target, which this entry places.
    Tracked,
    /// Reported by the dispatcher; one flag per segment.
    Reported(&'flags [bool]),
}

/// What to do with the shared segments of a prompt at one target.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Plan {
    /// One action per shared segment.
    pub actions: Vec<Action>,
    /// Which of the segments are resident in the target's own memory.
    pub resident: Vec<bool>,
    /// Tokens of the shared segments that the target has to prefill.
    pub prefill_tokens: u64,
    /// The expected duration of the fetches.
    pub fetch_time: Duration,
    /// How much the fetches of other requests are delayed in total by congestion that this plan
    /// adds.
    pub congestion: Duration,
}

/// What an entry has observed of a store host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// The boot id of the host, or `None` if it did not respond.
    pub boot: Option<u64>,
    /// A time at which this was certainly so.
    pub at: Time,
    /// The earliest time at which the host is known to have run under this boot.
    pub since: Time,
}

/// A report of a store host about one segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Whether the segment is now complete on the host; otherwise it is gone.
    pub present: bool,
    /// The key of the segment.
    pub key: Key,
    /// Length in tokens.
    pub tokens: u64,
}

/// How much longer than the prefill a fetch may take. Prefilling again takes engine time from all
/// requests, so a fetch is preferred until it endangers the latency objective of its own request.
const FETCH_TOLERANCE: Duration = Duration::from_millis(200);
/// KV memory is cached in blocks of this many tokens; the incomplete last block of a segment is not
/// cached.
const BLOCK_TOKENS: u64 = 16;
/// A fast host takes segments up to the capacity divided by this. Longer ones would fill it with
/// few prompts; they go to the slowest hosts, which take any segment that fits.
const FAST_HOST_DIVISOR: u64 = 90;
/// The fraction of a host's capacity up to which segments are saved; saves of other entries are
/// unknown until the host reports them.
const MAX_FILL: f64 = 0.96;
/// How long a save may take before the segment is saved again; it begins once the segment is
/// prefilled.
const SAVE_TIMEOUT: Duration = Duration::from_millis(4000);
/// How long a segment is assumed to stay in a target's own memory after its last use. A prompt of
/// 9,000 tokens needs a seventh of that memory, and a few such prompts arrive each second.
const RESIDENT_TIME: Duration = Duration::from_millis(2500);
/// A segment used at least this often at an average target within that time is assumed to be
/// resident.
const POPULAR_USES: f64 = 1.5;
/// How long an evicted segment is not fetched, so that a late report does not bring it back.
const RETIRED_TTL: Duration = Duration::from_secs(6);
/// Link utilization up to which all segments are fetched; beyond it, a fraction of the fetches is
/// skipped.
const MAX_UTILIZATION: f64 = 0.85;
/// The duration of a typical transfer: 5,000 tokens over 74 Gbit/s, half of them between failure
/// domains.
const MEAN_TRANSFER_TIME: Duration = Duration::from_millis(30);

impl Index {
    /// Sets the configured hosts; the state of unchanged hosts is kept.
    pub fn configure(&mut self, hosts: &[StoreHost], token_bytes: u64) {
        self.token_bytes = token_bytes;
        self.servers
            .retain(|name, _| hosts.iter().any(|host| host.name == *name));
        for host in hosts.iter().filter(|host| host.managed) {
            let known = self.servers.get(&host.name);
            if known.is_some_and(|server| server.host == *host) {
                continue;
            }
            self.servers
                .insert(host.name.clone(), Server::new(host.clone()));
        }
    }

    /// Sets the prefill rate of the targets.
    pub fn on_prefill_rate(&mut self, prefill_rate: Rate) {
        self.prefill_rate = prefill_rate;
    }

    /// Records what this or another entry has observed of a host; returns whether it is news or
    /// agrees with what is known. Older observations are ignored.
    ///
    /// Load pattern: a host restarts while the entries that relay its reports are gone. An entry
    /// that goes by the former boot lets targets fetch segments that other entries are just saving
    /// again. So a fetch needs recent evidence of the boot, whichever entry it comes from, and
    /// nothing is saved under a new boot until all evidence of the former one has expired.
    pub fn on_observed(&mut self, store: &Store, observation: Observation) -> bool {
        let Some(server) = self.servers.get_mut(store) else {
            return false;
        };
        let Observation { boot, at, since } = observation;
        let is_newer = server.observed_at.is_none_or(|known| known < at);
        let Some(boot) = boot else {
            if is_newer {
                server.up = false;
                server.saving.clear();
                server.observed_at = Some(at);
            }
            return is_newer;
        };
        if server.boot == Some(boot) {
            server.boot_since = server.boot_since.min(since);
            if is_newer {
                server.up = true;
                server.observed_at = Some(at);
            }
            return true;
        }
        if !is_newer || server.is_former_boot(boot) {
            return false;
        }
        server.on_new_boot(boot, since);
        server.up = true;
        server.observed_at = Some(at);
        true
    }

    /// Returns what is known of a host, to tell other entries.
    #[must_use]
    pub fn observation(&self, store: &Store) -> Option<Observation> {
        let server = self.servers.get(store)?;
        Some(Observation {
            boot: server.boot.filter(|_| server.up),
            at: server.observed_at?,
            since: server.boot_since,
        })
    }

    /// Records reports of a host under its current boot; those under another one are ignored.
    pub fn on_reports(&mut self, store: &Store, boot: u64, reports: Vec<Report>, now: Time) {
        let server = self.servers.get_mut(store);
        let Some(server) = server.filter(|server| server.boot == Some(boot)) else {
            return;
        };
        for report in reports {
            server.saving.remove(&report.key);
            if !report.present {
                server.remove_segment(&report.key);
                continue;
            }
            let retired = server.retired.get(&report.key);
            if retired.is_some_and(|&at| now.since(at) < RETIRED_TTL) {
                continue;
            }
            let cached = Cached {
                tokens: report.tokens,
                last_used: now,
            };
            if let Some(previous) = server.cached.insert(report.key, cached) {
                server.tokens -= previous.tokens;
            }
            server.tokens += report.tokens;
        }
    }

    /// Replaces the state of a host by a full report. Single reports may be lost, and a host
    /// remembers only the newest ones.
    pub fn on_snapshot(&mut self, store: &Store, boot: u64, reports: Vec<Report>, now: Time) {
        let server = self.servers.get_mut(store);
        let Some(server) = server.filter(|server| server.boot == Some(boot)) else {
            return;
        };
        server.cached.clear();
        server.tokens = 0;
        self.on_reports(store, boot, reports, now);
    }

    /// Returns the failure domain of a host that has the segment.
    #[must_use]
    pub fn holder_domain(&self, segment: &Segment) -> Option<&Domain> {
        let holders = self.servers.values();
        let mut holders =
            holders.filter(|server| server.up && server.cached.contains_key(&segment.key));
        holders.next().map(|server| &server.host.domain)
    }

    /// Returns the failure domain of the host to which a segment would be saved.
    #[must_use]
    pub fn home_domain(&self, segment: &Segment) -> Option<&Domain> {
        let home = self.home(segment)?;
        self.host(&home).map(|host| &host.domain)
    }

    /// Plans the shared segments of a prompt for a target; `draw` is uniformly distributed between
    /// 0 and 1. Records nothing.
    #[must_use]
    pub fn plan(
        &self,
        segments: &[Segment],
        at: &Location<'_>,
        residency: Residency<'_>,
        draw: f64,
        now: Time,
    ) -> Plan {
        let mut plan = Plan::default();
        let current = !self.is_stalled(now);
        let holder = |segment: &Segment| self.holder(segment, now).filter(|_| current);
        let save = |segment: &Segment| {
            let home = self.home(segment);
            let home = home.filter(|home| self.servers[home].accepts_saves(now));
            home.map_or(Action::Prefill, Action::Save)
        };
        // A segment is usable only if all segments before it are available too.
        let mut prefix_available = true;
        for (index, segment) in segments.iter().enumerate() {
            let resident = match residency {
                Residency::Estimated => {
                    self.is_resident(segment, at, now) || self.is_popular(segment, at, now)
                }
                Residency::Tracked => self.is_resident(segment, at, now),
                Residency::Reported(flags) => flags.get(index).copied().unwrap_or(false),
            };
            plan.resident.push(resident);
            let is_usable = prefix_available && resident;
            let source = self.source(segment, at.domain, draw, now);
            let source = source.filter(|_| current);
            if prefix_available && let Some((store, time)) = source {
                if !is_usable {
                    plan.fetch_time += time;
                    plan.congestion += self.congestion(&store, segment, at.domain, now);
                }
                plan.actions.push(Action::Fetch(store));
                continue;
            }
            if is_usable {
                plan.actions
                    .push(match (holder(segment), self.is_known(segment)) {
                        // Include the host in case the target has evicted the segment.
                        (Some(store), _) => Action::Fetch(store),
                        (None, true) => Action::Prefill,
                        (None, false) => save(segment),
                    });
                continue;
            }
            let had_prefix = std::mem::replace(&mut prefix_available, false);
            plan.prefill_tokens += segment.tokens;
            plan.actions
                .push(match (holder(segment), self.is_known(segment)) {
                    (Some(store), _) if had_prefix => Action::Skip(store),
                    (Some(_), _) => Action::Prefill,
                    (None, true) => Action::Prefill,
                    (None, false) => save(segment),
                });
        }
        plan
    }

    /// Records that a plan is carried out; `entries` entries are assumed to use the hosts about
    /// equally.
    pub fn on_sent(
        &mut self,
        segments: &[Segment],
        plan: &Plan,
        at: &Location<'_>,
        entries: usize,
        now: Time,
    ) {
        self.entries = entries;
        let bytes = self.token_bytes;
        self.on_placed(segments, at.target, now);
        for ((segment, action), resident) in segments.iter().zip(&plan.actions).zip(&plan.resident)
        {
            let (uses, last) = self.uses.get(&segment.key).copied().unwrap_or((0.0, now));
            let uses = decayed(uses, last, RESIDENT_TIME.as_secs_f64(), now) + 1.0;
            self.uses.insert(segment.key.clone(), (uses, now));
            match action {
                Action::Prefill | Action::Skip(_) => {}
                Action::Save(store) => {
                    if let Some(server) = self.servers.get_mut(store) {
                        let saving = Saving {
                            tokens: segment.tokens,
                            since: now,
                        };
                        server.saving.insert(segment.key.clone(), saving);
                    }
                }
                Action::Fetch(store) => {
                    let fetched = (store.clone(), segment.key.clone());
                    *self.fetching.entry(fetched).or_insert(0) += 1;
                    let server = self.servers.get_mut(store);
                    if let Some(cached) =
                        server.and_then(|server| server.cached.get_mut(&segment.key))
                    {
                        cached.last_used = now;
                    }
                }
            }
            if *resident {
                continue;
            }
            // Skipped fetches count too: otherwise skipping would lower the utilization and let
            // more fetches through.
            let wanted = match action {
                Action::Fetch(store) | Action::Skip(store) => Some(store),
                Action::Prefill | Action::Save(_) => None,
            };
            if let Some(server) = wanted.and_then(|store| self.servers.get_mut(store)) {
                let time = server.transfer_time(segment.tokens, bytes, at.domain);
                server.work = server.recent_work(now) + time.as_secs_f64();
                server.work_updated = now;
            }
        }
    }

    /// Records that a request with these segments goes to a target, which keeps them resident for a
    /// while.
    pub fn on_placed(&mut self, segments: &[Segment], target: &Target, now: Time) {
        let last_uses = self.resident.entry(target.clone()).or_default();
        last_uses.extend(segments.iter().map(|segment| (segment.key.clone(), now)));
    }

    /// Returns the hosts with their last known boot id.
    pub fn hosts(&self) -> impl Iterator<Item = (&StoreHost, Option<u64>)> {
        self.servers
            .values()
            .map(|server| (&server.host, server.boot))
    }

    /// Returns a host.
    #[must_use]
    pub fn host(&self, store: &Store) -> Option<&StoreHost> {
        self.servers.get(store).map(|server| &server.host)
    }

    /// Returns whether a known request has recently made the segment resident at the target.
    fn is_resident(&self, segment: &Segment, at: &Location<'_>, now: Time) -> bool {
        let last_uses = self.resident.get(at.target);
        let last_uses = last_uses.and_then(|last_uses| last_uses.get(&segment.key));
        last_uses.is_some_and(|&last_use| now.since(last_use) < RESIDENT_TIME)
    }

    /// Returns whether a segment is used so often that it is probably resident at every target.
    fn is_popular(&self, segment: &Segment, at: &Location<'_>, now: Time) -> bool {
        // Other entries use it about as often, and their requests are spread over all targets.
        let Some(&(uses, last)) = self.uses.get(&segment.key) else {
            return false;
        };
        let recent = decayed(uses, last, RESIDENT_TIME.as_secs_f64(), now);
        recent * self.entries as f64 / at.pool_size.max(1) as f64 >= POPULAR_USES
    }

    /// Returns whether a segment is on any host or is being saved to one.
    fn is_known(&self, segment: &Segment) -> bool {
        self.servers.values().any(|server| {
            server.up
                && (server.cached.contains_key(&segment.key)
                    || server.saving.contains_key(&segment.key))
        })
    }

    /// Returns any host that has the complete segment.
    fn holder(&self, segment: &Segment, now: Time) -> Option<Store> {
        let holder = self.servers.iter().find(|(_, server)| {
            let cached = server.cached.get(&segment.key);
            server.may_fetch(now)
                && cached.is_some_and(|cached| cached.tokens + BLOCK_TOKENS > segment.tokens)
        });
        holder.map(|(name, _)| name.clone())
    }

    /// Returns the host from which a segment arrives soonest, if fetching is worth it.
    fn source(
        &self,
        segment: &Segment,
        domain: &Domain,
        draw: f64,
        now: Time,
    ) -> Option<(Store, Duration)> {
        let prefill_time = self.prefill_rate.duration(segment.tokens);
        // Without these limits, queues on overloaded links would delay all fetches.
        let holders = self.servers.iter().filter(|(_, server)| {
            server.may_fetch(now)
                && draw * self.utilization(server, now) <= MAX_UTILIZATION
                && draw <= server.fetch_share
                && server
                    .cached
                    .get(&segment.key)
                    .is_some_and(|cached| cached.tokens + BLOCK_TOKENS > segment.tokens)
        });
        let times = holders.map(|(name, server)| {
            let time = server.transfer_time(segment.tokens, self.token_bytes, domain);
            (name, time + self.queueing_delay(server, now))
        });
        let (name, time) = times.min_by_key(|(_, time)| *time)?;
        (time < prefill_time + FETCH_TOLERANCE).then(|| (name.clone(), time))
    }

    /// Returns the host to which a segment is saved; all entries choose the same one.
    fn home(&self, segment: &Segment) -> Option<Store> {
        let key = routing::Key::new(&[segment.key.namespace.as_bytes(), segment.key.id.as_bytes()]);
        let has_capacity = |server: &&Server| {
            let filled = server.tokens + server.saving.values().map(|one| one.tokens).sum::<u64>();
            server.up && (filled + segment.tokens) as f64 <= server.host.capacity as f64 * MAX_FILL
        };
        let slowest = self
            .servers
            .values()
            .map(|server| server.host.latency)
            .max();
        let fast = |server: &&Server| {
            Some(server.host.latency) == slowest
                || segment.tokens * FAST_HOST_DIVISOR <= server.host.capacity
        };
        let pick = |servers: Vec<&Server>| {
            let named = servers.into_iter().map(|server| {
                let mut bytes = [0; 8];
                let hash = blake3::hash(server.host.name.as_bytes());
                bytes.copy_from_slice(&hash.as_bytes()[..8]);
                (u64::from_le_bytes(bytes), server.host.name.clone())
            });
            routing::top(key, named, 1).into_iter().next()
        };
        let latency = self
            .servers
            .values()
            .filter(has_capacity)
            .filter(fast)
            .map(|server| server.host.latency)
            .min()?;
        let tier = |server: &&Server| server.host.latency == latency;
        let servers = self.servers.values();
        pick(
            servers
                .filter(has_capacity)
                .filter(fast)
                .filter(tier)
                .collect(),
        )
    }

    /// Estimates the utilization of a host's link by all entries. Hosts with the same latency get
    /// equal shares of the segments, so their mean is more accurate than this entry's few transfers
    /// from one of them.
    fn utilization(&self, server: &Server, now: Time) -> f64 {
        let tier = self.servers.values();
        let tier = tier.filter(|other| other.up && other.host.latency == server.host.latency);
        let (count, work) = tier.fold((0u32, 0.0), |(count, work), other| {
            (count + 1, work + other.recent_work(now))
        });
        work / WORK_DECAY_S / f64::from(count.max(1)) * self.entries.max(1) as f64
    }

    /// Returns the expected queueing delay of a transfer.
    fn queueing_delay(&self, server: &Server, now: Time) -> Duration {
        let utilization = self.utilization(server, now).min(MAX_UTILIZATION);
        // M/D/1 queue: constant transfer time, random arrivals.
        let queueing_delay =
            MEAN_TRANSFER_TIME.as_secs_f64() * utilization / (2.0 * (1.0 - utilization));
        Duration::from_secs_f64(queueing_delay)
    }

    /// Returns how much all other transfers of a host are delayed by one transfer.
    ///
    /// Load pattern: many sessions whose segments together use most of the hosts' links. A transfer
    /// to another failure domain occupies the link twice as long, which costs the request itself
    /// little but delays all later transfers.
    fn congestion(&self, store: &Store, segment: &Segment, domain: &Domain, now: Time) -> Duration {
        let Some(server) = self.servers.get(store) else {
            return Duration::ZERO;
        };
        let utilization = self.utilization(server, now).min(MAX_UTILIZATION);
        let link_time = server.link_time(segment.tokens, self.token_bytes, domain);
        link_time.mul_f64(utilization / (1.0 - utilization))
    }

    /// Drops saves that were never reported (reports may be lost) and other state that has expired.
    pub fn expire(&mut self, now: Time) {
        for server in self.servers.values_mut() {
            server
                .saving
                .retain(|_, saving| now.since(saving.since) < SAVE_TIMEOUT);
            server
                .recent
                .retain(|(at, _)| now.since(*at) < lateness::OBSERVATION_TTL);
        }
        self.uses.retain(|_, (uses, last)| {
            decayed(*uses, *last, RESIDENT_TIME.as_secs_f64(), now) > 0.05
        });
        self.resident.retain(|_, last_uses| {
            last_uses.retain(|_, at| now.since(*at) < RESIDENT_TIME);
            !last_uses.is_empty()
        });
    }
}
