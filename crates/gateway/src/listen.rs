//! Accepts connections, and closes listeners.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept: descriptors may have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The next connection. Failures to accept one are logged and tried again.
pub(crate) async fn next_connection(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!("event=accept_failed reason={error:?}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Connections that are taken from the kernel's queue at the end of listening at most: more than it holds.
const MAX_WAITING: usize = 8_192;

/// Closes a listener, and gives the connections that waited to be accepted: closed with it, their callers would see a reset
/// where they can be served.
pub fn close(listener: TcpListener) -> Vec<TcpStream> {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("event=accept_failed reason={error:?}");
            return Vec::new();
        }
    };
    // The kernel is asked until its queue is empty: readiness as the runtime knows it may lag behind.
    let waiting = std::iter::from_fn(|| listener.accept().ok()).take(MAX_WAITING);
    let streams = waiting.filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    streams.collect()
}
