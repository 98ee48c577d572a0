//! What free upstreams are used for.

use bergamot_ports::{GroupOrder, UpstreamState};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::allocate::{AllocationContext, FreePool, allocate};
use crate::forming::{FormingGroup, FormingStep};
use crate::planner::{GroupAction, GroupPlanner};
use crate::track::UpstreamTrack;
use crate::view::group_name;

/// The window over which the weight store's rate is kept. The platform judges it over as long.
const LOAD_WINDOW: Millis = Millis(5_000);

impl GroupPlanner {
    /// Forms groups from free upstreams, warms spares up, and loads weights where they are missing.
    pub(crate) fn step_free(
        &mut self,
        now: Millis,
        counts: IndexMap<ModelName, usize>,
        free: &[UpstreamId],
        actions: &mut Vec<GroupAction>,
    ) {
        if !self.is_settled(now) {
            return;
        }
        let mut pools: IndexMap<FabricDomain, FreePool<'_>> = IndexMap::new();
        for track in self.tracks.values().filter(|track| track.is_listed) {
            let Some(fabric) = &track.entry.fabric else {
                continue;
            };
            let pool = pools.entry(fabric.clone()).or_default();
            pool.total += 1;
            pool.failure_domain = track.entry.failure_domain.clone();
            if let Some(model) = track.model() {
                *pool.models.entry(model.clone()).or_default() += 1;
            }
            if free.contains(&track.entry.incarnation.id) && self.is_usable(track, now) {
                pool.free.push(track);
            }
        }
        let staging = self.tracks.values();
        let mut loading = staging.filter(|track| track.staging.is_some()).count();
        let spec = self.needed_spec();
        let context = AllocationContext {
            spec: &spec,
            spare_divisor: self.options.spare_divisor,
            groups: counts,
        };
        let allocation = allocate(&context, pools);
        for (model, members) in allocation.form {
            self.form(now, model, members, actions);
        }
        for (id, model) in allocation.warm {
            if self.was_just_ordered(&id, now) {
                continue;
            }
            self.epoch += 1;
            let order = GroupOrder::Join {
                group: group_name(&model, self.epoch),
                epoch: self.epoch,
                model,
                members: vec![id.clone()],
            };
            self.give(now, &id, order, actions);
        }
        for (id, model) in allocation.stage {
            // Before the first request the weight store is quick, for every load begun by then. How
            // long one takes is settled when it begins, so all begin at once, the most useful first.
            let is_slow = self.has_traffic && loading >= self.spec.parallel_loads;
            if is_slow || !self.has_load_rate(now) {
                break;
            }
            loading += 1;
            let order = GroupOrder::Stage {
                model: model.clone(),
            };
            if self.give(now, &id, order, actions)
                && let Some(track) = self.tracks.get_mut(&id)
            {
                track.staging = Some((model, now));
                self.load_starts.push_back(now);
            }
        }
    }

    /// Whether enough of the directory is known to share the upstreams out. Only the first start
    /// waits for that, and not once requests come in.
    fn is_settled(&self, now: Millis) -> bool {
        let is_quiet = now.since(self.listed_at) >= self.options.settle_time;
        let is_late = now.since(self.began) >= self.options.settle_limit;
        !self.is_first || self.has_traffic || is_quiet || is_late
    }

    /// Whether the weight store's rate allows one more load to begin.
    pub(crate) fn has_load_rate(&mut self, now: Millis) -> bool {
        while self
            .load_starts
            .front()
            .is_some_and(|at| now.since(*at) > LOAD_WINDOW)
        {
            self.load_starts.pop_front();
        }
        let rate = self.spec.loads_per_second;
        let most = rate * LOAD_WINDOW.as_secs_f64();
        // Loads before the first request do not count, and no rate means no bound.
        !self.has_traffic || rate <= 0.0 || ((self.load_starts.len() + 1) as f64) <= most
    }

    /// Whether an order was given whose effect may not show yet.
    pub(crate) fn was_just_ordered(&self, id: &UpstreamId, now: Millis) -> bool {
        let given = self.tracks.get(id).and_then(|track| track.given.as_ref());
        given.is_some_and(|given| now.since(given.at) < self.options.order_retry)
    }

    /// Whether a free upstream may join a group now.
    pub(crate) fn is_usable(&self, track: &UpstreamTrack, now: Millis) -> bool {
        let id = &track.entry.incarnation.id;
        let is_forming = self.forming.values().any(|it| it.members.contains(id));
        let is_inherited = now < self.inherited_until && self.is_inherited(id);
        track.entry.state == UpstreamState::Ready
            && !self.is_dead(id)
            && !track.is_ordered()
            && !is_forming
            && !is_inherited
            && !self.may_have_restarted(track)
            && track.held_until <= now
    }

    /// Whether an upstream may have been, in an earlier run, a member of a group that stands incomplete, as far as this
    /// coordinator can tell: it had no group when it was first seen and has begun no order. All others are used at
    /// once: with a wait for them too the mean worth of days with trouble was 0.585 to 0.606, without it 0.620 to 0.647
    /// (8 VMs, 57 upstreams; five days, six plays with it and three without).
    pub(crate) fn may_have_restarted(&self, track: &UpstreamTrack) -> bool {
        let can_restart = track.entry.incarnation.started_at.is_some();
        let is_fresh = track.came_free && track.orders_begun == Some(0);
        let fabric = track.entry.fabric.as_ref();
        can_restart && is_fresh && fabric.is_some_and(|fabric| self.standing.contains(fabric))
    }

    /// Whether an earlier coordinator held an upstream.
    fn is_inherited(&self, id: &UpstreamId) -> bool {
        self.inherited.values().any(|members| members.contains(id))
    }

    /// Begins to form a group; the first of the members leads.
    pub(crate) fn form(
        &mut self,
        now: Millis,
        model: ModelName,
        members: Vec<UpstreamId>,
        actions: &mut Vec<GroupAction>,
    ) {
        self.epoch += 1;
        let id = group_name(&model, self.epoch);
        log::info!("event=group_forms group={id} members={members:?}");
        let group = FormingGroup {
            epoch: self.epoch,
            model,
            members,
            since: now,
        };
        let key = (id.clone(), group.epoch);
        self.leaders.insert(key, group.members[0].clone());
        self.forming.insert(id.clone(), group.clone());
        if let FormingStep::Orders(orders) =
            group.step(&id, &self.tracks, self.options.silent_limit)
        {
            for (upstream, order) in orders {
                self.give(now, &upstream, order, actions);
            }
        }
    }
}
