//! Execution of a planner's actions: orders and queries on their way to the upstreams.

use super::*;

impl World {
    pub(super) fn execute_action(&mut self, index: usize, action: GroupAction) {
        match action {
            GroupAction::Hold { group, members } => {
                let planner = &mut self.planners[index].0;
                planner.record_hold(&group, &members, true);
                self.holds.insert(group, (members, self.now + 12_000));
            }
            GroupAction::Query(target) => {
                let outcome = self.query(&target.incarnation.id, target.addr);
                self.trace(|| format!("{index} queries {:?}: {outcome:?}", target.incarnation));
                let now = Millis(self.now);
                self.planners[index]
                    .0
                    .record_query_outcome(&target.incarnation, &outcome, now);
            }
            GroupAction::Order(request) => {
                let is_late = self.random.random_bool(self.options.late_chance);
                let is_lost = is_late || self.random.random_bool(self.options.lost_chance);
                let delay = match is_late {
                    true => self.random.random_range(2_000..12_000),
                    false => STEP_MS,
                };
                if is_lost {
                    let outcome = OrderOutcome::Unknown("lost".to_owned());
                    self.planners[index]
                        .0
                        .record_order_outcome(&request, &outcome);
                }
                self.pending_orders.push(PendingOrder {
                    deliver_at: self.now + delay,
                    planner: index,
                    request,
                    is_answered: !is_lost,
                });
            }
        }
    }

    /// Returns the answer of the upstream at `addr` to a query for `id`.
    fn query(&self, id: &UpstreamId, addr: SocketAddr) -> QueryOutcome {
        let upstream_at_addr = self.upstreams.iter().find(|upstream| upstream.addr == addr);
        let Some(upstream) = upstream_at_addr.filter(|upstream| !upstream.cut_from_coordinator)
        else {
            return match self.options.trust_refusals {
                true => QueryOutcome::Gone,
                false => QueryOutcome::Unreachable,
            };
        };
        if upstream.down_until > self.now {
            return QueryOutcome::Unreachable;
        }
        if upstream.id != *id {
            return QueryOutcome::Gone;
        }
        QueryOutcome::Answered(UpstreamReport {
            born: upstream.started_at,
            orders_begun: upstream.orders_begun,
            is_busy: upstream.loading.is_some(),
            waiting: 0,
            running: 0,
            membership: upstream
                .joined
                .as_ref()
                .map(|joined| joined.membership.clone()),
        })
    }

    pub(super) fn deliver_orders(&mut self) {
        let now = self.now;
        let (due, later): (Vec<PendingOrder>, Vec<PendingOrder>) =
            std::mem::take(&mut self.pending_orders)
                .into_iter()
                .partition(|order| order.deliver_at <= now);
        self.pending_orders = later;
        for order in due {
            let outcome = self.receive_order(&order.request);
            self.trace(|| {
                let request = &order.request;
                let id = &request.target.incarnation;
                format!(
                    "planner {} to {id}: {:?} {outcome:?}",
                    order.planner, request.order
                )
            });
            if order.is_answered {
                self.planners[order.planner]
                    .0
                    .record_order_outcome(&order.request, &outcome);
            }
        }
    }
}
