use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::gossip::{INTERVAL, Peers, Segments, State};
use platform::{Commit, Write};
use rand::Rng;
use tokio::net::UdpSocket;

use crate::adapter::Platform;
use crate::cache::RELAY_COUNT;
use crate::clock::now;
use crate::discovery;
use crate::dispatch::{self, Line};
use crate::packet::{self, Message};
use crate::shared::Shared;

/// The row of the secret with which entries authenticate their words.
const SECRET: &str = "secret/peers";
/// How long an entry waits after a failed call to the store.
const BACK_OFF: Duration = Duration::from_millis(300);

/// Tells other entries the own loads, and hears theirs.
pub(crate) async fn talk<Adapter>(shared: Rc<Shared<Adapter>>, socket: Rc<UdpSocket>)
where
    Adapter: Platform,
{
    let secret = secret(&shared).await;
    let line = Rc::new(Line { socket, secret });
    shared.dispatch.connect(&line);
    // Both end together when one of them panics.
    tokio::join!(hear(&shared, &line), tell(&shared, &line));
}

async fn tell<Adapter>(shared: &Rc<Shared<Adapter>>, line: &Line)
where
    Adapter: Platform,
{
    loop {
        tokio::time::sleep(INTERVAL).await;
        let names: Vec<String> = {
            let names = shared.registered.borrow();
            let own = &shared.settings.name;
            names.keys().filter(|name| *name != own).cloned().collect()
        };
        shared.cache_index.borrow_mut().on_tick(now());
        shared.peers.borrow_mut().expire(names.len(), now());
        if names.is_empty() {
            continue;
        }
        let word = Message::Word(compose(shared, names.len()));
        let datagram = match packet::seal(&line.secret, &word) {
            Ok(datagram) => datagram,
            Err(problem) => {
                log::error!("a word cannot be sent: {problem}");
                continue;
            }
        };
        let turn: Vec<SocketAddr> = {
            let addresses = shared.registered.borrow();
            let mut peers = shared.peers.borrow_mut();
            let turn = peers.next_recipients(&names).into_iter();
            turn.filter_map(|name| addresses.get(name))
                .map(|peer| SocketAddr::new(peer.ip, shared.settings.peer_port))
                .collect()
        };
        for peer in turn {
            // A datagram that is not sent is like one that is lost; the next one follows.
            if let Err(error) = line.socket.try_send_to(&datagram, peer) {
                log::debug!("no word to {peer}: {error}");
            }
        }
    }
}

fn compose<Adapter>(shared: &Shared<Adapter>, peers: usize) -> State {
    let board = shared.tracker.borrow();
    let loads = board.loads().filter(|(_, load)| load.running > 0);
    let heard = board.last_heard(now());
    let Segments { used, retired } = shared.peers.borrow().segments();
    let kept = shared.cache_index.borrow();
    let hosts = kept.hosts().map(|(host, _)| host.name.clone());
    let relayed = hosts.filter(|store| {
        let rank = shared.rank(store);
        rank.is_some_and(|rank| rank < RELAY_COUNT)
    });
    let hosts = relayed.map(|store| {
        let boot = kept.boot(&store);
        (store, boot)
    });
    State {
        from: shared.settings.name.clone(),
        incarnation: shared.dispatch.start,
        sequence: shared.dispatch.number(),
        config_version: shared.catalog().map_or(0, |catalog| catalog.version.0),
        evidence: shared.evidence.get().confirmed_at(),
        operator_version: shared.operator_progress.get().last_change,
        warm: shared.dispatch.is_warm(shared),
        loads: loads
            .map(|(target, load)| (target.clone(), *load))
            .collect(),
        last_heard: heard.map(|(target, ago)| (target.clone(), ago)).collect(),
        lateness: kept.lateness(Peers::round(peers), now()),
        updating: shared.rollout.borrow().updating().cloned().collect(),
        updated: shared.peers.borrow().updated(),
        used,
        retired,
        pinned: kept.pinned(),
        stores: hosts.collect(),
        reports: shared.peers.borrow().reports(),
        queue_delays: shared.dispatch.dispatcher.borrow().queue_delays(),
        suspected: shared.peers.borrow().suspected(),
        leaving: false,
    }
}

