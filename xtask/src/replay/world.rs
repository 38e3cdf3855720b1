//! The state of a replay and its event loop.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

use admission::{Estimator, Gate, Limits};
use context::{Capacity, Scheduler};
use routing::{Load, Loads, Table};
use types::{Boot, Time};

use super::engine::{Block, Cache, Engine};
use super::fleet;
use super::parameters::{Parameters, Policy};
use super::report::Counts;
use super::trace::Line;
use crate::deployment::Deployment;

/// An event at a point in virtual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    TraceLine(usize),
    Probe(usize),
    EntryRules(usize),
    AgentRules(usize),
    SwapBegin(usize),
    SwapEnd(usize),
    StoreBack(usize),
    Choose(usize),
    AtAgent(usize),
    FetchBegin(usize),
    FetchDeadline(usize),
    Transferred(usize, usize),
    Expire(usize),
    AtEngine(usize),
    Step(usize, Boot),
    Confirmed(usize, Boot),
    FirstToken(usize),
    Finished(usize),
    Lost(usize),
    LoadReceived(usize, usize, Load),
    Refused(usize, Reason),
    AtCaller(usize),
}

/// Why an attempt ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Reason {
    Full,
    Leaving,
    Suspect,
    Deadline,
    Lost,
    /// The expected wait is too long: another candidate is expected to be faster.
    Slow,
}

#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Time,
    pub(crate) conversation: usize,
    pub(crate) entry: usize,
    pub(crate) tokens: u32,
    /// Tokens that were computed in an earlier visit of the conversation.
    pub(crate) prior_tokens: u32,
    pub(crate) answer: u32,
    pub(crate) deadline: Time,
    pub(crate) first: Option<Time>,
    pub(crate) computed: u32,
    pub(crate) done: bool,
    pub(crate) refused: Option<Reason>,
    pub(crate) rounds: u32,
    /// The candidates of this round that were not tried yet, the next one last.
    pub(crate) remaining_candidates: Vec<(usize, Duration)>,
    pub(crate) redirects: u32,
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) request: usize,
    pub(crate) engine: usize,
    pub(crate) admitted: bool,
    pub(crate) fetched: bool,
    pub(crate) pending_blocks: usize,
    pub(crate) is_over: bool,
    /// The boot id of the engine when it took the attempt.
    pub(crate) boot: Boot,
    /// The expected wait above which the agent sends the request back.
    pub(crate) max_wait: Duration,
}

#[derive(Debug)]
pub(crate) struct Conversation {
    pub(crate) team: String,
    pub(crate) tokens: u32,
}

/// The agent beside an engine.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) gate: Gate,
    pub(crate) estimator: Estimator,
    pub(crate) available_at: Time,
    pub(crate) runs: BTreeSet<usize>,
    /// The uncached tokens of the attempts that wait for admission.
    pub(crate) waiting: BTreeMap<usize, u32>,
}

#[derive(Debug)]
pub(crate) struct Store {
    pub(crate) cache: Cache,
    pub(crate) link: Scheduler<Transfer>,
    pub(crate) running: Vec<Transfer>,
    pub(crate) down: bool,
    pub(crate) factor: f64,
}

/// A block in transfer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Transfer {
    pub(crate) block: Block,
    /// The attempt that waits for the block; `None` for an export.
    pub(crate) attempt: Option<usize>,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) loads: Loads<usize>,
    pub(crate) table: Table<String, usize>,
    pub(crate) next_engine: usize,
}

/// A simulated deployment.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) policy: Policy,
    pub(crate) parameters: Parameters,
    pub(crate) lines: Vec<Line>,
    pub(crate) domains: usize,
    pub(crate) client_delay: Duration,
    pub(crate) domain_delay: Duration,
    pub(crate) drained: BTreeSet<usize>,
    pub(crate) drained_at: HashMap<usize, Time>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) agents: Vec<Agent>,
    pub(crate) stores: Vec<Store>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) conversation_ids: HashMap<String, usize>,
    pub(crate) conversations: Vec<Conversation>,
    pub(crate) requests: Vec<Request>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) pending_swaps: Vec<usize>,
    pub(crate) weights: u32,
    pub(crate) counts: Counts,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    events: u64,
}

