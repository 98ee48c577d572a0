//! Whether an upstream ended when a request was broken off at it.

use std::rc::Rc;

use bergamot_ports::UpstreamState;
use bergamot_quarantine::{BreakCause, BreakOutcome, EndEvidence, RequestPrint};
use bergamot_routing::RouteUpstream;
use bergamot_types::prelude::*;

use super::FrontContext;
use super::attempt::SentRequest;
use super::pool::ConnectError;
use crate::view::ClusterView;

/// Notes that a request was broken off after it was sent.
pub fn note_break<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &SentRequest,
    upstream: &RouteUpstream,
    cause: BreakCause,
) where
    Dialect: 'static,
{
    if !is_staying(&front.shared.view.load(), &upstream.life) {
        return;
    }
    let now = front.now();
    let print = request.print();
    let mut ends = front.ends.borrow_mut();
    let outcome = ends.note_break(now, &upstream.life, print, cause);
    drop(ends);
    match outcome {
        BreakOutcome::Ended => note_struck(front, &upstream.life, &[print]),
        BreakOutcome::Probe => {
            let (front, upstream) = (Rc::clone(front), upstream.clone());
            tokio::task::spawn_local(async move { probe(&front, &upstream).await });
        }
        BreakOutcome::Awaited => {}
    }
}

/// Whether an upstream is in the directory and has not said that it leaves: the end of one that leaves is planned.
fn is_staying(view: &ClusterView, life: &UpstreamLife) -> bool {
    let entry = view.upstreams.get(&life.id);
    entry.is_some_and(|entry| entry.life == *life && entry.state != UpstreamState::Draining)
}

/// Finds out whether anything listens where a request was broken off. One connection for each end that is
/// suspected; where something listens, the next request there uses it.
async fn probe<Dialect>(front: &FrontContext<Dialect>, upstream: &RouteUpstream) {
    let life = &upstream.life;
    match front.pool.connect_new(upstream.addr).await {
        Ok(connection) => front.pool.give_back(life, connection, None),
        Err(ConnectError::Refused(_)) => note_end(front, life, EndEvidence::NoListener),
        // Nobody answers: the directory may tell later.
        Err(ConnectError::Failed(_)) => {}
    }
}

/// Notes evidence that an upstream ended.
pub fn note_end<Dialect>(
    front: &FrontContext<Dialect>,
    life: &UpstreamLife,
    evidence: EndEvidence,
) {
    let now = front.now();
    let prints = front.ends.borrow_mut().note_end(now, life, evidence);
    let Some(prints) = prints else {
        return;
    };
    let ends = &front.shared.metrics.upstream_ends;
    ends.with_label_values(&[evidence.as_str()]).inc();
    log::info!(
        "event=upstream_ended upstream={life} evidence={evidence} requests={}",
        prints.len()
    );
    note_struck(front, life, &prints);
}

fn note_struck<Dialect>(
    _front: &FrontContext<Dialect>,
    life: &UpstreamLife,
    prints: &[RequestPrint],
) {
    for print in prints {
        log::info!("event=request_struck print={print} upstream={life}");
    }
}

/// Looks in the directory whether upstreams ended at which requests were broken off.
pub async fn follow_ends<Dialect>(front: Rc<FrontContext<Dialect>>) {
    let mut changes = front.shared.view_changed.subscribe();
    while changes.changed().await.is_ok() {
        let view = front.shared.view.load_full();
        let awaited = front.ends.borrow().awaited();
        for life in awaited {
            match view.upstreams.get(&life.id) {
                None => note_end(&front, &life, EndEvidence::Unlisted),
                Some(entry) if entry.life.is_younger_than(&life) => {
                    note_end(&front, &life, EndEvidence::Restarted);
                }
                Some(_) => {}
            }
        }
    }
}