async fn hear<Adapter>(shared: &Rc<Shared<Adapter>>, line: &Line)
where
    Adapter: Platform,
{
    let mut buffer = vec![0; packet::MOST_BYTES];
    loop {
        let Ok((length, from)) = line.socket.recv_from(&mut buffer).await else {
            // An earlier datagram met a closed port; the error says nothing of this socket.
            continue;
        };
        match packet::open(&line.secret, &buffer[..length]) {
            Ok(Message::Word(word)) => take(shared, &word),
            Ok(Message::Notice(notice)) => discovery::on_notice(shared, &notice),
            Ok(Message::Fetch(number, after)) => {
                discovery::on_fetch(shared, number, after.as_ref(), from);
            }
            Ok(Message::Page(page)) => discovery::on_page(shared, page),
            Ok(message) => dispatch::on_message(shared, message, Some(from)),
            Err(problem) => log::warn!("a word from {from} is not used: {problem}"),
        }
    }
}

fn take<Adapter>(shared: &Shared<Adapter>, word: &State) {
    let time = now();
    // Also of a word that a newer message has overtaken: what is about to be freed must not be used.
    for (store, key) in &word.retired {
        let mut kept = shared.cache_index.borrow_mut();
        kept.on_retired(store, std::slice::from_ref(key), time);
    }
    for (store, key) in &word.pinned {
        shared.cache_index.borrow_mut().on_pinned(store, key, time);
    }
    if !shared.peers.borrow_mut().on_state(word, time) {
        return;
    }
    let config = shared.catalog().map(|catalog| catalog.version.0);
    if let Some(given) = word.evidence
        && config == Some(word.config_version)
    {
        let mut proof = shared.evidence.get();
        proof.on_peer_evidence(given, time);
        shared.evidence.set(proof);
    }
    let mut board = shared.tracker.borrow_mut();
    for (target, ago) in &word.last_heard {
        board.on_heard_by_peer(target, time - *ago);
    }
    for target in &word.updating {
        board.on_updating(target, time);
    }
    drop(board);
    for (target, model, version) in &word.updated {
        shared.on_weights(target, &[(model.clone(), *version)]);
    }
    let mut kept = shared.cache_index.borrow_mut();
    for (store, late) in &word.lateness {
        kept.on_lateness(store, *late, time);
    }
    for (store, key) in &word.used {
        kept.on_used(store, key, time);
    }
    for (store, boot) in &word.stores {
        let calls = kept.host(store).map_or(0, |host| host.max_calls);
        let reads = shared.rank(store);
        // An entry that follows the host itself knows better.
        if reads.is_some_and(|rank| rank < (calls / 2).max(1) as usize) {
            continue;
        }
        match boot {
            None => kept.on_down(store),
            Some(boot) => {
                let news = word.reports.iter().filter(|(named, _)| named == store);
                let reports = news.map(|(_, report)| report.clone()).collect();
                kept.on_reports(store, *boot, reports, time);
            }
        }
    }
}

/// Tells all others that this entry ends and uses nothing any more.
pub(crate) fn leave<Adapter>(shared: &Shared<Adapter>) {
    let names = shared.registered.borrow();
    let own = &shared.settings.name;
    let mut word = compose(shared, names.len());
    word.leaving = true;
    let message = Message::Word(word);
    for (_, peer) in names.iter().filter(|(name, _)| *name != own) {
        let to = SocketAddr::new(peer.ip, shared.settings.peer_port);
        shared.dispatch.send_to(&message, to);
    }
}

/// Reads the secret from the store; the first entry draws it.
async fn secret<Adapter>(shared: &Rc<Shared<Adapter>>) -> [u8; 32]
where
    Adapter: Platform,
{
    loop {
        match shared.adapter.get(SECRET).await {
            Ok(Some(row)) => match serde_json::from_value(row.value) {
                Ok(secret) => return secret,
                Err(error) => log::error!("the row {SECRET} is no secret: {error}"),
            },
            Ok(None) => {
                let drawn: [u8; 32] = rand::rng().random();
                let row = Write {
                    key: SECRET.to_owned(),
                    expect: 0,
                    value: Some(serde_json::json!(drawn)),
                };
                // Whoever wrote it first, the row is read again.
                match shared.adapter.commit(&[row]).await {
                    Ok(Commit::Applied(_) | Commit::Conflict(_)) => continue,
                    Err(error) => log::warn!("the row {SECRET} cannot be written: {error}"),
                }
            }
            Err(error) => log::warn!("the row {SECRET} cannot be read: {error}"),
        }
        tokio::time::sleep(BACK_OFF).await;
    }
}
