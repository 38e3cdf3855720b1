use std::sync::{Mutex, PoisonError};

use admission::{Limiter, Rate, Throttle};
use types::Team;

use super::Shared;
use super::api::Refusal;

/// The rate limits of the teams at this entry.
#[derive(Debug, Default)]
pub(super) struct Limits(Mutex<Limiter>);

/// Counts a request of a team; a request above the team's rate is refused as not run.
///
/// Each entry enforces its own share of the rate, which is what section 5.5 of `docs/design.md`
/// falls back to while a team's coordinator is unresponsive.
pub(super) fn check(shared: &Shared, team: &Team) -> Result<(), Refusal> {
    let rules = shared.view.rules();
    let Some(team_rules) = rules.teams.get(team) else {
        return Ok(());
    };
    let rate = Rate {
        per_second: team_rules.rate,
        burst: team_rules.burst,
    };
    let entries = shared.routes.entries();
    let mut limiter = shared
        .limits
        .0
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let Throttle::Refuse(retry_after) = limiter.acquire_share(team, rate, entries, crate::now())
    else {
        return Ok(());
    };
    let mut refusal = Refusal::caller(429, "rate_limited", "the team is above its rate");
    refusal.retry_after_ms = u32::try_from(retry_after.as_millis()).ok();
    Err(refusal)
}
