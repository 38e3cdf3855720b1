//! Which target answers a request first.

use std::collections::HashMap;
use std::time::Duration;

use types::{Target, Time};

/// What one entry has under way at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests that were sent and not answered to their end.
    pub running: u32,
    /// Tokens of prompts that were sent and have no first event.
    pub prefill_tokens: u64,
    /// Tokens of memory that the requests under way take.
    pub kv_tokens: u64,
}

/// What is known of a target's behaviour.
#[derive(Debug, Clone, Copy, Default)]
struct Health {
    avoid_until: Time,
    failures: u32,
    refused_until: Time,
    /// When the target last sent anything to this entry.
    heard: Option<Time>,
    /// When the target last sent anything to another entry, as far as this one was told.
    others: Option<Time>,
    /// When the target got a request of this entry while it had none.
    begun: Time,
    /// When it was last asked whether it is there.
    asked: Option<Time>,
}

/// The loads and the health of all targets, as one entry sees them.
#[derive(Debug, Default)]
pub struct Tracker {
    own: HashMap<Target, Load>,
    health: HashMap<Target, Health>,
    /// When the entry last looked at its targets.
    looked: Time,
    /// Since when it has looked at them without a break.
    awake: Time,
}

/// A target that may get a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// What is under way there, from all entries.
    pub load: Load,
    /// How long the target reads prompts before it begins with this one.
    pub backlog: Duration,
    /// Tokens of the prompt that have to be read there.
    pub prefill_tokens: u64,
    /// How long that takes.
    pub prefill_time: Duration,
    /// How long it takes to bring what is kept elsewhere.
    pub fetch_time: Duration,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Tokens of its memory; 0 for a plain service.
    pub kv_capacity: u64,
    /// Tokens that the request needs in memory.
    pub kv_tokens: u64,
    /// Whether it is in another failure domain than the entry.
    pub remote: bool,
    /// Whether it serves older weights than the newest named ones.
    pub outdated: bool,
}

/// The time of one step of an engine in ms, which each chunk of a prompt waits for.
const STEP_MS: f64 = 5.0;
/// What a running request adds to the time of a step, in ms.
const RUNNING_MS: f64 = 0.25;
/// What older weights cost, in ms: a start on them loses a fifth of the worth.
const OUTDATED_MS: f64 = 400.0;
/// What a hop to another failure domain costs, in ms; breaks ties.
const REMOTE_MS: f64 = 0.5;
/// The wait that a full memory adds, in ms, for each part by which it is exceeded.
const MEMORY_MS: f64 = 1500.0;
/// The work of a request to a plain service in ms, for its queue.
const PLAIN_MS: f64 = 30.0;

/// The part of an engine's memory that requests under way may take; the rest, some 13,000 tokens,
/// keeps the first parts that nearly all prompts share (four of 2,520 tokens on the operators'
/// sheets).
const FILL: f64 = 0.79;
/// Requests for each slot of a plain service; the second one waits there for a few milliseconds.
const PLAIN_DEPTH: u32 = 2;

/// How long a target is avoided after its first failure; each further one doubles it.
const AVOID: Duration = Duration::from_millis(400);
/// The longest time that a target is avoided.
const MOST_AVOID: Duration = Duration::from_millis(6400);
/// A target with requests under way that sends nothing to any entry for this long is left out.
/// Engines send events each few milliseconds, plain services answer in some tens of them.
const SILENCE: Duration = Duration::from_millis(600);
/// A target that others hear may still be out of this entry's reach; it is left out after this long.
/// Callers give up a stream after two seconds at the earliest.
const UNREACHED: Duration = Duration::from_millis(1700);
/// A target that has sent nothing to any entry for this long is asked whether it is there; what it
/// answers counts as heard. The answer comes well before the target counts as silent.
const QUIET: Duration = Duration::from_millis(350);
/// An entry that has not looked at its targets for this long stood still itself, as the looks are
/// at most a few times the tick of the words apart. What was sent meanwhile waits to be read.
const STALL: Duration = Duration::from_millis(400);
/// How long a target that refused a request for lack of room gets no other.
const REFUSED: Duration = Duration::from_millis(150);

