/// Decodes a stream of server-sent events.
#[derive(Debug, Default)]
pub(crate) struct Decoder {
    buffer: Vec<u8>,
    scanned: usize,
}

/// A server-sent event.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) id: Option<u32>,
    pub(crate) data: String,
}

/// The largest event that is accepted.
const MAX_EVENT_BYTES: usize = 1 << 20;

impl Decoder {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer
            .extend(bytes.iter().filter(|&&byte| byte != b'\r'));
    }

    /// Returns the next complete event; fails on an overlong event and on text that is not UTF-8.
    pub(crate) fn decode(&mut self) -> Result<Option<Event>, &'static str> {
        let end = self.buffer[self.scanned..]
            .windows(2)
            .position(|pair| pair == b"\n\n");
        let Some(end) = end.map(|end| end + self.scanned) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err("an event is larger than 1 MiB");
            }
            self.scanned = self.buffer.len().saturating_sub(1);
            return Ok(None);
        };
        let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
        self.scanned = 0;
        let text = std::str::from_utf8(&event).map_err(|_error| "an event is not UTF-8")?;
        let mut id = None;
        let mut data = String::new();
        for line in text.lines() {
            if let Some(value) = field(line, "data") {
                data.push_str(value);
            } else if let Some(value) = field(line, "id") {
                id = value.parse().ok();
            }
        }
        Ok(Some(Event { id, data }))
    }
}

fn field<'line>(line: &'line str, name: &str) -> Option<&'line str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
