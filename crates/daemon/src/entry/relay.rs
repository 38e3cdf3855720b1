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

/// What a caller is sent of a streamed answer.
#[derive(Debug)]
pub(super) enum Piece {
    /// The agent that keeps the answer, before the first event.
    Agent(String),
    /// The next events; the number is that of the first one.
    Events(u32, Vec<Arc<str>>),
    /// The end; the answer is whole.
    End(End),
    /// The answer cannot be completed.
    Refused(Refusal),
}

/// A prompt on its way.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) request: Request,
    pub(super) team: Team,
    pub(super) priority: Priority,
    pub(super) prompt: Prompt,
    pub(super) root: [u8; 32],
    /// Tokens that were not part of an earlier visit, as far as the entry can tell.
    pub(super) new_tokens: u32,
    pub(super) deadline: Instant,
}

/// Rounds over the candidates. Requests wait for a slot at an agent, so a round only fails when
/// targets are away, leaving or have a full queue.
const MAX_ROUNDS: u32 = 8;
/// The same for an answer that has begun, which is cut when it is given up.
const MAX_ROUNDS_BEGUN: u32 = 32;
/// The tries that may follow from agents that are full or leave; they cost the targets nothing.
const MAX_CORRECTIONS: u32 = 4;
/// The wait after the first round; each round waits that much longer. Together they are longer than
/// an agent takes to notice that its target is back.
const ROUND_WAIT: Duration = Duration::from_millis(20);
/// The longest such wait; a target that failed is probed five times a second.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// How long a caller may read nothing; it can resume the answer later.
const SLOW_CALLER: Duration = Duration::from_secs(30);

/// How one try ended.
enum Try {
    /// The caller has the whole answer, or went away.
    Finished,
    /// Nothing was delivered by this try; another may follow.
    Refused(Refused),
    /// The stream broke; the answer has to be completed elsewhere.
    Broken,
    /// What was delivered is not the answer; nothing can complete it.
    Corrupt,
}

/// One answer on its way to one caller, whatever targets it comes from.
struct Relay<'shared> {
    shared: &'shared Shared,
    request: Request,
    team: Team,
    deadline: Instant,
    delivered: Vec<Arc<str>>,
    digest: Digest,
    /// The events that the caller has already.
    skip: u32,
    pieces: mpsc::Sender<Piece>,
}

/// Answers a prompt on one or, if need be, several targets; a prompt has no effect beside its
/// answer, so it may be tried again.
pub(super) async fn run(shared: Arc<Shared>, job: Job, pieces: mpsc::Sender<Piece>) {
    shared.metrics.requests.with_label_values(&["prompt"]).inc();
    shared.budget().on_request();
    let key = routing::Key::new(&[&job.root]);
    let mut relay = Relay::new(&shared, job.request, &job.team, job.deadline, pieces);
    let mut last = refused(job.request, Verdict::NotRun, Reason::WrongTarget);
    let (mut tries, mut redirects, mut rounds) = (0, 0, 0);
    let own = routing::prefill_time(job.new_tokens);
    'rounds: while rounds < relay.max_rounds() && !relay.pieces.is_closed() {
        let need = Need::Model(&job.prompt.model, own);
        for mut candidate in candidates(&shared, need, key, rounds == 0) {
            if redirects >= routing::MAX_REDIRECTS {
                candidate.most_wait = Duration::MAX;
            }
            let member = Arc::clone(&candidate.member);
            if Instant::now() >= job.deadline {
                last.reason = Reason::Deadline;
                break 'rounds;
            }
            if tries > 0 && !relay.may_retry(&last, tries) {
                break 'rounds;
            }
            match relay.attempt(&job, &candidate).await {
                Try::Finished => return,
                Try::Refused(refused) => {
                    shared.loads.heard(&member.name, refused.load, crate::now());
                    if refused.reason == Reason::Slow && redirects < routing::MAX_REDIRECTS {
                        // The fresh load that came along may change the order.
                        redirects += 1;
                        continue 'rounds;
                    }
                    if matches!(refused.reason, Reason::Leaving | Reason::Unavailable) {
                        shared.loads.failed(&member.name, crate::now());
                    }
                    last = Refused {
                        verdict: last.verdict.combine(refused.verdict),
                        ..refused
                    };
                }
                Try::Broken => {
                    shared.unreachable(&member.name);
                    last.verdict = last.verdict.combine(Verdict::MayHaveRun);
                    last.reason = Reason::Unavailable;
                }
                Try::Corrupt => {
                    last.verdict = Verdict::Ran;
                    last.reason = Reason::Unavailable;
                    break 'rounds;
                }
            }
            tries += 1;
        }
        rounds += 1;
        // Jitter keeps the entries from coming back to a target all at once.
        let wait = (ROUND_WAIT * rounds).min(MAX_WAIT);
        tokio::time::sleep(wait.mul_f64(rand::random_range(0.5..1.5))).await;
    }
    relay.refuse(&last).await;
}

