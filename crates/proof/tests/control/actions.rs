//! Executes the actions of a daemon against simulated peers, engines and the platform.

use super::*;

impl Simulation {
    pub(super) fn execute_action(
        &mut self,
        daemon: usize,
        action: ControlAction,
    ) -> Result<(), String> {
        let incarnation = self.daemons[daemon].incarnation;
        match action {
            ControlAction::Read(key) => {
                let now = self.now;
                self.send(Message::Read(daemon, incarnation, key, now));
            }
            ControlAction::Swap {
                key,
                expected,
                value,
                nonce,
            } => {
                // The outcome counts as unknown if the request or its answer is lost.
                let message =
                    Message::Swap(daemon, incarnation, key.clone(), expected, value, nonce);
                self.send(message);
                let event = ControlEvent::Swapped {
                    key,
                    nonce,
                    outcome: SwapOutcome::Unknown,
                };
                let timeout_at = self.now + Millis(1_000);
                self.queue
                    .schedule(timeout_at, Message::Event(daemon, incarnation, event));
            }
            ControlAction::Send(to, datagram) => {
                let peer = self.daemon_at(to);
                if !self.is_partitioned(daemon, peer) {
                    let peer_incarnation = self.daemons[peer].incarnation;
                    let event = ControlEvent::Datagram(datagram, daemon_addr(daemon));
                    self.send(Message::Event(peer, peer_incarnation, event));
                }
            }
            ControlAction::QueryRoll(to, newer_than) => {
                let peer = self.daemon_at(to);
                if !self.is_partitioned(daemon, peer) {
                    self.send(Message::QueryRoll(daemon, incarnation, peer, newer_than));
                }
            }
            ControlAction::QueryRoster(to) => {
                let peer = self.daemon_at(to);
                if !self.is_partitioned(daemon, peer) {
                    self.send(Message::QueryRoster(daemon, incarnation, peer));
                }
            }
            ControlAction::QueryGroups(to) => {
                let peer = self.daemon_at(to);
                if !self.is_partitioned(daemon, peer) {
                    self.send(Message::QueryGroups(daemon, incarnation, peer));
                }
            }
            ControlAction::Probe(target) => {
                self.send(Message::Probe(daemon, incarnation, target.vm));
            }
            ControlAction::Order { target, order } => {
                if !self.is_partitioned(daemon, self.domain_of(&target.vm)) {
                    self.send(Message::Order(daemon, incarnation, target.vm, order));
                }
            }
            ControlAction::Roster(record) => {
                // Claims are checked by other runs. Here they settle after 5 ms.
                let event = ControlEvent::ClaimsSettled(record.epoch);
                let settled_at = self.now + Millis(5);
                self.queue
                    .schedule(settled_at, Message::Event(daemon, incarnation, event));
            }
            ControlAction::Publish(view) => self.publish(daemon, view),
            ControlAction::Adopted(number, digest) => self.check_adopted(daemon, number, digest)?,
            ControlAction::Note(line) => {
                if std::env::var_os("BERGAMOT_TRACE").is_some() {
                    println!("{} entry-{daemon} {line}", self.now);
                }
            }
        }
        Ok(())
    }

    pub(super) fn publish(&mut self, daemon: usize, view: Arc<RouteView>) {
        let facts = view.models.values().flatten().cloned().collect();
        let daemon = &mut self.daemons[daemon];
        daemon.balancer.replace(facts);
        daemon.view = view;
    }

    /// Checks that roll numbers only increase on each daemon, and that all daemons adopt the same
    /// bundle under one number.
    pub(super) fn check_adopted(
        &mut self,
        daemon: usize,
        number: u64,
        digest: BundleDigest,
    ) -> Result<(), String> {
        let previous_number = self.daemons[daemon].roll;
        if number <= previous_number {
            return Err(format!(
                "entry-{daemon} went from roll {previous_number} to {number}"
            ));
        }
        self.daemons[daemon].roll = number;
        match self.digests.insert(number, digest) {
            Some(other) if other != digest => Err(format!("roll {number} has two bundles")),
            _ => Ok(()),
        }
    }

