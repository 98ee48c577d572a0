//! A connector of bounded streams for pooled clients.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::meter::{ByteMeter, IntakeBounds};
use crate::stream::BoundedStream;

/// Most bytes that may arrive without progress. Covers a head and the buffer of the library, which
/// reads ahead of the body.
const MAX_IDLE_BYTES: u64 = 1 << 20;

/// Establishes connections with bounds on what arrives without progress. The bodies of answers
/// record theirs if they are wrapped in [`BoundedBody`](crate::BoundedBody).
#[derive(Clone, Debug)]
pub struct BoundedConnector {
    inner: HttpConnector,
}

impl BoundedConnector {
    /// Wraps a connector.
    pub const fn new(inner: HttpConnector) -> Self {
        Self { inner }
    }
}

impl Service<Uri> for BoundedConnector {
    type Response = TokioIo<BoundedStream<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.inner.call(uri);
        let bounds = IntakeBounds {
            max_bytes: MAX_IDLE_BYTES,
            trickle: None,
        };
        let meter = ByteMeter::new(bounds, None);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(BoundedStream::new(stream, meter)))
        })
    }
}
