//! Claims for requests that must run at most once, however often their caller retries them.

use std::sync::Arc;

use bergamot_claims::{ClaimKey, FinishOutcome, StoredAnswer, Verdict};
use bergamot_types::prelude::*;
use bytes::Bytes;
use hyper::StatusCode;
use tokio::sync::oneshot;

use super::FrontContext;
use super::answer::{
    CallerResponse, Refusal, full_response, mark_ran, mark_replayed, set_request_id,
};
use super::request::CallerRequest;
use crate::duty::{ClaimNote, ClaimsInbox};

/// Added to the time left until a request's deadline before its claim counts as lost.
const GRANT_MARGIN: Millis = Millis(5_000);

/// How long to retry a claim that its owner cannot decide yet before the request is rejected.
/// Roster changes settle within this time, and most first attempts complete.
const CLAIM_RETRY_LIMIT: Millis = Millis(1_500);
/// Delay between two tries to obtain a claim.
const CLAIM_RETRY_INTERVAL: Millis = Millis(100);

/// A granted claim. Its outcome is reported on drop, as unknown if none was recorded.
pub struct GrantedClaim {
    front: Arc<FrontContext>,
    key: ClaimKey,
    attempt: u64,
    outcome: Option<FinishOutcome>,
    _note: ClaimNote,
}

impl GrantedClaim {
    /// Records the outcome of the request, which is reported on drop.
    pub fn set_outcome(mut self, outcome: FinishOutcome) {
        self.outcome = Some(outcome);
    }

    /// Records the answer. Its body is stored for replays if it is small enough.
    pub fn record_answer(self, status: StatusCode, content_type: &str, body: Option<&[u8]>) {
        let max_bytes = self.front.shared.settings.tuning.max_kept_bytes;
        let body = body.filter(|body| body.len() <= max_bytes);
        let stored_answer = StoredAnswer {
            status: status.as_u16(),
            content_type: content_type.to_owned(),
            body: body.map(<[u8]>::to_vec),
        };
        self.set_outcome(FinishOutcome::Answered(Arc::new(stored_answer)));
    }

    /// Records a failure: not run if the error guarantees that, else unknown.
    pub fn record_failure(self, kind: ErrorKind) {
        self.set_outcome(match kind.response().ran {
            RanState::No => FinishOutcome::NotRun,
            RanState::Yes | RanState::Unknown => FinishOutcome::Unknown,
        });
    }
}

impl Drop for GrantedClaim {
    fn drop(&mut self) {
        let outcome = self.outcome.take().unwrap_or(FinishOutcome::Unknown);
        let finish_event = ClaimsInbox::Finish {
            key: self.key,
            attempt: self.attempt,
            outcome,
            note: self.front.shared.claim_note(),
        };
        if !self.front.shared.claims.push(finish_event) {
            log::warn!("event=claim_outcome_dropped key={:032x}", self.key.0);
        }
    }
}

/// The outcome of requesting a claim.
pub enum ClaimOutcome {
    /// The request may run. Its outcome must be recorded in the claim.
    Granted(GrantedClaim),
    /// The stored answer of an earlier attempt.
    Replay(CallerResponse),
    /// The request may run more than once, or its caller sent no idempotency key.
    NotNeeded,
}

/// Requests the claim for a non-idempotent request that has an idempotency key.
///
/// # Errors
/// The error for the verdict, if the request must not run.
pub async fn claim(
    front: &Arc<FrontContext>,
    request: &CallerRequest,
    account: &ClientAccount,
    is_idempotent: bool,
) -> Result<ClaimOutcome, Refusal> {
    let key = request.idempotency_key.as_deref();
    let Some(key) = key.filter(|_| !is_idempotent) else {
        return Ok(ClaimOutcome::NotNeeded);
    };
    let shared = &front.shared;
    let key = ClaimKey::of(account, key);
    let body = request_fingerprint(request);
    let (attempt, verdict) = claim_with_retries(front, request, key, body).await;
    let verdict_label = verdict_label_of(&verdict);
    shared
        .metrics
        .claims
        .with_label_values(&[verdict_label])
        .inc();
    if let Some(kind) = verdict.error() {
        return Err(kind.into());
    }
    let Verdict::Replay(stored_answer) = verdict else {
        return Ok(ClaimOutcome::Granted(GrantedClaim {
            front: Arc::clone(front),
            key,
            attempt,
            outcome: None,
            _note: shared.claim_note(),
        }));
    };
    Ok(ClaimOutcome::Replay(replay(&stored_answer, &request.id)))
}

/// Requests the claim until its owner decides or the time is up. Shortly after a roster change the
/// members may disagree on who owns a key. A first attempt may also be running, or the report of its
/// outcome may be on its way to the owner. None of these justifies rejecting a request that has time.
async fn claim_with_retries(
    front: &FrontContext,
    request: &CallerRequest,
    key: ClaimKey,
    body: u64,
) -> (u64, Verdict) {
    let clock = &front.shared.clock;
    let give_up_at = (clock.now() + CLAIM_RETRY_LIMIT).min(request.deadline);
    loop {
        let (attempt, verdict) = claim_once(front, request, key, body).await;
        let is_temporary = matches!(verdict, Verdict::Unavailable | Verdict::InProgress);
        if !is_temporary || clock.now() + CLAIM_RETRY_INTERVAL >= give_up_at {
            return (attempt, verdict);
        }
        tokio::time::sleep(CLAIM_RETRY_INTERVAL.as_duration()).await;
    }
}

async fn claim_once(
    front: &FrontContext,
    request: &CallerRequest,
    key: ClaimKey,
    body: u64,
) -> (u64, Verdict) {
    const NO_DECISION: (u64, Verdict) = (0, Verdict::Unavailable);
    let shared = &front.shared;
    let (verdict_sender, verdict_receiver) = oneshot::channel();
    let claim_event = ClaimsInbox::Ask {
        key,
        body,
        grant: request.deadline.since(shared.clock.now()) + GRANT_MARGIN,
        reply: verdict_sender,
    };
    match shared.claims.push(claim_event) {
        true => verdict_receiver.await.unwrap_or(NO_DECISION),
        false => NO_DECISION,
    }
}

fn request_fingerprint(request: &CallerRequest) -> u64 {
    let mut bytes = Vec::with_capacity(request.body.len() + request.path.len() + 16);
    for part in [
        request.method.as_str().as_bytes(),
        request.path.as_bytes(),
        request.query.as_deref().unwrap_or("").as_bytes(),
        &request.body,
    ] {
        bytes.extend_from_slice(part);
        bytes.push(0);
    }
    hash_bytes(&bytes)
}

fn replay(stored_answer: &StoredAnswer, id: &RequestId) -> CallerResponse {
    let status = StatusCode::from_u16(stored_answer.status).unwrap_or(StatusCode::OK);
    let body = match &stored_answer.body {
        Some(body) => Bytes::from(body.clone()),
        None => Bytes::from_static(b"{\"note\":\"the first answer was too large to keep\"}"),
    };
    let mut response = full_response(status, &stored_answer.content_type, body);
    mark_ran(&mut response);
    mark_replayed(&mut response);
    set_request_id(&mut response, id);
    response
}

fn verdict_label_of(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Granted => "granted",
        Verdict::Replay(_) => "kept",
        Verdict::InProgress => "in_progress",
        Verdict::KeyReused => "key_reused",
        Verdict::OutcomeUnknown => "outcome_unknown",
        Verdict::Unavailable => "unavailable",
        Verdict::Forgotten => "forgotten",
    }
}
