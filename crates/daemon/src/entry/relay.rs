use std::sync::Arc;
use std::time::Duration;

use control::Member;
use rules::Priority;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use types::{Attempt, Request, Team, Verdict};
use wire::{Call, Digest, Dispatch, End, Frame, Prompt, Reason, Refused, Reply, Stream, Work};

use super::Shared;
use super::api::Refusal;
use super::route::{Candidate, Need, candidates};

/// What a caller is sent of a streamed answer.
#[derive(Debug)]
pub(super) enum Piece {
    /// The agent that keeps the answer, before the first event.
    Agent(String),
    /// The next event.
    Event(u32, String),
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
    /// Tokens that were not part of an earlier visit, as far as the entry can tell.
    pub(super) new_tokens: u32,
    pub(super) deadline: Instant,
}

/// Rounds over the candidates. Requests wait for a slot at an agent, so a round only fails when
/// targets are away, leaving or have a full queue.
const MAX_ROUNDS: u32 = 8;
/// The wait after the first round; each round waits that much longer. Together they are longer than
/// an agent takes to notice that its target is back.
const ROUND_WAIT: Duration = Duration::from_millis(20);

/// How one try ended.
enum Try {
    /// The caller has the whole answer, or went away.
    Finished,
    /// Nothing was delivered by this try; another may follow.
    Refused(Refused),
    /// The stream broke; the answer has to be completed elsewhere.
    Broken,
}

/// Answers a prompt on one or, if need be, several targets; a prompt has no effect beside its
/// answer, so it may be tried again.
pub(super) async fn run(shared: Arc<Shared>, mut job: Job, pieces: mpsc::Sender<Piece>) {
    shared.metrics.requests.with_label_values(&["prompt"]).inc();
    let root = context::root(
        &shared.secret(&job.team),
        &job.prompt.model,
        &job.prompt.text,
    );
    let key = routing::Key::new(&[&root]);
    let mut digest = Digest::default();
    let mut last = Refused {
        verdict: Verdict::NotRun,
        reason: Reason::WrongTarget,
        retry_after_ms: 100,
        load: wire::Load::default(),
    };
    let (mut redirects, mut rounds) = (0, 0);
    let own = routing::compute_time(job.new_tokens);
    'rounds: while rounds < MAX_ROUNDS {
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
            match attempt(&shared, &mut job, &candidate, &mut digest, &pieces).await {
                Try::Finished => return,
                Try::Refused(refused) => {
                    shared.loads.heard(&member.name, refused.load, crate::now());
                    if refused.reason == Reason::Slow {
                        // The fresh load that came along may change the order.
                        redirects += 1;
                        continue 'rounds;
                    }
                    if matches!(refused.reason, Reason::Leaving | Reason::Unavailable) {
                        shared.loads.failed(&member.name, crate::now());
                    }
                    last = Refused {
                        verdict: last.verdict.weaken(refused.verdict),
                        ..refused
                    };
                }
                Try::Broken => {
                    shared.unreachable(&member.name);
                    last.verdict = last.verdict.weaken(Verdict::MayHaveRun);
                    last.reason = Reason::Unavailable;
                }
            }
        }
        rounds += 1;
        tokio::time::sleep(ROUND_WAIT * rounds).await;
    }
    let verdict = if job.prompt.delivered.is_empty() {
        last.verdict
    } else {
        Verdict::Ran
    };
    let refusal = Refusal::system(last.reason, verdict, last.retry_after_ms);
    let _ = pieces.send(Piece::Refused(refusal)).await;
}

