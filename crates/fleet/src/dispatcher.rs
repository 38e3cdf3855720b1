//! Dispatcher: places the requests of all entries on the targets of a cell.
//!
//! Deciding in one place avoids conflicting decisions of many entries: which target is free now,
//! which request is next when none is, and which requests cannot be served in time. The reply names
//! the target; the entry that sent the placement request contacts the target itself.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use types::{Domain, Model, Target, Team, Time};

use crate::cell::Cell;
use crate::placement::{Candidate, Load, best};
use crate::prefill::Rate;
use crate::queue::{Decision, Queues, Ticket};

/// The identifier of a placement request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id {
    /// The entry that sent it.
    pub sender: Arc<str>,
    /// Drawn at random at each start of that entry.
    pub incarnation: u64,
    /// Sequence number within that start.
    pub sequence: u64,
}

/// The properties of a prompt that decide about its placement.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Demand {
    /// The model, if the request names one.
    pub model: Option<Model>,
    /// The team, if it shares no cached segments with others.
    pub team: Option<Team>,
    /// The segments that other requests may share, each with its number of tokens.
    pub segments: Vec<(Arc<str>, u64)>,
    /// Number of tokens that no other request shares.
    pub unique_tokens: u64,
    /// KV memory that the request takes at its target, in tokens.
    pub kv_tokens: u64,
    /// Targets that must not be chosen.
    pub excluded: Vec<Target>,
    /// Failure domains that the entry cannot reach.
    pub unreachable: Vec<Domain>,
}

/// A request for placement on a target of a cell.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Identifies the request; a request with the same identifier is a retransmission.
    pub id: Id,
    /// The cell whose dispatcher is addressed.
    pub cell: Cell,
    /// Scheduling rank; 0 is the most urgent.
    pub rank: u8,
    /// Maximum time in the queue.
    pub max_wait: Duration,
    /// Whether to queue the request if no target is free; otherwise the entry tries another cell.
    pub queue: bool,
    /// The properties of the prompt.
    pub demand: Demand,
}

/// A target of the cell as an option for one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// The target.
    pub target: Target,
    /// State of the target. The load is the one that entries have reported, without grants made
    /// since.
    pub candidate: Candidate,
    /// Which of the shared segments are resident in the target's own memory.
    pub resident: Vec<bool>,
}

/// The reply to a placement request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The request is granted this target, which has the flagged segments resident.
    Granted(Target, Vec<bool>),
    /// The request is queued; another reply follows.
    Queued,
    /// No target is free now; one is expected after this time.
    Busy(Duration),
    /// The request cannot be served in time. Its caller may retry after this time.
    Refused(Duration),
    /// This entry is not the dispatcher of the cell, or is about to shut down.
    NotDispatcher,
}

/// The grants and queues of a dispatcher.
#[derive(Debug, Default)]
pub struct Dispatcher {
    lobby: Queues<Cell>,
    waiting: BTreeMap<(Cell, Ticket), Waiting>,
    /// The queue position of each waiting request.
    tickets: HashMap<Id, (Cell, Ticket)>,
    /// Grants that are not yet part of the reported loads.
    given: HashMap<Id, Given>,
    spots: HashMap<Target, Spot>,
    pace: Rate,
}

#[derive(Debug)]
struct Waiting {
    ask: Request,
    since: Time,
    /// When the entry last renewed the request.
    renewed: Time,
}

#[derive(Debug)]
struct Given {
    target: Target,
    local: Vec<bool>,
    load: Load,
    at: Time,
    /// Whether the entry has since acknowledged the grant.
    told: bool,
}

/// The state of a cell as its dispatcher sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stats {
    /// Targets that may get the request.
    pub targets: usize,
    /// Targets without a free slot or memory for the request.
    pub full: usize,
    /// Targets whose prefill backlog is short enough for another prompt.
    pub free: usize,
    /// Requests in flight at these targets.
    pub running: u32,
    /// Tokens that these targets still have to prefill.
    pub prefill_tokens: u64,
    /// KV memory taken by the requests in flight, in tokens.
    pub kv_tokens: u64,
    /// Queued requests.
    pub queued: usize,
}

/// Expected state of a target.
#[derive(Debug, Clone, Copy, Default)]
struct Spot {
    /// When the target has prefilled all prompts it was given.
    free_at: Time,
}

