//! Events of an upstream's answer, one by one.

use bergamot_engine::{Error, SseEvent, SseParser, UpstreamReply};
use bergamot_types::prelude::*;
use http_body_util::BodyExt;

use crate::front::call::CallContext;

/// Reads events off an upstream's answer.
pub(super) struct EventReader {
    pub(super) reply: UpstreamReply,
    pub(super) parser: SseParser,
    pub(super) upstream: UpstreamId,
    pub(super) idle: Millis,
}

impl EventReader {
    pub(super) async fn next(&mut self, call: &CallContext) -> Result<SseEvent, Error> {
        loop {
            if let Some(event) = self.parser.next_event() {
                return Ok(event);
            }
            if self.parser.is_overlong() {
                return Err(Error::Malformed("an event is too long".to_owned()));
            }
            let left = call.spec.deadline.since(call.now()).min(self.idle);
            let frame = tokio::select! {
                frame = tokio::time::timeout(left.as_duration(), self.reply.body_mut().frame()) => frame,
                () = call.upstream_lost(&self.upstream) => return Err(Error::Timeout),
            };
            let frame = match frame {
                Err(_) => return Err(Error::Timeout),
                Ok(None) => return Err(Error::Broken("the stream ended".to_owned())),
                Ok(Some(Err(error))) => return Err(Error::Broken(error.to_string())),
                Ok(Some(Ok(frame))) => frame,
            };
            if let Some(data) = frame.data_ref() {
                self.parser.push(data);
            }
        }
    }
}
