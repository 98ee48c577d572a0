//! The stream of changes that a watch receives.

use bergamot_bounded::BoundedBody;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::http::{Error, MAX_ANSWER_BYTES};
use crate::kv::{KvEntry, to_entry};
use crate::wire::WatchMessage;

/// The changes of the watched keys, in batches as the service sends them.
pub struct WatchStream {
    url: String,
    body: BoundedBody<Incoming>,
    unparsed: BytesMut,
}

impl WatchStream {
    pub(crate) fn new(url: String, body: BoundedBody<Incoming>) -> Self {
        Self {
            url,
            body,
            unparsed: BytesMut::new(),
        }
    }

    /// Waits for the next batch of changes and returns the written keys. Deletions are omitted.
    ///
    /// # Errors
    /// Fails if the stream ended, broke off or was cancelled. The caller has to read the range
    /// again and open a new watch.
    pub async fn next(&mut self) -> Result<Vec<KvEntry>, Error> {
        loop {
            let Some(line) = self.pop_line() else {
                self.read_frame().await?;
                continue;
            };
            let message: WatchMessage =
                serde_json::from_slice(&line).map_err(|error| Error::Malformed {
                    url: self.url.clone(),
                    reason: error.to_string(),
                })?;
            if message.result.canceled {
                return Err(self.broken("the watch was cancelled"));
            }
            log::trace!(
                "event=watch_batch revision={}",
                message.result.header.revision
            );
            let written = message.result.events.into_iter();
            let written = written.filter(|event| event.kind.as_deref() != Some("DELETE"));
            return Ok(written.map(|event| to_entry(event.kv)).collect());
        }
    }

    fn pop_line(&mut self) -> Option<Bytes> {
        let newline = self.unparsed.iter().position(|byte| *byte == b'\n')?;
        Some(self.unparsed.split_to(newline + 1).freeze())
    }

    async fn read_frame(&mut self) -> Result<(), Error> {
        let Some(frame) = self.body.frame().await else {
            return Err(self.broken("the watch ended"));
        };
        let frame = frame.map_err(|error| self.broken(&error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            self.unparsed.extend_from_slice(&data);
        }
        if self.unparsed.len() > MAX_ANSWER_BYTES {
            return Err(self.broken("a watch message is too large"));
        }
        Ok(())
    }

    fn broken(&self, reason: &str) -> Error {
        Error::Broken {
            url: self.url.clone(),
            reason: reason.to_owned(),
        }
    }
}
