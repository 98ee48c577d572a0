//! Limits how long the head of a request may take to arrive.
//!
//! The HTTP library measures its own timeout from the end of the last answer, so that timeout
//! applies to idle connections, which may last much longer than the arrival of a head.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bergamot_resources::prelude::*;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::connection_set::ConnectionUse;

/// Time between two checks of a connection on which no head has begun to arrive.
const IDLE_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// How long a new connection may stay open without sending a byte while the VM stops. Callers send
/// their request right after connecting, and disconnect on their own if they are not served within
/// a second.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What a connection is doing.
#[derive(Clone, Copy, Debug)]
enum HeadState {
    /// No byte has arrived.
    Fresh,
    /// Between two requests since this time.
    Idle(Instant),
    /// A head has been arriving since this time.
    Arriving(Instant),
    /// The body of a request has been arriving since this time.
    Receiving(Instant),
    /// A request is being answered.
    Answering,
}

/// State that a connection shares with its service.
#[derive(Clone, Debug)]
pub struct HeadTimer {
    state: Rc<Cell<HeadState>>,
    /// Since when the socket takes no more bytes of an answer.
    write_blocked_since: Rc<Cell<Option<Instant>>>,
    opened: Instant,
    limit: Duration,
}

impl HeadTimer {
    /// Creates the timer of a new connection.
    pub fn new(limit: Duration) -> Self {
        Self {
            state: Rc::new(Cell::new(HeadState::Fresh)),
            write_blocked_since: Rc::default(),
            opened: Instant::now(),
            limit,
        }
    }

    /// Resolves once the connection has been open for a second without receiving a byte. Never
    /// resolves if a byte arrived by then.
    pub async fn first_byte_overdue(&self) {
        tokio::time::sleep_until(self.opened + FIRST_BYTE_TIMEOUT).await;
        if !matches!(self.state.get(), HeadState::Fresh) {
            std::future::pending::<()>().await;
        }
    }

    /// Whether a request was read on this connection. If so, the library closes the connection
    /// only after the answer.
    pub fn has_been_used(&self) -> bool {
        matches!(
            self.state.get(),
            HeadState::Idle(_) | HeadState::Receiving(_) | HeadState::Answering
        )
    }

    /// Records that a head has arrived. Until the end of the answer, further bytes do not start the
    /// timer of the next head.
    pub fn record_head(&self) -> HeadGuard {
        self.state.set(HeadState::Receiving(Instant::now()));
        HeadGuard {
            state: Rc::clone(&self.state),
        }
    }

    /// Records that the body of a request has arrived.
    pub fn record_received(&self) {
        self.state.set(HeadState::Answering);
    }

    /// Resolves when a head has taken too long to arrive.
    pub async fn head_overdue(&self) {
        loop {
            match self.state.get() {
                HeadState::Arriving(since) if since.elapsed() >= self.limit => return,
                HeadState::Arriving(since) => {
                    tokio::time::sleep_until(since + self.limit).await;
                }
                _ => {
                    tokio::time::sleep(self.limit.min(IDLE_CHECK_PERIOD)).await;
                }
            }
        }
    }

    fn record_write(&self, is_blocked: bool) {
        let since = self.write_blocked_since.get();
        let since = is_blocked.then(|| since.unwrap_or_else(Instant::now));
        self.write_blocked_since.set(since);
    }

    fn record_bytes(&self) {
        if matches!(self.state.get(), HeadState::Fresh | HeadState::Idle(_)) {
            self.state.set(HeadState::Arriving(Instant::now()));
        }
    }
}

impl ConnectionUse for HeadTimer {
    fn standing(&self) -> ConnectionStanding {
        let (phase, since) = match self.state.get() {
            HeadState::Fresh => (ConnectionPhase::Unused, self.opened),
            HeadState::Arriving(since) => (ConnectionPhase::Unused, since),
            HeadState::Idle(since) => (ConnectionPhase::Idle, since),
            HeadState::Receiving(since) => (ConnectionPhase::Receiving, since),
            HeadState::Answering => match self.write_blocked_since.get() {
                Some(since) => (ConnectionPhase::Unread, since),
                None => (ConnectionPhase::Answering, Instant::now()),
            },
        };
        ConnectionStanding {
            phase,
            age: since.elapsed(),
        }
    }
}

/// Marks the connection as busy from the arrival of a head to the end of its answer.
pub struct HeadGuard {
    state: Rc<Cell<HeadState>>,
}

impl Drop for HeadGuard {
    fn drop(&mut self) {
        self.state.set(HeadState::Idle(Instant::now()));
    }
}

/// A caller's connection that reports arriving bytes to its timer.
pub struct TimedStream {
    stream: TcpStream,
    timer: HeadTimer,
}

impl TimedStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, timer: HeadTimer) -> Self {
        Self { stream, timer }
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_ready() && buffer.filled().len() > filled_before {
            self.timer.record_bytes();
        }
        polled
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.timer.record_write(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.timer.record_write(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
