//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Most pieces in which an event may arrive if all of them are small. An upstream writes an event in
/// one piece, or in a few.
const MAX_EVENT_PIECES: usize = 64;
/// Pieces are small if all of them together have fewer bytes.
const SMALL_PIECES_BYTES: usize = 16 << 10;

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
    /// Start of the last line in the buffer that is known not to be complete. What precedes it is
    /// not looked at again.
    line_start: usize,
    /// Bytes of the buffer that were looked at.
    scanned: usize,
    /// Pieces since the last complete event.
    pieces: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.pieces += 1;
    }

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the buffered event exceeds [`MAX_EVENT_BYTES`], or arrives in so many small pieces
    /// that it is none.
    pub fn is_endless(&self) -> bool {
        let length = self.buffer.len();
        let is_trickle = self.pieces > MAX_EVENT_PIECES && length < SMALL_PIECES_BYTES;
        length > MAX_EVENT_BYTES || is_trickle
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let length = self.event_length()?;
        let bytes = self.buffer.split_to(length).freeze();
        (self.line_start, self.scanned, self.pieces) = (0, 0, 0);
        let id = event_id(&bytes);
        Some(StreamEvent { id, bytes })
    }

    /// Returns the length of the first event, which ends after a blank line.
    fn event_length(&mut self) -> Option<usize> {
        let unseen = &self.buffer[self.scanned..];
        for (index, byte) in unseen.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let line_end = self.scanned + index;
            let line = &self.buffer[self.line_start..line_end];
            let is_blank = line.is_empty() || line == b"\r";
            if is_blank && self.line_start > 0 {
                return Some(line_end + 1);
            }
            self.line_start = line_end + 1;
        }
        self.scanned = self.buffer.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let mut ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
    ids.next_back().and_then(|id| id.trim().parse().ok())
}