/// Follows an answer that an agent keeps, for a caller that returns.
pub(super) async fn resume(
    shared: Arc<Shared>,
    token: Token,
    from: u32,
    deadline: Instant,
    pieces: mpsc::Sender<Piece>,
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
    let mut relay = Relay::new(&shared, token.request, &token.team, deadline, pieces);
    relay.skip = from;
    for member in directory.get(&token.agent).into_iter().chain(others) {
        match relay.resume(member).await {
            Try::Finished => return,
            Try::Refused(_) | Try::Broken => {}
            Try::Corrupt => break,
        }
    }
    // The agent is gone or has forgotten the answer, so how far it came is not known.
    let gone = refused(token.request, Verdict::MayHaveRun, Reason::Unknown);
    relay.refuse(&gone).await;
}

impl<'shared> Relay<'shared> {
    fn new(
        shared: &'shared Shared,
        request: Request,
        team: &Team,
        deadline: Instant,
        pieces: mpsc::Sender<Piece>,
    ) -> Self {
        Self {
            shared,
            request,
            team: team.clone(),
            deadline,
            delivered: Vec::new(),
            digest: Digest::default(),
            skip: 0,
            pieces,
        }
    }

    fn max_rounds(&self) -> u32 {
        if self.delivered.is_empty() {
            MAX_ROUNDS
        } else {
            MAX_ROUNDS_BEGUN
        }
    }

    /// Says whether another try is allowed after the last one.
    fn may_retry(&self, last: &Refused, tries: u32) -> bool {
        // A begun answer is completed for its caller, which costs only the rest of its tokens; the
        // number of tries bounds it.
        if !self.delivered.is_empty() {
            return true;
        }
        is_redirect(last) && tries < MAX_CORRECTIONS || self.shared.budget().try_retry()
    }

    async fn attempt(&mut self, job: &Job, candidate: &Candidate) -> Try {
        let member = &*candidate.member;
        let dispatch = Dispatch {
            request: job.request,
            attempt: Attempt(rand::random()),
            team: job.team.clone(),
            priority: job.priority,
            deadline_ms: left_ms(job.deadline),
            uncached_tokens: job.new_tokens,
            max_wait_ms: u32::try_from(candidate.most_wait.as_millis()).unwrap_or(u32::MAX),
            version: self.shared.view.version(),
            work: Work::Prompt(Prompt {
                delivered: self.delivered.clone(),
                ..job.prompt.clone()
            }),
        };
        let frame = Frame::Dispatch(dispatch);
        let mut stream = match send(self.shared, member, &frame).await {
            Ok(stream) => stream,
            Err(error) => {
                self.shared.unreachable(&member.name);
                return Try::Refused(refused(job.request, error.verdict(), Reason::Unavailable));
            }
        };
        match self.follow(&mut stream, member).await {
            // The agent may still have the answer: only the stream to it may have broken.
            Try::Broken => match self.resume(member).await {
                Try::Refused(_) => Try::Broken,
                other => other,
            },
            other => other,
        }
    }

    /// Follows an answer that an agent keeps, behind what was delivered.
    async fn resume(&mut self, member: &Member) -> Try {
        let frame = Frame::Resume(wire::Resume {
            request: self.request,
            team: self.team.clone(),
            from: self.delivered.len() as u32,
        });
        match send(self.shared, member, &frame).await {
            Ok(mut stream) => self.follow(&mut stream, member).await,
            Err(_) => Try::Broken,
        }
    }

