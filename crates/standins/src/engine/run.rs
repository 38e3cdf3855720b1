use std::sync::Arc;

use futures_util::Stream;
use futures_util::stream::unfold;
use serde_json::json;
use tokio::sync::watch;

/// A completion that runs or has ended; it goes on whether or not anybody reads it.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    pub(crate) boot: u64,
    answer: Arc<Answer>,
    progress: watch::Receiver<Progress>,
}

/// What the answer will be.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) seed: u32,
    pub(crate) tokens: u32,
    pub(crate) prompt_tokens: usize,
    pub(crate) cached_tokens: usize,
}

/// How far a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// This many tokens are made.
    Made(u32),
    /// The engine lost the run.
    Aborted,
}

/// An event of the stream: its id and its data; `None` stands for a lost run.
pub(crate) type Event = Option<(Option<u32>, String)>;

impl Handle {
    pub(crate) fn new(boot: u64, answer: Answer) -> (Self, watch::Sender<Progress>) {
        let (sender, progress) = watch::channel(Progress::Made(0));
        (
            Self {
                boot,
                answer: Arc::new(answer),
                progress,
            },
            sender,
        )
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(*self.progress.borrow(), Progress::Made(made) if made < self.answer.tokens)
    }

    /// Streams the events from the token `from` on, as they are made.
    pub(crate) fn events(self, from: u32) -> impl Stream<Item = Event> {
        unfold((self, from, false), async |(mut run, seq, ended)| {
            if ended {
                return None;
            }
            let tokens = run.answer.tokens;
            if seq >= tokens {
                return Some((Some((None, run.answer.end())), (run, seq, true)));
            }
            let reached = |progress: &Progress| match progress {
                Progress::Made(made) => *made > seq,
                Progress::Aborted => true,
            };
            let aborted = match run.progress.wait_for(reached).await {
                Ok(progress) => *progress == Progress::Aborted,
                Err(_) => true,
            };
            if aborted {
                return Some((None, (run, seq, true)));
            }
            let data = run.answer.token(seq);
            Some((Some((Some(seq), data)), (run, seq + 1, false)))
        })
    }
}

impl Answer {
    /// Returns the token at a position; it depends only on the prompt, so that a checker can tell
    /// whether a caller got the whole answer to its own prompt.
    fn token(&self, seq: u32) -> String {
        let text = format!("w{seq}-{:08x} ", self.seed ^ seq);
        json!({ "choices": [{ "index": 0, "text": text, "finish_reason": null }] }).to_string()
    }

    fn end(&self) -> String {
        json!({
            "choices": [{ "index": 0, "text": "", "finish_reason": "length" }],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.tokens,
                "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
            },
        })
        .to_string()
    }
}

/// Returns the number from which the answer to a prompt is made.
pub(crate) fn seed(prompt: &str) -> u32 {
    let hash = blake3::hash(prompt.as_bytes());
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(bytes)
}
