use std::rc::Rc;
use std::time::Duration;

use fleet::cell::{Cell, Map};
use fleet::dispatcher::{Demand, Reply};
use types::{Domain, Service};

use super::request::{Outcome, request_from_cell};
use crate::adapter::Platform;
use crate::attempt::{Admitted, Choice, Grant};
use crate::builds;
use crate::choose;
use crate::clock::now;
use crate::retry::{Progress, Step};
use crate::shared::Shared;

/// The result of a placement request.
enum Acquired {
    /// A target was granted.
    Granted(Box<Choice>),
    /// No target will have capacity in time; the caller may retry after this delay.
    Refused(Duration),
    /// No dispatcher replied; the entry chooses a target itself.
    NoDispatcher,
}

/// Number of other cells that are tried before a request is queued; each takes a few milliseconds.
const OTHER_CELLS: usize = 3;
/// How often a request that waits for a placement checks for a newer configuration.
const CONFIG_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of grants that a request may decline.
const MAX_DECLINED: usize = 3;

/// Returns the next step of a request. Requests to engines are placed by dispatchers.
pub(crate) async fn next<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    progress: &mut Progress<Adapter>,
    last_event: Option<u64>,
) -> Step
where
    Adapter: Platform,
{
    if let Some(step) = progress.quarantined(shared, admitted) {
        if let Some(choice) = progress.take_takeover() {
            release(shared, choice.grant.as_ref());
        }
        return step;
    }
    if let Some(choice) = progress.take_takeover() {
        return Step::Send(choice);
    }
    let acquired = loop {
        progress.follow_config(shared, admitted);
        let catalog = shared.catalog();
        let pool = catalog.and_then(|catalog| catalog.pool(progress.service()).cloned());
        if pool.is_none_or(|pool| pool.engine.is_none()) {
            break Acquired::NoDispatcher;
        }
        // Few cells may have targets of the build.
        if progress.build.is_some() && builds::is_mixed(shared, progress.service()) {
            break Acquired::NoDispatcher;
        }
        if let Some(step) = progress.exhausted(shared, admitted) {
            return step;
        }
        tokio::select! {
            biased;
            acquired = acquire(shared, admitted, progress, last_event) => break acquired,
            () = until_moved(shared, admitted, progress) => {}
            () = progress.until_last_start(shared, admitted) => {}
        }
    };
    match acquired {
        Acquired::Granted(choice) => {
            // It may have been quarantined while it was queued, or the entry may be stopping.
            let quarantined = progress.quarantined(shared, admitted);
            if let Some(step) = quarantined.or_else(|| progress.exhausted(shared, admitted)) {
                release(shared, choice.grant.as_ref());
                return step;
            }
            if !progress.may_send(shared, &choice) {
                release(shared, choice.grant.as_ref());
                return progress.no_target_left();
            }
            shared.ramp.borrow_mut().on_sent(&choice.member.id, now());
            Step::Send(choice)
        }
        Acquired::Refused(retry_after) => progress.placement_refused(retry_after),
        Acquired::NoDispatcher => progress.step(shared, admitted, last_event),
    }
}

/// Waits until a newer configuration moves a request to another service.
async fn until_moved<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    progress: &Progress<Adapter>,
) {
    while !progress.is_moved(shared, admitted) {
        tokio::time::sleep(CONFIG_INTERVAL).await;
    }
}

