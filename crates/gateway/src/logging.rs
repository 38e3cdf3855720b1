//! Structured log lines on standard output, bounded and never waited for.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use serde_json::{Map, Value};

/// Lines that may wait to be written; more are dropped and counted.
const WAITING_LINES: usize = 4096;
/// Lines that are written together; each write costs a system call.
const BATCH_BYTES: usize = 32 << 10;
/// How long a line waits for others to be written with it.
const GATHER: Duration = Duration::from_millis(50);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// One log line: what happened, and the values that explain it.
#[derive(Debug)]
pub struct Event {
    fields: Map<String, Value>,
}

impl Event {
    /// Starts a line about something that happened.
    #[must_use]
    pub fn new(what: &str) -> Self {
        let mut fields = Map::new();
        fields.insert("event".to_owned(), Value::from(what));
        Self { fields }
    }

    /// Adds a value.
    #[must_use]
    pub fn with<Field>(mut self, name: &str, value: Field) -> Self
    where
        Field: Into<Value>,
    {
        self.fields.insert(name.to_owned(), value.into());
        self
    }

    /// Writes the line as one of ordinary operation.
    pub fn info(self) {
        log::info!(target: "event", "{}", Value::Object(self.fields));
    }

    /// Writes the line as one that an operator should see.
    pub fn warn(self) {
        log::warn!(target: "event", "{}", Value::Object(self.fields));
    }
}

/// Sends lines to the writing thread.
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

/// Returns the number of lines that were dropped because they came faster than they were written.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Sets up logging for the process.
///
/// # Errors
/// Fails when logging is set up already, or the writing thread cannot be started.
pub fn open(name: String, level: log::LevelFilter) -> Result<(), Box<dyn std::error::Error>> {
    let (lines, waiting) = sync_channel(WAITING_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write(&waiting))?;
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
                // The message is an object; its fields follow those that every line has.
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

/// Gives the last lines the time to be written, while nothing else of the process runs.
pub(crate) fn flush() {
    std::thread::sleep(GATHER + Duration::from_millis(10));
}

fn write(waiting: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(mut batch) = waiting.recv() {
        std::thread::sleep(GATHER);
        while batch.len() < BATCH_BYTES
            && let Ok(line) = waiting.try_recv()
        {
            batch.extend_from_slice(&line);
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Nobody reads standard output any more; there is no other place to say so.
            return;
        }
    }
}
