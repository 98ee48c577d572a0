//! Bounded queues between duties. A full queue refuses items and counts them, so that no duty
//! waits for another without bound.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::mpsc;

/// Counters of a ring.
#[derive(Debug, Default)]
pub struct RingStats {
    pushed: AtomicU64,
    refused: AtomicU64,
}

/// The sending half of a ring.
#[derive(Debug)]
pub struct RingSender<Item> {
    name: &'static str,
    sender: mpsc::Sender<Item>,
    stats: Arc<RingStats>,
}

impl<Item> Clone for RingSender<Item> {
    fn clone(&self) -> Self {
        Self {
            name: self.name,
            sender: self.sender.clone(),
            stats: Arc::clone(&self.stats),
        }
    }
}

/// The receiving half of a ring.
pub type RingReceiver<Item> = mpsc::Receiver<Item>;

/// Creates a ring that holds at most `size` items.
pub fn ring<Item>(name: &'static str, size: usize) -> (RingSender<Item>, RingReceiver<Item>) {
    let (sender, receiver) = mpsc::channel(size);
    let stats = Arc::new(RingStats::default());
    let sender = RingSender {
        name,
        sender,
        stats,
    };
    (sender, receiver)
}

impl<Item> RingSender<Item> {
    /// Adds an item. Returns `false` if the ring is full or its receiver was dropped.
    pub fn push(&self, item: Item) -> bool {
        let is_pushed = self.sender.try_send(item).is_ok();
        let counter = match is_pushed {
            true => &self.stats.pushed,
            false => &self.stats.refused,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        is_pushed
    }

    /// Returns the numbers of waiting, added and refused items as JSON for the admin dump.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "ring": self.name,
            "waiting": self.sender.max_capacity() - self.sender.capacity(),
            "size": self.sender.max_capacity(),
            "pushed": self.stats.pushed.load(Ordering::Relaxed),
            "refused": self.stats.refused.load(Ordering::Relaxed),
        })
    }
}
