//! A body whose data counts as progress.

use std::pin::Pin;
use std::task::{Context, Poll};

use http_body::{Body, Frame, SizeHint};
use hyper::Response;

use crate::meter::ByteMeter;

/// The body of an answer on a connection with a meter.
#[derive(Debug)]
pub struct BoundedBody<Inner> {
    inner: Inner,
    meter: Option<ByteMeter>,
}

impl<Inner> BoundedBody<Inner> {
    /// Wraps a body whose head has just arrived.
    pub fn new(inner: Inner, meter: ByteMeter) -> Self {
        meter.record_progress();
        Self {
            inner,
            meter: Some(meter),
        }
    }

    /// Wraps the body of an answer on a connection of a
    /// [`BoundedConnector`](crate::BoundedConnector).
    pub fn of_response(response: Response<Inner>) -> Response<Self> {
        let meter = response.extensions().get::<ByteMeter>().cloned();
        if let Some(meter) = &meter {
            meter.record_progress();
        }
        response.map(|inner| Self { inner, meter })
    }
}

impl<Inner> Body for BoundedBody<Inner>
where
    Inner: Body + Unpin,
{
    type Data = Inner::Data;
    type Error = Inner::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && frame.is_data()
            && let Some(meter) = &self.meter
        {
            meter.record_progress();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
