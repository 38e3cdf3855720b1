//! Discovery of targets: how the target list reaches an entry, from the platform's table store or
//! from a neighbour (a peer entry of the same failure domain) that polls the table store.
//!
//! If every entry read the whole list at its start and each change from the table store, the load
//! there would grow with the number of entries. Instead, a few leaders in each failure domain poll
//! it and send the changes to their neighbours; an entry without an up-to-date neighbour polls the
//! table store itself. See `docs/platform.md`.

use std::collections::HashMap;
use std::time::Duration;

use types::{Domain, Target, Time};

use crate::cell::{Node, rendezvous};
use crate::roster::Member;

/// A neighbour's notice about its list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Notice {
    /// The neighbour.
    pub from: String,
    /// The version of the table store's rows that the neighbour has read.
    pub cursor: u64,
    /// The time since the table store last replied to the neighbour.
    pub staleness: Duration,
    /// The digest of the neighbour's list after the changes below.
    pub digest: u64,
    /// Whether the table store was recently unavailable, so that targets may be missing from the
    /// list by mistake.
    pub store_outage: bool,
    /// Added or changed targets.
    pub updated: Vec<Member>,
    /// Removed targets, with the versions of their rows.
    pub removed: Vec<(Target, u64)>,
}

/// One page of a neighbour's list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Page {
    /// The neighbour.
    pub from: String,
    /// The number of the request that the page answers.
    pub request: u64,
    /// The version of the table store's rows that the neighbour has read.
    pub cursor: u64,
    /// Targets, ordered by name.
    pub members: Vec<Member>,
    /// Whether more pages follow.
    pub has_more: bool,
}

/// What an entry does next to update its target list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Poll the table store: for changes after this version, or for the whole list if there is
    /// none.
    PollStore(Option<u64>),
    /// Read the whole list from this neighbour.
    Fetch(String),
    /// Nothing; a neighbour sends the changes.
    Idle,
}

/// How old the list of an entry may become, derived from the time after which a target that leaves
/// must get no more requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum age of the table store's last reply to a neighbour. From then on an entry polls
    /// the table store itself.
    pub max_staleness: Duration,
    /// The maximum time for which the table store holds the call of a leader with followers.
    pub max_wait: Duration,
}

/// The state of the neighbours' lists.
#[derive(Debug)]
pub struct Neighbours {
    limits: Limits,
    last_notices: HashMap<String, LastNotice>,
    /// Since when the own list has differed from those of all up-to-date neighbours.
    differs_since: Option<Time>,
    /// The version at which the own list was last identical to that of a neighbour.
    synced_cursor: u64,
    /// The neighbour whose list could not be read, and until when it is not asked again.
    failed: Option<(String, Time)>,
}

#[derive(Debug, Clone, Copy)]
struct LastNotice {
    received_at: Time,
    /// When the table store last replied to the neighbour.
    store_replied_at: Time,
    cursor: u64,
    digest: u64,
}

/// Number of leaders per failure domain; the second one takes over if the first fails.
pub const MAX_LEADERS: usize = 2;
/// Interval at which a leader sends notices to its neighbours, even without changes.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// How long a neighbour counts as alive after its last notice; two heartbeats may be lost.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_millis(1600);
/// The share of the drain limit up to which the list may be outdated. The rest is for the interval
/// at which this is checked, a call to the table store, and the way of a request to its target.
const STALENESS_SHARE: f64 = 0.55;
/// How much earlier than that a leader without changes calls the table store again.
const RENEWAL_MARGIN: Duration = Duration::from_millis(250);
/// The minimum time for which a call is held, whatever the limit; shorter calls cost too much.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// How long two lists may differ, since notices arrive at different times.
const DIVERGENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a neighbour whose list could not be read is not asked again.
const FETCH_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Returns the leaders of a failure domain: the entries that poll the table store for it.
#[must_use]
pub fn leaders(domain: &Domain, nodes: &[Node], alive: impl Fn(&str) -> bool) -> Vec<String> {
    let neighbours: Vec<Node> = nodes
        .iter()
        .filter(|node| node.domain == *domain)
        .cloned()
        .collect();
    let mut names = rendezvous(&[b"list", domain.as_bytes()], Some(domain), &neighbours);
    names.retain(|name| alive(name));
    names.truncate(MAX_LEADERS);
    names
}

