//! Evidence of upstream crashes from the directory.

use std::rc::Rc;
use std::time::Duration;

use bergamot_ports::UpstreamState;
use bergamot_quarantine::{CrashEvidence, QuarantineEvent};
use bergamot_types::prelude::*;

use super::FrontContext;
use super::breaks::{handle, is_listed_and_staying};

/// Time between two checks for crashes that are due for review.
const REVIEW_CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Maximum age of a directory view that counts as up to date: the time between two confirmations,
/// plus the delay that a peer adds.
const MAX_FRESH_VIEW_AGE: Millis = Millis(2_500);

/// Checks on every change of the directory whether upstreams at which requests were interrupted
/// have crashed.
pub async fn follow_crashes<Dialect>(front: Rc<FrontContext<Dialect>>) {
    let mut changes = front.shared.view_changed.subscribe();
    changes.mark_changed();
    while changes.changed().await.is_ok() {
        let view = front.shared.view.load_full();
        let pending = front.shared.quarantine.lock().pending_upstreams();
        for incarnation in &pending {
            let evidence = match view.upstreams.get(&incarnation.id) {
                None => CrashEvidence::Unlisted,
                Some(entry) if entry.incarnation.is_newer_than(incarnation) => {
                    CrashEvidence::Restarted
                }
                Some(entry) if entry.state == UpstreamState::Draining => {
                    handle(&front, QuarantineEvent::Leaving(incarnation));
                    continue;
                }
                Some(_) => continue,
            };
            handle(
                &front,
                QuarantineEvent::Crashed {
                    incarnation,
                    evidence,
                },
            );
        }
    }
}

/// Reviews crashes some time after they were recorded. A partition may refuse connections as if
/// nothing listened. If the directory still lists the upstream, it was only unreachable, and its
/// requests are cleared of the crash.
pub async fn review_crashes<Dialect>(front: Rc<FrontContext<Dialect>>) {
    let mut fresh_since = front.now();
    loop {
        tokio::time::sleep(REVIEW_CHECK_PERIOD).await;
        let now = front.now();
        if front.shared.is_store_unreachable() || front.shared.config_age(now) > MAX_FRESH_VIEW_AGE
        {
            fresh_since = now;
        }
        let due = front
            .shared
            .quarantine
            .lock()
            .due_for_review(now, fresh_since);
        for incarnation in &due {
            let is_listed = is_listed_and_staying(&front, incarnation);
            if is_listed {
                log::info!("event=upstream_not_ended upstream={incarnation}");
            }
            handle(
                &front,
                QuarantineEvent::Reviewed {
                    incarnation,
                    is_listed,
                },
            );
        }
    }
}
