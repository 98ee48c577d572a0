//! This entry VM's share of each client account's limit.
//!
//! Every member of the roster has an equal base share, computed from the roster record alone. A VM
//! with more demand borrows from one with less for a bounded time. The lender gives up the lent
//! share before it replies. The borrower counts the time from its request, and the lender takes the
//! share back a margin after the borrower has stopped using it. So the shares never sum to more
//! than the limit, even during a partition or with lost or duplicated messages. A lost reply only
//! wastes the share for that time.

use bergamot_roster::RosterRecord;
use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Timing of loans.
#[derive(Clone, Debug)]
pub struct ShareOptions {
    /// How long the borrower may use a loan.
    pub loan: Millis,
    /// How much longer the lender goes without the lent share.
    pub margin: Millis,
    /// Shortest time between two requests for the same account.
    pub request_period: Millis,
}

impl Default for ShareOptions {
    fn default() -> Self {
        Self {
            loan: Millis(5_000),
            margin: Millis(1_000),
            request_period: Millis(500),
        }
    }
}

/// A request for a loan.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The account whose limit is shared.
    pub account: ClientAccount,
    /// Requested share of the limit, 0 to 1.
    pub wanted: f64,
    /// Roster epoch of the borrower.
    pub epoch: u64,
    /// The roll that defines the limits.
    pub roll: u64,
    /// Identifies the request at the borrower, so that a reply is applied only once.
    pub serial: u64,
}

/// The reply to a [`LoanRequest`].
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct LoanReply {
    /// The account whose limit is shared.
    pub account: ClientAccount,
    /// The serial of the request.
    pub serial: u64,
    /// Share of the limit that is lent, 0 to 1.
    pub lent: f64,
    /// Duration of the loan, counted from the request.
    pub loan: Millis,
}

#[derive(Clone, Debug)]
struct Loan {
    share: f64,
    expires_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct AccountShare {
    lent_loans: Vec<Loan>,
    borrowed_loans: Vec<Loan>,
    /// Smoothed share of the limit that is used or requested on this VM.
    demand: f64,
    next_request_at: Millis,
    /// Serials of requests without a reply.
    pending_serials: Vec<u64>,
}

/// The limit shares of one entry VM.
#[derive(Clone, Debug)]
pub struct LimitShares {
    options: ShareOptions,
    epoch: u64,
    base: f64,
    next_serial: u64,
    accounts: IndexMap<ClientAccount, AccountShare>,
}

/// Fraction of the base share that a lender always keeps.
const RESERVED_FRACTION: f64 = 0.1;
/// Weight of a new sample in the smoothed demand.
const DEMAND_WEIGHT: f64 = 0.3;
/// Share that a VM without a base share requests.
const NEW_MEMBER_SHARE: f64 = 0.05;
/// Largest number of requests that await a reply.
const MAX_PENDING_REQUESTS: usize = 32;
/// Factor on the demand that gives the share a VM keeps for itself before it lends.
const DEMAND_HEADROOM: f64 = 1.25;

impl LimitShares {
    /// Creates the shares before any roster is known; all are zero.
    pub fn new(options: ShareOptions) -> Self {
        Self {
            options,
            epoch: 0,
            base: 0.0,
            next_serial: 1,
            accounts: IndexMap::new(),
        }
    }

    /// Returns the equal base share of `entry`, 0 to 1.
    ///
    /// A new member has no base share until every member has settled on an epoch that includes it,
    /// as the others may still divide by the smaller count. The divisor is the largest member count
    /// of any epoch that is still in use.
    pub fn base_share(record: &RosterRecord, entry: &EntryId) -> f64 {
        let is_settled = |member: &&bergamot_roster::Member| member.since <= record.settled;
        let settled = record.members.iter().filter(is_settled);
        let is_settled_member = settled.clone().any(|member| member.entry == *entry);
        let departed_count = record
            .departed
            .iter()
            .filter(|departed| departed.member.since <= record.settled)
            .count();
        let divisor = settled.count() + departed_count;
        match is_settled_member {
            true => 1.0 / divisor.max(1) as f64,
            false => 0.0,
        }
    }

    /// Applies a new roster.
    pub fn set_roster(&mut self, record: &RosterRecord, own: &EntryId) {
        self.epoch = record.epoch;
        self.base = Self::base_share(record, own);
    }

    /// Records the demand on this VM, as a share of the whole limit.
    pub fn record_demand(&mut self, account: &ClientAccount, share: f64) {
        let state = self.accounts.entry(account.clone()).or_default();
        state.demand += (share - state.demand) * DEMAND_WEIGHT;
    }

