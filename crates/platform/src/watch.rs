//! A waiting watch, read one batch of changes at a time.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::http::{Error, MAX_ANSWER_BYTES};
use crate::kv::{KvEntry, entry};
use crate::wire::WatchMessage;

/// The changes of the watched keys, as the service streams them.
pub struct WatchStream {
    url: String,
    body: Incoming,
    pending: BytesMut,
}

impl WatchStream {
    pub(crate) fn new(url: String, body: Incoming) -> Self {
        Self {
            url,
            body,
            pending: BytesMut::new(),
        }
    }

    /// Waits for the next batch of written keys; deletions are left out.
    ///
    /// # Errors
    /// When the stream ends, breaks off or was cancelled: open a new watch after reading anew.
    pub async fn next(&mut self) -> Result<Vec<KvEntry>, Error> {
        loop {
            let Some(line) = self.take_line() else {
                self.fill().await?;
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
            return Ok(written.map(|event| entry(event.kv)).collect());
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let end = self.pending.iter().position(|byte| *byte == b'\n')?;
        Some(self.pending.split_to(end + 1).freeze())
    }

    async fn fill(&mut self) -> Result<(), Error> {
        let Some(frame) = self.body.frame().await else {
            return Err(self.broken("the watch ended"));
        };
        let frame = frame.map_err(|error| self.broken(&error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            self.pending.extend_from_slice(&data);
        }
        if self.pending.len() > MAX_ANSWER_BYTES {
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
