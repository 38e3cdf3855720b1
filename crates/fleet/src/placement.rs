//! Choice of the target for a request, and the load and health of targets.

use std::collections::HashMap;
use std::time::Duration;

use types::{Target, Time};

/// The requests of one entry in flight at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests sent whose responses have not ended.
    pub running: u32,
    /// Prompt tokens of requests that were sent and have no first token yet.
    pub prefill_tokens: u64,
    /// KV memory taken by the requests in flight, in tokens.
    pub kv_tokens: u64,
}

/// The health of a target.
#[derive(Debug, Clone, Copy, Default)]
struct Health {
    /// The end of the back-off after a failure.
    avoid_until: Time,
    /// Consecutive failures; each doubles the back-off.
    failures: u32,
    /// Until when the target gets no requests because it refused one or is loading new weights.
    refused_until: Time,
    /// When the target last sent anything to this entry.
    heard: Option<Time>,
    /// When the target last sent anything to another entry, as reported by that entry.
    heard_by_peers: Option<Time>,
    /// When the target got a request of this entry while it had none in flight.
    busy_since: Time,
    /// When the target was last probed.
    probed: Option<Time>,
}

/// The load and health of all targets, as one entry sees them.
#[derive(Debug, Default)]
pub struct Tracker {
    loads: HashMap<Target, Load>,
    health: HashMap<Target, Health>,
    /// When the entry last ran its periodic tick.
    last_tick: Time,
    /// The start of the current period of ticks without a stall.
    awake_since: Time,
}

/// A target that may get a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The load of all entries there.
    pub load: Load,
    /// How long the target is busy with other prefills before it begins with this one.
    pub backlog: Duration,
    /// Tokens of the prompt that have to be prefilled there.
    pub prefill_tokens: u64,
    /// The expected duration of that prefill.
    pub prefill_time: Duration,
    /// The expected duration of fetching cached segments.
    pub fetch_time: Duration,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Capacity of its KV memory in tokens; 0 for a plain service.
    pub kv_capacity: u64,
    /// KV memory that the request needs, in tokens.
    pub kv_tokens: u64,
    /// Whether it is in another failure domain than the entry.
    pub remote: bool,
    /// Whether it serves older weights than the newest release.
    pub outdated: bool,
}

/// Duration of one engine step in ms; each chunk of a prompt waits for one.
const STEP_MS: f64 = 5.0;
/// Additional step time per running request, in ms.
const RUNNING_MS: f64 = 0.25;
/// Cost of outdated weights, in ms; a request that starts on them loses a fifth of its value.
const OUTDATED_MS: f64 = 400.0;
/// Cost of a hop to another failure domain, in ms; breaks ties.
const REMOTE_MS: f64 = 0.5;
/// Cost of exceeding the KV memory, in ms per multiple of the capacity.
const MEMORY_MS: f64 = 1500.0;
/// Service time of a request to a plain service in ms, used to estimate its queue.
const PLAIN_MS: f64 = 30.0;

/// The fraction of an engine's KV memory that requests in flight may take. The rest, some 13,000
/// tokens, keeps the first segments that nearly all prompts share (four of 2,520 tokens on the
/// operators' data sheets).
const MAX_FILL: f64 = 0.79;
/// Requests per slot of a plain service; the second one waits there for a few milliseconds.
const PLAIN_DEPTH: u32 = 2;

/// How long a target is avoided after its first failure; each further failure doubles it.
const BACK_OFF: Duration = Duration::from_millis(400);
/// Upper limit of the failure back-off.
const MAX_BACK_OFF: Duration = Duration::from_millis(6400);
/// A target with requests in flight that sends nothing to any entry for this long is avoided.
/// Engines send events every few milliseconds, and plain services respond within some tens of
/// milliseconds.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(600);
/// A target that other entries hear from may still be unreachable for this one; it is avoided after
/// this time. Callers abandon a stream after two seconds at the earliest.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(1700);
/// A target that has sent nothing to any entry for this long is probed; any response counts as a
/// sign of life. It arrives well before the target counts as unresponsive.
const PROBE_DELAY: Duration = Duration::from_millis(350);
/// An entry whose ticks are this far apart was itself stalled, as ticks are at most a few gossip
/// intervals apart. Responses that arrived in the meantime are still to be read.
const STALL_THRESHOLD: Duration = Duration::from_millis(400);
/// How long a target that refused a request for lack of capacity gets no other.
const REFUSED_DELAY: Duration = Duration::from_millis(150);

/// How long a target that seems to be loading new weights gets no other request.
const UPDATE_DELAY: Duration = Duration::from_millis(1200);

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: &Self) {
        self.running = self.running.saturating_add(other.running);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.kv_tokens = self.kv_tokens.saturating_add(other.kv_tokens);
    }

    /// Subtracts another load.
    pub fn subtract(&mut self, other: &Self) {
        self.running = self.running.saturating_sub(other.running);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }

    /// Returns the load multiplied by a factor.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            running: (f64::from(self.running) * factor).round() as u32,
            prefill_tokens: (self.prefill_tokens as f64 * factor).round() as u64,
            kv_tokens: (self.kv_tokens as f64 * factor).round() as u64,
        }
    }
}

