//! Exchanges the list of targets with neighbours, that is with the entries of the same failure
//! domain.

use std::cell::{Cell as Value, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::discovery::{Action, HEARTBEAT, Limits, MAX_LEADERS, Neighbours, Notice, Page, leaders};
use fleet::roster::Member;
use tokio::sync::mpsc;
use types::{Target, Time};

use crate::adapter::Platform;
use crate::clock::now;
use crate::feed;
use crate::logging::Event;
use crate::packet::Message;
use crate::shared::Shared;

/// The state of discovering targets through the table store and through neighbours.
#[derive(Debug)]
pub(crate) struct Discovery {
    limits: Limits,
    neighbours: RefCell<Neighbours>,
    /// When the table store last replied to this entry.
    replied_at: Value<Option<Time>>,
    /// The cursor up to which this entry has read the list from the table store.
    cursor: Value<Option<u64>>,
    /// Receives the pages of the fetch in progress.
    pages: RefCell<Option<mpsc::UnboundedSender<Page>>>,
    /// The number of page requests so far; it identifies the newest one.
    page_requests: Value<u64>,
}

/// The outcome of fetching the list from a neighbour.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fetched {
    /// The list was read; it has this cursor.
    Complete(u64),
    /// The neighbour has no list yet.
    NotYet,
    /// The neighbour did not reply in time.
    Timeout,
}

/// How long a starting entry waits until it has read the list of entries.
const ENTRIES_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a starting entry tries to fetch the list from a neighbour. All entries may start
/// together, and the leaders need some hundred milliseconds to read a long list from the store.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(900);
/// The interval between these attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long after its start an entry presumes that the others are alive, although it may not have
/// received anything from them yet.
const STARTUP_GRACE: Duration = Duration::from_millis(2500);
/// The maximum time for which the table store holds a call while nothing changes.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// The maximum number of targets in one notice; a datagram has room for a few more.
const MAX_CHANGES: usize = 60;
/// The maximum number of targets in one page.
const PAGE_LEN: usize = 60;
/// The timeout for a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(40);
/// The maximum number of times that a page is requested.
const MAX_PAGE_ATTEMPTS: u32 = 2;

impl Discovery {
    pub(crate) fn new(drain_limit: Duration) -> Self {
        let limits = Limits::new(drain_limit);
        Self {
            limits,
            neighbours: RefCell::new(Neighbours::new(limits)),
            replied_at: Value::default(),
            cursor: Value::default(),
            pages: RefCell::default(),
            page_requests: Value::default(),
        }
    }

    /// Returns how long the table store may hold a call for the list. Entries without a call of
    /// their own rely on the age of the last reply to a leader.
    pub(crate) fn wait<Adapter>(&self, shared: &Shared<Adapter>) -> Duration {
        match has_followers(shared) {
            true => self.limits.max_wait.min(MAX_WAIT),
            false => MAX_WAIT,
        }
    }

    /// Returns the next action to keep the list of targets up to date.
    pub(crate) fn next<Adapter>(&self, shared: &Shared<Adapter>, cursor: Option<u64>) -> Action {
        let is_leader = is_leader(shared);
        let is_starting = shared.dispatch.uptime() < STARTUP_GRACE;
        self.neighbours
            .borrow_mut()
            .next_action(is_leader, is_starting, cursor, now())
    }

    /// Returns when the table store last confirmed the list, to this entry or a neighbour.
    pub(crate) fn confirmed_at(&self, now: Time) -> Option<Time> {
        let neighbours = self.neighbours.borrow();
        self.replied_at.get().max(neighbours.confirmed_at(now))
    }

    /// Records a reply of the table store.
    pub(crate) fn on_store(&self, cursor: u64, time: Time) {
        self.replied_at.set(Some(time));
        self.cursor.set(Some(cursor));
    }
}

