//! Assigns free upstreams to groups, warm-ups and loads.

use bergamot_ports::{GroupOrder, UpstreamState};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::allocate::{AllocationContext, FreePool, allocate};
use crate::forming::{FormingGroup, FormingStep};
use crate::planner::{GroupAction, GroupPlanner};
use crate::upstream::UpstreamRecord;
use crate::view::group_name;

/// The window over which the rate of loads is limited. The platform measures the rate over the same
/// time.
const LOAD_RATE_WINDOW: Millis = Millis(5_000);

impl GroupPlanner {
    /// Forms groups from free upstreams, warms spares and starts loads.
    pub(crate) fn assign_free(
        &mut self,
        now: Millis,
        group_counts: IndexMap<ModelName, usize>,
        free: &[UpstreamId],
        actions: &mut Vec<GroupAction>,
    ) {
        if !self.is_directory_settled(now) {
            return;
        }
        let mut pools: IndexMap<FabricDomain, FreePool<'_>> = IndexMap::new();
        for record in self.records.values().filter(|record| record.is_listed) {
            let Some(fabric) = &record.entry.fabric else {
                continue;
            };
            let pool = pools.entry(fabric.clone()).or_default();
            pool.total += 1;
            pool.failure_domain = record.entry.failure_domain.clone();
            if let Some(model) = record.model() {
                *pool.models.entry(model.clone()).or_default() += 1;
            }
            if free.contains(&record.entry.incarnation.id) && self.is_usable(record, now) {
                pool.free.push(record);
            }
        }
        let records = self.records.values();
        let mut loading = records.filter(|record| record.staging.is_some()).count();
        let spec = self.spec_with_demand();
        let context = AllocationContext {
            spec: &spec,
            spare_divisor: self.options.spare_divisor,
            groups: group_counts,
            evacuated: &self.evacuated,
            regional_needs: self.regional_needs(),
        };
        let allocation = allocate(&context, pools);
        for (model, members) in allocation.form {
            self.start_forming(now, model, members, actions);
        }
        for (id, model) in allocation.warm {
            if self.was_recently_ordered(&id, now) {
                continue;
            }
            self.epoch += 1;
            let order = GroupOrder::Join {
                group: group_name(&model, self.epoch),
                epoch: self.epoch,
                model,
                members: vec![id.clone()],
            };
            self.send_order(now, &id, order, actions);
        }
        for (id, model) in allocation.stage {
            // Before the first request the weight store is fast for every load that has begun by
            // then. The duration of a load is fixed when it begins, so all loads begin at once, the
            // most useful first.
            let is_limited = self.has_traffic && loading >= self.spec.parallel_loads;
            if is_limited || !self.may_start_load(now) {
                break;
            }
            loading += 1;
            let order = GroupOrder::Stage {
                model: model.clone(),
            };
            if self.send_order(now, &id, order, actions)
                && let Some(record) = self.records.get_mut(&id)
            {
                record.staging = Some((model, now));
                self.load_starts.push_back(now);
            }
        }
    }

    /// Whether enough of the directory is known to assign upstreams. Only the first coordinator
    /// waits for this, and only until requests arrive.
    fn is_directory_settled(&self, now: Millis) -> bool {
        let has_settled = now.since(self.last_discovery_at) >= self.options.settle_time;
        let has_timed_out = now.since(self.started_at) >= self.options.max_settle_time;
        !self.is_first_term || self.has_traffic || has_settled || has_timed_out
    }

    /// Whether the rate limit of the weight store permits one more load.
    pub(crate) fn may_start_load(&mut self, now: Millis) -> bool {
        while self
            .load_starts
            .front()
            .is_some_and(|started_at| now.since(*started_at) > LOAD_RATE_WINDOW)
        {
            self.load_starts.pop_front();
        }
        let rate = self.spec.loads_per_second;
        let max_loads = rate * LOAD_RATE_WINDOW.as_secs_f64();
        // Loads before the first request do not count, and a rate of 0 means no limit.
        !self.has_traffic || rate <= 0.0 || ((self.load_starts.len() + 1) as f64) <= max_loads
    }

