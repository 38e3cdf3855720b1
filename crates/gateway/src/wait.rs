//! Waits for data of a target, and decides when the wait is over.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fleet::roster::Member;
use types::{Target, Time};

use crate::adapter::Platform;
use crate::attempt::Admitted;
use crate::clock::now;
use crate::logging::Event;
use crate::retry::{self, Progress};
use crate::shared::Shared;

/// How often a request that waits for a response checks whether its target is still responsive.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How much longer than the callers of a stream an entry waits for an unresponsive target. The
/// caller's wait for the next event begins later than that of the entry.
const STALL_SLACK: Duration = Duration::from_secs(1);

/// Waits for a response, or the next events of one, until the caller's timeout or, if the request
/// can be retried, until another target takes it over from an unresponsive one.
///
/// A slow but responsive target is not abandoned, because its prefill work would be lost. Nor is an
/// unresponsive one as long as no other target takes the request: it may have been suspended and go
/// on.
pub(crate) async fn await_target<Adapter, Operation>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    progress: &mut Progress<Adapter>,
    target: &Target,
    last_event: Option<u64>,
    operation: Operation,
) -> Result<Operation::Output, String>
where
    Adapter: Platform,
    Operation: Future,
{
    let watch = Watch::start(shared, admitted, target);
    let mut operation = pin!(async {
        let output = operation.await;
        shared.tracker.borrow_mut().on_heard(target, now());
        output
    });
    loop {
        tokio::select! {
            biased;
            output = operation.as_mut() => return Ok(output),
            silent = watch.until(Silence::Unresponsive) => silent?,
        }
        if !admitted.route.is_retryable() {
            continue;
        }
        tokio::select! {
            biased;
            output = operation.as_mut() => return Ok(output),
            placed = retry::take_over(shared, admitted, progress, target, last_event) => {
                if placed {
                    return Err("the target is unresponsive".to_owned());
                }
            }
            heard = watch.until(Silence::Heard) => heard?,
        }
    }
}

/// Watches the target of a request that waits for its data.
struct Watch<'wait, Adapter> {
    shared: &'wait Rc<Shared<Adapter>>,
    target: &'wait Target,
    started: Time,
    /// The time until the caller's timeout.
    timeout: Duration,
    /// The limit for a target that responds to nothing.
    stall_timeout: Duration,
}

/// Whether a target has sent nothing for too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Silence {
    Heard,
    Unresponsive,
}

impl<'wait, Adapter> Watch<'wait, Adapter>
where
    Adapter: Platform,
{
    fn start(
        shared: &'wait Rc<Shared<Adapter>>,
        admitted: &Admitted,
        target: &'wait Target,
    ) -> Self {
        let started = now();
        let timeout = admitted.remaining(shared, started);
        let stall_timeout = admitted.stall_timeout().saturating_add(STALL_SLACK);
        Self {
            shared,
            target,
            started,
            timeout,
            stall_timeout: stall_timeout.min(timeout),
        }
    }

    /// Waits until the target is in a state, and probes it meanwhile.
    ///
    /// # Errors
    /// Fails with the cause when the caller waits no longer.
    async fn until(&self, state: Silence) -> Result<(), String> {
        loop {
            let remaining = self.timeout.saturating_sub(now().since(self.started));
            let pause = match remaining {
                Duration::ZERO => POLL_INTERVAL,
                remaining => remaining.min(POLL_INTERVAL),
            };
            tokio::time::sleep(pause).await;
            let time = now();
            let (unresponsive, should_probe, stalled) = {
                let mut tracker = self.shared.tracker.borrow_mut();
                tracker.on_tick(time);
                let stalled = time.since(tracker.awake_since()) < POLL_INTERVAL;
                (
                    tracker.is_unresponsive(self.target, time),
                    tracker.should_probe(self.target, time),
                    stalled,
                )
            };
            let limit = match unresponsive {
                true => self.stall_timeout,
                false => self.timeout,
            };
            // If the entry itself was suspended, data that arrived meanwhile has not been read yet.
            if time.since(self.started) >= limit && !stalled {
                return Err(format!("the target sent nothing within {limit:?}"));
            }
            if should_probe {
                tokio::task::spawn_local(probe(Rc::clone(self.shared), self.target.clone()));
            }
            let reached = match state {
                Silence::Unresponsive => unresponsive,
                Silence::Heard => !unresponsive,
            };
            if reached {
                return Ok(());
            }
        }
    }
}

/// Probes a target that has sent nothing for a while. A target that responds is only slow, so its
/// request continues.
async fn probe<Adapter>(shared: Rc<Shared<Adapter>>, target: Target)
where
    Adapter: Platform,
{
    let engine = {
        let (roster, catalog) = (shared.roster.borrow(), shared.catalog());
        let member = roster.get(&target).map(|record| Arc::clone(&record.member));
        let pool = |member: &Member| catalog?.pool(&member.service).cloned();
        member.filter(|member| pool(member).is_some_and(|pool| pool.engine.is_some()))
    };
    // Plain services respond within tens of milliseconds and have no status call.
    let Some(member) = engine else {
        return;
    };
    let responsive = shared.adapter.status(member.address).await.is_some();
    if responsive {
        shared.tracker.borrow_mut().on_heard(&target, now());
    }
    Event::new("target_asked")
        .with("target", &*target)
        .with("answers", responsive)
        .info();
}
