use std::sync::Arc;

use context::{BLOCK_TOKENS, Block, Class, Envelope, Secret};
use engine::{Client, Engine};
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use store::Blocks;
use tokio::time::{Instant, timeout_at};
use types::{Boot, Weights};

use super::Error;
use super::lane::Lane;
use crate::metrics::Metrics;
use crate::settings::StoreHost;

/// Moves kept context between the engine and the store hosts.
#[derive(Debug, Clone)]
pub(super) struct Kept {
    engine: Client,
    stores: Arc<[Host]>,
    metrics: Metrics,
}

#[derive(Debug)]
struct Host {
    hash: u64,
    client: store::Client,
    lane: Lane,
}

/// The number of store hosts that hold a block.
const COPIES: usize = 2;

impl Kept {
    pub(super) fn new(
        engine: Client,
        stores: &[StoreHost],
        metrics: Metrics,
    ) -> Result<Self, Error> {
        let stores: Result<Vec<Host>, store::Error> = stores
            .iter()
            .map(|host| {
                let hash = blake3::hash(host.name.as_bytes());
                let mut bytes = [0; 8];
                bytes.copy_from_slice(&hash.as_bytes()[..8]);
                let client = store::Client::new(&host.address)?;
                Ok(Host {
                    hash: u64::from_le_bytes(bytes),
                    client,
                    lane: Lane::new(),
                })
            })
            .collect();
        Ok(Self {
            engine,
            stores: stores?.into(),
            metrics,
        })
    }

    /// Brings the longest held prefix of the blocks into the engine; returns how many blocks it is.
    ///
    /// Fetching stops when recomputing everything would have taken as long: whatever fails or is
    /// late is left to be recomputed.
    pub(super) async fn import(
        &self,
        secret: &Secret,
        weights: &Weights,
        blocks: &[Block],
    ) -> usize {
        let tokens = u32::try_from(blocks.len() * BLOCK_TOKENS).unwrap_or(u32::MAX);
        let deadline = Instant::now() + routing::prefill_time(tokens);
        let Ok(Some((store, held))) = timeout_at(deadline, self.longest(blocks)).await else {
            return 0;
        };
        // The lane bounds how many of them run at the same time.
        let mut payloads = FuturesOrdered::new();
        for block in &blocks[..held] {
            payloads.push_back(self.fetch(secret, block, store));
        }
        let mut imported = 0;
        // The blocks come in order, since an engine uses a prefix without gaps only.
        while imported < held {
            let outcome = match timeout_at(deadline, payloads.next()).await {
                Err(_) => Err("late"),
                Ok(None) => break,
                Ok(Some(Err(outcome))) => Err(outcome),
                Ok(Some(Ok(payload))) => {
                    let id = &blocks[imported].id;
                    let import = self.engine.import(id, weights, payload).await;
                    import.map_err(|_| "import_failed")
                }
            };
            let label = outcome.err().unwrap_or("imported");
            self.metrics.blocks.with_label_values(&[label]).inc();
            if outcome.is_err() {
                break;
            }
            imported += 1;
        }
        imported
    }

    /// Reads a block from a store and verifies it.
    async fn fetch(
        &self,
        secret: &Secret,
        block: &Block,
        store: &Host,
    ) -> Result<Vec<u8>, &'static str> {
        let _turn = store.lane.turn(Class::Fetch).await;
        let bytes = match store.client.get(&block.id).await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return Err("missing"),
            Err(_) => return Err("store_failed"),
        };
        match Envelope::open(secret, &block.id, &bytes) {
            Ok(payload) => Ok(payload.to_vec()),
            Err(miss) => {
                log::warn!("a kept block was not used: {miss}");
                Err("not_verified")
            }
        }
    }

    /// Writes the blocks that the engine computed since this boot to their store hosts.
    ///
    /// An engine with another boot id may have bound the names to blocks of other weights.
    pub(super) async fn export(&self, secret: &Secret, blocks: &[Block], boot: Boot) {
        for store in self.placed(blocks) {
            let ids: Vec<_> = blocks.iter().map(|block| block.id).collect();
            let Ok(held) = store.client.prefix_len(&ids).await else {
                continue;
            };
            for id in &ids[held..] {
                let Ok(Some(payload)) = self.engine.export(id).await else {
                    break;
                };
                let status = self.engine.status().await;
                if !status.is_ok_and(|status| status.boot == boot) {
                    return;
                }
                let sealed = Envelope::seal(secret, id, &payload);
                let Some(_turn) = store.lane.turn(Class::Export).await else {
                    self.metrics.blocks.with_label_values(&["dropped"]).inc();
                    break;
                };
                if store.client.put(id, sealed).await.is_err() {
                    break;
                }
                self.metrics.blocks.with_label_values(&["exported"]).inc();
            }
        }
    }

    async fn longest(&self, blocks: &[Block]) -> Option<(&Host, usize)> {
        let ids: Vec<_> = blocks.iter().map(|block| block.id).collect();
        for store in self.placed(blocks) {
            if let Ok(held) = store.client.prefix_len(&ids).await
                && held > 0
            {
                return Some((store, held));
            }
        }
        None
    }

    /// Returns the store hosts of a conversation, which follow from its first block.
    fn placed(&self, blocks: &[Block]) -> Vec<&Host> {
        let Some(first) = blocks.first() else {
            return Vec::new();
        };
        let key = routing::Key::new(&[first.id.as_bytes()]);
        let hosts = self
            .stores
            .iter()
            .enumerate()
            .map(|(index, host)| (host.hash, index));
        routing::top(key, hosts, COPIES)
            .into_iter()
            .map(|index| &self.stores[index])
            .collect()
    }
}
