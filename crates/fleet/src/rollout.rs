//! Rollout of new weights: which targets are ordered to load them, and when.

use std::collections::HashMap;
use std::time::Duration;

use types::{Domain, Model, Target, Time};

use crate::roster::{Member, Record, Roster};

/// The released weight versions and the orders in progress.
///
/// Only the holder of the orders lease acts on it. Few targets load weights at the same time, so
/// that the others can carry the load; see `docs/platform.md`.
#[derive(Debug, Default)]
pub struct Rollout {
    /// The released versions of each model, the newest last.
    named: HashMap<Model, Vec<Release>>,
    ordered: HashMap<Target, Ordered>,
    /// Targets to which a previous holder of the lease may have sent orders, and until when this
    /// one sends them none.
    barred: HashMap<Target, Time>,
    /// Moving average of the time from an order to the new weights.
    pace: Pace,
}

/// Moving average of the duration of orders.
#[derive(Debug, Clone, Copy)]
struct Pace(Duration);

/// Limits on the number of targets that load weights at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The time after the release of a version by which no request may start on older weights.
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
struct Ordered {
    version: u64,
    /// When the order was sent.
    sent: Time,
    /// When the order was sent or answered.
    at: Time,
    answer: Answer,
}

/// Number of versions remembered per model; older ones have been replaced long before.
const REMEMBERED: usize = 16;

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
const ACCEPTED: Duration = Duration::from_secs(8);
/// Minimum duration of an order; the operators' data sheets give 1.9 s for loading weights.
const QUICKEST: Duration = Duration::from_millis(1800);
/// Timeout of an order without an answer.
const LOST: Duration = Duration::from_millis(2500);
/// Delay before an order is sent again after a refusal.
const REFUSED: Duration = Duration::from_millis(1000);
/// Delay before an order is sent again to a target with another order in progress.
const BUSY: Duration = Duration::from_millis(500);
/// One in this many targets loads weights at a time.
const SHARE: usize = 5;
/// Minimum number of targets that load weights at a time, for small pools.
const LEAST: usize = 2;
/// The factor by which the usual number may be exceeded if the deadline would be missed otherwise,
/// as a fraction. Loading takes longer while more targets than usual do so, so that exceeding it
/// gains little.
const MOST: (usize, usize) = (3, 2);
/// The factor if the deadline requires at least that many times the usual number.
const LAST: usize = 2;
/// The expected duration of an order before any has ended. Running requests end first, and the
/// operators' data sheets give 0.8 to 1.9 s for loading weights.
const USUAL: Duration = Duration::from_millis(2000);
/// Weight of the newest order in the moving average.
const SMOOTHING: f64 = 0.2;
/// Part of the deadline reserved for a takeover of the lease, which takes seconds.
const RESERVE: Duration = Duration::from_millis(3000);
impl Default for Pace {
    fn default() -> Self {
        Self(USUAL)
    }
}

impl Pace {
    fn on_done(&mut self, took: Duration) {
        self.0 = self.0.mul_f64(1.0 - SMOOTHING) + took.mul_f64(SMOOTHING);
    }
}

impl Rollout {
    /// Records a released version. Returns whether it is newer than the known ones.
    pub fn release(&mut self, model: &Model, version: u64, now: Time) -> bool {
        let known = self.named.entry(model.clone()).or_default();
        if known.last().is_some_and(|named| version <= named.version) {
            return false;
        }
        if known.len() == REMEMBERED {
            known.remove(0);
        }
        known.push(Release {
            version,
            since: now,
        });
        true
    }

    /// Restores the release time of a version from a stored record. A process that started later
    /// learns only the newest version, but each earlier one sets the deadline of the targets that
    /// missed it. Of two release times, the earlier one counts.
    pub fn restore(&mut self, model: &str, version: u64, since: Time) {
        let found = self.named.iter_mut().find(|(name, _)| &***name == model);
        let Some((_, versions)) = found else {
            return;
        };
        match versions.binary_search_by_key(&version, |named| named.version) {
            Ok(index) => versions[index].since = versions[index].since.min(since),
            Err(index) if index < versions.len() && versions.len() < REMEMBERED => {
                versions.insert(index, Release { version, since });
            }
            // A version newer than all released ones arrives with the operator's list.
            Err(_) => {}
        }
    }