    /// Returns the share that this VM may use now, 0 to 1.
    pub fn share(&self, now: Millis, account: &ClientAccount) -> f64 {
        let Some(state) = self.accounts.get(account) else {
            return self.base;
        };
        let lent: f64 = active_share(&state.lent_loans, now);
        let borrowed: f64 = active_share(&state.borrowed_loans, now);
        (self.base - lent).max(0.0) + borrowed
    }

    /// Returns the share that this VM could lend now.
    pub fn slack(&self, now: Millis, account: &ClientAccount) -> f64 {
        let Some(state) = self.accounts.get(account) else {
            return self.base * (1.0 - RESERVED_FRACTION);
        };
        let lent: f64 = active_share(&state.lent_loans, now);
        let needed = (state.demand * DEMAND_HEADROOM).max(self.base * RESERVED_FRACTION);
        (self.base - lent - needed).max(0.0)
    }

    /// Returns the loan to request now if the demand exceeds the share.
    pub fn needed_loan(
        &mut self,
        now: Millis,
        account: &ClientAccount,
        roll: u64,
    ) -> Option<LoanRequest> {
        let share = self.share(now + self.options.request_period, account);
        let epoch = self.epoch;
        let is_new_member = self.base == 0.0;
        let state = match is_new_member {
            true => self.accounts.entry(account.clone()).or_default(),
            false => self.accounts.get_mut(account)?,
        };
        // A VM without a base share requests a loan before its first caller arrives.
        let min_share = if is_new_member { NEW_MEMBER_SHARE } else { 0.0 };
        let wanted = (state.demand * DEMAND_HEADROOM).max(min_share) - share;
        if wanted <= 0.0 || now < state.next_request_at {
            return None;
        }
        state.next_request_at = now + self.options.request_period;
        Some(LoanRequest {
            account: account.clone(),
            wanted: wanted.min(1.0),
            epoch,
            roll,
            serial: 0,
        })
    }

    /// Creates the request to one lender for part of a needed loan.
    pub fn request_loan(&mut self, needed_loan: &LoanRequest, wanted: f64) -> LoanRequest {
        let serial = self.next_serial;
        self.next_serial += 1;
        let state = self
            .accounts
            .entry(needed_loan.account.clone())
            .or_default();
        // Drops the oldest requests that never got a reply.
        let excess = (state.pending_serials.len() + 1).saturating_sub(MAX_PENDING_REQUESTS);
        state.pending_serials.drain(..excess);
        state.pending_serials.push(serial);
        LoanRequest {
            wanted,
            serial,
            ..needed_loan.clone()
        }
    }

    /// Replies to a request. A lent share is given up first, until after the borrower has stopped
    /// using it.
    pub fn lend(&mut self, now: Millis, request: &LoanRequest, roll: u64) -> LoanReply {
        let account = request.account.clone();
        let is_same_roster_and_roll = request.epoch == self.epoch && request.roll == roll;
        let lent = match is_same_roster_and_roll {
            true => self.slack(now, &account).min(request.wanted.max(0.0)),
            false => 0.0,
        };
        if lent > 0.0 && !is_on(Mutation::UseLentShare) {
            let state = self.accounts.entry(account.clone()).or_default();
            state.lent_loans.retain(|loan| loan.expires_at > now);
            state.lent_loans.push(Loan {
                share: lent,
                expires_at: now + self.options.loan + self.options.margin,
            });
        }
        LoanReply {
            account,
            serial: request.serial,
            lent,
            loan: self.options.loan,
        }
    }

    /// Applies the reply to a request that was sent at `requested_at`.
    pub fn accept_loan(&mut self, now: Millis, requested_at: Millis, reply: &LoanReply) {
        let expires_at = requested_at + reply.loan.min(self.options.loan);
        if expires_at <= now || reply.lent <= 0.0 {
            return;
        }
        let state = self.accounts.entry(reply.account.clone()).or_default();
        let Some(index) = state
            .pending_serials
            .iter()
            .position(|serial| *serial == reply.serial)
        else {
            return;
        };
        state.pending_serials.remove(index);
        state.borrowed_loans.retain(|loan| loan.expires_at > now);
        state.borrowed_loans.push(Loan {
            share: reply.lent,
            expires_at,
        });
    }
}

fn active_share(loans: &[Loan], now: Millis) -> f64 {
    loans
        .iter()
        .filter(|loan| loan.expires_at > now)
        .map(|loan| loan.share)
        .sum()
}
