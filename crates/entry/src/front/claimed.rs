//! Requests that must run at most once over all repeats of their caller.

use std::sync::Arc;

use bergamot_claims::{ClaimKey, FinishOutcome, StoredAnswer, Verdict};
use bergamot_types::prelude::*;
use bytes::Bytes;
use hyper::StatusCode;
use tokio::sync::oneshot;

use super::FrontContext;
use super::answer::{CallerAnswer, Refusal, mark_ran, mark_replayed, name_request, whole};
use super::request::CallerRequest;
use crate::duty::{ClaimNote, ClaimsInbox};

/// What is added to a request's own time before its claim counts as lost.
const GRANT_MARGIN: Millis = Millis(5_000);

/// How long an owner that cannot answer yet is asked again before the request is refused. Roster
/// changes settle within it, and most first attempts end.
const ASK_PATIENCE: Millis = Millis(1_500);
/// Time between two of those questions.
const ASK_RETRY: Millis = Millis(100);

/// A granted claim. Its end must be told; dropped without, it counts as unknown.
pub struct GrantedClaim {
    front: Arc<FrontContext>,
    key: ClaimKey,
    attempt: u64,
    outcome: Option<FinishOutcome>,
    _note: ClaimNote,
}

impl GrantedClaim {
    /// Notes how the request ended, to be told at the end.
    pub fn end(mut self, outcome: FinishOutcome) {
        self.outcome = Some(outcome);
    }

    /// Notes the answer, to be kept if it is small enough.
    pub fn answered(self, status: StatusCode, content_type: &str, body: Option<&[u8]>) {
        let most = self.front.shared.settings.tuning.max_kept_bytes;
        let body = body.filter(|body| body.len() <= most);
        let answer = StoredAnswer {
            status: status.as_u16(),
            content_type: content_type.to_owned(),
            body: body.map(<[u8]>::to_vec),
        };
        self.end(FinishOutcome::Answered(Arc::new(answer)));
    }

    /// Notes a failure: truly not run, or unknown.
    pub fn failed(self, kind: ErrorKind) {
        self.end(match kind.response().ran {
            RanState::No => FinishOutcome::NotRun,
            RanState::Yes | RanState::Unknown => FinishOutcome::Unknown,
        });
    }
}

impl Drop for GrantedClaim {
    fn drop(&mut self) {
        let outcome = self.outcome.take().unwrap_or(FinishOutcome::Unknown);
        let item = ClaimsInbox::Finish {
            key: self.key,
            attempt: self.attempt,
            outcome,
            note: self.front.shared.claim_note(),
        };
        if !self.front.shared.claims.push(item) {
            log::warn!("event=claim_outcome_dropped key={:032x}", self.key.0);
        }
    }
}

/// The outcome of asking for a claim.
pub enum ClaimOutcome {
    /// Run it, and tell how it ended.
    Granted(GrantedClaim),
    /// The first answer.
    Replay(CallerAnswer),
    /// It may run twice, or its caller named no key.
    NotNeeded,
}

/// Asks for the claim of a non-idempotent request with a key.
///
/// # Errors
/// The verdict, if the request must not run.
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
    let body = fingerprint(request);
    let (attempt, verdict) = ask_patiently(front, request, key, body).await;
    let name = verdict_name(&verdict);
    shared.metrics.claims.with_label_values(&[name]).inc();
    if let Some(kind) = verdict.error() {
        return Err(kind.into());
    }
    let Verdict::Replay(kept) = verdict else {
        return Ok(ClaimOutcome::Granted(GrantedClaim {
            front: Arc::clone(front),
            key,
            attempt,
            outcome: None,
            _note: shared.claim_note(),
        }));
    };
    Ok(ClaimOutcome::Replay(replay(&kept, &request.id)))
}

/// Asks until there is a word. For a moment after each change of the roster its members do not
/// agree on who owns a key, and a first attempt may still run, or word of its end may be on its
/// way to the owner: no reason to refuse a request that has time.
async fn ask_patiently(
    front: &FrontContext,
    request: &CallerRequest,
    key: ClaimKey,
    body: u64,
) -> (u64, Verdict) {
    let clock = &front.shared.clock;
    let give_up = (clock.now() + ASK_PATIENCE).min(request.deadline);
    loop {
        let (attempt, verdict) = ask_once(front, request, key, body).await;
        let may_change = matches!(verdict, Verdict::Unavailable | Verdict::InProgress);
        if !may_change || clock.now() + ASK_RETRY >= give_up {
            return (attempt, verdict);
        }
        tokio::time::sleep(ASK_RETRY.as_duration()).await;
    }
}

async fn ask_once(
    front: &FrontContext,
    request: &CallerRequest,
    key: ClaimKey,
    body: u64,
) -> (u64, Verdict) {
    const NOT_ASKED: (u64, Verdict) = (0, Verdict::Unavailable);
    let shared = &front.shared;
    let (sender, receiver) = oneshot::channel();
    let ask = ClaimsInbox::Ask {
        key,
        body,
        grant: request.deadline.since(shared.clock.now()) + GRANT_MARGIN,
        reply: sender,
    };
    match shared.claims.push(ask) {
        true => receiver.await.unwrap_or(NOT_ASKED),
        false => NOT_ASKED,
    }
}

fn fingerprint(request: &CallerRequest) -> u64 {
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

fn replay(kept: &StoredAnswer, id: &RequestId) -> CallerAnswer {
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    let body = match &kept.body {
        Some(body) => Bytes::from(body.clone()),
        None => Bytes::from_static(b"{\"note\":\"the first answer was too large to keep\"}"),
    };
    let mut answer = whole(status, &kept.content_type, body);
    mark_ran(&mut answer);
    mark_replayed(&mut answer);
    name_request(&mut answer, id);
    answer
}

fn verdict_name(verdict: &Verdict) -> &'static str {
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
