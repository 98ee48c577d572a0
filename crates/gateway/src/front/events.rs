//! Cuts a stream of bytes into whole events.

use bytes::{Bytes, BytesMut};

/// The largest event that is taken, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event, with the blank line that ends it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StreamEvent {
    /// Its id, where it has one.
    pub id: Option<u64>,
    /// Its bytes as they came.
    pub bytes: Bytes,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether part of an event waits for its end.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the event that is being collected is larger than allowed.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { id, bytes })
    }
}

/// Where the first event ends: after a blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
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
