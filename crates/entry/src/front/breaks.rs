//! Detects whether an upstream crashed while it ran a request, and withholds requests suspected of
//! causing crashes.
//!
//! An entry VM that observes a crash sends a notice to the others at once. The notice is not stored:
//! a VM that starts later, or is cut off from the observer, knows only the crashes it observes itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bergamot_peer::Question;
use bergamot_quarantine::{
    BreakCause, BrokenRun, CrashEvidence, QuarantineAction, QuarantineEvent, QuarantineRecord,
    RequestStanding,
};
use bergamot_routing::UpstreamFact;
use bergamot_types::prelude::*;
use tokio::net::TcpStream;

use super::call::CallContext;
use crate::duty::SharedState;

/// Timeout of the connection attempt that shows whether an upstream still listens. A running upstream accepts
/// within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

impl CallContext {
    /// Checks that the request may be sent or retried, with respect to the crashes attributed to it.
    ///
    /// # Errors
    /// When the request is quarantined, or is suspected and may have run already.
    pub fn check_quarantine(&self) -> Result<(), ErrorKind> {
        let mut quarantine = self.front.shared.quarantine.lock();
        let print = self.spec.print;
        if quarantine.standing(print) == RequestStanding::Good {
            return Ok(());
        }
        let event = QuarantineEvent::Housekeeping {
            coordinator_clock: None,
        };
        quarantine.handle(self.now(), event);
        let standing = quarantine.standing(print);
        let kind = match standing {
            RequestStanding::Good => return Ok(()),
            RequestStanding::Suspected(_) if !self.maybe_ran() => return Ok(()),
            RequestStanding::Suspected(_) => ErrorKind::UpstreamRefused,
            RequestStanding::Quarantined => ErrorKind::Quarantined,
        };
        quarantine.record_rejection(self.now(), print);
        drop(quarantine);
        log::info!(
            "event=request_held_back request={} print={print} standing={standing:?}",
            self.spec.id
        );
        Err(kind)
    }

    /// Records that the request broke off after its upstream had delivered `events` events, and probes whether the
    /// upstream crashed.
    pub async fn record_broken_attempt(&self, fact: &UpstreamFact, events: u32) {
        let shared = &self.front.shared;
        let incarnation = incarnation_of(fact);
        let broken_event = QuarantineEvent::Broken {
            incarnation: &incarnation,
            run: BrokenRun {
                print: self.spec.print,
                events,
            },
            cause: BreakCause::Closed,
        };
        apply_event(shared, broken_event);
        if !refuses_connections(fact.addr).await {
            return;
        }
        let evidence = CrashEvidence::NoListener;
        let crash_event = QuarantineEvent::Crashed {
            incarnation: &incarnation,
            evidence,
        };
        apply_event(shared, crash_event);
    }

    /// Records that the request was answered completely. Does nothing if an earlier attempt may have run: an
    /// answer that several upstreams contributed to does not show the request to be harmless.
    pub fn record_complete_answer(&self) {
        if !self.maybe_ran() {
            let answered_event = QuarantineEvent::Answered(self.spec.print);
            apply_event(&self.front.shared, answered_event);
        }
    }
}

/// Returns the incarnation of a group's epoch. A new epoch counts as a new incarnation, as the leader has restarted
/// or the members have changed.
fn incarnation_of(fact: &UpstreamFact) -> UpstreamIncarnation {
    let id = format!("{}.{}", fact.id, fact.epoch);
    UpstreamIncarnation::new(UpstreamId::new(&id), None)
}

async fn refuses_connections(addr: SocketAddr) -> bool {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn apply_event(shared: &Arc<SharedState>, event: QuarantineEvent<'_>) {
    let now = shared.clock.now();
    let actions = shared.quarantine.lock().handle(now, event);
    for action in actions {
        match action {
            QuarantineAction::Share(record) => send_crash_notices(shared, &record),
            QuarantineAction::LogCrash {
                incarnation,
                evidence,
            } => {
                log::info!("event=upstream_ended upstream={incarnation} evidence={evidence}");
            }
            QuarantineAction::LogStrike {
                run,
                incarnation,
                crash_count,
            } => {
                log::info!(
                    "event=request_struck print={} upstream={incarnation} events={} ends={crash_count}",
                    run.print,
                    run.events
                );
            }
            QuarantineAction::Probe(_) | QuarantineAction::Remove(_) => {}
        }
    }
}

/// Sends a crash notice to each other entry VM, once. A VM that misses it learns of the request from the next crash.
fn send_crash_notices(shared: &Arc<SharedState>, record: &QuarantineRecord) {
    let view = shared.view.load();
    for member in &view.roster.members {
        if member.entry == shared.settings.entry {
            continue;
        }
        let (shared, addr) = (Arc::clone(shared), member.peer_addr);
        let crash_notice = Question::Crash(record.clone());
        tokio::spawn(async move {
            if shared.ask_peer(addr, crash_notice).await.is_none() {
                log::info!("event=crash_not_told peer={addr}");
            }
        });
    }
}
