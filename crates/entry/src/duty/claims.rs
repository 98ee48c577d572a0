//! The claims duty: feeds events to [`ClaimState`], requests verdicts from the owners of claims, and
//! exchanges replicas of claim records with peers.

mod owner;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bergamot_claims::{
    ClaimAction, ClaimEvent, ClaimKey, ClaimRequest, ClaimState, Claimant, FinishOutcome, Verdict,
};
use bergamot_peer::{Answer, Question};
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use self::owner::{claim_from_owner, notify_owner};
use super::shared::{ClaimNote, ClaimsInbox, SharedState};
use crate::control::ControlEvent;
use crate::ring::RingReceiver;

/// Interval between ticks of the claim state.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts to deliver a request's outcome to the owner of its claim.
const FINISH_ATTEMPTS: u32 = 5;
/// Wait between delivery attempts of an outcome.
const FINISH_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The recipient of an answer that the claim state has not produced yet.
enum PendingReply {
    Local(u64, oneshot::Sender<(u64, Verdict)>),
    Peer(oneshot::Sender<Answer>),
}

/// A request that ended, kept so that its outcome can be resent to a new owner of the claim.
struct EndedRequest {
    at: Millis,
    key: ClaimKey,
    claimant: Claimant,
    outcome: FinishOutcome,
}

/// Bound on the ended requests that are kept.
const MAX_ENDED: usize = 4_096;
/// How long an ended request is kept.
const ENDED_TTL: Millis = Millis(60_000);
/// Delays after a roster change at which the outcomes are resent. New owners need time to collect the
/// records of their slots.
const OUTCOME_RESEND_DELAYS: [Millis; 3] = [Millis(1_000), Millis(3_000), Millis(8_000)];

struct ClaimsDuty {
    shared: Arc<SharedState>,
    state: ClaimState,
    pending: IndexMap<u64, PendingReply>,
    next_call_id: u64,
    ended: VecDeque<EndedRequest>,
    resend_at: Vec<Millis>,
}

/// Runs the duty until the inbox is closed.
pub async fn run(
    shared: Arc<SharedState>,
    mut inbox: RingReceiver<ClaimsInbox>,
    state: ClaimState,
) {
    let mut duty = ClaimsDuty {
        shared,
        state,
        pending: IndexMap::new(),
        next_call_id: 1,
        ended: VecDeque::new(),
        resend_at: Vec::new(),
    };
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interval.tick() => duty.tick(),
            received = inbox.recv() => match received {
                Some(item) => duty.handle_item(item),
                None => return,
            },
        }
    }
}

impl ClaimsDuty {
    fn claimant(&self, attempt: u64) -> Claimant {
        Claimant {
            entry: self.shared.settings.entry.clone(),
            incarnation: self.shared.incarnation,
            attempt,
        }
    }

    fn handle_item(&mut self, item: ClaimsInbox) {
        match item {
            ClaimsInbox::Ask {
                key,
                body,
                grant,
                reply,
            } => self.request_claim(key, body, grant, reply),
            ClaimsInbox::Finish {
                key,
                attempt,
                outcome,
                note,
            } => self.finish(key, attempt, outcome, note),
            ClaimsInbox::Peer(question, reply) => self.handle_question(question, reply),
            ClaimsInbox::Event(event) => {
                if matches!(event, ClaimEvent::Roster(_)) {
                    let now = self.shared.clock.now();
                    self.resend_at = OUTCOME_RESEND_DELAYS.map(|delay| now + delay).to_vec();
                }
                self.feed(event);
            }
            ClaimsInbox::Dump(reply) => {
                let (owned, not_ready) = self.state.slot_counts();
                let _ = reply.send(serde_json::json!({
                    "epoch": self.state.epoch(),
                    "claims": self.state.len(),
                    "slots_owned": owned,
                    "slots_not_ready": not_ready,
                }));
            }
        }
    }

    fn add_pending(&mut self, pending: PendingReply) -> u64 {
        let call_id = self.next_call_id;
        self.next_call_id += 1;
        self.pending.insert(call_id, pending);
        call_id
    }