impl Limits {
    /// Returns the limits for a bound on the time after which a target that leaves gets no requests.
    #[must_use]
    pub fn new(drain_limit: Duration) -> Self {
        let max_staleness = drain_limit.mul_f64(STALENESS_SHARE);
        Self {
            max_staleness,
            max_wait: max_staleness.saturating_sub(RENEWAL_MARGIN).max(MIN_WAIT),
        }
    }
}

impl Neighbours {
    /// Makes the state of an entry that has received no notice yet.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            last_notices: HashMap::new(),
            differs_since: None,
            synced_cursor: 0,
            failed: None,
        }
    }

    /// Records a notice of a neighbour; `digest` is that of the own list after the notice's
    /// changes.
    pub fn on_notice(&mut self, notice: &Notice, digest: u64, now: Time) {
        let last = LastNotice {
            received_at: now,
            store_replied_at: now - notice.staleness,
            cursor: notice.cursor,
            digest: notice.digest,
        };
        self.last_notices.insert(notice.from.clone(), last);
        let same = self
            .up_to_date(now)
            .filter(|(_, last)| last.digest == digest);
        let same = same.map(|(_, last)| last.cursor).max();
        self.synced_cursor = self.synced_cursor.max(same.unwrap_or(0));
        self.differs_since = match same {
            Some(_) => None,
            None => self.differs_since.or(Some(now)),
        };
    }

    /// Records that a neighbour's list was read.
    pub fn on_fetched(&mut self) {
        self.differs_since = None;
    }

    /// Records that a neighbour's list could not be read.
    pub fn on_fetch_failed(&mut self, name: String, now: Time) {
        self.failed = Some((name, now + FETCH_RETRY_DELAY));
    }

    /// Returns what to do next. `is_leader` tells whether this entry is a leader, `cursor` is the
    /// version of the list that it has read, and `is_starting` tells whether it has just started
    /// and may not have received notices yet.
    pub fn next_action(
        &mut self,
        is_leader: bool,
        is_starting: bool,
        cursor: Option<u64>,
        now: Time,
    ) -> Action {
        self.last_notices
            .retain(|_, last| now.since(last.received_at) < NEIGHBOUR_TIMEOUT);
        // Ask for the changes since the last version at which the list was known to be identical.
        let known = cursor.map(|cursor| cursor.max(self.synced_cursor));
        if is_leader {
            return Action::PollStore(known);
        }
        let failed = self.failed.as_ref().filter(|(_, until)| now < *until);
        let failed = failed.map(|(name, _)| name.as_str());
        let up_to_date: Vec<&str> = self.up_to_date(now).map(|(name, _)| name).collect();
        let Some(neighbour) = up_to_date.iter().find(|name| Some(**name) != failed) else {
            let can_wait = is_starting || !up_to_date.is_empty();
            return match can_wait && cursor.is_some() {
                true => Action::Idle,
                false => Action::PollStore(known),
            };
        };
        let diverged = self
            .differs_since
            .is_some_and(|since| now.since(since) >= DIVERGENCE_TIMEOUT);
        match cursor.is_none() || diverged {
            true => Action::Fetch((*neighbour).to_owned()),
            false => Action::Idle,
        }
    }

    /// Returns when the table store last replied to an up-to-date neighbour.
    #[must_use]
    pub fn confirmed_at(&self, now: Time) -> Option<Time> {
        let replies = self.up_to_date(now).map(|(_, last)| last.store_replied_at);
        replies.max()
    }

    fn up_to_date(&self, now: Time) -> impl Iterator<Item = (&str, &LastNotice)> {
        let up_to_date = self.last_notices.iter().filter(move |(_, last)| {
            now.since(last.received_at) < NEIGHBOUR_TIMEOUT
                && now.since(last.store_replied_at) < self.limits.max_staleness
        });
        up_to_date.map(|(name, last)| (name.as_str(), last))
    }
}
