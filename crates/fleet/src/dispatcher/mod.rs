//! Dispatcher: places the requests of all entries on the targets of a cell.
//!
//! Deciding in one place avoids conflicting decisions of many entries: which target is free now,
//! which request is next when none is, and which requests cannot be served in time. The reply names
//! the target; the entry that sent the placement request contacts the target itself.

mod message;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use types::{Target, Time};

pub use message::{Demand, Id, Offer, Reply, Request};

use crate::backfill::{self, Blocked, Shortage};
use crate::cell::Cell;
use crate::cold;
use crate::placement::{Candidate, Load, best};
use crate::prefill::{Rate, Rates};
use crate::queue::{Decision, Queues, Ticket};
use crate::reserve::Reserve;

/// The grants and queues of a dispatcher.
#[derive(Debug, Default)]
pub struct Dispatcher {
    queues: Queues<Cell>,
    waiting: BTreeMap<(Cell, Ticket), Waiting>,
    /// The queue position of each waiting request.
    tickets: HashMap<Id, (Cell, Ticket)>,
    /// Recent grants, kept for retransmitted requests. Those that are not acknowledged are not yet
    /// part of the reported loads.
    grants: HashMap<Id, Grant>,
    forecasts: HashMap<Target, Forecast>,
    /// The queued requests that wait for memory, as found when the queue was last tried.
    blocked: HashMap<Cell, Blocked>,
    reserves: HashMap<Cell, Reserve>,
    /// Requests that were placed past others which waited for memory.
    passed: u64,
    rates: Rates,
    /// Whether each target has a prefill rate of its own.
    uneven_targets: bool,
}

#[derive(Debug)]
struct Waiting {
    request: Request,
    since: Time,
    /// When the entry last renewed the request.
    renewed: Time,
}

#[derive(Debug)]
struct Grant {
    target: Target,
    resident: Vec<bool>,
    load: Load,
    at: Time,
    /// Whether the entry has since acknowledged the grant.
    acknowledged: bool,
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
    /// Memory that the request has to leave free on each target, in percent.
    pub reserve_percent: u32,
}

/// Whether a request that arrives may be placed before those that are queued.
#[derive(Debug)]
enum Turn {
    /// No queued request comes before it.
    First,
    /// It passes all that come before it, but must not take the target that is drained for them.
    Passing(Option<Target>),
    /// A queued request has to be placed before it.
    Behind,
}

impl Turn {
    fn drained(&self) -> Option<&Target> {
        match self {
            Self::Passing(drained) => drained.as_ref(),
            Self::First | Self::Behind => None,
        }
    }
}

/// Expected state of a target.
#[derive(Debug, Clone, Copy, Default)]
struct Forecast {
    /// When the target has prefilled all prompts it was given.
    free_at: Time,
}

/// How long before the end of its prefill backlog a target gets its next prompt: the time to report
/// a first token and to send the next request.
const MAX_BACKLOG: Duration = Duration::from_millis(25);
/// The same if the backlog follows the reported loads, which are as old as a first token takes to
/// be reported.
const MAX_REPORTED_BACKLOG: Duration = Duration::from_millis(50);
/// The minimum remaining backlog assumed for a target with reported prompts.
const MIN_BACKLOG: Duration = Duration::from_millis(10);
/// How long a grant is remembered, so that a retransmitted request gets the same target.
const GRANT_TTL: Duration = Duration::from_millis(1000);
// A request that is sent again is granted a cold target only while its first grant is known.
const _: () = assert!(GRANT_TTL.as_millis() < cold::WINDOW.as_millis());
/// How long a grant counts that its entry has not acknowledged: the round trip plus the delay of a
/// slow entry.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a queued request is kept without a renewal by its entry.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);
/// The delay reported if the cell has no target for a request.
const NO_TARGET_DELAY: Duration = Duration::from_secs(10);
/// The expected delay when no estimate is available.
const DEFAULT_DELAY: Duration = Duration::from_millis(100);