/// Maximum number of events, so that a replay that makes no progress ends.
const MAX_EVENTS: u64 = 50_000_000;
/// Interval at which an agent checks whether its draining target is idle.
const SWAP_POLL: Duration = Duration::from_millis(20);
/// Interval between an agent's probes of its engine.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

impl World {
    pub(crate) fn new(
        deployment: &Deployment,
        lines: Vec<Line>,
        policy: Policy,
        parameters: Parameters,
    ) -> Self {
        let domains = deployment.domains.len();
        let cold = if policy.is_ideal() {
            fleet::WARM_LIMIT
        } else {
            fleet::COLD_LIMIT
        };
        let limits = Limits {
            cold,
            warm: fleet::WARM_LIMIT,
            warm_after: fleet::WARM_AFTER,
            max_queued: if policy.is_ideal() {
                10_000
            } else {
                parameters.max_waiting
            },
        };
        let queued_exports = MAX_QUEUED_EXPORTS;
        let mut world = Self {
            now: Time::default(),
            policy,
            parameters,
            domains,
            client_delay: Duration::from_secs_f64(deployment.client_delay_ms / 1000.0),
            domain_delay: Duration::from_secs_f64(deployment.domain_delay_ms / 1000.0),
            drained: BTreeSet::new(),
            drained_at: HashMap::new(),
            engines: (0..deployment.engines)
                .map(|index| Engine::new(index % domains))
                .collect(),
            agents: (0..deployment.engines)
                .map(|_| Agent {
                    gate: warm_gate(limits),
                    estimator: Estimator::default(),
                    available_at: Time::default(),
                    runs: BTreeSet::new(),
                    waiting: BTreeMap::new(),
                })
                .collect(),
            stores: (0..deployment.stores)
                .map(|_| Store {
                    cache: Cache::new(fleet::STORE_BLOCKS),
                    link: Scheduler::new(Capacity {
                        parallel: 1,
                        queued_exports,
                    }),
                    running: Vec::new(),
                    down: false,
                    factor: 1.0,
                })
                .collect(),
            entries: (0..deployment.entries)
                .map(|_| Entry {
                    loads: Loads::default(),
                    table: Table::default(),
                    next_engine: 0,
                })
                .collect(),
            conversation_ids: HashMap::new(),
            conversations: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            pending_swaps: Vec::new(),
            weights: 1,
            counts: Counts::default(),
            queue: BinaryHeap::new(),
            events: 0,
            lines,
        };
        for entry in 0..world.entries.len() {
            world.rebuild_table(entry);
        }
        for index in 0..world.lines.len() {
            let at = Time::from_millis(world.lines[index].at_ms());
            world.at(at, Event::TraceLine(index));
        }
        for engine in 0..world.engines.len() {
            world.after(PROBE_INTERVAL, Event::Probe(engine));
        }
        world
    }