/// How long a target that seems to take new weights gets no other request.
const CHANGE: Duration = Duration::from_millis(1200);

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: &Self) {
        self.running = self.running.saturating_add(other.running);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.kv_tokens = self.kv_tokens.saturating_add(other.kv_tokens);
    }

    /// Takes another load away.
    pub fn subtract(&mut self, other: &Self) {
        self.running = self.running.saturating_sub(other.running);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }

    /// Returns a multiple of the load.
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
    /// Says whether a request fits without pushing out what the target keeps or making it wait.
    #[must_use]
    pub fn is_open(&self) -> bool {
        if self.load.running == 0 {
            return true;
        }
        if self.kv_capacity == 0 {
            return self.load.running < self.slots.saturating_mul(PLAIN_DEPTH);
        }
        let filled = self.load.kv_tokens as f64 + self.kv_tokens as f64;
        self.load.running < self.slots && filled <= self.kv_capacity as f64 * FILL
    }

    /// Returns the expected time to the first event in ms, with what else speaks against it.
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
    /// Records a request that is sent.
    pub fn on_sent(&mut self, target: &Target, reading: u64, memory: u64, now: Time) {
        if self.load(target).running == 0 {
            self.health.entry(target.clone()).or_default().begun = now;
        }
        let load = self.own.entry(target.clone()).or_default();
        load.running += 1;
        load.prefill_tokens += reading;
        load.kv_tokens += memory;
    }

    /// Records the first event of an answer.
    pub fn on_first_token(&mut self, target: &Target, reading: u64) {
        if let Some(load) = self.own.get_mut(target) {
            load.prefill_tokens = load.prefill_tokens.saturating_sub(reading);
        }
    }

    /// Records that a request is over.
    pub fn on_end(&mut self, target: &Target, memory: u64) {
        if let Some(load) = self.own.get_mut(target) {
            load.running = load.running.saturating_sub(1);
            load.kv_tokens = load.kv_tokens.saturating_sub(memory);
        }
    }

    /// Records that a target sent something.
    pub fn on_heard(&mut self, target: &Target, now: Time) {
        self.health.entry(target.clone()).or_default().heard = Some(now);
    }

    /// Records when another entry heard a target.
    pub fn on_heard_by_peer(&mut self, target: &Target, heard: Time) {
        let health = self.health.entry(target.clone()).or_default();
        health.others = health.others.max(Some(heard));
    }

    /// Records that the entry looks at its targets. After a time in which it did not, silence counts
    /// anew.
    ///
    /// Load pattern: the entry's own host is frozen for seconds, or so slow that its timers run late.
    /// All its targets seem silent then, and everything would be started again elsewhere.
    pub fn on_tick(&mut self, now: Time) {
        if now.since(self.looked) >= STALL {
            self.awake = now;
        }
        self.looked = self.looked.max(now);
    }

    /// Returns since when the entry has looked at its targets without a break.
    #[must_use]
    pub fn awake_since(&self) -> Time {
        self.awake
    }

    /// Says whether a target with requests under way is to be asked whether it is there.
    ///
    /// Load pattern: an engine that is slow, or whose only request pauses between two events, sends
    /// nothing for longer than one without power would be given. Its work would be started again
    /// elsewhere.
    pub fn should_probe(&mut self, target: &Target, now: Time) -> bool {
        if self.load(target).running == 0 || self.quiet(target, now).1 < QUIET {
            return false;
        }
        let health = self.health.entry(target.clone()).or_default();
        let due = health.asked.is_none_or(|asked| now.since(asked) >= QUIET);
        if due {
            health.asked = Some(now);
        }
        due
    }

    /// Says whether a target that has requests under way has sent nothing for long. A busy engine
    /// still sends events of other requests; one without power or behind a cut sends nothing.
    ///
    /// Load pattern: many entries, each with one request at a busy engine. None of them hears
    /// anything while the engine reads the prompts before its own, but some other entry does.
    #[must_use]
    pub fn is_unresponsive(&self, target: &Target, now: Time) -> bool {
        let (own, any) = self.quiet(target, now);
        self.load(target).running > 0 && (any >= SILENCE || own >= UNREACHED)
    }

    /// Records that a target has requests, after it had none of any entry.
    pub fn on_busy(&mut self, target: &Target, now: Time) {
        let health = self.health.entry(target.clone()).or_default();
        health.begun = health.begun.max(now);
    }

    /// Says whether a target is to be left out that has requests of any entries.
    #[must_use]
    pub fn avoids_loaded(&self, target: &Target, running: u32, now: Time) -> bool {
        self.is_barred(target, now) || (running > 0 && self.quiet(target, now).1 >= SILENCE)
    }

    fn is_barred(&self, target: &Target, now: Time) -> bool {
        let known = self.health.get(target);
        known.is_some_and(|health| health.avoid_until > now || health.refused_until > now)
    }

    /// Returns for how long a target has sent nothing to this entry, and nothing to any entry.
    fn quiet(&self, target: &Target, now: Time) -> (Duration, Duration) {
        let Some(health) = self.health.get(target) else {
            return (Duration::ZERO, Duration::ZERO);
        };
        let own = health.heard.unwrap_or_default().max(health.begun);
        let own = own.max(self.awake);
        let any = health.others.unwrap_or_default().max(own);
        (now.since(own), now.since(any))
    }

    /// Returns the targets with requests under way, and how long ago each was heard.
    pub fn last_heard(&self, now: Time) -> impl Iterator<Item = (&Target, Duration)> {
        let heard = self
            .health
            .iter()
            .filter(|(target, _)| self.load(target).running > 0);
        heard.filter_map(move |(target, health)| Some((target, now.since(health.heard?))))
    }

    /// Records an answer that shows a target to be sound.
    pub fn on_success(&mut self, target: &Target) {
        if let Some(health) = self.health.get_mut(target) {
            health.failures = 0;
            health.avoid_until = Time::default();
        }
    }

    /// Records a failure; the target is avoided for a while.
    pub fn on_failure(&mut self, target: &Target, now: Time) {
        let health = self.health.entry(target.clone()).or_default();
        let avoid = AVOID * 2u32.saturating_pow(health.failures.min(8));
        health.failures += 1;
        health.avoid_until = now + avoid.min(MOST_AVOID);
    }

    /// Records that a target had no room.
    pub fn on_refusal(&mut self, target: &Target, now: Time) {
        self.health.entry(target.clone()).or_default().refused_until = now + REFUSED;
    }

    /// Records that a target is taking new weights, or refused while it serves older ones.
    pub fn on_updating(&mut self, target: &Target, now: Time) {
        self.health.entry(target.clone()).or_default().refused_until = now + CHANGE;
    }

    /// Records that a target has its new weights; it may get requests at once.
    pub fn on_updated(&mut self, target: &Target) {
        if let Some(health) = self.health.get_mut(target) {
            health.refused_until = Time::default();
        }
    }

    /// Returns what this entry has under way at a target.
    #[must_use]
    pub fn load(&self, target: &Target) -> Load {
        self.own.get(target).copied().unwrap_or_default()
    }

    /// Returns all loads of this entry.
    pub fn loads(&self) -> impl Iterator<Item = (&Target, &Load)> {
        self.own.iter()
    }

    /// Says whether a target is to be left out for now.
    #[must_use]
    pub fn avoids(&self, target: &Target, now: Time) -> bool {
        self.is_barred(target, now) || self.is_unresponsive(target, now)
    }

    /// Forgets targets that are gone and have nothing under way.
    pub fn retain<Known>(&mut self, known: Known)
    where
        Known: Fn(&Target) -> bool,
    {
        self.own
            .retain(|target, load| known(target) || load.running > 0);
        self.health.retain(|target, _| known(target));
    }
}

/// Returns the position of the best candidate; equal ones are told apart by `draw`.
#[must_use]
pub fn best(candidates: &[Candidate], draw: u32) -> Option<usize> {
    let costs: Vec<f64> = candidates.iter().map(Candidate::cost).collect();
    let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
    // Estimates within half a millisecond are equal; always taking the first would send all
    // entries to the same target.
    let equal: Vec<usize> = (0..costs.len())
        .filter(|&index| costs[index] <= least + 0.5)
        .collect();
    if equal.is_empty() {
        return None;
    }
    Some(equal[draw as usize % equal.len()])
}
