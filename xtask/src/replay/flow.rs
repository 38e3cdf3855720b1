//! The path of a request: entry, agent, engine and back.

use std::time::Duration;

use admission::{Decision, Job, Outcome, Refusal};
use routing::{Estimate, Key, Load};
use types::{Boot, Team};

use super::engine::Accepted;
use super::fleet;
use super::parameters::Policy;
use super::world::{Attempt, Event, Reason, World};

/// Maximum rounds over the candidates, as in the entry.
const MAX_ROUNDS: u32 = 8;
/// The delay after the first round; it grows linearly with the rounds.
const ROUND_WAIT: Duration = Duration::from_millis(20);

impl World {
    /// Sends a request to its next candidate, or starts a new round of candidates.
    pub(super) fn choose(&mut self, request: usize) {
        let now = self.now;
        if now >= self.requests[request].deadline {
            return self.refuse(request, Reason::Deadline);
        }
        if self.requests[request].rounds >= MAX_ROUNDS {
            return self.refuse(request, Reason::Full);
        }
        if self.requests[request].remaining_candidates.is_empty() {
            self.requests[request].remaining_candidates = self.candidates(request);
            self.requests[request].remaining_candidates.reverse();
        }
        let Some((engine, max_wait)) = self.requests[request].remaining_candidates.pop() else {
            return self.next_round(request);
        };
        let max_wait = match self.requests[request].redirects {
            routing::MAX_REDIRECTS.. => Duration::MAX,
            _ => max_wait,
        };
        let entry = self.requests[request].entry;
        self.attempts.push(Attempt {
            max_wait,
            request,
            engine,
            admitted: false,
            fetched: false,
            pending_blocks: 0,
            is_over: false,
            boot: Boot(0),
        });
        let delay = self.delay(entry, engine);
        self.after(delay, Event::AtAgent(self.attempts.len() - 1));
    }

    fn candidates(&mut self, request: usize) -> Vec<(usize, Duration)> {
        if self.policy == Policy::Product {
            return self.ranked(request);
        }
        let order = self.baseline(request);
        order
            .into_iter()
            .map(|engine| (engine, Duration::MAX))
            .collect()
    }

