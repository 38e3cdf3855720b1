//! Passes the budgets of cold targets what they need; [`fleet::cold`] decides.

use fleet::catalog::Pool;
use fleet::cold;
use fleet::dispatcher::{Id, Request};
use fleet::roster::Record;
use types::{Target, Time};

use crate::clock::now;
use crate::shared::Shared;

/// The number of requests per second that a cold target tolerates from all entries together.
fn limit<Adapter>(shared: &Shared<Adapter>, pool: &Pool) -> f64 {
    let bounds = &shared.settings.bounds;
    pool.cold_rate * bounds.cold_factor + bounds.cold_slack
}

/// Whether this entry may send a request to a cold target within its fixed share.
pub(crate) fn may_send<Adapter>(
    shared: &Shared<Adapter>,
    pool: &Pool,
    record: &Record,
    time: Time,
) -> bool {
    let limit = limit(shared, pool);
    let entries = shared.entry_count.get();
    shared.may_use_quota(time)
        && shared.cold.borrow_mut().trusts_count(limit, entries, time)
        && shared
            .ramp
            .borrow_mut()
            .allows(&record.member.id, limit, entries, time)
}

/// Whether this entry, as a dispatcher, may grant a request a cold target.
pub(crate) fn may_grant<Adapter>(
    shared: &Shared<Adapter>,
    pool: &Pool,
    request: &Request,
    record: &Record,
    time: Time,
) -> bool {
    match share(shared, pool, record, time) {
        0 => may_send(shared, pool, record, time),
        share => {
            let mut ledger = shared.cold.borrow_mut();
            ledger.offer(&record.member.id, &request.id, share, time)
        }
    }
}

/// Returns how many requests to a cold target this entry may grant in a window.
fn share<Adapter>(shared: &Shared<Adapter>, pool: &Pool, record: &Record, time: Time) -> usize {
    let turned_cold = record.turned_cold;
    if turned_cold.is_some_and(|turned_cold| time.since(turned_cold) < cold::WINDOW) {
        return 0;
    }
    let member = &record.member;
    shared
        .cold
        .borrow_mut()
        .share(&member.service, &member.domain, limit(shared, pool), time)
}

/// Records a grant of this entry as a dispatcher.
pub(crate) fn on_granted<Adapter>(shared: &Shared<Adapter>, id: &Id, target: &Target) {
    let time = now();
    let roster = shared.roster.borrow();
    let catalog = shared.catalog();
    let within_budget = roster.get(target).is_some_and(|record| {
        let pool = catalog.as_ref();
        let pool = pool.and_then(|catalog| catalog.pool(&record.member.service));
        pool.is_some_and(|pool| {
            is_cold(pool, record, time) && share(shared, pool, record, time) > 0
        })
    });
    if within_budget {
        shared.metrics.on_cold_grant("granted");
    }
    let mut ledger = shared.cold.borrow_mut();
    ledger.on_granted(target, id, within_budget, time);
}

/// Whether a target tolerates only few requests now.
pub(crate) fn is_cold(pool: &Pool, record: &Record, time: Time) -> bool {
    pool.cold_rate > 0.0 && record.cold_until > time
}
