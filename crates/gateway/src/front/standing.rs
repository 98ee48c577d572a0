//! Whether a request may be sent, given the upstreams that crashed while running it.

use bergamot_quarantine::RequestStanding;
use bergamot_types::prelude::*;

use super::FrontContext;
use super::attempt::SentRequest;
use super::refusal::{CallRefusal, RETURN_QUARANTINED};
use super::state::CallState;

/// Checks whether a request may be sent, for the first time or again. Returns the number that
/// selects its upstream if the request must be isolated from other suspected requests. Computes
/// digests of the body and the prompt parts only while a crash is recorded for any request.
pub fn check_standing<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
) -> Result<Option<u64>, CallRefusal> {
    let mut quarantine = front.shared.quarantine.lock();
    if quarantine.is_empty() {
        return Ok(None);
    }
    let refusal = CallRefusal::retry_in(ErrorKind::Quarantined, RETURN_QUARANTINED);
    if let Some(print) = quarantine.quarantined_part(request.part_prints()) {
        drop(quarantine);
        log::info!(
            "event=part_held_back request={} print={print} parts={} sends={}",
            request.call.id,
            request.part_list(),
            state.sends()
        );
        return Err(refusal);
    }
    let print = request.print();
    let standing = quarantine.standing(print);
    match standing {
        RequestStanding::Good => return Ok(None),
        RequestStanding::Suspected(isolation) if !(isolation.is_alone && state.may_have_run()) => {
            return Ok(Some(isolation.number));
        }
        RequestStanding::Suspected(_) | RequestStanding::Quarantined => {}
    }
    quarantine.record_rejection(front.now(), print);
    drop(quarantine);
    log::info!(
        "event=request_held_back request={} print={print} standing={standing:?} sends={}",
        request.call.id,
        state.sends()
    );
    Err(refusal)
}
