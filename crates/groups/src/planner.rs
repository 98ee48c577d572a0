//! The coordinator's state and its next orders.

use std::net::SocketAddr;

use bergamot_ports::{
    EngineSpec, GroupOrder, MemberState, OrderOutcome, OrderRequest, UpstreamEntry, UpstreamReport,
    UpstreamState, UpstreamTarget,
};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::allocate::{AllocationContext, FreePool, allocate};
use crate::forming::{FormingGroup, FormingStep};
use crate::options::GroupOptions;
use crate::track::{GivenOrder, UpstreamTrack};
use crate::view::{GroupKey, GroupView, collect_groups, group_model, group_name};

/// Time between an unanswered question and the next one, while a group may be standing still.
const SECOND_QUESTION: Millis = Millis(50);

/// Something the coordinator wants done.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum GroupAction {
    /// Give an order and tell [`GroupPlanner::note_order`] what became of it.
    Order(OrderRequest),
    /// Ask for a report and tell [`GroupPlanner::note_report`].
    Ask(UpstreamTarget),
    /// Keep these where a later coordinator finds them, for at least [`GroupOptions::hold_time`],
    /// and tell [`GroupPlanner::note_hold`]: they are about to leave a group whose leader may
    /// still stand open.
    Hold {
        /// The group.
        group: GroupId,
        /// Its members.
        members: Vec<UpstreamId>,
    },
}

/// What became of a question.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum AskOutcome {
    /// It answered.
    Answered(UpstreamReport),
    /// Its process is gone.
    Gone,
    /// No answer.
    Silent,
}

/// The coordinator of the replica groups of one service.
#[derive(Debug)]
pub struct GroupPlanner {
    options: GroupOptions,
    spec: EngineSpec,
    fence: u64,
    epoch: u64,
    is_fenced: bool,
    /// Whether there was no coordinator before: an upstream that was not ordered has begun none.
    is_first: bool,
    /// Whether requests come in.
    has_traffic: bool,
    /// Upstreams that an earlier coordinator held, and until when they are not used.
    inherited: IndexSet<UpstreamId>,
    inherited_until: Millis,
    /// Members that are held, by group.
    holds: IndexMap<GroupId, GroupHold>,
    /// The last state that was logged.
    logged: String,
    tracks: IndexMap<UpstreamId, UpstreamTrack>,
    forming: IndexMap<GroupId, FormingGroup>,
    /// Who leads, or led, each list of members.
    leaders: IndexMap<GroupKey, UpstreamId>,
}

impl GroupPlanner {
    /// A coordinator that took over at `now` with fencing number `fence`. `is_first` says that
    /// there was none before it; `inherited` are the upstreams that earlier ones held.
    pub fn new(
        options: GroupOptions,
        spec: EngineSpec,
        fence: u64,
        is_first: bool,
        inherited: IndexSet<UpstreamId>,
        now: Millis,
    ) -> Self {
        Self {
            inherited_until: now + options.hold_time(),
            inherited,
            holds: IndexMap::new(),
            logged: String::new(),
            options,
            spec,
            fence,
            epoch: fence,
            is_fenced: false,
            is_first,
            has_traffic: !is_first,
            tracks: IndexMap::new(),
            forming: IndexMap::new(),
            leaders: IndexMap::new(),
        }
    }

    /// Whether an upstream has seen a higher fencing number: another coordinator took over.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Takes over a new configuration.
    pub fn set_spec(&mut self, spec: EngineSpec) {
        self.spec = spec;
    }

