//! Detection of stalled upstreams.

use bergamot_peer::{LeaderStall, SuspicionNotice};
use bergamot_routing::{
    DispatchedRequest, PartitionEvent, RouteUpstream, StallNotice, StallVerdict,
};
use bergamot_types::prelude::*;

use super::FrontContext;
use super::attempt::SentRequest;
use super::partition::observe;

/// Time between two stall checks while a request waits at an engine. Short compared with the time
/// within which a stalled leader is to be detected, which is a few passes of a fast engine.
pub const STALL_CHECK_PERIOD: Millis = Millis(40);

/// How far an answer had come when its upstream stalled.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AnswerStage {
    /// Its head is due.
    Head,
    /// Its first event is due.
    FirstEvent,
    /// Its next event is due.
    NextEvent,
}

impl AnswerStage {
    /// Returns the stage's name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::FirstEvent => "first_event",
            Self::NextEvent => "next_event",
        }
    }
}

/// Records data from an upstream. Counts it if answers there were given up while it was silent.
pub fn record_received<Dialect>(front: &FrontContext<Dialect>, incarnation: &UpstreamIncarnation) {
    let mut monitor = front.monitor.borrow_mut();
    if monitor.record_progress(incarnation, front.now()) {
        front.shared.metrics.stall_recoveries.inc();
        log::info!("event=upstream_recovered upstream={incarnation}");
    }
}

/// Records that an answer is given up because nothing is received from its upstream.
pub fn record_given_up<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    upstream: &RouteUpstream,
    dispatched: DispatchedRequest,
    stage: AnswerStage,
) {
    let now = front.now();
    let mut monitor = front.monitor.borrow_mut();
    monitor.record_given_up(&upstream.incarnation);
    let inactivity = monitor.leader_inactivity(upstream, dispatched, now);
    let model = request.call.model.as_ref();
    log::info!(
        "event=answer_given_up request={} upstream={} stage={} silence={} timeout={} waited={} in_flight={} last_attempt={}",
        request.call.id,
        upstream.incarnation,
        stage.as_str(),
        inactivity.duration,
        monitor.latencies.stall_timeout(model, inactivity),
        inactivity.waited,
        monitor.load(&upstream.incarnation).in_flight,
        dispatched.is_last,
    );
    let given_up = &front.shared.metrics.answers_given_up;
    given_up.with_label_values(&[stage.as_str()]).inc();
}

/// Whether the upstream of a request is stalled. Informs the coordinator of a suspected stall, and the
/// other VMs of stalled streams.
pub fn check_stall<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    upstream: &RouteUpstream,
    dispatched: DispatchedRequest,
) -> bool {
    let now = front.now();
    let model = request.call.model.as_ref();
    let monitor = front.monitor.borrow();
    let verdict = monitor.judge_stall(upstream, model, dispatched, now);
    if verdict == StallVerdict::Sound {
        return false;
    }
    drop(monitor);
    observe(front, PartitionEvent::Silent(upstream.into()));
    let mut monitor = front.monitor.borrow_mut();
    let witness = hash_bytes(front.shared.site.vm.as_str().as_bytes()) as u32;
    let recipients = monitor.record_stall_verdict(&upstream.incarnation, verdict, witness, now);
    let load = monitor.load(&upstream.incarnation);
    drop(monitor);
    if recipients.is_for_coordinator {
        log::info!(
            "event=leader_silent upstream={} verdict={verdict:?} silence={} in_flight={} waited={} expected={}",
            upstream.incarnation,
            load.inactivity(now),
            load.in_flight,
            now.since(dispatched.sent_at),
            dispatched.expected_first_event,
        );
    }
    if let Some(notice) = recipients.for_vms {
        send_stall_notice(front, upstream, notice);
    }
    let is_stalled = verdict == StallVerdict::Still;
    if recipients.is_for_coordinator || is_stalled {
        report_stall(front, upstream, is_stalled);
    }
    is_stalled
}

/// Whether the silence may be due to the links of this VM. The others then learn nothing of it.
fn is_in_doubt<Dialect>(front: &FrontContext<Dialect>) -> bool {
    front.monitor.borrow().partition.is_in_doubt()
}

/// Sends a notice to the other entry VMs that the streams of a leader are stalled.
fn send_stall_notice<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
    notice: StallNotice,
) {
    if is_in_doubt(front) {
        return;
    }
    let leader_stall = LeaderStall {
        leader: notice.leader,
        witness: notice.witness,
        is_stalled: true,
    };
    if let Err(error) = front.stall_notices.try_send(leader_stall) {
        log::debug!(
            "event=silence_not_told upstream={} reason={error}",
            upstream.incarnation
        );
    }
}

/// Sends a notice to the coordinator that nothing is received from an upstream. `is_certain` states
/// whether its requests are stalled; otherwise a stall is only suspected.
pub fn report_stall<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
    is_certain: bool,
) {
    if upstream.group.is_none() || is_in_doubt(front) {
        return;
    }
    let notice = SuspicionNotice {
        leader: upstream.incarnation.clone(),
        is_certain,
    };
    if let Err(error) = front.shared.stall_notices.try_send(notice) {
        log::debug!(
            "event=quiet_not_passed_on upstream={} reason={error}",
            upstream.incarnation
        );
    }
}

#[cfg(test)]
mod tests;
