//! The events of one upstream's stream.

use std::rc::Rc;

use bergamot_ports::CallerDialect;
use bergamot_routing::PartitionEvent;
use http_body_util::BodyExt;

use super::super::FrontContext;
use super::super::attempt::{AttemptError, OpenReply};
use super::super::events::{EventSplitter, StreamEvent};
use super::super::open::{PendingReply, record_opened};
use super::super::partition::observe;
use super::super::quiet::record_received;

/// A stream whose head has arrived.
pub(super) struct UpstreamSource {
    /// The reply. Its body is read through this source.
    pub(super) reply: OpenReply,
    splitter: EventSplitter,
}

/// What a stream continues with.
pub(super) enum SourceEvent {
    Event(StreamEvent),
    End,
}

/// A source and what it continues with.
pub(super) struct SourceProgress {
    pub(super) source: UpstreamSource,
    pub(super) event: SourceEvent,
}

impl UpstreamSource {
    pub(super) fn new(reply: OpenReply) -> Self {
        Self {
            reply,
            splitter: EventSplitter::default(),
        }
    }

    /// Returns the next event after `last_event_id`. Nothing is lost if the future is dropped.
    pub(super) async fn next_event<Dialect>(
        &mut self,
        front: &FrontContext<Dialect>,
        last_event_id: Option<u64>,
    ) -> Result<SourceEvent, AttemptError> {
        let broken = |reason: &str| Err(AttemptError::Broken(reason.to_owned()));
        loop {
            while let Some(event) = self.splitter.next_event() {
                // After a resumption the upstream may begin with events that the caller already has.
                if event.id.is_none() || event.id > last_event_id {
                    return Ok(SourceEvent::Event(event));
                }
            }
            if self.splitter.is_endless() {
                return broken("an event does not end");
            }
            match self.reply.body.frame().await {
                None if self.splitter.has_partial() => {
                    return broken("the stream ended within an event");
                }
                None => return Ok(SourceEvent::End),
                Some(Err(error)) => return broken(&error.to_string()),
                Some(Ok(frame)) => {
                    record_received(front, &self.reply.upstream.incarnation);
                    let opened_at = self.reply.connection.opened_at;
                    observe(front, PartitionEvent::Received { opened_at });
                    if let Some(data) = frame.data_ref() {
                        self.reply.flight.mark_begun();
                        self.splitter.push(data);
                    }
                }
            }
        }
    }

    /// Like [`Self::next_event`], and returns the source too.
    pub(super) async fn progress<Dialect>(
        mut self,
        front: Rc<FrontContext<Dialect>>,
        last_event_id: Option<u64>,
    ) -> Result<SourceProgress, AttemptError> {
        let event = self.next_event(&front, last_event_id).await?;
        Ok(SourceProgress {
            source: self,
            event,
        })
    }
}

/// Returns what a resumed stream continues with after `last_event_id`, once its head has arrived.
pub(super) async fn resumed_progress<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    reply: PendingReply,
    last_event_id: Option<u64>,
) -> Result<SourceProgress, AttemptError>
where
    Dialect: CallerDialect,
{
    let reply = reply.await?;
    record_opened(&front, &reply);
    if !reply.head.status.is_success() {
        return Err(AttemptError::Broken(reply.head.status.to_string()));
    }
    let source = UpstreamSource::new(reply);
    source.progress(front, last_event_id).await
}
