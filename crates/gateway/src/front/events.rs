//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event, including the blank line that ends it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StreamEvent {
    /// The event's id, if it has a numeric one.
    pub id: Option<u64>,
    /// The event's bytes, unchanged.
    pub bytes: Bytes,
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the buffered event exceeds [`MAX_EVENT_BYTES`].
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let length = event_length(&self.buffer)?;
        let bytes = self.buffer.split_to(length).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { id, bytes })
    }
}

/// Returns the length of the first event, which ends after a blank line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        let is_blank = line.is_empty() || line == b"\r";
        if is_blank && line_start > 0 {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let mut ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
    ids.next_back().and_then(|id| id.trim().parse().ok())
}
