//! Whether a request may be sent, by the upstreams that ended under it.

use bergamot_quarantine::RequestStanding;
use bergamot_types::prelude::*;

use super::FrontContext;
use super::attempt::SentRequest;
use super::refusal::{CallRefusal, RETURN_QUARANTINED};
use super::state::CallState;

/// Whether a request may be sent, for the first time or once more, and its place among the upstreams if it is to be kept
/// apart from others there. Costs a digest of the body while anything is held against any request, and nothing
/// otherwise.
pub fn check_standing<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
) -> Result<Option<u64>, CallRefusal> {
    let mut quarantine = front.shared.quarantine.lock();
    if quarantine.is_empty() {
        return Ok(None);
    }
    let print = request.print();
    let standing = quarantine.standing(print);
    match standing {
        RequestStanding::Good => return Ok(None),
        RequestStanding::Suspected(place) if !(place.is_alone && state.may_have_run()) => {
            return Ok(Some(place.number));
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
    Err(CallRefusal::retry_in(
        ErrorKind::Quarantined,
        RETURN_QUARANTINED,
    ))
}
