use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use types::{Boot, Time};

use super::fleet;

/// A block, identified by conversation, position and weight version.
pub(crate) type Block = (u32, u32, u32);

/// A simulated model engine with continuous batching and chunked prefill: it prefills a chunk of
/// each prompt in turn, while running requests generate tokens.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) domain: usize,
    pub(crate) boot: Boot,
    /// Like `boot`, but only changes when the running prompts are lost, which a change of weights
    /// does not cause.
    pub(crate) run_id: Boot,
    pub(crate) weights: u32,
    pub(crate) running: u32,
    pub(crate) down_until: Time,
    pub(crate) cache: Cache,
    prefilling: VecDeque<Prompt>,
    completed: u32,
}

#[derive(Debug)]
struct Prompt {
    attempt: usize,
    remaining: u32,
}

/// The response of an engine to a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Accepted {
    /// The request was accepted, and `computed` tokens have to be prefilled. If the engine was
    /// idle, the caller has to schedule its next step.
    Started { computed: u32, was_idle: bool },
    /// The engine is down, so the request was not run.
    Unavailable,
    /// The engine was cold and lost its runs, cache and warm-up because of this request.
    Overloaded,
}

impl Engine {
    pub(crate) fn new(domain: usize) -> Self {
        Self {
            domain,
            boot: Boot(1),
            run_id: Boot(1),
            weights: 1,
            running: 0,
            down_until: Time::default(),
            cache: Cache::new(fleet::ENGINE_BLOCKS),
            prefilling: VecDeque::new(),
            completed: fleet::WARM_AFTER,
        }
    }

    pub(crate) fn accept(
        &mut self,
        now: Time,
        attempt: usize,
        blocks: &[Block],
        tokens: u32,
        is_ideal: bool,
    ) -> Accepted {
        if now < self.down_until {
            return Accepted::Unavailable;
        }
        let is_cold = self.completed < fleet::WARM_AFTER;
        if is_cold && self.running >= fleet::COLD_LIMIT && !is_ideal {
            self.turn_cold();
            return Accepted::Overloaded;
        }
        let held = self.cache.prefix(blocks) as u32 * fleet::BLOCK_TOKENS;
        let computed = tokens - held.min(tokens);
        let remaining = computed.max(1);
        self.prefilling.push_back(Prompt { attempt, remaining });
        self.running += 1;
        for &block in blocks {
            self.cache.insert(block);
        }
        let was_idle = self.prefilling.len() == 1;
        Accepted::Started { computed, was_idle }
    }

    /// Returns the prefill time of the next chunk, or `None` if there is nothing to prefill.
    pub(crate) fn next_step(&self) -> Option<Duration> {
        let prompt = self.prefilling.front()?;
        Some(fleet::prefill_time(
            prompt.remaining.min(fleet::CHUNK_TOKENS),
        ))
    }

    /// Completes a chunk; returns the attempt if this completes the prefill of its prompt.
    pub(crate) fn step(&mut self) -> Option<usize> {
        let mut prompt = self.prefilling.pop_front()?;
        prompt.remaining = prompt.remaining.saturating_sub(fleet::CHUNK_TOKENS);
        if prompt.remaining == 0 {
            return Some(prompt.attempt);
        }
        self.prefilling.push_back(prompt);
        None
    }

    /// Returns the exact time to prefill a prompt with this many uncached tokens; only the ideal
    /// policy may use it.
    pub(crate) fn ideal_prefill_time(&self, tokens: u32) -> Duration {
        // Chunks alternate, so each other prompt delays this one by at most this one's own length.
        let shared: u32 = self
            .prefilling
            .iter()
            .map(|prompt| prompt.remaining.min(tokens))
            .sum();
        fleet::prefill_time(shared + tokens)
    }

    pub(crate) fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.completed += 1;
    }

    /// Loses runs, cache and warm-up.
    pub(crate) fn turn_cold(&mut self) {
        self.boot.0 += 1;
        self.run_id = self.boot;
        self.running = 0;
        self.completed = 0;
        self.prefilling.clear();
        self.cache = Cache::new(fleet::ENGINE_BLOCKS);
    }

    /// Switches to other weights; running requests continue with the old ones.
    pub(crate) fn swap(&mut self, weights: u32) {
        self.boot.0 += 1;
        self.weights = weights;
        self.completed = 0;
        self.cache = Cache::new(fleet::ENGINE_BLOCKS);
    }
}

/// A set of blocks with least-recently-used eviction.
#[derive(Debug)]
pub(crate) struct Cache {
    blocks: HashMap<Block, u64>,
    order: VecDeque<(Block, u64)>,
    stamp: u64,
    capacity: usize,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            blocks: HashMap::new(),
            order: VecDeque::new(),
            stamp: 0,
            capacity,
        }
    }

    pub(crate) fn insert(&mut self, block: Block) {
        self.stamp += 1;
        self.blocks.insert(block, self.stamp);
        self.order.push_back((block, self.stamp));
        while self.blocks.len() > self.capacity
            && let Some((oldest, stamp)) = self.order.pop_front()
        {
            if self.blocks.get(&oldest) == Some(&stamp) {
                self.blocks.remove(&oldest);
            }
        }
    }

    pub(crate) fn holds(&self, block: Block) -> bool {
        self.blocks.contains_key(&block)
    }

    /// Returns the length of the longest prefix of the blocks that is held.
    pub(crate) fn prefix(&self, blocks: &[Block]) -> usize {
        blocks
            .iter()
            .take_while(|&&block| self.holds(block))
            .count()
    }
}
