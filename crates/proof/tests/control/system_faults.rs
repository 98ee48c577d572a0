//! Injects faults, rolls bundles, and checks that the fleet recovers.

use super::*;

impl Simulation {
    /// Injects a random fault and schedules the next one, until the faults end.
    pub(super) fn inject_fault(&mut self) {
        if self.are_faults_over() {
            self.end_faults();
            return;
        }
        let wait_ms = self.random.random_range(500..5_000);
        self.queue
            .schedule(self.now + Millis(wait_ms), Message::Fault);
        let now = self.now;
        let pause = Millis(self.random.random_range(300..9_000));
        match self.random.random_range(0..12) {
            0..3 => {
                // An engine restarts without state, or pauses and resumes with its old state.
                let vm = self.random_engine();
                self.engines.break_group(&vm);
                if self.random.random_bool(0.5) {
                    let ignores_fencing = self.engines.engines[&vm].ignores_fencing;
                    self.engines.engines[&vm] = Engine {
                        is_dead: true,
                        ignores_fencing,
                        ..Engine::default()
                    };
                    self.queue.schedule(now + pause, Message::Revive(vm));
                } else {
                    self.engines.engines[&vm].paused_until = now + pause;
                }
            }
            3..5 => {
                let daemon = self.random.random_range(0..DAEMON_COUNT);
                self.daemons[daemon].paused_until = now + pause;
                self.last_disturbed_at = now + pause;
            }
            5 => {
                let daemon = self.random.random_range(0..DAEMON_COUNT);
                let next_incarnation = self.daemons[daemon].incarnation + 1;
                self.daemons[daemon] = self.new_daemon(daemon, next_incarnation);
                self.schedule_daemon(daemon);
                self.last_disturbed_at = now;
            }
            6..8 => {
                self.partitioned_domain = match self.random.random_bool(0.5) {
                    true => Some(self.random.random_range(0..DOMAIN_COUNT)),
                    false => None,
                };
                self.last_disturbed_at = now;
            }
            8 => {
                self.store.down_until = now + pause;
                self.last_disturbed_at = now + pause;
            }
            9..11 => {
                // The platform lists a VM as leaving. It is live again when the faults end.
                let vm = self.random_engine();
                if !self.leaving.contains_key(&vm) && self.leaving.is_empty() {
                    self.leaving.insert(vm.clone(), now + VM_LIST_LAG);
                    self.change_vm_list(|vms| {
                        for fact in vms.iter_mut().filter(|fact| fact.vm == vm) {
                            fact.state = VmState::Leaving;
                        }
                    });
                }
            }
            _ => {
                self.network.loss_probability = self.random.random_range(0.0..0.15);
                self.last_disturbed_at = now;
            }
        }
    }

    pub(super) fn end_faults(&mut self) {
        self.partitioned_domain = None;
        self.store.down_until = self.now;
        self.network.loss_probability = 0.005;
        self.leaving.clear();
        self.change_vm_list(|vms| {
            for fact in vms {
                fact.state = VmState::Live;
            }
        });
        self.last_disturbed_at = self.now;
    }

    pub(super) fn revive(&mut self, vm: &VmId) {
        self.engines.engines[vm].is_dead = false;
    }

    /// Rolls two different bundles at the same time, as racing operators do.
    pub(super) fn roll_bundles(&mut self) {
        let wait_ms = self.random.random_range(5_000..25_000);
        if self.now + Millis(wait_ms) < FAULTS_END_AT {
            self.queue
                .schedule(self.now + Millis(wait_ms), Message::Operator);
        }
        if !self.store.is_up(self.now) {
            return;
        }
        let current_entry = self.store.keys.get(ROLL_KEY).cloned();
        let revision = current_entry.as_ref().map_or(0, |(revision, _)| *revision);
        let current_record: Option<RollRecord> =
            current_entry.and_then(|(_, value)| serde_json::from_slice(&value).ok());
        for _ in 0..2 {
            self.bundle_version += 1;
            let document_json = serde_json::to_vec(&bundle_document(self.bundle_version))
                .expect("a bundle document serializes to JSON");
            let keys = [SignerKey::from_seed(&self.operator_key.to_seed())];
            let signed_bundle = SignedBundle::sign(document_json, &keys);
            let digest = signed_bundle.digest();
            let bundle_json =
                serde_json::to_vec(&signed_bundle).expect("a signed bundle serializes to JSON");
            self.store.cas(&bundle_key(&digest), 0, bundle_json);
            let nonce = self.random.random();
            let next_record = RollRecord::next(current_record.as_ref(), digest, nonce, &keys);
            let record_json =
                serde_json::to_vec(&next_record).expect("a roll record serializes to JSON");
            self.store.cas(ROLL_KEY, revision, record_json);
        }
    }

    /// Checks that every daemon has adopted the newest roll and routes to all of its groups.
    pub(super) fn check_recovery(&self) -> Result<(), String> {
        let newest_entry = self.store.keys.get(ROLL_KEY);
        let newest_roll: RollRecord = newest_entry
            .and_then(|(_, value)| serde_json::from_slice(value).ok())
            .ok_or("the store has no roll")?;
        for (index, daemon) in self.daemons.iter().enumerate() {
            if daemon.roll != newest_roll.number {
                return Err(format!(
                    "entry-{index} has adopted roll {}, expected {}",
                    daemon.roll, newest_roll.number
                ));
            }
            let active_roll = daemon
                .state
                .active_bundle()
                .ok_or("a daemon has no active roll")?;
            let wanted_version = active_roll.document.models[0].version.clone();
            let routes = daemon.view.groups.values();
            let current_routes = routes.filter(|route| route.group.model.version == wanted_version);
            let current_count = current_routes.count();
            if current_count != REPLICAS as usize {
                let dump = daemon.state.dump(self.now);
                return Err(format!(
                    "entry-{index} routes to {current_count} groups of the newest roll at the end, \
                     expected {REPLICAS}: {}",
                    dump["fabric_domains"]
                ));
            }
        }
        Ok(())
    }
}
