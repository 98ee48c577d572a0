//! Bodies of requests: pages of memory, all of which together stay within the VM's share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bergamot_resources::prelude::*;
use bergamot_types::prelude::*;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use indexmap::IndexMap;
use parking_lot::Mutex;
use prometheus::IntCounterVec;
use tokio::sync::Notify;

use crate::clock::BootClock;
use crate::outgoing::OutgoingBody;

/// Size of a page. Pages of one size leave no gaps in the allocator's memory.
const PAGE_BYTES: usize = 16 << 10;
/// Size of the first page of a body without a length.
const MIN_PAGE_BYTES: usize = 512;

/// The bodies of all requests of this VM, within its share of the memory.
pub struct BodyBudget {
    clock: BootClock,
    /// Bytes that all bodies together may hold.
    share: AtomicUsize,
    /// Counts bodies that were given up, by reason.
    given_up: IntCounterVec,
    bodies: Mutex<BudgetState>,
}

#[derive(Default)]
struct BudgetState {
    ledger: BodyLedger,
    arriving: IndexMap<BodyId, Arc<ArrivingPages>>,
}

impl BodyBudget {
    /// Creates a budget of `share` bytes. `given_up` counts bodies that were given up, by reason.
    pub fn new(clock: BootClock, share: usize, given_up: IntCounterVec) -> Self {
        Self {
            clock,
            share: AtomicUsize::new(share),
            given_up,
            bodies: Mutex::default(),
        }
    }

    /// Changes the bytes that all bodies together may hold. Those that are held stay.
    pub fn set_share(&self, share: usize) {
        self.share.store(share, Ordering::Relaxed);
    }

    /// Returns how many bytes are held.
    pub fn held_bytes(&self) -> usize {
        self.bodies.lock().ledger.held_bytes()
    }

    /// Begins a body of this size, if it is announced.
    ///
    /// # Errors
    /// [`ErrorKind::MemoryFull`] if the budget is used up.
    fn begin(self: &Arc<Self>, announced: Option<usize>) -> Result<BodyHold<Arriving>, ErrorKind> {
        let now = self.clock.now();
        let mut bodies = self.bodies.lock();
        let share = self.share.load(Ordering::Relaxed);
        if !bodies
            .ledger
            .fits(now, announced.unwrap_or_default(), share)
        {
            self.count("refused");
            return Err(ErrorKind::MemoryFull);
        }
        let id = bodies.ledger.begin(now);
        let pages = Arc::new(ArrivingPages {
            announced,
            filled: Mutex::default(),
            evicted: Notify::new(),
        });
        bodies.arriving.insert(id, Arc::clone(&pages));
        Ok(BodyHold {
            budget: Arc::clone(self),
            state: Arriving { id, pages },
        })
    }

    /// Takes `bytes` more for a body out of the budget.
    ///
    /// # Errors
    /// [`ErrorKind::MemoryFull`] if there is none.
    fn grow(&self, id: BodyId, bytes: usize) -> Result<(), ErrorKind> {
        let now = self.clock.now();
        let mut bodies = self.bodies.lock();
        let share = self.share.load(Ordering::Relaxed);
        let GrowOutcome::Granted(victims) = bodies.ledger.grow(now, id, bytes, share) else {
            self.count("refused");
            return Err(ErrorKind::MemoryFull);
        };
        for victim in victims {
            self.count("stalled");
            if let Some(pages) = bodies.arriving.swap_remove(&victim) {
                pages.evict();
            }
        }
        Ok(())
    }

    fn count(&self, reason: &str) {
        self.given_up.with_label_values(&[reason]).inc();
    }
}

/// The pages of a body that is arriving. They are freed when the body is evicted.
struct ArrivingPages {
    announced: Option<usize>,
    filled: Mutex<FilledPages>,
    evicted: Notify,
}

#[derive(Default)]
struct FilledPages {
    pages: Vec<BytesMut>,
    bytes: usize,
    is_evicted: bool,
}

impl ArrivingPages {
    fn evict(&self) {
        let mut filled = self.filled.lock();
        filled.pages = Vec::new();
        filled.is_evicted = true;
        self.evicted.notify_one();
    }

    /// Returns the size of the page that has to be added for so many bytes; 0 if they fit into the last one.
    fn new_page_bytes(&self, bytes: usize) -> usize {
        let filled = self.filled.lock();
        let spare = filled.spare();
        if bytes <= spare {
            return 0;
        }
        let missing = match self.announced {
            Some(announced) => announced.saturating_sub(filled.bytes),
            None => filled.bytes.max(MIN_PAGE_BYTES),
        };
        missing.min(PAGE_BYTES).max(bytes - spare)
    }

    /// Fills the last page, and a new one of `page_bytes` bytes with what does not fit.
    ///
    /// # Errors
    /// [`ErrorKind::MemoryFull`] if the body has given way.
    fn append(&self, data: &[u8], page_bytes: usize) -> Result<(), ErrorKind> {
        let mut filled = self.filled.lock();
        if filled.is_evicted {
            return Err(ErrorKind::MemoryFull);
        }
        let (fitting, rest) = data.split_at(filled.spare().min(data.len()));
        if let Some(page) = filled.pages.last_mut() {
            page.extend_from_slice(fitting);
        }
        if !rest.is_empty() {
            let mut page = BytesMut::with_capacity(page_bytes);
            page.extend_from_slice(rest);
            filled.pages.push(page);
        }
        filled.bytes += data.len();
        Ok(())
    }
}

