//! What upstreams answer to orders and questions, and which run of theirs it is of.

use bergamot_ports::{GroupOrder, OrderOutcome, OrderRequest, UpstreamReport};
use bergamot_types::prelude::*;

use crate::planner::{GroupPlanner, QueryOutcome};

/// Answers of others, between two questions to an upstream that both ran out of time late, from which on
/// the second counts as unanswered: then this process did hear answers meanwhile. Half a large group;
/// without it a member that died was not suspected for 3.4 s by a coordinator short of processor.
const ANSWERS_BETWEEN: u64 = 8;

impl GroupPlanner {
    /// Hears what became of an order.
    pub fn record_order_outcome(&mut self, request: &OrderRequest, outcome: &OrderOutcome) {
        let target = &request.target.incarnation;
        let track = self.tracks.get_mut(&target.id);
        // What was meant for an earlier run says nothing of this one.
        let Some(track) = track.filter(|track| track.entry.incarnation == *target) else {
            return;
        };
        if let Some(given) = &mut track.given {
            given.is_answered = true;
        }
        match outcome {
            OrderOutcome::Begun => {
                track.silent = 0;
                track.orders_begun = request.expected.map(|expected| expected + 1);
            }
            OrderOutcome::Holds => {
                track.silent = 0;
                // Leaving is done at once, and counts as begun.
                let is_leave = matches!(request.order, GroupOrder::Leave { .. });
                track.orders_begun = request.expected.map(|it| it + u64::from(is_leave));
            }
            OrderOutcome::Unfit | OrderOutcome::Refused(_) => {
                track.silent = 0;
                track.orders_begun = None;
                track.staging = None;
            }
            OrderOutcome::Fenced => {
                // A join is refused the same way for its epoch; a new one gets a higher one.
                track.orders_begun = None;
                match request.order {
                    GroupOrder::Join { .. } => self.drop_forming(request.order.group()),
                    _ => self.is_fenced = true,
                }
            }
            OrderOutcome::Gone => track.is_gone = true,
            OrderOutcome::Unknown(_) | OrderOutcome::Unheard => {
                track.silent += u32::from(*outcome != OrderOutcome::Unheard);
                track.orders_begun = None;
                track.staging = None;
            }
        }
    }

    fn drop_forming(&mut self, group: Option<&GroupId>) {
        if let Some(group) = group {
            self.forming.shift_remove(group);
        }
    }

    /// Hears what became of a question.
    pub fn record_query_outcome(
        &mut self,
        asked: &UpstreamIncarnation,
        outcome: &QueryOutcome,
        now: Millis,
    ) {
        let Some(track) = self.tracks.get_mut(&asked.id) else {
            return;
        };
        let known = track.entry.incarnation.started_at;
        if asked.started_at == known {
            track.is_asked = false;
        }
        match outcome {
            QueryOutcome::Answered(report) => match report.born {
                Some(_) if report.born > known => {
                    return self.note_restart(&asked.id, report, now);
                }
                // An answer of an earlier run that was on its way.
                Some(_) if report.born < known => return,
                _ => {}
            },
            // That an earlier run did not answer says nothing of this one.
            _ if asked.started_at != known => return,
            _ => {}
        }
        match outcome {
            QueryOutcome::Answered(report) => {
                self.answers_heard += 1;
                track.silent = 0;
                track.unheard_at = None;
                track.silent_since = None;
                track.heard_at = now;
                track.orders_begun = Some(report.orders_begun);
                let is_loading = report.is_busy && report.membership.is_none();
                if is_loading && track.staging.is_none() {
                    // An order of an earlier coordinator; the entry will tell the model.
                    track.staging = Some((ModelName::default(), now));
                }
                if !track.is_listed {
                    track.entry.membership = report.membership.clone();
                }
            }
            QueryOutcome::Gone => track.is_gone = true,
            QueryOutcome::Silent => {
                track.silent += 1;
                track.silent_at = now;
                track.silent_since.get_or_insert(now);
            }
            QueryOutcome::Unheard => {
                let heard = self.answers_heard;
                let before = track.unheard_at.replace(heard);
                if before.is_some_and(|before| heard - before >= ANSWERS_BETWEEN) {
                    track.silent += 1;
                    track.silent_at = now;
                    track.silent_since.get_or_insert(now);
                }
            }
        }
    }

    /// Hears from a later run of an upstream than the directory has.
    fn note_restart(&mut self, id: &UpstreamId, report: &UpstreamReport, now: Millis) {
        let Some(track) = self.tracks.get_mut(id) else {
            return;
        };
        let before = track.entry.membership.clone();
        track.restart_by_report(report);
        let incarnation = track.entry.incarnation.clone();
        log::info!("event=upstream_restarted upstream={incarnation:?}");
        if let Some(before) = before {
            self.hold_if_standing(id, &(before.group, before.epoch), now);
        }
        self.record_query_outcome(&incarnation, &QueryOutcome::Answered(report.clone()), now);
    }
}
