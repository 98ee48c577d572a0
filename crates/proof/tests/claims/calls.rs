//! Requests of callers and their outcomes.

use super::*;

impl Simulation {
    /// Sends a request with one of a few keys to a random entry VM. Earlier requests with the key
    /// may still be in flight.
    pub(super) fn call(&mut self) {
        let wait_ms = self.random.random_range(20..200);
        self.queue
            .schedule(self.now + Millis(wait_ms), Message::CallerRequest);
        let daemon = self.random.random_range(0..DAEMON_COUNT);
        if !self.daemons[daemon].is_up || self.daemons[daemon].paused_until > self.now {
            return;
        }
        // Keys are replaced well before their answers expire.
        let generation_start = u128::from(self.now.0 / 20_000) * KEY_COUNT;
        let key_number = generation_start + self.random.random_range(0..KEY_COUNT);
        let key = ClaimKey::of(&ClientAccount::new("a"), &key_number.to_string());
        let Some((owner, epoch)) = self.daemons[daemon].state.owner(key) else {
            return;
        };
        let owner = self.daemon_of(&owner.clone());
        let incarnation = self.daemons[daemon].incarnation;
        let attempt = self.daemons[daemon].next_attempt;
        self.daemons[daemon].next_attempt += 1;
        let claimant = Claimant {
            entry: entry(daemon),
            incarnation,
            attempt,
        };
        let request = ClaimRequest {
            call_id: 0,
            key,
            fingerprint: 7,
            claimant: claimant.clone(),
            epoch,
            grant: GRANT,
        };
        let owner_incarnation = self.daemons[owner].incarnation;
        let message = Message::Request(
            daemon,
            owner,
            owner_incarnation,
            RequestPayload::Claim(request),
        );
        self.send(daemon, owner, message);
        // The claimant gives up after 700 ms: it does not run the request and reports that to the
        // owner.
        let timeout_verdict =
            Message::Verdict(daemon, incarnation, key, claimant, Verdict::Unavailable);
        self.queue.schedule(self.now + Millis(700), timeout_verdict);
    }

    pub(super) fn handle_request(
        &mut self,
        from: usize,
        to: usize,
        incarnation: u64,
        payload: RequestPayload,
    ) {
        if !self.is_live(to, incarnation) {
            return;
        }
        let daemon = &mut self.daemons[to];
        let call_id = daemon.next_call_id;
        daemon.next_call_id += 1;
        let event = match payload {
            RequestPayload::Claim(request) => {
                let claimant = request.claimant.clone();
                let reply_target =
                    ReplyTarget::Verdict(from, claimant.incarnation, request.key, claimant);
                daemon.reply_targets.insert(call_id, reply_target);
                ClaimEvent::Request(ClaimRequest { call_id, ..request })
            }
            RequestPayload::Event(event) => event,
        };
        self.handle_event(to, event);
    }

    pub(super) fn handle_verdict(
        &mut self,
        daemon: usize,
        incarnation: u64,
        key: ClaimKey,
        claimant: Claimant,
        verdict: &Verdict,
    ) {
        if !self.is_live(daemon, incarnation) {
            return;
        }
        // Only the first verdict on an attempt counts. Inserts a marker, whose value is unused.
        let finished_attempt = self.daemons[daemon]
            .reply_targets
            .entry(u64::MAX - claimant.attempt);
        let indexmap::map::Entry::Vacant(vacant) = finished_attempt else {
            return;
        };
        vacant.insert(ReplyTarget::Copy(0, 0, 0));
        match verdict {
            Verdict::Granted => {
                self.granted_count += 1;
                self.run_request(daemon, incarnation, key, claimant);
            }
            Verdict::Replay(_) => {
                self.replayed_count += 1;
                if self.run_counts.get(&key).is_none() {
                    self.failure = Some(format!("got an answer of {key:?}, which never ran"));
                }
            }
            Verdict::Unavailable => {
                self.unavailable_count += 1;
                self.finish(daemon, key, claimant, FinishOutcome::NotRun);
            }
            _ => {}
        }
    }

    pub(super) fn run_request(
        &mut self,
        daemon: usize,
        incarnation: u64,
        key: ClaimKey,
        claimant: Claimant,
    ) {
        if self.random.random_bool(0.1) {
            // The upstream reports that it did not run the request.
            self.finish(daemon, key, claimant, FinishOutcome::NotRun);
            return;
        }
        let run_count = self.run_counts.entry(key).or_default();
        *run_count += 1;
        if *run_count > 1 {
            self.failure = Some(format!("{key:?} ran {run_count} times, at {}", self.now));
        }
        let duration_ms = self.random.random_range(10..1_500);
        let request_end = Message::RequestEnds(daemon, incarnation, key, claimant);
        self.queue
            .schedule(self.now + Millis(duration_ms), request_end);
    }

    pub(super) fn finish(
        &mut self,
        daemon: usize,
        key: ClaimKey,
        claimant: Claimant,
        outcome: FinishOutcome,
    ) {
        let Some((owner, _)) = self.daemons[daemon].state.owner(key) else {
            return;
        };
        let owner = self.daemon_of(&owner.clone());
        let incarnation = self.daemons[owner].incarnation;
        let event = ClaimEvent::Finish {
            key,
            claimant,
            outcome,
        };
        // Sent twice, as a report may be lost.
        for _ in 0..2 {
            self.send(
                daemon,
                owner,
                Message::Event(owner, incarnation, event.clone()),
            );
        }
    }
}
