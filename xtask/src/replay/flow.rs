//! The way of a request: entry, agent, engine and back.

use std::time::Duration;

use admission::{Decision, Job, Outcome, Refusal};
use routing::{Estimate, Key, Load};
use types::{Boot, Team};

use super::engine::Accepted;
use super::fleet;
use super::knobs::Policy;
use super::world::{Attempt, Event, Why, World};

/// Rounds over the candidates, as in the entry's relay.
const MAX_ROUNDS: u32 = 8;
/// The wait after the first round.
const ROUND_WAIT: Duration = Duration::from_millis(20);

impl World {
    /// Sends a request to the next target of its list, or makes a new list.
    pub(super) fn choose(&mut self, request: usize) {
        let now = self.now;
        if now >= self.requests[request].deadline {
            return self.refuse(request, Why::Deadline);
        }
        if self.requests[request].rounds >= MAX_ROUNDS {
            return self.refuse(request, Why::Full);
        }
        if self.requests[request].left.is_empty() {
            self.requests[request].left = self.candidates(request);
            self.requests[request].left.reverse();
        }
        let Some((engine, most)) = self.requests[request].left.pop() else {
            return self.next_round(request);
        };
        let most = match self.requests[request].redirects {
            routing::MAX_REDIRECTS.. => Duration::MAX,
            _ => most,
        };
        let entry = self.requests[request].entry;
        self.attempts.push(Attempt {
            most,
            request,
            engine,
            admitted: false,
            fetched: false,
            outstanding: 0,
            over: false,
            boot: Boot(0),
        });
        let delay = self.delay(entry, engine);
        self.after(delay, Event::AtAgent(self.attempts.len() - 1));
    }

    fn candidates(&mut self, request: usize) -> Vec<(usize, Duration)> {
        if self.policy == Policy::Ours {
            return self.ranked(request);
        }
        let order = self.baseline(request);
        order
            .into_iter()
            .map(|engine| (engine, Duration::MAX))
            .collect()
    }

    /// Decides as an entry of the product does.
    fn ranked(&self, request: usize) -> Vec<(usize, Duration)> {
        let state = &self.requests[request];
        let known = &self.entries[state.entry];
        let spills = self.knobs.spill && state.rounds > 0;
        let count = if spills {
            usize::MAX
        } else {
            self.knobs.candidates
        };
        let best = known.table.candidates("model", self.key(request), count);
        let own = self.own(request);
        let estimate = |engine: &&usize| Estimate {
            queue: known
                .loads
                .expected_wait(*engine, own, self.now)
                .unwrap_or(Duration::MAX / 4),
            ..Estimate::default()
        };
        let estimates: Vec<_> = best.iter().map(estimate).collect();
        let margin = self.knobs.redirect.unwrap_or(Duration::MAX);
        routing::rank(&estimates, margin)
            .into_iter()
            .map(|ranked| (*best[ranked.index], ranked.max_wait))
            .collect()
    }

    fn key(&self, request: usize) -> Key {
        let conversation = self.requests[request].conversation;
        let team = &self.conversations[conversation].team;
        Key::new(&[team.as_bytes(), &conversation.to_le_bytes()])
    }

    fn baseline(&mut self, request: usize) -> Vec<usize> {
        let now = self.now;
        let (key, entry) = (self.key(request), self.requests[request].entry);
        let count = self.engines.len();
        let known = &self.entries[entry];
        let hashed = |count| -> Vec<usize> {
            known
                .table
                .candidates("model", key, count)
                .into_iter()
                .copied()
                .collect()
        };
        let wait = |engine: usize| {
            let wait = known.loads.expected_wait(&engine, Duration::MAX, now);
            wait.unwrap_or(Duration::MAX / 4)
        };
        match self.policy {
            Policy::Sticky => hashed(count),
            Policy::LeastLoaded => {
                let mut all = hashed(count);
                all.sort_unstable();
                all.sort_by_key(|&engine| wait(engine));
                all
            }
            Policy::RoundRobin | Policy::RoundRobinStores => {
                let mut all = hashed(count);
                all.sort_unstable();
                let first = known.next % all.len().max(1);
                all.rotate_left(first);
                self.entries[entry].next += 1;
                all
            }
            Policy::Ours | Policy::Bound => {
                let best = (0..count)
                    .filter(|&engine| {
                        let engine = &self.engines[engine];
                        !self.drained.contains(&engine.domain) && engine.down_until <= now
                    })
                    .min_by_key(|&engine| self.ideal_wait(request, engine));
                best.into_iter().collect()
            }
        }
    }

