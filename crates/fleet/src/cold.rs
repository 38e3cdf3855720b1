//! Division of the request budget of cold targets among the entries that dispatch to them.
//!
//! Load pattern: many entries, and many targets that restart at once. A cold target tolerates a few
//! requests per second from all entries together. With more entries than that, the fixed share of
//! an entry ([`crate::quota::Ramp`]) is less than one request, and restarted targets would get no
//! request at all. The budget is then divided among the first entries of an order that depends
//! only on the registered entries, not on which of them are believed to be alive; they spend it in
//! the grants that they make as dispatchers. See `docs/design/cold-start.md`.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use types::{Domain, Service, Target, Time};

use crate::cell::{Cell, Node};
use crate::dispatcher::Id;

/// The fractions of the budget that the first entries of the order get. The rest is a reserve for
/// requests of entries that do not know yet that the target is cold.
const FRACTIONS: [f64; 2] = [0.6, 0.2];
/// How long after it was read a list of the registered entries is used. It is longer than the
/// interval between two reads.
pub const LIST_TTL: Duration = Duration::from_secs(8);
/// How long after the placement request was sent the entry may use a cold grant. It is longer than
/// the interval at which queued requests are renewed.
pub const GRANT_TTL: Duration = Duration::from_millis(250);
/// The delay between the check of a grant's age and the arrival of the request at the network, on a
/// host with a small CPU share.
const SEND_DELAY: Duration = Duration::from_millis(100);
/// The window over which grants for a target are counted: the second of the limit, and the time
/// that may pass between a grant and its use.
pub const WINDOW: Duration = Duration::from_millis(1000)
    .saturating_add(GRANT_TTL)
    .saturating_add(SEND_DELAY);
/// How long an entry must have had its position in the order before it uses it: by then, all lists
/// of other entries in which it had another one are out of use, and so are their grants.
const HOLD: Duration = LIST_TTL.saturating_add(WINDOW);

/// The budgets of cold targets, as an entry sees them.
#[derive(Debug)]
pub struct Ledger {
    /// The name of this entry.
    own: Box<str>,
    /// When the process started.
    started: Time,
    /// The newest list of registered entries, and older ones that other entries may still use;
    /// `None` stands for a time without a list.
    lists: VecDeque<List>,
    /// When the newest list was requested.
    requested: Time,
    /// How often the table store had been restored then.
    era: u64,
    /// Whether the lists have been complete for [`HOLD`] at any time.
    has_settled: bool,
    /// The lowest position of this entry in any of the lists, by service and failure domain.
    positions: HashMap<(Service, Domain), Option<usize>>,
    grants: HashMap<Target, VecDeque<Grant>>,
    /// The requests to which each cold target has been offered in the current placement.
    offered: HashMap<Target, BTreeSet<Id>>,
    stats: Stats,
}

/// What happened to cold targets since the last time that this was asked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Grants for cold targets.
    pub granted: u32,
    /// How often a cold target was not offered because its budget was spent.
    pub withheld: u32,
}

#[derive(Debug)]
struct List {
    /// The registered entries, also those whose rows were lost in a restoration of the table store.
    nodes: Option<Vec<Node>>,
    /// The number of rows in the table store.
    rows: usize,
    received: Time,
}

#[derive(Debug)]
struct Grant {
    id: Id,
    at: Time,
    /// Whether the target was known to be cold and the grant was within its budget.
    within_budget: bool,
}

impl Ledger {
    /// Creates the ledger of an entry whose process starts now.
    #[must_use]
    pub fn new(own: &str, now: Time) -> Self {
        Self {
            own: own.into(),
            started: now,
            lists: VecDeque::from([List {
                nodes: None,
                rows: 0,
                received: now,
            }]),
            requested: now,
            era: 0,
            has_settled: false,
            positions: HashMap::new(),
            grants: HashMap::new(),
            offered: HashMap::new(),
            stats: Stats::default(),
        }
    }

