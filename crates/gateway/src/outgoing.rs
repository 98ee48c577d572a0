//! Bodies of requests that this VM sends.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// The body of a request to an upstream or another entry VM.
#[derive(Clone, Debug)]
pub struct OutgoingBody {
    pages: Arc<[Bytes]>,
    next_page: usize,
    bytes_left: u64,
}

impl OutgoingBody {
    /// Creates a body that sends these pages, none of which is empty unless it is the only one.
    pub(crate) fn new(pages: Arc<[Bytes]>) -> Self {
        Self {
            bytes_left: pages.iter().map(|page| page.len() as u64).sum(),
            next_page: 0,
            pages,
        }
    }
}

impl Default for OutgoingBody {
    /// An empty body.
    fn default() -> Self {
        Self::new(Arc::new([]))
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let page = self.pages.get(self.next_page).cloned();
        let Some(page) = page.filter(|page| !page.is_empty()) else {
            return Poll::Ready(None);
        };
        self.next_page += 1;
        self.bytes_left -= page.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(page))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes_left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes_left)
    }
}
