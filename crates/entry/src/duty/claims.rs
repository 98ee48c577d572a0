//! The claims duty: feeds [`ClaimState`], asks owners for verdicts, and carries copies.

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

use self::owner::{ask_owner, tell_owner};
use super::shared::{ClaimNote, ClaimsFront, SharedState};
use crate::control::ControlEvent;
use crate::ring::RingReceiver;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// How often the owner is told how a request ended.
const FINISH_TRIES: u32 = 5;
/// Time between two of those.
const FINISH_RETRY: Duration = Duration::from_millis(300);

/// Who waits for an answer of the claims.
enum Waiting {
    Local(u64, oneshot::Sender<(u64, Verdict)>),
    Peer(oneshot::Sender<Answer>),
}

/// How a request ended, kept to be told again to a new owner.
struct EndedRequest {
    at: Millis,
    key: ClaimKey,
    claimant: Claimant,
    outcome: FinishOutcome,
}

/// Ends kept.
const MAX_ENDED: usize = 4_096;
/// How long an end is kept.
const ENDED_KEEP: Millis = Millis(60_000);
/// When ends are told again after a change of the roster: the new owners need time to collect.
const RETELL_AFTER: [Millis; 3] = [Millis(1_000), Millis(3_000), Millis(8_000)];

struct ClaimsDuty {
    shared: Arc<SharedState>,
    state: ClaimState,
    waiting: IndexMap<u64, Waiting>,
    next_ask: u64,
    ended: VecDeque<EndedRequest>,
    retell_at: Vec<Millis>,
}