impl FilledPages {
    /// Returns the free bytes of the last page.
    fn spare(&self) -> usize {
        let last = self.pages.last();
        last.map_or(0, |page| page.capacity() - page.len())
    }
}

/// A body that is arriving. It may be evicted to make room for others.
struct Arriving {
    id: BodyId,
    pages: Arc<ArrivingPages>,
}

/// A body that has arrived, and is kept until its request has ended.
struct Arrived {
    bytes: usize,
}

/// A step in the life of a body.
trait HoldState {
    fn release(&self, budget: &BodyBudget);
}

impl HoldState for Arriving {
    fn release(&self, budget: &BodyBudget) {
        let mut bodies = budget.bodies.lock();
        bodies.arriving.swap_remove(&self.id);
        bodies.ledger.abandon(self.id);
    }
}

impl HoldState for Arrived {
    fn release(&self, budget: &BodyBudget) {
        budget.bodies.lock().ledger.release(self.bytes);
    }
}

/// The memory of a body, released when dropped.
struct BodyHold<State>
where
    State: HoldState,
{
    budget: Arc<BodyBudget>,
    state: State,
}

impl<State> Drop for BodyHold<State>
where
    State: HoldState,
{
    fn drop(&mut self) {
        self.state.release(&self.budget);
    }
}

impl BodyHold<Arriving> {
    /// Appends bytes that have arrived.
    ///
    /// # Errors
    /// [`ErrorKind::MemoryFull`] if the budget is used up.
    fn append(&self, data: &[u8]) -> Result<(), ErrorKind> {
        let Arriving { id, pages } = &self.state;
        let page_bytes = pages.new_page_bytes(data.len());
        if page_bytes > 0 {
            self.budget.grow(*id, page_bytes)?;
        }
        pages.append(data, page_bytes)
    }

    /// Ends the arrival. The body cannot be evicted any more.
    ///
    /// # Errors
    /// [`ErrorKind::MemoryFull`] if it has given way.
    fn complete(self) -> Result<RequestBody, ErrorKind> {
        let mut bodies = self.budget.bodies.lock();
        let mut filled = self.state.pages.filled.lock();
        if filled.is_evicted {
            return Err(ErrorKind::MemoryFull);
        }
        let pages = std::mem::take(&mut filled.pages);
        let hold = BodyHold {
            budget: Arc::clone(&self.budget),
            state: Arrived {
                bytes: bodies.ledger.complete(self.state.id),
            },
        };
        drop((bodies, filled));
        Ok(RequestBody {
            pages: pages.into_iter().map(BytesMut::freeze).collect(),
            hold: Some(hold),
        })
    }
}

/// The whole body of a request. Its memory is accounted for until it is dropped.
pub struct RequestBody {
    pages: Arc<[Bytes]>,
    hold: Option<BodyHold<Arrived>>,
}

impl From<Bytes> for RequestBody {
    /// Makes a body of bytes that are not accounted for.
    fn from(bytes: Bytes) -> Self {
        Self {
            pages: Arc::new([bytes]),
            hold: None,
        }
    }
}

impl RequestBody {
    /// Returns the bytes in pieces.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.pages.iter().map(Bytes::as_ref)
    }

    /// Returns the bytes in one piece, whose memory is accounted for until it is dropped.
    pub fn into_contiguous(self) -> Bytes {
        let bytes = match &*self.pages {
            [page] => page.clone(),
            pages => Bytes::from(pages.concat()),
        };
        Bytes::from_owner(ContiguousBody {
            bytes,
            _hold: self.hold,
        })
    }

    /// Returns a body that sends the bytes.
    pub fn to_outgoing(&self) -> OutgoingBody {
        OutgoingBody::new(Arc::clone(&self.pages))
    }
}

/// The bytes of a body in one piece.
struct ContiguousBody {
    bytes: Bytes,
    _hold: Option<BodyHold<Arrived>>,
}

impl AsRef<[u8]> for ContiguousBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body of at most `limit` bytes that counts towards the budget.
///
/// # Errors
/// [`ErrorKind::TooLarge`], at once if the length is announced; [`ErrorKind::MemoryFull`] if the budget is
/// used up, or the body stalled and was evicted; [`ErrorKind::BadRequest`] if it breaks off.
pub async fn read_body(
    budget: &Arc<BodyBudget>,
    body: &mut Incoming,
    limit: usize,
) -> Result<RequestBody, ErrorKind> {
    if body.is_end_stream() {
        return Ok(RequestBody::from(Bytes::new()));
    }
    let size = body.size_hint();
    if size.lower() > limit as u64 {
        return Err(ErrorKind::TooLarge);
    }
    let announced = size.exact().and_then(|bytes| usize::try_from(bytes).ok());
    let hold = budget.begin(announced)?;
    let pages = Arc::clone(&hold.state.pages);
    let mut bytes = 0;
    loop {
        let frame = tokio::select! {
            biased;
            () = pages.evicted.notified() => return Err(ErrorKind::MemoryFull),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            return hold.complete();
        };
        let frame = frame.map_err(|_| ErrorKind::BadRequest)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        bytes += data.len();
        if bytes > limit {
            return Err(ErrorKind::TooLarge);
        }
        hold.append(&data)?;
    }
}