    /// Records a list of the registered entries that was requested at `requested`, with the number
    /// of rows in the table store and its era. The list is `None` if the store does
    /// not contain the registration of this entry.
    pub fn on_list(
        &mut self,
        nodes: Option<Vec<Node>>,
        rows: usize,
        era: u64,
        requested: Time,
        now: Time,
    ) {
        // Other entries may have taken the place of this one if it has read no list for long, or
        // if they have read what was restored before this one has.
        if now.since(self.requested) >= LIST_TTL || era != self.era {
            self.push(None, 0, now);
        }
        self.requested = requested;
        self.era = era;
        self.push(nodes, rows, now);
        self.prune(now);
    }

    fn push(&mut self, nodes: Option<Vec<Node>>, rows: usize, now: Time) {
        let last = self.lists.back();
        if last.is_some_and(|list| list.nodes == nodes && list.rows == rows) {
            return;
        }
        self.positions.clear();
        self.lists.push_back(List {
            nodes,
            rows,
            received: now,
        });
    }

    /// Drops the lists that no other entry may use any longer.
    fn prune(&mut self, now: Time) {
        while let Some(successor) = self.lists.get(1) {
            if now < successor.received + HOLD {
                break;
            }
            self.lists.pop_front();
            self.positions.clear();
        }
        self.has_settled |= self.is_complete();
    }

    fn is_complete(&self) -> bool {
        self.lists.iter().all(|list| list.nodes.is_some())
    }

    /// Returns whether the list of entries is recent and has been complete for so long that all
    /// entries know each other.
    #[must_use]
    pub fn is_settled(&mut self, now: Time) -> bool {
        self.prune(now);
        self.is_recent(now) && self.is_complete()
    }

    fn is_recent(&self, now: Time) -> bool {
        now.since(self.requested) < LIST_TTL
    }

    /// Returns whether this entry may use a fixed share of a budget for `entries` entries.
    ///
    /// A process that has just started does not know what it sent before. Rows may be missing in a
    /// list that was read before the own registration or, by a process that has started since, in
    /// one that was read after a restoration of the table store. Entries that are not in the list
    /// may have made the fixed share vanish.
    #[must_use]
    pub fn trusts_count(&mut self, limit: f64, entries: usize, now: Time) -> bool {
        let is_settled = self.is_settled(now);
        let is_restored = self.era != 0;
        let is_registered = self.lists.back().is_some_and(|list| list.nodes.is_some());
        let is_complete = is_registered && (!is_restored || self.has_settled);
        let may_vanish = (limit / (2 * entries).max(1) as f64) < 1.0;
        let is_current = match is_restored {
            true => is_settled,
            false => self.is_recent(now),
        };
        now.since(self.started) >= WINDOW && is_complete && (is_current || !may_vanish)
    }

    /// Returns how many requests in a [`WINDOW`] this entry may grant for each cold target of a
    /// service in a failure domain.
    ///
    /// The order does not depend on the shards of the domain, because entries with different
    /// target lists may divide it differently.
    #[must_use]
    pub fn share(&mut self, service: &Service, domain: &Domain, limit: f64, now: Time) -> usize {
        if !self.is_settled(now) || self.has_fixed_share(limit) {
            return 0;
        }
        let lists = &self.lists;
        let key = (service.clone(), domain.clone());
        let position = *self.positions.entry(key).or_insert_with(|| {
            let cell = Cell {
                service: service.clone(),
                domain: Some(domain.clone()),
                shard: 0,
                shards: 1,
            };
            lowest_position(lists, &cell, &self.own)
        });
        let fraction = position.and_then(|position| FRACTIONS.get(position));
        fraction.map_or(0, |fraction| (limit * fraction).floor() as usize)
    }

    /// Returns whether entries may have a fixed share by any of the lists. An entry that has started
    /// after a restoration of the table store knows only the rows that are there.
    fn has_fixed_share(&self, limit: f64) -> bool {
        let mut lists = self.lists.iter();
        lists.any(|list| limit / list.rows.max(1) as f64 >= 1.0)
    }

