//! Reports from upstreams and orders to upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_types::prelude::*;

use crate::directory::GroupMembership;

/// The upstream to query or to send an order to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct UpstreamTarget {
    /// The incarnation of the upstream. Another upstream at the same address rejects the call. A
    /// later incarnation of the same upstream may accept it; the number of orders begun tells them
    /// apart.
    pub incarnation: UpstreamIncarnation,
    /// The address it listens on.
    pub addr: SocketAddr,
}

/// An upstream's report on its own state.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct UpstreamReport {
    /// When the answering incarnation started, if it advertises that.
    pub born: Option<UnixMillis>,
    /// Number of orders it has begun since its start.
    pub orders_begun: u64,
    /// Whether an order is in progress, for example a weight load.
    pub is_busy: bool,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// The group it is a member of.
    pub membership: Option<GroupMembership>,
}

/// An order to an upstream.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum GroupOrder {
    /// Join a group. The first member is the leader.
    Join {
        /// The group.
        group: GroupId,
        /// The version of the member list.
        epoch: u64,
        /// The model to run.
        model: ModelName,
        /// All members by rank.
        members: Vec<UpstreamId>,
    },
    /// As the leader, start accepting requests.
    Open {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
    },
    /// As the leader, stop accepting requests.
    Close {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
        /// Whether requests in flight are aborted instead of finished.
        aborts_in_flight: bool,
    },
    /// Leave the group immediately.
    Leave {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
    },
    /// Load the weights of a model onto the host without joining a group.
    Stage {
        /// The model to load.
        model: ModelName,
    },
}

impl GroupOrder {
    /// Returns the name of the order in logs and metrics.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close {
                aborts_in_flight: true,
                ..
            } => "close_cut",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }

    /// Returns the group that the order concerns.
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

/// An order with its fencing numbers.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct OrderRequest {
    /// The upstream that receives the order.
    pub target: UpstreamTarget,
    /// The order.
    pub order: GroupOrder,
    /// The coordinator's fencing number. Upstreams reject numbers below the highest one they have
    /// seen.
    pub fence: u64,
    /// Number of orders that the upstream must have begun so far. It rejects the order on a
    /// mismatch, so that an order that is delivered late has no effect.
    pub expected: Option<u64>,
}

/// Outcome of an order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum OrderOutcome {
    /// The upstream has begun the order.
    Begun,
    /// The upstream is already in the requested state.
    Holds,
    /// The order does not match the upstream's state or its number of orders begun.
    Unfit,
    /// The upstream has seen a higher fencing number.
    Fenced,
    /// The upstream does not know the order or cannot parse it. Holds the HTTP status.
    Refused(u16),
    /// Another upstream listens at the address, so the target has crashed or left. A refused
    /// connection is no proof of that, as a partition may also refuse connections.
    Gone,
    /// No answer: the upstream may have begun the order, or may still begin it.
    Unknown(String),
    /// As [`OrderOutcome::Unknown`], but this process was paused while it waited or before it sent
    /// the order, so the missing answer says nothing about the upstream.
    Unheard,
}

/// Reasons why no report was received.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ControlError {
    /// Another upstream listens at the address, so the target has crashed or left.
    #[error("another upstream listens there")]
    Gone,
    /// No connection was established, nor did an answer arrive within the timeout: nothing shows that
    /// the process still runs.
    #[error("the upstream is not reachable: {0}")]
    Unreachable(String),
    /// No answer within the timeout, although connections to the upstream are established. It may be
    /// at work and go on.
    #[error("the upstream is silent: {0}")]
    NoAnswer(String),
    /// The answer cannot be parsed.
    #[error("the report cannot be read: {0}")]
    Malformed(String),
}

/// Client for the control interface of upstreams. Each method makes one call, without retries.
#[allow(async_fn_in_trait)]
pub trait UpstreamControl {
    /// Timeout of a report request.
    const REPORT_TIMEOUT: Duration;
    /// Timeout of an order.
    const ORDER_TIMEOUT: Duration;

    /// Requests a report.
    ///
    /// # Errors
    /// See [`ControlError`].
    async fn report(&self, target: &UpstreamTarget) -> Result<UpstreamReport, ControlError>;

    /// Sends an order.
    async fn order(&self, request: &OrderRequest) -> OrderOutcome;
}
