//! What the coordinator knows of one upstream besides its entry.

use bergamot_ports::{GroupOrder, UpstreamEntry, UpstreamReport, UpstreamTarget};
use bergamot_types::prelude::*;

/// An order that was given and whose effect may not show yet.
#[derive(Clone, Debug)]
pub(crate) struct GivenOrder {
    pub order: GroupOrder,
    pub at: Millis,
    pub is_answered: bool,
}

/// One upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamTrack {
    /// Its last entry.
    pub entry: UpstreamEntry,
    /// Whether the directory has it now.
    pub is_listed: bool,
    /// Orders it has begun, as far as known.
    pub orders_begun: Option<u64>,
    /// The last order.
    pub given: Option<GivenOrder>,
    /// Whether a question is on its way.
    pub is_asked: bool,
    /// When the last question was asked.
    pub asked_at: Option<Millis>,
    /// Questions and orders in a row that it did not answer.
    pub silent: u32,
    /// When it last answered a question.
    pub heard_at: Millis,
    /// When a question to it was last in vain.
    pub silent_at: Millis,
    /// Since when it has not answered, if it does not.
    pub silent_since: Option<Millis>,
    /// Questions to others that had been answered when one to it last ran out of time late; none once it
    /// has answered.
    pub unheard_at: Option<u64>,
    /// When requests last stood still at it, where it leads a group.
    pub quiet_at: Option<Millis>,
    /// Whether its process is known to be gone.
    pub is_gone: bool,
    /// The model of its last group: it joins that one again almost at once.
    pub warm_model: Option<ModelName>,
    /// The model that is being staged, and since when.
    pub staging: Option<(ModelName, Millis)>,
    /// Not to be used before then: its old group may still stand open.
    pub held_until: Millis,
    /// Whether it had no group when this coordinator first saw it: which one it was in before is not known.
    pub came_free: bool,
}

impl UpstreamTrack {
    pub fn new(entry: UpstreamEntry) -> Self {
        Self {
            came_free: entry.membership.is_none(),
            entry,
            is_listed: true,
            orders_begun: None,
            given: None,
            is_asked: false,
            asked_at: None,
            silent: 0,
            heard_at: Millis::ZERO,
            silent_at: Millis::ZERO,
            silent_since: None,
            unheard_at: None,
            quiet_at: None,
            is_gone: false,
            warm_model: None,
            staging: None,
            held_until: Millis::ZERO,
        }
    }

    pub fn target(&self) -> UpstreamTarget {
        UpstreamTarget {
            incarnation: self.entry.incarnation.clone(),
            addr: self.entry.addr,
        }
    }

    /// Takes over the entry of a later run. Nothing that was known of the earlier one counts, but for the time in
    /// which it is not to be used: that is for its old group, whose leader may still stand open.
    pub fn restart(&mut self, entry: UpstreamEntry) {
        *self = Self {
            held_until: self.held_until,
            came_free: self.came_free,
            is_listed: self.is_listed,
            ..Self::new(entry)
        };
    }

    /// Takes over what a later run says of itself before its entry shows it.
    pub fn restart_by_report(&mut self, report: &UpstreamReport) {
        let mut entry = self.entry.clone();
        entry.incarnation.started_at = report.born;
        entry.membership.clone_from(&report.membership);
        self.restart(entry);
    }

    /// Whether an order is on its way.
    pub fn is_ordered(&self) -> bool {
        self.given.as_ref().is_some_and(|given| !given.is_answered)
    }

    /// Whether its entry names this group and epoch.
    pub fn is_in(&self, group: &GroupId, epoch: u64) -> bool {
        let membership = self.entry.membership.as_ref();
        membership.is_some_and(|it| it.group == *group && it.epoch == epoch)
    }

    /// The model that it runs, holds or loads.
    pub fn model(&self) -> Option<&ModelName> {
        let staging = self.staging.as_ref().map(|(model, _)| model);
        let staging = staging.filter(|model| !model.as_str().is_empty());
        staging.or(self.entry.staged.last())
    }

    /// Whether it could join a group of the model without loading.
    pub fn holds(&self, model: &ModelName) -> bool {
        self.entry.staged.contains(model)
    }
}