    /// Returns the time that the request takes to compute, as far as its entry can tell: what was
    /// said before the last answer has been computed.
    fn own(&self, request: usize) -> Duration {
        if !self.knobs.sized {
            return Duration::from_secs(3600);
        }
        fleet::compute(self.new_tokens(request))
    }

    /// Returns the tokens that no earlier visit computed, as the entry tells the agent.
    fn new_tokens(&self, request: usize) -> u32 {
        let request = &self.requests[request];
        request.tokens - request.paid / fleet::BLOCK_TOKENS * fleet::BLOCK_TOKENS
    }

    /// Returns the exact time to first token at an engine.
    fn ideal_wait(&self, request: usize, engine: usize) -> Duration {
        let chain = self.chain(request, engine);
        let at = &self.engines[engine];
        let held = at.cache.prefix(&chain);
        let kept = (self.requests[request].paid / fleet::BLOCK_TOKENS) as usize;
        let fetch = fleet::BLOCK_TRANSFER * kept.saturating_sub(held) as u32;
        let reused = held.max(kept) as u32 * fleet::BLOCK_TOKENS;
        let swap = self.agents[engine].held_until.since(self.now);
        let tokens = self.requests[request].tokens - reused;
        // What fetches its context or waits will be computed in turn with this one.
        let agent = &self.agents[engine];
        let fetching = agent
            .runs
            .iter()
            .filter(|&&attempt| !self.attempts[attempt].fetched);
        let fetching = fetching.map(|&attempt| {
            let other = &self.requests[self.attempts[attempt].request];
            other.tokens - other.paid / fleet::BLOCK_TOKENS * fleet::BLOCK_TOKENS
        });
        let ahead: u32 = agent
            .waiting
            .values()
            .copied()
            .chain(fetching)
            .map(|work| work.min(tokens))
            .sum();
        fetch.max(swap) + fleet::compute(ahead) + at.ideal(tokens)
    }

    pub(super) fn on_dispatch(&mut self, attempt: usize) {
        let own = self.own(self.attempts[attempt].request);
        let load = self.load(self.attempts[attempt].engine);
        if load.expected_wait(own) > self.attempts[attempt].most {
            self.requests[self.attempts[attempt].request].redirects += 1;
            self.attempts[attempt].over = true;
            return self.reply(attempt, Event::Refused(attempt, Why::Slow));
        }
        self.ask(attempt);
        if self.policy.is_ideal() && !self.attempts[attempt].over {
            self.begin_lookup(attempt);
        }
    }

    pub(super) fn ask(&mut self, attempt: usize) {
        let engine = self.attempts[attempt].engine;
        let request = &self.requests[self.attempts[attempt].request];
        let work = self.new_tokens(self.attempts[attempt].request);
        let ask = Job {
            attempt: types::Attempt(attempt as u128),
            team: Team::from(self.conversations[request.conversation].team.as_str()),
            share: 1,
            work,
            priority: 1,
            deadline: request.deadline,
        };
        let deadline = request.deadline;
        let decision = self.agents[engine].gate.on_request(ask);
        if decision == Decision::Wait {
            self.agents[engine].waiting.insert(attempt, work);
            self.at(deadline, Event::Expire(engine));
        }
        self.decided(attempt, decision);
        self.settle(engine);
    }

    pub(super) fn settle(&mut self, engine: usize) {
        while let Some((attempt, decision)) = self.agents[engine].gate.next_decision(self.now) {
            self.agents[engine].waiting.remove(&(attempt.0 as usize));
            self.decided(attempt.0 as usize, decision);
        }
    }