    /// Whether an order was sent recently whose effect may not be visible yet.
    pub(crate) fn was_recently_ordered(&self, id: &UpstreamId, now: Millis) -> bool {
        let last_order = self
            .records
            .get(id)
            .and_then(|record| record.last_order.as_ref());
        last_order.is_some_and(|sent| now.since(sent.sent_at) < self.options.order_retry_delay)
    }

    /// Whether a free upstream may join a group now.
    pub(crate) fn is_usable(&self, record: &UpstreamRecord, now: Millis) -> bool {
        let id = &record.entry.incarnation.id;
        let is_forming = self
            .forming
            .values()
            .any(|group| group.members.contains(id));
        let is_held_by_predecessor =
            now < self.inherited_holds_until && self.is_held_by_predecessor(id);
        record.entry.state == UpstreamState::Ready
            && !self.is_presumed_crashed(id)
            && !record.has_pending_order()
            && !is_forming
            && !is_held_by_predecessor
            && !self.may_have_restarted(record, now)
            && !self.may_be_held_unrecorded(record, now)
            && record.held_until <= now
    }

    /// Whether an earlier incarnation of an upstream may have been a member of a group that is now
    /// stalled, as far as this coordinator can tell: the upstream had no group when first seen and
    /// has begun no order. All other upstreams are used immediately. Waiting for them too lowered
    /// the mean score on days with faults from between 0.620 and 0.647 to between 0.585 and 0.606
    /// (8 VMs, 57 upstreams; five days, six runs with the wait and three without). A group may be
    /// stalled without a listed member if this VM has not seen its members for long.
    pub(crate) fn may_have_restarted(&self, record: &UpstreamRecord, now: Millis) -> bool {
        let has_start_time = record.entry.incarnation.started_at.is_some();
        let is_fresh = record.was_free_at_discovery && record.orders_begun == Some(0);
        let fabric = record.entry.fabric.as_ref();
        has_start_time
            && is_fresh
            && (now < self.unseen_departures_until
                || fabric.is_some_and(|fabric| self.stalled_fabrics.contains(fabric)))
    }

    /// Whether an earlier coordinator may have held an upstream and the record of it is lost.
    fn may_be_held_unrecorded(&self, record: &UpstreamRecord, now: Millis) -> bool {
        self.may_lack_holds && now < self.inherited_holds_until && record.was_free_at_discovery
    }

    /// Whether an earlier coordinator held an upstream.
    fn is_held_by_predecessor(&self, id: &UpstreamId) -> bool {
        self.inherited_holds
            .values()
            .any(|members| members.contains(id))
    }

    /// Starts to form a group. The first member is the leader.
    pub(crate) fn start_forming(
        &mut self,
        now: Millis,
        model: ModelName,
        members: Vec<UpstreamId>,
        actions: &mut Vec<GroupAction>,
    ) {
        self.epoch += 1;
        let id = group_name(&model, self.epoch);
        log::info!("event=group_forms group={id} members={members:?}");
        let earlier_groups = members.iter().filter_map(|member| {
            let membership = self.records.get(member)?.entry.membership.as_ref()?;
            let key = (membership.group.clone(), membership.epoch);
            Some((member.clone(), key))
        });
        let group = FormingGroup {
            epoch: self.epoch,
            model,
            earlier_groups: earlier_groups.collect(),
            members,
            started_at: now,
        };
        let key = (id.clone(), group.epoch);
        self.leaders.insert(key, group.members[0].clone());
        self.forming.insert(id.clone(), group.clone());
        if let FormingStep::Orders(orders) =
            group.step(&id, &self.records, self.options.max_unanswered)
        {
            for (upstream, order) in orders {
                self.send_order(now, &upstream, order, actions);
            }
        }
    }
}
