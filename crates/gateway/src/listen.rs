//! Accepts connections and closes listeners.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, as file descriptors may have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Most attempts to accept a connection when a listener closes. Exceeds the kernel's accept queue.
const MAX_FINAL_ACCEPTS: usize = 8_192;

/// Returns the next connection. Logs a failed accept and tries again.
pub async fn next_connection(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!("event=accept_failed reason={error:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Closes a listener and returns the connections of its accept queue. Without this, closing would
/// reset them, although their callers can still be served.
pub fn close_listener(listener: TcpListener) -> Vec<TcpStream> {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("event=accept_failed reason={error:?}");
            return Vec::new();
        }
    };
    let mut pending_streams = Vec::new();
    // Accepts until the kernel's queue is empty, as the runtime's readiness may lag behind.
    for _ in 0..MAX_FINAL_ACCEPTS {
        match accept_pending(&listener) {
            Ok(stream) => pending_streams.push(stream),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            // The caller has left or descriptors have run out; the next accept may succeed.
            Err(error) => log::warn!("event=accept_failed reason={error:?}"),
        }
    }
    pending_streams
}

fn accept_pending(listener: &std::net::TcpListener) -> std::io::Result<TcpStream> {
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
