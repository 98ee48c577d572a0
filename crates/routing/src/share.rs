//! This entry VM's share of each account's limit.
//!
//! Every member of the roster has an equal base share, worked out from the record alone. A VM
//! with more demand borrows from one with less, for a bounded time: the lender gives up what it
//! lends before it answers and takes it back a margin after the borrower, whose clock started
//! with the question, has stopped using it. So the shares never sum to more than the limit, in a
//! partition or with lost or doubled messages. Lost answers only waste the share for that time.

use bergamot_roster::RosterRecord;
use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Times of lending.
#[derive(Clone, Debug)]
pub struct ShareOptions {
    /// How long a loan lasts for the borrower.
    pub loan: Millis,
    /// How much longer the lender does without it.
    pub margin: Millis,
    /// Time between two questions for one account.
    pub ask_period: Millis,
}

impl Default for ShareOptions {
    fn default() -> Self {
        Self {
            loan: Millis(5_000),
            margin: Millis(1_000),
            ask_period: Millis(500),
        }
    }
}

/// A question for a loan.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Borrow {
    /// Which account's limit.
    pub account: ClientAccount,
    /// Share of the limit that is wanted, 0 to 1.
    pub wanted: f64,
    /// The borrower's roster epoch.
    pub epoch: u64,
    /// The roll whose limits are meant.
    pub roll: u64,
    /// Names the question at the borrower, so that an answer counts once.
    pub serial: u64,
}

/// The answer to a [`Borrow`].
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Lend {
    /// Which account's limit.
    pub account: ClientAccount,
    /// The question's name.
    pub serial: u64,
    /// Share of the limit that is lent, 0 to 1.
    pub lent: f64,
    /// How long, from when the question was asked.
    pub loan: Millis,
}

#[derive(Clone, Debug)]
struct Loan {
    share: f64,
    until: Millis,
}

#[derive(Clone, Debug, Default)]
struct AccountShare {
    lent: Vec<Loan>,
    borrowed: Vec<Loan>,
    /// Smoothed share of the limit that is in use or asked for here.
    demand: f64,
    next_ask: Millis,
    /// Questions that were not answered yet.
    open: Vec<u64>,
}

/// The shares of one entry VM.
#[derive(Clone, Debug)]
pub struct LimitShares {
    options: ShareOptions,
    epoch: u64,
    base: f64,
    next_serial: u64,
    accounts: IndexMap<ClientAccount, AccountShare>,
}

/// Share of its own that a lender always keeps.
const KEPT_SHARE: f64 = 0.1;
/// How much of a new sample enters the smoothed demand.
const DEMAND_GAIN: f64 = 0.3;
/// Share that a VM without a base share asks for.
const NEWCOMER_SHARE: f64 = 0.05;
/// Questions whose answers are waited for.
const MAX_OPEN: usize = 32;
/// Spare share kept above the demand before lending.
const LEND_HEADROOM: f64 = 1.25;

impl LimitShares {
    /// The shares before any roster is known: none.
    pub fn new(options: ShareOptions) -> Self {
        Self {
            options,
            epoch: 0,
            base: 0.0,
            next_serial: 1,
            accounts: IndexMap::new(),
        }
    }

    /// The equal base share of `entry`, 0 to 1.
    ///
    /// A new member has none until every member has settled on an epoch it is in, as the others
    /// may still divide by the smaller number; the number divided by is the largest of any open
    /// epoch.
    pub fn base_share(record: &RosterRecord, entry: &EntryId) -> f64 {
        let is_settled = |m: &&bergamot_roster::Member| m.since <= record.settled;
        let settled = record.members.iter().filter(is_settled);
        let is_in = settled.clone().any(|member| member.entry == *entry);
        let gone_since = record
            .departed
            .iter()
            .filter(|departed| departed.member.since <= record.settled)
            .count();
        let divisor = settled.count() + gone_since;
        match is_in {
            true => 1.0 / divisor.max(1) as f64,
            false => 0.0,
        }
    }

    /// Takes over a new roster.
    pub fn set_roster(&mut self, record: &RosterRecord, me: &EntryId) {
        self.epoch = record.epoch;
        self.base = Self::base_share(record, me);
    }

