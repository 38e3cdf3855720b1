use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::cache::Observation;
use fleet::gossip::{INTERVAL, Peers, Segments, State, StoreState};
use platform::{Commit, Write};
use rand::Rng;
use tokio::net::UdpSocket;
use types::Revision;

use crate::adapter::Platform;
use crate::builds;
use crate::cache;
use crate::clock::now;
use crate::discovery;
use crate::dispatch::{self, Transport};
use crate::logging::Event;
use crate::packet::{self, Message};
use crate::quarantine;
use crate::shared::Shared;

/// Row of the secret with which entries authenticate their messages.
const SECRET_ROW: &str = "secret/peers";
/// Maximum number of entries that get a message out of turn in one interval.
const MAX_URGENT: usize = 4;
/// Back-off after a failed call to the platform's table store.
const BACK_OFF: Duration = Duration::from_millis(300);

/// Sends this entry's state to the other entries, and receives theirs.
pub(crate) async fn run<Adapter>(shared: Rc<Shared<Adapter>>, socket: Rc<UdpSocket>)
where
    Adapter: Platform,
{
    let secret = Cell::new(load_secret(&shared, None).await);
    let transport = Rc::new(Transport { socket, secret });
    shared.dispatch.set_transport(&transport);
    // If one of them panics, all end.
    tokio::join!(
        receive(&shared, &transport),
        send(&shared, &transport),
        restore_secret(&shared, &transport)
    );
}

/// Writes the secret again if a restoration of the table store has lost it, or takes over the one
/// that another entry has written, so that all entries use the same.
async fn restore_secret<Adapter>(shared: &Rc<Shared<Adapter>>, transport: &Transport)
where
    Adapter: Platform,
{
    loop {
        shared.restored.notified().await;
        let known = transport.secret.get();
        let secret = load_secret(shared, Some(known)).await;
        if secret != known {
            Event::new("secret_replaced").warn();
            transport.secret.set(secret);
        }
    }
}

async fn send<Adapter>(shared: &Rc<Shared<Adapter>>, transport: &Transport)
where
    Adapter: Platform,
{
    loop {
        tokio::time::sleep(INTERVAL).await;
        let addresses = shared.peer_addresses();
        let names: Vec<String> = addresses.keys().cloned().collect();
        shared.cache_index.borrow_mut().on_tick(now());
        shared.peers.borrow_mut().expire(names.len(), now());
        shared.contacts.borrow_mut().expire(names.len(), now());
        drop_unlisted(shared);
        cache::assign_duties(shared, names.len());
        if names.is_empty() {
            continue;
        }
        let state = build_state(shared, names.len());
        let mut contacts = shared.contacts.borrow_mut();
        contacts.on_sent(state.sequence, names.len(), now());
        let urgent = contacts.take_newcomers();
        drop(contacts);
        let mut peers = shared.peers.borrow_mut();
        let recipients = peers.next_recipients(&names).into_iter();
        let mut recipients: BTreeSet<String> = recipients.map(str::to_owned).collect();
        drop(peers);
        let urgent = urgent.into_iter();
        let urgent = urgent.chain(cache::needed_contacts(shared, names.len()));
        recipients.extend(urgent.take(MAX_URGENT));
        let mut message = Message::State(Box::new(state));
        for name in recipients {
            let Some(ip) = addresses.get(&name) else {
                continue;
            };
            if let Message::State(state) = &mut message {
                state.received = shared.contacts.borrow().receipt(&name);
            }
            let to = SocketAddr::new(*ip, shared.settings.peer_port);
            transport.send(&message, to);
        }
    }
}

/// Forgets the addresses of unlisted entries that are gone.
fn drop_unlisted<Adapter>(shared: &Shared<Adapter>) {
    let peers = shared.peers.borrow();
    let mut unlisted = shared.unlisted.borrow_mut();
    unlisted.retain(|name, _| peers.is_alive(name));
}

