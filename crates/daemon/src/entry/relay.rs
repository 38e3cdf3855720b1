use std::sync::Arc;
use std::time::Duration;

use control::Member;
use rules::Priority;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};
use types::{Attempt, Request, Team, Verdict};
use wire::{Digest, Dispatch, End, Frame, Prompt, Reason, Refused, Stream, Token, Work};

use super::Shared;
use super::api::Refusal;
use super::route::{Candidate, Need, candidates};

/// What a relay passes to the connection of its caller.
#[derive(Debug)]
pub(super) enum Output {
    /// The agent that holds the completion, before the first event.
    Agent(String),
    /// The next events, with the number of the first one.
    Events(u32, Vec<Arc<str>>),
    /// The end of a completion that was delivered completely.
    End(End),
    /// The completion cannot be finished.
    Refused(Refusal),
}

/// A prompt that a relay runs.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) request: Request,
    pub(super) team: Team,
    pub(super) priority: Priority,
    pub(super) prompt: Prompt,
    /// The digest that identifies the conversation; it determines the preferred targets.
    pub(super) root: [u8; 32],
    /// Tokens that no earlier request computed, as far as the entry can tell.
    pub(super) uncached_tokens: u32,
    pub(super) deadline: Instant,
}

/// The maximum number of rounds over the candidates. Requests wait for a slot at an agent, so a
/// round only fails if targets are unavailable, leaving or have a full queue.
const MAX_ROUNDS: u32 = 8;
/// The maximum number of rounds for a completion that has started; when it is given up, the caller
/// has a truncated completion.
const MAX_ROUNDS_STARTED: u32 = 32;
/// The maximum number of tries after refusals by agents that are full or leaving, which cost the
/// targets nothing.
const MAX_REDIRECT_TRIES: u32 = 4;
/// The delay after the first round; it grows by as much with each round. The delays together are
/// longer than an agent takes to detect that its target is back.
const ROUND_DELAY: Duration = Duration::from_millis(20);
/// The longest such delay; a failed target is probed five times a second.
const MAX_ROUND_DELAY: Duration = Duration::from_millis(500);
/// How long a caller may read nothing; it can resume the completion later.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// How one try ended.
enum Outcome {
    /// The caller has the whole completion, or has disconnected.
    Finished,
    /// This try delivered nothing; another may follow.
    Refused(Refused),
    /// The stream broke; the completion has to be continued elsewhere.
    Broken,
    /// The delivered events are not those of the completion; no target can finish it.
    Corrupt,
}

/// One completion for one caller, whichever targets it comes from.
struct Relay<'shared> {
    shared: &'shared Shared,
    request: Request,
    team: Team,
    deadline: Instant,
    delivered: Vec<Arc<str>>,
    digest: Digest,
    /// The number of events that the caller already has.
    skip: u32,
    outputs: mpsc::Sender<Output>,
}

/// Runs a prompt on one or, if necessary, several targets; a prompt has no effect besides its
/// completion, so it may be retried.
pub(super) async fn run(shared: Arc<Shared>, job: Job, outputs: mpsc::Sender<Output>) {
    shared.metrics.requests.with_label_values(&["prompt"]).inc();
    shared.budget().on_request();
    let key = routing::Key::new(&[&job.root]);
    let mut relay = Relay::new(&shared, job.request, &job.team, job.deadline, outputs);
    let mut last_refusal = refusal(job.request, Verdict::NotRun, Reason::WrongTarget);
    let (mut tries, mut redirects, mut rounds) = (0, 0, 0);
    let prefill_time = routing::prefill_time(job.uncached_tokens);
    'rounds: while rounds < relay.max_rounds() && !relay.outputs.is_closed() {
        let need = Need::Model(&job.prompt.model, prefill_time);
        for mut candidate in candidates(&shared, need, key, rounds == 0) {
            if redirects >= routing::MAX_REDIRECTS {
                candidate.max_wait = Duration::MAX;
            }
            let member = Arc::clone(&candidate.member);
            if Instant::now() >= job.deadline {
                last_refusal.reason = Reason::Deadline;
                break 'rounds;
            }
            if tries > 0 && !relay.may_retry(&last_refusal, tries) {
                break 'rounds;
            }
            match relay.attempt(&job, &candidate).await {
                Outcome::Finished => return,
                Outcome::Refused(refused) => {
                    shared
                        .loads
                        .record(&member.name, refused.load, crate::now());
                    if refused.reason == Reason::Slow && redirects < routing::MAX_REDIRECTS {
                        // The new load of this agent may change the order.
                        redirects += 1;
                        continue 'rounds;
                    }
                    if matches!(refused.reason, Reason::Leaving | Reason::Unavailable) {
                        shared.loads.record_failure(&member.name, crate::now());
                    }
                    last_refusal = Refused {
                        verdict: last_refusal.verdict.combine(refused.verdict),
                        ..refused
                    };
                }
                Outcome::Broken => {
                    shared.record_unreachable(&member.name);
                    last_refusal.verdict = last_refusal.verdict.combine(Verdict::MayHaveRun);
                    last_refusal.reason = Reason::Unavailable;
                }
                Outcome::Corrupt => {
                    last_refusal.verdict = Verdict::Ran;
                    last_refusal.reason = Reason::Unavailable;
                    break 'rounds;
                }
            }
            tries += 1;
        }
        rounds += 1;
        // Jitter keeps the entries from returning to a target all at once.
        let delay = (ROUND_DELAY * rounds).min(MAX_ROUND_DELAY);
        tokio::time::sleep(delay.mul_f64(rand::random_range(0.5..1.5))).await;
    }
    relay.refuse(&last_refusal).await;
}

