//! What a coordinator knows about each VM of its fabric domain.

use std::net::SocketAddr;

use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;

use crate::options::PlacementOptions;
use crate::report::EngineReport;

/// Whether the platform lists a VM.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListingState {
    /// Listed, and not about to be removed.
    Live,
    /// Listed, but the platform is about to remove the VM.
    Leaving,
    /// No longer listed.
    Delisted,
}

/// An engine VM of the fabric domain, as the platform lists it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct VmListing {
    /// The VM.
    pub vm: VmId,
    /// Whether the platform is about to remove the VM.
    pub is_leaving: bool,
    /// Address of the VM's engine.
    pub addr: SocketAddr,
    /// Number of accelerators of the VM.
    pub accelerators: u32,
}

/// What the coordinator knows about one VM.
#[derive(Clone, Debug)]
pub struct VmView {
    /// Whether the platform lists the VM.
    pub listing: ListingState,
    /// Address of the VM's engine.
    pub addr: SocketAddr,
    /// Number of accelerators of the VM.
    pub accelerators: u32,
    /// Number of consecutive reads of the VM list that lacked the VM.
    pub(crate) missed_reads: u32,
    /// The last report, with the time when it was asked for.
    pub last_report: Option<(Millis, EngineReport)>,
    /// Since when the engine has not answered; none while it answers.
    pub unresponsive_since: Option<Millis>,
    /// Since when the engine has answered without a gap.
    pub(crate) responsive_since: Option<Millis>,
    /// Whether the engine ever stopped answering.
    pub(crate) has_flapped: bool,
    /// Until when an order may be in flight. Reports asked for earlier may not show its effect.
    pub(crate) order_in_flight_until: Millis,
}

impl VmView {
    /// Creates the view of a VM that has just been listed.
    pub fn new(listing: &VmListing, now: Millis) -> Self {
        Self {
            listing: ListingState::Live,
            addr: listing.addr,
            accelerators: listing.accelerators,
            missed_reads: 0,
            last_report: None,
            unresponsive_since: Some(now),
            responsive_since: None,
            has_flapped: false,
            order_in_flight_until: Millis::ZERO,
        }
    }

    /// Records the answer to a query that was sent at `asked_at`.
    pub fn record_report(&mut self, asked_at: Millis, report: EngineReport) {
        let is_outdated = self
            .last_report
            .as_ref()
            .is_some_and(|(last_asked_at, _)| *last_asked_at > asked_at);
        if is_outdated {
            return;
        }
        self.last_report = Some((asked_at, report));
        self.unresponsive_since = None;
        self.responsive_since.get_or_insert(asked_at);
    }

    /// Records that a query sent at `asked_at` was not answered.
    pub fn record_unanswered(&mut self, asked_at: Millis) {
        if self.unresponsive_since.is_none() {
            self.unresponsive_since = Some(asked_at);
            self.has_flapped = true;
        }
        self.responsive_since = None;
    }

    /// Returns the last report if it is recent enough to rely on.
    pub fn fresh_report(&self, now: Millis, options: &PlacementOptions) -> Option<&EngineReport> {
        let (asked_at, report) = self.last_report.as_ref()?;
        (now.since(*asked_at) <= options.report_max_age).then_some(report)
    }

    /// Returns the last report if it is recent and was asked for when no order could be in flight.
    pub fn settled_report(
        &self,
        now: Millis,
        handover_until: Millis,
        options: &PlacementOptions,
    ) -> Option<&EngineReport> {
        let (asked_at, _) = self.last_report.as_ref()?;
        let settled_from = self.order_in_flight_until.max(handover_until);
        self.fresh_report(now, options)
            .filter(|_| *asked_at >= settled_from)
    }

    /// Whether the VM is no longer listed, or has been unresponsive long enough to count as dead.
    pub fn is_dead(&self, now: Millis, options: &PlacementOptions) -> bool {
        match self.listing {
            ListingState::Delisted => true,
            _ => self
                .unresponsive_since
                .is_some_and(|since| now.since(since) >= options.unreachable_after),
        }
    }

    /// Whether the VM may join a group: it is not leaving, its engine reports that it is idle, and
    /// it does not flap.
    pub fn is_usable(
        &self,
        now: Millis,
        handover_until: Millis,
        options: &PlacementOptions,
    ) -> bool {
        let is_idle = self
            .settled_report(now, handover_until, options)
            .is_some_and(|report| report.group.is_none() || is_on(Mutation::FreeUnconfirmedVm));
        let is_stable = self
            .responsive_since
            .is_some_and(|since| !self.has_flapped || now.since(since) >= options.flap_hold);
        self.listing == ListingState::Live && is_idle && is_stable
    }
}
