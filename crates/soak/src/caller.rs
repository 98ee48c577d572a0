//! Callers: each keeps one connection to one process for as long as it lasts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_adapter::SiteDialect;
use bergamot_ports::CallerDialect;
use bergamot_types::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::RETRY_AFTER;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::process::EntryPlace;
pub use crate::request::RequestKind;
use crate::request::{CallOrder, request, whole_answer};
use crate::site::{LASTING_KEY, SoakSite, UpstreamRole};
use crate::slow_stream::{HeldPart, SlowStream};

/// The longest deadline of a request.
pub const DEADLINE: Duration = Duration::from_millis(4_000);
/// Time past the deadline after which a caller gives up: as long again, so that a late answer shows as late.
const PATIENCE: Duration = Duration::from_millis(4_000);
/// The longest pause between two requests of a caller, in milliseconds: some 30 requests a second of each.
const LONGEST_PAUSE_MS: u64 = 60;
/// Pause of a caller that could not connect: short against the shortest restart of a process.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);
/// One request in so many goes with the key that changes, or with one that was taken away.
const PROBE_SHARE: u32 = 6;

/// A connection of a caller.
pub(crate) struct CallerConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Drives it until it ends.
    driver: JoinHandle<()>,
}

/// What a caller asks for all the time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallerHabit {
    /// Reads, bids and streams.
    Usual,
    /// Requests with a home region.
    Home,
    /// Streams that may be sent to one upstream only.
    Single,
}

/// How a request ended for its caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum CallEnd {
    /// With an answer, read to its end.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it is the whole answer to this request.
        is_whole: bool,
        /// Whether it says when to come back.
        has_retry_after: bool,
        /// Whether it says that the request did not run.
        says_not_run: bool,
        /// Whether it says that upstreams end under this request.
        is_held: bool,
    },
    /// The connection ended; after the head of the answer, or before it.
    Cut {
        /// Whether the head had come.
        had_head: bool,
    },
    /// No connection was to be had.
    NotSent,
    /// Nothing came in time.
    GivenUp,
}

/// One request.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Its id.
    pub id: String,
    /// What it was for.
    pub kind: RequestKind,
    /// The process it was sent to.
    pub entry: usize,
    /// The key it carried.
    pub key: String,
    /// When it was sent.
    pub sent_at: Instant,
    /// Time that its deadline leaves after it was sent as a whole.
    pub answer_time: Duration,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub end: CallEnd,
}

/// One caller.
pub struct CallerLoop {
    /// Its number.
    pub number: usize,
    /// What it asks for.
    pub habit: CallerHabit,
    /// The process it calls.
    pub entry: usize,
    /// Where that listens.
    pub place: EntryPlace,
    /// Where it finds keys.
    pub site: Arc<SoakSite>,
    /// Where requests are noted.
    pub records: Arc<Mutex<Vec<CallRecord>>>,
    /// What it draws from.
    pub seed: u64,
}

impl CallerLoop {
    /// Calls until the task is dropped.
    pub async fn run(self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ self.number as u64);
        let mut kept = None;
        for count in 0_u64.. {
            let pause = rng.random_range(1..LONGEST_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let id = format!("c{}-{count}", self.number);
            let kind = match (self.habit, rng.random_range(0..3)) {
                (CallerHabit::Home, _) => RequestKind::Home,
                (CallerHabit::Single, 0) => {
                    RequestKind::Single(UpstreamRole::Desk, rng.random_range(1..80))
                }
                (CallerHabit::Single, _) => {
                    RequestKind::Single(UpstreamRole::Engine, rng.random_range(1..80))
                }
                (CallerHabit::Usual, 0) => RequestKind::Read,
                (CallerHabit::Usual, 1) => RequestKind::Bid,
                (CallerHabit::Usual, _) => RequestKind::Stream(rng.random_range(1..80)),
            };
            let key = self.draw_key(&mut rng);
            let record = self.call(&mut kept, id, kind, key).await;
            let is_refused = record.end == CallEnd::NotSent;
            self.records.lock().push(record);
            if is_refused {
                tokio::time::sleep(CONNECT_PAUSE).await;
            }
        }
    }

