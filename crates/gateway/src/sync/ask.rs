//! Client of the update feed: requests store updates from peers.

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_peer::{UpdateRequest, UpdateResponse, frame};
use indexmap::IndexMap;
use tokio::net::TcpStream;

/// Timeout of a request, including the connection. Peers of the same failure domain respond within
/// one or two milliseconds, or within a tenth of a second if their CPU quota is used up.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a request whose response contains a configuration. Half a megabyte takes 200 ms at
/// 20 Mbit/s, on either VM's link.
const CONFIG_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Client of peers' update feeds that reuses one connection to each peer.
#[derive(Debug, Default)]
pub(crate) struct FeedClient {
    idle_connections: IndexMap<SocketAddr, TcpStream>,
}

impl FeedClient {
    /// Requests updates from a peer. A connection that failed is not used again.
    ///
    /// # Errors
    /// If no complete response arrives in time.
    pub(crate) async fn request_updates(
        &mut self,
        addr: SocketAddr,
        request: UpdateRequest,
    ) -> Result<UpdateResponse, frame::Error> {
        let timeout = match request.lacks_config_after {
            Some(_) => CONFIG_REQUEST_TIMEOUT,
            None => REQUEST_TIMEOUT,
        };
        let idle_connection = self.idle_connections.swap_remove(&addr);
        let result = exchange(addr, idle_connection, request);
        let Ok(result) = tokio::time::timeout(timeout, result).await else {
            return Err(frame::Error::Io(std::io::ErrorKind::TimedOut.into()));
        };
        let (stream, response) = result?;
        self.idle_connections.insert(addr, stream);
        Ok(response)
    }
}

async fn exchange(
    addr: SocketAddr,
    idle_connection: Option<TcpStream>,
    request: UpdateRequest,
) -> Result<(TcpStream, UpdateResponse), frame::Error> {
    let mut stream = match idle_connection {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect(addr).await?;
            stream.set_nodelay(true)?;
            stream
        }
    };
    frame::write_frame(&mut stream, &request).await?;
    let response = frame::read_frame(&mut stream).await?;
    Ok((stream, response))
}