/// Returns whether live entries of the failure domain are not leaders.
fn has_followers<Adapter>(shared: &Shared<Adapter>) -> bool {
    let peers = shared.peers.borrow();
    let own = &shared.settings.name;
    let hosts = shared.hosts();
    let neighbours = hosts.iter().filter(|host| {
        host.domain == shared.settings.domain && (host.name == *own || peers.is_alive(&host.name))
    });
    neighbours.count() > MAX_LEADERS
}

/// Returns whether this entry is a leader, which watches the table store for its neighbours.
pub(crate) fn is_leader<Adapter>(shared: &Shared<Adapter>) -> bool {
    let own = &shared.settings.name;
    let peers = shared.peers.borrow();
    let is_starting = shared.dispatch.uptime() < STARTUP_GRACE;
    let alive = |name: &str| name == own || is_starting || peers.is_alive(name);
    leaders(&shared.settings.domain, &shared.hosts(), alive).contains(own)
}

/// Sends changes that were read from the table store to the neighbours.
pub(crate) fn publish<Adapter>(
    shared: &Shared<Adapter>,
    updated: Vec<Member>,
    removed: Vec<(Target, u64)>,
) {
    let discovery = &shared.discovery;
    let (Some(replied_at), Some(cursor)) = (discovery.replied_at.get(), discovery.cursor.get())
    else {
        return;
    };
    if !is_leader(shared) {
        return;
    }
    let time = now();
    let mut notice = Notice {
        from: shared.settings.name.clone(),
        cursor,
        staleness: time.since(replied_at),
        digest: shared.roster.borrow().digest(),
        store_outage: shared.roster.borrow().tells_outage(time),
        updated: Vec::new(),
        removed: Vec::new(),
    };
    let mut updated = updated.into_iter().peekable();
    let mut removed = removed.into_iter().peekable();
    loop {
        notice.updated = updated.by_ref().take(MAX_CHANGES).collect();
        let remaining = MAX_CHANGES.saturating_sub(notice.updated.len());
        notice.removed = removed.by_ref().take(remaining).collect();
        send_to_neighbours(shared, &Message::Notice(notice.clone()));
        if updated.peek().is_none() && removed.peek().is_none() {
            return;
        }
    }
}

