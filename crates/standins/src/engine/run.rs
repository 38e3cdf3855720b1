use std::sync::Arc;

use futures_util::Stream;
use futures_util::stream::unfold;
use serde_json::json;
use tokio::sync::watch;

/// A running or finished completion, which continues whether or not its stream is read.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    pub(crate) boot: u64,
    answer: Arc<Answer>,
    progress: watch::Receiver<Progress>,
}

/// The parameters that determine the answer of a run.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) seed: u32,
    pub(crate) tokens: u32,
    pub(crate) prompt_tokens: usize,
    pub(crate) cached_tokens: usize,
}

/// The progress of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// This many tokens have been generated.
    Generated(u32),
    /// The engine lost the run or it was cancelled.
    Aborted,
}

/// An event of the stream, with its id and data; `None` for an aborted run.
pub(crate) type Event = Option<(Option<u32>, String)>;

impl Handle {
    pub(crate) fn new(boot: u64, answer: Answer) -> (Self, watch::Sender<Progress>) {
        let (sender, progress) = watch::channel(Progress::Generated(0));
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
        matches!(*self.progress.borrow(), Progress::Generated(generated) if generated < self.answer.tokens)
    }

    /// Streams the events starting with the token `from`, as the tokens are generated.
    pub(crate) fn events(self, from: u32) -> impl Stream<Item = Event> {
        unfold((self, from, false), async |(mut run, seq, has_ended)| {
            if has_ended {
                return None;
            }
            let tokens = run.answer.tokens;
            if seq >= tokens {
                return Some((Some((None, run.answer.last_event())), (run, seq, true)));
            }
            let is_ready = |progress: &Progress| match progress {
                Progress::Generated(generated) => *generated > seq,
                Progress::Aborted => true,
            };
            let aborted = match run.progress.wait_for(is_ready).await {
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
    /// Returns the event data of the token at a position. It depends only on the prompt, so that
    /// tests can check whether a caller received the complete answer to its own prompt.
    fn token(&self, seq: u32) -> String {
        let text = format!("w{seq}-{:08x} ", self.seed ^ seq);
        json!({ "choices": [{ "index": 0, "text": text, "finish_reason": null }] }).to_string()
    }

    fn last_event(&self) -> String {
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

/// Returns the seed from which the answer to a prompt is generated.
pub(crate) fn seed(prompt: &str) -> u32 {
    let hash = blake3::hash(prompt.as_bytes());
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(bytes)
}
