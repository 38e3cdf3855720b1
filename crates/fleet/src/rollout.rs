//! Which targets are told to take new weights, and when.

use std::collections::HashMap;
use std::time::Duration;

use types::{Domain, Model, Target, Time};

use crate::roster::{Member, Record, Roster};

/// The weight versions that the operator named, and the orders that are under way.
///
/// Only the holder of the lease on orders acts on it. Few targets change at the same time, so that
/// the others carry the load; see `docs/platform.md`.
#[derive(Debug, Default)]
pub struct Rollout {
    /// The versions of each model, the newest last.
    named: HashMap<Model, Vec<Release>>,
    ordered: HashMap<Target, Ordered>,
    /// Targets that a former holder of the lease may have given orders, and until when they get none
    /// of this one.
    barred: HashMap<Target, Time>,
    /// How long targets took lately for an order, from when it was sent to the new weights.
    pace: Pace,
}

/// How long targets take for an order, averaged.
#[derive(Debug, Clone, Copy)]
struct Pace(Duration);

/// What limits the number of targets that change at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The time after which nothing may begin on older weights.
    pub staleness_bound: Duration,
    /// Whether requests wait for targets in many cells.
    pub overloaded: bool,
}

/// A version with the time at which this process learned of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Release {
    /// The version.
    pub version: u64,
    /// When it was learned.
    pub since: Time,
}

#[derive(Debug, Clone, Copy)]
struct Ordered {
    version: u64,
    /// When it was sent.
    sent: Time,
    /// When it was sent or answered.
    at: Time,
    answer: Answer,
}

/// Versions of a model that are remembered; older ones are replaced long before.
const REMEMBERED: usize = 16;

/// What a target answered to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The order is being carried out.
    Accepted,
    /// The target has these weights already.
    Holds,
    /// Another order is under way there.
    Busy,
    /// The target does not know the order, or it is another target.
    Refused,
    /// There was no answer; the order may still be carried out.
    Lost,
}

/// An order for one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The target.
    pub target: Target,
    /// The model.
    pub model: Model,
    /// The version that it is to serve.
    pub version: u64,
}

/// How long an accepted order may take before it is given again; runs end first, and new weights
/// take some seconds.
const ACCEPTED: Duration = Duration::from_secs(8);
/// The least time that an order takes; the operators' sheets name 1.9 s for new weights.
const QUICKEST: Duration = Duration::from_millis(1800);
/// How long a lost order is waited for.
const LOST: Duration = Duration::from_millis(2500);
/// How long after a refusal an order is given again.
const REFUSED: Duration = Duration::from_millis(1000);
/// How long after a report that another order is under way an order is given again.
const BUSY: Duration = Duration::from_millis(500);
/// One in this many targets changes at a time.
const SHARE: usize = 5;
/// This many change at a time in a small pool.
const LEAST: usize = 2;
/// How many times the usual number may change at a time where the bound would pass otherwise. Targets
/// take longer to load weights while more than the usual number do so, so that little is gained.
const MOST: (usize, usize) = (3, 2);
/// The same where the bound needs more than twice the usual number.
const LAST: usize = 2;
/// How long an order takes where none has ended yet: runs end first, and the operators' sheets name
/// 0.8 to 1.9 s for new weights.
const USUAL: Duration = Duration::from_millis(2000);
/// The weight of the newest order in the average.
const SMOOTHING: f64 = 0.2;
/// What is left of the bound for a takeover of the lease, which takes seconds.
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
    /// Records that a version was named; says whether it is newer than what was known.
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

    /// Takes over from a record when a version was named, for a process that started later: it learns
    /// the newest version only, and each earlier one bounds the time of the targets that missed it.
    /// Of two times, the earlier one counts.
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
            // A version that is newer than all that were named comes by the operator's list.
            Err(_) => {}
        }
    }

    /// Returns the newest version of a model.
    #[must_use]
    pub fn latest(&self, model: &str) -> Option<Release> {
        let found = self.named.iter().find(|(name, _)| &***name == model);
        found.and_then(|(_, named)| named.last().copied())
    }

    /// Says whether a target that stays serves older weights than were named.
    #[must_use]
    pub fn is_incomplete(&self, roster: &Roster) -> bool {
        roster.iter().any(|entry| self.lag(entry).is_some())
    }

    /// Returns the orders to give now, at most as many as may be under way together.
    ///
    /// Load pattern: two versions within seconds while targets leave. All prompts are read again, and
    /// with more than a fifth of the targets out the others cannot carry them. So no more change at a
    /// time than the bound requires, as long as requests wait; and the targets that change are spread
    /// over the failure domains.
    pub fn due(&mut self, roster: &Roster, terms: Limits, now: Time) -> Vec<Order> {
        self.settle(roster, now);
        let mut behind: Vec<(&Record, Order)> = roster
            .iter()
            .filter_map(|entry| self.lag(entry).map(|order| (entry, order)))
            .collect();
        // Those that have been out of date for longest come first: nothing may begin on their
        // weights once the operators' bound has passed.
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
        // What the former holder ordered is most likely under way.
        let places = limit.saturating_sub(running + barred.len());
        self.spread(roster, free, places)
    }

    /// Returns how many targets may change at a time.
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
        // The targets with the earliest bound have to be done by then, one batch after another.
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

    /// Takes some of the targets in turn, those of failure domains with few changing ones first.
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

    /// Keeps orders from targets that a former holder of the lease may have given some: orders of two
    /// holders to one target have to be some time apart.
    pub fn block<Targets>(&mut self, targets: Targets, until: Time)
    where
        Targets: IntoIterator<Item = Target>,
    {
        let targets = targets.into_iter();
        self.barred.extend(targets.map(|target| (target, until)));
    }

    /// Returns the targets that take new weights now; others should not send them requests.
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

    /// Returns the targets that may have finished an order by now, for a look at their state; when a
    /// former holder gave its orders is not known.
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

    /// Forgets the orders, as the lease is lost.
    pub fn clear(&mut self) {
        self.ordered.clear();
        self.barred.clear();
    }

    fn is_barred(&self, target: &Target, now: Time) -> bool {
        self.barred.get(target).is_some_and(|&until| now < until)
    }

    /// Drops orders that are done or have to be given again.
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

    /// Returns when the first version was named that is newer than that of the target.
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
