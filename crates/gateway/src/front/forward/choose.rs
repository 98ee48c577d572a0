//! Chooses the VM that a request is offered to.

use std::net::SocketAddr;

use bergamot_ports::ServingConfig;
use bergamot_routing::PeerCandidate;
use bergamot_types::prelude::*;

use super::super::FrontContext;
use super::super::attempt::SentRequest;
use super::super::plan::{arrived_reason, check_key, check_time, log_not_sent_on};
use super::super::refusal::{CallRefusal, RETURN_STOPPING};
use super::super::residency::allowed_domains;
use super::super::state::CallState;

/// A VM that a request is offered to.
pub struct PeerTarget {
    /// The VM.
    pub vm: VmId,
    /// Where it accepts forwarded requests.
    pub addr: SocketAddr,
    /// What shows that a request comes from a VM.
    pub secret: u64,
}

/// The next VM to offer a request to.
pub enum PeerChoice {
    /// This one may take it.
    Offer(PeerTarget),
    /// No VM is left that may take it.
    NoneLeft {
        /// Whether this is because they reach no upstream either.
        reach_none: bool,
    },
}

/// Returns the next VM to offer a request to. The error states why it may not be sent again.
pub fn next_peer<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
    offered: &[String],
) -> Result<PeerChoice, CallRefusal> {
    let now = front.now();
    check_time(front, state, now)?;
    let view = front.shared.view.load();
    let config: &ServingConfig = view.config.as_ref().ok_or(ErrorKind::NoBundle)?;
    check_key(front, &view, request, state, now)?;
    let runs = state.possible_runs.len();
    if let Some(reason) = arrived_reason(state, runs) {
        log_not_sent_on(request, state, runs, reason);
        return Err(CallRefusal::retry_in(
            ErrorKind::UpstreamRefused,
            RETURN_STOPPING,
        ));
    }
    let domains = allowed_domains(front, config, request)?;
    let site = &front.shared.site;
    let takers = view.entries.values().filter(|entry| {
        let domain = &entry.failure_domain;
        let is_allowed = domains
            .as_ref()
            .is_none_or(|domains| domains.contains(&domain));
        is_allowed && entry.forwarding.is_some() && entry.vm != site.vm.as_str()
    });
    let candidates = takers.map(|entry| PeerCandidate {
        vm: &entry.vm,
        is_near: entry.failure_domain == site.failure_domain,
    });
    let peers = front.forwards.peers.borrow();
    let chosen = peers.choose(candidates.clone(), offered, now, rand::random());
    let entry = chosen.and_then(|vm| view.entries.get(vm));
    let target = entry.and_then(|entry| {
        let endpoint = entry.forwarding?;
        Some(PeerTarget {
            vm: VmId::new(&entry.vm),
            addr: endpoint.addr,
            secret: endpoint.secret,
        })
    });
    Ok(match target {
        Some(target) => PeerChoice::Offer(target),
        None => PeerChoice::NoneLeft {
            reach_none: peers.reach_none(candidates, now),
        },
    })
}