    /// Ranks candidates as an entry of the product does.
    fn ranked(&self, request: usize) -> Vec<(usize, Duration)> {
        let state = &self.requests[request];
        let known = &self.entries[state.entry];
        let uses_all = self.parameters.spills && state.rounds > 0;
        let count = if uses_all {
            usize::MAX
        } else {
            self.parameters.candidates
        };
        let best = known.table.candidates("model", self.key(request), count);
        let own_prefill_time = self.own_prefill_time(request);
        let estimate = |engine: &&usize| Estimate {
            queue: known
                .loads
                .expected_wait(*engine, own_prefill_time, self.now)
                .unwrap_or(Duration::MAX / 4),
            ..Estimate::default()
        };
        let estimates: Vec<_> = best.iter().map(estimate).collect();
        let margin = self.parameters.redirect_margin.unwrap_or(Duration::MAX);
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
                let first = known.next_engine % all.len().max(1);
                all.rotate_left(first);
                self.entries[entry].next_engine += 1;
                all
            }
            Policy::Product | Policy::Ideal => {
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

    /// Returns the prefill time of the request as its entry estimates it: without the blocks of
    /// earlier visits.
    fn own_prefill_time(&self, request: usize) -> Duration {
        if !self.parameters.uses_prompt_length {
            return Duration::from_secs(3600);
        }
        fleet::prefill_time(self.uncached_tokens(request))
    }

    /// Returns the tokens that no earlier visit computed, as the entry sends them to the agent.
    fn uncached_tokens(&self, request: usize) -> u32 {
        let request = &self.requests[request];
        request.tokens - request.prior_tokens / fleet::BLOCK_TOKENS * fleet::BLOCK_TOKENS
    }

    /// Returns the exact time to first token at an engine.
    fn ideal_wait(&self, request: usize, engine: usize) -> Duration {
        let chain = self.chain(request, engine);
        let target = &self.engines[engine];
        let held = target.cache.prefix(&chain);
        let cached = (self.requests[request].prior_tokens / fleet::BLOCK_TOKENS) as usize;
        let fetch = fleet::BLOCK_TRANSFER * cached.saturating_sub(held) as u32;
        let reused = held.max(cached) as u32 * fleet::BLOCK_TOKENS;
        let swap = self.agents[engine].available_at.since(self.now);
        let tokens = self.requests[request].tokens - reused;
        // Prompts that are waiting or fetching blocks will be prefilled alternately with this one.
        let agent = &self.agents[engine];
        let fetching = agent
            .runs
            .iter()
            .filter(|&&attempt| !self.attempts[attempt].fetched);
        let fetching = fetching.map(|&attempt| {
            let other = &self.requests[self.attempts[attempt].request];
            other.tokens - other.prior_tokens / fleet::BLOCK_TOKENS * fleet::BLOCK_TOKENS
        });
        let ahead: u32 = agent
            .waiting
            .values()
            .copied()
            .chain(fetching)
            .map(|work| work.min(tokens))
            .sum();
        fetch.max(swap) + fleet::prefill_time(ahead) + target.ideal_prefill_time(tokens)
    }

    pub(super) fn on_dispatch(&mut self, attempt: usize) {
        let own_prefill_time = self.own_prefill_time(self.attempts[attempt].request);
        let load = self.load(self.attempts[attempt].engine);
        if load.expected_wait(own_prefill_time) > self.attempts[attempt].max_wait {
            self.requests[self.attempts[attempt].request].redirects += 1;
            self.attempts[attempt].is_over = true;
            return self.reply(attempt, Event::Refused(attempt, Reason::Slow));
        }
        self.request_admission(attempt);
        if self.policy.is_ideal() && !self.attempts[attempt].is_over {
            self.begin_lookup(attempt);
        }
    }

    pub(super) fn request_admission(&mut self, attempt: usize) {
        let engine = self.attempts[attempt].engine;
        let request = &self.requests[self.attempts[attempt].request];
        let work = self.uncached_tokens(self.attempts[attempt].request);
        let job = Job {
            attempt: types::Attempt(attempt as u128),
            team: Team::from(self.conversations[request.conversation].team.as_str()),
            share: 1,
            work,
            priority: 1,
            deadline: request.deadline,
        };
        let deadline = request.deadline;
        let decision = self.agents[engine].gate.on_request(job);
        if decision == Decision::Wait {
            self.agents[engine].waiting.insert(attempt, work);
            self.at(deadline, Event::Expire(engine));
        }
        self.on_decision(attempt, decision);
        self.apply_decisions(engine);
    }

    pub(super) fn apply_decisions(&mut self, engine: usize) {
        while let Some((attempt, decision)) = self.agents[engine].gate.next_decision(self.now) {
            self.agents[engine].waiting.remove(&(attempt.0 as usize));
            self.on_decision(attempt.0 as usize, decision);
        }
    }

    fn on_decision(&mut self, attempt: usize, decision: Decision) {
        match decision {
            Decision::Wait => {}
            Decision::Admit => {
                self.attempts[attempt].admitted = true;
                let engine = self.attempts[attempt].engine;
                self.agents[engine].runs.insert(attempt);
                let tokens = self.uncached_tokens(self.attempts[attempt].request);
                let id = types::Attempt(attempt as u128);
                self.agents[engine].estimator.on_sent(id, tokens, self.now);
                if !self.policy.is_ideal() {
                    self.begin_lookup(attempt);
                } else {
                    self.send_if_ready(attempt);
                }
            }
            Decision::Refuse(refusal) => {
                let reason = match refusal {
                    Refusal::Full | Refusal::Unconfirmed => Reason::Full,
                    Refusal::Leaving => Reason::Leaving,
                    Refusal::Suspect => Reason::Suspect,
                    Refusal::Deadline => Reason::Deadline,
                };
                self.attempts[attempt].is_over = true;
                self.reply(attempt, Event::Refused(attempt, reason));
            }
        }
    }

    pub(super) fn send_if_ready(&mut self, attempt: usize) {
        let state = &self.attempts[attempt];
        if !(state.admitted && state.fetched) || state.is_over {
            return;
        }
        let (engine, request) = (state.engine, state.request);
        let chain = self.chain(request, engine);
        let held = self.engines[engine].cache.prefix(&chain) as u32 * fleet::BLOCK_TOKENS;
        let tokens = self.requests[request].tokens.saturating_sub(held);
        let id = types::Attempt(attempt as u128);
        self.agents[engine].estimator.on_sent(id, tokens, self.now);
        self.after(fleet::LOCAL_DELAY, Event::AtEngine(attempt));
    }

    pub(super) fn on_accept(&mut self, attempt: usize) {
        if self.attempts[attempt].is_over {
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
            Accepted::Started { computed, was_idle } => {
                self.requests[request].computed = computed;
                let boot = self.engines[engine].boot;
                self.attempts[attempt].boot = boot;
                self.after(fleet::LOCAL_DELAY, Event::Confirmed(attempt, boot));
                if was_idle {
                    self.schedule_step(engine);
                }
            }
            Accepted::Unavailable => self.after(fleet::LOCAL_DELAY, Event::Lost(attempt)),
            Accepted::Overloaded => {
                self.counts.overloads += 1;
                self.fail_engine(engine);
            }
        }
    }

    fn schedule_step(&mut self, engine: usize) {
        if let Some(time) = self.engines[engine].next_step() {
            self.after(time, Event::Step(engine, self.engines[engine].run_id));
        }
    }

    pub(super) fn on_step(&mut self, engine: usize, run_id: Boot) {
        if run_id != self.engines[engine].run_id {
            return;
        }
        if let Some(attempt) = self.engines[engine].step() {
            let answer = self.requests[self.attempts[attempt].request].answer;
            self.after(fleet::LOCAL_DELAY, Event::FirstToken(attempt));
            self.after(fleet::TOKEN_INTERVAL * answer, Event::Finished(attempt));
        }
        self.schedule_step(engine);
    }

    pub(super) fn on_confirmed(&mut self, attempt: usize, boot: Boot) {
        let engine = self.attempts[attempt].engine;
        let id = types::Attempt(attempt as u128);
        self.agents[engine].gate.on_confirm(id, boot);
        self.apply_decisions(engine);
        self.send_load(attempt);
    }

    pub(super) fn on_first(&mut self, attempt: usize) {
        if self.attempts[attempt].is_over {
            return;
        }
        let (engine, request) = (
            self.attempts[attempt].engine,
            self.attempts[attempt].request,
        );
        let id = types::Attempt(attempt as u128);
        self.agents[engine].estimator.on_first_token(id, self.now);
        let delay = self.delay(self.requests[request].entry, engine) + self.client_delay;
        self.after(delay, Event::AtCaller(request));
        self.send_load(attempt);
    }

    pub(super) fn on_finished(&mut self, attempt: usize) {
        if self.attempts[attempt].is_over {
            return;
        }
        self.attempts[attempt].is_over = true;
        let (engine, request) = (
            self.attempts[attempt].engine,
            self.attempts[attempt].request,
        );
        self.engines[engine].finish();
        self.end(attempt, Outcome::Success);
        self.requests[request].done = true;
        self.send_load(attempt);
        if self.policy.has_stores() && !self.policy.is_ideal() {
            self.export(attempt);
        }
    }

    /// The engine lost the run or did not accept it.
    pub(super) fn on_lost(&mut self, attempt: usize) {
        if std::mem::replace(&mut self.attempts[attempt].is_over, true) {
            return;
        }
        self.end(attempt, Outcome::Failure);
        self.reply(attempt, Event::Refused(attempt, Reason::Lost));
    }

    fn end(&mut self, attempt: usize, outcome: Outcome) {
        let engine = self.attempts[attempt].engine;
        let id = types::Attempt(attempt as u128);
        self.agents[engine].runs.remove(&attempt);
        self.agents[engine].estimator.on_end(id, self.now);
        self.agents[engine].gate.on_finish(id, outcome);
        self.apply_decisions(engine);
    }

    pub(super) fn on_refused(&mut self, attempt: usize, reason: Reason) {
        let (engine, request) = (
            self.attempts[attempt].engine,
            self.attempts[attempt].request,
        );
        let entry = self.requests[request].entry;
        *self.counts.bounces.entry(reason).or_default() += 1;
        if matches!(reason, Reason::Lost | Reason::Suspect | Reason::Leaving) {
            self.entries[entry].loads.record_failure(engine, self.now);
        }
        if reason == Reason::Slow {
            // The load report that preceded this refusal may change the order of the candidates.
            self.requests[request].remaining_candidates.clear();
            return self.choose(request);
        }
        if reason == Reason::Deadline {
            return self.refuse(request, reason);
        }
        if self.requests[request].remaining_candidates.is_empty() {
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

    fn refuse(&mut self, request: usize, reason: Reason) {
        self.requests[request].refused = Some(reason);
        *self.counts.refusals.entry(reason).or_default() += 1;
    }

    /// Sends the current load to the entry of an attempt.
    fn send_load(&mut self, attempt: usize) {
        let (engine, request) = (
            self.attempts[attempt].engine,
            self.attempts[attempt].request,
        );
        let entry = self.requests[request].entry;
        let load = self.load(engine);
        self.reply(attempt, Event::LoadReceived(entry, engine, load));
    }

    fn load(&self, engine: usize) -> Load {
        let agent = &self.agents[engine];
        let (waiting, limit) = (agent.gate.queued(), agent.gate.allowed());
        let ahead = (agent.gate.in_flight() + 1).saturating_sub(limit);
        let queued: u32 = agent.waiting.values().sum();
        let wait = agent.estimator.expected_wait(self.now, ahead, limit)
            + agent.estimator.prefill_time(queued.into());
        let wait = wait.max(agent.available_at.since(self.now));
        let held = u32::from(agent.available_at > self.now) * 1000;
        let prefilling = agent.estimator.prefilling() + waiting + held + 100 * ahead;
        Load {
            wait,
            prefilling,
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
            self.after(delay, Event::LoadReceived(entry, engine, load));
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