    pub(crate) fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    pub(crate) fn at(&mut self, time: Time, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((time, self.events, event)));
    }

    /// Runs the trace to its end and until every request has an answer or a refusal.
    pub(crate) fn run(&mut self) {
        let end = self.lines.last().map_or(Time::default(), |line| {
            Time::from_millis(line.at_ms()) + Duration::from_secs(120)
        });
        while let Some(Reverse((time, _, event))) = self.queue.pop() {
            if time > end || self.events > MAX_EVENTS {
                return;
            }
            self.now = time;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::TraceLine(index) => self.on_line(index),
            Event::Probe(engine) => {
                if self.now >= self.engines[engine].down_until {
                    let boot = self.engines[engine].boot;
                    self.agents[engine].gate.on_probe(boot);
                    self.apply_decisions(engine);
                }
                self.after(PROBE_INTERVAL, Event::Probe(engine));
            }
            Event::EntryRules(entry) => self.rebuild_table(entry),
            Event::AgentRules(engine) => {
                let drained = self.drained.contains(&self.engines[engine].domain);
                self.agents[engine].gate.set_drained(drained);
                self.apply_decisions(engine);
            }
            Event::SwapBegin(engine) => self.on_swap_begin(engine),
            Event::SwapEnd(engine) => self.on_swap_end(engine),
            Event::StoreBack(store) => self.on_store_back(store),
            Event::Choose(request) => self.choose(request),
            Event::AtAgent(attempt) => self.on_dispatch(attempt),
            Event::FetchBegin(attempt) => self.on_fetch_begin(attempt),
            Event::FetchDeadline(attempt) => self.on_fetch_deadline(attempt),
            Event::Transferred(store, index) => self.on_transferred(store, index),
            Event::Expire(engine) => self.apply_decisions(engine),
            Event::AtEngine(attempt) => self.on_accept(attempt),
            Event::Step(engine, boot) => self.on_step(engine, boot),
            Event::Confirmed(attempt, boot) => self.on_confirmed(attempt, boot),
            Event::FirstToken(attempt) => self.on_first(attempt),
            Event::Finished(attempt) => self.on_finished(attempt),
            Event::Lost(attempt) => self.on_lost(attempt),
            Event::LoadReceived(entry, engine, load) => {
                self.entries[entry].loads.record(engine, load);
            }
            Event::Refused(attempt, reason) => self.on_refused(attempt, reason),
            Event::AtCaller(request) => {
                let now = self.now;
                self.requests[request].first.get_or_insert(now);
            }
        }
    }

    fn on_line(&mut self, index: usize) {
        match self.lines[index].clone() {
            Line::Prompt {
                conversation,
                team,
                tokens,
                history,
                answer,
                deadline_ms,
                ..
            } => {
                let number = self.conversations.len();
                self.conversation_ids.insert(conversation, number);
                self.conversations.push(Conversation { team, tokens });
                let blocks = self.blocks(number, history, self.weights);
                for store in &mut self.stores {
                    blocks.iter().for_each(|&block| store.cache.insert(block));
                }
                self.add_request(number, history, answer, deadline_ms);
            }
            Line::Return {
                conversation,
                append,
                answer,
                deadline_ms,
                ..
            } => {
                let Some(&number) = self.conversation_ids.get(&conversation) else {
                    self.counts.unknown_returns += 1;
                    return;
                };
                let prior_tokens = self.conversations[number].tokens;
                self.conversations[number].tokens += append;
                self.add_request(number, prior_tokens, answer, deadline_ms);
            }
            Line::Drain { domain, .. } => {
                self.drained.insert(domain);
                self.drained_at.insert(domain, self.now);
                self.propagate_rules();
            }
            Line::Undrain { domain, cold, .. } => {
                self.drained.remove(&domain);
                self.drained_at.remove(&domain);
                for engine in 0..self.engines.len() {
                    if cold && self.engines[engine].domain == domain {
                        self.fail_engine(engine);
                    }
                }
                self.propagate_rules();
            }
            Line::Cold { engine, .. } => self.fail_engine(engine),
            Line::Down { engine, for_ms, .. } => {
                self.fail_engine(engine);
                self.engines[engine].down_until = self.now + Duration::from_millis(for_ms);
            }
            Line::StoreDown { store, for_ms, .. } => {
                self.stores[store].down = true;
                self.after(Duration::from_millis(for_ms), Event::StoreBack(store));
            }
            Line::SlowLink {
                store,
                factor,
                for_ms,
                ..
            } => {
                self.stores[store].factor = factor;
                self.after(Duration::from_millis(for_ms), Event::StoreBack(store));
            }
            Line::Rollout { weights, .. } => {
                self.weights = weights;
                self.pending_swaps = (0..self.engines.len()).rev().collect();
                for _ in 0..2 {
                    self.next_swap();
                }
            }
            Line::Generate(_) => {}
        }
    }

    fn add_request(
        &mut self,
        conversation: usize,
        prior_tokens: u32,
        answer: u32,
        deadline_ms: u64,
    ) {
        let number = self.requests.len();
        let tokens = self.conversations[conversation].tokens;
        self.conversations[conversation].tokens += answer;
        self.requests.push(Request {
            arrival: self.now,
            conversation,
            // The platform's load balancer is not aware of conversations.
            entry: number % self.entries.len(),
            tokens,
            prior_tokens,
            answer,
            deadline: self.now + Duration::from_millis(deadline_ms),
            first: None,
            computed: 0,
            done: false,
            refused: None,
            rounds: 0,
            remaining_candidates: Vec::new(),
            redirects: 0,
        });
        self.after(self.client_delay, Event::Choose(number));
    }

    /// Propagates a change of the rules; each process receives it slightly later than the one
    /// before.
    fn propagate_rules(&mut self) {
        for entry in 0..self.entries.len() {
            self.after(
                Duration::from_millis(150 * (entry as u64 + 1)),
                Event::EntryRules(entry),
            );
        }
        for engine in 0..self.engines.len() {
            let delay = Duration::from_millis(100 * (engine as u64 + 1));
            self.after(delay, Event::AgentRules(engine));
        }
    }

    pub(crate) fn rebuild_table(&mut self, entry: usize) {
        let mut table = Table::default();
        for (index, engine) in self.engines.iter().enumerate() {
            if !self.drained.contains(&engine.domain) {
                table.insert("model".to_owned(), &format!("engine-{index}"), index);
            }
        }
        self.entries[entry].table = table;
    }

    pub(crate) fn blocks(&self, conversation: usize, tokens: u32, weights: u32) -> Vec<Block> {
        (0..tokens / fleet::BLOCK_TOKENS)
            .map(|position| (conversation as u32, position, weights))
            .collect()
    }

    fn next_swap(&mut self) {
        if let Some(engine) = self.pending_swaps.pop() {
            self.after(Duration::ZERO, Event::SwapBegin(engine));
        }
    }

    /// Drains the target; the weights are loaded when its requests have ended.
    fn on_swap_begin(&mut self, engine: usize) {
        self.agents[engine].available_at = self.now + fleet::WEIGHT_LOAD_TIME;
        self.agents[engine].gate.set_drained(true);
        self.apply_decisions(engine);
        match self.agents[engine].gate.in_flight() {
            0 => self.after(fleet::WEIGHT_LOAD_TIME, Event::SwapEnd(engine)),
            _ => self.after(SWAP_POLL, Event::SwapBegin(engine)),
        }
    }

    fn on_swap_end(&mut self, engine: usize) {
        self.engines[engine].swap(self.weights);
        self.agents[engine].gate.set_drained(false);
        self.next_swap();
    }

    fn on_store_back(&mut self, store: usize) {
        self.stores[store].factor = 1.0;
        if std::mem::take(&mut self.stores[store].down) {
            self.stores[store].cache = Cache::new(fleet::STORE_BLOCKS);
        }
    }

    pub(crate) fn fail_engine(&mut self, engine: usize) {
        self.engines[engine].turn_cold();
        for attempt in std::mem::take(&mut self.agents[engine].runs) {
            self.after(fleet::LOCAL_DELAY, Event::Lost(attempt));
        }
    }
}

/// Maximum number of exports that wait for the link of a store host.
const MAX_QUEUED_EXPORTS: usize = 10_000;

/// Returns an admission gate that is already warm, as engines are when the trace starts.
fn warm_gate(limits: Limits) -> Gate {
    let mut gate = Gate::new(limits);
    let mut number = u128::MAX;
    while gate.state() != "ready" {
        number -= 1;
        let attempt = types::Attempt(number);
        gate.on_request(admission::Job {
            attempt,
            team: types::Team::from("warm-up"),
            share: 1,
            work: 1,
            priority: 0,
            deadline: Time(u64::MAX),
        });
        gate.on_confirm(attempt, Boot(1));
        gate.on_finish(attempt, admission::Outcome::Success);
    }
    gate
}
