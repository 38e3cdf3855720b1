//! Store hosts: their links, and fetches and exports of blocks.

use context::Class;

use super::engine::Block;
use super::fleet;
use super::world::{Event, Transfer, World};

impl World {
    /// Looks up which blocks the store hosts hold, which takes a round trip between failure
    /// domains.
    pub(super) fn begin_lookup(&mut self, attempt: usize) {
        if !self.policy.has_stores() {
            return self.on_fetched(attempt);
        }
        self.after(self.domain_delay * 2, Event::FetchBegin(attempt));
    }

    pub(super) fn on_fetch_begin(&mut self, attempt: usize) {
        if self.attempts[attempt].is_over {
            return;
        }
        let (engine, request) = (
            self.attempts[attempt].engine,
            self.attempts[attempt].request,
        );
        let chain = self.chain(request, engine);
        let resident = self.engines[engine].cache.prefix(&chain);
        if self.policy.is_ideal() {
            let cached = (self.requests[request].prior_tokens / fleet::BLOCK_TOKENS) as usize;
            let missing = chain[..cached.min(chain.len())].iter().skip(resident);
            self.attempts[attempt].pending_blocks = missing.len();
            let blocks: Vec<Block> = missing.copied().collect();
            let time = fleet::BLOCK_TRANSFER * blocks.len() as u32;
            self.counts.link_bytes += fleet::BLOCK_BYTES * blocks.len() as u64;
            for block in blocks {
                self.engines[engine].cache.insert(block);
            }
            return self.after(time, Event::FetchDeadline(attempt));
        }
        let resident = if self.parameters.trusts_cache {
            resident
        } else {
            0
        };
        let prefixes: Vec<usize> = self
            .stores
            .iter()
            .map(|store| {
                if store.down {
                    0
                } else {
                    store.cache.prefix(&chain)
                }
            })
            .collect();
        // The preferred store host alternates between conversations.
        let first = self.requests[request].conversation % self.stores.len();
        let longest = prefixes.iter().copied().max().unwrap_or(0);
        if longest <= resident {
            return self.on_fetched(attempt);
        }
        let mut pushed = 0;
        for (position, &block) in chain.iter().enumerate().take(longest).skip(resident) {
            let holds = |store: &usize| prefixes[*store] > position;
            let store = (0..self.stores.len())
                .map(|step| (first + step) % self.stores.len())
                .find(holds);
            if let Some(store) = store {
                let transfer = Transfer {
                    block,
                    attempt: Some(attempt),
                };
                self.stores[store].link.push(Class::Fetch, transfer);
                pushed += 1;
            }
        }
        self.attempts[attempt].pending_blocks = pushed;
        if self.parameters.fetch_timeout > 0.0 {
            let tokens = pushed as u32 * fleet::BLOCK_TOKENS;
            let recompute = fleet::prefill_time(tokens).mul_f64(self.parameters.fetch_timeout);
            self.after(recompute, Event::FetchDeadline(attempt));
        }
        self.start_transfers();
    }

    /// Continues with the blocks that have arrived; the rest is recomputed.
    pub(super) fn on_fetch_deadline(&mut self, attempt: usize) {
        if self.attempts[attempt].fetched || self.attempts[attempt].is_over {
            return;
        }
        for store in &mut self.stores {
            store
                .link
                .retain(|transfer| transfer.attempt != Some(attempt));
        }
        self.on_fetched(attempt);
    }

    pub(super) fn on_transferred(&mut self, store: usize, index: usize) {
        let transfer = self.stores[store].running[index];
        self.stores[store].link.finish();
        self.counts.link_bytes += fleet::BLOCK_BYTES;
        match transfer.attempt {
            Some(attempt) => {
                let engine = self.attempts[attempt].engine;
                // A block of another weight version is not imported.
                if transfer.block.2 == self.engines[engine].weights {
                    self.engines[engine].cache.insert(transfer.block);
                }
                self.attempts[attempt].pending_blocks -= 1;
                if self.attempts[attempt].pending_blocks == 0 {
                    self.on_fetched(attempt);
                }
            }
            None if !self.stores[store].down => self.stores[store].cache.insert(transfer.block),
            None => {}
        }
        self.start_transfers();
    }

    pub(super) fn export(&mut self, attempt: usize) {
        let (engine, request) = (
            self.attempts[attempt].engine,
            self.attempts[attempt].request,
        );
        let chain = self.chain(request, engine);
        let class = if self.parameters.prioritizes_fetches {
            Class::Export
        } else {
            Class::Fetch
        };
        for store in &mut self.stores {
            for &block in &chain {
                if !store.down && !store.cache.holds(block) {
                    store.link.push(
                        class,
                        Transfer {
                            block,
                            attempt: None,
                        },
                    );
                }
            }
        }
        self.start_transfers();
    }

    fn on_fetched(&mut self, attempt: usize) {
        if std::mem::replace(&mut self.attempts[attempt].fetched, true) {
            return;
        }
        if self.attempts[attempt].is_over {
            return;
        }
        self.send_if_ready(attempt);
    }

    fn start_transfers(&mut self) {
        for index in 0..self.stores.len() {
            while let Some(transfer) = self.stores[index].link.start() {
                let time = fleet::BLOCK_TRANSFER.mul_f64(self.stores[index].factor);
                self.stores[index].running.push(transfer);
                let number = self.stores[index].running.len() - 1;
                self.after(time, Event::Transferred(index, number));
            }
        }
    }
}
