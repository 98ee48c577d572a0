//! The bytes of request bodies, and which body is evicted when they are used up.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Size up to which a body is small. A quarter of the bytes is left to small bodies, so that they need not wait behind
/// large ones.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Time without growth after which a body that is still arriving may be evicted. Covers a packet that is
/// lost and sent again.
pub const STALL_TIME: Millis = Millis(1_000);

/// Identifies a body that is arriving.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct BodyId(u64);

/// What follows from the growth of a body.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum GrowOutcome {
    /// The body may grow. These others are evicted: they hold nothing any more.
    Granted(Vec<BodyId>),
    /// There is no room, and no other body can be evicted.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct ArrivingBody {
    bytes: usize,
    grew_at: Millis,
}

/// Accounts for the bytes of all request bodies.
#[derive(Clone, Debug, Default)]
pub struct BodyLedger {
    arriving: IndexMap<BodyId, ArrivingBody>,
    /// Bytes of the bodies that have arrived. They are kept until their requests have ended.
    arrived_bytes: usize,
    arriving_bytes: usize,
    last_id: u64,
}

impl BodyLedger {
    /// Returns the bytes of all bodies.
    pub fn held_bytes(&self) -> usize {
        self.arrived_bytes + self.arriving_bytes
    }

    /// Begins a body that holds nothing yet.
    pub fn begin(&mut self, now: Millis) -> BodyId {
        self.last_id += 1;
        let id = BodyId(self.last_id);
        let body = ArrivingBody {
            bytes: 0,
            grew_at: now,
        };
        self.arriving.insert(id, body);
        id
    }

    /// Whether a body of this size could be held now, if all bodies that have stalled were evicted.
    pub fn fits(&self, now: Millis, bytes: usize, share: usize) -> bool {
        let stalled = self.arriving.values().filter(|body| is_stalled(body, now));
        let stalled_bytes: usize = stalled.map(|body| body.bytes).sum();
        self.held_bytes() - stalled_bytes + bytes <= limit_for(bytes, share)
    }

    /// Grows a body that is arriving, where all bodies together may hold `share` bytes.
    pub fn grow(&mut self, now: Millis, id: BodyId, bytes: usize, share: usize) -> GrowOutcome {
        let Some(body) = self.arriving.get(&id).copied() else {
            return GrowOutcome::Refused;
        };
        let limit = limit_for(body.bytes + bytes, share);
        let needed = (self.held_bytes() + bytes).saturating_sub(limit);
        let Some(victims) = self.choose_victims(now, id, needed) else {
            return GrowOutcome::Refused;
        };
        for victim in &victims {
            self.abandon(*victim);
        }
        if let Some(body) = self.arriving.get_mut(&id) {
            body.bytes += bytes;
            body.grew_at = now;
            self.arriving_bytes += bytes;
        }
        GrowOutcome::Granted(victims)
    }

    /// Returns the bodies to evict for so many bytes, first those that have stalled for the longest time.
    fn choose_victims(&self, now: Millis, grower: BodyId, needed: usize) -> Option<Vec<BodyId>> {
        if needed == 0 {
            return Some(Vec::new());
        }
        let stalled = self.arriving.iter();
        let mut stalled: Vec<_> = stalled
            .filter(|(id, body)| **id != grower && body.bytes > 0 && is_stalled(body, now))
            .collect();
        stalled.sort_by_key(|(_, body)| body.grew_at);
        let mut freed = 0;
        let mut victims = Vec::new();
        for (id, body) in stalled {
            if freed >= needed {
                break;
            }
            freed += body.bytes;
            victims.push(*id);
        }
        (freed >= needed).then_some(victims)
    }

    /// Records that a body has arrived completely. Returns the bytes that it holds until [`Self::release`].
    pub fn complete(&mut self, id: BodyId) -> usize {
        let bytes = self.take(id);
        self.arrived_bytes += bytes;
        bytes
    }

    /// Ends a body that is arriving. Without effect on a body that was evicted or is complete.
    pub fn abandon(&mut self, id: BodyId) {
        self.take(id);
    }

    /// Releases the bytes of a complete body.
    pub fn release(&mut self, bytes: usize) {
        self.arrived_bytes = self.arrived_bytes.saturating_sub(bytes);
    }

    fn take(&mut self, id: BodyId) -> usize {
        let bytes = self.arriving.swap_remove(&id).map_or(0, |body| body.bytes);
        self.arriving_bytes -= bytes;
        bytes
    }
}

fn is_stalled(body: &ArrivingBody, now: Millis) -> bool {
    now.since(body.grew_at) >= STALL_TIME
}

/// Returns how many bytes all bodies may hold after the growth of one to this size.
fn limit_for(body_bytes: usize, share: usize) -> usize {
    match body_bytes <= SMALL_BODY_BYTES {
        true => share,
        false => share - share / 4,
    }
}
