//! Keeps requests away from targets whose weights were replaced too long ago, and withdraws those
//! that wait there.

use std::time::Duration;

use fleet::expiry::Expiry;
use fleet::roster::Member;
use types::{Model, Time};

use crate::attempt::{Admitted, Choice};
use crate::clock::now;
use crate::shared::Shared;

/// How often a request that waits at its target checks for a release. An earlier release time that
/// is learned meanwhile must be noticed within the margin of the withdrawal.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a request that is to be withdrawn waits for a response that has arrived already: if the
/// entry was suspended, it has not been read yet.
const READ_DELAY: Duration = Duration::from_millis(20);

/// Returns the version that a target must have to run a request. If its row does not tell which one
/// it serves, that is the newest release, since it may serve any older one.
pub(crate) fn expected_version<Adapter>(
    shared: &Shared<Adapter>,
    model: &Model,
    member: &Member,
) -> Option<u64> {
    let newest = || {
        let rollout = shared.rollout.borrow();
        rollout.latest(model).map(|release| release.version)
    };
    member.version(model).or_else(newest)
}

/// Whether a target serves older weights than the newest release.
pub(crate) fn is_outdated<Adapter>(
    shared: &Shared<Adapter>,
    model: Option<&Model>,
    member: &Member,
) -> bool {
    let Some(model) = model else {
        return false;
    };
    let released = shared.rollout.borrow().latest(model);
    let served = member.version(model);
    matches!((released, served), (Some(released), Some(served)) if served < released.version)
}

/// Whether new requests must not be sent to a target, because its weights expire before they could
/// begin there. Their results could no longer be used.
pub(crate) fn is_expired<Adapter>(
    shared: &Shared<Adapter>,
    model: Option<&Model>,
    member: &Member,
    time: Time,
) -> bool {
    expiry(shared, model, member).is_some_and(|expiry| !expiry.allows_sending(time))
}

/// Waits until a request that has not begun at its target must be withdrawn from it. The weights may
/// be replaced after the request was sent.
pub(crate) async fn until_expired<Adapter>(
    shared: &Shared<Adapter>,
    admitted: &Admitted,
    choice: &Choice,
) {
    if admitted.head.prompt.is_none() || shared.settings.bounds.weights_ms.is_none() {
        return std::future::pending().await;
    }
    loop {
        let expiry = expiry_of(shared, admitted, choice);
        let wait = expiry.map(|expiry| expiry.remaining_wait(now()));
        if wait == Some(Duration::ZERO) {
            tokio::time::sleep(READ_DELAY).await;
            return;
        }
        let wait = wait.unwrap_or(CHECK_INTERVAL).min(CHECK_INTERVAL);
        tokio::time::sleep(wait).await;
    }
}

/// Returns for how long the weights of a chosen target have been outdated.
pub(crate) fn outdated_for<Adapter>(
    shared: &Shared<Adapter>,
    admitted: &Admitted,
    choice: &Choice,
) -> Option<Duration> {
    let model = &admitted.head.prompt.as_ref()?.model;
    let rollout = shared.rollout.borrow();
    let since = rollout.outdated_since(&choice.member, model)?;
    Some(now().since(since))
}

/// Counts a response whose first event came after the weights of its target had expired.
pub(crate) fn on_begun<Adapter>(shared: &Shared<Adapter>, admitted: &Admitted, choice: &Choice) {
    let expiry = expiry_of(shared, admitted, choice);
    if expiry.is_some_and(|expiry| expiry.is_past(now())) {
        shared.metrics.expired_starts.inc();
    }
}

fn expiry_of<Adapter>(
    shared: &Shared<Adapter>,
    admitted: &Admitted,
    choice: &Choice,
) -> Option<Expiry> {
    let prompt = admitted.head.prompt.as_ref();
    expiry(shared, prompt.map(|prompt| &prompt.model), &choice.member)
}

fn expiry<Adapter>(
    shared: &Shared<Adapter>,
    model: Option<&Model>,
    member: &Member,
) -> Option<Expiry> {
    let limit = shared.settings.weights_limit();
    let rollout = shared.rollout.borrow();
    rollout.expiry(member, model?, limit)
}
