//! Whether an upstream ended when a request was broken off at it, and what that means for the request.
//!
//! What one entry VM sees it tells the others at once. It is not kept: a VM that starts later, or is cut off from the
//! one that saw it, learns only what it sees itself.

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

/// Time for a connection that shows whether anything listens: one that lives takes a few milliseconds.
const PROBE_TIME: Duration = Duration::from_millis(150);

impl CallContext {
    /// Whether the request may be sent, for the first time or once more.
    pub fn check_standing(&self) -> Result<(), ErrorKind> {
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

    /// Finds out whether an upstream ended at which the request was broken off after so many events had come from its run.
    pub async fn note_break(&self, fact: &UpstreamFact, events: u32) {
        let shared = &self.front.shared;
        let incarnation = incarnation_of(fact);
        let broken = QuarantineEvent::Broken {
            incarnation: &incarnation,
            run: BrokenRun {
                print: self.spec.print,
                events,
            },
            cause: BreakCause::Closed,
        };
        handle(shared, broken);
        if !is_refused(fact.addr).await {
            return;
        }
        let evidence = CrashEvidence::NoListener;
        let ended = QuarantineEvent::Crashed {
            incarnation: &incarnation,
            evidence,
        };
        handle(shared, ended);
    }

    /// Notes that the request was answered whole. Where several upstreams had a part in it that proves nothing.
    pub fn note_whole(&self) {
        if !self.maybe_ran() {
            let answered = QuarantineEvent::Answered(self.spec.print);
            handle(&self.front.shared, answered);
        }
    }
}

/// A group of another epoch is another run: its leader has started again, or others are in it.
fn incarnation_of(fact: &UpstreamFact) -> UpstreamIncarnation {
    let id = format!("{}.{}", fact.id, fact.epoch);
    UpstreamIncarnation::new(UpstreamId::new(&id), None)
}

async fn is_refused(addr: SocketAddr) -> bool {
    let connected = tokio::time::timeout(PROBE_TIME, TcpStream::connect(addr)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn handle(shared: &Arc<SharedState>, event: QuarantineEvent<'_>) {
    let now = shared.clock.now();
    let actions = shared.quarantine.lock().handle(now, event);
    for action in actions {
        match action {
            QuarantineAction::Share(record) => tell_members(shared, &record),
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

/// Tells the other entry VMs, each once. One that is not reached learns from the next end.
fn tell_members(shared: &Arc<SharedState>, record: &QuarantineRecord) {
    let view = shared.view.load();
    for member in &view.roster.members {
        if member.entry == shared.settings.entry {
            continue;
        }
        let (shared, addr) = (Arc::clone(shared), member.peer_addr);
        let question = Question::Crash(record.clone());
        tokio::spawn(async move {
            if shared.ask_peer(addr, question).await.is_none() {
                log::info!("event=crash_not_told peer={addr}");
            }
        });
    }
}
