//! Structured logging to standard output through a bounded queue, so that callers never block.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use serde_json::{Map, Value};

/// The capacity of the queue; further lines are dropped and counted.
const QUEUE_LINES: usize = 4096;
/// The size from which a batch of lines is written; batches save system calls.
const BATCH_BYTES: usize = 32 << 10;
/// How long a line is delayed so that others are written in the same batch.
const BATCHING_DELAY: Duration = Duration::from_millis(50);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// A log line with the name of an event and its fields.
#[derive(Debug)]
pub struct Event {
    fields: Map<String, Value>,
}

impl Event {
    /// Creates a log line for the event with this name.
    #[must_use]
    pub fn new(event: &str) -> Self {
        let mut fields = Map::new();
        fields.insert("event".to_owned(), Value::from(event));
        Self { fields }
    }

    /// Adds a field.
    #[must_use]
    pub fn with<Field>(mut self, name: &str, value: Field) -> Self
    where
        Field: Into<Value>,
    {
        self.fields.insert(name.to_owned(), value.into());
        self
    }

    /// Logs the line at level info, for ordinary operation.
    pub fn info(self) {
        log::info!(target: "event", "{}", Value::Object(self.fields));
    }

    /// Logs the line at level warn, for events that an operator should see.
    pub fn warn(self) {
        log::warn!(target: "event", "{}", Value::Object(self.fields));
    }
}

/// A writer that queues complete lines for the log thread.
#[derive(Debug)]
struct Queue {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if line.is_empty() {
            return Ok(());
        }
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Returns the number of lines that were dropped because the queue was full.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Sets up logging for the process, and logs panics as events.
///
/// # Errors
/// Fails when logging is already set up, or the log thread cannot be spawned.
pub fn open(name: String, level: log::LevelFilter) -> Result<(), Box<dyn std::error::Error>> {
    let (lines, queued) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write(&queued))?;
    let queue = Queue {
        lines,
        line: Vec::new(),
    };
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let now = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            let level = record.level();
            if record.target() == "event" {
                let text = message.to_string();
                // The message is a JSON object; its fields are appended to the common fields.
                let fields = text.strip_prefix('{').unwrap_or(&text);
                out.finish(format_args!(
                    "{{\"time\":\"{now}\",\"level\":\"{level}\",\"process\":\"{name}\",{fields}"
                ));
                return;
            }
            let text = Value::from(message.to_string());
            out.finish(format_args!(
                "{{\"time\":\"{now}\",\"level\":\"{level}\",\"process\":\"{name}\",\"event\":\"message\",\"text\":{text}}}"
            ));
        })
        .level(log::LevelFilter::Warn)
        .level_for("event", level)
        .chain(fern::Output::writer(Box::new(queue), "\n"))
        .apply()?;
    std::panic::set_hook(Box::new(|panic| {
        let place = panic.location().map(ToString::to_string);
        let why = panic.payload_as_str().unwrap_or("no text");
        Event::new("panic")
            .with("why", why)
            .with("place", place)
            .warn();
    }));
    Ok(())
}

/// Returns the text of an error with those of its causes.
pub(crate) fn describe<Failure>(error: &Failure) -> String
where
    Failure: std::error::Error,
{
    let mut text = error.to_string();
    let causes = std::iter::successors(error.source(), |cause| cause.source());
    for cause in causes {
        text.push_str(": ");
        text.push_str(&cause.to_string());
    }
    text
}

/// Waits until the queued lines have had time to be written, at the end of the process.
pub(crate) async fn flush() {
    tokio::time::sleep(BATCHING_DELAY + Duration::from_millis(10)).await;
}

fn write(queued: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(mut batch) = queued.recv() {
        std::thread::sleep(BATCHING_DELAY);
        // Under load, a pause after each batch would fill the queue.
        let mut is_full = true;
        while is_full {
            while batch.len() < BATCH_BYTES
                && let Ok(line) = queued.try_recv()
            {
                batch.extend_from_slice(&line);
            }
            if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
                // Standard output is closed, and there is no other place to log the error.
                return;
            }
            is_full = batch.len() >= BATCH_BYTES;
            batch.clear();
        }
    }
}
