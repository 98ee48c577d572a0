//! Looks in the directory whether upstreams have ended.

use std::rc::Rc;
use std::time::Duration;

use bergamot_ports::UpstreamState;
use bergamot_quarantine::{CrashEvidence, QuarantineEvent};
use bergamot_types::prelude::*;

use super::FrontContext;
use super::breaks::{handle, is_staying};

/// Time between two looks at ends that are to be reviewed; not tuned.
const REVIEW_PERIOD: Duration = Duration::from_secs(1);
/// The oldest view of the directory that counts as up to date: the time between two confirmations, and what a peer
/// adds to it.
const MAX_VIEW_AGE: Millis = Millis(2_500);

/// Looks in the directory whether upstreams ended at which requests were broken off.
pub async fn follow_ends<Dialect>(front: Rc<FrontContext<Dialect>>) {
    let mut changes = front.shared.view_changed.subscribe();
    while changes.changed().await.is_ok() {
        let view = front.shared.view.load_full();
        let awaited = front.shared.quarantine.lock().pending_upstreams();
        for incarnation in &awaited {
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

/// Looks once more at ends, some time after them. A partition may refuse connections as if nothing listened; the requests
/// under which an upstream seemed to end are cleared of it then, as it has done nothing wrong but to be out of reach.
pub async fn review_ends<Dialect>(front: Rc<FrontContext<Dialect>>) {
    let mut fresh_since = front.now();
    loop {
        tokio::time::sleep(REVIEW_PERIOD).await;
        let now = front.now();
        if front.shared.is_store_unreachable() || front.shared.config_age(now) > MAX_VIEW_AGE {
            fresh_since = now;
        }
        let due = front
            .shared
            .quarantine
            .lock()
            .due_for_review(now, fresh_since);
        for incarnation in &due {
            let is_listed = is_staying(&front, incarnation);
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
