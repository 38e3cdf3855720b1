//! Finds out which failure domains this entry reaches.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fleet::reachability::Finding;
use fleet::roster::Member;
use tokio::net::TcpStream;
use types::{Domain, Target};

use crate::adapter::Platform;
use crate::clock::now;
use crate::connection::{CONNECT_TIMEOUT, Connection, Error, Permit, open};
use crate::logging::Event;
use crate::serve::millis;
use crate::shared::Shared;

/// How often a failure domain out of reach is tried; no request is used for it.
const PROBE: Duration = Duration::from_millis(250);

/// Opens a connection to a target and records what that says of its failure domain.
pub(crate) async fn connect<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    member: &Member,
    slot: Permit,
) -> Result<Connection, Error>
where
    Adapter: 'static,
{
    let opened = open(member.address, slot).await;
    match &opened {
        Ok(_) | Err(Error::Failed(_)) => on_reached(shared, &member.domain),
        Err(Error::Timeout(_)) => {
            // Whether the target is dead or its failure domain is cut off, another target shows; no
            // further request is needed to find out.
            if on_silent(shared, member) == Finding::Inconclusive
                && let Some(other) = some_target(shared, &member.domain, Some(&member.id))
            {
                tokio::task::spawn_local(try_one(Rc::clone(shared), other));
            }
        }
        Err(Error::Exhausted(_)) => {}
    }
    opened
}

/// Records that something in a failure domain was reached.
pub(crate) fn on_reached<Adapter>(shared: &Shared<Adapter>, domain: &Domain) {
    let cut = shared.reachability.borrow_mut().on_reached(domain, now());
    if let Some(cut) = cut {
        Event::new("domain_reached")
            .with("domain", &**domain)
            .with("after_ms", millis(cut))
            .info();
        shared.capacity_freed.notify_waiters();
    }
}

fn on_silent<Adapter>(shared: &Shared<Adapter>, member: &Member) -> Finding {
    let (domain, target) = (&member.domain, &member.id);
    let finding = shared
        .reachability
        .borrow_mut()
        .on_failed(domain, target, now());
    if finding == Finding::Unreachable {
        Event::new("domain_cut")
            .with("domain", &**domain)
            .with("target", &**target)
            .warn();
    }
    finding
}

/// Tries the failure domains that are out of reach until they are reached again.
pub(crate) async fn probe<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    loop {
        tokio::time::sleep(PROBE).await;
        let cut = shared.reachability.borrow().unreachable();
        for domain in cut {
            match some_target(&shared, &domain, None) {
                Some(member) => {
                    tokio::task::spawn_local(try_one(Rc::clone(&shared), member));
                }
                // The list has nothing there any more.
                None => on_reached(&shared, &domain),
            }
        }
    }
}

/// Returns a target in a failure domain, another one each time.
fn some_target<Adapter>(
    shared: &Shared<Adapter>,
    domain: &Domain,
    but: Option<&Target>,
) -> Option<Arc<Member>> {
    let roster = shared.roster.borrow();
    let there = roster.iter().map(|entry| &entry.member);
    let there = there.filter(|member| member.domain == *domain && Some(&member.id) != but);
    let there: Vec<&Arc<Member>> = there.collect();
    let index = (shared.random() as usize).checked_rem(there.len())?;
    there.get(index).copied().cloned()
}

async fn try_one<Adapter>(shared: Rc<Shared<Adapter>>, member: Arc<Member>) {
    let connecting = TcpStream::connect(member.address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        // A connection that is refused has reached the host.
        Ok(_) => on_reached(&shared, &member.domain),
        Err(_) => {
            on_silent(&shared, &member);
        }
    }
}
