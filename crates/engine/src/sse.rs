//! Parses server-sent events from a stream that is split into chunks at arbitrary positions.

use bytes::{Buf, BytesMut};

/// Upper bound of an event's size.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// A server-sent event with its optional `id` and its data.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SseEvent {
    /// The `id` field, in which engines send the token offset.
    pub id: Option<String>,
    /// The `data` fields, joined by line feeds.
    pub data: String,
}

/// Incremental parser for server-sent events.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: BytesMut,
    /// Bytes of the buffer that do not begin the end of an event.
    searched: usize,
}

impl SseParser {
    /// Appends a chunk to the input.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Whether the buffered input exceeds [`MAX_EVENT_BYTES`].
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        loop {
            let Some(found) = find(&self.buffer[self.searched..], b"\n\n") else {
                // The last byte may be the first of the two that end an event.
                self.searched = self.buffer.len().saturating_sub(1);
                return None;
            };
            let end = self.searched + found;
            self.searched = 0;
            let block = self.buffer.split_to(end);
            self.buffer.advance(2);
            if let Some(event) = parse_event(&block) {
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

fn parse_event(block: &[u8]) -> Option<SseEvent> {
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
