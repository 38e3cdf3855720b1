use std::sync::Arc;

use context::{Block, Envelope, Secret};
use engine::{Client, Engine};
use store::Blocks;
use types::{Boot, Weights};

use super::Error;
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
                })
            })
            .collect();
        Ok(Self {
            engine,
            stores: stores?.into(),
            metrics,
        })
    }

    /// Brings the longest held prefix of the blocks into the engine.
    ///
    /// Returns how many blocks it brought; whatever fails leaves the rest to be recomputed.
    pub(super) async fn import(
        &self,
        secret: &Secret,
        weights: &Weights,
        blocks: &[Block],
    ) -> usize {
        let Some((store, held)) = self.longest(blocks).await else {
            return 0;
        };
        for (index, block) in blocks[..held].iter().enumerate() {
            let outcome = self.import_one(secret, weights, block, store).await;
            self.metrics.blocks.with_label_values(&[outcome]).inc();
            if outcome != "imported" {
                return index;
            }
        }
        held
    }

    async fn import_one(
        &self,
        secret: &Secret,
        weights: &Weights,
        block: &Block,
        store: &Host,
    ) -> &'static str {
        let bytes = match store.client.get(&block.id).await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return "missing",
            Err(_) => return "store_failed",
        };
        let payload = match Envelope::open(secret, &block.id, &bytes) {
            Ok(payload) => payload,
            Err(miss) => {
                log::warn!("a kept block was not used: {miss}");
                return "not_verified";
            }
        };
        match self
            .engine
            .import(&block.id, weights, payload.to_vec())
            .await
        {
            Ok(()) => "imported",
            Err(_) => "import_failed",
        }
    }

    /// Writes the blocks that the engine computed since this boot to their store hosts.
    ///
    /// An engine with another boot id may have bound the names to blocks of other weights.
    pub(super) async fn export(&self, secret: &Secret, blocks: &[Block], boot: Boot) {
        for store in self.placed(blocks) {
            let ids: Vec<_> = blocks.iter().map(|block| block.id).collect();
            let Ok(held) = store.client.held(&ids).await else {
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
            if let Ok(held) = store.client.held(&ids).await
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
