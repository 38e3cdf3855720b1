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
    teams: HashMap<Team, TeamState>,
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
struct TeamState {
    granted: u32,
    granted_at: Time,
    requested_at: Option<Time>,
    refused_until: Time,
    share: Bucket,
}

/// A token bucket that refills over time.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Time,
}

/// Time without a response from the coordinator after which an entry falls back to its own share.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which granted tokens remain valid; it bounds how much a later burst can add. Also the
/// time after which an unresponsive coordinator is asked again.
const GRANT_TTL: Duration = Duration::from_secs(1);
/// Time for which an entry refuses requests after an empty grant, so that an abusive team does not
/// turn every request into a message to the coordinator.
const EMPTY_GRANT_PAUSE: Duration = Duration::from_millis(100);
/// Fraction of a second that one grant covers; it bounds the message rate of a busy team.
const GRANT_PERIOD_S: f64 = 0.1;

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

    fn grant_size(self) -> u32 {
        ((f64::from(self.per_second) * GRANT_PERIOD_S) as u32).max(1)
    }
}

impl Bucket {
    fn full(rate: Rate, now: Time) -> Self {
        Self {
            tokens: f64::from(rate.burst),
            refilled_at: now,
        }
    }

    fn take(&mut self, rate: Rate, requested: u32, now: Time) -> u32 {
        let refill = now.since(self.refilled_at).as_secs_f64() * f64::from(rate.per_second);
        self.tokens = (self.tokens + refill).min(f64::from(rate.burst));
        self.refilled_at = self.refilled_at.max(now);
        let taken = requested.min(self.tokens as u32);
        self.tokens -= f64::from(taken);
        taken
    }
}

impl Coordinator {
    /// Grants up to `requested` tokens to a team; returns the number granted.
    pub fn grant(&mut self, team: &Team, rate: Rate, requested: u32, now: Time) -> u32 {
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| Bucket::full(rate, now));
        bucket.take(rate, requested, now)
    }
}

impl Limiter {
    /// Counts a request against the tokens granted by the coordinator.
    pub fn acquire(&mut self, team: &Team, rate: Rate, entries: usize, now: Time) -> Throttle {
        let state = self.state(team, rate.share(entries), now);
        if now.since(state.granted_at) > GRANT_TTL {
            state.granted = 0;
        }
        if state.granted > 0 {
            state.granted -= 1;
            return Throttle::Admit;
        }
        match state.requested_at {
            Some(requested_at) if now.since(requested_at) > COORDINATOR_TIMEOUT => {
                let decision = self.acquire_share(team, rate, entries, now);
                // The next request asks the coordinator again.
                if now.since(requested_at) > GRANT_TTL
                    && let Some(state) = self.teams.get_mut(team)
                {
                    state.requested_at = None;
                }
                decision
            }
            Some(_) => Throttle::Wait,
            None if state.refused_until > now => Throttle::Refuse(state.refused_until.since(now)),
            None => {
                state.requested_at = Some(now);
                Throttle::Refill(rate.grant_size())
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
        match self.state(team, share, now).share.take(share, 1, now) {
            0 => Throttle::Refuse(Duration::from_secs(1) / share.per_second),
            _ => Throttle::Admit,
        }
    }

    /// Records a grant of the coordinator.
    pub fn on_grant(&mut self, team: &Team, granted: u32, now: Time) {
        let Some(state) = self.teams.get_mut(team) else {
            return;
        };
        // A grant that is not awaited is dropped, so that a duplicate is not used twice.
        if state.requested_at.take().is_none() {
            return;
        }
        state.granted = granted;
        state.granted_at = now;
        if granted == 0 {
            state.refused_until = now + EMPTY_GRANT_PAUSE;
        }
    }

    fn state(&mut self, team: &Team, share: Rate, now: Time) -> &mut TeamState {
        self.teams.entry(team.clone()).or_insert_with(|| TeamState {
            granted: 0,
            granted_at: now,
            requested_at: None,
            refused_until: Time::default(),
            share: Bucket::full(share, now),
        })
    }
}
