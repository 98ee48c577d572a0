//! A stream that fails once a bound is exceeded, and gives the thread back.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::meter::ByteMeter;

/// Bytes after which other tasks of the thread get their turn. Some 0.1 ms of parsing.
const TURN_BYTES: u64 = 64 << 10;

/// A connection with bounds on what arrives without progress. Bytes that are written begin a new
/// request, which counts as progress.
#[derive(Debug)]
pub struct BoundedStream<Inner> {
    inner: Inner,
    meter: ByteMeter,
    /// Bytes that were read without waiting for any.
    turn_bytes: u64,
}

impl<Inner> BoundedStream<Inner> {
    /// Wraps a connection.
    pub const fn new(inner: Inner, meter: ByteMeter) -> Self {
        Self {
            inner,
            meter,
            turn_bytes: 0,
        }
    }
}

impl<Inner> AsyncRead for BoundedStream<Inner>
where
    Inner: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let bytes = (buffer.filled().len() - filled_before) as u64;
        match polled {
            Poll::Pending => self.turn_bytes = 0,
            Poll::Ready(Ok(())) if bytes > 0 => {
                self.turn_bytes += bytes;
                if let Err(error) = self.meter.record_piece(bytes) {
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
                }
            }
            Poll::Ready(_) => {}
        }
        polled
    }
}

impl<Inner> AsyncWrite for BoundedStream<Inner>
where
    Inner: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.meter.record_progress();
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.meter.record_progress();
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

impl<Inner> Connection for BoundedStream<Inner>
where
    Inner: Connection,
{
    fn connected(&self) -> Connected {
        self.inner.connected().extra(self.meter.clone())
    }
}
