//! Continuous batching: a bounded number of requests generate at once, the rest wait by priority;
//! and a bounded prefix cache.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// The places of one engine.
#[derive(Debug)]
pub struct BatchPlaces {
    most: usize,
    state: Mutex<BatchState>,
}

#[derive(Debug, Default)]
struct BatchState {
    running: usize,
    waiting: Vec<(u8, u64, oneshot::Sender<()>)>,
    next: u64,
}

/// A place in the batch, given back when dropped.
pub struct BatchPlace {
    places: Arc<BatchPlaces>,
}

impl BatchPlaces {
    /// An engine that generates for `most` requests at once.
    pub fn new(most: usize) -> Arc<Self> {
        Arc::new(Self {
            most,
            state: Mutex::new(BatchState::default()),
        })
    }

    /// Requests that generate, and requests that wait.
    pub fn counts(&self) -> (u32, u32) {
        let state = self.state.lock();
        (state.running as u32, state.waiting.len() as u32)
    }

    /// Waits for a place; 0 is the most urgent.
    pub async fn enter(self: &Arc<Self>, priority: u8) -> BatchPlace {
        let waiting = {
            let mut state = self.state.lock();
            if state.running < self.most {
                state.running += 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                let turn = state.next;
                state.next += 1;
                state.waiting.push((priority, turn, sender));
                state
                    .waiting
                    .sort_by_key(|(priority, turn, _)| (*priority, *turn));
                Some(receiver)
            }
        };
        if let Some(receiver) = waiting {
            let _ = receiver.await;
        }
        BatchPlace {
            places: Arc::clone(self),
        }
    }
}

impl Drop for BatchPlace {
    fn drop(&mut self) {
        let mut state = self.places.state.lock();
        while !state.waiting.is_empty() {
            let (_, _, next) = state.waiting.remove(0);
            // The place is handed on; whoever left meanwhile is passed over.
            if next.send(()).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }
}

/// The prompt prefixes held, the least recently used make room.
#[derive(Debug)]
pub struct PrefixCache {
    most: usize,
    held: Mutex<VecDeque<u64>>,
    events: Mutex<Vec<CacheEvent>>,
}

/// A change of the cache, as engines publish it.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct CacheEvent {
    /// Counts events; some are left out.
    pub number: u64,
    /// The prefix.
    pub prefix: u64,
    /// Whether it is held now.
    pub is_held: bool,
    /// When, in milliseconds since 1970.
    pub at: u64,
}

/// Of so many events, one is never published.
const EVENT_GAP: u64 = 16;
/// Events kept.
const MAX_EVENTS: usize = 1_000;

impl PrefixCache {
    /// An empty cache for `most` prefixes.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            held: Mutex::new(VecDeque::new()),
            events: Mutex::new(Vec::new()),
        }
    }

    /// Uses a prefix; true if it was held.
    pub fn touch(&self, prefix: u64) -> bool {
        let mut held = self.held.lock();
        let found = held.iter().position(|other| *other == prefix);
        if let Some(index) = found {
            held.remove(index);
        }
        held.push_back(prefix);
        if found.is_none() {
            self.note(prefix, true);
        }
        if held.len() > self.most
            && let Some(oldest) = held.pop_front()
        {
            self.note(oldest, false);
        }
        found.is_some()
    }

    /// Forgets everything.
    pub fn clear(&self) {
        self.held.lock().clear();
    }

    fn note(&self, prefix: u64, is_held: bool) {
        let mut events = self.events.lock();
        let number = events.last().map_or(0, |event| event.number + 1);
        if events.len() >= MAX_EVENTS {
            events.remove(0);
        }
        let at = crate::clock::wall_ms();
        events.push(CacheEvent {
            number,
            prefix,
            is_held,
            at,
        });
    }

    /// The events older than `lag_ms`, with gaps.
    pub fn published(&self, lag_ms: u64) -> Vec<CacheEvent> {
        let until = crate::clock::wall_ms().saturating_sub(lag_ms);
        let events = self.events.lock();
        let due = events.iter().filter(|event| event.at <= until);
        due.filter(|event| event.number % EVENT_GAP != EVENT_GAP - 1)
            .copied()
            .collect()
    }
}