    fn request_claim(
        &mut self,
        key: ClaimKey,
        fingerprint: u64,
        grant: Millis,
        reply: oneshot::Sender<(u64, Verdict)>,
    ) {
        let attempt = self.next_call_id;
        self.next_call_id += 1;
        let Some((owner, epoch)) = self.state.owner(key) else {
            let _ = reply.send((attempt, Verdict::Unavailable));
            return;
        };
        let owner = owner.clone();
        let claimant = self.claimant(attempt);
        let mut request = ClaimRequest {
            call_id: 0,
            key,
            fingerprint,
            claimant,
            epoch,
            grant,
        };
        if owner == self.shared.settings.entry {
            request.call_id = self.add_pending(PendingReply::Local(attempt, reply));
            self.feed(ClaimEvent::Request(request));
            return;
        }
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let verdict = claim_from_owner(&shared, &owner, request).await;
            let _ = reply.send((attempt, verdict));
        });
    }

    fn tick(&mut self) {
        self.feed(ClaimEvent::Tick);
        let now = self.shared.clock.now();
        while self
            .ended
            .front()
            .is_some_and(|ended| now.since(ended.at) > ENDED_TTL || self.ended.len() > MAX_ENDED)
        {
            self.ended.pop_front();
        }
        let due_index = self.resend_at.iter().position(|at| *at <= now);
        let Some(index) = due_index else {
            return;
        };
        self.resend_at.swap_remove(index);
        let outcomes: Vec<_> = self
            .ended
            .iter()
            .map(|ended| (ended.key, ended.claimant.clone(), ended.outcome.clone()))
            .collect();
        for (key, claimant, outcome) in outcomes {
            let note = self.shared.claim_note();
            self.send(key, claimant, outcome, note);
        }
    }

    fn finish(&mut self, key: ClaimKey, attempt: u64, outcome: FinishOutcome, note: ClaimNote) {
        let claimant = self.claimant(attempt);
        // The owner may be lost before it has replicated the outcome, so it is kept for the successor.
        self.ended.push_back(EndedRequest {
            at: self.shared.clock.now(),
            key,
            claimant: claimant.clone(),
            outcome: outcome.clone(),
        });
        self.send(key, claimant, outcome, note);
    }

    fn send(&mut self, key: ClaimKey, claimant: Claimant, outcome: FinishOutcome, note: ClaimNote) {
        let Some((owner, _)) = self.state.owner(key) else {
            return;
        };
        let owner = owner.clone();
        if owner == self.shared.settings.entry {
            self.feed(ClaimEvent::Finish {
                key,
                claimant,
                outcome,
            });
            return;
        }
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let question = Question::Finish {
                key,
                claimant,
                outcome,
            };
            notify_owner(&shared, &owner, question).await;
            drop(note);
        });
    }

    fn handle_question(&mut self, question: Question, reply: oneshot::Sender<Answer>) {
        match question {
            Question::Claim(_) if self.shared.are_claims_closed.load(Ordering::SeqCst) => {
                let _ = reply.send(Answer::Claim(Verdict::Unavailable));
            }
            Question::Claim(request) => {
                let call_id = self.add_pending(PendingReply::Peer(reply));
                self.feed(ClaimEvent::Request(ClaimRequest { call_id, ..request }));
            }
            Question::Finish {
                key,
                claimant,
                outcome,
            } => {
                let _ = reply.send(Answer::Noted);
                self.feed(ClaimEvent::Finish {
                    key,
                    claimant,
                    outcome,
                });
            }
            Question::Copy {
                epoch,
                owner,
                change,
            } => {
                let call_id = self.add_pending(PendingReply::Peer(reply));
                self.feed(ClaimEvent::Copy {
                    call_id,
                    epoch,
                    owner,
                    change,
                });
            }
            Question::Replica { epoch, records } => {
                let call_id = self.add_pending(PendingReply::Peer(reply));
                self.feed(ClaimEvent::Replica {
                    call_id,
                    epoch,
                    records,
                });
            }
            Question::Collect { epoch, slots } => {
                let call_id = self.add_pending(PendingReply::Peer(reply));
                self.feed(ClaimEvent::Collect {
                    call_id,
                    epoch,
                    slots,
                });
            }
            _ => {
                let _ = reply.send(Answer::Refused);
            }
        }
    }

    fn feed(&mut self, event: ClaimEvent) {
        let now = self.shared.clock.now();
        for action in self.state.handle(now, event) {
            self.execute(action);
        }
    }

    fn answer(&mut self, call_id: u64, answer: Answer) {
        if let Some(PendingReply::Peer(reply)) = self.pending.swap_remove(&call_id) {
            let _ = reply.send(answer);
        }
    }

    fn execute(&mut self, action: ClaimAction) {
        match action {
            ClaimAction::Verdict { call_id, verdict } => match self.pending.swap_remove(&call_id) {
                Some(PendingReply::Local(attempt, reply)) => {
                    let _ = reply.send((attempt, verdict));
                }
                Some(PendingReply::Peer(reply)) => {
                    let _ = reply.send(Answer::Claim(verdict));
                }
                None => {}
            },
            ClaimAction::AnswerCopy { call_id, is_held }
            | ClaimAction::AnswerReplica { call_id, is_held } => {
                self.answer(call_id, Answer::Held(is_held));
            }
            ClaimAction::AnswerCollect { call_id, records } => {
                self.answer(call_id, Answer::Collected(records));
            }
            ClaimAction::SendCopy {
                op,
                to,
                epoch,
                change,
            } => {
                let owner = self.shared.settings.entry.clone();
                let question = Question::Copy {
                    epoch,
                    owner,
                    change,
                };
                let note = self.shared.claim_note();
                self.ask_holder(to, question, move |holder, answer| {
                    drop(note);
                    let is_held = answer == Some(Answer::Held(true));
                    Some(ClaimEvent::Copied {
                        op,
                        holder,
                        is_held,
                    })
                });
            }
            ClaimAction::SendReplica {
                to,
                epoch,
                slots,
                records,
            } => {
                let question = Question::Replica { epoch, records };
                self.ask_holder(to, question, move |holder, answer| {
                    (answer == Some(Answer::Held(true))).then_some(ClaimEvent::Replicated {
                        holder,
                        epoch,
                        slots,
                    })
                });
            }
            ClaimAction::SendCollect { to, epoch, slots } => {
                let question = Question::Collect {
                    epoch,
                    slots: slots.clone(),
                };
                self.ask_holder(to, question, move |holder, answer| match answer {
                    Some(Answer::Collected(Some(records))) => Some(ClaimEvent::Collected {
                        holder,
                        epoch,
                        slots,
                        records,
                    }),
                    _ => None,
                });
            }
            ClaimAction::Settled(epoch) => {
                self.shared.send_control(ControlEvent::ClaimsSettled(epoch));
            }
        }
    }

    /// Sends a question to another holder. `into_event` turns its answer into an event for the claims.
    fn ask_holder<IntoEvent>(&self, to: EntryId, question: Question, into_event: IntoEvent)
    where
        IntoEvent: FnOnce(EntryId, Option<Answer>) -> Option<ClaimEvent> + Send + 'static,
    {
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let answer = match shared.peer_addr(&to) {
                Some(addr) => shared.ask_peer(addr, question).await,
                None => None,
            };
            if let Some(event) = into_event(to, answer) {
                shared.claims.push(ClaimsInbox::Event(event));
            }
        });
    }
}