async fn attempt(
    shared: &Shared,
    job: &mut Job,
    candidate: &Candidate,
    digest: &mut Digest,
    pieces: &mpsc::Sender<Piece>,
) -> Try {
    let member = &*candidate.member;
    let dispatch = Dispatch {
        request: job.request,
        attempt: Attempt(rand::random()),
        team: job.team.clone(),
        priority: job.priority,
        deadline_ms: left_ms(job.deadline),
        new_tokens: job.new_tokens,
        most_wait_ms: u32::try_from(candidate.most_wait.as_millis()).unwrap_or(u32::MAX),
        version: shared.view.version(),
        work: Work::Prompt(job.prompt.clone()),
    };
    let mut stream = match send(shared, member, &Frame::Dispatch(dispatch)).await {
        Ok(stream) => stream,
        Err(error) => {
            shared.unreachable(&member.name);
            return refused_by(&error);
        }
    };
    let delivered = &mut job.prompt.delivered;
    match follow(
        shared,
        &mut stream,
        member,
        job.deadline,
        delivered,
        digest,
        pieces,
    )
    .await
    {
        Try::Broken => {}
        other => return other,
    }
    // The agent may still have the answer: only the stream to it may have broken.
    let resume = Frame::Resume(wire::Resume {
        request: job.request,
        team: job.team.clone(),
        from: delivered.len() as u32,
    });
    match send(shared, member, &resume).await {
        Ok(mut stream) => {
            match follow(
                shared,
                &mut stream,
                member,
                job.deadline,
                delivered,
                digest,
                pieces,
            )
            .await
            {
                Try::Refused(_) | Try::Broken => Try::Broken,
                Try::Finished => Try::Finished,
            }
        }
        Err(_) => Try::Broken,
    }
}

/// Passes events on until the end of the answer or of the stream.
async fn follow(
    shared: &Shared,
    stream: &mut Stream,
    member: &Member,
    deadline: Instant,
    delivered: &mut Vec<String>,
    digest: &mut Digest,
    pieces: &mpsc::Sender<Piece>,
) -> Try {
    loop {
        let frame = match timeout_at(deadline, stream.receiver.recv()).await {
            Ok(Ok(Some(frame))) => frame,
            Ok(Ok(None) | Err(_)) | Err(_) => return Try::Broken,
        };
        match frame {
            Frame::Admitted(admitted) => {
                shared.view.note_version(admitted.version);
                shared
                    .loads
                    .heard(&member.name, admitted.load, crate::now());
                if pieces
                    .send(Piece::Agent(member.name.clone()))
                    .await
                    .is_err()
                {
                    return Try::Finished;
                }
            }
            Frame::Event(event) => {
                let next = delivered.len() as u32;
                if event.seq < next {
                    continue;
                }
                if event.seq > next {
                    return Try::Broken;
                }
                digest.add(&event.text);
                delivered.push(event.text.clone());
                shared.metrics.tokens.inc();
                if pieces
                    .send(Piece::Event(event.seq, event.text))
                    .await
                    .is_err()
                {
                    // The caller went away; the agent keeps the answer for its return.
                    return Try::Finished;
                }
            }
            Frame::End(end) => {
                shared.loads.heard(&member.name, end.load, crate::now());
                if end.events != delivered.len() as u32 || end.digest != digest.value() {
                    log::warn!("an answer from {} does not match its digest", member.name);
                    return Try::Broken;
                }
                let _ = pieces.send(Piece::End(end)).await;
                return Try::Finished;
            }
            Frame::Refused(refused) if refused.verdict == Verdict::NotRun => {
                return Try::Refused(refused);
            }
            _ => return Try::Broken,
        }
    }
}

/// Runs a call of a plain service. Only a call that was not run, or that may repeat, is tried
/// again.
pub(super) async fn call(
    shared: &Shared,
    request: Request,
    (team, priority): (Team, Priority),
    call: Call,
    deadline: Instant,
) -> Result<Reply, Refusal> {
    shared.metrics.requests.with_label_values(&["call"]).inc();
    let key = routing::Key::new(&[&rand::random::<u128>().to_le_bytes()]);
    let mut last = Refusal::system(Reason::WrongTarget, Verdict::NotRun, 100);
    for candidate in candidates(shared, Need::Service(&call.service), key, true) {
        let member = candidate.member;
        let dispatch = Dispatch {
            request,
            attempt: Attempt(rand::random()),
            team: team.clone(),
            priority,
            deadline_ms: left_ms(deadline),
            new_tokens: 0,
            most_wait_ms: u32::MAX,
            version: shared.view.version(),
            work: Work::Call(call.clone()),
        };
        let refused = match call_once(shared, &member, dispatch, deadline).await {
            Ok(reply) => return Ok(reply),
            Err(refused) => refused,
        };
        let verdict = last.verdict.weaken(refused.verdict);
        last = Refusal::system(refused.reason, verdict, refused.retry_after_ms);
        if refused.verdict != Verdict::NotRun && !call.repeatable {
            break;
        }
    }
    Err(last)
}

