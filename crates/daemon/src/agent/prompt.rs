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

use super::answers::{Answer, Ending, follow};
use super::gate::Gate;
use super::kept::Kept;
use super::{Error, Shared};
use crate::metrics::Metrics;
use crate::settings::Settings;

/// The model engine beside this agent.
#[derive(Debug)]
pub(super) struct Backend {
    engine: Client,
    model: Model,
    serving: Arc<ArcSwapOption<Status>>,
    kept: Kept,
    secret: String,
    patience: Duration,
}

/// How often the engine is asked how it is.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// How often a broken stream from the engine is resumed before the answer counts as lost.
const RESUMES: u32 = 2;

impl Backend {
    /// Starts to probe the engine.
    pub(super) fn spawn(
        settings: &Settings,
        model: Model,
        address: &str,
        gate: &Gate,
        metrics: &Metrics,
    ) -> Result<Self, Error> {
        let engine = Client::new(address)?;
        let serving = Arc::new(ArcSwapOption::empty());
        tokio::spawn(probe(engine.clone(), gate.clone(), Arc::clone(&serving)));
        let kept = Kept::new(engine.clone(), &settings.stores, metrics.clone())?;
        Ok(Self {
            engine,
            model,
            serving,
            kept,
            secret: settings.context_secret.clone(),
            patience: Duration::from_millis(settings.abandon_ms),
        })
    }

    /// Says whether the engine with this boot id serves the weights that blocks were named with.
    ///
    /// A changed boot id alone only means that the engine is cold.
    async fn still_serves(&self, serving: &Status, boot: Boot) -> bool {
        if serving.boot == boot {
            return true;
        }
        let now = self.engine.status().await;
        now.is_ok_and(|now| now.boot == boot && now.weights == serving.weights)
    }

    /// Returns the client of the engine.
    pub(super) fn engine(&self) -> Client {
        self.engine.clone()
    }
}