fn build_state<Adapter>(shared: &Shared<Adapter>, peers: usize) -> State {
    let tracker = shared.tracker.borrow();
    let loads = tracker.loads().filter(|(_, load)| load.running > 0);
    let last_heard = tracker.last_heard(now());
    let Segments { used, retired } = shared.peers.borrow().segments();
    let index = shared.cache_index.borrow();
    let time = now();
    let evictors = index.hosts().filter_map(|(host, _)| {
        let evictor = cache::duty(shared, &host.name).evictor.clone()?;
        Some((host.name.clone(), evictor))
    });
    let stores = index.hosts().filter_map(|(host, _)| {
        let observation = index.observation(&host.name)?;
        // Only entries that watch a host know that it is down.
        let is_known = observation.boot.is_some() || cache::duty(shared, &host.name).relays();
        is_known.then(|| StoreState {
            store: host.name.clone(),
            boot: observation.boot,
            age: time.since(observation.at),
            boot_age: time.since(observation.since),
        })
    });
    State {
        from: shared.settings.name.clone(),
        incarnation: shared.dispatch.incarnation,
        sequence: shared.dispatch.next_sequence(),
        config_version: shared.catalog().map_or(0, |catalog| catalog.version.0),
        evidence: shared.evidence.get().confirmed_at(),
        operator_version: shared.operator_progress.get().last_change,
        warm: shared.dispatch.is_warm(shared),
        loads: loads
            .map(|(target, load)| (target.clone(), *load))
            .collect(),
        last_heard: last_heard
            .map(|(target, elapsed)| (target.clone(), elapsed))
            .collect(),
        lateness: index.lateness(Peers::round(peers), now()),
        updating: shared.rollout.borrow().updating().cloned().collect(),
        updated: shared.peers.borrow().updated(),
        used,
        retired,
        pinned: index.pinned(),
        stores: stores.collect(),
        evictors: evictors.collect(),
        received: None,
        reports: shared.peers.borrow().reports(),
        queue_delays: shared.dispatch.dispatcher.borrow().queue_delays(),
        suspected: shared.peers.borrow().suspected(),
        crashes: shared.quarantine.borrow().segments.evidence(now()),
        crashing_requests: shared.quarantine.borrow().requests.evidence(now()),
        leaving: false,
    }
}

async fn receive<Adapter>(shared: &Rc<Shared<Adapter>>, transport: &Transport)
where
    Adapter: Platform,
{
    let mut buffer = vec![0; packet::MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = transport.socket.recv_from(&mut buffer).await else {
            // The error means that an earlier datagram was sent to a closed port; this socket can
            // still receive.
            continue;
        };
        match packet::open(&transport.secret.get(), &buffer[..length]) {
            Ok(Message::State(state)) => merge(shared, &state, sender),
            Ok(Message::Notice(notice)) => discovery::on_notice(shared, &notice),
            Ok(Message::Fetch(request, after)) => {
                discovery::on_fetch(shared, request, after.as_ref(), sender);
            }
            Ok(Message::Page(page)) => discovery::on_page(shared, page),
            Ok(Message::Crashes(evidence)) => quarantine::on_evidence(shared, &evidence, &[]),
            Ok(Message::CrashingRequest(evidence)) => {
                quarantine::on_evidence(shared, &[], &[evidence]);
            }
            Ok(Message::Began(streams)) => builds::on_told(shared, streams),
            Ok(Message::AskOrigin(number, stream)) => {
                builds::on_question(shared, number, stream, sender);
            }
            Ok(Message::Origin(number, build)) => builds::on_answer(shared, number, build),
            Ok(message) => dispatch::on_message(shared, message, Some(sender)),
            Err(problem) => log::warn!("discarded a datagram from {sender}: {problem}"),
        }
    }
}