    /// Takes over the directory, read at the store's `revision`.
    pub fn set_directory<'a, Entries>(&mut self, entries: Entries, revision: u64, now: Millis)
    where
        Entries: IntoIterator<Item = &'a UpstreamEntry>,
    {
        // Every change of a membership raises the store's revision, so this is higher than any
        // epoch that an earlier coordinator used.
        self.epoch = self.epoch.max(revision);
        for track in self.tracks.values_mut() {
            track.is_listed = false;
        }
        let mut listed: IndexMap<SocketAddr, &UpstreamId> = IndexMap::new();
        let mut left: Vec<(UpstreamId, GroupKey)> = Vec::new();
        for entry in entries {
            listed.insert(entry.addr, &entry.id);
            let track = self
                .tracks
                .entry(entry.id.clone())
                .or_insert_with(|| UpstreamTrack::new(entry.clone()));
            track.is_listed = true;
            let before = track.entry.membership.as_ref();
            if let Some(before) = before.filter(|_| entry.membership.is_none()) {
                left.push((entry.id.clone(), (before.group.clone(), before.epoch)));
            }
            if track.entry != *entry {
                track.silent = 0;
                track.is_gone = false;
                track.entry = entry.clone();
            }
            if let Some(membership) = &entry.membership {
                self.epoch = self.epoch.max(membership.epoch);
                track.warm_model = Some(group_model(&membership.group));
                if membership.rank == 0 {
                    let key = (membership.group.clone(), membership.epoch);
                    self.leaders.insert(key, entry.id.clone());
                }
            }
            let is_staged = |model: &ModelName| {
                let is_unknown = model.as_str().is_empty() && !entry.staged.is_empty();
                is_unknown || entry.staged.contains(model)
            };
            if track
                .staging
                .as_ref()
                .is_some_and(|(model, _)| is_staged(model))
            {
                track.staging = None;
            }
        }
        for (id, key) in left {
            self.hold_if_standing(&id, &key, now);
        }
        // An address belongs to one run at a time.
        for (id, track) in self.tracks.iter_mut().filter(|(_, track)| !track.is_listed) {
            let successor = listed.get(&track.entry.addr);
            track.is_gone |= successor.is_some_and(|successor| *successor != id);
        }
    }

    /// Holds a member that left a group whose leader may still stand open, by an order that an
    /// earlier coordinator gave and that was carried out late.
    fn hold_if_standing(&mut self, id: &UpstreamId, key: &GroupKey, now: Millis) {
        let leader = self.leaders.get(key).filter(|leader| *leader != id);
        let leader = leader.and_then(|leader| self.tracks.get(leader));
        let is_over = leader.is_some_and(|leader| {
            let state = leader.entry.membership.as_ref().map(|it| it.state);
            let is_open = matches!(state, Some(MemberState::Open | MemberState::Closing));
            leader.is_gone || (leader.is_listed && !(is_open && leader.is_in(&key.0, key.1)))
        });
        let was_leader = self.leaders.get(key) == Some(id);
        if is_over || was_leader {
            return;
        }
        let hold = now + self.options.hold_time();
        if let Some(track) = self.tracks.get_mut(id) {
            track.held_until = track.held_until.max(hold);
        }
    }

    /// Hears that requests come in.
    pub fn note_traffic(&mut self) {
        self.has_traffic = true;
    }

    /// Hears that requests at this leader stand still.
    pub fn note_quiet(&mut self, leader: &UpstreamId, now: Millis) -> Vec<GroupAction> {
        let membership = self
            .tracks
            .get(leader)
            .and_then(|track| track.entry.membership.clone());
        let Some(membership) = membership else {
            return Vec::new();
        };
        let members: Vec<UpstreamId> = self
            .tracks
            .iter()
            .filter(|(_, track)| track.is_in(&membership.group, membership.epoch))
            .map(|(id, _)| id.clone())
            .collect();
        let gap = Millis(self.options.ask_again.0 / 3);
        let asked = members.iter().filter_map(|id| self.ask(id, now, gap));
        asked.collect()
    }

