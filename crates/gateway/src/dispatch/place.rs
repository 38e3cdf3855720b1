use std::rc::Rc;
use std::time::Duration;

use fleet::cell::{Cell, Map};
use fleet::dispatcher::{Demand, Reply};
use types::{Domain, Service};

use super::ask::{Answered, ask};
use crate::adapter::Platform;
use crate::attempt::{Asked, Choice, Place};
use crate::choose;
use crate::clock::now;
use crate::retry::{Step, Tries};
use crate::shared::Shared;

/// What came of asking for a place.
enum Placed {
    /// A target has one.
    Here(Box<Choice>),
    /// No target will have one in time; the caller may come back after this time.
    Refused(Duration),
    /// Nobody answers; the entry decides by itself.
    Alone,
}

/// Other cells that are tried for a request before it waits; each takes a few milliseconds.
const OTHERS: usize = 3;
/// Places that were not accepted, for one request.
const MOST_DECLINED: usize = 3;

/// Returns what a request needs next. Requests to engines get their places from dispatchers.
pub(crate) async fn next<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Asked,
    tries: &mut Tries<Adapter>,
    seen: Option<u64>,
) -> Step
where
    Adapter: Platform,
{
    let catalog = shared.catalog();
    let pool = catalog.and_then(|catalog| catalog.pool(tries.service()).cloned());
    let placed = match pool.is_some_and(|pool| pool.engine.is_some()) {
        true => {
            if let Some(step) = tries.over(asked) {
                return step;
            }
            place(shared, asked, tries, seen).await
        }
        false => Placed::Alone,
    };
    match placed {
        Placed::Here(choice) => {
            if !tries.may_send(shared) {
                release(shared, choice.place.as_ref());
                return tries.unable();
            }
            shared.ramp.borrow_mut().on_sent(&choice.member.id, now());
            Step::Send(choice)
        }
        Placed::Refused(again) => tries.refused(again),
        Placed::Alone => tries.step(shared, asked, seen),
    }
}

/// Asks for a place: first in the cell where the prompt's parts are kept, then in some others, and
/// waits in the one with the shortest queue.
async fn place<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Asked,
    tries: &Tries<Adapter>,
    seen: Option<u64>,
) -> Placed
where
    Adapter: Platform,
{
    let mut demand = choose::demand(shared, asked, tries.left_out());
    let Some(home) = home(shared, tries.service(), &demand) else {
        return Placed::Alone;
    };
    let mut others = others(shared, tries.service(), &home);
    let mut cell = home;
    // The cell with the shortest queue so far.
    let mut shortest: Option<(Duration, Cell)> = None;
    let mut queue = others.is_empty();
    let mut declined = 0;
    loop {
        let (dispatcher, number, reply) =
            match ask(shared, asked, tries, &cell, &demand, queue).await {
                Answered::Reply(dispatcher, number, reply) => (dispatcher, number, reply),
                Answered::Nobody => return Placed::Alone,
            };
        let given = Place { dispatcher, number };
        match reply {
            Reply::Granted(target, local) => {
                let place = (&target, &*local);
                let service = tries.service();
                let choice = choose::accept(shared, asked, service, &demand, place, seen);
                if let Some(mut choice) = choice {
                    choice.place = Some(given);
                    return Placed::Here(Box::new(choice));
                }
                release(shared, Some(&given));
                declined += 1;
                if declined >= MOST_DECLINED {
                    return Placed::Alone;
                }
                demand.excluded.push(target);
                demand.unreachable = shared.reachability.borrow().unreachable();
            }
            Reply::Busy(delay) => {
                let shorter = shortest.as_ref().is_none_or(|(least, _)| delay < *least);
                if shorter {
                    shortest = Some((delay, cell.clone()));
                }
                match (others.pop(), &shortest) {
                    (Some(other), _) => cell = other,
                    (None, Some((_, shortest))) => {
                        cell = shortest.clone();
                        queue = true;
                    }
                    (None, None) => queue = true,
                }
            }
            Reply::Refused(again) => {
                asked.refused_by.replace(Some(given));
                return Placed::Refused(again);
            }
            Reply::Queued | Reply::NotDispatcher => return Placed::Alone,
        }
    }
}

/// Returns the cell in which requests of a session meet: that of the store host which keeps its
/// parts, or would keep them.
fn home<Adapter>(shared: &Shared<Adapter>, service: &Service, demand: &Demand) -> Option<Cell> {
    let map = shared.dispatch.map(shared);
    let (evacuated, reach) = (shared.evacuated.borrow(), shared.reachability.borrow());
    let out = |domain: &Domain| evacuated.contains(domain) || reach.is_unreachable(domain);
    let session = demand.segments.last();
    let key = session.map_or(&[][..], |(id, _)| id.as_bytes());
    let meeting = |domain: &Domain| {
        let cell = map.for_key(service, domain, key);
        cell.filter(|cell| !cell.is_inside(out))
    };
    let kept = kept_domain(shared, &map, demand);
    let kept = kept.and_then(|domain| meeting(&domain));
    let any = || {
        let mut cells = map.cells(service).into_iter();
        cells.find(|cell| !cell.is_inside(out))
    };
    kept.or_else(|| meeting(&shared.settings.domain))
        .or_else(any)
}

fn kept_domain<Adapter>(shared: &Shared<Adapter>, map: &Map, demand: &Demand) -> Option<Domain> {
    let model = demand.model.as_ref()?;
    let kept = shared.cache_index.borrow();
    // Older weights are served as well while newer ones are taken.
    let newest = map.newest(model);
    for version in [newest, newest.saturating_sub(1)] {
        let parts = choose::named_parts(demand, model, Some(version));
        if let Some(domain) = kept.holder_domain(parts.last()?) {
            return Some(domain.clone());
        }
    }
    let parts = choose::named_parts(demand, model, Some(newest));
    kept.home_domain(parts.last()?).cloned()
}

/// Returns other cells to try, the last one first: some at random, so that entries do not all turn
/// to the same one, in the order of what is known of their queues.
fn others<Adapter>(shared: &Shared<Adapter>, service: &Service, home: &Cell) -> Vec<Cell> {
    let (evacuated, reach) = (shared.evacuated.borrow(), shared.reachability.borrow());
    let mut cells = shared.dispatch.map(shared).cells(service);
    let out = |domain: &Domain| evacuated.contains(domain) || reach.is_unreachable(domain);
    cells.retain(|cell| cell != home && !cell.is_inside(out));
    let mut others = Vec::new();
    while others.len() < OTHERS && !cells.is_empty() {
        let index = shared.random() as usize % cells.len();
        others.push(cells.swap_remove(index));
    }
    let peers = shared.peers.borrow();
    others.sort_by_key(|cell| std::cmp::Reverse(peers.queue_delay(cell)));
    others
}

/// Gives a place back that is not used.
fn release<Adapter>(shared: &Shared<Adapter>, place: Option<&Place>) {
    if let Some(place) = place {
        shared.dispatch.on_settled(shared, place);
    }
}
