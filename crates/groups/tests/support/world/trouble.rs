//! What goes wrong, and what upstreams do by themselves.

use super::*;

impl World {
    pub(super) fn trouble(&mut self) {
        for index in 0..self.upstreams.len() {
            if self.random.random_bool(self.options.crash_chance) {
                let fabric = self.upstreams[index].fabric;
                let addr = self.upstreams[index].addr;
                let staged = self.upstreams[index].staged.clone();
                let down = self.now + self.random.random_range(1_000..6_000);
                let mut next = self.start(fabric, addr);
                next.staged = staged;
                let same_id = self.options.same_id_part;
                if same_id > 0.0 && self.random.random_bool(same_id) {
                    let before = &self.upstreams[index];
                    next.id = before.id.clone();
                    next.cut_until = before.cut_until;
                    next.cut_from_store = before.cut_from_store;
                    next.cut_from_coordinator = before.cut_from_coordinator;
                    // Its old entry stands until it lapses, or is written over.
                    next.beat_at = before.beat_at;
                    next.old_entry = Some(before.entry());
                }
                next.down_until = down;
                self.upstreams[index] = next;
            }
            if self.random.random_bool(self.options.cut_chance) {
                let until = self.now + self.random.random_range(2_000..9_000);
                let kind = self.random.random_range(1..4);
                let upstream = &mut self.upstreams[index];
                upstream.cut_until = until;
                upstream.cut_from_store = kind & 1 != 0;
                upstream.cut_from_coordinator = kind & 2 != 0;
                let id = upstream.id.clone();
                self.trace(|| format!("{id} is cut off, {kind}, until {until}"));
            }
        }
        if self.random.random_bool(self.options.takeover_chance) {
            self.take_over();
        }
    }

    /// Moves every upstream on.
    pub(super) fn live(&mut self) {
        let now = self.now;
        let mut changed = 0;
        for upstream in &mut self.upstreams {
            if upstream.cut_until <= now {
                upstream.cut_from_store = false;
                upstream.cut_from_coordinator = false;
            }
            if upstream.down_until <= now && !upstream.cut_from_store {
                upstream.beat_at = now;
                upstream.old_entry = None;
            }
            if upstream
                .loading
                .as_ref()
                .is_some_and(|(_, due)| *due <= now)
            {
                upstream.staged = upstream.loading.take().map(|(model, _)| model);
                changed += 1;
            }
            if let Some(joined) = &mut upstream.joined
                && joined.membership.state == MemberState::Joining
                && joined.due <= now
            {
                joined.membership.state = MemberState::Ready;
                changed += 1;
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
        self.stall();
        self.revision += changed;
        let holds_end = now;
        self.holds.retain(|_, (_, until)| *until > holds_end);
    }

    /// A group that lost a member breaks after the stall time.
    pub(super) fn stall(&mut self) {
        let now = self.now;
        let alive: IndexMap<UpstreamId, Option<(GroupId, u64)>> = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.down_until <= now)
            .map(|upstream| {
                let joined = upstream.joined.as_ref();
                let key = joined.map(|it| (it.membership.group.clone(), it.membership.epoch));
                (upstream.id.clone(), key)
            })
            .collect();
        for upstream in &mut self.upstreams {
            let Some(joined) = &mut upstream.joined else {
                continue;
            };
            let key = (joined.membership.group.clone(), joined.membership.epoch);
            let is_whole = joined
                .members
                .iter()
                .all(|id| alive.get(id).is_some_and(|it| it.as_ref() == Some(&key)));
            let is_open = joined.membership.state == MemberState::Open;
            if is_whole || !is_open {
                upstream.broken_at = None;
                continue;
            }
            let at = *upstream.broken_at.get_or_insert(now + STALL);
            if at <= now {
                joined.membership.state = MemberState::Broken;
                self.revision += 1;
            }
        }
    }
}
