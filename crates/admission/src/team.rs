use std::collections::HashMap;
use std::time::Duration;

use types::{Team, Time};

/// What a team may send in a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate {
    /// Requests a second.
    pub per_second: u32,
    /// Requests that may come at once above the rate.
    pub burst: u32,
}

/// Grants the rates of the teams that this entry coordinates.
///
/// It is soft state: a new coordinator starts with full buckets, so a change of coordinator lets
/// one burst more through.
#[derive(Debug, Default)]
pub struct Coordinator {
    buckets: HashMap<Team, Bucket>,
}

/// Counts the requests of each team at one entry against what its coordinator granted.
#[derive(Debug, Default)]
pub struct Limiter {
    teams: HashMap<Team, Account>,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Throttle {
    /// Let it through.
    Admit,
    /// Ask the coordinator for this many and hold the request until [`Limiter::on_grant`].
    Refill(u32),
    /// Hold it: the coordinator has been asked.
    Wait,
    /// The team is above its rate; worth another try after this time.
    Refuse(Duration),
}

#[derive(Debug)]
struct Account {
    granted: u32,
    granted_at: Time,
    asked: Option<Time>,
    empty_until: Time,
    share: Bucket,
}

/// A token bucket that fills with time.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    at: Time,
}

/// How long a coordinator may be silent before an entry falls back to its share.
const SILENT: Duration = Duration::from_millis(300);
/// How long a grant may be used; it bounds what a later burst can add.
const KEEP: Duration = Duration::from_secs(1);
/// How long an entry refuses after an empty grant, so that an abusive team does not turn every
/// request into a message to the coordinator.
const EMPTY: Duration = Duration::from_millis(100);
/// The share of a second that one grant covers; the messages of a busy team are bounded by it.
const BATCH: f64 = 0.1;

impl Rate {
    /// Returns the share of one of several entries, at least one request a second.
    #[must_use]
    pub fn share(self, entries: usize) -> Self {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        Self {
            per_second: (self.per_second / entries).max(1),
            burst: (self.burst / entries).max(1),
        }
    }

    fn batch(self) -> u32 {
        ((f64::from(self.per_second) * BATCH) as u32).max(1)
    }
}

impl Bucket {
    fn full(rate: Rate, now: Time) -> Self {
        Self {
            tokens: f64::from(rate.burst),
            at: now,
        }
    }

    fn take(&mut self, rate: Rate, wanted: u32, now: Time) -> u32 {
        let filled = now.since(self.at).as_secs_f64() * f64::from(rate.per_second);
        self.tokens = (self.tokens + filled).min(f64::from(rate.burst));
        self.at = self.at.max(now);
        let taken = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(taken);
        taken
    }
}

impl Coordinator {
    /// Grants up to `wanted` requests of a team.
    pub fn grant(&mut self, team: &Team, rate: Rate, wanted: u32, now: Time) -> u32 {
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| Bucket::full(rate, now));
        bucket.take(rate, wanted, now)
    }
}

impl Limiter {
    /// Counts a request of a team whose coordinator is asked for grants.
    pub fn acquire(&mut self, team: &Team, rate: Rate, entries: usize, now: Time) -> Throttle {
        let account = self.account(team, rate.share(entries), now);
        if now.since(account.granted_at) > KEEP {
            account.granted = 0;
        }
        if account.granted > 0 {
            account.granted -= 1;
            return Throttle::Admit;
        }
        match account.asked {
            Some(asked) if now.since(asked) > SILENT => {
                let decision = self.acquire_share(team, rate, entries, now);
                // The coordinator is asked again from time to time.
                if now.since(asked) > KEEP
                    && let Some(account) = self.teams.get_mut(team)
                {
                    account.asked = None;
                }
                decision
            }
            Some(_) => Throttle::Wait,
            None if account.empty_until > now => Throttle::Refuse(account.empty_until.since(now)),
            None => {
                account.asked = Some(now);
                Throttle::Refill(rate.batch())
            }
        }
    }

    /// Counts a request against this entry's share, without a coordinator.
    pub fn acquire_share(
        &mut self,
        team: &Team,
        rate: Rate,
        entries: usize,
        now: Time,
    ) -> Throttle {
        let share = rate.share(entries);
        match self.account(team, share, now).share.take(share, 1, now) {
            0 => Throttle::Refuse(Duration::from_secs(1) / share.per_second),
            _ => Throttle::Admit,
        }
    }

    /// Records what the coordinator granted.
    pub fn on_grant(&mut self, team: &Team, granted: u32, now: Time) {
        let Some(account) = self.teams.get_mut(team) else {
            return;
        };
        // A grant that nobody waits for any more is not used, so that none is used twice.
        if account.asked.take().is_none() {
            return;
        }
        account.granted = granted;
        account.granted_at = now;
        if granted == 0 {
            account.empty_until = now + EMPTY;
        }
    }

    fn account(&mut self, team: &Team, share: Rate, now: Time) -> &mut Account {
        self.teams.entry(team.clone()).or_insert_with(|| Account {
            granted: 0,
            granted_at: now,
            asked: None,
            empty_until: Time::default(),
            share: Bucket::full(share, now),
        })
    }
}