    /// Notes how much of the limit is asked for here, as a share of the whole limit.
    pub fn note_demand(&mut self, account: &ClientAccount, share: f64) {
        let state = self.accounts.entry(account.clone()).or_default();
        state.demand += (share - state.demand) * DEMAND_GAIN;
    }

    /// The share this VM may use now, 0 to 1.
    pub fn share(&self, now: Millis, account: &ClientAccount) -> f64 {
        let Some(state) = self.accounts.get(account) else {
            return self.base;
        };
        let lent: f64 = live(&state.lent, now);
        let borrowed: f64 = live(&state.borrowed, now);
        (self.base - lent).max(0.0) + borrowed
    }

    /// The share this VM could lend now.
    pub fn slack(&self, now: Millis, account: &ClientAccount) -> f64 {
        let Some(state) = self.accounts.get(account) else {
            return self.base * (1.0 - KEPT_SHARE);
        };
        let lent: f64 = live(&state.lent, now);
        let needed = (state.demand * LEND_HEADROOM).max(self.base * KEPT_SHARE);
        (self.base - lent - needed).max(0.0)
    }

    /// The loan to ask for now, if there is more demand than share.
    pub fn wish(&mut self, now: Millis, account: &ClientAccount, roll: u64) -> Option<Borrow> {
        let share = self.share(now + self.options.ask_period, account);
        let epoch = self.epoch;
        let is_newcomer = self.base == 0.0;
        let state = match is_newcomer {
            true => self.accounts.entry(account.clone()).or_default(),
            false => self.accounts.get_mut(account)?,
        };
        // Without a share of its own a VM asks before its first caller comes.
        let least = if is_newcomer { NEWCOMER_SHARE } else { 0.0 };
        let wanted = (state.demand * LEND_HEADROOM).max(least) - share;
        if wanted <= 0.0 || now < state.next_ask {
            return None;
        }
        state.next_ask = now + self.options.ask_period;
        Some(Borrow {
            account: account.clone(),
            wanted: wanted.min(1.0),
            epoch,
            roll,
            serial: 0,
        })
    }

    /// The question for part of a wish, to be put to one lender.
    pub fn ask(&mut self, wish: &Borrow, wanted: f64) -> Borrow {
        let serial = self.next_serial;
        self.next_serial += 1;
        let state = self.accounts.entry(wish.account.clone()).or_default();
        // Answers that never came are forgotten, the oldest first.
        let excess = (state.open.len() + 1).saturating_sub(MAX_OPEN);
        state.open.drain(..excess);
        state.open.push(serial);
        Borrow {
            wanted,
            serial,
            ..wish.clone()
        }
    }

    /// Answers a question: what is lent is given up first, until after the borrower has stopped.
    pub fn lend(&mut self, now: Millis, question: &Borrow, roll: u64) -> Lend {
        let account = question.account.clone();
        let is_agreed = question.epoch == self.epoch && question.roll == roll;
        let lent = match is_agreed {
            true => self.slack(now, &account).min(question.wanted.max(0.0)),
            false => 0.0,
        };
        if lent > 0.0 && !is_on(Mutation::UseLentShare) {
            let state = self.accounts.entry(account.clone()).or_default();
            state.lent.retain(|loan| loan.until > now);
            state.lent.push(Loan {
                share: lent,
                until: now + self.options.loan + self.options.margin,
            });
        }
        Lend {
            account,
            serial: question.serial,
            lent,
            loan: self.options.loan,
        }
    }

    /// Takes an answer to a question asked at `asked`.
    pub fn take_lend(&mut self, now: Millis, asked: Millis, answer: &Lend) {
        let until = asked + answer.loan.min(self.options.loan);
        if until <= now || answer.lent <= 0.0 {
            return;
        }
        let state = self.accounts.entry(answer.account.clone()).or_default();
        let Some(index) = state.open.iter().position(|open| *open == answer.serial) else {
            return;
        };
        state.open.remove(index);
        state.borrowed.retain(|loan| loan.until > now);
        state.borrowed.push(Loan {
            share: answer.lent,
            until,
        });
    }
}

fn live(loans: &[Loan], now: Millis) -> f64 {
    loans
        .iter()
        .filter(|loan| loan.until > now)
        .map(|loan| loan.share)
        .sum()
}