impl Dispatcher {
    /// Handles a placement request. `offers` returns the targets of the cell that are eligible;
    /// `draw` is uniformly distributed.
    pub fn on_request<Offers>(
        &mut self,
        request: Request,
        mut offers: Offers,
        draw: u32,
        now: Time,
    ) -> Reply
    where
        Offers: FnMut(&Request) -> Vec<Offer>,
    {
        if let Some(grant) = self.grants.get(&request.id) {
            return Reply::Granted(grant.target.clone(), grant.resident.clone());
        }
        if let Some(position) = self.tickets.get(&request.id) {
            if let Some(waiting) = self.waiting.get_mut(position) {
                waiting.renewed = now;
            }
            return Reply::Queued;
        }
        let turn = self.turn(&request, now);
        if !matches!(turn, Turn::Behind)
            && let Ok(reply) = self.place(&request, offers(&request), turn.drained(), draw, now)
        {
            self.passed += u64::from(matches!(turn, Turn::Passing(_)));
            return reply;
        }
        if !request.queue {
            let expected = self
                .queues
                .expected_wait(&request.cell)
                .max(self.next_free(offers(&request), now));
            return Reply::Busy(expected);
        }
        let ticket = self.queues.push(&request.cell, request.rank);
        let decision = self.queues.decide_behind(
            &request.cell,
            self.ahead(ticket, &request, now),
            Duration::ZERO,
            request.max_wait,
            unit(draw),
        );
        if let Decision::Refuse(delay) = decision {
            self.queues.remove(&request.cell, ticket, false, now);
            return Reply::Refused(delay);
        }
        let position = (request.cell.clone(), ticket);
        self.tickets.insert(request.id.clone(), position.clone());
        let waiting = Waiting {
            request,
            since: now,
            renewed: now,
        };
        self.waiting.insert(position, waiting);
        Reply::Queued
    }

    /// Sets whether each target has a prefill rate of its own; otherwise all have the same.
    pub fn set_uneven_targets(&mut self, uneven_targets: bool) {
        self.uneven_targets = uneven_targets;
    }

    fn max_backlog(&self) -> Duration {
        match self.uneven_targets {
            true => MAX_REPORTED_BACKLOG,
            false => MAX_BACKLOG,
        }
    }

    /// Sets the prefill rate of targets of which nothing is known.
    pub fn on_prefill_rate(&mut self, prefill_rate: Rate) {
        self.rates.on_prior(prefill_rate);
    }

    /// Records the reported tokens of all prompts at a target that have no first token yet, and
    /// whether one had its first token since the last report.
    pub fn on_load(&mut self, target: &Target, unread: u64, is_first_token: bool, now: Time) {
        if self.uneven_targets {
            self.rates.on_load(target, unread, is_first_token, now);
        }
    }

    /// Forgets what was observed of a target that has restarted under its name.
    pub fn on_restart(&mut self, target: &Target) {
        self.forecasts.remove(target);
        self.rates.on_restart(target);
    }

    /// Returns the prefill rates of the targets.
    #[must_use]
    pub fn rates(&self) -> &Rates {
        &self.rates
    }

    /// Drops a request whose caller has disconnected or whose entry has given up.
    pub fn on_cancel(&mut self, id: &Id, now: Time) {
        self.remove(id, false, now);
        self.grants.remove(id);
    }

    /// Records that an entry has reported a granted request as part of its load, or has not used
    /// the grant.
    pub fn on_acknowledged(&mut self, id: &Id) {
        if let Some(grant) = self.grants.get_mut(id) {
            grant.acknowledged = true;
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
            replies.extend(self.place_queued(&cell, &mut offers, draw, now));
        }
        let mut expired = Vec::new();
        for ((cell, ticket), waiting) in &self.waiting {
            let decision = self.queues.decide_behind(
                cell,
                self.ahead(*ticket, &waiting.request, now),
                now.since(waiting.since),
                waiting.request.max_wait,
                unit(draw),
            );
            match decision {
                _ if now.since(waiting.renewed) >= RENEWAL_TIMEOUT => {
                    expired.push((waiting.request.id.clone(), None));
                }
                Decision::Refuse(delay) => expired.push((waiting.request.id.clone(), Some(delay))),
                Decision::Try | Decision::Wait => {}
            }
        }
        for (id, delay) in expired {
            let removed = self.remove(&id, false, now);
            let refused = removed.zip(delay);
            replies.extend(refused.map(|(request, delay)| (request, Reply::Refused(delay))));
        }
        self.grants.retain(|_, grant| {
            let age = now.since(grant.at);
            age < GRANT_TTL && (grant.acknowledged || age < ACKNOWLEDGE_TIMEOUT)
        });
        replies
    }

