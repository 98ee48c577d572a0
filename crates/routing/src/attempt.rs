//! One attempt to send a request to an upstream, as a typestate: the compiler knows whether any
//! bytes were sent, and so which operations are allowed.

use std::marker::PhantomData;

use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;

/// Nothing was sent to the upstream.
#[derive(Debug)]
pub struct NotSent;
/// The first byte was sent, or may have been.
#[derive(Debug)]
pub struct Sent;
/// The upstream answered in full.
#[derive(Debug)]
pub struct Answered;

/// An attempt in one of its states.
#[derive(Debug)]
pub struct Attempt<State> {
    upstream: UpstreamId,
    is_idempotent: bool,
    state: PhantomData<State>,
}

/// How an attempt that was sent ended without a complete answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SentOutcome {
    /// The upstream stated that it did not run the request.
    RefusedNotRun,
    /// The connection could not be established, so nothing was sent.
    NeverConnected,
    /// The upstream broke off, timed out or failed.
    Broken,
}

/// What may be done after a failed attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NextStep {
    /// The request may be sent to another upstream.
    MayRetry,
    /// The request must not be sent again, as it may have run.
    OutcomeUnknown,
}

impl Attempt<NotSent> {
    /// Creates an attempt at `upstream` that was not sent yet.
    pub fn plan(upstream: UpstreamId, is_idempotent: bool) -> Self {
        Self {
            upstream,
            is_idempotent,
            state: PhantomData,
        }
    }

    /// Marks the attempt as sent. Called before the first byte is written.
    pub fn send(self) -> Attempt<Sent> {
        self.into_state()
    }
}

impl Attempt<Sent> {
    /// Marks the attempt as answered in full.
    pub fn answered(self) -> Attempt<Answered> {
        self.into_state()
    }

    /// Returns what may be done after a failure. Consumes the attempt, so that it cannot be sent
    /// again.
    pub fn failed(self, outcome: SentOutcome) -> NextStep {
        match outcome {
            SentOutcome::RefusedNotRun | SentOutcome::NeverConnected => NextStep::MayRetry,
            SentOutcome::Broken if is_on(Mutation::ReportFailedAsNotRun) => NextStep::MayRetry,
            SentOutcome::Broken if self.is_idempotent => NextStep::MayRetry,
            SentOutcome::Broken => NextStep::OutcomeUnknown,
        }
    }
}

impl<State> Attempt<State> {
    /// Returns the upstream of this attempt.
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    fn into_state<Next>(self) -> Attempt<Next> {
        Attempt {
            upstream: self.upstream,
            is_idempotent: self.is_idempotent,
            state: PhantomData,
        }
    }
}
