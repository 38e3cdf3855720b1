use std::sync::Arc;
use std::time::Duration;

use admission::Outcome;
use arc_swap::ArcSwapOption;
use context::Secret;
use engine::{Chunk, Client, Completion, Engine, Status, Stream as _};
use rules::Priority;
use tokio::time::Instant;
use types::{Boot, Model, Verdict};
use wire::{Admitted, Dispatch, Frame, Prompt, Reason, Stream, Usage};

use super::cache::Cache;
use super::completion::{Buffer, Ending, follow};
use super::gate::Gate;
use super::{Error, Shared};
use crate::metrics::Metrics;
use crate::settings::Settings;

/// The model engine beside this agent.
#[derive(Debug)]
pub(super) struct Backend {
    engine: Client,
    model: Model,
    last_status: Arc<ArcSwapOption<Status>>,
    cache: Cache,
    secret: String,
    abandon_timeout: Duration,
}

/// How often the status of the engine is polled.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// How many times a broken stream from the engine is resumed before the completion counts as lost.
const MAX_RESUMES: u32 = 2;

impl Backend {
    /// Sets up the client and starts to probe the engine.
    pub(super) fn spawn(
        settings: &Settings,
        model: Model,
        address: &str,
        gate: &Gate,
        metrics: &Metrics,
    ) -> Result<Self, Error> {
        let engine = Client::new(address)?;
        let last_status = Arc::new(ArcSwapOption::empty());
        tokio::spawn(probe(
            engine.clone(),
            gate.clone(),
            Arc::clone(&last_status),
        ));
        let cache = Cache::new(engine.clone(), &settings.stores, metrics.clone())?;
        Ok(Self {
            engine,
            model,
            last_status,
            cache,
            secret: settings.context_secret.clone(),
            abandon_timeout: Duration::from_millis(settings.abandon_ms),
        })
    }

    /// Returns whether the engine with this boot id serves the weights that the block ids were
    /// derived from.
    ///
    /// A changed boot id alone only means that the engine is cold.
    async fn serves_same_weights(&self, status: &Status, boot: Boot) -> bool {
        if status.boot == boot {
            return true;
        }
        let current = self.engine.status().await;
        current.is_ok_and(|current| current.boot == boot && current.weights == status.weights)
    }

    /// Returns the client of the engine.
    pub(super) fn engine(&self) -> Client {
        self.engine.clone()
    }
}