/// Runs until the ring closes.
pub async fn run(
    shared: Arc<SharedState>,
    mut inbox: RingReceiver<ClaimsFront>,
    state: ClaimState,
) {
    let mut duty = ClaimsDuty {
        shared,
        state,
        waiting: IndexMap::new(),
        next_ask: 1,
        ended: VecDeque::new(),
        retell_at: Vec::new(),
    };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => duty.tick(),
            received = inbox.recv() => match received {
                Some(item) => duty.take(item),
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

    fn take(&mut self, item: ClaimsFront) {
        match item {
            ClaimsFront::Ask {
                key,
                body,
                grant,
                reply,
            } => self.ask(key, body, grant, reply),
            ClaimsFront::Finish {
                key,
                attempt,
                outcome,
                note,
            } => self.finish(key, attempt, outcome, note),
            ClaimsFront::Peer(question, reply) => self.take_question(question, reply),
            ClaimsFront::Event(event) => {
                if matches!(event, ClaimEvent::Roster(_)) {
                    let now = self.shared.clock.now();
                    self.retell_at = RETELL_AFTER.map(|after| now + after).to_vec();
                }
                self.feed(event);
            }
            ClaimsFront::Dump(reply) => {
                let (owned, unready) = self.state.slot_counts();
                let _ = reply.send(serde_json::json!({
                    "epoch": self.state.epoch(),
                    "claims": self.state.len(),
                    "slots_owned": owned,
                    "slots_not_ready": unready,
                }));
            }
        }
    }

    fn wait_for(&mut self, waiting: Waiting) -> u64 {
        let ask = self.next_ask;
        self.next_ask += 1;
        self.waiting.insert(ask, waiting);
        ask
    }

    fn ask(
        &mut self,
        key: ClaimKey,
        fingerprint: u64,
        grant: Millis,
        reply: oneshot::Sender<(u64, Verdict)>,
    ) {
        let attempt = self.next_ask;
        self.next_ask += 1;
        let Some((owner, epoch)) = self.state.owner(key) else {
            let _ = reply.send((attempt, Verdict::Unavailable));
            return;
        };
        let owner = owner.clone();
        let claimant = self.claimant(attempt);
        let mut question = ClaimRequest {
            call_id: 0,
            key,
            fingerprint,
            claimant,
            epoch,
            grant,
        };
        if owner == self.shared.settings.entry {
            question.call_id = self.wait_for(Waiting::Local(attempt, reply));
            self.feed(ClaimEvent::Request(question));
            return;
        }
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let verdict = ask_owner(&shared, &owner, question).await;
            let _ = reply.send((attempt, verdict));
        });
    }

    fn tick(&mut self) {
        self.feed(ClaimEvent::Tick);
        let now = self.shared.clock.now();
        while self
            .ended
            .front()
            .is_some_and(|ended| now.since(ended.at) > ENDED_KEEP || self.ended.len() > MAX_ENDED)
        {
            self.ended.pop_front();
        }
        let due = self.retell_at.iter().position(|at| *at <= now);
        let Some(index) = due else {
            return;
        };
        self.retell_at.swap_remove(index);
        let again: Vec<_> = self
            .ended
            .iter()
            .map(|ended| (ended.key, ended.claimant.clone(), ended.outcome.clone()))
            .collect();
        for (key, claimant, outcome) in again {
            let note = self.shared.claim_note();
            self.tell(key, claimant, outcome, note);
        }
    }

    fn finish(&mut self, key: ClaimKey, attempt: u64, outcome: FinishOutcome, note: ClaimNote) {
        let claimant = self.claimant(attempt);
        // The owner may be lost before it has passed this on; its successor is told again.
        self.ended.push_back(EndedRequest {
            at: self.shared.clock.now(),
            key,
            claimant: claimant.clone(),
            outcome: outcome.clone(),
        });
        self.tell(key, claimant, outcome, note);
    }

    fn tell(&mut self, key: ClaimKey, claimant: Claimant, outcome: FinishOutcome, note: ClaimNote) {
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
            tell_owner(&shared, &owner, question).await;
            drop(note);
        });
    }

    fn take_question(&mut self, question: Question, reply: oneshot::Sender<Answer>) {
        match question {
            Question::Claim(_) if self.shared.are_claims_closed.load(Ordering::SeqCst) => {
                let _ = reply.send(Answer::Claim(Verdict::Unavailable));
            }
            Question::Claim(question) => {
                let call_id = self.wait_for(Waiting::Peer(reply));
                self.feed(ClaimEvent::Request(ClaimRequest {
                    call_id,
                    ..question
                }));
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
                let call_id = self.wait_for(Waiting::Peer(reply));
                self.feed(ClaimEvent::Copy {
                    call_id,
                    epoch,
                    owner,
                    change,
                });
            }
            Question::Replica { epoch, records } => {
                let call_id = self.wait_for(Waiting::Peer(reply));
                self.feed(ClaimEvent::Replica {
                    call_id,
                    epoch,
                    records,
                });
            }
            Question::Collect { epoch, slots } => {
                let call_id = self.wait_for(Waiting::Peer(reply));
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
            self.carry_out(action);
        }
    }

    fn answer(&mut self, ask: u64, answer: Answer) {
        if let Some(Waiting::Peer(reply)) = self.waiting.swap_remove(&ask) {
            let _ = reply.send(answer);
        }
    }

    fn carry_out(&mut self, action: ClaimAction) {
        match action {
            ClaimAction::Verdict { call_id, verdict } => match self.waiting.swap_remove(&call_id) {
                Some(Waiting::Local(attempt, reply)) => {
                    let _ = reply.send((attempt, verdict));
                }
                Some(Waiting::Peer(reply)) => {
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
                self.shared.tell_control(ControlEvent::ClaimsSettled(epoch));
            }
        }
    }

    /// Asks another holder; what its answer means comes back as an event.
    fn ask_holder<Meaning>(&self, to: EntryId, question: Question, meaning: Meaning)
    where
        Meaning: FnOnce(EntryId, Option<Answer>) -> Option<ClaimEvent> + Send + 'static,
    {
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let answer = match shared.peer_addr(&to) {
                Some(addr) => shared.ask_peer(addr, question).await,
                None => None,
            };
            if let Some(event) = meaning(to, answer) {
                shared.claims.push(ClaimsFront::Event(event));
            }
        });
    }
}
