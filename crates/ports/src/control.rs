//! Reports of upstreams and orders to them.

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_types::prelude::*;

use crate::directory::GroupMembership;

/// The upstream a question or an order is meant for.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct UpstreamTarget {
    /// Which run of it. Another upstream at its address refuses; a later run of its own may take what was meant
    /// for this one, and is told apart by the number of orders it has begun.
    pub incarnation: UpstreamIncarnation,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// What an upstream said of itself.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct UpstreamReport {
    /// When the run that answers started, if it says so.
    pub born: Option<UnixMillis>,
    /// Orders that it has begun since its start.
    pub orders_begun: u64,
    /// Whether an order is in progress, such as a load.
    pub is_busy: bool,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// The group it belongs to.
    pub membership: Option<GroupMembership>,
}

/// Something an upstream is told to do.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum GroupOrder {
    /// Join a group; the first of the members leads.
    Join {
        /// The group.
        group: GroupId,
        /// Which list of members this is.
        epoch: u64,
        /// What to run.
        model: ModelName,
        /// All members in order of rank.
        members: Vec<UpstreamId>,
    },
    /// Begin to take requests, as the leader.
    Open {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
    },
    /// Take no more requests, as the leader.
    Close {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
        /// Whether what is in flight is cut rather than ended.
        is_cut: bool,
    },
    /// Leave the group at once.
    Leave {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
    },
    /// Load a model onto the host without joining a group.
    Stage {
        /// What to load.
        model: ModelName,
    },
}

impl GroupOrder {
    /// The order's name in logs and metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { is_cut: true, .. } => "close_cut",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }

    /// The group it is about.
    pub const fn group(&self) -> Option<&GroupId> {
        match self {
            Self::Join { group, .. }
            | Self::Open { group, .. }
            | Self::Close { group, .. }
            | Self::Leave { group, .. } => Some(group),
            Self::Stage { .. } => None,
        }
    }
}

/// An order with the numbers that fence it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct OrderRequest {
    /// Who is told.
    pub target: UpstreamTarget,
    /// What to do.
    pub order: GroupOrder,
    /// The coordinator's fencing number. Lower ones than seen are refused.
    pub fence: u64,
    /// Orders the upstream must have begun so far; any other number refuses, so that an order
    /// that is delivered late finds itself out of date.
    pub expected: Option<u64>,
}

/// What became of an order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum OrderOutcome {
    /// It has begun.
    Begun,
    /// What it asks for holds already.
    Holds,
    /// It does not fit the upstream's state, or its number of orders.
    Unfit,
    /// A higher fencing number was seen.
    Fenced,
    /// It does not know the order, or cannot read it.
    Refused(u16),
    /// Another upstream listens there: this one is gone. A refused connection does not show that, as a
    /// partition may refuse connections too.
    Gone,
    /// No answer: it may have begun, or may yet.
    Unknown(String),
    /// The same, but this process stood still while it waited, or before it could send the order: that says nothing of
    /// the upstream.
    Unheard,
}

/// Why there is no report.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ControlError {
    /// Another upstream listens there: this one is gone.
    #[error("another upstream listens there")]
    Gone,
    /// No answer in time.
    #[error("the upstream is silent: {0}")]
    Silent(String),
    /// The answer cannot be read.
    #[error("the report cannot be read: {0}")]
    Malformed(String),
}

/// A client of the upstreams' control side. One call each, no retries.
#[allow(async_fn_in_trait)]
pub trait UpstreamControl {
    /// Time for a report.
    const REPORT_TIME: Duration;
    /// Time for the answer to an order.
    const ORDER_TIME: Duration;

    /// Asks for a report.
    ///
    /// # Errors
    /// See [`ControlError`].
    async fn report(&self, target: &UpstreamTarget) -> Result<UpstreamReport, ControlError>;

    /// Gives an order.
    async fn order(&self, request: &OrderRequest) -> OrderOutcome;
}