fn merge<Adapter>(shared: &Shared<Adapter>, state: &State, sender: SocketAddr) {
    let time = now();
    shared.on_peer_address(&state.from, sender.ip());
    // Applied also if a newer message has arrived before: segments that are about to be evicted
    // must not be used.
    for (store, key) in &state.retired {
        let mut index = shared.cache_index.borrow_mut();
        index.on_retired(store, std::slice::from_ref(key), time);
    }
    for (store, key) in &state.pinned {
        shared.cache_index.borrow_mut().on_pinned(store, key, time);
    }
    let incarnation = shared.dispatch.incarnation;
    shared
        .contacts
        .borrow_mut()
        .on_state(state, incarnation, time);
    if !shared.peers.borrow_mut().on_state(state, time) {
        return;
    }
    quarantine::on_evidence(shared, &state.crashes, &state.crashing_requests);
    let config_version = shared.catalog().map(|catalog| catalog.version.0);
    // The clock of a restored store may differ from that of the era before.
    let is_same_era = Revision::from(state.operator_version).era() == shared.era();
    if let Some(confirmed_at) = state.evidence
        && config_version == Some(state.config_version)
        && is_same_era
    {
        let mut evidence = shared.evidence.get();
        evidence.on_peer_evidence(confirmed_at, time);
        shared.evidence.set(evidence);
    }
    let mut tracker = shared.tracker.borrow_mut();
    for (target, elapsed) in &state.last_heard {
        tracker.on_heard_by_peer(target, time - *elapsed);
    }
    for target in &state.updating {
        tracker.on_updating(target, time);
    }
    drop(tracker);
    for (target, model, version) in &state.updated {
        shared.on_weights(target, &[(model.clone(), *version)]);
    }
    let mut index = shared.cache_index.borrow_mut();
    for (store, lateness) in &state.lateness {
        index.on_lateness(store, *lateness, time);
    }
    for (store, key) in &state.used {
        index.on_used(store, key, time);
    }
    for known in &state.stores {
        let observation = Observation {
            boot: known.boot,
            at: time - known.age,
            since: time - known.boot_age,
        };
        let is_current = index.on_observed(&known.store, observation);
        // An entry that watches the store host itself has all its reports.
        if !is_current || cache::duty(shared, &known.store).watches() {
            continue;
        }
        if let Some(boot) = known.boot {
            let reports = state.reports.iter();
            let reports = reports.filter(|(store, _)| *store == known.store);
            let reports = reports.map(|(_, report)| report.clone()).collect();
            index.on_reports(&known.store, boot, reports, time);
        }
    }
}

/// Informs all other entries that this one is shutting down and uses no segments any more.
pub(crate) fn send_leaving<Adapter>(shared: &Shared<Adapter>) {
    let mut state = build_state(shared, shared.registered.borrow().len());
    state.leaving = true;
    broadcast(shared, &Message::State(Box::new(state)));
}

/// Sends a message to all other entries.
pub(crate) fn broadcast<Adapter>(shared: &Shared<Adapter>, message: &Message) {
    for ip in shared.peer_addresses().into_values() {
        let to = SocketAddr::new(ip, shared.settings.peer_port);
        shared.dispatch.send_to(message, to);
    }
}

/// Reads the shared secret from the table store. If there is none, the first entry writes the
/// `known` one or generates it.
async fn load_secret<Adapter>(shared: &Rc<Shared<Adapter>>, known: Option<[u8; 32]>) -> [u8; 32]
where
    Adapter: Platform,
{
    loop {
        match shared.adapter.get(SECRET_ROW).await {
            Ok(Some(row)) => match serde_json::from_value(row.value) {
                Ok(secret) => return secret,
                Err(error) => log::error!("the row {SECRET_ROW} has no valid secret: {error}"),
            },
            Ok(None) => {
                let secret: [u8; 32] = known.unwrap_or_else(|| rand::rng().random());
                let row = Write {
                    key: SECRET_ROW.to_owned(),
                    expect: 0,
                    value: Some(serde_json::json!(secret)),
                };
                // Whichever entry wrote it first, the row is read again.
                match shared.adapter.commit(&[row]).await {
                    Ok(Commit::Applied(_) | Commit::Conflict(_)) => continue,
                    Err(error) => log::warn!("the row {SECRET_ROW} cannot be written: {error}"),
                }
            }
            Err(error) => log::warn!("the row {SECRET_ROW} cannot be read: {error}"),
        }
        tokio::time::sleep(BACK_OFF).await;
    }
}