    /// Returns whether no requests are queued.
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
            .map(|cell| (cell.clone(), self.queues.expected_wait(cell)))
            .collect()
    }

    /// Returns the state that decides about a request, for logs.
    #[must_use]
    pub fn stats(&self, request: &Request, mut offers: Vec<Offer>, now: Time) -> Stats {
        self.apply_grants(&mut offers, now);
        let full = offers.iter().filter(|offer| !offer.candidate.is_open());
        let free = offers
            .iter()
            .filter(|offer| offer.candidate.backlog <= self.max_backlog());
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
            queued: self.queues.len(&request.cell),
            reserve_percent: (self.reserved_fraction(request, now) * 100.0).round() as u32,
        }
    }

    /// Returns the number of requests that were placed past others which waited for memory.
    #[must_use]
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// Returns the largest part of the targets' memory that is kept free in any cell, as a fraction.
    #[must_use]
    pub fn reserve(&self, now: Time) -> f64 {
        let reserves = self.reserves.values().map(|reserve| reserve.current(now));
        reserves.fold(0.0, f64::max)
    }

    /// Returns the fraction of a target's memory that a request has to leave free.
    fn reserved_fraction(&self, request: &Request, now: Time) -> f64 {
        self.reserves.get(&request.cell).map_or(0.0, |reserve| {
            let kv_tokens = request.demand.kv_tokens;
            reserve.fraction(request.rank, request.patience, kv_tokens, now)
        })
    }

    /// Empties the queues at shutdown. Returns the requests that must be sent to another
    /// dispatcher.
    pub fn close(&mut self, now: Time) -> Vec<Id> {
        let ids: Vec<Id> = self.tickets.keys().cloned().collect();
        for id in &ids {
            self.remove(id, false, now);
        }
        ids
    }

    /// Drops the state of targets that no longer exist.
    pub fn retain<Known>(&mut self, known: Known)
    where
        Known: Fn(&Target) -> bool,
    {
        self.forecasts.retain(|target, _| known(target));
        self.rates.retain(known);
    }

    /// Returns whether a request that arrives now may be placed before those that are queued.
    fn turn(&self, request: &Request, now: Time) -> Turn {
        let ticket = Ticket::behind(request.rank);
        if self.ahead_of(&request.cell, ticket).next().is_none() {
            return Turn::First;
        }
        match self.blocked.get(&request.cell) {
            Some(blocked)
                if !blocked.blocks(request.demand.kv_tokens)
                    && self.ahead(ticket, request, now) == 0 =>
            {
                Turn::Passing(blocked.drained().cloned())
            }
            _ => Turn::Behind,
        }
    }

    fn ahead_of(&self, cell: &Cell, ticket: Ticket) -> impl Iterator<Item = &Waiting> {
        let range = (cell.clone(), Ticket::FIRST)..(cell.clone(), ticket);
        self.waiting.range(range).map(|(_, waiting)| waiting)
    }

    /// Returns the number of requests before a position that have to be placed before a request. It
    /// passes those that wait for more memory, and those that have to leave memory to it.
    fn ahead(&self, ticket: Ticket, request: &Request, now: Time) -> usize {
        let blocked = self.blocked.get(&request.cell);
        let passes = blocked.filter(|blocked| !blocked.blocks(request.demand.kv_tokens));
        let may_use_reserve = self.reserved_fraction(request, now) <= 0.0;
        let is_passed = |other: &Request| {
            passes.is_some_and(|blocked| blocked.blocks(other.demand.kv_tokens))
                || (may_use_reserve && self.reserved_fraction(other, now) > 0.0)
        };
        let ahead = self.ahead_of(&request.cell, ticket);
        ahead.filter(|other| !is_passed(&other.request)).count()
    }

    /// Places the queued requests for which a target is free, in order. A request that waits for
    /// memory lets smaller ones pass, except on the target that is drained for it.
    fn place_queued<Offers>(
        &mut self,
        cell: &Cell,
        offers: &mut Offers,
        draw: u32,
        now: Time,
    ) -> Vec<(Request, Reply)>
    where
        Offers: FnMut(&Request) -> Vec<Offer>,
    {
        let mut replies = Vec::new();
        let mut blocked = Blocked::default();
        for ticket in self.queues.tickets(cell) {
            let Some(waiting) = self.waiting.get(&(cell.clone(), ticket)) else {
                continue;
            };
            if blocked.blocks(waiting.request.demand.kv_tokens) {
                continue;
            }
            let request = waiting.request.clone();
            match self.place(&request, offers(&request), blocked.drained(), draw, now) {
                Ok(reply) => {
                    self.passed += u64::from(blocked.drained().is_some());
                    self.remove(&request.id, true, now);
                    replies.push((request, reply));
                }
                Err(Shortage::Targets | Shortage::Reserve) => {}
                Err(Shortage::Prefill) => break,
                Err(Shortage::Memory(roomiest)) => {
                    blocked.on_memory_shortage(request.demand.kv_tokens, roomiest);
                    let reserve = self.reserves.entry(cell.clone()).or_default();
                    let kv_tokens = request.demand.kv_tokens;
                    reserve.on_shortage(request.rank, request.patience, kv_tokens, now);
                }
            }
        }
        if !self.queues.is_empty(cell) {
            self.blocked.insert(cell.clone(), blocked);
        }
        replies
    }

    /// Places a request if a target other than the one that is drained for another request is free
    /// now.
    ///
    /// # Errors
    /// Fails with what is short.
    fn place(
        &mut self,
        request: &Request,
        mut offers: Vec<Offer>,
        drained: Option<&Target>,
        draw: u32,
        now: Time,
    ) -> Result<Reply, Shortage> {
        offers.retain(|offer| drained != Some(&offer.target));
        if offers.is_empty() {
            return Err(Shortage::Targets);
        }
        self.apply_grants(&mut offers, now);
        let max_backlog = self.max_backlog();
        offers.retain(|offer| offer.candidate.backlog <= max_backlog);
        let Some(roomiest) = backfill::roomiest(&offers) else {
            return Err(request.shortage(Shortage::Prefill));
        };
        if offers.iter().all(|offer| !offer.candidate.has_slot()) {
            return Err(request.shortage(Shortage::Prefill));
        }
        offers.retain(|offer| offer.candidate.is_open());
        let reserve = self.reserved_fraction(request, now);
        if !offers.is_empty() {
            offers.retain(|offer| offer.candidate.leaves_free(reserve));
            if offers.is_empty() {
                return Err(Shortage::Reserve);
            }
        }
        let candidates: Vec<Candidate> = offers.iter().map(|offer| offer.candidate).collect();
        let Some(index) = best(&candidates, draw) else {
            return Err(request.shortage(Shortage::Memory(roomiest)));
        };
        let offer = offers.swap_remove(index);
        let uncached = offer.candidate.prefill_tokens;
        let forecast = self.forecasts.entry(offer.target.clone()).or_default();
        forecast.free_at =
            forecast.free_at.max(now + offer.candidate.backlog) + offer.candidate.prefill_time;
        let grant = Grant {
            target: offer.target.clone(),
            resident: offer.resident.clone(),
            load: Load {
                running: 1,
                prefill_tokens: uncached,
                kv_tokens: request.demand.kv_tokens,
            },
            at: now,
            acknowledged: false,
        };
        self.grants.insert(request.id.clone(), grant);
        Ok(Reply::Granted(offer.target, offer.resident))
    }

    /// Adds unacknowledged grants to the loads and computes the backlog of each target.
    ///
    /// Load pattern: many entries, each with a few requests. The loads that they report are older
    /// than an engine takes to prefill a prompt, so without this each of them would find the same
    /// targets free.
    fn apply_grants(&self, offers: &mut [Offer], now: Time) {
        for offer in offers {
            let candidate = &mut offer.candidate;
            let reported = candidate.load.prefill_tokens;
            let grants = self.grants.values();
            for grant in grants.filter(|grant| !grant.acknowledged && grant.target == offer.target)
            {
                candidate.load.add(&grant.load);
            }
            let estimate = self.rates.estimate(&offer.target, now);
            candidate.prefill_time = estimate.duration(candidate.prefill_tokens);
            candidate.backlog = match candidate.load.prefill_tokens {
                0 => Duration::ZERO,
                tokens => {
                    let forecast = self
                        .forecasts
                        .get(&offer.target)
                        .copied()
                        .unwrap_or_default();
                    let forecast = forecast.free_at.since(now).max(MIN_BACKLOG);
                    let observed = match self.uneven_targets {
                        true => {
                            let unreported = tokens.saturating_sub(reported);
                            estimate.backlog(reported) + estimate.duration(unreported)
                        }
                        false => Duration::ZERO,
                    };
                    estimate.duration(tokens).min(forecast.max(observed))
                }
            };
        }
    }

    /// Returns the time until one of the targets becomes free.
    fn next_free(&self, mut offers: Vec<Offer>, now: Time) -> Duration {
        if offers.is_empty() {
            return NO_TARGET_DELAY;
        }
        self.apply_grants(&mut offers, now);
        let open = offers.iter().filter(|offer| offer.candidate.is_open());
        let next_free = open.map(|offer| offer.candidate.backlog).min();
        next_free.unwrap_or(DEFAULT_DELAY)
    }

    fn remove(&mut self, id: &Id, served: bool, now: Time) -> Option<Request> {
        let (cell, ticket) = self.tickets.remove(id)?;
        self.queues.remove(&cell, ticket, served, now);
        if self.queues.is_empty(&cell) {
            self.blocked.remove(&cell);
        }
        let removed = self.waiting.remove(&(cell, ticket))?;
        Some(removed.request)
    }
}

/// Maps a uniform `u32` to the range from 0 to 1.
fn unit(draw: u32) -> f64 {
    f64::from(draw) / f64::from(u32::MAX)
}
