//! What a coordinator notes of groups and VMs before it decides.

use bergamot_types::prelude::*;

use super::{MISSING_LOOKS, PlacementState};
use crate::advance::DrainTimes;
use crate::quota::WantedModel;
use crate::record::GroupPhase;
use crate::report::EnginePhase;
use crate::views::{ListedState, VmListing, VmView};

impl PlacementState {
    pub(super) fn note_phases(&mut self, now: Millis) {
        let Some(record) = &self.record else {
            return;
        };
        let is_known = self.term_since.is_some_and(|(term, _)| term == record.term);
        if !is_known {
            self.term_since = Some((record.term, now));
        }
        let is_draining = |id: &GroupId| {
            let group = record.groups.get(id);
            group.is_some_and(|group| group.phase == GroupPhase::Draining)
        };
        self.draining_since.retain(|id, _| is_draining(id));
        for id in record.groups.keys().filter(|id| is_draining(id)) {
            let begun = DrainTimes {
                recorded: now,
                obeyed: None,
            };
            self.draining_since.entry(id.clone()).or_insert(begun);
        }
    }

    /// Notes which draining groups' leaders say themselves that they drain.
    pub(super) fn note_drains(&mut self) {
        let Some(record) = &self.record else {
            return;
        };
        for (id, times) in &mut self.draining_since {
            let leader = record.leader(id).and_then(|(vm, _)| self.views.get(vm));
            let report = leader.and_then(|view| view.report.as_ref());
            let Some((asked, report)) = report else {
                continue;
            };
            let is_obeyed = report.phase != EnginePhase::Ready || report.group.as_ref() != Some(id);
            if is_obeyed && times.obeyed.is_none() {
                times.obeyed = Some(*asked);
            }
        }
    }

    pub(super) fn note_surplus(&mut self, now: Millis) {
        let (Some(record), Some(wanted)) = (&self.record, &self.wanted) else {
            return;
        };
        let has_surplus = |want: &WantedModel| {
            let groups = record.groups.values().filter(|group| {
                group.model.name == want.model.name
                    && matches!(group.phase, GroupPhase::Forming | GroupPhase::Serving)
            });
            groups.count() > want.count as usize
        };
        for want in wanted {
            match has_surplus(want) {
                true => {
                    self.surplus_since
                        .entry(want.model.name.clone())
                        .or_insert(now);
                }
                false => {
                    self.surplus_since.swap_remove(&want.model.name);
                }
            }
        }
    }

    pub(super) fn take_list(&mut self, now: Millis, listings: &[VmListing]) {
        for listing in listings {
            let view = self
                .views
                .entry(listing.vm.clone())
                .or_insert_with(|| VmView::new(listing, now));
            view.missing_looks = 0;
            if view.listed == ListedState::Gone {
                *view = VmView::new(listing, now);
            }
            view.listed = match listing.is_leaving {
                true => ListedState::Leaving,
                false => ListedState::Live,
            };
        }
        let is_listed = |vm: &VmId| listings.iter().any(|listing| listing.vm == *vm);
        for (vm, view) in &mut self.views {
            if is_listed(vm) {
                continue;
            }
            view.missing_looks += 1;
            if view.missing_looks >= MISSING_LOOKS {
                view.listed = ListedState::Gone;
            }
        }
        let record = self.record.as_ref();
        let is_known = |vm: &VmId| record.is_some_and(|record| record.vms.contains_key(vm));
        self.views
            .retain(|vm, view| view.listed != ListedState::Gone || is_known(vm));
    }
}
