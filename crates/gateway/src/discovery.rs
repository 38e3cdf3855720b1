//! Tells neighbours of the list of targets, and reads it from them.

use std::cell::{Cell as Value, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::discovery::{Action, HEARTBEAT, Neighbours, Notice, Page, leaders};
use fleet::roster::Member;
use tokio::sync::mpsc;
use types::{Target, Time};

use crate::adapter::Platform;
use crate::clock::now;
use crate::feed;
use crate::logging::Event;
use crate::packet::Message;
use crate::shared::Shared;

/// What an entry needs to share the list of targets with its neighbours.
#[derive(Debug, Default)]
pub(crate) struct Discovery {
    neighbours: RefCell<Neighbours>,
    /// When the store last answered this entry.
    answered: Value<Option<Time>>,
    /// The version of the store's rows that this entry has read itself.
    cursor: Value<Option<u64>>,
    pages: RefCell<Option<mpsc::UnboundedSender<Page>>>,
    fetches: Value<u64>,
}

/// What came of reading a neighbour's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fetched {
    /// It was read, with the version that it has.
    Whole(u64),
    /// The neighbour has none yet.
    NotYet,
    /// The neighbour does not answer.
    Silent,
}

/// How long a starting entry waits until it knows the others.
const COUNTED: Duration = Duration::from_millis(300);
/// How long it tries to read the list from a neighbour. All entries may start together, and those
/// that follow the store need some hundred milliseconds for a long list.
const FIRST: Duration = Duration::from_millis(900);
/// How often it tries.
const PAUSE: Duration = Duration::from_millis(20);
/// How long after its start an entry takes the others for alive that it has not heard of.
const ACQUAINT: Duration = Duration::from_millis(2500);
/// Targets in one notice; a datagram carries some more.
const MOST_LISTED: usize = 60;
/// Targets in one page.
const PAGE: usize = 60;
/// How long a neighbour may take for a page.
const PAGE_TIME: Duration = Duration::from_millis(40);
/// How often a page is asked for.
const PAGE_TRIES: u32 = 2;

impl Discovery {
    /// Returns what to do next for the list of targets.
    pub(crate) fn next<Adapter>(&self, shared: &Shared<Adapter>, cursor: Option<u64>) -> Action {
        let leads = leads(shared);
        let new = shared.dispatch.uptime() < ACQUAINT;
        self.neighbours
            .borrow_mut()
            .next_action(leads, new, cursor, now())
    }

    /// Records that the store has answered.
    pub(crate) fn on_store(&self, cursor: u64, time: Time) {
        self.answered.set(Some(time));
        self.cursor.set(Some(cursor));
    }
}

/// Says whether this entry follows the store for its neighbours.
fn leads<Adapter>(shared: &Shared<Adapter>) -> bool {
    let own = &shared.settings.name;
    let peers = shared.peers.borrow();
    let new = shared.dispatch.uptime() < ACQUAINT;
    let alive = |name: &str| name == own || new || peers.is_alive(name);
    leaders(&shared.settings.domain, &shared.hosts(), alive).contains(own)
}

/// Tells the neighbours of changes that the store has told.
pub(crate) fn publish<Adapter>(
    shared: &Shared<Adapter>,
    listed: Vec<Member>,
    unlisted: Vec<(Target, u64)>,
) {
    let listing = &shared.discovery;
    let (Some(answered), Some(cursor)) = (listing.answered.get(), listing.cursor.get()) else {
        return;
    };
    if !leads(shared) {
        return;
    }
    let time = now();
    let mut notice = Notice {
        from: shared.settings.name.clone(),
        cursor,
        staleness: time.since(answered),
        digest: shared.roster.borrow().digest(),
        store_outage: shared
            .roster
            .borrow()
            .had_store_outage(time, fleet::roster::OUTAGE_GRACE),
        updated: Vec::new(),
        removed: Vec::new(),
    };
    let mut listed = listed.into_iter().peekable();
    let mut unlisted = unlisted.into_iter().peekable();
    loop {
        notice.updated = listed.by_ref().take(MOST_LISTED).collect();
        let room = MOST_LISTED.saturating_sub(notice.updated.len());
        notice.removed = unlisted.by_ref().take(room).collect();
        tell(shared, &Message::Notice(notice.clone()));
        if listed.peek().is_none() && unlisted.peek().is_none() {
            return;
        }
    }
}

fn tell<Adapter>(shared: &Shared<Adapter>, message: &Message) {
    let own = &shared.settings.name;
    let domain = &*shared.settings.domain;
    let names = shared.registered.borrow();
    let neighbours = names
        .iter()
        .filter(|(name, peer)| *name != own && peer.domain == domain);
    for (_, peer) in neighbours {
        let to = SocketAddr::new(peer.ip, shared.settings.peer_port);
        shared.dispatch.send_to(message, to);
    }
}

/// Tells the neighbours now and then that this entry follows the store, also without changes.
pub(crate) async fn heartbeat<Adapter>(shared: Rc<Shared<Adapter>>) {
    loop {
        tokio::time::sleep(HEARTBEAT).await;
        publish(&shared, Vec::new(), Vec::new());
    }
}

/// Takes over what a neighbour tells of the list.
pub(crate) fn on_notice<Adapter>(shared: &Rc<Shared<Adapter>>, notice: &Notice)
where
    Adapter: Platform,
{
    let time = now();
    if notice.store_outage {
        shared.roster.borrow_mut().on_store_outage(time);
    }
    for member in &notice.updated {
        feed::upsert(shared, member.clone(), time);
    }
    for (target, revision) in &notice.removed {
        feed::remove(shared, target, *revision, time);
    }
    let digest = shared.roster.borrow().digest();
    let mut neighbours = shared.discovery.neighbours.borrow_mut();
    neighbours.on_notice(notice, digest, time);
    drop(neighbours);
    feed::notify_lag(shared);
}

