//! What the coordinator knows about one upstream besides its directory entry.

use bergamot_ports::{GroupOrder, UpstreamEntry, UpstreamReport, UpstreamTarget};
use bergamot_types::prelude::*;

/// An order that was sent and whose effect may not be visible yet.
#[derive(Clone, Debug)]
pub(crate) struct SentOrder {
    pub order: GroupOrder,
    pub sent_at: Millis,
    pub is_answered: bool,
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRecord {
    /// Its last directory entry.
    pub entry: UpstreamEntry,
    /// Whether the directory lists it now.
    pub is_listed: bool,
    /// Number of orders it has begun, if known.
    pub orders_begun: Option<u64>,
    /// The last order sent to it.
    pub last_order: Option<SentOrder>,
    /// Whether a query is pending.
    pub is_query_pending: bool,
    /// When the last query was sent.
    pub queried_at: Option<Millis>,
    /// Number of consecutive queries and orders that it did not answer.
    pub unanswered: u32,
    /// Whether no connection could be established when it last did not answer.
    pub is_unreachable: bool,
    /// When it last answered a query.
    pub answered_at: Millis,
    /// When a query to it last timed out.
    pub last_timeout_at: Millis,
    /// When its first query since the last answer timed out; none if it answers.
    pub unanswered_since: Option<Millis>,
    /// Value of the planner's `answer_count` when a query to it last timed out late; none once it
    /// has answered.
    pub answers_at_late_timeout: Option<u64>,
    /// When requests were last stalled at it as the leader of a group.
    pub stalled_at: Option<Millis>,
    /// Whether its process is known to have exited.
    pub has_exited: bool,
    /// The model of its last group. It joins a group of this model again within a fraction of a
    /// second.
    pub warm_model: Option<ModelName>,
    /// The model that is being staged, and since when.
    pub staging: Option<(ModelName, Millis)>,
    /// It is not used before this time, as the leader of its old group may still be open.
    pub held_until: Millis,
    /// Whether it had no group when this coordinator first saw it. Its earlier group is then
    /// unknown.
    pub was_free_at_discovery: bool,
}

impl UpstreamRecord {
    pub fn new(entry: UpstreamEntry) -> Self {
        Self {
            was_free_at_discovery: entry.membership.is_none(),
            entry,
            is_listed: true,
            orders_begun: None,
            last_order: None,
            is_query_pending: false,
            queried_at: None,
            unanswered: 0,
            is_unreachable: false,
            answered_at: Millis::ZERO,
            last_timeout_at: Millis::ZERO,
            unanswered_since: None,
            answers_at_late_timeout: None,
            stalled_at: None,
            has_exited: false,
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

    /// Replaces the entry with that of a later incarnation. Discards everything known about the
    /// earlier one except the end of its hold: the hold concerns the old group, whose leader may
    /// still be open.
    pub fn restart(&mut self, entry: UpstreamEntry) {
        *self = Self {
            held_until: self.held_until,
            was_free_at_discovery: self.was_free_at_discovery,
            is_listed: self.is_listed,
            ..Self::new(entry)
        };
    }

    /// Applies the report of a later incarnation before its directory entry is visible.
    pub fn restart_from_report(&mut self, report: &UpstreamReport) {
        let mut entry = self.entry.clone();
        entry.incarnation.started_at = report.born;
        entry.membership.clone_from(&report.membership);
        self.restart(entry);
    }

    /// Records that an order or a query was not answered.
    pub fn record_unanswered(&mut self, is_unreachable: bool, now: Millis) {
        self.unanswered += 1;
        self.is_unreachable = is_unreachable;
        self.last_timeout_at = now;
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether an order is pending.
    pub fn has_pending_order(&self) -> bool {
        self.last_order
            .as_ref()
            .is_some_and(|sent| !sent.is_answered)
    }

    /// Whether its entry shows it as a member of this group and epoch.
    pub fn is_member_of(&self, group: &GroupId, epoch: u64) -> bool {
        let membership = self.entry.membership.as_ref();
        membership.is_some_and(|membership| membership.group == *group && membership.epoch == epoch)
    }

    /// Returns the model that it runs, has staged or is loading.
    pub fn model(&self) -> Option<&ModelName> {
        let staging = self.staging.as_ref().map(|(model, _)| model);
        let staging = staging.filter(|model| !model.as_str().is_empty());
        staging.or(self.entry.staged.last())
    }

    /// Whether it could join a group of the model without a load.
    pub fn has_staged(&self, model: &ModelName) -> bool {
        self.entry.staged.contains(model)
    }
}
