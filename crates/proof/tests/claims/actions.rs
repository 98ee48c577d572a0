//! Executes the actions of a daemon's claims.

use super::*;

impl Simulation {
    pub(super) fn handle_event(&mut self, daemon: usize, event: ClaimEvent) {
        let now = self.now;
        let traced_event = self.is_traced.then(|| format!("{event:?}"));
        let actions = self.daemons[daemon].state.handle(now, event);
        if let Some(traced_event) = traced_event {
            let incarnation = self.daemons[daemon].incarnation;
            println!("{now} entry-{daemon}/{incarnation} <- {traced_event} -> {actions:?}");
        }
        for action in actions {
            self.execute_action(daemon, action);
        }
    }

    /// Sends a request to another daemon, which answers to `reply_target`.
    pub(super) fn send_request(
        &mut self,
        from: usize,
        to: &EntryId,
        make_event: impl FnOnce(u64) -> ClaimEvent,
        reply_target: ReplyTarget,
    ) {
        let to = self.daemon_of(to);
        let daemon = &mut self.daemons[to];
        let call_id = daemon.next_call_id;
        daemon.next_call_id += 1;
        daemon.reply_targets.insert(call_id, reply_target);
        let incarnation = daemon.incarnation;
        let event = make_event(call_id);
        self.send(
            from,
            to,
            Message::Request(from, to, incarnation, RequestPayload::Event(event)),
        );
    }

    pub(super) fn execute_action(&mut self, daemon: usize, action: ClaimAction) {
        let incarnation = self.daemons[daemon].incarnation;
        match action {
            ClaimAction::Verdict { call_id, verdict } => {
                if let Some(ReplyTarget::Verdict(to, to_incarnation, key, claimant)) =
                    self.reply_target(daemon, call_id)
                {
                    let message = Message::Verdict(to, to_incarnation, key, claimant, verdict);
                    self.send(daemon, to, message);
                }
            }
            ClaimAction::SendCopy {
                op,
                to,
                epoch,
                change,
            } => {
                let owner = entry(daemon);
                self.send_request(
                    daemon,
                    &to,
                    |call_id| ClaimEvent::Copy {
                        call_id,
                        epoch,
                        owner,
                        change,
                    },
                    ReplyTarget::Copy(daemon, incarnation, op),
                );
            }
            ClaimAction::AnswerCopy { call_id, is_held } => {
                if let Some(ReplyTarget::Copy(to, to_incarnation, op)) =
                    self.reply_target(daemon, call_id)
                {
                    let event = ClaimEvent::Copied {
                        op,
                        holder: entry(daemon),
                        is_held,
                    };
                    self.send(daemon, to, Message::Event(to, to_incarnation, event));
                }
            }
            ClaimAction::SendReplica {
                to,
                epoch,
                slots,
                records,
            } => self.send_request(
                daemon,
                &to,
                |call_id| ClaimEvent::Replica {
                    call_id,
                    epoch,
                    records,
                },
                ReplyTarget::Replica(daemon, incarnation, epoch, slots),
            ),
            ClaimAction::AnswerReplica { call_id, is_held } => {
                if let Some(ReplyTarget::Replica(to, to_incarnation, epoch, slots)) =
                    self.reply_target(daemon, call_id)
                    && is_held
                {
                    let event = ClaimEvent::Replicated {
                        holder: entry(daemon),
                        epoch,
                        slots,
                    };
                    self.send(daemon, to, Message::Event(to, to_incarnation, event));
                }
            }
            ClaimAction::SendCollect { to, epoch, slots } => self.send_request(
                daemon,
                &to,
                |call_id| ClaimEvent::Collect {
                    call_id,
                    epoch,
                    slots: slots.clone(),
                },
                ReplyTarget::Collect(daemon, incarnation, epoch, slots.clone()),
            ),
            ClaimAction::AnswerCollect { call_id, records } => {
                if let (
                    Some(ReplyTarget::Collect(to, to_incarnation, epoch, slots)),
                    Some(records),
                ) = (self.reply_target(daemon, call_id), records)
                {
                    let event = ClaimEvent::Collected {
                        holder: entry(daemon),
                        epoch,
                        slots,
                        records,
                    };
                    self.send(daemon, to, Message::Event(to, to_incarnation, event));
                }
            }
            ClaimAction::Settled(epoch) => self.settle(daemon, incarnation, epoch),
        }
    }

    pub(super) fn reply_target(&mut self, daemon: usize, call_id: u64) -> Option<ReplyTarget> {
        self.daemons[daemon].reply_targets.get(&call_id).cloned()
    }

    /// Stands in for the roster, which drops older epochs once every member has settled.
    pub(super) fn settle(&mut self, daemon: usize, incarnation: u64, epoch: u64) {
        self.settled_epochs.insert((daemon, incarnation), epoch);
        let member_epochs = self.roster.members.iter().map(|member| {
            let daemon = self.daemon_of(&member.entry);
            let settled_epoch = self.settled_epochs.get(&(daemon, member.incarnation));
            settled_epoch.copied().unwrap_or(0)
        });
        let fleet_epoch = member_epochs.min().unwrap_or(0);
        if fleet_epoch > self.roster.settled {
            self.roster = self.roster.settled_at(fleet_epoch);
            self.spread_roster();
        }
    }
}
