//! Rollout of new weights: which targets are ordered to load them, and when.

use std::collections::HashMap;
use std::time::Duration;

use types::{Domain, Model, Target, Time};

use crate::expiry::Expiry;
use crate::roster::{Member, Record, Roster};

/// The released weight versions and the orders in progress.
///
/// Only the holder of the orders lease acts on it. Few targets load weights at the same time, so
/// that the others can carry the load; see `docs/platform.md`.
#[derive(Debug, Default)]
pub struct Rollout {
    /// The released versions of each model, the newest last.
    releases: HashMap<Model, Vec<Release>>,
    /// Recorded releases of versions newer than all of `releases`, the newest last. They apply once
    /// the operator's list contains that version or a newer one.
    unlisted: HashMap<Model, Vec<Release>>,
    in_progress: HashMap<Target, Progress>,
    /// Targets to which a previous holder of the lease may have sent orders, and until when this
    /// one sends them none.
    blocked: HashMap<Target, Time>,
    /// Moving average of the time from an order to the new weights.
    mean_duration: MeanDuration,
}

/// Moving average of the duration of orders.
#[derive(Debug, Clone, Copy)]
struct MeanDuration(Duration);

/// Limits on the number of targets that load weights at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long after the release of a version requests may still start on older weights.
    pub staleness_bound: Duration,
    /// Whether requests are queued in many cells.
    pub overloaded: bool,
}

/// A released version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// The version.
    pub version: u64,
    /// When this process learned of the release.
    pub since: Time,
}

#[derive(Debug, Clone, Copy)]
struct Progress {
    version: u64,
    /// When the order was sent.
    sent: Time,
    /// When the order was sent or answered.
    updated_at: Time,
    answer: Answer,
}

/// Number of versions remembered per model; older ones have been replaced long before.
const MAX_RELEASES: usize = 16;

/// A target's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The target is carrying out the order.
    Accepted,
    /// The target already has these weights.
    Holds,
    /// Another order is in progress there.
    Busy,
    /// The target does not know the order, or it is another target.
    Refused,
    /// No answer was received; the order may still be carried out.
    Lost,
}

/// An order to one target to load a version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The target.
    pub target: Target,
    /// The model.
    pub model: Model,
    /// The version to load.
    pub version: u64,
}

/// Timeout of an accepted order, after which it is sent again. Running requests end first, and
/// loading weights takes some seconds.
const ACCEPTED_TIMEOUT: Duration = Duration::from_secs(8);
/// Minimum duration of an order; the operators' data sheets give 1.9 s for loading weights.
const MIN_DURATION: Duration = Duration::from_millis(1800);
/// Timeout of an order without an answer.
const LOST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Delay before an order is sent again after a refusal.
const REFUSED_DELAY: Duration = Duration::from_millis(1000);
/// Delay before an order is sent again to a target with another order in progress.
const BUSY_DELAY: Duration = Duration::from_millis(500);
/// One in this many targets loads weights at a time.
const CONCURRENT_DIVISOR: usize = 5;
/// Minimum number of targets that load weights at a time, for small pools.
const MIN_CONCURRENT: usize = 2;
/// The factor by which the usual number may be exceeded if the deadline would be missed otherwise,
/// as a fraction. Loading takes longer while more targets than usual do so, so that exceeding it
/// gains little.
const EXTRA_FACTOR: (usize, usize) = (3, 2);
/// The factor if the deadline requires at least that many times the usual number.
const URGENT_FACTOR: usize = 2;
/// The expected duration of an order before any has ended. Running requests end first, and the
/// operators' data sheets give 0.8 to 1.9 s for loading weights.
const DEFAULT_DURATION: Duration = Duration::from_millis(2000);
/// Weight of the newest order in the moving average.
const SMOOTHING: f64 = 0.2;
/// Part of the deadline reserved for a takeover of the lease, which takes seconds.
const TAKEOVER_RESERVE: Duration = Duration::from_millis(3000);