    /// Returns whether a cold target may be offered to a request, if this entry may grant `share`
    /// requests in a window. A dispatcher may place several requests before it reports its grants,
    /// so each request to which the target was offered meanwhile counts as granted.
    pub fn offer(&mut self, target: &Target, request: &Id, share: usize, now: Time) -> bool {
        let granted = self.grants.get_mut(target).map_or(0, |grants| {
            drop_expired(grants, now);
            grants.len()
        });
        let offered = self.offered.get(target);
        let is_repeated = offered.is_some_and(|requests| requests.contains(request));
        if is_repeated {
            return true;
        }
        if granted + offered.map_or(0, BTreeSet::len) >= share {
            self.stats.withheld += u32::from(share > 0);
            return false;
        }
        let offered = self.offered.entry(target.clone()).or_default();
        offered.insert(request.clone());
        true
    }

    /// Records grants of this entry as a dispatcher. All grants are recorded because a target may
    /// become cold at any time; `within_budget` is whether the target was known to be cold and was
    /// offered by [`Self::offer`].
    pub fn on_granted(&mut self, target: &Target, id: &Id, within_budget: bool, now: Time) {
        self.stats.granted += u32::from(within_budget);
        let grants = self.grants.entry(target.clone()).or_default();
        drop_expired(grants, now);
        grants.push_back(Grant {
            id: id.clone(),
            at: now,
            within_budget,
        });
    }

    /// Begins a placement; the grants of the last one have been recorded.
    pub fn begin_placement(&mut self) {
        self.offered.clear();
    }

    /// Returns whether a grant was within the budget of a cold target.
    #[must_use]
    pub fn is_within_budget(&self, target: &Target, id: &Id) -> bool {
        let grants = self.grants.get(target);
        let mut grants = grants.into_iter().flatten();
        grants.any(|grant| grant.id == *id && grant.within_budget)
    }

    /// Returns and resets the statistics.
    pub fn take_stats(&mut self) -> Stats {
        std::mem::take(&mut self.stats)
    }

    /// Drops the state of targets that no longer exist. One that comes back under the same name
    /// within the window keeps its grants.
    pub fn retain(&mut self, known: impl Fn(&Target) -> bool, now: Time) {
        self.grants.retain(|target, grants| {
            drop_expired(grants, now);
            !grants.is_empty() || known(target)
        });
    }
}

/// Returns the lowest position of an entry in any of the lists; `None` if one does not contain it.
fn lowest_position(lists: &VecDeque<List>, cell: &Cell, own: &str) -> Option<usize> {
    let mut lowest = 0;
    for list in lists {
        let order = cell.dispatchers(list.nodes.as_ref()?);
        lowest = lowest.max(order.iter().position(|name| name == own)?);
    }
    Some(lowest)
}

fn drop_expired(grants: &mut VecDeque<Grant>, now: Time) {
    while grants
        .front()
        .is_some_and(|grant| now.since(grant.at) >= WINDOW)
    {
        grants.pop_front();
    }
}

/// When a placement request was sent, and how far it had been answered.
///
/// A grant for a cold target may be used only for a short time after it was made. The entry does not
/// know that moment, but that it is later than when it sent the messages which the dispatcher had
/// already answered without a grant.
#[derive(Debug)]
pub struct Timing {
    /// When the messages were sent that may have led to a grant, the oldest first.
    sent: VecDeque<Time>,
    is_queued: bool,
}

impl Timing {
    /// Starts an exchange with a first message.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            sent: VecDeque::from([now]),
            is_queued: false,
        }
    }

    /// Records that the request was sent again.
    pub fn on_sent(&mut self, now: Time) {
        self.sent.push_back(now);
    }

    /// Records the reply that the request is queued. The dispatcher sends at most one such reply for
    /// each message, so the number of replies is the least number of messages that have arrived.
    pub fn on_queued(&mut self) {
        if self.is_queued && self.sent.len() > 1 {
            self.sent.pop_front();
        }
        self.is_queued = true;
    }

    /// Returns until when a cold grant may be used.
    #[must_use]
    pub fn deadline(&self) -> Option<Time> {
        self.sent.front().map(|sent| *sent + GRANT_TTL)
    }
}
