//! Bounds the time that a request's head may take to arrive.
//!
//! The HTTP library counts its own time from the end of the last answer, so that it bounds idle
//! connections, which may rest for much longer than a head may take.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time between two looks at a connection whose head has not begun.
const IDLE_LOOK: Duration = Duration::from_secs(1);

/// How long a connection may stay silent after it was opened, where that matters. Callers send their request with the
/// connection, and one that has got no attention for a second leaves by itself.
const SILENT_TIME: Duration = Duration::from_millis(1_000);

/// Where a connection stands.
#[derive(Clone, Copy, Debug)]
enum HeadState {
    /// Nothing has come yet.
    Fresh,
    /// Between two requests.
    Idle,
    /// A head began to arrive.
    Arriving(Instant),
    /// A request is being answered.
    Answering,
}

/// What the connection and its service tell each other.
#[derive(Clone, Debug)]
pub struct HeadTimer {
    state: Rc<Cell<HeadState>>,
    opened: Instant,
    limit: Duration,
}

impl HeadTimer {
    /// A timer for a new connection.
    pub fn new(limit: Duration) -> Self {
        Self {
            state: Rc::new(Cell::new(HeadState::Fresh)),
            opened: Instant::now(),
            limit,
        }
    }

    /// Returns when no byte has come for a second since the connection was opened; never where one has.
    pub async fn silent(&self) {
        tokio::time::sleep_until(self.opened + SILENT_TIME).await;
        if !matches!(self.state.get(), HeadState::Fresh) {
            std::future::pending::<()>().await;
        }
    }

    /// Whether a request has been read on this connection, so that the library closes it no sooner than after the answer.
    pub fn has_been_used(&self) -> bool {
        matches!(self.state.get(), HeadState::Idle | HeadState::Answering)
    }

    /// Notes that a head has arrived. Bytes that come before the end of the answer belong to no
    /// head yet.
    pub fn arrived(&self) -> HeadGuard {
        self.state.set(HeadState::Answering);
        HeadGuard {
            state: Rc::clone(&self.state),
        }
    }

    /// Returns when a head has taken too long.
    pub async fn overdue(&self) {
        loop {
            match self.state.get() {
                HeadState::Arriving(since) if since.elapsed() >= self.limit => return,
                HeadState::Arriving(since) => {
                    tokio::time::sleep_until(since + self.limit).await;
                }
                HeadState::Fresh | HeadState::Idle | HeadState::Answering => {
                    tokio::time::sleep(self.limit.min(IDLE_LOOK)).await;
                }
            }
        }
    }

    fn note_bytes(&self) {
        if matches!(self.state.get(), HeadState::Fresh | HeadState::Idle) {
            self.state.set(HeadState::Arriving(Instant::now()));
        }
    }
}

/// Lasts from the arrival of a head to the end of its answer.
pub struct HeadGuard {
    state: Rc<Cell<HeadState>>,
}

impl Drop for HeadGuard {
    fn drop(&mut self) {
        self.state.set(HeadState::Idle);
    }
}

/// A caller's connection that tells its timer of arriving bytes.
pub struct TimedStream {
    stream: TcpStream,
    timer: HeadTimer,
}

impl TimedStream {
    /// Watches a connection.
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
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_ready() && buffer.filled().len() > before {
            self.timer.note_bytes();
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
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
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
