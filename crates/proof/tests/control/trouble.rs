//! What goes wrong, what operators do, and what must hold in the end.

use super::*;

impl World {
    pub(super) fn chaos(&mut self) {
        if self.is_calm() {
            self.heal();
            return;
        }
        let wait = self.random.random_range(500..5_000);
        self.wire.at(self.now + Millis(wait), Message::Chaos);
        let now = self.now;
        let pause = Millis(self.random.random_range(300..9_000));
        match self.random.random_range(0..12) {
            0..3 => {
                // An engine restarts empty, or stands still and comes back as it was.
                let vm = self.any_engine();
                self.engines.break_group(&vm);
                if self.random.random_bool(0.5) {
                    let ignores_fencing = self.engines.engines[&vm].ignores_fencing;
                    self.engines.engines[&vm] = Engine {
                        is_dead: true,
                        ignores_fencing,
                        ..Engine::default()
                    };
                    self.wire.at(now + pause, Message::Revive(vm));
                } else {
                    self.engines.engines[&vm].paused_until = now + pause;
                }
            }
            3..5 => {
                let node = self.random.random_range(0..NODES);
                self.nodes[node].paused_until = now + pause;
                self.last_disturbed = now + pause;
            }
            5 => {
                let node = self.random.random_range(0..NODES);
                let incarnation = self.nodes[node].incarnation + 1;
                self.nodes[node] = self.start_node(node, incarnation);
                self.begin_node(node);
                self.last_disturbed = now;
            }
            6..8 => {
                self.cut = match self.random.random_bool(0.5) {
                    true => Some(self.random.random_range(0..DOMAINS)),
                    false => None,
                };
                self.last_disturbed = now;
            }
            8 => {
                self.store.down_until = now + pause;
                self.last_disturbed = now + pause;
            }
            9..11 => {
                // The platform takes a VM away and brings it back as a new one later.
                let vm = self.any_engine();
                if !self.leaving.contains_key(&vm) && self.leaving.is_empty() {
                    self.leaving.insert(vm.clone(), now + LIST_LAG);
                    self.change_list(|vms| {
                        for fact in vms.iter_mut().filter(|fact| fact.vm == vm) {
                            fact.state = VmState::Leaving;
                        }
                    });
                }
            }
            _ => {
                self.weather.loss = self.random.random_range(0.0..0.15);
                self.last_disturbed = now;
            }
        }
    }

    pub(super) fn heal(&mut self) {
        self.cut = None;
        self.store.down_until = self.now;
        self.weather.loss = 0.005;
        self.leaving.clear();
        self.change_list(|vms| {
            for fact in vms {
                fact.state = VmState::Live;
            }
        });
        self.last_disturbed = self.now;
    }

    pub(super) fn revive(&mut self, vm: &VmId) {
        self.engines.engines[vm].is_dead = false;
    }

    /// Operators race: two of them roll different bundles at the same time.
    pub(super) fn operator(&mut self) {
        let wait = self.random.random_range(5_000..25_000);
        if self.now + Millis(wait) < CHAOS_ENDS {
            self.wire.at(self.now + Millis(wait), Message::Operator);
        }
        if !self.store.is_up(self.now) {
            return;
        }
        let current = self.store.keys.get(ROLL_KEY).cloned();
        let revision = current.as_ref().map_or(0, |(revision, _)| *revision);
        let record: Option<RollRecord> =
            current.and_then(|(_, value)| serde_json::from_slice(&value).ok());
        for _ in 0..2 {
            self.version += 1;
            let bytes = serde_json::to_vec(&document(self.version)).expect("a document is JSON");
            let keys = [SignerKey::from_seed(&self.key.to_seed())];
            let signed = SignedBundle::sign(bytes, &keys);
            let digest = signed.digest();
            let value = serde_json::to_vec(&signed).expect("a bundle is JSON");
            self.store.cas(&bundle_key(&digest), 0, value);
            let nonce = self.random.random();
            let next = RollRecord::next(record.as_ref(), digest, nonce, &keys);
            let value = serde_json::to_vec(&next).expect("a record is JSON");
            self.store.cas(ROLL_KEY, revision, value);
        }
    }

    pub(super) fn check_end(&self) -> Result<(), String> {
        let newest = self.store.keys.get(ROLL_KEY);
        let newest: RollRecord = newest
            .and_then(|(_, value)| serde_json::from_slice(value).ok())
            .ok_or("nothing was rolled")?;
        for (index, node) in self.nodes.iter().enumerate() {
            if node.roll != newest.number {
                return Err(format!(
                    "entry-{index} has roll {} in force, not {}",
                    node.roll, newest.number
                ));
            }
            let force = node.state.force().ok_or("nothing is in force")?;
            let wanted = force.document.models[0].version.clone();
            let routable = node.view.groups.values();
            let current = routable.filter(|route| route.group.model.version == wanted);
            let current = current.count();
            if current != REPLICAS as usize {
                let dump = node.state.dump(self.now);
                return Err(format!(
                    "entry-{index} routes to {current} current groups at the end: {}",
                    dump["fabric_domains"]
                ));
            }
        }
        Ok(())
    }
}
