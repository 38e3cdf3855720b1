//! Keeps requests away from targets whose weights were replaced too long ago.

use std::time::Duration;

use fleet::roster::Member;
use types::{Model, Time};

use crate::attempt::{Admitted, Choice};
use crate::clock::now;
use crate::shared::Shared;

/// How long before outdated weights expire new requests are no longer sent: a request may still
/// wait that long at its target.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1500);

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

/// Whether new requests must not start on a target's weights, because a newer version was released
/// too long ago. The result of such a request could no longer be used.
pub(crate) fn is_expired<Adapter>(
    shared: &Shared<Adapter>,
    model: Option<&Model>,
    member: &Member,
    time: Time,
) -> bool {
    let expiry = expires_at(shared, model, member);
    expiry.is_some_and(|expiry| time + EXPIRY_MARGIN >= expiry)
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

/// Counts a response that began on weights which had expired.
pub(crate) fn on_begun<Adapter>(shared: &Shared<Adapter>, admitted: &Admitted, choice: &Choice) {
    let outdated_for = outdated_for(shared, admitted, choice);
    if outdated_for.is_some_and(|age| age >= shared.settings.weights_limit()) {
        shared.metrics.expired_starts.inc();
    }
}

/// Returns when requests must no longer begin on a target's weights.
fn expires_at<Adapter>(
    shared: &Shared<Adapter>,
    model: Option<&Model>,
    member: &Member,
) -> Option<Time> {
    let limit = shared.settings.weights_limit();
    let rollout = shared.rollout.borrow();
    rollout.expires_at(member, model?, limit)
}
