//! Asks peers for changes of the store.

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_peer::{UpdateRequest, UpdateResponse, frame};
use indexmap::IndexMap;
use tokio::net::TcpStream;

/// Time for an answer, connection included. Peers of one failure domain answer in a millisecond or
/// two; one whose share of the processor is used up, within a tenth of a second.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// The same where a configuration is part of the answer: half a megabyte takes 200 ms at 20 Mbit/s,
/// at either end.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A client of peers' news, with a connection kept to each.
#[derive(Debug, Default)]
pub(crate) struct NewsCaller {
    kept: IndexMap<SocketAddr, TcpStream>,
}

impl NewsCaller {
    /// Asks a peer. A connection that failed is not used again.
    ///
    /// # Errors
    /// When there is no whole answer in time.
    pub(crate) async fn ask(
        &mut self,
        addr: SocketAddr,
        question: UpdateRequest,
    ) -> Result<UpdateResponse, frame::Error> {
        let time = match question.lacks_config_after {
            Some(_) => CONFIG_TIMEOUT,
            None => ASK_TIMEOUT,
        };
        let kept = self.kept.swap_remove(&addr);
        let asked = exchange(addr, kept, question);
        let Ok(asked) = tokio::time::timeout(time, asked).await else {
            return Err(frame::Error::Io(std::io::ErrorKind::TimedOut.into()));
        };
        let (stream, answer) = asked?;
        self.kept.insert(addr, stream);
        Ok(answer)
    }
}

async fn exchange(
    addr: SocketAddr,
    kept: Option<TcpStream>,
    question: UpdateRequest,
) -> Result<(TcpStream, UpdateResponse), frame::Error> {
    let mut stream = match kept {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect(addr).await?;
            stream.set_nodelay(true)?;
            stream
        }
    };
    frame::write_frame(&mut stream, &question).await?;
    let answer = frame::read_frame(&mut stream).await?;
    Ok((stream, answer))
}