    /// Hears what became of an order.
    pub fn note_order(&mut self, request: &OrderRequest, outcome: &OrderOutcome) {
        let Some(track) = self.tracks.get_mut(&request.target.id) else {
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
            OrderOutcome::Unknown(_) => {
                track.silent += 1;
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
    pub fn note_report(&mut self, id: &UpstreamId, outcome: &AskOutcome, now: Millis) {
        let Some(track) = self.tracks.get_mut(id) else {
            return;
        };
        track.is_asked = false;
        match outcome {
            AskOutcome::Answered(report) => {
                track.silent = 0;
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
            AskOutcome::Gone => track.is_gone = true,
            AskOutcome::Silent => track.silent += 1,
        }
    }

    /// Hears whether members are held where a later coordinator finds it.
    pub fn note_hold(&mut self, group: &GroupId, members: &[UpstreamId], is_kept: bool) {
        let held = self.holds.entry(group.clone()).or_default();
        match is_kept {
            true => held.kept.extend(members.iter().cloned()),
            false => held.asked = held.kept.clone(),
        }
    }

    /// What is to be done now.
    pub fn step(&mut self, now: Millis) -> Vec<GroupAction> {
        let mut actions = Vec::new();
        if self.is_fenced {
            return actions;
        }
        let groups = collect_groups(&self.tracks);
        self.step_forming(now, &mut actions);
        let mut counts: IndexMap<ModelName, usize> = IndexMap::new();
        let mut free: Vec<UpstreamId> = Vec::new();
        for (key, group) in &groups {
            if self.forming.contains_key(&key.0) {
                *counts.entry(group_model(&key.0)).or_default() += 1;
                continue;
            }
            self.step_group(now, key, group, &mut counts, &mut free, &mut actions);
        }
        for (id, track) in &self.tracks {
            if track.is_listed && track.entry.membership.is_none() {
                free.push(id.clone());
            }
        }
        self.log_state(now, &counts, &free);
        self.step_free(now, counts, &free, &mut actions);
        self.ask_silent(now, &mut actions);
        self.tracks
            .retain(|_, track| track.is_listed || !track.is_gone);
        actions
    }

    /// Logs how many groups and upstreams there are, when that changed.
    fn log_state(&mut self, now: Millis, counts: &IndexMap<ModelName, usize>, free: &[UpstreamId]) {
        let usable = free.iter().filter_map(|id| self.tracks.get(id));
        let usable: Vec<&UpstreamTrack> = usable.filter(|it| self.is_usable(it, now)).collect();
        let staged = usable.iter().filter(|it| !it.entry.staged.is_empty());
        let loading = self.tracks.values().filter(|it| it.staging.is_some());
        let held = self.tracks.values().filter(|it| it.held_until > now);
        let dead = self.tracks.keys().filter(|id| self.is_dead(id));
        let state = format!(
            "groups={counts:?} forming={} free={} staged={} loading={} held={} dead={} listed={}",
            self.forming.len(),
            usable.len(),
            staged.count(),
            loading.count(),
            held.count(),
            dead.count(),
            self.tracks.values().filter(|it| it.is_listed).count(),
        );
        if state != self.logged {
            log::info!("event=groups_state {state}");
            self.logged = state;
        }
    }

    fn step_forming(&mut self, now: Millis, actions: &mut Vec<GroupAction>) {
        let ids: Vec<GroupId> = self.forming.keys().cloned().collect();
        for id in ids {
            let group = &self.forming[&id];
            let step = group.step(&id, &self.tracks, self.options.silent_limit);
            let is_late = now.since(group.since) > self.options.forming_limit;
            match step {
                FormingStep::Done => {
                    log::info!(
                        "event=group_serves group={id} took={}",
                        now.since(group.since)
                    );
                    self.forming.shift_remove(&id);
                }
                FormingStep::Abort(reason) => self.abort(&id, reason),
                FormingStep::Orders(_) if is_late => self.abort(&id, "it took too long"),
                FormingStep::Orders(orders) => {
                    for (upstream, order) in orders {
                        self.give(now, &upstream, order, actions);
                    }
                }
            }
        }
    }

    fn abort(&mut self, id: &GroupId, reason: &str) {
        log::info!("event=group_given_up group={id} reason={reason:?}");
        self.forming.shift_remove(id);
    }

    /// Looks at a group that is not being formed: keeps it, ends it, or frees its members.
    fn step_group(
        &mut self,
        now: Millis,
        key: &GroupKey,
        group: &GroupView,
        counts: &mut IndexMap<ModelName, usize>,
        free: &mut Vec<UpstreamId>,
        actions: &mut Vec<GroupAction>,
    ) {
        let model = group_model(&key.0);
        let size = self.spec.models.get(&model).map_or(1, |it| it.group_size);
        let Some((leader, state)) = group.leader() else {
            self.step_leaderless(now, key, group, free, actions);
            return;
        };
        let loss = self.loss(key, group, size);
        match (state, loss) {
            (MemberState::Broken, _) => {
                free.extend(group.members.iter().map(|(_, id, _)| id.clone()));
            }
            (MemberState::Open, None) => *counts.entry(model).or_default() += 1,
            (MemberState::Ready, None) if self.is_joined(group, size) => {
                *counts.entry(model).or_default() += 1;
                let order = GroupOrder::Open {
                    group: key.0.clone(),
                    epoch: key.1,
                };
                self.give(now, leader, order, actions);
            }
            (_, _) if self.is_dead(leader) => {
                self.step_leaderless(now, key, group, free, actions);
            }
            (MemberState::Open, Some(GroupLoss::Leaving)) => {
                let order = GroupOrder::Close {
                    group: key.0.clone(),
                    epoch: key.1,
                    is_cut: false,
                };
                self.give(now, leader, order, actions);
            }
            (MemberState::Closing, Some(GroupLoss::Leaving) | None) => {}
            // A spare that warms up, alone.
            (MemberState::Joining, _) if group.members.len() == 1 => {}
            // Nothing moves in a group that lost a member, and one that never opened is not
            // needed: the leader leaves, and with that the others are free.
            (_, loss) => {
                log::info!("event=group_ends group={} loss={loss:?}", key.0);
                let order = GroupOrder::Leave {
                    group: key.0.clone(),
                    epoch: key.1,
                };
                self.give(now, leader, order, actions);
            }
        }
    }

    /// Whether every member says that it has joined.
    fn is_joined(&self, group: &GroupView, size: usize) -> bool {
        let all_ready = group
            .members
            .iter()
            .all(|(_, _, state)| *state == MemberState::Ready);
        all_ready && group.is_full(size)
    }

    /// What a group lacks, if anything.
    fn loss(&self, key: &GroupKey, group: &GroupView, size: usize) -> Option<GroupLoss> {
        let is_lost = group.members.iter().any(|(_, id, _)| self.is_dead(id));
        // A member that fell out of the directory but still answers is only cut off from it.
        let unlisted = self.tracks.values().filter(|track| {
            !track.is_listed && track.is_in(&key.0, key.1) && !self.is_dead(&track.entry.id)
        });
        if is_lost || group.members.len() + unlisted.count() < size {
            return Some(GroupLoss::Lost);
        }
        let is_leaving = |id: &UpstreamId| {
            let track = self.tracks.get(id);
            track.is_some_and(|track| track.entry.state == UpstreamState::Draining)
        };
        let has_leaving = group.members.iter().any(|(_, id, _)| is_leaving(id));
        has_leaving.then_some(GroupLoss::Leaving)
    }

    fn is_dead(&self, id: &UpstreamId) -> bool {
        let limit = self.options.silent_limit;
        let track = self.tracks.get(id);
        track.is_none_or(|track| track.is_gone || track.silent >= limit)
    }

    /// A group whose leader is not listed or does not answer.
    fn step_leaderless(
        &mut self,
        now: Millis,
        key: &GroupKey,
        group: &GroupView,
        free: &mut Vec<UpstreamId>,
        actions: &mut Vec<GroupAction>,
    ) {
        let members = group.members.iter().map(|(_, id, _)| id);
        let leader = self.leaders.get(key).cloned();
        let track = leader.as_ref().and_then(|leader| self.tracks.get(leader));
        let has_left = track.is_some_and(|track| track.is_listed && !track.is_in(&key.0, key.1));
        let is_gone = track.is_some_and(|track| track.is_gone);
        if has_left || is_gone {
            free.extend(members.cloned());
            return;
        }
        let is_settled = track.is_none_or(|track| track.silent >= self.options.silent_limit);
        if !is_settled {
            let gap = Millis(self.options.ask_again.0 / 3);
            actions.extend(leader.and_then(|leader| self.ask(&leader, now, gap)));
            return;
        }
        // The leader may live and serve out of our sight. With a member gone it stands still, and
        // breaks when the stall time is over; until then nobody of the group is used again.
        let members: Vec<UpstreamId> = members.cloned().collect();
        let held = self.holds.entry(key.0.clone()).or_default();
        // A member may come back to the directory when others were held already.
        let is_news = members.iter().any(|id| !held.asked.contains(id));
        if is_news {
            held.asked.extend(members.iter().cloned());
            actions.push(GroupAction::Hold {
                group: key.0.clone(),
                members: held.asked.iter().cloned().collect(),
            });
        }
        let kept = held.kept.clone();
        let hold = now + self.options.hold_time();
        let others = members.iter().filter(|id| Some(*id) != leader.as_ref());
        for id in others.filter(|id| kept.contains(*id)) {
            let order = GroupOrder::Leave {
                group: key.0.clone(),
                epoch: key.1,
            };
            self.give(now, id, order, actions);
            if let Some(track) = self.tracks.get_mut(id) {
                track.held_until = track.held_until.max(hold);
            }
        }
    }

    fn step_free(
        &mut self,
        now: Millis,
        counts: IndexMap<ModelName, usize>,
        free: &[UpstreamId],
        actions: &mut Vec<GroupAction>,
    ) {
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
            if free.contains(&track.entry.id) && self.is_usable(track, now) {
                pool.free.push(track);
            }
        }
        let staging = self.tracks.values();
        let mut loading = staging.filter(|track| track.staging.is_some()).count();
        let context = AllocationContext {
            spec: &self.spec,
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
            if self.has_traffic && loading >= self.spec.parallel_loads {
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
            }
        }
    }

    /// Whether an order was given whose effect may not show yet.
    fn was_just_ordered(&self, id: &UpstreamId, now: Millis) -> bool {
        let given = self.tracks.get(id).and_then(|track| track.given.as_ref());
        given.is_some_and(|given| now.since(given.at) < self.options.order_retry)
    }

    fn is_usable(&self, track: &UpstreamTrack, now: Millis) -> bool {
        let id = &track.entry.id;
        let is_forming = self.forming.values().any(|it| it.members.contains(id));
        let is_inherited = now < self.inherited_until && self.inherited.contains(id);
        track.entry.state == UpstreamState::Ready
            && !self.is_dead(id)
            && !track.is_ordered()
            && !is_forming
            && !is_inherited
            && track.held_until <= now
    }

    fn form(
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

    /// Gives an order unless one is on its way, or the same was given a moment ago.
    fn give(
        &mut self,
        now: Millis,
        id: &UpstreamId,
        order: GroupOrder,
        actions: &mut Vec<GroupAction>,
    ) -> bool {
        let retry = self.options.order_retry;
        let Some(track) = self.tracks.get_mut(id) else {
            return false;
        };
        let waits = track.given.as_ref().is_some_and(|given| {
            let is_recent = now.since(given.at) < retry;
            !given.is_answered || (is_recent && given.order == order)
        });
        if waits || track.is_asked {
            return false;
        }
        // One that was never ordered has begun none; else the number must be known.
        let is_new = self.is_first && track.given.is_none();
        let expected = track.orders_begun.or(is_new.then_some(0));
        if expected.is_none() {
            actions.extend(self.ask(id, now, Millis(retry.0 / 2)));
            return false;
        }
        track.given = Some(GivenOrder {
            order: order.clone(),
            at: now,
            is_answered: false,
        });
        let request = OrderRequest {
            target: track.target(),
            order,
            fence: self.fence,
            expected,
        };
        actions.push(GroupAction::Order(request));
        true
    }

    fn ask(&mut self, id: &UpstreamId, now: Millis, gap: Millis) -> Option<GroupAction> {
        let track = self.tracks.get_mut(id)?;
        let is_recent = track.asked_at.is_some_and(|at| now.since(at) < gap);
        if track.is_asked || is_recent || track.is_gone {
            return None;
        }
        track.is_asked = true;
        track.asked_at = Some(now);
        Some(GroupAction::Ask(track.target()))
    }

    /// Asks those that were silent, or fell out of the directory, whether they are back.
    fn ask_silent(&mut self, now: Millis, actions: &mut Vec<GroupAction>) {
        let limit = self.options.silent_limit;
        let due: Vec<(UpstreamId, Millis)> = self
            .tracks
            .iter()
            .filter(|(_, track)| !track.is_gone)
            .filter(|(_, track)| track.silent > 0 || !track.is_listed)
            .map(|(id, track)| {
                // The second question follows at once: a group may be standing still.
                let is_doubtful = (1..limit).contains(&track.silent);
                let gap = match is_doubtful {
                    true => SECOND_QUESTION,
                    false => self.options.ask_again,
                };
                (id.clone(), gap)
            })
            .collect();
        for (id, gap) in due {
            actions.extend(self.ask(&id, now, gap));
        }
        // What is neither listed nor answers is forgotten; a return comes with a new entry.
        self.tracks
            .retain(|_, track| track.is_listed || track.silent < limit * 4);
    }
}

/// The members of a group that are held.
#[derive(Debug, Default)]
struct GroupHold {
    /// Those that were to be kept.
    asked: IndexSet<UpstreamId>,
    /// Those that are kept: only they are ordered to leave.
    kept: IndexSet<UpstreamId>,
}

/// Why a group cannot go on as it is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum GroupLoss {
    /// A member is dead, or has left.
    Lost,
    /// A member is leaving.
    Leaving,
}
