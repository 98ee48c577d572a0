//! The control duty: feeds events to [`ControlState`] and executes its actions.

use std::sync::Arc;
use std::time::Duration;

use bergamot_claims::ClaimEvent;

use super::shared::{ClaimsInbox, ControlInbox, PeerTask, PlatformTask, ProbeTask, SharedState};
use crate::control::{ControlAction, ControlEvent, ControlState};
use crate::ring::RingReceiver;
use crate::route_view::RouteView;

/// Interval between ticks of the control state.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Runs the duty until the inbox is closed.
pub async fn run(
    shared: Arc<SharedState>,
    mut inbox: RingReceiver<ControlInbox>,
    mut state: ControlState,
) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let event = tokio::select! {
            _ = interval.tick() => ControlEvent::Tick,
            received = inbox.recv() => match received {
                None => return,
                Some(ControlInbox::Event(event)) => event,
                Some(ControlInbox::Dump(reply)) => {
                    let _ = reply.send(state.dump(shared.clock.now()));
                    continue;
                }
                Some(ControlInbox::Groups(reply)) => {
                    let _ = reply.send(state.group_entries());
                    continue;
                }
            },
        };
        let now = shared.clock.now();
        for action in state.handle(now, event) {
            execute(&shared, action);
        }
        set_gauges(&shared, &state);
    }
}

fn set_gauges(shared: &SharedState, state: &ControlState) {
    let roll = state.active_bundle().map_or(0, |force| force.record.number);
    let metrics = &shared.metrics;
    metrics.set_state("roll", roll as i64);
    let roster = state.roster().record();
    metrics.set_state("roster_epoch", roster.epoch as i64);
    metrics.set_state("roster_members", roster.members.len() as i64);
}

fn execute(shared: &Arc<SharedState>, action: ControlAction) {
    let is_queued = match action {
        ControlAction::Read(key) => shared.platform.push(PlatformTask::Read(key)),
        ControlAction::Swap {
            key,
            expected,
            value,
            nonce,
        } => {
            let task = PlatformTask::Swap {
                key: key.clone(),
                expected,
                value,
                nonce,
            };
            let is_queued = shared.platform.push(task);
            if !is_queued {
                shared.send_control(ControlEvent::Swapped {
                    key,
                    nonce,
                    outcome: bergamot_placement::SwapOutcome::NotSent,
                });
            }
            is_queued
        }
        ControlAction::Send(to, datagram) => shared.peer.push(PeerTask::Send(to, datagram)),
        ControlAction::QueryRoll(peer, newer_than) => {
            ask(shared, peer, bergamot_peer::Question::Roll { newer_than });
            true
        }
        ControlAction::QueryRoster(peer) => {
            ask(shared, peer, bergamot_peer::Question::Roster);
            true
        }
        ControlAction::QueryGroups(peer) => {
            ask(shared, peer, bergamot_peer::Question::Groups);
            true
        }
        ControlAction::Probe(target) => shared.probe.push(ProbeTask::Probe(target)),
        ControlAction::Order { target, order } => {
            shared.probe.push(ProbeTask::Order(target, order))
        }
        ControlAction::Roster(record) => {
            let event = ClaimEvent::Roster(record);
            shared.claims.push(ClaimsInbox::Event(event))
        }
        ControlAction::Publish(view) => {
            publish_view(shared, view);
            true
        }
        ControlAction::Adopted(number, _) => {
            shared.metrics.set_state("roll", number as i64);
            true
        }
        ControlAction::Note(line) => {
            log::info!("{line} entry={}", shared.settings.entry);
            true
        }
    };
    if !is_queued {
        let dropped = &shared.metrics.dropped;
        dropped.with_label_values(&["duty_ring_full"]).inc();
    }
}

fn publish_view(shared: &Arc<SharedState>, view: Arc<RouteView>) {
    let now = shared.clock.now();
    let groups = view.groups.len() as i64;
    shared.metrics.set_state("routable_groups", groups);
    shared.view.store(Arc::clone(&view));
    shared.routing.lock().take_view(now, view);
}

/// Sends a question to a peer. Its answer, if any, is fed back as an event.
fn ask(shared: &Arc<SharedState>, peer: std::net::SocketAddr, question: bergamot_peer::Question) {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        use bergamot_peer::Answer;
        let event = match shared.ask_peer(peer, question).await {
            Some(Answer::Roll(Some(roll))) => ControlEvent::PeerRoll(roll),
            Some(Answer::Roster(record)) => ControlEvent::PeerRoster(record),
            Some(Answer::Groups(entries)) => ControlEvent::PeerGroups(entries),
            _ => return,
        };
        shared.send_control(event);
    });
}