/// Resumes a completion that an agent holds, for a caller that returns.
pub(super) async fn resume(
    shared: Arc<Shared>,
    token: Token,
    from: u32,
    deadline: Instant,
    outputs: mpsc::Sender<Output>,
) {
    shared.metrics.requests.with_label_values(&["resume"]).inc();
    let directory = shared.view.directory();
    let key = routing::Key::new(&[&token.root]);
    let need = Need::Model(&token.model, Duration::ZERO);
    let others = candidates(&shared, need, key, true);
    let others = others
        .iter()
        .map(|candidate| &*candidate.member)
        .filter(|member| member.name != token.agent);
    let mut relay = Relay::new(&shared, token.request, &token.team, deadline, outputs);
    relay.skip = from;
    for member in directory.get(&token.agent).into_iter().chain(others) {
        match relay.resume(member).await {
            Outcome::Finished => return,
            Outcome::Refused(_) | Outcome::Broken => {}
            Outcome::Corrupt => break,
        }
    }
    // The agent is gone or has evicted the completion, so how far it came is unknown.
    let unknown = refusal(token.request, Verdict::MayHaveRun, Reason::Unknown);
    relay.refuse(&unknown).await;
}

impl<'shared> Relay<'shared> {
    fn new(
        shared: &'shared Shared,
        request: Request,
        team: &Team,
        deadline: Instant,
        outputs: mpsc::Sender<Output>,
    ) -> Self {
        Self {
            shared,
            request,
            team: team.clone(),
            deadline,
            delivered: Vec::new(),
            digest: Digest::default(),
            skip: 0,
            outputs,
        }
    }

    fn max_rounds(&self) -> u32 {
        if self.delivered.is_empty() {
            MAX_ROUNDS
        } else {
            MAX_ROUNDS_STARTED
        }
    }

    /// Returns whether another try is allowed after the last one.
    fn may_retry(&self, last_refusal: &Refused, tries: u32) -> bool {
        // A started completion is always retried, which costs only the rest of its tokens;
        // `MAX_ROUNDS_STARTED` and the deadline bound the tries.
        if !self.delivered.is_empty() {
            return true;
        }
        is_redirect(last_refusal) && tries < MAX_REDIRECT_TRIES || self.shared.budget().try_retry()
    }

    async fn attempt(&mut self, job: &Job, candidate: &Candidate) -> Outcome {
        let member = &*candidate.member;
        let dispatch = Dispatch {
            request: job.request,
            attempt: Attempt(rand::random()),
            team: job.team.clone(),
            priority: job.priority,
            deadline_ms: remaining_ms(job.deadline),
            uncached_tokens: job.uncached_tokens,
            max_wait_ms: u32::try_from(candidate.max_wait.as_millis()).unwrap_or(u32::MAX),
            version: self.shared.view.version(),
            work: Work::Prompt(Prompt {
                delivered: self.delivered.clone(),
                ..job.prompt.clone()
            }),
        };
        let frame = Frame::Dispatch(dispatch);
        let mut stream = match open_stream(self.shared, member, &frame).await {
            Ok(stream) => stream,
            Err(error) => {
                self.shared.record_unreachable(&member.name);
                return Outcome::Refused(refusal(
                    job.request,
                    error.verdict(),
                    Reason::Unavailable,
                ));
            }
        };
        match self.follow(&mut stream, member).await {
            // The agent may still have the completion: perhaps only the stream to it broke.
            Outcome::Broken => match self.resume(member).await {
                Outcome::Refused(_) => Outcome::Broken,
                other => other,
            },
            other => other,
        }
    }

    /// Resumes a completion that an agent holds, after the delivered events.
    async fn resume(&mut self, member: &Member) -> Outcome {
        let frame = Frame::Resume(wire::Resume {
            request: self.request,
            team: self.team.clone(),
            from: self.delivered.len() as u32,
        });
        match open_stream(self.shared, member, &frame).await {
            Ok(mut stream) => self.follow(&mut stream, member).await,
            Err(_) => Outcome::Broken,
        }
    }

