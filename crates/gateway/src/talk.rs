use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::peers::{Parts, Peers, TICK, Word};
use platform::{Commit, Write};
use rand::Rng;
use tokio::net::UdpSocket;

use crate::border::Platform;
use crate::clock::now;
use crate::listing;
use crate::packet::{self, Message};
use crate::placing::{self, Line};
use crate::shared::Shared;
use crate::shelf::RELAYS;

/// The row of the secret with which entries authenticate their words.
const SECRET: &str = "secret/peers";
/// How long an entry waits after a failed call to the store.
const BACK_OFF: Duration = Duration::from_millis(300);

/// Tells other entries the own loads, and hears theirs.
pub(crate) async fn talk<Border>(shared: Rc<Shared<Border>>, socket: Rc<UdpSocket>)
where
    Border: Platform,
{
    let secret = secret(&shared).await;
    let line = Rc::new(Line { socket, secret });
    shared.placing.connect(&line);
    // Both end together when one of them panics.
    tokio::join!(hear(&shared, &line), tell(&shared, &line));
}

async fn tell<Border>(shared: &Rc<Shared<Border>>, line: &Line)
where
    Border: Platform,
{
    loop {
        tokio::time::sleep(TICK).await;
        let names: Vec<String> = {
            let names = shared.names.borrow();
            let own = &shared.settings.name;
            names.keys().filter(|name| *name != own).cloned().collect()
        };
        shared.kept.borrow_mut().on_look(now());
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
            let addresses = shared.names.borrow();
            let mut peers = shared.peers.borrow_mut();
            let turn = peers.turn(&names).into_iter();
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

fn compose<Border>(shared: &Shared<Border>, peers: usize) -> Word {
    let board = shared.board.borrow();
    let loads = board.loads().filter(|(_, load)| load.running > 0);
    let heard = board.heard(now());
    let Parts { used, retired } = shared.peers.borrow().parts();
    let kept = shared.kept.borrow();
    let hosts = kept.hosts().map(|(host, _)| host.name.clone());
    let relayed = hosts.filter(|store| {
        let rank = shared.rank(store);
        rank.is_some_and(|rank| rank < RELAYS)
    });
    let hosts = relayed.map(|store| {
        let boot = kept.boot(&store);
        (store, boot)
    });
    Word {
        from: shared.settings.name.clone(),
        start: shared.placing.start,
        number: shared.placing.number(),
        config: shared.catalog().map_or(0, |catalog| catalog.version.0),
        proof: shared.proof.get().given(),
        operator: shared.operator.get().learned,
        warm: shared.placing.is_warm(shared),
        loads: loads
            .map(|(target, load)| (target.clone(), *load))
            .collect(),
        heard: heard.map(|(target, ago)| (target.clone(), ago)).collect(),
        late: kept.lateness(Peers::cycle(peers), now()),
        changing: shared.rollout.borrow().changing().cloned().collect(),
        changed: shared.peers.borrow().changed(),
        used,
        retired,
        reading: kept.reading(),
        hosts: hosts.collect(),
        news: shared.peers.borrow().news(),
        delays: shared.placing.desk.borrow().delays(),
        silent: shared.peers.borrow().silent(),
        leaves: false,
    }
}

async fn hear<Border>(shared: &Rc<Shared<Border>>, line: &Line)
where
    Border: Platform,
{
    let mut buffer = vec![0; packet::MOST_BYTES];
    loop {
        let Ok((length, from)) = line.socket.recv_from(&mut buffer).await else {
            // An earlier datagram met a closed port; the error says nothing of this socket.
            continue;
        };
        match packet::open(&line.secret, &buffer[..length]) {
            Ok(Message::Word(word)) => take(shared, &word),
            Ok(Message::Notice(notice)) => listing::on_notice(shared, &notice),
            Ok(Message::Fetch(number, after)) => {
                listing::on_fetch(shared, number, after.as_ref(), from);
            }
            Ok(Message::Page(page)) => listing::on_page(shared, page),
            Ok(message) => placing::on_message(shared, message, Some(from)),
            Err(problem) => log::warn!("a word from {from} is not used: {problem}"),
        }
    }
}

fn take<Border>(shared: &Shared<Border>, word: &Word) {
    let time = now();
    // Also of a word that a newer message has overtaken: what is about to be freed must not be used.
    for (store, key) in &word.retired {
        let mut kept = shared.kept.borrow_mut();
        kept.on_retired(store, std::slice::from_ref(key), time);
    }
    for (store, key) in &word.reading {
        shared.kept.borrow_mut().on_reading(store, key, time);
    }
    if !shared.peers.borrow_mut().on_word(word, time) {
        return;
    }
    let config = shared.catalog().map(|catalog| catalog.version.0);
    if let Some(given) = word.proof
        && config == Some(word.config)
    {
        let mut proof = shared.proof.get();
        proof.vouch(given, time);
        shared.proof.set(proof);
    }
    let mut board = shared.board.borrow_mut();
    for (target, ago) in &word.heard {
        board.on_heard_by_other(target, time - *ago);
    }
    for target in &word.changing {
        board.on_change(target, time);
    }
    drop(board);
    for (target, model, version) in &word.changed {
        shared.on_weights(target, &[(model.clone(), *version)]);
    }
    let mut kept = shared.kept.borrow_mut();
    for (store, late) in &word.late {
        kept.on_late(store, *late, time);
    }
    for (store, key) in &word.used {
        kept.on_used(store, key, time);
    }
    for (store, boot) in &word.hosts {
        let calls = kept.host(store).map_or(0, |host| host.calls);
        let reads = shared.rank(store);
        // An entry that follows the host itself knows better.
        if reads.is_some_and(|rank| rank < (calls / 2).max(1) as usize) {
            continue;
        }
        match boot {
            None => kept.on_down(store),
            Some(boot) => {
                let news = word.news.iter().filter(|(named, _)| named == store);
                let reports = news.map(|(_, report)| report.clone()).collect();
                kept.on_reports(store, *boot, reports, time);
            }
        }
    }
}

/// Tells all others that this entry ends and uses nothing any more.
pub(crate) fn leave<Border>(shared: &Shared<Border>) {
    let names = shared.names.borrow();
    let own = &shared.settings.name;
    let mut word = compose(shared, names.len());
    word.leaves = true;
    let message = Message::Word(word);
    for (_, peer) in names.iter().filter(|(name, _)| *name != own) {
        let to = SocketAddr::new(peer.ip, shared.settings.peer_port);
        shared.placing.send_to(&message, to);
    }
}

/// Reads the secret from the store; the first entry draws it.
async fn secret<Border>(shared: &Rc<Shared<Border>>) -> [u8; 32]
where
    Border: Platform,
{
    loop {
        match shared.border.get(SECRET).await {
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
                match shared.border.commit(&[row]).await {
                    Ok(Commit::Applied(_) | Commit::Conflict(_)) => continue,
                    Err(error) => log::warn!("the row {SECRET} cannot be written: {error}"),
                }
            }
            Err(error) => log::warn!("the row {SECRET} cannot be read: {error}"),
        }
        tokio::time::sleep(BACK_OFF).await;
    }
}
