use std::sync::{Mutex, PoisonError};

use admission::{Limiter, Rate, Throttle};
use types::Team;

use super::Shared;
use super::api::Refusal;

/// The requests of each team at this entry.
#[derive(Debug, Default)]
pub(super) struct Limits(Mutex<Limiter>);

/// Counts a request of a team; above the team's rate it is refused as not run.
///
/// Each entry enforces its own share of the rate, which is what section 5.5 of `docs/design.md`
/// falls back to while a team's coordinator is silent.
pub(super) fn check(shared: &Shared, team: &Team) -> Result<(), Refusal> {
    let rules = shared.view.rules();
    let Some(account) = rules.teams.get(team) else {
        return Ok(());
    };
    let rate = Rate {
        per_second: account.rate,
        burst: account.burst,
    };
    let entries = shared.routes.entries();
    let mut meter = shared
        .limits
        .0
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let Throttle::Refuse(wait) = meter.acquire_share(team, rate, entries, crate::now()) else {
        return Ok(());
    };
    let mut refusal = Refusal::caller(429, "rate_limited", "the team is above its rate");
    refusal.retry_after_ms = u32::try_from(wait.as_millis()).ok();
    Err(refusal)
}
