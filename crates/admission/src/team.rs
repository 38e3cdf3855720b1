use std::collections::HashMap;
use std::time::Duration;

use types::{Team, Time};

/// The rate limit of a team in a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate {
    /// The sustained rate, in requests per second.
    pub per_second: u32,
    /// The burst size, in requests.
    pub burst: u32,
}

/// Grants tokens from the rate limits of the teams that this entry coordinates.
///
/// The state is not persisted: a new coordinator starts with full buckets, so a change of the
/// coordinator admits one additional burst.
#[derive(Debug, Default)]
pub struct Coordinator {
    buckets: HashMap<Team, Bucket>,
}

/// Limits the requests of each team at one entry to the tokens granted by the team's coordinator.
#[derive(Debug, Default)]
pub struct Limiter {
    teams: HashMap<Team, Account>,
}

/// The decision of the limiter for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Throttle {
    /// Admit the request.
    Admit,
    /// Request this many tokens from the coordinator, and hold the request until
    /// [`Limiter::on_grant`].
    Refill(u32),
    /// Hold the request: tokens have already been requested from the coordinator.
    Wait,
    /// Refuse the request: the team is above its rate. A retry is worthwhile after this time.
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

/// A token bucket that refills over time.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    at: Time,
}

/// Time without a response from the coordinator after which an entry falls back to its own share.
const SILENT: Duration = Duration::from_millis(300);
/// Time for which granted tokens remain valid; it bounds how much a later burst can add. Also the
/// time after which an unresponsive coordinator is asked again.
const KEEP: Duration = Duration::from_secs(1);
/// Time for which an entry refuses requests after an empty grant, so that an abusive team does not
/// turn every request into a message to the coordinator.
const EMPTY: Duration = Duration::from_millis(100);
/// Fraction of a second that one grant covers; it bounds the message rate of a busy team.
const BATCH: f64 = 0.1;

impl Rate {
    /// Returns the rate limit of one of several entries, at least one request per second.
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
    /// Grants up to `wanted` tokens to a team; returns the number granted.
    pub fn grant(&mut self, team: &Team, rate: Rate, wanted: u32, now: Time) -> u32 {
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| Bucket::full(rate, now));
        bucket.take(rate, wanted, now)
    }
}

impl Limiter {
    /// Counts a request against the tokens granted by the coordinator.
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
                // The next request asks the coordinator again.
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

    /// Counts a request against this entry's own share, without a coordinator.
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

    /// Records a grant of the coordinator.
    pub fn on_grant(&mut self, team: &Team, granted: u32, now: Time) {
        let Some(account) = self.teams.get_mut(team) else {
            return;
        };
        // A grant that is not awaited is dropped, so that a duplicate is not used twice.
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
