use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use types::{Request, Team, Time, Verdict};
use wire::{Digest, End, Event, Frame, Reason, Stream, Usage};

use super::Shared;

/// The answers that run or ended a short while ago, so that a broken stream can be resumed.
#[derive(Debug, Default)]
pub(super) struct Answers(Mutex<Kept>);

#[derive(Debug, Default)]
struct Kept {
    answers: HashMap<Request, Arc<Answer>>,
    order: VecDeque<(Time, Request)>,
}

/// One answer, written by the engine's stream and read by any number of streams to entries.
#[derive(Debug)]
pub(super) struct Answer {
    team: Team,
    content: Mutex<Content>,
    progress: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Content {
    events: Vec<String>,
    digest: Digest,
    end: Option<Ending>,
}

/// How an answer ended.
#[derive(Debug, Clone)]
pub(super) enum Ending {
    /// It is whole.
    Whole { finish: String, usage: Usage },
    /// The target lost it; it can be completed elsewhere.
    Lost,
}

/// How long an answer is kept after its start.
const KEEP: Duration = Duration::from_secs(120);
/// The most answers that are kept; the oldest go first.
const MAX_ANSWERS: usize = 4096;

impl Answers {
    /// Starts an answer; `delivered` are the events that exist already.
    pub(super) fn start(&self, request: Request, team: Team, delivered: &[String]) -> Arc<Answer> {
        let mut content = Content::default();
        for event in delivered {
            content.push(event.clone());
        }
        let (progress, _) = watch::channel(());
        let answer = Arc::new(Answer {
            team,
            content: Mutex::new(content),
            progress,
        });
        let now = crate::now();
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        kept.answers.insert(request, Arc::clone(&answer));
        kept.order.push_back((now, request));
        while let Some(&(started, oldest)) = kept.order.front() {
            if kept.order.len() <= MAX_ANSWERS && now.since(started) < KEEP {
                break;
            }
            kept.order.pop_front();
            kept.answers.remove(&oldest);
        }
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

impl Answer {
    /// Adds the next event.
    pub(super) fn push(&self, text: String) {
        self.lock().push(text);
        self.progress.send_replace(());
    }

    /// Marks the end.
    pub(super) fn end(&self, ending: Ending) {
        self.lock().end = Some(ending);
        self.progress.send_replace(());
    }

    /// Returns the number of events so far.
    pub(super) fn len(&self) -> u32 {
        self.lock().events.len() as u32
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next(&self, from: u32, shared: &Shared) -> Next {
        let content = self.lock();
        if let Some(text) = content.events.get(from as usize) {
            return Next::Send(Frame::Event(Event {
                seq: from,
                text: text.clone(),
            }));
        }
        match &content.end {
            None => Next::Wait,
            Some(Ending::Lost) => {
                Next::Last(shared.refuse_with(Verdict::MayHaveRun, Reason::Unavailable))
            }
            Some(Ending::Whole { finish, usage }) => Next::Last(Frame::End(End {
                events: content.events.len() as u32,
                digest: content.digest.value(),
                finish: finish.clone(),
                usage: *usage,
                load: shared.gate.state().load,
            })),
        }
    }
}

enum Next {
    Send(Frame),
    Last(Frame),
    Wait,
}

impl Content {
    fn push(&mut self, text: String) {
        self.digest.add(&text);
        self.events.push(text);
    }
}

/// Sends an answer from the event `from` on, as it grows, up to its end.
pub(super) async fn follow(answer: &Answer, from: u32, stream: &mut Stream, shared: &Shared) {
    let mut progress = answer.progress.subscribe();
    let mut from = from;
    loop {
        progress.mark_unchanged();
        match answer.next(from, shared) {
            Next::Send(frame) => {
                if stream.sender.send(&frame).await.is_err() {
                    return;
                }
                from += 1;
            }
            Next::Last(frame) => {
                let _ = stream.sender.send(&frame).await;
                return;
            }
            Next::Wait => {
                if progress.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}