/// How long before the end of its prefill backlog a target gets its next prompt: the time to report
/// a first token and to send the next request.
const DEPTH: Duration = Duration::from_millis(25);
/// The minimum remaining backlog assumed for a target whose reported prompts take longer than
/// expected.
const RESIDUE: Duration = Duration::from_millis(10);
/// How long a grant is remembered, so that a retransmitted request gets the same target.
const REMEMBERED: Duration = Duration::from_millis(1000);
/// How long a grant counts that its entry has not acknowledged: the round trip plus the delay of a
/// slow entry.
const UNTOLD: Duration = Duration::from_millis(300);
/// How long a queued request is kept without a renewal by its entry.
const UNRENEWED: Duration = Duration::from_millis(700);
/// The delay reported if the cell has no target for a request.
const NOWHERE: Duration = Duration::from_secs(10);
/// The expected delay when no estimate is available.
const UNKNOWN: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Handles a placement request. `offers` returns the targets of the cell that are eligible;
    /// `draw` is uniformly distributed.
    pub fn on_request<Offers>(
        &mut self,
        ask: Request,
        mut offers: Offers,
        draw: u32,
        now: Time,
    ) -> Reply
    where
        Offers: FnMut(&Request) -> Vec<Offer>,
    {
        if let Some(given) = self.given.get(&ask.id) {
            return Reply::Granted(given.target.clone(), given.local.clone());
        }
        if let Some(place) = self.tickets.get(&ask.id) {
            if let Some(waiting) = self.waiting.get_mut(place) {
                waiting.renewed = now;
            }
            return Reply::Queued;
        }
        let nobody = self.lobby.is_empty(&ask.cell);
        if nobody && let Some(reply) = self.place(&ask, offers(&ask), draw, now) {
            return reply;
        }
        if !ask.queue {
            let expected = self
                .lobby
                .expected_wait(&ask.cell)
                .max(self.soonest(offers(&ask), now));
            return Reply::Busy(expected);
        }
        let ticket = self.lobby.push(&ask.cell, ask.rank);
        let turn = self
            .lobby
            .decide(&ask.cell, ticket, Duration::ZERO, ask.max_wait, unit(draw));
        if let Decision::Refuse(again) = turn {
            self.lobby.remove(&ask.cell, ticket, false, now);
            return Reply::Refused(again);
        }
        let place = (ask.cell.clone(), ticket);
        self.tickets.insert(ask.id.clone(), place.clone());
        let waiting = Waiting {
            ask,
            since: now,
            renewed: now,
        };
        self.waiting.insert(place, waiting);
        Reply::Queued
    }

    /// Sets the prefill rate of the targets.
    pub fn on_prefill_rate(&mut self, pace: Rate) {
        self.pace = pace;
    }

    /// Drops a request whose caller has disconnected or whose entry has given up.
    pub fn on_cancel(&mut self, name: &Id, now: Time) {
        self.leave(name, false, now);
        self.given.remove(name);
    }

    /// Records that an entry has reported a granted request as part of its load, or has not used
    /// the grant.
    pub fn on_acknowledged(&mut self, name: &Id) {
        if let Some(given) = self.given.get_mut(name) {
            given.told = true;
        }
    }

    /// Returns the replies that are due to queued requests.
    pub fn poll<Offers>(
        &mut self,
        mut offers: Offers,
        draw: u32,
        now: Time,
    ) -> Vec<(Request, Reply)>
    where
        Offers: FnMut(&Request) -> Vec<Offer>,
    {
        let mut replies = Vec::new();
        let cells: Vec<Cell> = {
            let mut cells: Vec<&Cell> = self.waiting.keys().map(|(cell, _)| cell).collect();
            cells.dedup();
            cells.into_iter().cloned().collect()
        };
        for cell in cells {
            while let Some(granted) = self.first(&cell, &mut offers, draw, now) {
                replies.push(granted);
            }
        }
        let mut over = Vec::new();
        for ((cell, ticket), waiting) in &self.waiting {
            let waited = now.since(waiting.since);
            let turn = self
                .lobby
                .decide(cell, *ticket, waited, waiting.ask.max_wait, unit(draw));
            match turn {
                _ if now.since(waiting.renewed) >= UNRENEWED => {
                    over.push((waiting.ask.id.clone(), None));
                }
                Decision::Refuse(again) => over.push((waiting.ask.id.clone(), Some(again))),
                Decision::Try | Decision::Wait => {}
            }
        }
        for (name, again) in over {
            let left = self.leave(&name, false, now);
            let refused = left.zip(again);
            replies.extend(refused.map(|(ask, again)| (ask, Reply::Refused(again))));
        }
        self.given.retain(|_, given| {
            let age = now.since(given.at);
            age < REMEMBERED && (given.told || age < UNTOLD)
        });
        replies
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the cells with queued requests, each with the expected wait of a new one.
    #[must_use]
    pub fn queue_delays(&self) -> Vec<(Cell, Duration)> {
        let mut cells: Vec<&Cell> = self.waiting.keys().map(|(cell, _)| cell).collect();
        cells.dedup();
        let delays = cells.into_iter();
        delays
            .map(|cell| (cell.clone(), self.lobby.expected_wait(cell)))
            .collect()
    }

    /// Returns the state that decides about a request, for logs.
    #[must_use]
    pub fn stats(&self, cell: &Cell, mut offers: Vec<Offer>, now: Time) -> Stats {
        self.settle(&mut offers, now);
        let full = offers.iter().filter(|offer| !offer.candidate.is_open());
        let free = offers
            .iter()
            .filter(|offer| offer.candidate.backlog <= DEPTH);
        Stats {
            targets: offers.len(),
            full: full.count(),
            free: free.count(),
            running: offers
                .iter()
                .map(|offer| offer.candidate.load.running)
                .sum(),
            prefill_tokens: offers
                .iter()
                .map(|offer| offer.candidate.load.prefill_tokens)
                .sum(),
            kv_tokens: offers
                .iter()
                .map(|offer| offer.candidate.load.kv_tokens)
                .sum(),
            queued: self.lobby.len(cell),
        }
    }

    /// Empties the queues at shutdown. Returns the requests that must be sent to another
    /// dispatcher.
    pub fn close(&mut self, now: Time) -> Vec<Id> {
        let names: Vec<Id> = self.tickets.keys().cloned().collect();
        for name in &names {
            self.leave(name, false, now);
        }
        names
    }

    /// Drops the state of targets that no longer exist.
    pub fn retain<Known>(&mut self, known: Known)
    where
        Known: Fn(&Target) -> bool,
    {
        self.spots.retain(|target, _| known(target));
    }

    /// Places the first queued request for which a target is free.
    fn first<Offers>(
        &mut self,
        cell: &Cell,
        offers: &mut Offers,
        draw: u32,
        now: Time,
    ) -> Option<(Request, Reply)>
    where
        Offers: FnMut(&Request) -> Vec<Offer>,
    {
        for ticket in self.lobby.eligible(cell) {
            let Some(waiting) = self.waiting.get(&(cell.clone(), ticket)) else {
                continue;
            };
            let ask = waiting.ask.clone();
            if let Some(reply) = self.place(&ask, offers(&ask), draw, now) {
                self.leave(&ask.id, true, now);
                return Some((ask, reply));
            }
        }
        None
    }

    /// Places a request if a target is free now.
    fn place(
        &mut self,
        ask: &Request,
        mut offers: Vec<Offer>,
        draw: u32,
        now: Time,
    ) -> Option<Reply> {
        self.settle(&mut offers, now);
        offers.retain(|offer| offer.candidate.is_open() && offer.candidate.backlog <= DEPTH);
        let candidates: Vec<Candidate> = offers.iter().map(|offer| offer.candidate).collect();
        let offer = offers.swap_remove(best(&candidates, draw)?);
        let unread = offer.candidate.prefill_tokens;
        let spot = self.spots.entry(offer.target.clone()).or_default();
        spot.free_at =
            spot.free_at.max(now + offer.candidate.backlog) + offer.candidate.prefill_time;
        let given = Given {
            target: offer.target.clone(),
            local: offer.resident.clone(),
            load: Load {
                running: 1,
                prefill_tokens: unread,
                kv_tokens: ask.demand.kv_tokens,
            },
            at: now,
            told: false,
        };
        self.given.insert(ask.id.clone(), given);
        Some(Reply::Granted(offer.target, offer.resident))
    }

    /// Adds unacknowledged grants to the loads and computes the backlog of each target.
    ///
    /// Load pattern: many entries, each with a few requests. The loads that they report are older
    /// than an engine takes to prefill a prompt, so without this each of them would find the same
    /// targets free.
    fn settle(&self, offers: &mut [Offer], now: Time) {
        for offer in offers {
            let candidate = &mut offer.candidate;
            let given = self.given.values();
            for given in given.filter(|given| !given.told && given.target == offer.target) {
                candidate.load.add(&given.load);
            }
            let load = candidate.load;
            candidate.backlog = match load.prefill_tokens {
                0 => Duration::ZERO,
                tokens => {
                    let spot = self.spots.get(&offer.target).copied().unwrap_or_default();
                    let left = spot.free_at.since(now);
                    self.pace.duration(tokens).min(left.max(RESIDUE))
                }
            };
        }
    }

    /// Returns the time until one of the targets becomes free.
    fn soonest(&self, mut offers: Vec<Offer>, now: Time) -> Duration {
        if offers.is_empty() {
            return NOWHERE;
        }
        self.settle(&mut offers, now);
        let open = offers.iter().filter(|offer| offer.candidate.is_open());
        let soonest = open.map(|offer| offer.candidate.backlog).min();
        soonest.unwrap_or(UNKNOWN)
    }

    fn leave(&mut self, name: &Id, served: bool, now: Time) -> Option<Request> {
        let (cell, ticket) = self.tickets.remove(name)?;
        self.lobby.remove(&cell, ticket, served, now);
        let left = self.waiting.remove(&(cell, ticket))?;
        Some(left.ask)
    }
}

/// Maps a uniform `u32` to the range from 0 to 1.
fn unit(draw: u32) -> f64 {
    f64::from(draw) / f64::from(u32::MAX)
}