    /// Passes events on until the end of the answer or of the stream.
    async fn follow(&mut self, stream: &mut Stream, member: &Member) -> Try {
        let mut received = None;
        loop {
            let frame = match received.take() {
                Some(frame) => frame,
                None => {
                    let next = tokio::select! {
                        biased;
                        next = timeout_at(self.deadline, stream.receiver.recv()) => next,
                        // Without tokens, nothing else tells that the caller went away.
                        () = self.pieces.closed() => return Try::Finished,
                    };
                    match next {
                        Ok(Ok(Some(frame))) => frame,
                        Ok(Ok(None) | Err(_)) | Err(_) => return Try::Broken,
                    }
                }
            };
            let is_event = matches!(frame, Frame::Event(_));
            let answered = frame.request();
            if !is_event && answered.is_some_and(|request| request != self.request) {
                self.shared.metrics.refused("crossed");
                return Try::Broken;
            }
            let piece = match frame {
                Frame::Admitted(admitted) => {
                    self.shared.view.note_version(admitted.version);
                    let loads = &self.shared.loads;
                    loads.heard(&member.name, admitted.load, crate::now());
                    Piece::Agent(member.name.clone())
                }
                Frame::Event(event) => {
                    let (piece, next) = self.gather(event, &mut stream.receiver);
                    let Ok(next) = next else {
                        // What arrived in front of the break is delivered and never asked for
                        // again.
                        let is_there = self.pass(piece).await;
                        return if is_there { Try::Broken } else { Try::Finished };
                    };
                    received = next;
                    piece
                }
                Frame::End(end) => {
                    let loads = &self.shared.loads;
                    loads.heard(&member.name, end.load, crate::now());
                    if end.events as usize != self.delivered.len() {
                        return Try::Broken;
                    }
                    if end.digest != self.digest.finalize() {
                        self.shared.metrics.refused("corrupt");
                        return Try::Corrupt;
                    }
                    self.pass(Piece::End(end)).await;
                    return Try::Finished;
                }
                Frame::Refused(refused) if refused.verdict == Verdict::NotRun => {
                    return Try::Refused(refused);
                }
                _ => return Try::Broken,
            };
            if !self.pass(piece).await {
                return Try::Finished;
            }
        }
    }

    /// Takes an event and those behind it that have arrived already, so that a fast stream costs
    /// one write for many events; returns the first frame that is no event, or fails behind them.
    fn gather(
        &mut self,
        first: wire::Event,
        receiver: &mut wire::Receiver,
    ) -> (Piece, Result<Option<Frame>, ()>) {
        let (mut texts, mut event) = (Vec::new(), first);
        let next = loop {
            let next = self.delivered.len() as u32;
            if event.request != self.request {
                self.shared.metrics.refused("crossed");
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
        self.shared.metrics.tokens.inc_by(texts.len() as u64);
        (Piece::Events(from as u32, texts), next)
    }

    /// Hands a piece to the caller's connection; returns whether the caller is there.
    async fn pass(&self, piece: Piece) -> bool {
        matches!(
            timeout(SLOW_CALLER, self.pieces.send(piece)).await,
            Ok(Ok(()))
        )
    }

    async fn refuse(&self, last: &Refused) {
        let verdict = if self.delivered.is_empty() {
            last.verdict
        } else {
            last.verdict.combine(Verdict::Ran)
        };
        let refusal = Refusal::system(last.reason, verdict, last.retry_after_ms);
        self.pass(Piece::Refused(refusal)).await;
    }
}

/// Says whether a refusal only corrects the entry's choice of a target.
pub(super) fn is_redirect(refused: &Refused) -> bool {
    refused.verdict == Verdict::NotRun
        && matches!(
            refused.reason,
            Reason::Full | Reason::Leaving | Reason::WrongTarget | Reason::Slow
        )
}

pub(super) fn refused(request: Request, verdict: Verdict, reason: Reason) -> Refused {
    Refused {
        request,
        verdict,
        reason,
        retry_after_ms: 100,
        load: wire::Load::default(),
    }
}

pub(super) async fn send(
    shared: &Shared,
    member: &Member,
    frame: &Frame,
) -> Result<Stream, wire::Error> {
    let mut stream = shared.client.open(member.address).await?;
    stream.sender.send(frame).await?;
    Ok(stream)
}

pub(super) fn left_ms(deadline: Instant) -> u32 {
    let left = deadline.saturating_duration_since(Instant::now());
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
}