async fn probe(engine: Client, gate: Gate, last_status: Arc<ArcSwapOption<Status>>) {
    loop {
        if let Ok(status) = engine.status().await {
            let boot = status.boot;
            last_status.store(Some(Arc::new(status)));
            gate.record_probe(boot).await;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Runs a prompt on the engine and sends the completion as it grows.
pub(super) async fn run(
    shared: &Arc<Shared>,
    backend: &Backend,
    dispatch: &Dispatch,
    prompt: Prompt,
    deadline: Instant,
    stream: &mut Stream,
) {
    match start(shared, backend, dispatch, prompt, deadline).await {
        Ok(started) => {
            let admitted = Frame::Admitted(Admitted {
                load: shared.gate.state().load,
                version: shared.view.version(),
            });
            if stream.sender.send(&admitted).await.is_ok() {
                let from = started.from;
                follow(&started.buffer, from, stream, shared).await;
            }
        }
        Err(refused) => {
            let _ = stream.sender.send(&refused).await;
        }
    }
}

struct Started {
    buffer: Arc<Buffer>,
    from: u32,
}

async fn start(
    shared: &Arc<Shared>,
    backend: &Backend,
    dispatch: &Dispatch,
    prompt: Prompt,
    deadline: Instant,
) -> Result<Started, Frame> {
    if prompt.model != backend.model {
        return Err(shared.refuse(dispatch.request, Reason::WrongTarget));
    }
    let tokens = context::tokenize(&prompt.text).count();
    let work = u32::try_from(tokens).unwrap_or(u32::MAX);
    if let Err(reason) = shared.gate.admit(dispatch, work).await {
        return Err(shared.refuse(dispatch.request, reason));
    }
    // Read only now: the weights may have changed while the request waited for admission.
    let Some(status) = backend.last_status.load_full() else {
        let cancelled = Outcome::Cancelled;
        shared.gate.record_end(dispatch.attempt, cancelled).await;
        return Err(shared.refuse(dispatch.request, Reason::Unavailable));
    };
    let weights = &status.weights;
    let secret = Secret::derive(backend.secret.as_bytes(), &dispatch.team);
    let blocks = context::chain(&secret, &prompt.model, weights, &prompt.text);
    let cached = backend.cache.import(&secret, weights, &blocks).await;
    if Instant::now() >= deadline {
        let cancelled = Outcome::Cancelled;
        shared.gate.record_end(dispatch.attempt, cancelled).await;
        return Err(shared.refuse(dispatch.request, Reason::Deadline));
    }
    let uncached = tokens.saturating_sub(cached * context::BLOCK_TOKENS);
    let uncached = u32::try_from(uncached).unwrap_or(u32::MAX);
    shared.gate.record_sent(dispatch.attempt, uncached).await;
    let completion = Completion {
        request_id: dispatch.attempt,
        model: prompt.model,
        prompt: prompt.text,
        max_tokens: prompt.max_tokens,
        priority: match dispatch.priority {
            Priority::Low => 0,
            Priority::Normal => 1,
            Priority::High => 2,
        },
        cache_salt: secret.salt(),
        blocks: blocks.iter().map(|block| block.id.to_string()).collect(),
        delivered: prompt.delivered,
        stream: true,
    };
    let running = match backend.engine.complete(&completion).await {
        Ok(running) => running,
        Err(error) => {
            shared
                .gate
                .record_end(dispatch.attempt, Outcome::Failure)
                .await;
            // The entry may retry even if the engine has run this attempt: a prompt has no effect
            // besides its completion, and nothing of this completion was delivered.
            log::debug!(
                "the engine did not accept attempt {}: {error}",
                dispatch.attempt
            );
            let verdict = error.verdict();
            return Err(shared.refuse_with(dispatch.request, verdict, Reason::Unavailable));
        }
    };
    shared
        .gate
        .record_response(dispatch.attempt, running.boot())
        .await;
    if !backend.serves_same_weights(&status, running.boot()).await {
        // The block ids were derived from the previous weights of the engine; this completion would
        // bind them to blocks of the new weights.
        let _ = backend.engine.cancel(dispatch.attempt).await;
        let cancelled = Outcome::Cancelled;
        shared.gate.record_end(dispatch.attempt, cancelled).await;
        return Err(shared.refuse_with(dispatch.request, Verdict::MayHaveRun, Reason::Unavailable));
    }
    let from = completion.delivered.len() as u32;
    let buffer = shared.completions.start(
        dispatch.request,
        dispatch.team.clone(),
        &completion.delivered,
    );
    let reader = Reader {
        shared: Arc::clone(shared),
        engine: backend.engine.clone(),
        abandon_timeout: backend.abandon_timeout,
        attempt: dispatch.attempt,
        buffer: Arc::clone(&buffer),
    };
    let (cache, boot) = (backend.cache.clone(), running.boot());
    tokio::spawn(async move {
        if reader.run(running).await {
            cache.export(&secret, &blocks, boot).await;
        }
    });
    Ok(Started { buffer, from })
}

/// Reads a completion from the engine until its end, whether or not an entry reads it.
struct Reader {
    shared: Arc<Shared>,
    engine: Client,
    /// How long a completion continues without a reader.
    abandon_timeout: Duration,
    attempt: types::Attempt,
    buffer: Arc<Buffer>,
}

impl Reader {
    /// Returns whether the completion ended normally.
    async fn run(&self, running: engine::Running) -> bool {
        // A caller that does not return must not cost tokens until the end of the completion.
        let ended = tokio::select! {
            ended = self.read(running) => ended,
            () = self.buffer.abandoned(self.abandon_timeout) => Ended::Cancelled,
        };
        let (outcome, ending) = match ended {
            Ended::Complete(ending) => (Outcome::Success, ending),
            Ended::Lost => (Outcome::Failure, Ending::Lost),
            Ended::Cancelled => {
                if let Err(error) = self.engine.cancel(self.attempt).await {
                    log::debug!("attempt {} could not be cancelled: {error}", self.attempt);
                }
                (Outcome::Cancelled, Ending::Lost)
            }
        };
        self.shared.gate.record_end(self.attempt, outcome).await;
        let is_complete = matches!(ending, Ending::Complete { .. });
        self.buffer.end(ending);
        is_complete
    }

    async fn read(&self, running: engine::Running) -> Ended {
        let mut running = running;
        let (mut resumes, mut is_first) = (MAX_RESUMES, true);
        loop {
            match running.next().await {
                Ok(Some(Chunk::Token { text, .. })) => {
                    if std::mem::take(&mut is_first) {
                        self.shared.gate.record_first_token(self.attempt).await;
                    }
                    if self.buffer.push(text) {
                        continue;
                    }
                    return Ended::Cancelled;
                }
                Ok(Some(Chunk::End(finish))) => return Ended::Complete(self.complete(finish)),
                Ok(None) => log::debug!(
                    "the engine truncated the stream of attempt {}",
                    self.attempt
                ),
                Err(error) => log::debug!(
                    "the stream of attempt {} from the engine broke: {error}",
                    self.attempt
                ),
            }
            if resumes == 0 {
                return Ended::Lost;
            }
            resumes -= 1;
            match self.engine.resume(self.attempt, self.buffer.len()).await {
                Ok(resumed) => running = resumed,
                Err(_) => return Ended::Lost,
            }
        }
    }

    fn complete(&self, finish: engine::Finish) -> Ending {
        let usage = Usage {
            prompt: finish.prompt,
            reused: finish.cached,
            completion: finish.completion,
        };
        let metrics = &self.shared.metrics;
        metrics.reused_tokens.inc_by(usage.reused.into());
        let computed = usage.prompt.saturating_sub(usage.reused);
        metrics.computed_tokens.inc_by(computed.into());
        Ending::Complete {
            finish: finish.reason,
            usage,
        }
    }
}

/// How reading a completion ended.
enum Ended {
    Complete(Ending),
    Lost,
    Cancelled,
}
