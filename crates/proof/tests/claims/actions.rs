//! What a node wants done, carried out.

use super::*;

impl World {
    pub(super) fn feed(&mut self, node: usize, event: ClaimEvent) {
        let now = self.now;
        let shown = self.is_traced.then(|| format!("{event:?}"));
        let actions = self.nodes[node].state.handle(now, event);
        if let Some(shown) = shown {
            let incarnation = self.nodes[node].incarnation;
            println!("{now} entry-{node}/{incarnation} <- {shown} -> {actions:?}");
        }
        for action in actions {
            self.carry_out(node, action);
        }
    }

    pub(super) fn ask(
        &mut self,
        from: usize,
        to: &EntryId,
        make: impl FnOnce(u64) -> ClaimEvent,
        reply: Reply,
    ) {
        let to = self.node_of(to);
        let node = &mut self.nodes[to];
        let call_id = node.next_ask;
        node.next_ask += 1;
        node.replies.insert(call_id, reply);
        let incarnation = node.incarnation;
        let event = make(call_id);
        self.send(
            from,
            to,
            Message::Ask(from, to, incarnation, Asked::Event(event)),
        );
    }

    pub(super) fn carry_out(&mut self, node: usize, action: ClaimAction) {
        let incarnation = self.nodes[node].incarnation;
        match action {
            ClaimAction::Verdict { call_id, verdict } => {
                if let Some(Reply::Verdict(to, inc, key, claimant)) = self.reply(node, call_id) {
                    let message = Message::Verdict(to, inc, key, claimant, verdict);
                    self.send(node, to, message);
                }
            }
            ClaimAction::SendCopy {
                op,
                to,
                epoch,
                change,
            } => {
                let owner = entry(node);
                self.ask(
                    node,
                    &to,
                    |call_id| ClaimEvent::Copy {
                        call_id,
                        epoch,
                        owner,
                        change,
                    },
                    Reply::Copy(node, incarnation, op),
                );
            }
            ClaimAction::AnswerCopy { call_id, is_held } => {
                if let Some(Reply::Copy(to, inc, op)) = self.reply(node, call_id) {
                    let event = ClaimEvent::Copied {
                        op,
                        holder: entry(node),
                        is_held,
                    };
                    self.send(node, to, Message::Event(to, inc, event));
                }
            }
            ClaimAction::SendReplica {
                to,
                epoch,
                slots,
                records,
            } => self.ask(
                node,
                &to,
                |call_id| ClaimEvent::Replica {
                    call_id,
                    epoch,
                    records,
                },
                Reply::Replica(node, incarnation, epoch, slots),
            ),
            ClaimAction::AnswerReplica { call_id, is_held } => {
                if let Some(Reply::Replica(to, inc, epoch, slots)) = self.reply(node, call_id)
                    && is_held
                {
                    let event = ClaimEvent::Replicated {
                        holder: entry(node),
                        epoch,
                        slots,
                    };
                    self.send(node, to, Message::Event(to, inc, event));
                }
            }
            ClaimAction::SendCollect { to, epoch, slots } => self.ask(
                node,
                &to,
                |call_id| ClaimEvent::Collect {
                    call_id,
                    epoch,
                    slots: slots.clone(),
                },
                Reply::Collect(node, incarnation, epoch, slots.clone()),
            ),
            ClaimAction::AnswerCollect { call_id, records } => {
                if let (Some(Reply::Collect(to, inc, epoch, slots)), Some(records)) =
                    (self.reply(node, call_id), records)
                {
                    let event = ClaimEvent::Collected {
                        holder: entry(node),
                        epoch,
                        slots,
                        records,
                    };
                    self.send(node, to, Message::Event(to, inc, event));
                }
            }
            ClaimAction::Settled(epoch) => self.settle(node, incarnation, epoch),
        }
    }

    pub(super) fn reply(&mut self, node: usize, call_id: u64) -> Option<Reply> {
        self.nodes[node].replies.get(&call_id).cloned()
    }

    /// The roster's part: once every member has settled, older epochs are forgotten.
    pub(super) fn settle(&mut self, node: usize, incarnation: u64, epoch: u64) {
        self.settled.insert((node, incarnation), epoch);
        let all = self.roster.members.iter().map(|member| {
            let node = self.node_of(&member.entry);
            let settled = self.settled.get(&(node, member.incarnation));
            settled.copied().unwrap_or(0)
        });
        let all = all.min().unwrap_or(0);
        if all > self.roster.settled {
            self.roster = self.roster.settled_at(all);
            self.spread_roster();
        }
    }
}
