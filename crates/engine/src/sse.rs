//! Reads server-sent events out of chunks that end anywhere.

use bytes::{Buf, BytesMut};

/// The largest event that is read, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event: its `id`, if it has one, and its data.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SseEvent {
    /// The `id` field. Engines put the token offset there.
    pub id: Option<String>,
    /// The `data` fields, joined by line feeds.
    pub data: String,
}

/// The parser's state between chunks.
#[derive(Debug, Default)]
pub struct SseParser {
    pending: BytesMut,
}

impl SseParser {
    /// Takes a chunk in.
    pub fn push(&mut self, chunk: &[u8]) {
        self.pending.extend_from_slice(chunk);
    }

    /// Whether an event has grown beyond what is read.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        loop {
            let end = find(&self.pending, b"\n\n")?;
            let block = self.pending.split_to(end);
            self.pending.advance(2);
            if let Some(event) = parse(&block) {
                return Some(event);
            }
        }
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}

fn parse(block: &[u8]) -> Option<SseEvent> {
    let text = String::from_utf8_lossy(block);
    let mut event = SseEvent {
        id: None,
        data: String::new(),
    };
    let mut has_data = false;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => event.id = Some(value.to_owned()),
            "data" => {
                if has_data {
                    event.data.push('\n');
                }
                has_data = true;
                event.data.push_str(value);
            }
            _ => {}
        }
    }
    has_data.then_some(event)
}