    /// Returns the newest version of a model.
    #[must_use]
    pub fn latest(&self, model: &str) -> Option<Release> {
        let found = self.named.iter().find(|(name, _)| &***name == model);
        found.and_then(|(_, named)| named.last().copied())
    }

    /// Returns whether any target that is not draining serves older weights than the newest
    /// release.
    #[must_use]
    pub fn is_incomplete(&self, roster: &Roster) -> bool {
        roster.iter().any(|entry| self.lag(entry).is_some())
    }

    /// Returns the orders to send now, up to the limit of concurrent orders.
    ///
    /// Load pattern: two releases within seconds while targets leave. All prompts have to be
    /// prefilled again, and with more than a fifth of the targets out the others cannot carry the
    /// load. So while requests are queued, no more targets load weights at a time than the deadline
    /// requires, and these are spread over the failure domains.
    pub fn due(&mut self, roster: &Roster, terms: Limits, now: Time) -> Vec<Order> {
        self.settle(roster, now);
        let mut behind: Vec<(&Record, Order)> = roster
            .iter()
            .filter_map(|entry| self.lag(entry).map(|order| (entry, order)))
            .collect();
        // Targets that have been outdated for longest come first: nothing may start on their
        // weights after the operators' deadline.
        behind.sort_by_cached_key(|(entry, order)| {
            let since = self.outdated_since(&entry.member, &order.model);
            (since, order.target.clone())
        });
        let limit = self.limit(roster, &behind, terms, now);
        let running = self.ordered.values().filter(|order| order.runs()).count();
        let (barred, free): (Vec<_>, Vec<_>) = behind
            .into_iter()
            .filter(|(_, order)| !self.ordered.contains_key(&order.target))
            .partition(|(_, order)| self.is_barred(&order.target, now));
        // Orders of the previous holder are probably still in progress.
        let places = limit.saturating_sub(running + barred.len());
        self.spread(roster, free, places)
    }

    /// Returns how many targets may load weights at a time.
    fn limit(
        &self,
        roster: &Roster,
        behind: &[(&Record, Order)],
        terms: Limits,
        now: Time,
    ) -> usize {
        let pool = roster.iter();
        let pool = pool
            .filter(|entry| !entry.member.weights.is_empty())
            .count();
        // The targets with the earliest deadline have to be done by then, one batch after another.
        let needed = behind
            .iter()
            .enumerate()
            .filter_map(|(index, (entry, order))| {
                let since = self.outdated_since(&entry.member, &order.model)?;
                let left = terms
                    .staleness_bound
                    .checked_sub(now.since(since) + RESERVE);
                let left = left.unwrap_or_default().max(self.pace.0);
                Some(self.pace.0.as_secs_f64() * (index + 1) as f64 / left.as_secs_f64())
            });
        let needed = needed.fold(0.0, f64::max).ceil() as usize;
        let usual = (pool / SHARE).max(LEAST);
        let most = match needed >= usual * LAST {
            true => usual * LAST,
            false => usual * MOST.0 / MOST.1,
        };
        let least = if terms.overloaded { LEAST } else { usual };
        least.max(needed.min(most))
    }

