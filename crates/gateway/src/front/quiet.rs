//! Detection of stalled upstreams.

use bergamot_peer::{LeaderStall, SuspicionNotice};
use bergamot_routing::{
    DispatchedRequest, PartitionEvent, RouteUpstream, StallNotice, StallVerdict,
};
use bergamot_types::prelude::*;

use super::FrontContext;
use super::partition::observe;

/// Time between two stall checks while a request waits at an engine. Short compared with the time
/// within which a stalled leader is to be detected, which is a few passes of a fast engine.
pub const STALL_CHECK_PERIOD: Millis = Millis(40);

/// Whether a request for this model must continue at another upstream because its own is stalled.
/// Informs the coordinator of a suspected stall, and the other VMs of stalled streams.
pub fn check_stall<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
    model: Option<&ModelName>,
    dispatched: DispatchedRequest,
) -> bool {
    let now = front.now();
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
