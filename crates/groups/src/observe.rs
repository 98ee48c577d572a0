//! Outcomes of orders and queries, matched to the upstream's incarnation.

use bergamot_ports::{GroupOrder, OrderOutcome, OrderRequest, UpstreamReport};
use bergamot_types::prelude::*;

use crate::planner::{GroupPlanner, QueryOutcome};

/// Number of answers from other upstreams between two late timeouts of one upstream at which the
/// second timeout counts as unanswered: this process did receive answers in the meantime. Half of a
/// large group. Without this rule a coordinator short of CPU took 3.4 s to suspect a crashed
/// member.
const MIN_OTHER_ANSWERS: u64 = 8;

impl GroupPlanner {
    /// Records the outcome of an order.
    pub fn record_order_outcome(&mut self, request: &OrderRequest, outcome: &OrderOutcome) {
        let incarnation = &request.target.incarnation;
        let record = self.records.get_mut(&incarnation.id);
        // The outcome of an order to an earlier incarnation says nothing about this one.
        let Some(record) = record.filter(|record| record.entry.incarnation == *incarnation) else {
            return;
        };
        if let Some(last_order) = &mut record.last_order {
            last_order.is_answered = true;
        }
        match outcome {
            OrderOutcome::Begun => {
                record.unanswered = 0;
                record.orders_begun = request.expected.map(|expected| expected + 1);
            }
            OrderOutcome::Holds => {
                record.unanswered = 0;
                // A leave order completes immediately and counts as begun.
                let is_leave = matches!(request.order, GroupOrder::Leave { .. });
                record.orders_begun = request
                    .expected
                    .map(|expected| expected + u64::from(is_leave));
            }
            OrderOutcome::Unfit | OrderOutcome::Refused(_) => {
                record.unanswered = 0;
                record.orders_begun = None;
                record.staging = None;
            }
            OrderOutcome::Fenced => {
                // A join order is also rejected if its epoch is too low; the next group gets a
                // higher epoch.
                record.orders_begun = None;
                match request.order {
                    GroupOrder::Join { .. } => self.drop_forming(request.order.group()),
                    _ => self.is_fenced = true,
                }
            }
            OrderOutcome::Gone => record.has_exited = true,
            OrderOutcome::Unknown(_) | OrderOutcome::Unheard => {
                record.unanswered += u32::from(*outcome != OrderOutcome::Unheard);
                record.orders_begun = None;
                record.staging = None;
            }
        }
    }

    fn drop_forming(&mut self, group: Option<&GroupId>) {
        if let Some(group) = group {
            self.forming.shift_remove(group);
        }
    }

    /// Records the outcome of a query.
    pub fn record_query_outcome(
        &mut self,
        incarnation: &UpstreamIncarnation,
        outcome: &QueryOutcome,
        now: Millis,
    ) {
        let Some(record) = self.records.get_mut(&incarnation.id) else {
            return;
        };
        let known_start = record.entry.incarnation.started_at;
        if incarnation.started_at == known_start {
            record.is_query_pending = false;
        }
        match outcome {
            QueryOutcome::Answered(report) => match report.born {
                Some(_) if report.born > known_start => {
                    return self.record_restart(&incarnation.id, report, now);
                }
                // A delayed answer of an earlier incarnation.
                Some(_) if report.born < known_start => return,
                _ => {}
            },
            // A missing answer of an earlier incarnation says nothing about this one.
            _ if incarnation.started_at != known_start => return,
            _ => {}
        }
        match outcome {
            QueryOutcome::Answered(report) => {
                self.answer_count += 1;
                record.unanswered = 0;
                record.is_unreachable = false;
                record.answers_at_late_timeout = None;
                record.unanswered_since = None;
                record.answered_at = now;
                record.orders_begun = Some(report.orders_begun);
                let is_loading = report.is_busy && report.membership.is_none();
                if is_loading && record.staging.is_none() {
                    // An earlier coordinator ordered the load; the directory entry will show the
                    // model.
                    record.staging = Some((ModelName::default(), now));
                }
                if !record.is_listed {
                    record.entry.membership = report.membership.clone();
                }
            }
            QueryOutcome::Gone => record.has_exited = true,
            QueryOutcome::Unreachable => record.record_unanswered(true, now),
            QueryOutcome::Silent => record.record_unanswered(false, now),
            QueryOutcome::Unheard { is_reachable } => {
                let answer_count = self.answer_count;
                let previous = record.answers_at_late_timeout.replace(answer_count);
                if previous.is_some_and(|previous| answer_count - previous >= MIN_OTHER_ANSWERS) {
                    record.record_unanswered(!is_reachable, now);
                }
            }
        }
    }

    /// Records a report from a later incarnation than the directory shows.
    fn record_restart(&mut self, id: &UpstreamId, report: &UpstreamReport, now: Millis) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        let previous = record.entry.membership.clone();
        record.restart_from_report(report);
        let incarnation = record.entry.incarnation.clone();
        log::info!("event=upstream_restarted upstream={incarnation:?}");
        if let Some(previous) = previous {
            self.hold_if_leader_open(id, &(previous.group, previous.epoch), now);
        }
        self.record_query_outcome(&incarnation, &QueryOutcome::Answered(report.clone()), now);
    }
}
