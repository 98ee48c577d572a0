//! Reads the server-sent events of an upstream's answer.

use bergamot_engine::{Error, SseEvent, SseParser, UpstreamReply};
use bergamot_types::prelude::*;
use http_body_util::BodyExt;

use crate::front::call::CallContext;

/// Reads single events from an upstream's answer.
pub(super) struct EventReader {
    pub(super) reply: UpstreamReply,
    pub(super) parser: SseParser,
    pub(super) upstream: UpstreamId,
    pub(super) idle_timeout: Millis,
}

impl EventReader {
    pub(super) async fn next(&mut self, call: &CallContext) -> Result<SseEvent, Error> {
        loop {
            if let Some(event) = self.parser.next_event() {
                return Ok(event);
            }
            if self.parser.is_overlong() {
                return Err(Error::Malformed(
                    "event exceeds the maximum length".to_owned(),
                ));
            }
            let time_left = call.spec.deadline.since(call.now()).min(self.idle_timeout);
            let frame = tokio::select! {
                frame = tokio::time::timeout(time_left.as_duration(), self.reply.body_mut().frame()) => frame,
                () = call.wait_for_stall(&self.upstream) => return Err(Error::Timeout),
            };
            let frame = match frame {
                Err(_) => return Err(Error::Timeout),
                Ok(None) => return Err(Error::Broken("stream ended early".to_owned())),
                Ok(Some(Err(error))) => return Err(Error::Broken(error.to_string())),
                Ok(Some(Ok(frame))) => frame,
            };
            if let Some(data) = frame.data_ref() {
                self.parser.push(data);
            }
        }
    }
}