impl Candidate {
    /// Returns whether a request fits without evicting resident segments or queueing at the target.
    #[must_use]
    pub fn is_open(&self) -> bool {
        if self.load.running == 0 {
            return true;
        }
        if self.kv_capacity == 0 {
            return self.load.running < self.slots.saturating_mul(PLAIN_DEPTH);
        }
        let filled = self.load.kv_tokens as f64 + self.kv_tokens as f64;
        self.load.running < self.slots && filled <= self.kv_capacity as f64 * MAX_FILL
    }

    /// Returns whether the target runs fewer requests than it can.
    #[must_use]
    pub fn has_slot(&self) -> bool {
        self.load.running == 0 || self.load.running < self.slots
    }

    /// Returns whether a fraction of the memory that requests may take stays free if the request is
    /// placed.
    #[must_use]
    pub fn leaves_free(&self, fraction: f64) -> bool {
        let filled = self.load.kv_tokens as f64 + self.kv_tokens as f64;
        fraction <= 0.0
            || self.load.running == 0
            || filled <= self.kv_capacity as f64 * (MAX_FILL - fraction)
    }

    /// Returns the expected time to first token in ms, plus penalties.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let mut cost = 0.0;
        if self.remote {
            cost += REMOTE_MS;
        }
        if self.outdated {
            cost += OUTDATED_MS;
        }
        if self.kv_capacity == 0 {
            let running = self.load.running.saturating_add(1);
            let waiting = f64::from(running.saturating_sub(self.slots));
            let busy = f64::from(self.load.running) / f64::from(self.slots.max(1));
            return cost
                + PLAIN_MS * waiting / f64::from(self.slots.max(1))
                + busy * PLAIN_MS / 4.0;
        }
        let step = STEP_MS + RUNNING_MS * f64::from(self.load.running);
        let filled = (self.load.kv_tokens as f64 + self.kv_tokens as f64) / self.kv_capacity as f64;
        let excess = (filled - 0.9).max(0.0);
        let wait = (self.backlog + self.fetch_time + self.prefill_time).as_secs_f64() * 1000.0;
        cost + wait + step + MEMORY_MS * excess
    }
}

impl Tracker {
    /// Records that a request is sent.
    pub fn on_sent(&mut self, target: &Target, prefill_tokens: u64, kv_tokens: u64, now: Time) {
        if self.load(target).running == 0 {
            self.health.entry(target.clone()).or_default().busy_since = now;
        }
        let load = self.loads.entry(target.clone()).or_default();
        load.running += 1;
        load.prefill_tokens += prefill_tokens;
        load.kv_tokens += kv_tokens;
    }

    /// Records the first token of a response.
    pub fn on_first_token(&mut self, target: &Target, prefill_tokens: u64) {
        if let Some(load) = self.loads.get_mut(target) {
            load.prefill_tokens = load.prefill_tokens.saturating_sub(prefill_tokens);
        }
    }

    /// Records that a request has ended.
    pub fn on_end(&mut self, target: &Target, kv_tokens: u64) {
        if let Some(load) = self.loads.get_mut(target) {
            load.running = load.running.saturating_sub(1);
            load.kv_tokens = load.kv_tokens.saturating_sub(kv_tokens);
        }
    }

    /// Records that the target has sent something.
    pub fn on_heard(&mut self, target: &Target, now: Time) {
        self.health.entry(target.clone()).or_default().heard = Some(now);
    }

    /// Records when another entry last received something from a target.
    pub fn on_heard_by_peer(&mut self, target: &Target, heard: Time) {
        let health = self.health.entry(target.clone()).or_default();
        health.heard_by_peers = health.heard_by_peers.max(Some(heard));
    }

    /// Records the periodic tick. After a stall, the time since a target was last heard from is
    /// measured from now on.
    ///
    /// Load pattern: the entry's own host is frozen for seconds, or so slow that its timers run
    /// late. All its targets would seem unresponsive, and every request would be started again
    /// elsewhere.
    pub fn on_tick(&mut self, now: Time) {
        if now.since(self.last_tick) >= STALL_THRESHOLD {
            self.awake_since = now;
        }
        self.last_tick = self.last_tick.max(now);
    }

    /// Returns the start of the current period of ticks without a stall.
    #[must_use]
    pub fn awake_since(&self) -> Time {
        self.awake_since
    }

    /// Returns whether a target with requests in flight should be probed now, and records the
    /// probe.
    ///
    /// Load pattern: an engine that is slow, or whose only request pauses between two events, sends
    /// nothing for longer than a dead one would be allowed to. Its work would be started again
    /// elsewhere.
    pub fn should_probe(&mut self, target: &Target, now: Time) -> bool {
        if self.load(target).running == 0 || self.time_since_heard(target, now).1 < PROBE_DELAY {
            return false;
        }
        let health = self.health.entry(target.clone()).or_default();
        let due = health
            .probed
            .is_none_or(|probed| now.since(probed) >= PROBE_DELAY);
        if due {
            health.probed = Some(now);
        }
        due
    }

