//! Tracks groups and VMs over time, as input for the coordinator's decisions.

use bergamot_types::prelude::*;

use super::{DELIST_AFTER_READS, PlacementState};
use crate::advance::DrainProgress;
use crate::quota::WantedModel;
use crate::record::GroupPhase;
use crate::report::EnginePhase;
use crate::views::{ListingState, VmListing, VmView};

impl PlacementState {
    /// Tracks since when the record has had its term, and since when groups have been draining.
    pub(super) fn track_phases(&mut self, now: Millis) {
        let Some(record) = &self.record else {
            return;
        };
        let is_known = self
            .term_first_seen
            .is_some_and(|(term, _)| term == record.term);
        if !is_known {
            self.term_first_seen = Some((record.term, now));
        }
        let is_draining = |id: &GroupId| {
            let group = record.groups.get(id);
            group.is_some_and(|group| group.phase == GroupPhase::Draining)
        };
        self.drains.retain(|id, _| is_draining(id));
        for id in record.groups.keys().filter(|id| is_draining(id)) {
            let progress = DrainProgress {
                recorded_at: now,
                leader_stopped_at: None,
            };
            self.drains.entry(id.clone()).or_insert(progress);
        }
    }

    /// Tracks which leaders of draining groups report that they no longer accept requests.
    pub(super) fn track_drains(&mut self) {
        let Some(record) = &self.record else {
            return;
        };
        for (id, progress) in &mut self.drains {
            let leader_view = record.leader(id).and_then(|(vm, _)| self.views.get(vm));
            let last_report = leader_view.and_then(|view| view.last_report.as_ref());
            let Some((asked_at, report)) = last_report else {
                continue;
            };
            let has_stopped =
                report.phase != EnginePhase::Ready || report.group.as_ref() != Some(id);
            if has_stopped && progress.leader_stopped_at.is_none() {
                progress.leader_stopped_at = Some(*asked_at);
            }
        }
    }

    /// Tracks since when each model has had more groups than wanted.
    pub(super) fn track_surplus(&mut self, now: Millis) {
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

    /// Applies a read of the VM list. Drops delisted VMs that the record does not contain.
    pub(super) fn apply_vm_list(&mut self, now: Millis, listings: &[VmListing]) {
        for listing in listings {
            let view = self
                .views
                .entry(listing.vm.clone())
                .or_insert_with(|| VmView::new(listing, now));
            view.missed_reads = 0;
            if view.listing == ListingState::Delisted {
                *view = VmView::new(listing, now);
            }
            view.listing = match listing.is_leaving {
                true => ListingState::Leaving,
                false => ListingState::Live,
            };
        }
        let is_listed = |vm: &VmId| listings.iter().any(|listing| listing.vm == *vm);
        for (vm, view) in &mut self.views {
            if is_listed(vm) {
                continue;
            }
            view.missed_reads += 1;
            if view.missed_reads >= DELIST_AFTER_READS {
                view.listing = ListingState::Delisted;
            }
        }
        let record = self.record.as_ref();
        let is_recorded = |vm: &VmId| record.is_some_and(|record| record.vms.contains_key(vm));
        self.views
            .retain(|vm, view| view.listing != ListingState::Delisted || is_recorded(vm));
    }
}