    /// Forwards events until the end of the completion or of the stream.
    async fn follow(&mut self, stream: &mut Stream, member: &Member) -> Outcome {
        let mut pending = None;
        loop {
            let frame = match pending.take() {
                Some(frame) => frame,
                None => {
                    let next = tokio::select! {
                        biased;
                        next = timeout_at(self.deadline, stream.receiver.recv()) => next,
                        // Without tokens, nothing else reveals that the caller has disconnected.
                        () = self.outputs.closed() => return Outcome::Finished,
                    };
                    match next {
                        Ok(Ok(Some(frame))) => frame,
                        Ok(Ok(None) | Err(_)) | Err(_) => return Outcome::Broken,
                    }
                }
            };
            let is_event = matches!(frame, Frame::Event(_));
            let frame_request = frame.request();
            if !is_event && frame_request.is_some_and(|request| request != self.request) {
                self.shared.metrics.count_refusal("crossed");
                return Outcome::Broken;
            }
            let output = match frame {
                Frame::Admitted(admitted) => {
                    self.shared.view.note_version(admitted.version);
                    let loads = &self.shared.loads;
                    loads.record(&member.name, admitted.load, crate::now());
                    Output::Agent(member.name.clone())
                }
                Frame::Event(event) => {
                    let (output, next) = self.drain_events(event, &mut stream.receiver);
                    let Ok(next) = next else {
                        // The events before the break are delivered and never requested again.
                        let is_connected = self.send(output).await;
                        return if is_connected {
                            Outcome::Broken
                        } else {
                            Outcome::Finished
                        };
                    };
                    pending = next;
                    output
                }
                Frame::End(end) => {
                    let loads = &self.shared.loads;
                    loads.record(&member.name, end.load, crate::now());
                    if end.events as usize != self.delivered.len() {
                        return Outcome::Broken;
                    }
                    if end.digest != self.digest.finalize() {
                        self.shared.metrics.count_refusal("corrupt");
                        return Outcome::Corrupt;
                    }
                    self.send(Output::End(end)).await;
                    return Outcome::Finished;
                }
                Frame::Refused(refused) if refused.verdict == Verdict::NotRun => {
                    return Outcome::Refused(refused);
                }
                _ => return Outcome::Broken,
            };
            if !self.send(output).await {
                return Outcome::Finished;
            }
        }
    }

    /// Takes an event and those after it that have arrived already, so that a fast stream needs one
    /// write for many events; returns the first frame that is not an event, or an error after the
    /// events.
    fn drain_events(
        &mut self,
        first: wire::Event,
        receiver: &mut wire::Receiver,
    ) -> (Output, Result<Option<Frame>, ()>) {
        let (mut texts, mut event) = (Vec::new(), first);
        let next = loop {
            let next = self.delivered.len() as u32;
            if event.request != self.request {
                self.shared.metrics.count_refusal("crossed");
                break Err(());
            }
            if event.seq > next {
                break Err(());
            }
            if event.seq == next {
                self.digest.update(&event.text);
                self.delivered.push(Arc::clone(&event.text));
                if next >= self.skip {
                    texts.push(event.text);
                }
            }
            match receiver.try_recv() {
                Ok(Some(Frame::Event(ready))) => event = ready,
                Ok(other) => break Ok(other),
                Err(_) => break Err(()),
            }
        };
        let from = self.delivered.len() - texts.len();
        self.shared
            .metrics
            .relayed_tokens
            .inc_by(texts.len() as u64);
        (Output::Events(from as u32, texts), next)
    }

    /// Passes an output to the caller's connection; returns whether the caller is still connected.
    async fn send(&self, output: Output) -> bool {
        matches!(
            timeout(CALLER_TIMEOUT, self.outputs.send(output)).await,
            Ok(Ok(()))
        )
    }

    async fn refuse(&self, last_refusal: &Refused) {
        let verdict = if self.delivered.is_empty() {
            last_refusal.verdict
        } else {
            last_refusal.verdict.combine(Verdict::Ran)
        };
        let refusal = Refusal::system(last_refusal.reason, verdict, last_refusal.retry_after_ms);
        self.send(Output::Refused(refusal)).await;
    }
}

/// Returns whether a refusal only corrects the entry's choice of a target.
pub(super) fn is_redirect(refused: &Refused) -> bool {
    refused.verdict == Verdict::NotRun
        && matches!(
            refused.reason,
            Reason::Full | Reason::Leaving | Reason::WrongTarget | Reason::Slow
        )
}

pub(super) fn refusal(request: Request, verdict: Verdict, reason: Reason) -> Refused {
    Refused {
        request,
        verdict,
        reason,
        retry_after_ms: 100,
        load: wire::Load::default(),
    }
}

pub(super) async fn open_stream(
    shared: &Shared,
    member: &Member,
    frame: &Frame,
) -> Result<Stream, wire::Error> {
    let mut stream = shared.client.open(member.address).await?;
    stream.sender.send(frame).await?;
    Ok(stream)
}

pub(super) fn remaining_ms(deadline: Instant) -> u32 {
    let remaining = deadline.saturating_duration_since(Instant::now());
    u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX)
}