    fn decided(&mut self, attempt: usize, decision: Decision) {
        match decision {
            Decision::Wait => {}
            Decision::Admit => {
                self.attempts[attempt].admitted = true;
                let engine = self.attempts[attempt].engine;
                self.agents[engine].runs.insert(attempt);
                let tokens = self.new_tokens(self.attempts[attempt].request);
                let id = types::Attempt(attempt as u128);
                self.agents[engine].pace.on_sent(id, tokens, self.now);
                if !self.policy.is_ideal() {
                    self.begin_lookup(attempt);
                } else {
                    self.send_if_ready(attempt);
                }
            }
            Decision::Refuse(refusal) => {
                let why = match refusal {
                    Refusal::Full | Refusal::Unconfirmed => Why::Full,
                    Refusal::Leaving => Why::Leaving,
                    Refusal::Suspect => Why::Suspect,
                    Refusal::Deadline => Why::Deadline,
                };
                self.attempts[attempt].over = true;
                self.reply(attempt, Event::Refused(attempt, why));
            }
        }
    }

    pub(super) fn send_if_ready(&mut self, attempt: usize) {
        let state = &self.attempts[attempt];
        if !(state.admitted && state.fetched) || state.over {
            return;
        }
        let (engine, request) = (state.engine, state.request);
        let chain = self.chain(request, engine);
        let held = self.engines[engine].cache.prefix(&chain) as u32 * fleet::BLOCK_TOKENS;
        let tokens = self.requests[request].tokens.saturating_sub(held);
        let id = types::Attempt(attempt as u128);
        self.agents[engine].pace.on_sent(id, tokens, self.now);
        self.after(fleet::LOCAL, Event::AtEngine(attempt));
    }

    pub(super) fn on_accept(&mut self, attempt: usize) {
        if self.attempts[attempt].over {
            return;
        }
        let (engine, request) = (
            self.attempts[attempt].engine,
            self.attempts[attempt].request,
        );
        let domain = self.engines[engine].domain;
        if let Some(&since) = self.drained_at.get(&domain)
            && self.now.since(since) > Duration::from_secs(3)
        {
            self.counts.to_drained += 1;
        }
        let chain = self.chain(request, engine);
        let tokens = self.requests[request].tokens;
        let ideal = self.policy.is_ideal();
        match self.engines[engine].accept(self.now, attempt, &chain, tokens, ideal) {
            Accepted::Runs { computed, starts } => {
                self.requests[request].computed = computed;
                let boot = self.engines[engine].boot;
                self.attempts[attempt].boot = boot;
                self.after(fleet::LOCAL, Event::Confirmed(attempt, boot));
                if starts {
                    self.step_on(engine);
                }
            }
            Accepted::Away => self.after(fleet::LOCAL, Event::Lost(attempt)),
            Accepted::Overloaded => {
                self.counts.overloads += 1;
                self.lose_all(engine);
            }
        }
    }

    fn step_on(&mut self, engine: usize) {
        if let Some(time) = self.engines[engine].next_step() {
            self.after(time, Event::Step(engine, self.engines[engine].run));
        }
    }

    pub(super) fn on_step(&mut self, engine: usize, run: Boot) {
        if run != self.engines[engine].run {
            return;
        }
        if let Some(attempt) = self.engines[engine].step() {
            let answer = self.requests[self.attempts[attempt].request].answer;
            self.after(fleet::LOCAL, Event::First(attempt));
            self.after(fleet::TOKEN * answer, Event::Finished(attempt));
        }
        self.step_on(engine);
    }

    pub(super) fn on_confirmed(&mut self, attempt: usize, boot: Boot) {
        let engine = self.attempts[attempt].engine;
        let id = types::Attempt(attempt as u128);
        self.agents[engine].gate.on_confirm(id, boot);
        self.settle(engine);
        self.tell(attempt);
    }

    pub(super) fn on_first(&mut self, attempt: usize) {
        if self.attempts[attempt].over {
            return;
        }
        let (engine, request) = (
            self.attempts[attempt].engine,
            self.attempts[attempt].request,
        );
        let id = types::Attempt(attempt as u128);
        self.agents[engine].pace.on_first_token(id, self.now);
        let delay = self.delay(self.requests[request].entry, engine) + self.client_delay;
        self.after(delay, Event::AtCaller(request));
        self.tell(attempt);
    }

