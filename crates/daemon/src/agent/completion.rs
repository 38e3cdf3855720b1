use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use types::{Request, Team, Time, Verdict};
use wire::{Digest, End, Event, Frame, Reason, Stream, Usage};

use super::Shared;
use super::track::Tracker;

/// The completions that run or ended a short while ago, so that a broken stream can be resumed.
#[derive(Debug, Default)]
pub(super) struct Registry(Mutex<Index>);

#[derive(Debug, Default)]
struct Index {
    buffers: HashMap<Request, Arc<Buffer>>,
    order: VecDeque<Arc<Buffer>>,
    evicted_at: Time,
}

/// The events of one completion, written by the engine's stream and read by any number of streams
/// to entries.
#[derive(Debug)]
pub(super) struct Buffer {
    request: Request,
    team: Team,
    content: Mutex<Content>,
    progress: watch::Sender<()>,
    readers: Tracker,
}

#[derive(Debug, Default)]
struct Content {
    events: Vec<Arc<str>>,
    bytes: usize,
    digest: Digest,
    end: Option<(Time, Ending)>,
}

/// How a completion ended.
#[derive(Debug, Clone)]
pub(super) enum Ending {
    /// The engine has finished it.
    Complete { finish: String, usage: Usage },
    /// The target lost it; it can be continued elsewhere.
    Lost,
}

/// How long a completion is retained after its end.
const RETENTION: Duration = Duration::from_secs(60);
/// How often expired completions are evicted.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of retained completions; of those that have ended, the oldest are evicted
/// first.
const MAX_BUFFERS: usize = 4096;
/// The maximum size of all buffers together; only completions that have ended are evicted for it.
const MAX_TOTAL_BYTES: usize = 64 << 20;
/// The maximum size of one buffer; a completion that grows beyond it is cancelled.
const MAX_BUFFER_BYTES: usize = 8 << 20;
/// The memory that an event occupies besides its text.
const EVENT_OVERHEAD_BYTES: usize = 32;
/// The maximum number of events that are sent in one batch; more would delay the other streams.
const MAX_BATCH: usize = 256;

impl Registry {
    /// Starts the buffer of a completion; `delivered` are the events that exist already.
    pub(super) fn start(
        &self,
        request: Request,
        team: Team,
        delivered: &[Arc<str>],
    ) -> Arc<Buffer> {
        let mut content = Content::default();
        for event in delivered {
            content.push(Arc::clone(event));
        }
        let buffer = Arc::new(Buffer {
            request,
            team,
            content: Mutex::new(content),
            progress: watch::channel(()).0,
            readers: Tracker::default(),
        });
        let now = crate::now();
        let mut index = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        index.evict(now);
        index.buffers.insert(request, Arc::clone(&buffer));
        index.order.push_back(Arc::clone(&buffer));
        buffer
    }

    /// Returns the buffer of a completion if it belongs to this team.
    pub(super) fn get(&self, request: Request, team: &Team) -> Option<Arc<Buffer>> {
        let index = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        index
            .buffers
            .get(&request)
            .filter(|buffer| buffer.team == *team)
            .cloned()
    }
}

impl Index {
    /// Evicts completions that ended a while ago, and the oldest ended ones beyond the limits.
    fn evict(&mut self, now: Time) {
        if now.since(self.evicted_at) < EVICTION_INTERVAL && self.order.len() < MAX_BUFFERS {
            return;
        }
        self.evicted_at = now;
        let mut count = self.order.len();
        let mut bytes: usize = self.order.iter().map(|buffer| buffer.lock().bytes).sum();
        let buffers = &mut self.buffers;
        self.order.retain(|buffer| {
            let content = buffer.lock();
            // Running completions are bounded by admission.
            let Some((ended, _)) = content.end else {
                return true;
            };
            if count < MAX_BUFFERS && bytes <= MAX_TOTAL_BYTES && now.since(ended) < RETENTION {
                return true;
            }
            count -= 1;
            bytes -= content.bytes;
            if buffers
                .get(&buffer.request)
                .is_some_and(|current| Arc::ptr_eq(current, buffer))
            {
                buffers.remove(&buffer.request);
            }
            false
        });
    }
}

impl Buffer {
    /// Appends the next event; returns whether there is room for more.
    pub(super) fn push(&self, text: Arc<str>) -> bool {
        let mut content = self.lock();
        content.push(text);
        let has_room = content.bytes <= MAX_BUFFER_BYTES;
        drop(content);
        self.progress.send_replace(());
        has_room
    }

    /// Marks the completion as ended.
    pub(super) fn end(&self, ending: Ending) {
        self.lock().end = Some((crate::now(), ending));
        self.progress.send_replace(());
    }

    /// Returns the number of events so far.
    pub(super) fn len(&self) -> u32 {
        self.lock().events.len() as u32
    }

    /// Returns once the completion has had no reader for this long.
    pub(super) async fn abandoned(&self, timeout: Duration) {
        loop {
            self.readers.idle().await;
            tokio::select! {
                () = tokio::time::sleep(timeout) => return,
                () = self.readers.busy() => {}
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the frames that can be sent now, and whether the last of them ends the stream.
    fn ready_frames(&self, from: u32, shared: &Shared) -> (Vec<Frame>, bool) {
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
            Some((_, Ending::Complete { finish, usage })) => Frame::End(End {
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
        self.bytes += text.len() + EVENT_OVERHEAD_BYTES;
        self.events.push(text);
    }
}

/// Sends a completion from the event `from` on, as it grows, until its end.
pub(super) async fn follow(buffer: &Buffer, from: u32, stream: &mut Stream, shared: &Shared) {
    let _reader = buffer.readers.start();
    let mut progress = buffer.progress.subscribe();
    let mut from = from;
    loop {
        progress.mark_unchanged();
        let (frames, is_last) = buffer.ready_frames(from, shared);
        if frames.is_empty() {
            // An entry that has closed the stream must not count as a reader until the next token.
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
