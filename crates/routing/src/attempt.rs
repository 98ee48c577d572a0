//! One attempt at one upstream, as a typestate: what may be done depends on whether anything was
//! sent, and the compiler knows which.

use std::marker::PhantomData;

use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;

/// Nothing has left for the upstream.
#[derive(Debug)]
pub struct NotSent;
/// The first byte has left, or may have.
#[derive(Debug)]
pub struct Sent;
/// The upstream has answered in full.
#[derive(Debug)]
pub struct Answered;

/// An attempt in one of its states.
#[derive(Debug)]
pub struct Attempt<State> {
    upstream: UpstreamId,
    is_idempotent: bool,
    state: PhantomData<State>,
}

/// How an attempt that was sent ended without a whole answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SentOutcome {
    /// The upstream said that it did not run the request.
    RefusedNotRun,
    /// The connection could not be made, so nothing was sent after all.
    NeverConnected,
    /// The upstream broke off, timed out or failed.
    Broken,
}

/// What may be done after a failed attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum NextStep {
    /// Another upstream may be tried.
    MayRetry,
    /// The request must not be sent again; it may have run.
    OutcomeUnknown,
}

impl Attempt<NotSent> {
    /// Plans an attempt at `upstream`.
    pub fn plan(upstream: UpstreamId, is_idempotent: bool) -> Self {
        Self {
            upstream,
            is_idempotent,
            state: PhantomData,
        }
    }

    /// Notes that bytes are about to leave.
    pub fn send(self) -> Attempt<Sent> {
        self.into_state()
    }
}

impl Attempt<Sent> {
    /// Notes the whole answer.
    pub fn answered(self) -> Attempt<Answered> {
        self.into_state()
    }

    /// Says what may be done after a failure. Consumes the attempt: it is never sent again.
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
    /// The upstream tried.
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