    /// Picks targets from the longest outdated ones on; among equals, those of failure domains with
    /// the fewest orders in progress.
    fn spread(&self, roster: &Roster, free: Vec<(&Record, Order)>, places: usize) -> Vec<Order> {
        let mut changing: HashMap<Domain, usize> = HashMap::new();
        for (target, order) in &self.ordered {
            if let Some(entry) = roster.get(target).filter(|_| order.runs()) {
                *changing.entry(entry.member.domain.clone()).or_default() += 1;
            }
        }
        let mut free = free;
        let mut chosen = Vec::new();
        while chosen.len() < places && !free.is_empty() {
            let oldest =
                |entry: &Record, order: &Order| self.outdated_since(&entry.member, &order.model);
            let key = |(entry, order): &(&Record, Order)| {
                let there = changing.get(&entry.member.domain).copied();
                (oldest(entry, order), there.unwrap_or(0))
            };
            let keys = free
                .iter()
                .enumerate()
                .map(|(index, one)| (key(one), index));
            let Some((_, index)) = keys.min() else {
                break;
            };
            let (entry, order) = free.remove(index);
            *changing.entry(entry.member.domain.clone()).or_default() += 1;
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
        self.barred.extend(targets.map(|target| (target, until)));
    }

    /// Returns the targets that are loading new weights; others should not send them requests.
    pub fn updating(&self) -> impl Iterator<Item = &Target> {
        let running = self.ordered.iter().filter(|(_, order)| order.runs());
        running.map(|(target, _)| target)
    }

    /// Records that an order is sent.
    pub fn on_sent(&mut self, order: &Order, now: Time) {
        let ordered = Ordered {
            version: order.version,
            sent: now,
            at: now,
            answer: Answer::Lost,
        };
        self.ordered.insert(order.target.clone(), ordered);
    }

    /// Records the answer to an order.
    pub fn on_answer(&mut self, target: &Target, answer: Answer, now: Time) {
        if let Some(ordered) = self.ordered.get_mut(target) {
            ordered.answer = answer;
            ordered.at = now;
        }
    }

    /// Returns the targets that may have finished an order by now and should be queried. When a
    /// previous holder sent its orders is unknown, so blocked targets are included.
    #[must_use]
    pub fn unfinished(&self, now: Time) -> Vec<Target> {
        let ordered = self.ordered.iter().filter(|(_, ordered)| {
            ordered.answer == Answer::Accepted && now.since(ordered.at) >= QUICKEST
        });
        let barred = self.barred.keys();
        let barred = barred.filter(|target| self.is_barred(target, now));
        ordered
            .map(|(target, _)| target)
            .chain(barred)
            .cloned()
            .collect()
    }

    /// Drops all orders after the lease is lost.
    pub fn clear(&mut self) {
        self.ordered.clear();
        self.barred.clear();
    }

    fn is_barred(&self, target: &Target, now: Time) -> bool {
        self.barred.get(target).is_some_and(|&until| now < until)
    }

    /// Drops orders that are done or have to be sent again.
    fn settle(&mut self, roster: &Roster, now: Time) {
        let pace = &mut self.pace;
        self.ordered.retain(|target, ordered| {
            let Some(entry) = roster.get(target) else {
                return false;
            };
            let done = entry
                .member
                .weights
                .iter()
                .any(|(_, version)| *version >= ordered.version);
            if done && ordered.answer == Answer::Accepted {
                pace.on_done(now.since(ordered.sent));
            }
            !done && now.since(ordered.at) < ordered.patience()
        });
    }

    /// Returns when the first version newer than that of the target was released.
    #[must_use]
    pub fn outdated_since(&self, member: &Member, model: &Model) -> Option<Time> {
        let serves = member.version(model)?;
        let newer = self.named.get(model)?;
        let first = newer.iter().find(|named| named.version > serves);
        first.map(|named| named.since)
    }

    fn lag(&self, entry: &Record) -> Option<Order> {
        let member = &entry.member;
        if member.draining {
            return None;
        }
        let lagging = member.weights.iter().find_map(|(model, version)| {
            let named = self.named.get(model)?.last()?;
            (*version < named.version).then(|| (model.clone(), named.version))
        });
        lagging.map(|(model, version)| Order {
            target: member.id.clone(),
            model,
            version,
        })
    }
}

impl Ordered {
    fn patience(&self) -> Duration {
        match self.answer {
            Answer::Accepted | Answer::Holds => ACCEPTED,
            Answer::Busy => BUSY,
            Answer::Refused => REFUSED,
            Answer::Lost => LOST,
        }
    }

    fn runs(&self) -> bool {
        matches!(self.answer, Answer::Accepted | Answer::Lost | Answer::Busy)
    }
}
