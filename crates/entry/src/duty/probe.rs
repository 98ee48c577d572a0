//! The probe duty: queries engines for reports and sends them orders.

use std::sync::Arc;

use bergamot_engine::EngineClient;

use super::shared::{ProbeTask, SharedState};
use crate::control::ControlEvent;
use crate::ring::RingReceiver;

/// Runs the duty until the task ring is closed.
pub async fn run(shared: Arc<SharedState>, mut tasks: RingReceiver<ProbeTask>) {
    let tuning = &shared.settings.tuning;
    let client = EngineClient::new(tuning.connect_timeout.as_duration());
    let timeout = tuning.probe_timeout.as_duration();
    while let Some(task) = tasks.recv().await {
        let shared = Arc::clone(&shared);
        let client = client.clone();
        tokio::spawn(async move {
            match task {
                ProbeTask::Probe(target) => {
                    let asked_at = shared.clock.now();
                    let report = client.report(target.addr, timeout).await;
                    if let Err(error) = &report {
                        log::debug!("event=probe_failed vm={} reason={error:?}", target.vm);
                    }
                    shared.send_control(ControlEvent::Report {
                        vm: target.vm,
                        asked: asked_at,
                        report: report.ok(),
                    });
                }
                ProbeTask::Order(target, order) => {
                    let outcome = client.order(target.addr, &order, timeout).await;
                    if let Err(error) = outcome {
                        log::warn!(
                            "event=order_failed vm={} group={:?} term={} reason={error:?}",
                            target.vm,
                            order.group,
                            order.term
                        );
                    }
                    shared.send_control(ControlEvent::Ordered { vm: target.vm });
                }
            }
        });
    }
}
