//! Calls to the entry VM that owns a claim.

use std::sync::Arc;

use bergamot_claims::{ClaimRequest, FinishOutcome, Verdict};
use bergamot_peer::{Answer, Question};
use bergamot_types::prelude::*;

use super::{FINISH_ATTEMPTS, FINISH_RETRY_DELAY};
use crate::duty::shared::SharedState;

pub(super) async fn claim_from_owner(
    shared: &Arc<SharedState>,
    owner: &EntryId,
    request: ClaimRequest,
) -> Verdict {
    let Some(addr) = shared.peer_addr(owner) else {
        return Verdict::Unavailable;
    };
    let (key, claimant) = (request.key, request.claimant.clone());
    match shared.ask_peer(addr, Question::Claim(request)).await {
        Some(Answer::Claim(verdict)) => verdict,
        _ => {
            // The owner may have granted the claim although its answer was lost. The request does not run,
            // so the grant is given back.
            let release = Question::Finish {
                key,
                claimant,
                outcome: FinishOutcome::NotRun,
            };
            tokio::spawn({
                let shared = Arc::clone(shared);
                let owner = owner.clone();
                async move { notify_owner(&shared, &owner, release).await }
            });
            Verdict::Unavailable
        }
    }
}

pub(super) async fn notify_owner(shared: &Arc<SharedState>, owner: &EntryId, question: Question) {
    for _ in 0..FINISH_ATTEMPTS {
        if let Some(addr) = shared.peer_addr(owner)
            && shared.ask_peer(addr, question.clone()).await.is_some()
        {
            return;
        }
        tokio::time::sleep(FINISH_RETRY_DELAY).await;
    }
    log::warn!("event=claim_outcome_not_told owner={owner}");
}
