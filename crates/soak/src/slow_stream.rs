//! A connection that holds back the rest of the first write for a time.

use std::io::Result;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Which part of its first request a connection holds back.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum HeldPart {
    /// Everything from the middle of the head on.
    HalfHead,
    /// The last byte of the body.
    BodyEnd,
}

impl HeldPart {
    /// Bytes that pass at once. The library writes a short request as a whole.
    const fn passed(self, whole: usize) -> usize {
        match self {
            Self::HalfHead => whole / 2,
            Self::BodyEnd => whole.saturating_sub(1),
        }
    }
}

enum WriteState {
    /// Nothing was written yet.
    Fresh(HeldPart, Duration),
    /// The rest waits.
    Holding(Pin<Box<Sleep>>),
    Free,
}

/// The connection.
pub(crate) struct SlowStream {
    stream: TcpStream,
    state: WriteState,
}

impl SlowStream {
    /// Holds a part of the first write back for this long.
    pub(crate) const fn new(stream: TcpStream, part: HeldPart, pause: Duration) -> Self {
        let state = WriteState::Fresh(part, pause);
        Self { stream, state }
    }
}

impl AsyncRead for SlowStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buf)
    }
}

impl AsyncWrite for SlowStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let mut passed = buf.len();
        match &mut self.state {
            WriteState::Fresh(part, pause) => {
                passed = part.passed(buf.len());
                self.state = WriteState::Holding(Box::pin(sleep(*pause)));
            }
            WriteState::Holding(pause) => {
                ready!(pause.as_mut().poll(context));
                self.state = WriteState::Free;
            }
            WriteState::Free => {}
        }
        Pin::new(&mut self.stream).poll_write(context, &buf[..passed])
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