impl Default for MeanDuration {
    fn default() -> Self {
        Self(DEFAULT_DURATION)
    }
}

impl MeanDuration {
    fn on_done(&mut self, took: Duration) {
        self.0 = self.0.mul_f64(1.0 - SMOOTHING) + took.mul_f64(SMOOTHING);
    }
}

impl Rollout {
    /// Records a released version. Returns whether it is newer than the known ones.
    pub fn release(&mut self, model: &Model, version: u64, now: Time) -> bool {
        let known = self.releases.entry(model.clone()).or_default();
        if known
            .last()
            .is_some_and(|release| version <= release.version)
        {
            return false;
        }
        if known.len() == MAX_RELEASES {
            known.remove(0);
        }
        known.push(Release {
            version,
            since: now,
        });
        let mut recorded = self.unlisted.remove(model).unwrap_or_default();
        let newer = recorded.partition_point(|release| release.version <= version);
        let newer = recorded.split_off(newer);
        if !newer.is_empty() {
            self.unlisted.insert(model.clone(), newer);
        }
        for release in recorded {
            self.restore(model, release.version, release.since);
        }
        true
    }

    /// Restores the release time of a version from a stored record. A process that started later
    /// learns only the newest version, but each earlier one sets the deadline of the targets that
    /// missed it. Of two release times, the earlier one counts. A version that is newer than all
    /// released ones is not released by this. Returns by how much the record is earlier than what
    /// was known, if it is; zero for a version that was not known.
    pub fn restore(&mut self, model: &str, version: u64, since: Time) -> Option<Duration> {
        let found = self.releases.iter_mut().find(|(name, _)| &***name == model);
        let (model, versions) = found?;
        let newest = versions.last().map(|release| release.version);
        let (versions, is_listed) = match newest < Some(version) {
            true => (self.unlisted.entry(model.clone()).or_default(), false),
            false => (versions, true),
        };
        match versions.binary_search_by_key(&version, |release| release.version) {
            Ok(index) => {
                let known = &mut versions[index].since;
                let earlier = known.since(since);
                *known = since.min(*known);
                (is_listed && !earlier.is_zero()).then_some(earlier)
            }
            Err(index) if versions.len() < MAX_RELEASES => {
                versions.insert(index, Release { version, since });
                is_listed.then_some(Duration::ZERO)
            }
            Err(_) => None,
        }
    }

    /// Returns the newest version of a model.
    #[must_use]
    pub fn latest(&self, model: &str) -> Option<Release> {
        let found = self.releases.iter().find(|(name, _)| &***name == model);
        found.and_then(|(_, releases)| releases.last().copied())
    }

    /// Returns when a version was released, as far as this process knows.
    #[must_use]
    pub fn released_at(&self, model: &Model, version: u64) -> Option<Time> {
        let known = self.releases.get(model)?.iter();
        let mut matching = known.filter(|release| release.version == version);
        matching.next().map(|release| release.since)
    }

    /// Returns the known releases of all models, the oldest one of each model first.
    pub fn releases(&self) -> impl Iterator<Item = (&Model, &Release)> {
        let models = self.releases.iter();
        models.flat_map(|(model, releases)| releases.iter().map(move |release| (model, release)))
    }

    /// Returns whether any target that is not draining serves older weights than the newest
    /// release.
    #[must_use]
    pub fn is_incomplete(&self, roster: &Roster) -> bool {
        roster
            .iter()
            .any(|record| self.missing_order(record).is_some())
    }

