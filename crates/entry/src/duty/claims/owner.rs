//! Questions to the owner of a claim.

use std::sync::Arc;

use bergamot_claims::{ClaimRequest, FinishOutcome, Verdict};
use bergamot_peer::{Answer, Question};
use bergamot_types::prelude::*;

use super::{FINISH_RETRY, FINISH_TRIES};
use crate::duty::shared::SharedState;

pub(super) async fn ask_owner(
    shared: &Arc<SharedState>,
    owner: &EntryId,
    question: ClaimRequest,
) -> Verdict {
    let Some(addr) = shared.peer_addr(owner) else {
        return Verdict::Unavailable;
    };
    let (key, claimant) = (question.key, question.claimant.clone());
    match shared.ask_peer(addr, Question::Claim(question)).await {
        Some(Answer::Claim(verdict)) => verdict,
        _ => {
            // The claim may have been granted all the same. It will not be used: say so.
            let undo = Question::Finish {
                key,
                claimant,
                outcome: FinishOutcome::NotRun,
            };
            tokio::spawn({
                let shared = Arc::clone(shared);
                let owner = owner.clone();
                async move { tell_owner(&shared, &owner, undo).await }
            });
            Verdict::Unavailable
        }
    }
}

pub(super) async fn tell_owner(shared: &Arc<SharedState>, owner: &EntryId, question: Question) {
    for _ in 0..FINISH_TRIES {
        if let Some(addr) = shared.peer_addr(owner)
            && shared.ask_peer(addr, question.clone()).await.is_some()
        {
            return;
        }
        tokio::time::sleep(FINISH_RETRY).await;
    }
    log::warn!("event=claim_outcome_not_told owner={owner}");
}
