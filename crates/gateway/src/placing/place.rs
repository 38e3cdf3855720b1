use std::rc::Rc;
use std::time::Duration;

use fleet::cell::{Cell, Map};
use fleet::desk::{Demand, Reply};
use types::{Domain, Service};

use super::ask::{Answered, ask};
use crate::attempt::{Asked, Choice, Place};
use crate::border::Platform;
use crate::choose;
use crate::clock::now;
use crate::shared::Shared;
use crate::tries::{Step, Tries};

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
pub(crate) async fn next<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Asked,
    tries: &mut Tries<Border>,
    seen: Option<u64>,
) -> Step
where
    Border: Platform,
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
async fn place<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Asked,
    tries: &Tries<Border>,
    seen: Option<u64>,
) -> Placed
where
    Border: Platform,
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
                demand.left_out.push(target);
                demand.unreached = shared.reach.borrow().cut();
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
            Reply::Waits | Reply::Elsewhere => return Placed::Alone,
        }
    }
}

/// Returns the cell in which requests of a session meet: that of the store host which keeps its
/// parts, or would keep them.
fn home<Border>(shared: &Shared<Border>, service: &Service, demand: &Demand) -> Option<Cell> {
    let map = shared.placing.map(shared);
    let (evacuated, reach) = (shared.evacuated.borrow(), shared.reach.borrow());
    let out = |domain: &Domain| evacuated.contains(domain) || reach.is_cut(domain);
    let session = demand.parts.last();
    let key = session.map_or(&[][..], |(id, _)| id.as_bytes());
    let meeting = |domain: &Domain| {
        let cell = map.meeting(service, domain, key);
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

fn kept_domain<Border>(shared: &Shared<Border>, map: &Map, demand: &Demand) -> Option<Domain> {
    let model = demand.model.as_ref()?;
    let kept = shared.kept.borrow();
    // Older weights are served as well while newer ones are taken.
    let newest = map.newest(model);
    for version in [newest, newest.saturating_sub(1)] {
        let parts = choose::named_parts(demand, model, Some(version));
        if let Some(domain) = kept.domain(parts.last()?) {
            return Some(domain.clone());
        }
    }
    let parts = choose::named_parts(demand, model, Some(newest));
    kept.home_domain(parts.last()?).cloned()
}

/// Returns other cells to try, the last one first: some at random, so that entries do not all turn
/// to the same one, in the order of what is known of their queues.
fn others<Border>(shared: &Shared<Border>, service: &Service, home: &Cell) -> Vec<Cell> {
    let (evacuated, reach) = (shared.evacuated.borrow(), shared.reach.borrow());
    let mut cells = shared.placing.map(shared).cells(service);
    let out = |domain: &Domain| evacuated.contains(domain) || reach.is_cut(domain);
    cells.retain(|cell| cell != home && !cell.is_inside(out));
    let mut others = Vec::new();
    while others.len() < OTHERS && !cells.is_empty() {
        let index = shared.draw() as usize % cells.len();
        others.push(cells.swap_remove(index));
    }
    let peers = shared.peers.borrow();
    others.sort_by_key(|cell| std::cmp::Reverse(peers.delay(cell)));
    others
}

/// Gives a place back that is not used.
fn release<Border>(shared: &Shared<Border>, place: Option<&Place>) {
    if let Some(place) = place {
        shared.placing.on_settled(shared, place);
    }
}
