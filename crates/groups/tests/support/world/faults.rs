//! Faults, and the changes that upstreams undergo on their own.

use super::*;

impl World {
    pub(super) fn inject_faults(&mut self) {
        for index in 0..self.upstreams.len() {
            if self.random.random_bool(self.options.crash_chance) {
                let down_until = self.now + self.random.random_range(1_000..6_000);
                let same_id_share = self.options.same_id_share;
                let has_same_id = same_id_share > 0.0 && self.random.random_bool(same_id_share);
                self.crash(index, down_until, has_same_id);
            }
            if self.random.random_bool(self.options.cut_chance) {
                let until = self.now + self.random.random_range(2_000..9_000);
                let kind = self.random.random_range(1..4);
                let upstream = &mut self.upstreams[index];
                upstream.cut_until = until;
                upstream.cut_from_store = kind & 1 != 0;
                upstream.cut_from_coordinator = kind & 2 != 0;
                let id = upstream.id.clone();
                self.trace(|| format!("{id} is cut off, kind {kind}, until {until}"));
            }
        }
        if self.options.orphan_chance > 0.0 {
            self.cut_groups();
        }
        if self.options.restore_chance > 0.0 && self.random.random_bool(self.options.restore_chance)
        {
            self.restore_store();
        }
        if self.random.random_bool(self.options.takeover_chance) {
            self.take_over();
        }
    }

    /// Crashes an upstream. Its next incarnation starts at `down_until`.
    fn crash(&mut self, index: usize, down_until: u64, has_same_id: bool) {
        let fabric = self.upstreams[index].fabric;
        let addr = self.upstreams[index].addr;
        let mut next = self.start_upstream(fabric, addr);
        let previous = &self.upstreams[index];
        next.staged = previous.staged.clone();
        if has_same_id {
            next.id = previous.id.clone();
            next.cut_until = previous.cut_until;
            next.cut_from_store = previous.cut_from_store;
            next.cut_from_coordinator = previous.cut_from_coordinator;
            // The old entry stays until it expires or is overwritten.
            next.entry_written_at = previous.entry_written_at;
            next.previous_entry = Some(previous.entry());
        }
        next.down_until = down_until;
        self.upstreams[index] = next;
    }

    /// Cuts all members of some open groups but one off from the store.
    fn cut_groups(&mut self) {
        let open = self.upstreams.iter().filter_map(|upstream| {
            let joined = upstream.joined.as_ref()?;
            let is_open = joined.membership.state == MemberState::Open;
            is_open.then(|| joined.members.clone())
        });
        let groups: Vec<Vec<UpstreamId>> = open.collect();
        for mut members in groups {
            if !self.random.random_bool(self.options.orphan_chance) {
                continue;
            }
            let Some(orphan) = members.pop() else {
                continue;
            };
            let restarts_at = self.now + ENTRY_TTL_MS + self.random.random_range(100..1_500);
            let cut = self.upstreams.iter_mut();
            for upstream in cut.filter(|upstream| members.contains(&upstream.id)) {
                upstream.cut_until = restarts_at + STALL_MS + 1_000;
                upstream.cut_from_store = true;
                upstream.cut_from_coordinator = false;
            }
            self.trace(|| format!("{members:?} are unlisted, {orphan} restarts at {restarts_at}"));
            self.orphans.push((orphan, restarts_at));
        }
    }

    /// Restarts the orphans that are due, and lets another coordinator take over soon after.
    pub(super) fn restart_orphans(&mut self) {
        let now = self.now;
        let due = self.orphans.extract_if(.., |(_, at)| *at <= now);
        let due: Vec<(UpstreamId, u64)> = due.collect();
        for (orphan, _) in due {
            let position = self
                .upstreams
                .iter()
                .position(|upstream| upstream.id == orphan);
            if let Some(index) = position {
                self.crash(index, now + 200, true);
                let takeover_at = now + self.random.random_range(0..2_000);
                self.takeovers_at.push(takeover_at);
            }
        }
        let count = self.takeovers_at.extract_if(.., |at| *at <= now).count();
        if count > 0 {
            self.take_over();
        }
    }

    /// Restores the store from a copy that is older than all holds. Upstreams write their entries
    /// again; the coordinator's record is lost.
    fn restore_store(&mut self) {
        self.generation += 1;
        let lost_revisions = self.random.random_range(1..400);
        self.revision = self.revision.saturating_sub(lost_revisions);
        self.holds.clear();
        self.restored_at = Some(self.now);
        self.trace(|| "the store is restored".to_owned());
        self.take_over();
    }

    /// Advances every upstream to the current time.
    pub(super) fn advance_upstreams(&mut self) {
        let now = self.now;
        let mut change_count = 0;
        for upstream in &mut self.upstreams {
            if upstream.cut_until <= now {
                upstream.cut_from_store = false;
                upstream.cut_from_coordinator = false;
            }
            if upstream.down_until <= now && !upstream.cut_from_store {
                upstream.entry_written_at = now;
                upstream.previous_entry = None;
            }
            if upstream
                .loading
                .as_ref()
                .is_some_and(|(_, done_at)| *done_at <= now)
            {
                upstream.staged = upstream.loading.take().map(|(model, _)| model);
                change_count += 1;
            }
            if let Some(joined) = &mut upstream.joined
                && joined.membership.state == MemberState::Joining
                && joined.ready_at <= now
            {
                joined.membership.state = MemberState::Ready;
                change_count += 1;
                let key = (
                    joined.membership.group.clone(),
                    joined.membership.epoch,
                    joined.members.clone(),
                );
                self.ready
                    .entry(key)
                    .or_default()
                    .insert(upstream.id.clone());
            }
        }
        self.break_stalled_groups();
        self.revision += change_count;
        let expired_at = now;
        self.holds.retain(|_, (_, until)| *until > expired_at);
    }

    /// Breaks groups that lost a member once the stall time has passed.
    pub(super) fn break_stalled_groups(&mut self) {
        let now = self.now;
        let alive: IndexMap<UpstreamId, Option<(GroupId, u64)>> = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.down_until <= now)
            .map(|upstream| {
                let joined = upstream.joined.as_ref();
                let key =
                    joined.map(|joined| (joined.membership.group.clone(), joined.membership.epoch));
                (upstream.id.clone(), key)
            })
            .collect();
        for upstream in &mut self.upstreams {
            let Some(joined) = &mut upstream.joined else {
                continue;
            };
            let key = (joined.membership.group.clone(), joined.membership.epoch);
            let is_complete = joined
                .members
                .iter()
                .all(|id| alive.get(id).is_some_and(|own| own.as_ref() == Some(&key)));
            let is_open = joined.membership.state == MemberState::Open;
            if is_complete || !is_open {
                upstream.breaks_at = None;
                continue;
            }
            let breaks_at = *upstream.breaks_at.get_or_insert(now + STALL_MS);
            if breaks_at <= now {
                joined.membership.state = MemberState::Broken;
                self.revision += 1;
            }
        }
    }
}
