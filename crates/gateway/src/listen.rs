//! Accepts connections.

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