    /// Returns the orders to send now, up to the limit of concurrent orders.
    ///
    /// Load pattern: two releases within seconds while targets leave. All prompts have to be
    /// prefilled again, and with more than a fifth of the targets out the others cannot carry the
    /// load. So while requests are queued, no more targets load weights at a time than the deadline
    /// requires, and these are spread over the failure domains.
    pub fn due(&mut self, roster: &Roster, limits: Limits, now: Time) -> Vec<Order> {
        self.drop_finished(roster, now);
        let mut outdated_targets: Vec<(&Record, Order)> = roster
            .iter()
            .filter_map(|record| self.missing_order(record).map(|order| (record, order)))
            .collect();
        // Targets that have been outdated for longest come first: nothing may start on their
        // weights after the operators' deadline.
        outdated_targets.sort_by_cached_key(|(record, order)| {
            let since = self.outdated_since(&record.member, &order.model);
            (since, order.target.clone())
        });
        let limit = self.limit(roster, &outdated_targets, limits, now);
        let running = self
            .in_progress
            .values()
            .filter(|order| order.is_running())
            .count();
        let (blocked, unblocked): (Vec<_>, Vec<_>) = outdated_targets
            .into_iter()
            .filter(|(_, order)| !self.in_progress.contains_key(&order.target))
            .partition(|(_, order)| self.is_blocked(&order.target, now));
        // Orders of the previous holder are probably still in progress.
        let free_slots = limit.saturating_sub(running + blocked.len());
        self.spread(roster, unblocked, free_slots)
    }

    /// Returns how many targets may load weights at a time.
    fn limit(
        &self,
        roster: &Roster,
        outdated_targets: &[(&Record, Order)],
        limits: Limits,
        now: Time,
    ) -> usize {
        let pool = roster.iter();
        let pool = pool
            .filter(|record| !record.member.weights.is_empty())
            .count();
        // The targets with the earliest deadline have to be done by then, one batch after another.
        let needed = outdated_targets
            .iter()
            .enumerate()
            .filter_map(|(index, (record, order))| {
                let since = self.outdated_since(&record.member, &order.model)?;
                let left = limits
                    .staleness_bound
                    .checked_sub(now.since(since) + TAKEOVER_RESERVE);
                let left = left.unwrap_or_default().max(self.mean_duration.0);
                Some(self.mean_duration.0.as_secs_f64() * (index + 1) as f64 / left.as_secs_f64())
            });
        let needed = needed.fold(0.0, f64::max).ceil() as usize;
        let usual = (pool / CONCURRENT_DIVISOR).max(MIN_CONCURRENT);
        let max = match needed >= usual * URGENT_FACTOR {
            true => usual * URGENT_FACTOR,
            false => usual * EXTRA_FACTOR.0 / EXTRA_FACTOR.1,
        };
        let min = if limits.overloaded {
            MIN_CONCURRENT
        } else {
            usual
        };
        min.max(needed.min(max))
    }

    /// Picks targets from the longest outdated ones on; among equals, those of failure domains with
    /// the fewest orders in progress.
    fn spread(
        &self,
        roster: &Roster,
        remaining: Vec<(&Record, Order)>,
        free_slots: usize,
    ) -> Vec<Order> {
        let mut updating: HashMap<Domain, usize> = HashMap::new();
        for (target, order) in &self.in_progress {
            if let Some(record) = roster.get(target).filter(|_| order.is_running()) {
                *updating.entry(record.member.domain.clone()).or_default() += 1;
            }
        }
        let mut remaining = remaining;
        let mut chosen = Vec::new();
        while chosen.len() < free_slots && !remaining.is_empty() {
            let outdated_since =
                |record: &Record, order: &Order| self.outdated_since(&record.member, &order.model);
            let key = |(record, order): &(&Record, Order)| {
                let in_domain = updating.get(&record.member.domain).copied();
                (outdated_since(record, order), in_domain.unwrap_or(0))
            };
            let keys = remaining
                .iter()
                .enumerate()
                .map(|(index, pair)| (key(pair), index));
            let Some((_, index)) = keys.min() else {
                break;
            };
            let (record, order) = remaining.remove(index);
            *updating.entry(record.member.domain.clone()).or_default() += 1;
            chosen.push(order);
        }
        chosen
    }

    /// Blocks orders to targets to which a previous holder of the lease may have sent some: orders
    /// of two holders to one target must be some time apart.
    pub fn block<Targets>(&mut self, targets: Targets, until: Time)
    where
        Targets: IntoIterator<Item = Target>,
    {
        let targets = targets.into_iter();
        self.blocked.extend(targets.map(|target| (target, until)));
    }

