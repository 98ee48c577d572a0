//! Sending of orders and queries, without duplicates.

use bergamot_ports::{GroupOrder, OrderRequest};
use bergamot_types::prelude::*;

use crate::planner::{GroupAction, GroupPlanner};
use crate::upstream::SentOrder;

/// Delay between a query that timed out and the next one, while a group may be stalled.
pub(crate) const SECOND_QUERY_DELAY: Millis = Millis(50);

impl GroupPlanner {
    /// Sends an order unless another one is pending or the same order was sent recently. Returns
    /// whether it was sent.
    pub(crate) fn send_order(
        &mut self,
        now: Millis,
        id: &UpstreamId,
        order: GroupOrder,
        actions: &mut Vec<GroupAction>,
    ) -> bool {
        let retry_delay = self.options.order_retry_delay;
        let is_join = matches!(order, GroupOrder::Join { .. });
        let record = self.records.get(id);
        if is_join && record.is_some_and(|record| self.may_have_restarted(record, now)) {
            return false;
        }
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let must_wait = record.last_order.as_ref().is_some_and(|sent| {
            let is_recent = now.since(sent.sent_at) < retry_delay;
            !sent.is_answered || (is_recent && sent.order == order)
        });
        if must_wait || record.is_query_pending {
            return false;
        }
        // An upstream that was never ordered has begun no orders; otherwise the number must be
        // known.
        let was_never_ordered = self.is_first_term && record.last_order.is_none();
        let expected = record.orders_begun.or(was_never_ordered.then_some(0));
        if expected.is_none() {
            actions.extend(self.query(id, now, Millis(retry_delay.0 / 2)));
            return false;
        }
        record.last_order = Some(SentOrder {
            order: order.clone(),
            sent_at: now,
            is_answered: false,
        });
        let request = OrderRequest {
            target: record.target(),
            order,
            fence: self.fence,
            expected,
        };
        actions.push(GroupAction::Order(request));
        true
    }

    pub(crate) fn query(
        &mut self,
        id: &UpstreamId,
        now: Millis,
        min_interval: Millis,
    ) -> Option<GroupAction> {
        let record = self.records.get_mut(id)?;
        let is_recent = record
            .queried_at
            .is_some_and(|queried_at| now.since(queried_at) < min_interval);
        if record.is_query_pending || is_recent || record.has_exited {
            return None;
        }
        record.is_query_pending = true;
        record.queried_at = Some(now);
        Some(GroupAction::Query(record.target()))
    }

    /// Queries upstreams that did not answer, or that are no longer listed, to find out whether
    /// they are back.
    pub(crate) fn query_unresponsive(&mut self, now: Millis, actions: &mut Vec<GroupAction>) {
        let max_unanswered = self.options.max_unanswered;
        let due: Vec<(UpstreamId, Millis)> = self
            .records
            .iter()
            .filter(|(_, record)| !record.has_exited)
            .filter(|(_, record)| record.unanswered > 0 || !record.is_listed)
            .map(|(id, record)| {
                // The second query follows quickly, as a group may be stalled.
                let is_suspected = (1..max_unanswered).contains(&record.unanswered);
                let min_interval = match is_suspected {
                    true => SECOND_QUERY_DELAY,
                    false => self.options.query_interval,
                };
                (id.clone(), min_interval)
            })
            .collect();
        for (id, min_interval) in due {
            actions.extend(self.query(&id, now, min_interval));
        }
        // Drops upstreams that are neither listed nor responsive. An upstream that returns writes a
        // new entry.
        self.records
            .retain(|_, record| record.is_listed || record.unanswered < max_unanswered * 4);
    }
}
