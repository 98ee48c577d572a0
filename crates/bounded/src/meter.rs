//! What arrived on a connection since the last progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use prometheus::IntCounter;

/// What may arrive without progress.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct IntakeBounds {
    /// Most bytes.
    pub max_bytes: u64,
    /// The bound on small pieces, if there is one.
    pub trickle: Option<TrickleBound>,
}

/// Bytes that arrive in small pieces without progress. A sound sender writes a head or the frame of
/// a chunk in one piece, or in a few.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TrickleBound {
    /// Most pieces.
    pub max_pieces: u64,
    /// Pieces are small if all of them together have fewer bytes.
    pub small_bytes: u64,
}

impl IntakeBounds {
    const fn allow(&self, bytes: u64, pieces: u64) -> bool {
        let is_trickle = match self.trickle {
            Some(bound) => pieces > bound.max_pieces && bytes < bound.small_bytes,
            None => false,
        };
        bytes <= self.max_bytes && !is_trickle
    }
}

/// Bytes arrived that are no answer, and more of them than any answer needs.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
#[error("{bytes} bytes in {pieces} pieces are no part of an answer")]
pub struct EndlessAnswer {
    /// Bytes since the last progress.
    pub bytes: u64,
    /// Pieces since the last progress.
    pub pieces: u64,
}

#[derive(Debug, Default)]
struct Counts {
    bytes: AtomicU64,
    pieces: AtomicU64,
}

/// Counts what arrives on one connection. Clones share the counts.
#[derive(Clone, Debug)]
pub struct ByteMeter {
    bounds: IntakeBounds,
    counts: Arc<Counts>,
    /// Counts connections on which a bound was exceeded.
    exceeded: Option<IntCounter>,
}

impl ByteMeter {
    /// Creates the meter of a connection. `exceeded` is raised once a bound is exceeded.
    pub fn new(bounds: IntakeBounds, exceeded: Option<IntCounter>) -> Self {
        Self {
            bounds,
            counts: Arc::default(),
            exceeded,
        }
    }

    /// Records that what arrived is of use, or that a new request begins.
    pub fn record_progress(&self) {
        self.counts.bytes.store(0, Ordering::Relaxed);
        self.counts.pieces.store(0, Ordering::Relaxed);
    }

    /// Records a piece of this many bytes.
    ///
    /// # Errors
    /// [`EndlessAnswer`] if a bound is exceeded.
    pub fn record_piece(&self, bytes: u64) -> Result<(), EndlessAnswer> {
        let bytes = self.counts.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let pieces = self.counts.pieces.fetch_add(1, Ordering::Relaxed) + 1;
        if self.bounds.allow(bytes, pieces) {
            return Ok(());
        }
        let error = EndlessAnswer { bytes, pieces };
        log::warn!("event=answer_without_end bytes={bytes} pieces={pieces}");
        if let Some(exceeded) = &self.exceeded {
            exceeded.inc();
        }
        Err(error)
    }
}
