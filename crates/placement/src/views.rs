//! What a coordinator knows of each VM of its fabric domain.

use std::net::SocketAddr;

use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;

use crate::options::PlacementOptions;
use crate::report::EngineReport;

/// Whether the platform lists a VM.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListedState {
    /// It stays.
    Live,
    /// It will be taken away.
    Leaving,
    /// It was listed once and is not any more.
    Gone,
}

/// One engine VM of the fabric domain in the platform's list.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct VmListing {
    /// The VM.
    pub vm: VmId,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Where its engine listens.
    pub addr: SocketAddr,
    /// Accelerators in it.
    pub accelerators: u32,
}

/// One VM as its coordinator knows it.
#[derive(Clone, Debug)]
pub struct VmView {
    /// What the platform says.
    pub listed: ListedState,
    /// Where its engine listens.
    pub addr: SocketAddr,
    /// Accelerators in it.
    pub accelerators: u32,
    /// Reads of the list in a row that lacked it.
    pub(crate) missing_looks: u32,
    /// The last report with the time it was asked for.
    pub report: Option<(Millis, EngineReport)>,
    /// Since when it gave no answer; none while it answers.
    pub silent_since: Option<Millis>,
    /// Since when it answers without a gap.
    pub(crate) steady_since: Option<Millis>,
    /// Whether it was ever silent.
    pub(crate) has_flapped: bool,
    /// Until when an order may still be on its way; what was reported before says nothing of it.
    pub(crate) ordered_until: Millis,
}

impl VmView {
    /// A VM that was just listed.
    pub fn new(listing: &VmListing, now: Millis) -> Self {
        Self {
            listed: ListedState::Live,
            addr: listing.addr,
            accelerators: listing.accelerators,
            missing_looks: 0,
            report: None,
            silent_since: Some(now),
            steady_since: None,
            has_flapped: false,
            ordered_until: Millis::ZERO,
        }
    }

    /// Notes an answer to a question asked at `asked`.
    pub fn note_report(&mut self, asked: Millis, report: EngineReport) {
        let is_older = self.report.as_ref().is_some_and(|(at, _)| *at > asked);
        if is_older {
            return;
        }
        self.report = Some((asked, report));
        self.silent_since = None;
        self.steady_since.get_or_insert(asked);
    }

    /// Notes that a question asked at `asked` found no answer.
    pub fn note_silence(&mut self, asked: Millis) {
        if self.silent_since.is_none() {
            self.silent_since = Some(asked);
            self.has_flapped = true;
        }
        self.steady_since = None;
    }

    /// The last report, if it is fresh enough to act on.
    pub fn fresh_report(&self, now: Millis, options: &PlacementOptions) -> Option<&EngineReport> {
        let (at, report) = self.report.as_ref()?;
        (now.since(*at) <= options.report_max_age).then_some(report)
    }

    /// The last report, if it is fresh and was asked for when no order could be on its way.
    pub fn settled_report(
        &self,
        now: Millis,
        quiet_until: Millis,
        options: &PlacementOptions,
    ) -> Option<&EngineReport> {
        let (asked, _) = self.report.as_ref()?;
        let settled_from = self.ordered_until.max(quiet_until);
        self.fresh_report(now, options)
            .filter(|_| *asked >= settled_from)
    }

    /// Whether it has been silent long enough to count as dead.
    pub fn is_dead(&self, now: Millis, options: &PlacementOptions) -> bool {
        match self.listed {
            ListedState::Gone => true,
            _ => self
                .silent_since
                .is_some_and(|since| now.since(since) >= options.unreachable_after),
        }
    }

    /// Whether it may enter a group: listed as staying, seen idle, and not flapping.
    pub fn is_usable(&self, now: Millis, quiet_until: Millis, options: &PlacementOptions) -> bool {
        let is_idle = self
            .settled_report(now, quiet_until, options)
            .is_some_and(|report| report.group.is_none() || is_on(Mutation::FreeUnconfirmedVm));
        let is_steady = self
            .steady_since
            .is_some_and(|since| !self.has_flapped || now.since(since) >= options.flap_hold);
        self.listed == ListedState::Live && is_idle && is_steady
    }
}