    /// Returns whether a target with requests in flight has sent nothing for too long. A busy
    /// engine still sends events of other requests; one without power or behind a network partition
    /// sends nothing.
    ///
    /// Load pattern: many entries, each with one request at a busy engine. None of them receives
    /// anything while the engine prefills earlier prompts, but some other entry does.
    #[must_use]
    pub fn is_unresponsive(&self, target: &Target, now: Time) -> bool {
        let (own, any) = self.time_since_heard(target, now);
        self.load(target).running > 0 && (any >= UNRESPONSIVE_TIMEOUT || own >= UNREACHABLE_TIMEOUT)
    }

    /// Records that a target has requests, after it had none from any entry.
    pub fn on_busy(&mut self, target: &Target, now: Time) {
        let health = self.health.entry(target.clone()).or_default();
        health.busy_since = health.busy_since.max(now);
    }

    /// Returns whether a target that runs requests of any entries should be avoided.
    #[must_use]
    pub fn avoids_loaded(&self, target: &Target, running: u32, now: Time) -> bool {
        self.is_blocked(target, now)
            || (running > 0 && self.time_since_heard(target, now).1 >= UNRESPONSIVE_TIMEOUT)
    }

    fn is_blocked(&self, target: &Target, now: Time) -> bool {
        let known = self.health.get(target);
        known.is_some_and(|health| health.avoid_until > now || health.refused_until > now)
    }

    /// Returns for how long a target has sent nothing to this entry, and nothing to any entry.
    fn time_since_heard(&self, target: &Target, now: Time) -> (Duration, Duration) {
        let Some(health) = self.health.get(target) else {
            return (Duration::ZERO, Duration::ZERO);
        };
        let own = health.heard.unwrap_or_default().max(health.busy_since);
        let own = own.max(self.awake_since);
        let any = health.heard_by_peers.unwrap_or_default().max(own);
        (now.since(own), now.since(any))
    }

    /// Returns the targets with requests in flight, with the time since each last sent something.
    pub fn last_heard(&self, now: Time) -> impl Iterator<Item = (&Target, Duration)> {
        let heard = self
            .health
            .iter()
            .filter(|(target, _)| self.load(target).running > 0);
        heard.filter_map(move |(target, health)| Some((target, now.since(health.heard?))))
    }

    /// Records a successful response; it ends the back-off.
    pub fn on_success(&mut self, target: &Target) {
        if let Some(health) = self.health.get_mut(target) {
            health.failures = 0;
            health.avoid_until = Time::default();
        }
    }

    /// Records a failure; the target is avoided for a back-off time.
    pub fn on_failure(&mut self, target: &Target, now: Time) {
        let health = self.health.entry(target.clone()).or_default();
        let backoff = BACK_OFF * 2u32.saturating_pow(health.failures.min(8));
        health.failures += 1;
        health.avoid_until = now + backoff.min(MAX_BACK_OFF);
    }

    /// Records that a target had no capacity.
    pub fn on_refusal(&mut self, target: &Target, now: Time) {
        self.health.entry(target.clone()).or_default().refused_until = now + REFUSED_DELAY;
    }

    /// Records that a target is loading new weights, or refused a request because it serves older
    /// ones.
    pub fn on_updating(&mut self, target: &Target, now: Time) {
        self.health.entry(target.clone()).or_default().refused_until = now + UPDATE_DELAY;
    }

    /// Records that a target has loaded its new weights; it may get requests at once.
    pub fn on_updated(&mut self, target: &Target) {
        if let Some(health) = self.health.get_mut(target) {
            health.refused_until = Time::default();
        }
    }

    /// Returns this entry's load at a target.
    #[must_use]
    pub fn load(&self, target: &Target) -> Load {
        self.loads.get(target).copied().unwrap_or_default()
    }

    /// Returns all loads of this entry.
    pub fn loads(&self) -> impl Iterator<Item = (&Target, &Load)> {
        self.loads.iter()
    }

    /// Returns whether a target should be avoided for now.
    #[must_use]
    pub fn avoids(&self, target: &Target, now: Time) -> bool {
        self.is_blocked(target, now) || self.is_unresponsive(target, now)
    }

    /// Drops the state of targets that no longer exist and have nothing in flight.
    pub fn retain<Known>(&mut self, known: Known)
    where
        Known: Fn(&Target) -> bool,
    {
        self.loads
            .retain(|target, load| known(target) || load.running > 0);
        self.health.retain(|target, _| known(target));
    }
}

/// Returns the index of the cheapest candidate; `draw` breaks ties.
#[must_use]
pub fn best(candidates: &[Candidate], draw: u32) -> Option<usize> {
    let costs: Vec<f64> = candidates.iter().map(Candidate::cost).collect();
    let min = costs.iter().copied().fold(f64::INFINITY, f64::min);
    // Estimates within half a millisecond count as equal; always taking the first would send all
    // entries to the same target.
    let equal: Vec<usize> = (0..costs.len())
        .filter(|&index| costs[index] <= min + 0.5)
        .collect();
    if equal.is_empty() {
        return None;
    }
    Some(equal[draw as usize % equal.len()])
}
