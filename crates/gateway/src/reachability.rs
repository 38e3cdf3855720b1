//! Detects network partitions: which failure domains are reachable from this entry.

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

/// The interval at which unreachable failure domains are probed, without using a caller's request.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Opens a connection to a target, and records whether its failure domain is reachable.
pub(crate) async fn connect<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    member: &Member,
    permit: Permit,
) -> Result<Connection, Error>
where
    Adapter: 'static,
{
    let opened = open(member.address, permit).await;
    match &opened {
        Ok(_) | Err(Error::Failed(_)) => on_reached(shared, &member.domain),
        Err(Error::Timeout(_)) => {
            // Another target is probed to tell a dead target from a network partition, so that no
            // further request is needed to find out.
            if on_timeout(shared, member) == Finding::Inconclusive
                && let Some(other) = random_target(shared, &member.domain, Some(&member.id))
            {
                tokio::task::spawn_local(probe_target(Rc::clone(shared), other));
            }
        }
        Err(Error::Exhausted(_)) => {}
    }
    opened
}

/// Records that a failure domain was reached.
pub(crate) fn on_reached<Adapter>(shared: &Shared<Adapter>, domain: &Domain) {
    let outage = shared.reachability.borrow_mut().on_reached(domain, now());
    if let Some(outage) = outage {
        Event::new("domain_reached")
            .with("domain", &**domain)
            .with("after_ms", millis(outage))
            .info();
        shared.capacity_freed.notify_waiters();
    }
}

fn on_timeout<Adapter>(shared: &Shared<Adapter>, member: &Member) -> Finding {
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

/// Probes unreachable failure domains until they are reachable again.
pub(crate) async fn probe<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let unreachable = shared.reachability.borrow().unreachable();
        for domain in unreachable {
            match random_target(&shared, &domain, None) {
                Some(member) => {
                    tokio::task::spawn_local(probe_target(Rc::clone(&shared), member));
                }
                // The failure domain has no targets any more, so there is nothing to probe.
                None => on_reached(&shared, &domain),
            }
        }
    }
}

/// Returns a random target in a failure domain, other than `excluded`.
fn random_target<Adapter>(
    shared: &Shared<Adapter>,
    domain: &Domain,
    excluded: Option<&Target>,
) -> Option<Arc<Member>> {
    let roster = shared.roster.borrow();
    let members = roster.iter().map(|entry| &entry.member);
    let members = members.filter(|member| member.domain == *domain && Some(&member.id) != excluded);
    let members: Vec<&Arc<Member>> = members.collect();
    let index = (shared.random() as usize).checked_rem(members.len())?;
    members.get(index).copied().cloned()
}

async fn probe_target<Adapter>(shared: Rc<Shared<Adapter>>, member: Arc<Member>) {
    let connection = TcpStream::connect(member.address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connection).await {
        // A refused connection has reached the host as well.
        Ok(_) => on_reached(&shared, &member.domain),
        Err(_) => {
            on_timeout(&shared, &member);
        }
    }
}