    pub(super) fn probe(&mut self, daemon: usize, incarnation: u64, vm: VmId) {
        let asked = self.now;
        let is_reachable = !self.is_partitioned(daemon, self.domain_of(&vm));
        let report = is_reachable
            .then(|| self.engines.report(asked, &vm))
            .flatten();
        let is_unanswered = report.is_none();
        let event = ControlEvent::Report { vm, asked, report };
        match is_unanswered {
            true => {
                let timeout_at = self.now + Millis(500);
                self.queue
                    .schedule(timeout_at, Message::Event(daemon, incarnation, event));
            }
            false => self.reply(daemon, incarnation, event),
        }
    }

    pub(super) fn read(&mut self, daemon: usize, incarnation: u64, key: String, started: Millis) {
        if !self.store.is_up(self.now) || self.is_cut_from_platform(daemon) {
            self.reply(daemon, incarnation, ControlEvent::ReadFailed { key });
            return;
        }
        let entry = self.store.keys.get(&key).map(|(revision, value)| KvEntry {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        });
        self.reply(
            daemon,
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
        daemon: usize,
        incarnation: u64,
        key: &str,
        expected: i64,
        value: &[u8],
        nonce: u64,
    ) -> Result<(), String> {
        if !self.store.is_up(self.now) || self.is_cut_from_platform(daemon) {
            return Ok(());
        }
        let outcome = match self.store.cas(key, expected, value.to_vec()) {
            Some(revision) => {
                self.check_written(key, value)?;
                if std::env::var_os("BERGAMOT_TRACE").is_some()
                    && let Ok(record) = serde_json::from_slice::<DomainRecord>(value)
                {
                    let groups = record.groups.iter();
                    let group_lines: Vec<String> = groups
                        .map(|(id, group)| {
                            let members = record.members(id).map(|(vm, _)| vm.as_str());
                            let member_names: Vec<&str> = members.collect();
                            format!("{id}/{}={:?}{member_names:?}", group.epoch, group.phase)
                        })
                        .collect();
                    println!("{} {key} written: {}", self.now, group_lines.join(" "));
                }
                SwapOutcome::Won(revision)
            }
            None => SwapOutcome::Lost,
        };
        let is_answer_lost = self.random.random_bool(0.05) && !self.are_faults_over();
        if !is_answer_lost {
            let event = ControlEvent::Swapped {
                key: key.to_owned(),
                nonce,
                outcome,
            };
            self.reply(daemon, incarnation, event);
        }
        Ok(())
    }

    /// Checks that no VM is written into a group while its engine is in another one.
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
            let other_group = engine.report.group.as_ref().filter(|other| *other != group);
            if let Some(other_group) = other_group.filter(|_| !engine.is_dead) {
                return Err(format!(
                    "{vm} was made a member of {group} while in {other_group}"
                ));
            }
        }
        Ok(())
    }

    /// Reads the keys that the platform duty reads periodically.
    pub(super) fn sync(&mut self, daemon: usize, incarnation: u64) {
        if !self.is_live(daemon, incarnation) {
            return;
        }
        let now = self.now;
        let mut keys = vec![
            ROLL_KEY.to_owned(),
            bergamot_entry::control::ROSTER_KEY.to_owned(),
        ];
        let stored_keys = self.store.keys.keys();
        let group_keys = stored_keys.filter(|key| key.starts_with("/bergamot/live/groups/"));
        keys.extend(group_keys.cloned());
        for key in keys {
            self.send(Message::Read(daemon, incarnation, key, now));
        }
        let next_sync_at = now + Millis(self.random.random_range(400..1_200));
        self.queue
            .schedule(next_sync_at, Message::Sync(daemon, incarnation));
    }

    pub(super) fn read_vm_list(&mut self, daemon: usize, incarnation: u64) {
        if !self.is_live(daemon, incarnation) {
            return;
        }
        let now = self.now;
        let visible_vms = self
            .vm_lists
            .iter()
            .rev()
            .find(|(visible_from, _)| *visible_from <= now)
            .map(|(_, vms)| vms.clone());
        if let Some(vms) = visible_vms.filter(|_| !self.is_cut_from_platform(daemon)) {
            self.reply(daemon, incarnation, ControlEvent::Listed(vms));
        }
        self.queue
            .schedule(now + Millis(1_000), Message::ListRead(daemon, incarnation));
    }
}