async fn probe(engine: Client, gate: Gate, serving: Arc<ArcSwapOption<Status>>) {
    loop {
        if let Ok(status) = engine.status().await {
            let boot = status.boot;
            serving.store(Some(Arc::new(status)));
            gate.probed(boot).await;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Runs a prompt on the engine and sends the answer as it grows.
pub(super) async fn run(
    shared: &Arc<Shared>,
    backend: &Backend,
    dispatch: &Dispatch,
    prompt: Prompt,
    deadline: Instant,
    stream: &mut Stream,
) {
    match start(shared, backend, dispatch, prompt, deadline).await {
        Ok(answer) => {
            let admitted = Frame::Admitted(Admitted {
                load: shared.gate.state().load,
                version: shared.view.version(),
            });
            if stream.sender.send(&admitted).await.is_ok() {
                let from = answer.from;
                follow(&answer.answer, from, stream, shared).await;
            }
        }
        Err(refused) => {
            let _ = stream.sender.send(&refused).await;
        }
    }
}

struct Started {
    answer: Arc<Answer>,
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
    if let Err(reason) = shared.gate.request(dispatch, work).await {
        return Err(shared.refuse(dispatch.request, reason));
    }
    // Read only now: the weights may have changed while the request waited for admission.
    let Some(serving) = backend.serving.load_full() else {
        let cancelled = Outcome::Cancelled;
        shared.gate.finish(dispatch.attempt, cancelled).await;
        return Err(shared.refuse(dispatch.request, Reason::Unavailable));
    };
    let weights = &serving.weights;
    let secret = Secret::derive(backend.secret.as_bytes(), &dispatch.team);
    let blocks = context::chain(&secret, &prompt.model, weights, &prompt.text);
    let held = backend.kept.import(&secret, weights, &blocks).await;
    if Instant::now() >= deadline {
        let cancelled = Outcome::Cancelled;
        shared.gate.finish(dispatch.attempt, cancelled).await;
        return Err(shared.refuse(dispatch.request, Reason::Deadline));
    }
    let left = tokens.saturating_sub(held * context::BLOCK_TOKENS);
    let left = u32::try_from(left).unwrap_or(u32::MAX);
    shared.gate.sending(dispatch.attempt, left).await;
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
            shared.gate.finish(dispatch.attempt, Outcome::Failure).await;
            // A prompt has no effect beside its answer, and no part of this answer was seen.
            log::debug!(
                "the engine did not take attempt {}: {error}",
                dispatch.attempt
            );
            let verdict = error.verdict();
            return Err(shared.refuse_with(dispatch.request, verdict, Reason::Unavailable));
        }
    };
    shared.gate.confirm(dispatch.attempt, running.boot()).await;
    if !backend.still_serves(&serving, running.boot()).await {
        // The blocks are named with weights that the engine had before; its answer would tie
        // them to blocks of the new weights.
        let _ = backend.engine.cancel(dispatch.attempt).await;
        let cancelled = Outcome::Cancelled;
        shared.gate.finish(dispatch.attempt, cancelled).await;
        return Err(shared.refuse_with(dispatch.request, Verdict::MayHaveRun, Reason::Unavailable));
    }
    let from = completion.delivered.len() as u32;
    let answer = shared.answers.start(
        dispatch.request,
        dispatch.team.clone(),
        &completion.delivered,
    );
    let pump = Pump {
        shared: Arc::clone(shared),
        engine: backend.engine.clone(),
        patience: backend.patience,
        attempt: dispatch.attempt,
        answer: Arc::clone(&answer),
    };
    let (kept, boot) = (backend.kept.clone(), running.boot());
    tokio::spawn(async move {
        if pump.run(running).await {
            kept.export(&secret, &blocks, boot).await;
        }
    });
    Ok(Started { answer, from })
}

/// Reads an answer from the engine to its end, whether or not an entry follows it.
struct Pump {
    shared: Arc<Shared>,
    engine: Client,
    /// How long an answer goes on that nobody follows.
    patience: Duration,
    attempt: types::Attempt,
    answer: Arc<Answer>,
}

impl Pump {
    /// Returns whether the answer is whole.
    async fn run(&self, running: engine::Running) -> bool {
        // A caller that is gone for good must not cost tokens up to the end of the answer.
        let ended = tokio::select! {
            ended = self.read(running) => ended,
            () = self.answer.abandoned(self.patience) => Ended::Cancelled,
        };
        let (outcome, ending) = match ended {
            Ended::Whole(ending) => (Outcome::Success, ending),
            Ended::Lost => (Outcome::Failure, Ending::Lost),
            Ended::Cancelled => {
                if let Err(error) = self.engine.cancel(self.attempt).await {
                    log::debug!("attempt {} was not cancelled: {error}", self.attempt);
                }
                (Outcome::Cancelled, Ending::Lost)
            }
        };
        self.shared.gate.finish(self.attempt, outcome).await;
        let is_whole = matches!(ending, Ending::Whole { .. });
        self.answer.end(ending);
        is_whole
    }

    async fn read(&self, running: engine::Running) -> Ended {
        let mut running = running;
        let (mut resumes, mut is_first) = (RESUMES, true);
        loop {
            match running.next().await {
                Ok(Some(Chunk::Token { text, .. })) => {
                    if std::mem::take(&mut is_first) {
                        self.shared.gate.first(self.attempt).await;
                    }
                    if self.answer.push(text) {
                        continue;
                    }
                    return Ended::Cancelled;
                }
                Ok(Some(Chunk::End(finish))) => return Ended::Whole(self.whole(finish)),
                Ok(None) => log::debug!("the engine cut attempt {}", self.attempt),
                Err(error) => log::debug!("attempt {} broke: {error}", self.attempt),
            }
            if resumes == 0 {
                return Ended::Lost;
            }
            resumes -= 1;
            match self.engine.resume(self.attempt, self.answer.len()).await {
                Ok(resumed) => running = resumed,
                Err(_) => return Ended::Lost,
            }
        }
    }

    fn whole(&self, finish: engine::Finish) -> Ending {
        let usage = Usage {
            prompt: finish.prompt,
            reused: finish.cached,
            completion: finish.completion,
        };
        let metrics = &self.shared.metrics;
        metrics.reused.inc_by(usage.reused.into());
        let computed = usage.prompt.saturating_sub(usage.reused);
        metrics.computed.inc_by(computed.into());
        Ending::Whole {
            finish: finish.reason,
            usage,
        }
    }
}

/// How reading an answer ended.
enum Ended {
    Whole(Ending),
    Lost,
    Cancelled,
}
