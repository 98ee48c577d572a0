//! Bodies of answers that are held until they are known to be whole, and the bytes that they take.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bergamot_bounded::BoundedBody;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::answer::{AnswerBody, BrokenAnswer};
use crate::shared::SharedState;

/// Most bytes of an answer that are held. An answer that is held can be replaced by that of another
/// upstream if it breaks off; larger ones are passed on as they arrive.
pub const MAX_HELD_BYTES: usize = 256 << 10;

/// The body of an upstream's or another VM's answer.
pub type ReplyBody = BoundedBody<Incoming>;

/// Counts the bytes that are held for all answers, until they are passed to their callers' connections.
#[derive(Clone)]
pub struct HeldTotal {
    bytes: Arc<AtomicUsize>,
    shared: Arc<SharedState>,
}

impl HeldTotal {
    /// Creates a count of zero.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            bytes: Arc::default(),
            shared,
        }
    }

    /// Whether more is held than the answers' share of the memory.
    pub fn is_full(&self) -> bool {
        self.bytes() > self.shared.resource_shares().answer_bytes
    }

    /// Returns a piece of an answer, which counts as held until it is dropped.
    pub fn hold(&self, piece: Bytes) -> Bytes {
        self.hold_with(piece, ())
    }

    /// Like [`Self::hold`]. The guard is dropped with the piece.
    pub fn hold_with<Guard>(&self, piece: Bytes, guard: Guard) -> Bytes
    where
        Guard: Send + 'static,
    {
        let mut held = HeldBytes::none(self);
        held.add(piece.len());
        Bytes::from_owner(HeldPiece {
            piece,
            _held: held,
            _guard: guard,
        })
    }

    /// Returns the number of bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// A piece of an answer that counts as held.
struct HeldPiece<Guard> {
    piece: Bytes,
    _held: HeldBytes,
    _guard: Guard,
}

impl<Guard> AsRef<[u8]> for HeldPiece<Guard> {
    fn as_ref(&self) -> &[u8] {
        &self.piece
    }
}

/// The bytes that are held for one answer, until dropped.
pub struct HeldBytes {
    total: HeldTotal,
    bytes: usize,
}

impl HeldBytes {
    fn none(total: &HeldTotal) -> Self {
        Self {
            total: total.clone(),
            bytes: 0,
        }
    }

    /// Adds bytes. Returns whether more may be added.
    fn add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        self.total.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes <= MAX_HELD_BYTES && !self.total.is_full()
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.total.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The beginning of a body, or all of it.
pub struct HeldBody {
    bytes: BytesMut,
    held: HeldBytes,
    /// Whether the body has ended.
    pub is_whole: bool,
}

impl HeldBody {
    /// Reads a body until its end, or until no more of it is held.
    ///
    /// # Errors
    /// If the body breaks off.
    pub async fn read(body: &mut ReplyBody, total: &HeldTotal) -> hyper::Result<Self> {
        let mut held_body = Self {
            bytes: BytesMut::new(),
            held: HeldBytes::none(total),
            is_whole: false,
        };
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            held_body.bytes.extend_from_slice(&data);
            if !held_body.held.add(data.len()) {
                return Ok(held_body);
            }
        }
        held_body.is_whole = true;
        Ok(held_body)
    }

    /// Returns the held bytes, which count as held until they are dropped.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(HeldPiece {
            piece: self.bytes.freeze(),
            _held: self.held,
            _guard: (),
        })
    }

    /// Returns the body of an answer to a caller, whose bytes count as held until they are sent.
    pub fn into_answer_body(self) -> AnswerBody {
        let body = CountedBody {
            body: Full::new(self.bytes.freeze()),
            _held: self.held,
        };
        body.boxed_unsync()
    }
}

struct CountedBody {
    body: Full<Bytes>,
    _held: HeldBytes,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        polled.map_err(|never| match never {})
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