    /// Returns the targets that are loading new weights; others should not send them requests.
    pub fn updating(&self) -> impl Iterator<Item = &Target> {
        let running = self
            .in_progress
            .iter()
            .filter(|(_, order)| order.is_running());
        running.map(|(target, _)| target)
    }

    /// Records that an order is sent.
    pub fn on_sent(&mut self, order: &Order, now: Time) {
        let progress = Progress {
            version: order.version,
            sent: now,
            updated_at: now,
            answer: Answer::Lost,
        };
        self.in_progress.insert(order.target.clone(), progress);
    }

    /// Records the answer to an order.
    pub fn on_answer(&mut self, target: &Target, answer: Answer, now: Time) {
        if let Some(progress) = self.in_progress.get_mut(target) {
            progress.answer = answer;
            progress.updated_at = now;
        }
    }

    /// Returns the targets that may have finished an order by now and should be queried. When a
    /// previous holder sent its orders is unknown, so blocked targets are included.
    #[must_use]
    pub fn unfinished(&self, now: Time) -> Vec<Target> {
        let progress = self.in_progress.iter().filter(|(_, progress)| {
            progress.answer == Answer::Accepted && now.since(progress.updated_at) >= MIN_DURATION
        });
        let blocked = self.blocked.keys();
        let blocked = blocked.filter(|target| self.is_blocked(target, now));
        progress
            .map(|(target, _)| target)
            .chain(blocked)
            .cloned()
            .collect()
    }

    /// Drops all orders after the lease is lost.
    pub fn clear(&mut self) {
        self.in_progress.clear();
        self.blocked.clear();
    }

    fn is_blocked(&self, target: &Target, now: Time) -> bool {
        self.blocked.get(target).is_some_and(|&until| now < until)
    }

    /// Drops orders that are done or have to be sent again.
    fn drop_finished(&mut self, roster: &Roster, now: Time) {
        let mean_duration = &mut self.mean_duration;
        self.in_progress.retain(|target, progress| {
            let Some(record) = roster.get(target) else {
                return false;
            };
            let done = record
                .member
                .weights
                .iter()
                .any(|(_, version)| *version >= progress.version);
            if done && progress.answer == Answer::Accepted {
                mean_duration.on_done(now.since(progress.sent));
            }
            !done && now.since(progress.updated_at) < progress.timeout()
        });
    }

    /// Returns when the first version newer than that of the target was released.
    #[must_use]
    pub fn outdated_since(&self, member: &Member, model: &Model) -> Option<Time> {
        let current = member.version(model)?;
        let newer = self.releases.get(model)?;
        let first = newer.iter().find(|release| release.version > current);
        first.map(|release| release.since)
    }

    /// Returns when the weights of the target expire, `limit` after the first newer version was
    /// released; `None` if they do not.
    #[must_use]
    pub fn expiry(&self, member: &Member, model: &Model, limit: Duration) -> Option<Expiry> {
        Expiry::new(self.outdated_since(member, model)?, limit)
    }

    fn missing_order(&self, record: &Record) -> Option<Order> {
        let member = &record.member;
        if member.draining {
            return None;
        }
        let outdated = member.weights.iter().find_map(|(model, version)| {
            let newest = self.releases.get(model)?.last()?;
            (*version < newest.version).then(|| (model.clone(), newest.version))
        });
        outdated.map(|(model, version)| Order {
            target: member.id.clone(),
            model,
            version,
        })
    }
}

impl Progress {
    fn timeout(&self) -> Duration {
        match self.answer {
            Answer::Accepted | Answer::Holds => ACCEPTED_TIMEOUT,
            Answer::Busy => BUSY_DELAY,
            Answer::Refused => REFUSED_DELAY,
            Answer::Lost => LOST_TIMEOUT,
        }
    }

    fn is_running(&self) -> bool {
        matches!(self.answer, Answer::Accepted | Answer::Lost | Answer::Busy)
    }
}
