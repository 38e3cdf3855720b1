use std::sync::Arc;

use context::{BLOCK_TOKENS, Block, Class, Envelope, Secret};
use engine::{Client, Engine};
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use store::Blocks;
use tokio::time::{Instant, timeout_at};
use types::{Boot, Weights};

use super::Error;
use super::transfer::Queue;
use crate::metrics::Metrics;
use crate::settings::StoreHost;

/// Transfers context blocks between the engine and the store hosts that cache them.
#[derive(Debug, Clone)]
pub(super) struct Cache {
    engine: Client,
    hosts: Arc<[Host]>,
    metrics: Metrics,
}

#[derive(Debug)]
struct Host {
    hash: u64,
    client: store::Client,
    transfers: Queue,
}

/// The number of store hosts that cache a block.
const REPLICAS: usize = 2;

impl Cache {
    pub(super) fn new(
        engine: Client,
        hosts: &[StoreHost],
        metrics: Metrics,
    ) -> Result<Self, Error> {
        let hosts: Result<Vec<Host>, store::Error> = hosts
            .iter()
            .map(|host| {
                let hash = blake3::hash(host.name.as_bytes());
                let mut bytes = [0; 8];
                bytes.copy_from_slice(&hash.as_bytes()[..8]);
                let client = store::Client::new(&host.address)?;
                Ok(Host {
                    hash: u64::from_le_bytes(bytes),
                    client,
                    transfers: Queue::new(),
                })
            })
            .collect();
        Ok(Self {
            engine,
            hosts: hosts?.into(),
            metrics,
        })
    }

    /// Imports the longest cached prefix of the blocks into the engine; returns its number of
    /// blocks.
    ///
    /// Fetching stops when recomputing all blocks would have taken as long: blocks that fail or are
    /// late are recomputed.
    pub(super) async fn import(
        &self,
        secret: &Secret,
        weights: &Weights,
        blocks: &[Block],
    ) -> usize {
        let tokens = u32::try_from(blocks.len() * BLOCK_TOKENS).unwrap_or(u32::MAX);
        let deadline = Instant::now() + routing::prefill_time(tokens);
        let Ok(Some((host, cached))) = timeout_at(deadline, self.longest_prefix(blocks)).await
        else {
            return 0;
        };
        // The transfer queue bounds how many of them run concurrently.
        let mut payloads = FuturesOrdered::new();
        for block in &blocks[..cached] {
            payloads.push_back(self.fetch(secret, block, host));
        }
        let mut imported = 0;
        // The blocks are imported in order, since an engine only uses a prefix without gaps.
        while imported < cached {
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

    /// Fetches a block from a store host and verifies it.
    async fn fetch(
        &self,
        secret: &Secret,
        block: &Block,
        host: &Host,
    ) -> Result<Vec<u8>, &'static str> {
        let _permit = host.transfers.acquire(Class::Fetch).await;
        let bytes = match host.client.get(&block.id).await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return Err("missing"),
            Err(_) => return Err("store_failed"),
        };
        match Envelope::open(secret, &block.id, &bytes) {
            Ok(payload) => Ok(payload.to_vec()),
            Err(error) => {
                log::warn!("a cached block was rejected: {error}");
                Err("not_verified")
            }
        }
    }

    /// Writes the blocks that the engine computed since this boot to their store hosts.
    ///
    /// An engine with another boot id may have bound the block ids to blocks of other weights.
    pub(super) async fn export(&self, secret: &Secret, blocks: &[Block], boot: Boot) {
        for host in self.replica_hosts(blocks) {
            let ids: Vec<_> = blocks.iter().map(|block| block.id).collect();
            let Ok(cached) = host.client.prefix_len(&ids).await else {
                continue;
            };
            for id in &ids[cached..] {
                let Ok(Some(payload)) = self.engine.export(id).await else {
                    break;
                };
                let status = self.engine.status().await;
                if !status.is_ok_and(|status| status.boot == boot) {
                    return;
                }
                let envelope = Envelope::seal(secret, id, &payload);
                let Some(_permit) = host.transfers.acquire(Class::Export).await else {
                    self.metrics.blocks.with_label_values(&["dropped"]).inc();
                    break;
                };
                if host.client.put(id, envelope).await.is_err() {
                    break;
                }
                self.metrics.blocks.with_label_values(&["exported"]).inc();
            }
        }
    }

    async fn longest_prefix(&self, blocks: &[Block]) -> Option<(&Host, usize)> {
        let ids: Vec<_> = blocks.iter().map(|block| block.id).collect();
        for host in self.replica_hosts(blocks) {
            if let Ok(cached) = host.client.prefix_len(&ids).await
                && cached > 0
            {
                return Some((host, cached));
            }
        }
        None
    }

    /// Returns the store hosts of a conversation, which its first block determines.
    fn replica_hosts(&self, blocks: &[Block]) -> Vec<&Host> {
        let Some(first) = blocks.first() else {
            return Vec::new();
        };
        let key = routing::Key::new(&[first.id.as_bytes()]);
        let hosts = self
            .hosts
            .iter()
            .enumerate()
            .map(|(index, host)| (host.hash, index));
        routing::top(key, hosts, REPLICAS)
            .into_iter()
            .map(|index| &self.hosts[index])
            .collect()
    }
}
