//! Bounded rings between duties. A full ring refuses, and the refusal is counted: nothing in this
//! process waits without bound for another duty.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::mpsc;

/// What a ring has seen.
#[derive(Debug, Default)]
pub struct RingStats {
    pushed: AtomicU64,
    refused: AtomicU64,
}

/// The end of a ring that is written to.
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

/// The end of a ring that is read from.
pub type RingReceiver<Item> = mpsc::Receiver<Item>;

/// A ring that holds `size` items at most.
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
    /// Writes an item; false if the ring is full or its reader is gone.
    pub fn push(&self, item: Item) -> bool {
        let is_pushed = self.sender.try_send(item).is_ok();
        let counter = match is_pushed {
            true => &self.stats.pushed,
            false => &self.stats.refused,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        is_pushed
    }

    /// Items that wait, items written and items refused, for the dump.
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