/// Requests a placement, first in the cell whose domain caches the prompt's segments, then in some
/// others; finally queues in the cell with the shortest queue.
async fn acquire<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    progress: &Progress<Adapter>,
    last_event: Option<u64>,
) -> Acquired
where
    Adapter: Platform,
{
    let mut demand = choose::demand(
        shared,
        admitted,
        progress.excluded(),
        progress.build.as_ref(),
    );
    let Some(home) = home_cell(shared, progress.service(), &demand) else {
        return Acquired::NoDispatcher;
    };
    let mut others = other_cells(shared, progress.service(), &home);
    let mut cell = home;
    // The cell with the shortest queue so far.
    let mut shortest_queue: Option<(Duration, Cell)> = None;
    let mut queue = others.is_empty();
    let mut declined = 0;
    loop {
        let outcome = request_from_cell(shared, admitted, progress, &cell, &demand, queue).await;
        let Outcome::Reply(dispatcher, sequence, reply, send_by) = outcome else {
            return Acquired::NoDispatcher;
        };
        let grant = Grant {
            dispatcher,
            sequence,
        };
        match reply {
            Reply::Granted(target, resident) => {
                let granted = (&target, &*resident);
                let service = progress.service();
                let choice = choose::accept(
                    shared, admitted, service, &demand, granted, send_by, last_event,
                );
                if let Some(mut choice) = choice {
                    choice.grant = Some(grant);
                    return Acquired::Granted(Box::new(choice));
                }
                release(shared, Some(&grant));
                declined += 1;
                if declined >= MAX_DECLINED {
                    return Acquired::NoDispatcher;
                }
                demand.excluded.push(target);
                demand.unreachable = shared.reachability.borrow().unreachable();
            }
            Reply::Busy(delay) => {
                let shorter = shortest_queue
                    .as_ref()
                    .is_none_or(|(least, _)| delay < *least);
                if shorter {
                    shortest_queue = Some((delay, cell.clone()));
                }
                match (others.pop(), &shortest_queue) {
                    (Some(other), _) => cell = other,
                    (None, Some((_, shortest_queue))) => {
                        cell = shortest_queue.clone();
                        queue = true;
                    }
                    (None, None) => queue = true,
                }
            }
            Reply::Refused(retry_after) => {
                admitted.refused_by.replace(Some(grant));
                return Acquired::Refused(retry_after);
            }
            Reply::Queued | Reply::NotDispatcher => return Acquired::NoDispatcher,
        }
    }
}

/// Returns the cell with affinity for the session: that of the store host that holds its segments
/// or would hold them.
fn home_cell<Adapter>(
    shared: &Shared<Adapter>,
    service: &Service,
    demand: &Demand,
) -> Option<Cell> {
    let map = shared.dispatch.map(shared);
    let (evacuated, reachability) = (shared.evacuated.borrow(), shared.reachability.borrow());
    let is_unavailable =
        |domain: &Domain| evacuated.contains(domain) || reachability.is_unreachable(domain);
    let last_segment = demand.segments.last();
    let key = last_segment.map_or(&[][..], |(id, _)| id.as_bytes());
    let cell_in_domain = |domain: &Domain| {
        let cell = map.for_key(service, domain, key);
        cell.filter(|cell| !cell.is_inside(is_unavailable))
    };
    let cached = cached_domain(shared, &map, demand);
    let cached = cached.and_then(|domain| cell_in_domain(&domain));
    let any = || {
        let mut cells = map.cells(service).into_iter();
        cells.find(|cell| !cell.is_inside(is_unavailable))
    };
    cached
        .or_else(|| cell_in_domain(&shared.settings.domain))
        .or_else(any)
}

fn cached_domain<Adapter>(shared: &Shared<Adapter>, map: &Map, demand: &Demand) -> Option<Domain> {
    let model = demand.model.as_ref()?;
    let index = shared.cache_index.borrow();
    // During an update, targets with the previous version still serve.
    let newest = map.newest(model);
    for version in [newest, newest.saturating_sub(1)] {
        let segments = choose::segments_of_version(demand, model, Some(version));
        if let Some(domain) = index.holder_domain(segments.last()?) {
            return Some(domain.clone());
        }
    }
    let segments = choose::segments_of_version(demand, model, Some(newest));
    index.home_domain(segments.last()?).cloned()
}

/// Returns other cells to try, in reverse order. They are chosen at random, so that entries do not
/// all turn to the same one, and are sorted by their known queue delays.
fn other_cells<Adapter>(shared: &Shared<Adapter>, service: &Service, home: &Cell) -> Vec<Cell> {
    let (evacuated, reachability) = (shared.evacuated.borrow(), shared.reachability.borrow());
    let mut cells = shared.dispatch.map(shared).cells(service);
    let is_unavailable =
        |domain: &Domain| evacuated.contains(domain) || reachability.is_unreachable(domain);
    cells.retain(|cell| cell != home && !cell.is_inside(is_unavailable));
    let mut others = Vec::new();
    while others.len() < OTHER_CELLS && !cells.is_empty() {
        let index = shared.random() as usize % cells.len();
        others.push(cells.swap_remove(index));
    }
    let peers = shared.peers.borrow();
    others.sort_by_key(|cell| std::cmp::Reverse(peers.queue_delay(cell)));
    others
}

/// Gives an unused grant back to its dispatcher.
fn release<Adapter>(shared: &Shared<Adapter>, grant: Option<&Grant>) {
    if let Some(grant) = grant {
        shared.dispatch.acknowledge_grant(shared, grant);
    }
}
