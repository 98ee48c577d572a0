//! When an upstream counts as standing still.

use bergamot_peer::{LeaderStall, SuspicionNotice};
use bergamot_routing::{DispatchedRequest, RouteUpstream, StallNotice, StallVerdict};
use bergamot_types::prelude::*;

use super::FrontContext;

/// Time between two looks while a request waits at an engine: short against the time in which a leader that stands still is
/// to be noticed, a few passes of a fast engine.
pub const LOOK_PERIOD: Millis = Millis(40);

/// Whether a request for this model goes on elsewhere, as nothing comes from its upstream.
/// Tells the coordinator when that is in doubt, and the other VMs when streams there stand still.
pub fn look_quiet<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
    model: Option<&ModelName>,
    run: DispatchedRequest,
) -> bool {
    let now = front.now();
    let mut book = front.book.borrow_mut();
    let verdict = book.judge_stall(upstream, model, run, now);
    if verdict == StallVerdict::Sound {
        return false;
    }
    let witness = hash_bytes(front.shared.site.vm.as_str().as_bytes()) as u32;
    let news = book.record_stall_verdict(&upstream.incarnation, verdict, witness, now);
    let load = book.load(&upstream.incarnation);
    drop(book);
    if news.is_for_coordinator {
        log::info!(
            "event=leader_silent upstream={} verdict={verdict:?} silence={} in_flight={} waited={} expected={}",
            upstream.incarnation,
            load.inactivity(now),
            load.in_flight,
            now.since(run.sent_at),
            run.expected_first_event,
        );
    }
    if let Some(told) = news.for_vms {
        tell_still(front, upstream, told);
    }
    let is_still = verdict == StallVerdict::Still;
    if news.is_for_coordinator || is_still {
        report_quiet(front, upstream, is_still);
    }
    is_still
}

/// Tells the other entry VMs that streams of a leader stand still.
fn tell_still<Dialect>(front: &FrontContext<Dialect>, upstream: &RouteUpstream, told: StallNotice) {
    let silence = LeaderStall {
        leader: told.leader,
        witness: told.witness,
        is_stalled: true,
    };
    if let Err(error) = front.still_news.try_send(silence) {
        log::debug!(
            "event=silence_not_told upstream={} reason={error}",
            upstream.incarnation
        );
    }
}

/// Tells the coordinator that nothing comes from an upstream, and whether its requests stand still for
/// `is_certain`.
pub fn report_quiet<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
    is_certain: bool,
) {
    if upstream.group.is_none() {
        return;
    }
    let notice = SuspicionNotice {
        leader: upstream.incarnation.clone(),
        is_certain,
    };
    if let Err(error) = front.shared.quiet.try_send(notice) {
        log::debug!(
            "event=quiet_not_passed_on upstream={} reason={error}",
            upstream.incarnation
        );
    }
}
