use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use types::{Request, Team, Time, Verdict};
use wire::{Digest, End, Event, Frame, Reason, Stream, Usage};

use super::Shared;
use super::track::Tracker;

/// The answers that run or ended a short while ago, so that a broken stream can be resumed.
#[derive(Debug, Default)]
pub(super) struct Answers(Mutex<Kept>);

#[derive(Debug, Default)]
struct Kept {
    answers: HashMap<Request, Arc<Answer>>,
    order: VecDeque<Arc<Answer>>,
    swept: Time,
}

/// One answer, written by the engine's stream and read by any number of streams to entries.
#[derive(Debug)]
pub(super) struct Answer {
    request: Request,
    team: Team,
    content: Mutex<Content>,
    progress: watch::Sender<()>,
    followers: Tracker,
}

#[derive(Debug, Default)]
struct Content {
    events: Vec<Arc<str>>,
    bytes: usize,
    digest: Digest,
    end: Option<(Time, Ending)>,
}

/// How an answer ended.
#[derive(Debug, Clone)]
pub(super) enum Ending {
    /// It is whole.
    Whole { finish: String, usage: Usage },
    /// The target lost it; it can be completed elsewhere.
    Lost,
}

/// How long an answer is kept after its end.
const KEEP: Duration = Duration::from_secs(60);
/// How often the answers are looked through for those to forget.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The most answers that are kept; of the ended ones, the oldest go first.
const MAX_ANSWERS: usize = 4096;
/// The bytes that ended answers may hold together with the running ones.
const MAX_BYTES: usize = 64 << 20;
/// The bytes of one answer; one that grows beyond them is given up.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// What an event occupies beside its text.
const EVENT_BYTES: usize = 32;
/// The events that are sent at once when they are ready; more would delay the other streams.
const MAX_BATCH: usize = 256;

impl Answers {
    /// Starts an answer; `delivered` are the events that exist already.
    pub(super) fn start(
        &self,
        request: Request,
        team: Team,
        delivered: &[Arc<str>],
    ) -> Arc<Answer> {
        let mut content = Content::default();
        for event in delivered {
            content.push(Arc::clone(event));
        }
        let answer = Arc::new(Answer {
            request,
            team,
            content: Mutex::new(content),
            progress: watch::channel(()).0,
            followers: Tracker::default(),
        });
        let now = crate::now();
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        kept.sweep(now);
        kept.answers.insert(request, Arc::clone(&answer));
        kept.order.push_back(Arc::clone(&answer));
        answer
    }

    /// Returns an answer, if it is this team's.
    pub(super) fn get(&self, request: Request, team: &Team) -> Option<Arc<Answer>> {
        let kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        kept.answers
            .get(&request)
            .filter(|answer| answer.team == *team)
            .cloned()
    }
}

impl Kept {
    /// Forgets answers that ended a while ago, and the oldest ended ones above the bounds.
    fn sweep(&mut self, now: Time) {
        if now.since(self.swept) < SWEEP_INTERVAL && self.order.len() < MAX_ANSWERS {
            return;
        }
        self.swept = now;
        let mut count = self.order.len();
        let mut bytes: usize = self.order.iter().map(|answer| answer.lock().bytes).sum();
        let answers = &mut self.answers;
        self.order.retain(|answer| {
            let content = answer.lock();
            // Running answers are bounded by the admission.
            let Some((ended, _)) = content.end else {
                return true;
            };
            if count < MAX_ANSWERS && bytes <= MAX_BYTES && now.since(ended) < KEEP {
                return true;
            }
            count -= 1;
            bytes -= content.bytes;
            if answers
                .get(&answer.request)
                .is_some_and(|kept| Arc::ptr_eq(kept, answer))
            {
                answers.remove(&answer.request);
            }
            false
        });
    }
}

impl Answer {
    /// Adds the next event; returns whether there is room for more.
    pub(super) fn push(&self, text: Arc<str>) -> bool {
        let mut content = self.lock();
        content.push(text);
        let has_room = content.bytes <= MAX_ANSWER_BYTES;
        drop(content);
        self.progress.send_replace(());
        has_room
    }

    /// Marks the end.
    pub(super) fn end(&self, ending: Ending) {
        self.lock().end = Some((crate::now(), ending));
        self.progress.send_replace(());
    }

    /// Returns the number of events so far.
    pub(super) fn len(&self) -> u32 {
        self.lock().events.len() as u32
    }

    /// Returns once nobody has followed the answer for this long.
    pub(super) async fn abandoned(&self, patience: Duration) {
        loop {
            self.followers.idle().await;
            tokio::select! {
                () = tokio::time::sleep(patience) => return,
                () = self.followers.busy() => {}
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the frames that can be sent now and whether the last of them ends the stream.
    fn ready(&self, from: u32, shared: &Shared) -> (Vec<Frame>, bool) {
        let content = self.lock();
        let events = content.events.get(from as usize..).unwrap_or_default();
        let mut frames: Vec<Frame> = (from..)
            .zip(events.iter().take(MAX_BATCH))
            .map(|(seq, text)| {
                Frame::Event(Event {
                    request: self.request,
                    seq,
                    text: Arc::clone(text),
                })
            })
            .collect();
        if events.len() > MAX_BATCH {
            return (frames, false);
        }
        let last = match &content.end {
            None => return (frames, false),
            Some((_, Ending::Lost)) => {
                shared.refuse_with(self.request, Verdict::MayHaveRun, Reason::Unavailable)
            }
            Some((_, Ending::Whole { finish, usage })) => Frame::End(End {
                request: self.request,
                events: content.events.len() as u32,
                digest: content.digest.finalize(),
                finish_reason: finish.clone(),
                usage: *usage,
                load: shared.gate.state().load,
            }),
        };
        frames.push(last);
        (frames, true)
    }
}

impl Content {
    fn push(&mut self, text: Arc<str>) {
        self.digest.update(&text);
        self.bytes += text.len() + EVENT_BYTES;
        self.events.push(text);
    }
}

/// Sends an answer from the event `from` on, as it grows, up to its end.
pub(super) async fn follow(answer: &Answer, from: u32, stream: &mut Stream, shared: &Shared) {
    let _follower = answer.followers.start();
    let mut progress = answer.progress.subscribe();
    let mut from = from;
    loop {
        progress.mark_unchanged();
        let (frames, is_last) = answer.ready(from, shared);
        if frames.is_empty() {
            // An entry that gave up must not count as a follower until the next token.
            tokio::select! {
                changed = progress.changed() => if changed.is_err() { return },
                () = stream.sender.closed() => return,
            }
            continue;
        }
        if stream.sender.send_all(&frames).await.is_err() || is_last {
            return;
        }
        from += frames.len() as u32;
    }
}
