//! Whether a request may be sent, by the upstreams that ended under it.

use bergamot_quarantine::RequestStanding;
use bergamot_types::prelude::*;

use super::FrontContext;
use super::attempt::SentRequest;
use super::refusal::{CallRefusal, RETURN_QUARANTINED};
use super::state::CallState;

/// Whether a request may be sent, for the first time or once more. Costs a digest of the body while anything is held
/// against any request, and nothing otherwise.
pub fn check_standing<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
) -> Result<(), CallRefusal> {
    let mut quarantine = front.shared.quarantine.lock();
    if quarantine.is_empty() {
        return Ok(());
    }
    let print = request.print();
    let standing = quarantine.standing(print);
    let is_refused = match standing {
        RequestStanding::Good => false,
        RequestStanding::Suspected => state.may_have_run(),
        RequestStanding::Quarantined => true,
    };
    if !is_refused {
        return Ok(());
    }
    quarantine.note_refused(front.now(), print);
    drop(quarantine);
    log::info!(
        "event=request_held_back request={} print={print} standing={standing:?} sends={}",
        request.call.id,
        state.sends()
    );
    Err(CallRefusal::later(
        ErrorKind::Quarantined,
        RETURN_QUARANTINED,
    ))
}
