use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::watch;
use warp::http::StatusCode;

use super::run::{Answer, Handle, Progress, seed};
use super::{Completion, Settings};

/// Tokens in a block, as in the product.
const BLOCK_TOKENS: usize = 1024;
/// Downtime of the engine after an overload.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Maximum number of runs that can be resumed; older ones are dropped.
const MAX_RUNS: usize = 4096;

pub(crate) struct State {
    settings: Settings,
    boot: u64,
    weights: String,
    loading: bool,
    fence: u64,
    completed: u32,
    down_until: Option<tokio::time::Instant>,
    runs: HashMap<String, (Handle, std::sync::Arc<watch::Sender<Progress>>)>,
    order: VecDeque<String>,
    /// Names of the resident blocks, the least recently used first.
    cache: VecDeque<String>,
    executed: Vec<Value>,
    orders: Vec<Value>,
    /// Log of the requests that exceeded the cold limit.
    overloads: Vec<Value>,
    bad_imports: u32,
}

/// Whether a completion was accepted.
pub(crate) enum Accepted {
    Running(Handle),
    Refused(StatusCode),
}

impl State {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            boot: rand::random::<u32>().into(),
            weights: settings.weights.clone(),
            settings,
            loading: false,
            fence: 0,
            completed: 0,
            down_until: None,
            runs: HashMap::new(),
            order: VecDeque::new(),
            cache: VecDeque::new(),
            executed: Vec::new(),
            orders: Vec::new(),
            overloads: Vec::new(),
            bad_imports: 0,
        }
    }

    /// Starts a completion. Beyond its cold limit, a cold engine loses all its runs and restarts.
    pub(crate) fn accept(&mut self, completion: Completion) -> Accepted {
        if self.is_down() || self.loading {
            return Accepted::Refused(StatusCode::SERVICE_UNAVAILABLE);
        }
        if completion.model != self.settings.model {
            return Accepted::Refused(StatusCode::BAD_REQUEST);
        }
        let running = self.running();
        let cold = self.completed < self.settings.warm_after;
        if cold && running >= self.settings.cold_limit {
            self.overloads.push(json!({
                "at_ms": crate::fault::now_ms(),
                "attempt": completion.request_id,
                "boot": self.boot,
                "running": running,
                "completed": self.completed,
            }));
            self.down_until = Some(tokio::time::Instant::now() + RESTART_TIME);
            self.turn_cold();
            return Accepted::Refused(StatusCode::SERVICE_UNAVAILABLE);
        }
        if running >= self.settings.warm_limit {
            return Accepted::Refused(StatusCode::TOO_MANY_REQUESTS);
        }
        let prompt_tokens = completion.prompt.split_whitespace().count();
        let cached = completion
            .blocks
            .iter()
            .take_while(|name| self.cache.contains(name))
            .count();
        let cached_tokens = (cached * BLOCK_TOKENS).min(prompt_tokens);
        let seed = seed(&completion.prompt);
        self.executed.push(json!({
            "at_ms": crate::fault::now_ms(),
            "attempt": completion.request_id,
            "seed": seed,
            "salt": completion.cache_salt,
            "from": completion.delivered.len(),
            "tokens": completion.max_tokens,
        }));
        let answer = Answer {
            seed,
            tokens: completion.max_tokens,
            prompt_tokens,
            cached_tokens,
        };
        let (handle, sender) = Handle::new(self.boot, answer);
        let sender = std::sync::Arc::new(sender);
        self.insert_run(
            completion.request_id.clone(),
            handle.clone(),
            sender.clone(),
        );
        for name in completion.blocks {
            self.insert_block(name);
        }
        let prefill = self.settings.prefill_us * (prompt_tokens - cached_tokens) as u64;
        let (token_us, tokens) = (self.settings.token_us, completion.max_tokens);
        let from = completion.delivered.len() as u32;
        self.completed += 1;
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_micros(prefill)).await;
            let start = tokio::time::Instant::now();
            for generated in from + 1..=tokens {
                let due = start + Duration::from_micros(token_us * u64::from(generated - from - 1));
                if due > tokio::time::Instant::now() {
                    tokio::time::sleep_until(due).await;
                }
                let is_aborted = !sender.send_if_modified(|progress| {
                    let is_active = *progress != Progress::Aborted;
                    if is_active {
                        *progress = Progress::Generated(generated);
                    }
                    is_active
                });
                if is_aborted {
                    return;
                }
            }
        });
        Accepted::Running(handle)
    }

    pub(crate) fn run(&self, id: &str) -> Option<Handle> {
        self.runs.get(id).map(|(handle, _)| handle.clone())
    }

    pub(crate) fn cancel(&mut self, id: &str) {
        if let Some((_, sender)) = self.runs.remove(id) {
            sender.send_replace(Progress::Aborted);
        }
    }

    pub(crate) fn turn_cold(&mut self) {
        self.boot += 1;
        self.completed = 0;
        self.cache.clear();
        for (_, (_, sender)) in self.runs.drain() {
            sender.send_replace(Progress::Aborted);
        }
        self.order.clear();
    }

    pub(crate) fn drop_cache(&mut self) {
        self.cache.clear();
    }

    pub(crate) fn status(&self) -> Value {
        json!({
            "boot": self.boot,
            "model": self.settings.model,
            "weights": self.weights,
            "running": self.running(),
            "waiting": 0,
        })
    }

    pub(crate) fn log(&self) -> Value {
        json!({
            "executed": self.executed,
            "orders": self.orders,
            "overloads": self.overloads,
            "bad_imports": self.bad_imports,
            "weights": self.weights,
            "cached_blocks": self.cache.len(),
        })
    }

    pub(crate) fn export(&self, name: &String) -> Option<Vec<u8>> {
        self.cache.contains(name).then(|| self.payload(name))
    }

    pub(crate) fn import(&mut self, name: String, weights: &str, bytes: &Bytes) -> StatusCode {
        if weights != self.weights {
            return StatusCode::CONFLICT;
        }
        // The product must never import a corrupt, truncated or mismatched block; tests check this
        // counter.
        if *bytes != self.payload(&name) {
            self.bad_imports += 1;
        }
        self.insert_block(name);
        StatusCode::NO_CONTENT
    }

    /// Starts to load weights, unless the order is fenced off; returns the address of the weight
    /// store.
    pub(crate) fn begin_load(
        &mut self,
        fence: u64,
        weights: &str,
    ) -> Result<Option<String>, StatusCode> {
        if !self.settings.ignore_fence && fence < self.fence {
            return Err(StatusCode::PRECONDITION_FAILED);
        }
        self.fence = self.fence.max(fence);
        self.orders
            .push(json!({ "fence": fence, "weights": weights }));
        self.loading = true;
        Ok(self.settings.weight_store.clone())
    }

    pub(crate) fn abort_load(&mut self) {
        self.loading = false;
    }

    /// Serves the new weights, cold; running completions continue.
    pub(crate) fn end_load(&mut self, weights: String) {
        self.weights = weights;
        self.loading = false;
        self.boot += 1;
        self.completed = 0;
        self.cache.clear();
    }

    fn payload(&self, name: &str) -> Vec<u8> {
        let pattern = format!("{name}:{}:", self.weights);
        pattern
            .bytes()
            .cycle()
            .take(self.settings.block_bytes)
            .collect()
    }

    fn insert_block(&mut self, name: String) {
        self.cache.retain(|other| *other != name);
        self.cache.push_back(name);
        while self.cache.len() > self.settings.blocks {
            self.cache.pop_front();
        }
    }

    fn insert_run(
        &mut self,
        id: String,
        handle: Handle,
        sender: std::sync::Arc<watch::Sender<Progress>>,
    ) {
        self.runs.insert(id.clone(), (handle, sender));
        self.order.push_back(id);
        while self.order.len() > MAX_RUNS
            && let Some(oldest) = self.order.pop_front()
        {
            self.runs.remove(&oldest);
        }
    }

    fn running(&self) -> usize {
        self.runs
            .values()
            .filter(|(handle, _)| handle.is_running())
            .count()
    }

    fn is_down(&self) -> bool {
        self.down_until
            .is_some_and(|until| until > tokio::time::Instant::now())
    }
}
