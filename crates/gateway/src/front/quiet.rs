//! When an upstream counts as standing still.

use bergamot_peer::QuietNotice;
use bergamot_routing::RouteUpstream;
use bergamot_types::prelude::*;

use super::FrontContext;

/// Time without anything from an upstream after which requests there count as standing still.
/// Engines answer in passes of some 50 ms; the longest prompt holds a pass for 120 ms.
pub const QUIET_TIME: Millis = Millis(600);

/// Time between two looks while a request waits at an engine.
pub const LOOK_PERIOD: Millis = Millis(120);

/// The least time that a request waits for anything from its upstream.
pub const MIN_WAIT: Millis = Millis(250);

/// The same where nothing came from it yet: requests may wait there behind those of other VMs.
/// Callers leave after two seconds.
pub const QUEUE_TIME: Millis = Millis(1_300);

/// The same for asking the coordinator to look at the group, which costs a few questions.
pub const DOUBT_TIME: Millis = Millis(350);

/// Whether nothing has come from the upstream since `since`, nor for the quiet time. Tells the
/// coordinator when it is in doubt.
pub fn look_quiet<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
    since: Millis,
) -> bool {
    let now = front.now();
    let load = front.book.borrow().load(&upstream.life);
    let silence = load.silence(now);
    let (doubt_time, quiet_time) = match load.has_begun() {
        true => (DOUBT_TIME, QUIET_TIME),
        false => (QUIET_TIME, QUEUE_TIME),
    };
    if silence >= doubt_time {
        report_quiet(front, upstream, silence >= quiet_time);
    }
    // A request that came when the upstream had long been silent needs not wait all that time.
    let is_quiet = silence >= quiet_time && now.since(since) >= MIN_WAIT;
    if is_quiet {
        front.book.borrow_mut().note_quiet(&upstream.life, now);
    }
    is_quiet
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
    let notice = QuietNotice {
        leader: upstream.life.clone(),
        is_certain,
    };
    if let Err(error) = front.shared.quiet.try_send(notice) {
        log::debug!(
            "event=quiet_not_passed_on upstream={} reason={error}",
            upstream.life
        );
    }
}