    fn draw_key<Source>(&self, rng: &mut Source) -> String
    where
        Source: Rng,
    {
        if !rng.random_ratio(1, PROBE_SHARE) {
            return LASTING_KEY.to_owned();
        }
        let keys = self.site.keys.lock();
        let revoked = keys.revoked.last().filter(|_| rng.random_bool(0.5));
        revoked.map_or_else(|| keys.current.clone(), |revoked| revoked.key.clone())
    }

    async fn call(
        &self,
        kept: &mut Option<CallerConnection>,
        id: String,
        kind: RequestKind,
        key: String,
    ) -> CallRecord {
        let sent_at = Instant::now();
        let order = CallOrder {
            id: &id,
            kind,
            key: &key,
            deadline: DEADLINE,
        };
        let end = call_on(kept, self.place, order).await;
        if !matches!(end, CallEnd::Answered { .. }) {
            *kept = None;
        }
        CallRecord {
            id,
            kind,
            entry: self.entry,
            key,
            sent_at,
            answer_time: DEADLINE,
            ended_at: Instant::now(),
            end,
        }
    }
}

/// One call on a connection of its own.
pub async fn call_once(place: EntryPlace, id: &str, kind: RequestKind, key: &str) -> CallEnd {
    let order = CallOrder {
        id,
        kind,
        key,
        deadline: DEADLINE,
    };
    call_on(&mut None, place, order).await
}

/// One call on the connection that is kept, or on a new one where that is closed.
pub(crate) async fn call_on(
    kept: &mut Option<CallerConnection>,
    place: EntryPlace,
    order: CallOrder<'_>,
) -> CallEnd {
    let call = exchange(kept, place, order);
    let end = tokio::time::timeout(DEADLINE + PATIENCE, call).await;
    end.unwrap_or(CallEnd::GivenUp)
}

async fn exchange(
    kept: &mut Option<CallerConnection>,
    place: EntryPlace,
    order: CallOrder<'_>,
) -> CallEnd {
    let usable = kept.take().filter(|it| !it.sender.is_closed());
    let connection = match usable {
        Some(connection) => Some(connection),
        None => connect(place).await,
    };
    let Some(mut connection) = connection else {
        return CallEnd::NotSent;
    };
    let Some(request) = request(order) else {
        return CallEnd::NotSent;
    };
    if connection.sender.ready().await.is_err() {
        return CallEnd::NotSent;
    }
    let response = tokio::select! {
        biased;
        response = connection.sender.send_request(request) => response.ok(),
        // The library tells nothing of a request that it takes while the connection ends.
        _ = &mut connection.driver => None,
    };
    let Some(response) = response else {
        return CallEnd::Cut { had_head: false };
    };
    let end = read_answer(order.id, order.kind, response).await;
    *kept = Some(connection);
    end
}

/// A new connection.
pub(crate) async fn connect(place: EntryPlace) -> Option<CallerConnection> {
    let stream = TcpStream::connect(place.front()).await.ok()?;
    open(stream).await
}

/// A new connection that holds a part of its first request back for a time.
pub(crate) async fn connect_slowly(
    place: EntryPlace,
    part: HeldPart,
    pause: Duration,
) -> Option<CallerConnection> {
    let stream = TcpStream::connect(place.front()).await.ok()?;
    stream.set_nodelay(true).ok()?;
    open(SlowStream::new(stream, part, pause)).await
}

async fn open<Stream>(stream: Stream) -> Option<CallerConnection>
where
    Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(async move {
        // How the connection ended shows in the call on it.
        let _ = connection.await;
    });
    Some(CallerConnection { sender, driver })
}

async fn read_answer(
    id: &str,
    kind: RequestKind,
    response: Response<hyper::body::Incoming>,
) -> CallEnd {
    let (head, body) = response.into_parts();
    let has_retry_after = head.headers.contains_key(RETRY_AFTER);
    let facts = SiteDialect.reply_facts(&RequestId::new(id), &head);
    let Ok(body) = body.collect().await else {
        return CallEnd::Cut { had_head: true };
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    CallEnd::Answered {
        status: head.status.as_u16(),
        is_whole: text == whole_answer(id, kind),
        has_retry_after,
        says_not_run: facts.is_not_run,
        is_held: text.contains(ErrorKind::Quarantined.code()),
    }
}