fn send_to_neighbours<Adapter>(shared: &Shared<Adapter>, message: &Message) {
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

/// Periodically tells the neighbours that this entry watches the table store, also without changes.
pub(crate) async fn heartbeat<Adapter>(shared: Rc<Shared<Adapter>>) {
    loop {
        tokio::time::sleep(HEARTBEAT).await;
        publish(&shared, Vec::new(), Vec::new());
    }
}

/// Applies the changes that a neighbour has sent.
pub(crate) fn on_notice<Adapter>(shared: &Rc<Shared<Adapter>>, notice: &Notice)
where
    Adapter: Platform,
{
    let time = now();
    if notice.store_outage {
        shared.roster.borrow_mut().on_neighbour_outage(time);
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

/// Sends a page of the list to a neighbour that has requested it.
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
    // If this entry has not read the list from the store, the page is empty and its cursor is 0.
    if let Some(cursor) = shared.discovery.cursor.get() {
        let roster = shared.roster.borrow();
        let listed = roster
            .iter()
            .filter(|record| record.suspected_since.is_none());
        let mut members: Vec<&Member> = listed
            .map(|record| &*record.member)
            .filter(|member| after.is_none_or(|after| member.id > *after))
            .collect();
        members.sort_by(|one, other| one.id.cmp(&other.id));
        page.cursor = cursor;
        page.has_more = members.len() > PAGE_LEN;
        members.truncate(PAGE_LEN);
        page.members = members.into_iter().cloned().collect();
    }
    shared.dispatch.send_to(&Message::Page(page), from);
}

/// Passes a page to the fetch in progress.
pub(crate) fn on_page<Adapter>(shared: &Shared<Adapter>, page: Page) {
    if let Some(pages) = &*shared.discovery.pages.borrow() {
        // Sending fails if the fetch has ended meanwhile; the page is then dropped.
        let _ = pages.send(page);
    }
}

/// Fetches the list from a leader at the start of the process, if there is one.
///
/// Returns the cursor of the list, or `None` if the list has to be read from the store.
pub(crate) async fn bootstrap<Adapter>(shared: &Rc<Shared<Adapter>>) -> Option<u64>
where
    Adapter: Platform,
{
    let started = now();
    while !shared.is_counted.get() && now().since(started) < ENTRIES_TIMEOUT {
        tokio::time::sleep(RETRY_DELAY).await;
    }
    let own = &shared.settings.name;
    let names = leaders(&shared.settings.domain, &shared.hosts(), |_| true);
    if names.contains(own) {
        return None;
    }
    while now().since(started) < BOOTSTRAP_TIMEOUT {
        let mut timeouts = 0;
        for name in &names {
            match fetch(shared, name).await {
                Fetched::Complete(cursor) => return Some(cursor),
                // The leader has just started as well and is reading the store.
                Fetched::NotYet => {}
                Fetched::Timeout => timeouts += 1,
            }
        }
        if timeouts == names.len() {
            return None;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    None
}

/// Fetches the whole list from a neighbour, and adopts it.
pub(crate) async fn fetch<Adapter>(shared: &Rc<Shared<Adapter>>, neighbour: &str) -> Fetched
where
    Adapter: Platform,
{
    let list = fetch_all(shared, neighbour).await;
    *shared.discovery.pages.borrow_mut() = None;
    let (outcome, fetched, members) = match list {
        Some((members, 0)) => ("not_yet", Fetched::NotYet, members),
        Some((members, cursor)) => ("whole", Fetched::Complete(cursor), members),
        None => ("silent", Fetched::Timeout, Vec::new()),
    };
    Event::new("list_read")
        .with("from", neighbour)
        .with("outcome", outcome)
        .with("targets", members.len())
        .info();
    let mut neighbours = shared.discovery.neighbours.borrow_mut();
    let Fetched::Complete(cursor) = fetched else {
        neighbours.on_fetch_failed(neighbour.to_owned(), now());
        return fetched;
    };
    neighbours.on_fetched();
    drop(neighbours);
    let mut roster = shared.roster.borrow_mut();
    roster.adopt(members, cursor, now());
    drop(roster);
    feed::notify_lag(shared);
    fetched
}

async fn fetch_all<Adapter>(
    shared: &Shared<Adapter>,
    neighbour: &str,
) -> Option<(Vec<Member>, u64)> {
    let discovery = &shared.discovery;
    let ip = shared
        .registered
        .borrow()
        .get(neighbour)
        .map(|peer| peer.ip)?;
    let to = SocketAddr::new(ip, shared.settings.peer_port);
    let (sender, mut pages) = mpsc::unbounded_channel();
    *discovery.pages.borrow_mut() = Some(sender);
    let mut members: Vec<Member> = Vec::new();
    let mut oldest = u64::MAX;
    loop {
        discovery
            .page_requests
            .set(discovery.page_requests.get() + 1);
        let number = discovery.page_requests.get();
        let after = members.last().map(|member| member.id.clone());
        let fetch = Message::Fetch(number, after);
        let page = fetch_page(shared, &fetch, number, to, &mut pages).await?;
        // Pages may have different cursors; changes made since the first one arrive as notices.
        oldest = oldest.min(page.cursor);
        members.extend(page.members);
        if !page.has_more {
            return Some((members, oldest));
        }
    }
}

async fn fetch_page<Adapter>(
    shared: &Shared<Adapter>,
    fetch: &Message,
    number: u64,
    to: SocketAddr,
    pages: &mut mpsc::UnboundedReceiver<Page>,
) -> Option<Page> {
    for _ in 0..MAX_PAGE_ATTEMPTS {
        shared.dispatch.send_to(fetch, to);
        let reply = async {
            loop {
                let page = pages.recv().await?;
                if page.request == number {
                    return Some(page);
                }
            }
        };
        if let Ok(page) = tokio::time::timeout(PAGE_TIMEOUT, reply).await {
            return page;
        }
    }
    None
}
