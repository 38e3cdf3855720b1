//! Places the requests of all entries on the targets of a cell.
//!
//! The dispatcher of a cell decides in one place what many entries cannot decide well apart: which
//! target is free now, who is next when none is, and who will not be served in time. It gives the
//! target's name; the entry that asked talks to the target itself.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use types::{Domain, Model, Target, Team, Time};

use crate::cell::Cell;
use crate::placement::{Candidate, Load, best};
use crate::prefill::Rate;
use crate::queue::{Decision, Queues, Ticket};

/// The name of a request for a place.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id {
    /// The entry that asks.
    pub sender: Arc<str>,
    /// Drawn at each start of that entry.
    pub incarnation: u64,
    /// Drawn from one counter of that start.
    pub sequence: u64,
}

/// What has to be known of a prompt to place it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Demand {
    /// The model, where the request names one.
    pub model: Option<Model>,
    /// The team, where it shares no kept parts with others.
    pub team: Option<Team>,
    /// The parts that other requests may share, each with its tokens.
    pub segments: Vec<(Arc<str>, u64)>,
    /// Tokens that no other request has.
    pub unique_tokens: u64,
    /// Tokens of memory that the request takes at its target.
    pub kv_tokens: u64,
    /// Targets that must not get it.
    pub excluded: Vec<Target>,
    /// Failure domains that the entry cannot reach.
    pub unreachable: Vec<Domain>,
}

/// A request for a place.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its name; the same name is the same request, sent once more.
    pub id: Id,
    /// The cell whose dispatcher is asked.
    pub cell: Cell,
    /// The rank; 0 is the first.
    pub rank: u8,
    /// How long it may wait for a place.
    pub max_wait: Duration,
    /// Whether it waits if there is no place now; otherwise it tries another cell.
    pub queue: bool,
    /// What it needs.
    pub demand: Demand,
}

/// A target of the cell for one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// The target.
    pub target: Target,
    /// What is known of it. The load is what entries have told, without places that were given since.
    pub candidate: Candidate,
    /// Which of the shared parts it has in its own memory.
    pub resident: Vec<bool>,
}

/// The answer to a request for a place.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// It gets a place at this target, which has these of its shared parts in its memory.
    Granted(Target, Vec<bool>),
    /// It waits; another answer follows.
    Queued,
    /// There is no place now; one is expected after this time.
    Busy(Duration),
    /// It will not be served in time. Its caller may come back after this time.
    Refused(Duration),
    /// The entry is not the dispatcher, or is about to stop.
    NotDispatcher,
}

/// A dispatcher's places and those that wait for one.
#[derive(Debug, Default)]
pub struct Dispatcher {
    lobby: Queues<Cell>,
    waiting: BTreeMap<(Cell, Ticket), Waiting>,
    /// Where each waiting request is.
    tickets: HashMap<Id, (Cell, Ticket)>,
    /// Places that were given and are not yet part of what their entries tell.
    given: HashMap<Id, Given>,
    spots: HashMap<Target, Spot>,
    pace: Rate,
}

#[derive(Debug)]
struct Waiting {
    ask: Request,
    since: Time,
    /// When the entry last said that it still waits.
    renewed: Time,
}

#[derive(Debug)]
struct Given {
    target: Target,
    local: Vec<bool>,
    load: Load,
    at: Time,
    /// Whether the entry has told of it since.
    told: bool,
}

/// What a dispatcher knows of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stats {
    /// Targets that may get the request.
    pub targets: usize,
    /// Those of them without a slot or memory for it.
    pub full: usize,
    /// Those that have read what they got, or nearly so.
    pub free: usize,
    /// Requests under way there.
    pub running: u32,
    /// Tokens that they have to read.
    pub prefill_tokens: u64,
    /// Tokens of memory that requests under way take.
    pub kv_tokens: u64,
    /// Requests that wait.
    pub queued: usize,
}

/// What a dispatcher expects of a target.
#[derive(Debug, Clone, Copy, Default)]
struct Spot {
    /// When it has read all prompts that it was given.
    free_at: Time,
}

/// How early a target gets its next prompt, before it has read the ones that it has: as long as it
/// takes to tell of a first event and to send the next request.
const DEPTH: Duration = Duration::from_millis(25);
/// What is left of a backlog that lasts longer than expected, for each of its prompts.
const RESIDUE: Duration = Duration::from_millis(10);
/// How long a place is remembered, so that a request for it that is sent once more gets the same.
const REMEMBERED: Duration = Duration::from_millis(1000);
/// How long a place counts that its entry does not tell of: the way there and back, and as long as
/// a slow entry takes.
const UNTOLD: Duration = Duration::from_millis(300);
/// How long a request waits that its entry does not renew.
const UNRENEWED: Duration = Duration::from_millis(700);
/// The delay that is told where the cell has no target for a request.
const NOWHERE: Duration = Duration::from_secs(10);
/// How soon a request is expected to find a place where nothing is known of the pace.
const UNKNOWN: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Answers a request for a place. `offers` returns the targets of the cell that may get it;
    /// `draw` is uniform.
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

    /// Takes over how fast targets read.
    pub fn on_prefill_rate(&mut self, pace: Rate) {
        self.pace = pace;
    }

    /// Forgets a request whose caller has left, or which was given up.
    pub fn on_cancel(&mut self, name: &Id, now: Time) {
        self.leave(name, false, now);
        self.given.remove(name);
    }

    /// Records that an entry tells of a place that it was given, or has not used it.
    pub fn on_acknowledged(&mut self, name: &Id) {
        if let Some(given) = self.given.get_mut(name) {
            given.told = true;
        }
    }

    /// Returns the answers that are due to waiting requests.
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

    /// Says whether nothing waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the cells in which requests wait, with the time that another one would.
    #[must_use]
    pub fn queue_delays(&self) -> Vec<(Cell, Duration)> {
        let mut cells: Vec<&Cell> = self.waiting.keys().map(|(cell, _)| cell).collect();
        cells.dedup();
        let delays = cells.into_iter();
        delays
            .map(|cell| (cell.clone(), self.lobby.expected_wait(cell)))
            .collect()
    }

    /// Returns what decides about a request, for logs.
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

    /// Empties the dispatcher, as the entry stops; returns the requests that have to go elsewhere.
    pub fn close(&mut self, now: Time) -> Vec<Id> {
        let names: Vec<Id> = self.tickets.keys().cloned().collect();
        for name in &names {
            self.leave(name, false, now);
        }
        names
    }

    /// Forgets targets that are gone.
    pub fn retain<Known>(&mut self, known: Known)
    where
        Known: Fn(&Target) -> bool,
    {
        self.spots.retain(|target, _| known(target));
    }

    /// Gives the first waiting request that fits somewhere a place.
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

    /// Gives a request a place if a target has one now.
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

    /// Adds what was given since entries told of their loads, and how long each target still reads.
    ///
    /// Load pattern: many entries, each with a few requests. What they tell of their loads is older
    /// than an engine takes to read a prompt, so each of them would find the same targets free.
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

    /// Returns how long it takes until one of the targets has a place.
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

/// Maps a uniform number to the span from 0 to 1.
fn unit(draw: u32) -> f64 {
    f64::from(draw) / f64::from(u32::MAX)
}
