//! What callers call_id, and what becomes of it.

use super::*;

impl World {
    /// A caller sends one of a few keys to any entry VM, also while earlier repeats are out.
    pub(super) fn call(&mut self) {
        let wait = self.random.random_range(20..200);
        self.wire.at(self.now + Millis(wait), Message::Caller);
        let node = self.random.random_range(0..NODES);
        if !self.nodes[node].is_up || self.nodes[node].paused_until > self.now {
            return;
        }
        // Keys retire after a while, well within the time that answers are kept.
        let generation = u128::from(self.now.0 / 20_000) * KEYS;
        let number = generation + self.random.random_range(0..KEYS);
        let key = ClaimKey::of(&ClientAccount::new("a"), &number.to_string());
        let Some((owner, epoch)) = self.nodes[node].state.owner(key) else {
            return;
        };
        let owner = self.node_of(&owner.clone());
        let incarnation = self.nodes[node].incarnation;
        let attempt = self.nodes[node].next_attempt;
        self.nodes[node].next_attempt += 1;
        let claimant = Claimant {
            entry: entry(node),
            incarnation,
            attempt,
        };
        let question = ClaimRequest {
            call_id: 0,
            key,
            fingerprint: 7,
            claimant: claimant.clone(),
            epoch,
            grant: GRANT,
        };
        let target = self.nodes[owner].incarnation;
        let message = Message::Ask(node, owner, target, Asked::Claim(question));
        self.send(node, owner, message);
        // The claimant gives up after a while: nothing runs, and the owner is told so.
        let late = Message::Verdict(node, incarnation, key, claimant, Verdict::Unavailable);
        self.wire.at(self.now + Millis(700), late);
    }

    pub(super) fn take_ask(&mut self, from: usize, to: usize, incarnation: u64, asked: Asked) {
        if !self.is_live(to, incarnation) {
            return;
        }
        let node = &mut self.nodes[to];
        let call_id = node.next_ask;
        node.next_ask += 1;
        let event = match asked {
            Asked::Claim(question) => {
                let claimant = question.claimant.clone();
                let reply = Reply::Verdict(from, claimant.incarnation, question.key, claimant);
                node.replies.insert(call_id, reply);
                ClaimEvent::Request(ClaimRequest {
                    call_id,
                    ..question
                })
            }
            Asked::Event(event) => event,
        };
        self.feed(to, event);
    }

    pub(super) fn take_verdict(
        &mut self,
        node: usize,
        incarnation: u64,
        key: ClaimKey,
        claimant: Claimant,
        verdict: &Verdict,
    ) {
        if !self.is_live(node, incarnation) {
            return;
        }
        // Only the first word on an attempt counts.
        let done = self.nodes[node].replies.entry(u64::MAX - claimant.attempt);
        let indexmap::map::Entry::Vacant(vacant) = done else {
            return;
        };
        vacant.insert(Reply::Copy(0, 0, 0));
        match verdict {
            Verdict::Granted => {
                self.granted += 1;
                self.execute(node, incarnation, key, claimant);
            }
            Verdict::Replay(_) => {
                self.kept += 1;
                if self.started.get(&key).is_none() {
                    self.failure = Some(format!("kept answer of {key:?}, which never ran"));
                }
            }
            Verdict::Unavailable => {
                self.unavailable += 1;
                self.finish(node, key, claimant, FinishOutcome::NotRun);
            }
            _ => {}
        }
    }

    pub(super) fn execute(
        &mut self,
        node: usize,
        incarnation: u64,
        key: ClaimKey,
        claimant: Claimant,
    ) {
        if self.random.random_bool(0.1) {
            // The upstream says that it did not run it.
            self.finish(node, key, claimant, FinishOutcome::NotRun);
            return;
        }
        let started = self.started.entry(key).or_default();
        *started += 1;
        if *started > 1 {
            self.failure = Some(format!("{key:?} ran {started} times, at {}", self.now));
        }
        let takes = self.random.random_range(10..1_500);
        let ends = Message::RunEnds(node, incarnation, key, claimant);
        self.wire.at(self.now + Millis(takes), ends);
    }

    pub(super) fn finish(
        &mut self,
        node: usize,
        key: ClaimKey,
        claimant: Claimant,
        outcome: FinishOutcome,
    ) {
        let Some((owner, _)) = self.nodes[node].state.owner(key) else {
            return;
        };
        let owner = self.node_of(&owner.clone());
        let incarnation = self.nodes[owner].incarnation;
        let event = ClaimEvent::Finish {
            key,
            claimant,
            outcome,
        };
        // Told more than once, as its answer may be lost.
        for _ in 0..2 {
            self.send(
                node,
                owner,
                Message::Event(owner, incarnation, event.clone()),
            );
        }
    }
}
