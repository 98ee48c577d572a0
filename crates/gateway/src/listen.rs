//! Accepts connections, and closes listeners.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept: descriptors may have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Tries to take a connection from the kernel's queue at the end of listening, at most: more than it holds.
const MAX_WAITING: usize = 8_192;

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

/// Closes a listener, and gives the connections that waited to be accepted: closed with it, their callers would see a reset
/// where they can be served.
pub fn close_listener(listener: TcpListener) -> Vec<TcpStream> {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("event=accept_failed reason={error:?}");
            return Vec::new();
        }
    };
    let mut waiting = Vec::new();
    // The kernel is asked until its queue is empty: readiness as the runtime knows it may lag behind.
    for _ in 0..MAX_WAITING {
        match accept_waiting(&listener) {
            Ok(stream) => waiting.push(stream),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            // One caller has left, or descriptors have run out; the next may be luckier.
            Err(error) => log::warn!("event=accept_failed reason={error:?}"),
        }
    }
    waiting
}

fn accept_waiting(listener: &std::net::TcpListener) -> std::io::Result<TcpStream> {
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
