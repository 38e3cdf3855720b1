//! Finds out which failure domains this entry reaches.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fleet::reach::Finding;
use fleet::roster::Member;
use tokio::net::TcpStream;
use types::{Domain, Target};

use crate::border::Platform;
use crate::clock::now;
use crate::connection::{CONNECT, Connection, Slot, Unopened, open};
use crate::journal::Event;
use crate::serve::millis;
use crate::shared::Shared;

/// How often a failure domain out of reach is tried; no request is used for it.
const PROBE: Duration = Duration::from_millis(250);

/// Opens a connection to a target and records what that says of its failure domain.
pub(crate) async fn connect<Border>(
    shared: &Rc<Shared<Border>>,
    member: &Member,
    slot: Slot,
) -> Result<Connection, Unopened>
where
    Border: 'static,
{
    let opened = open(member.address, slot).await;
    match &opened {
        Ok(_) | Err(Unopened::Failed(_)) => on_reached(shared, &member.domain),
        Err(Unopened::Silent(_)) => {
            // Whether the target is dead or its failure domain is cut off, another target shows; no
            // further request is needed to find out.
            if on_silent(shared, member) == Finding::Target
                && let Some(other) = some_target(shared, &member.domain, Some(&member.id))
            {
                tokio::task::spawn_local(try_one(Rc::clone(shared), other));
            }
        }
        Err(Unopened::Full(_)) => {}
    }
    opened
}

/// Records that something in a failure domain was reached.
pub(crate) fn on_reached<Border>(shared: &Shared<Border>, domain: &Domain) {
    let cut = shared.reach.borrow_mut().on_reached(domain, now());
    if let Some(cut) = cut {
        Event::new("domain_reached")
            .with("domain", &**domain)
            .with("after_ms", millis(cut))
            .info();
        shared.room.notify_waiters();
    }
}

fn on_silent<Border>(shared: &Shared<Border>, member: &Member) -> Finding {
    let (domain, target) = (&member.domain, &member.id);
    let finding = shared.reach.borrow_mut().on_failed(domain, target, now());
    if finding == Finding::Cut {
        Event::new("domain_cut")
            .with("domain", &**domain)
            .with("target", &**target)
            .warn();
    }
    finding
}

/// Tries the failure domains that are out of reach until they are reached again.
pub(crate) async fn probe<Border>(shared: Rc<Shared<Border>>)
where
    Border: Platform,
{
    loop {
        tokio::time::sleep(PROBE).await;
        let cut = shared.reach.borrow().cut();
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
fn some_target<Border>(
    shared: &Shared<Border>,
    domain: &Domain,
    but: Option<&Target>,
) -> Option<Arc<Member>> {
    let roster = shared.roster.borrow();
    let there = roster.iter().map(|entry| &entry.member);
    let there = there.filter(|member| member.domain == *domain && Some(&member.id) != but);
    let there: Vec<&Arc<Member>> = there.collect();
    let index = (shared.draw() as usize).checked_rem(there.len())?;
    there.get(index).copied().cloned()
}

async fn try_one<Border>(shared: Rc<Shared<Border>>, member: Arc<Member>) {
    let connecting = TcpStream::connect(member.address);
    match tokio::time::timeout(CONNECT, connecting).await {
        // A connection that is refused has reached the host.
        Ok(_) => on_reached(&shared, &member.domain),
        Err(_) => {
            on_silent(&shared, &member);
        }
    }
}
