//! What a node wants done, carried out against the stand-ins.

use super::*;

impl World {
    pub(super) fn carry_out(&mut self, node: usize, action: ControlAction) -> Result<(), String> {
        let incarnation = self.nodes[node].incarnation;
        match action {
            ControlAction::Read(key) => {
                let now = self.now;
                self.send(Message::Read(node, incarnation, key, now));
            }
            ControlAction::Swap {
                key,
                expected,
                value,
                nonce,
            } => {
                // Lost requests are settled as unknown, like lost answers.
                let message = Message::Swap(node, incarnation, key.clone(), expected, value, nonce);
                self.send(message);
                let event = ControlEvent::Swapped {
                    key,
                    nonce,
                    outcome: SwapOutcome::Unknown,
                };
                let late = self.now + Millis(1_000);
                self.wire.at(late, Message::Event(node, incarnation, event));
            }
            ControlAction::Send(to, datagram) => {
                let peer = self.node_at(to);
                if !self.is_cut(node, peer) {
                    let to = self.nodes[peer].incarnation;
                    let event = ControlEvent::Datagram(datagram, node_addr(node));
                    self.send(Message::Event(peer, to, event));
                }
            }
            ControlAction::AskRoll(to, newer_than) => {
                let peer = self.node_at(to);
                if !self.is_cut(node, peer) {
                    self.send(Message::AskRoll(node, incarnation, peer, newer_than));
                }
            }
            ControlAction::AskRoster(to) => {
                let peer = self.node_at(to);
                if !self.is_cut(node, peer) {
                    self.send(Message::AskRoster(node, incarnation, peer));
                }
            }
            ControlAction::AskGroups(to) => {
                let peer = self.node_at(to);
                if !self.is_cut(node, peer) {
                    self.send(Message::AskGroups(node, incarnation, peer));
                }
            }
            ControlAction::Probe(target) => {
                self.send(Message::Probe(node, incarnation, target.vm));
            }
            ControlAction::Order { target, order } => {
                if !self.is_cut(node, self.domain_of(&target.vm)) {
                    self.send(Message::Order(node, incarnation, target.vm, order));
                }
            }
            ControlAction::Roster(record) => {
                // Claims are another run's matter: here they settle at once.
                let event = ControlEvent::ClaimsSettled(record.epoch);
                let next = self.now + Millis(5);
                self.wire.at(next, Message::Event(node, incarnation, event));
            }
            ControlAction::Publish(view) => self.take_view(node, view),
            ControlAction::Adopted(number, digest) => self.adopted(node, number, digest)?,
            ControlAction::Note(line) => {
                if std::env::var_os("BERGAMOT_TRACE").is_some() {
                    println!("{} entry-{node} {line}", self.now);
                }
            }
        }
        Ok(())
    }

    pub(super) fn take_view(&mut self, node: usize, view: Arc<RouteView>) {
        let facts = view.models.values().flatten().cloned().collect();
        let node = &mut self.nodes[node];
        node.balancer.replace(facts);
        node.view = view;
    }

    pub(super) fn adopted(
        &mut self,
        node: usize,
        number: u64,
        digest: BundleDigest,
    ) -> Result<(), String> {
        let before = self.nodes[node].roll;
        if number <= before {
            return Err(format!("entry-{node} went from roll {before} to {number}"));
        }
        self.nodes[node].roll = number;
        match self.digests.insert(number, digest) {
            Some(other) if other != digest => Err(format!("two bundles as roll {number}")),
            _ => Ok(()),
        }
    }

    pub(super) fn probe(&mut self, node: usize, incarnation: u64, vm: VmId) {
        let asked = self.now;
        let is_reached = !self.is_cut(node, self.domain_of(&vm));
        let report = is_reached
            .then(|| self.engines.report(asked, &vm))
            .flatten();
        let is_silent = report.is_none();
        let event = ControlEvent::Report { vm, asked, report };
        match is_silent {
            true => {
                let late = self.now + Millis(500);
                self.wire.at(late, Message::Event(node, incarnation, event));
            }
            false => self.reply(node, incarnation, event),
        }
    }

