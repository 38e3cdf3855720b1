use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use types::{Boot, Time};

use super::fleet;

/// A block: conversation, position, weight version.
pub(crate) type Block = (u32, u32, u32);

/// A simulated model engine with continuous batching: it computes the prompts in turn, a chunk of
/// each, and generates at the same time.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) domain: usize,
    pub(crate) boot: Boot,
    /// Changes when the running prompts are lost, which new weights don't cause.
    pub(crate) run: Boot,
    pub(crate) weights: u32,
    pub(crate) running: u32,
    pub(crate) down_until: Time,
    pub(crate) cache: Cache,
    active: VecDeque<Prompt>,
    finished: u32,
}

#[derive(Debug)]
struct Prompt {
    attempt: usize,
    left: u32,
}

/// What an engine does with a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Accepted {
    /// It was taken; `computed` tokens are not reused. An engine that was idle starts to step.
    Runs { computed: u32, starts: bool },
    /// It is away or loads weights, and did not run the request.
    Away,
    /// It was cold and has lost everything over this request.
    Overloaded,
}

impl Engine {
    pub(crate) fn new(domain: usize) -> Self {
        Self {
            domain,
            boot: Boot(1),
            run: Boot(1),
            weights: 1,
            running: 0,
            down_until: Time::default(),
            cache: Cache::new(fleet::ENGINE_BLOCKS),
            active: VecDeque::new(),
            finished: fleet::WARM_AFTER,
        }
    }

    pub(crate) fn accept(
        &mut self,
        now: Time,
        attempt: usize,
        blocks: &[Block],
        tokens: u32,
        ideal: bool,
    ) -> Accepted {
        if now < self.down_until {
            return Accepted::Away;
        }
        let is_cold = self.finished < fleet::WARM_AFTER;
        if is_cold && self.running >= fleet::COLD_LIMIT && !ideal {
            self.turn_cold();
            return Accepted::Overloaded;
        }
        let held = self.cache.prefix(blocks) as u32 * fleet::BLOCK_TOKENS;
        let computed = tokens - held.min(tokens);
        let left = computed.max(1);
        self.active.push_back(Prompt { attempt, left });
        self.running += 1;
        for &block in blocks {
            self.cache.insert(block);
        }
        let starts = self.active.len() == 1;
        Accepted::Runs { computed, starts }
    }

    /// Returns the time that the next chunk takes, or `None` when there is nothing to compute.
    pub(crate) fn next_step(&self) -> Option<Duration> {
        let prompt = self.active.front()?;
        Some(fleet::compute(prompt.left.min(fleet::CHUNK_TOKENS)))
    }

    /// Ends a chunk; returns the attempt whose prompt is computed with it.
    pub(crate) fn step(&mut self) -> Option<usize> {
        let mut prompt = self.active.pop_front()?;
        prompt.left = prompt.left.saturating_sub(fleet::CHUNK_TOKENS);
        if prompt.left == 0 {
            return Some(prompt.attempt);
        }
        self.active.push_back(prompt);
        None
    }

    /// Returns how long a prompt with this much to compute would take; only the bound may know.
    pub(crate) fn ideal(&self, tokens: u32) -> Duration {
        // In turn, each other prompt takes no more than this one does before this one is done.
        let shared: u32 = self
            .active
            .iter()
            .map(|prompt| prompt.left.min(tokens))
            .sum();
        fleet::compute(shared + tokens)
    }

    pub(crate) fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.finished += 1;
    }

    /// Loses runs, cache and warm-up.
    pub(crate) fn turn_cold(&mut self) {
        self.boot.0 += 1;
        self.run = self.boot;
        self.running = 0;
        self.finished = 0;
        self.active.clear();
        self.cache = Cache::new(fleet::ENGINE_BLOCKS);
    }

    /// Serves other weights; the running requests keep their own.
    pub(crate) fn swap(&mut self, weights: u32) {
        self.boot.0 += 1;
        self.weights = weights;
        self.finished = 0;
        self.cache = Cache::new(fleet::ENGINE_BLOCKS);
    }
}

/// A set of blocks that drops the least recently used one.
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

    /// Returns how many of the blocks are held, counted from the first, without a gap.
    pub(crate) fn prefix(&self, blocks: &[Block]) -> usize {
        blocks
            .iter()
            .take_while(|&&block| self.holds(block))
            .count()
    }
}