/// Sends a part of the list to a neighbour that asks for it.
pub(crate) fn on_fetch<Adapter>(
    shared: &Shared<Adapter>,
    number: u64,
    after: Option<&Target>,
    from: SocketAddr,
) {
    let mut page = Page {
        from: shared.settings.name.clone(),
        request: number,
        ..Page::default()
    };
    // Without a list of its own, the page is empty and names no version.
    if let Some(cursor) = shared.discovery.cursor.get() {
        let roster = shared.roster.borrow();
        let listed = roster
            .iter()
            .filter(|entry| entry.suspected_since.is_none());
        let mut members: Vec<&Member> = listed
            .map(|entry| &*entry.member)
            .filter(|member| after.is_none_or(|after| member.id > *after))
            .collect();
        members.sort_by(|one, other| one.id.cmp(&other.id));
        page.cursor = cursor;
        page.has_more = members.len() > PAGE;
        members.truncate(PAGE);
        page.members = members.into_iter().cloned().collect();
    }
    shared.dispatch.send_to(&Message::Page(page), from);
}

/// Takes a part of a neighbour's list.
pub(crate) fn on_page<Adapter>(shared: &Shared<Adapter>, page: Page) {
    if let Some(pages) = &*shared.discovery.pages.borrow() {
        // Nobody waits for a page that comes too late.
        let _ = pages.send(page);
    }
}

/// Reads the list for the first time: from a neighbour that follows the store, if there is one.
/// Returns the version that it has; `None` if the store is to be asked.
pub(crate) async fn bootstrap<Adapter>(shared: &Rc<Shared<Adapter>>) -> Option<u64>
where
    Adapter: Platform,
{
    let begun = now();
    while !shared.is_counted.get() && now().since(begun) < COUNTED {
        tokio::time::sleep(PAUSE).await;
    }
    let own = &shared.settings.name;
    let names = leaders(&shared.settings.domain, &shared.hosts(), |_| true);
    if names.contains(own) {
        return None;
    }
    while now().since(begun) < FIRST {
        let mut silent = 0;
        for name in &names {
            match fetch(shared, name).await {
                Fetched::Whole(cursor) => return Some(cursor),
                // It has just started as well and reads the store.
                Fetched::NotYet => {}
                Fetched::Silent => silent += 1,
            }
        }
        if silent == names.len() {
            return None;
        }
        tokio::time::sleep(PAUSE).await;
    }
    None
}

/// Reads the whole list from a neighbour.
pub(crate) async fn fetch<Adapter>(shared: &Rc<Shared<Adapter>>, neighbour: &str) -> Fetched
where
    Adapter: Platform,
{
    let read = read(shared, neighbour).await;
    *shared.discovery.pages.borrow_mut() = None;
    let (word, fetched, members) = match read {
        Some((members, 0)) => ("not_yet", Fetched::NotYet, members),
        Some((members, cursor)) => ("whole", Fetched::Whole(cursor), members),
        None => ("silent", Fetched::Silent, Vec::new()),
    };
    Event::new("list_read")
        .with("from", neighbour)
        .with("outcome", word)
        .with("targets", members.len())
        .info();
    let mut neighbours = shared.discovery.neighbours.borrow_mut();
    let Fetched::Whole(cursor) = fetched else {
        neighbours.on_fetch_failed(neighbour.to_owned(), now());
        return fetched;
    };
    neighbours.on_fetched();
    drop(neighbours);
    let mut roster = shared.roster.borrow_mut();
    roster.replace(members, cursor, now());
    drop(roster);
    feed::notify_lag(shared);
    fetched
}

async fn read<Adapter>(shared: &Shared<Adapter>, neighbour: &str) -> Option<(Vec<Member>, u64)> {
    let listing = &shared.discovery;
    let ip = shared
        .registered
        .borrow()
        .get(neighbour)
        .map(|peer| peer.ip)?;
    let to = SocketAddr::new(ip, shared.settings.peer_port);
    let (sender, mut pages) = mpsc::unbounded_channel();
    *listing.pages.borrow_mut() = Some(sender);
    let mut members: Vec<Member> = Vec::new();
    let mut oldest = u64::MAX;
    loop {
        listing.fetches.set(listing.fetches.get() + 1);
        let number = listing.fetches.get();
        let after = members.last().map(|member| member.id.clone());
        let fetch = Message::Fetch(number, after);
        let page = ask(shared, &fetch, number, to, &mut pages).await?;
        // Changes after the first page are told by notices.
        oldest = oldest.min(page.cursor);
        members.extend(page.members);
        if !page.has_more {
            return Some((members, oldest));
        }
    }
}

async fn ask<Adapter>(
    shared: &Shared<Adapter>,
    fetch: &Message,
    number: u64,
    to: SocketAddr,
    pages: &mut mpsc::UnboundedReceiver<Page>,
) -> Option<Page> {
    for _ in 0..PAGE_TRIES {
        shared.dispatch.send_to(fetch, to);
        let answer = async {
            loop {
                let page = pages.recv().await?;
                if page.request == number {
                    return Some(page);
                }
            }
        };
        if let Ok(page) = tokio::time::timeout(PAGE_TIME, answer).await {
            return page;
        }
    }
    None
}