    pub(super) fn read(&mut self, node: usize, incarnation: u64, key: String, started: Millis) {
        if !self.store.is_up(self.now) || self.is_off_platform(node) {
            self.reply(node, incarnation, ControlEvent::ReadFailed { key });
            return;
        }
        let entry = self.store.keys.get(&key).map(|(revision, value)| KvEntry {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        });
        self.reply(
            node,
            incarnation,
            ControlEvent::Read {
                key,
                entry,
                started,
            },
        );
    }

    pub(super) fn swap(
        &mut self,
        node: usize,
        incarnation: u64,
        key: &str,
        expected: i64,
        value: &[u8],
        nonce: u64,
    ) -> Result<(), String> {
        if !self.store.is_up(self.now) || self.is_off_platform(node) {
            return Ok(());
        }
        let outcome = match self.store.cas(key, expected, value.to_vec()) {
            Some(revision) => {
                self.check_written(key, value)?;
                if std::env::var_os("BERGAMOT_TRACE").is_some()
                    && let Ok(record) = serde_json::from_slice::<DomainRecord>(value)
                {
                    let groups = record.groups.iter();
                    let groups: Vec<String> = groups
                        .map(|(id, group)| {
                            let members = record.members(id).map(|(vm, _)| vm.as_str());
                            let members: Vec<&str> = members.collect();
                            format!("{id}/{}={:?}{members:?}", group.epoch, group.phase)
                        })
                        .collect();
                    println!("{} {key} written: {}", self.now, groups.join(" "));
                }
                SwapOutcome::Won(revision)
            }
            None => SwapOutcome::Lost,
        };
        let is_answer_lost = self.random.random_bool(0.05) && !self.is_calm();
        if !is_answer_lost {
            let event = ControlEvent::Swapped {
                key: key.to_owned(),
                nonce,
                outcome,
            };
            self.reply(node, incarnation, event);
        }
        Ok(())
    }

    /// No VM may be written into a group while its engine is in another one.
    pub(super) fn check_written(&self, key: &str, value: &[u8]) -> Result<(), String> {
        let Ok(record) = serde_json::from_slice::<DomainRecord>(value) else {
            return Ok(());
        };
        if let Some(problem) = record.problem() {
            return Err(format!("{key}: {problem}"));
        }
        for (vm, slot) in &record.vms {
            let (VmUse::Member(group), Some(engine)) = (&slot.usage, self.engines.engines.get(vm))
            else {
                continue;
            };
            let other = engine.report.group.as_ref().filter(|other| *other != group);
            if let Some(other) = other.filter(|_| !engine.is_dead) {
                return Err(format!(
                    "{vm} was made a member of {group} while in {other}"
                ));
            }
        }
        Ok(())
    }

    /// What the platform duty reads by itself.
    pub(super) fn sync(&mut self, node: usize, incarnation: u64) {
        if !self.is_live(node, incarnation) {
            return;
        }
        let now = self.now;
        let mut keys = vec![
            ROLL_KEY.to_owned(),
            bergamot_entry::control::ROSTER_KEY.to_owned(),
        ];
        let groups = self.store.keys.keys();
        let groups = groups.filter(|key| key.starts_with("/bergamot/live/groups/"));
        keys.extend(groups.cloned());
        for key in keys {
            self.send(Message::Read(node, incarnation, key, now));
        }
        let next = now + Millis(self.random.random_range(400..1_200));
        self.wire.at(next, Message::Sync(node, incarnation));
    }

    pub(super) fn list(&mut self, node: usize, incarnation: u64) {
        if !self.is_live(node, incarnation) {
            return;
        }
        let now = self.now;
        let shown = self
            .listed
            .iter()
            .rev()
            .find(|(from, _)| *from <= now)
            .map(|(_, vms)| vms.clone());
        if let Some(vms) = shown.filter(|_| !self.is_off_platform(node)) {
            self.reply(node, incarnation, ControlEvent::Listed(vms));
        }
        self.wire
            .at(now + Millis(1_000), Message::ListRead(node, incarnation));
    }
}
