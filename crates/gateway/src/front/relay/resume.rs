//! Streams that go on at another upstream, because theirs broke off or is silent.

use std::rc::Rc;

use bergamot_ports::CallerDialect;
use bergamot_quarantine::BreakCause;

use super::super::forward::send::ForwardOutcome;
use super::super::hedge::{HedgeEnd, HedgedRequest, log_failed_attempt};
use super::super::open::{RunningAttempt, record_opened};
use super::super::plan::{UpstreamScope, plan};
use super::peer::PeerResume;
use super::source::{SourceProgress, UpstreamSource, resumed_progress};
use super::{EventRelay, EventSource};

/// How the wait for a silent upstream ended.
pub(super) enum SilenceEnd {
    /// This upstream's stream goes on, the silent one's or another one's.
    Progress(Box<SourceProgress>),
    /// Another entry VM receives the events.
    Peer(EventSource),
    /// The upstream broke off, and so did those that the stream was to resume at.
    Broken,
    /// The caller disconnected.
    CallerLeft,
    /// The deadline passed.
    DeadlinePassed,
}

impl<Dialect> EventRelay<Dialect>
where
    Dialect: CallerDialect + 'static,
{
    /// Awaits the next event of a silent upstream, and of others that take the stream meanwhile.
    pub(super) async fn outwait_silence(&mut self, source: UpstreamSource) -> SilenceEnd {
        let (upstream, run) = (source.reply.upstream.clone(), source.reply.run);
        let last_event_id = self.last_event_id;
        let progress = Box::pin(source.progress(Rc::clone(&self.front), last_event_id));
        let events = self.upstream_events;
        let silent = RunningAttempt::streaming(
            &self.front,
            &self.request,
            (upstream.clone(), run),
            events,
            progress,
        );
        let hedged = HedgedRequest {
            front: &self.front,
            request: &self.request,
            state: &mut self.state,
            resume_after: last_event_id,
        };
        let follow_front = Rc::clone(&self.front);
        let follow = move |reply| -> futures::future::LocalBoxFuture<'static, _> {
            let front = Rc::clone(&follow_front);
            Box::pin(resumed_progress(front, reply, last_event_id))
        };
        let end = tokio::select! {
            // Checked first, so that nothing is sent for a caller that has disconnected.
            biased;
            () = self.queue.sender.closed() => return SilenceEnd::CallerLeft,
            end = hedged.first_output(silent, follow) => end,
        };
        match end {
            HedgeEnd::Won { output, events, .. } => {
                self.upstream_events = events;
                // The silence is no sample of the upstream's latency.
                self.upstream_last_at = None;
                let winner = &output.source.reply.upstream.incarnation;
                if *winner != upstream.incarnation {
                    self.log_resumed(winner.as_str());
                }
                SilenceEnd::Progress(Box::new(output))
            }
            HedgeEnd::Forwarded(ForwardOutcome::Opened(reply)) => {
                self.log_resumed(&format!("by-{}", reply.vm));
                SilenceEnd::Peer(EventSource::Peer(reply))
            }
            HedgeEnd::Forwarded(_) => SilenceEnd::Broken,
            HedgeEnd::Failed(error) => {
                self.log_broken(&upstream, &error.to_string());
                SilenceEnd::Broken
            }
            HedgeEnd::DeadlinePassed => SilenceEnd::DeadlinePassed,
        }
    }

    /// Resumes the stream at another upstream, unless the caller disconnects first. The error is
    /// the outcome of the stream.
    pub(super) async fn resume_for_caller(&mut self) -> Result<EventSource, &'static str> {
        let caller = self.queue.sender.clone();
        tokio::select! {
            // Checked first, so that nothing is sent for a caller that has disconnected.
            biased;
            () = caller.closed() => Err("caller_left"),
            resumed = self.resume() => resumed.ok_or("upstream_lost"),
        }
    }

    /// Resumes the stream at another upstream, whether or not the caller is connected.
    async fn resume(&mut self) -> Option<EventSource> {
        if !self.state.route.is_resumable {
            self.log_not_resumed("not_resumable");
            return None;
        }
        loop {
            match self.resume_at_peer().await {
                PeerResume::Opened(reply) => return Some(EventSource::Peer(reply)),
                PeerResume::Failed => return None,
                PeerResume::TryAgain => continue,
                PeerResume::NotForwarded => {}
            }
            let planned = plan(
                &self.front,
                &self.request,
                &mut self.state,
                UpstreamScope::All,
            );
            let planned = match planned.await {
                Ok(planned) => planned,
                Err(refusal) => {
                    self.log_not_resumed(&refusal.kind.to_string());
                    return None;
                }
            };
            let upstream = planned.upstream.clone();
            let mut hedged = HedgedRequest {
                front: &self.front,
                request: &self.request,
                state: &mut self.state,
                resume_after: self.last_event_id,
            };
            let attempt = hedged.send(planned, |reply| reply);
            match hedged.first_output(attempt, |reply| reply).await {
                HedgeEnd::Won { output: reply, .. } => {
                    record_opened(&self.front, &reply);
                    if reply.head.status.is_success() {
                        self.log_resumed(reply.upstream.incarnation.as_str());
                        return Some(EventSource::Upstream(Box::new(reply)));
                    }
                    self.upstream_events = 0;
                    let reason = reply.head.status.as_str();
                    self.record_broken(&reply, BreakCause::Closed, reason).await;
                }
                HedgeEnd::Forwarded(ForwardOutcome::Opened(reply)) => {
                    self.log_resumed(&format!("by-{}", reply.vm));
                    return Some(EventSource::Peer(reply));
                }
                HedgeEnd::Forwarded(_) | HedgeEnd::DeadlinePassed => return None,
                HedgeEnd::Failed(error) => {
                    let (front, request) = (&self.front, &self.request);
                    log_failed_attempt(front, request, &self.state, &upstream, &error);
                }
            }
        }
    }

    fn log_resumed(&self, upstream: &str) {
        log::info!(
            "event=stream_resumed request={} upstream={upstream} after={}",
            self.request.call.id,
            self.last_event_id.unwrap_or_default()
        );
    }

    fn log_not_resumed(&self, kind: &str) {
        log::info!(
            "event=stream_not_resumed request={} kind={kind}",
            self.request.call.id
        );
    }
}