    pub(super) fn on_finished(&mut self, attempt: usize) {
        if self.attempts[attempt].over {
            return;
        }
        self.attempts[attempt].over = true;
        let (engine, request) = (
            self.attempts[attempt].engine,
            self.attempts[attempt].request,
        );
        self.engines[engine].finish();
        self.end(attempt, Outcome::Success);
        self.requests[request].done = true;
        self.tell(attempt);
        if self.policy.has_stores() && !self.policy.is_ideal() {
            self.export(attempt);
        }
    }

    /// The engine lost the run or did not take it.
    pub(super) fn on_lost(&mut self, attempt: usize) {
        if std::mem::replace(&mut self.attempts[attempt].over, true) {
            return;
        }
        self.end(attempt, Outcome::Failure);
        self.reply(attempt, Event::Refused(attempt, Why::Lost));
    }

    fn end(&mut self, attempt: usize, outcome: Outcome) {
        let engine = self.attempts[attempt].engine;
        let id = types::Attempt(attempt as u128);
        self.agents[engine].runs.remove(&attempt);
        self.agents[engine].pace.on_end(id, self.now);
        self.agents[engine].gate.on_finish(id, outcome);
        self.settle(engine);
    }

    pub(super) fn on_refused(&mut self, attempt: usize, why: Why) {
        let (engine, request) = (
            self.attempts[attempt].engine,
            self.attempts[attempt].request,
        );
        let entry = self.requests[request].entry;
        *self.counts.bounces.entry(why).or_default() += 1;
        if matches!(why, Why::Lost | Why::Suspect | Why::Leaving) {
            self.entries[entry].loads.record_failure(engine, self.now);
        }
        if why == Why::Slow {
            // The fresh load that came along may change the order.
            self.requests[request].left.clear();
            return self.choose(request);
        }
        if why == Why::Deadline {
            return self.refuse(request, why);
        }
        if self.requests[request].left.is_empty() {
            return self.next_round(request);
        }
        self.choose(request);
    }

    fn next_round(&mut self, request: usize) {
        self.requests[request].rounds += 1;
        self.after(
            ROUND_WAIT * self.requests[request].rounds,
            Event::Choose(request),
        );
    }

    fn refuse(&mut self, request: usize, why: Why) {
        self.requests[request].refused = Some(why);
        *self.counts.refusals.entry(why).or_default() += 1;
    }

    /// Sends the present load to the entry of an attempt.
    fn tell(&mut self, attempt: usize) {
        let (engine, request) = (
            self.attempts[attempt].engine,
            self.attempts[attempt].request,
        );
        let entry = self.requests[request].entry;
        let load = self.load(engine);
        self.reply(attempt, Event::Heard(entry, engine, load));
    }

    fn load(&self, engine: usize) -> Load {
        let agent = &self.agents[engine];
        let (waiting, limit) = (agent.gate.queued(), agent.gate.allowed());
        let ahead = (agent.gate.in_flight() + 1).saturating_sub(limit);
        let queued: u32 = agent.waiting.values().sum();
        let wait = agent.pace.expected_wait(self.now, ahead, limit)
            + agent.pace.prefill_time(queued.into());
        let wait = wait.max(agent.held_until.since(self.now));
        let held = u32::from(agent.held_until > self.now) * 1000;
        let computing = agent.pace.prefilling() + waiting + held + 100 * ahead;
        Load {
            wait,
            prefilling: computing,
            received_at: self.now,
        }
    }

    fn reply(&mut self, attempt: usize, event: Event) {
        let (engine, request) = (
            self.attempts[attempt].engine,
            self.attempts[attempt].request,
        );
        let entry = self.requests[request].entry;
        let delay = self.delay(entry, engine);
        if let Event::Refused(..) = event {
            let load = self.load(engine);
            self.after(delay, Event::Heard(entry, engine, load));
        }
        self.after(delay, event);
    }

    fn delay(&self, entry: usize, engine: usize) -> Duration {
        match entry % self.domains == self.engines[engine].domain {
            true => Duration::from_micros(50),
            false => self.domain_delay,
        }
    }

    /// Returns the blocks of a request under the weights of an engine.
    pub(super) fn chain(&self, request: usize, engine: usize) -> Vec<super::engine::Block> {
        let request = &self.requests[request];
        self.blocks(
            request.conversation,
            request.tokens,
            self.engines[engine].weights,
        )
    }
}