async fn call_once(
    shared: &Shared,
    member: &Member,
    dispatch: Dispatch,
    deadline: Instant,
) -> Result<Reply, Refused> {
    let refuse = |verdict| Refused {
        verdict,
        reason: Reason::Unavailable,
        retry_after_ms: 100,
        load: wire::Load::default(),
    };
    let mut stream = match send(shared, member, &Frame::Dispatch(dispatch)).await {
        Ok(stream) => stream,
        Err(error) => {
            shared.unreachable(&member.name);
            return Err(refuse(error.verdict()));
        }
    };
    match timeout_at(deadline, stream.receiver.recv()).await {
        Ok(Ok(Some(Frame::Reply(reply)))) => {
            shared.loads.heard(&member.name, reply.load, crate::now());
            Ok(reply)
        }
        Ok(Ok(Some(Frame::Refused(refused)))) => Err(refused),
        Ok(Ok(_) | Err(_)) | Err(_) => {
            shared.unreachable(&member.name);
            Err(refuse(Verdict::MayHaveRun))
        }
    }
}

/// Follows an answer that an agent keeps, for a caller that returns.
pub(super) async fn resume(
    shared: Arc<Shared>,
    token: wire::Token,
    from: u32,
    deadline: Instant,
    pieces: mpsc::Sender<Piece>,
) {
    shared.metrics.requests.with_label_values(&["resume"]).inc();
    let unknown = || Refusal::system(Reason::Unknown, Verdict::MayHaveRun, 0);
    let directory = shared.view.directory();
    let Some(member) = directory.get(&token.agent) else {
        let _ = pieces.send(Piece::Refused(unknown())).await;
        return;
    };
    // Reading from the start lets the digest cover the whole answer.
    let frame = Frame::Resume(wire::Resume {
        request: token.request,
        team: token.team,
        from: 0,
    });
    let (mut delivered, mut digest) = (Vec::new(), Digest::default());
    let (inner, mut events) = mpsc::channel(64);
    let forward = async {
        while let Some(piece) = events.recv().await {
            if matches!(&piece, Piece::Event(seq, _) if *seq < from) {
                continue;
            }
            if pieces.send(piece).await.is_err() {
                return;
            }
        }
    };
    let read = async {
        let result = match send(&shared, member, &frame).await {
            Ok(mut stream) => {
                let (delivered, digest) = (&mut delivered, &mut digest);
                follow(
                    &shared,
                    &mut stream,
                    member,
                    deadline,
                    delivered,
                    digest,
                    &inner,
                )
                .await
            }
            Err(_) => Try::Broken,
        };
        if !matches!(result, Try::Finished) {
            let _ = inner.send(Piece::Refused(unknown())).await;
        }
        drop(inner);
    };
    tokio::join!(forward, read);
}

async fn send(shared: &Shared, member: &Member, frame: &Frame) -> Result<Stream, wire::Error> {
    let mut stream = shared.client.open(member.address).await?;
    stream.sender.send(frame).await?;
    Ok(stream)
}

fn refused_by(error: &wire::Error) -> Try {
    Try::Refused(Refused {
        verdict: error.verdict(),
        reason: Reason::Unavailable,
        retry_after_ms: 100,
        load: wire::Load::default(),
    })
}

fn left_ms(deadline: Instant) -> u32 {
    let left = deadline.saturating_duration_since(Instant::now());
    u32::try_from(left.as_millis()).unwrap_or(u32::MAX)
}
