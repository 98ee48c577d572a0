//! Rosters that spread, and what goes wrong.

use super::*;

impl World {
    pub(super) fn spread_roster(&mut self) {
        for node in 0..NODES {
            let wait = self.random.random_range(1..1_500);
            self.wire.at(self.now + Millis(wait), Message::Roster(node));
        }
    }

    pub(super) fn chaos(&mut self) {
        let wait = self.random.random_range(500..4_000);
        self.wire.at(self.now + Millis(wait), Message::Chaos);
        match self.random.random_range(0..10) {
            0..3 => {
                // A daemon dies and starts anew with nothing in memory.
                let node = self.random.random_range(0..NODES);
                let incarnation = self.nodes[node].incarnation;
                self.nodes[node].is_up = false;
                let wait = self.random.random_range(200..5_000);
                let message = Message::Noticed(node, incarnation);
                self.wire.at(self.now + Millis(wait), message);
            }
            3..5 => {
                let node = self.random.random_range(0..NODES);
                let pause = self.random.random_range(200..6_000);
                self.nodes[node].paused_until = self.now + Millis(pause);
            }
            5..7 => {
                self.cut = [Some(0), Some(1), Some(2)]
                    .choose(&mut self.random)
                    .copied()
                    .flatten();
            }
            7..9 => self.cut = None,
            _ => self.weather.loss = self.random.random_range(0.0..0.3),
        }
    }

    /// The platform lists the VM as gone, or its next run joins: either way the old run is out.
    pub(super) fn notice(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].is_up {
            return;
        }
        let next = incarnation + 1;
        self.roster = self.roster.with_member(member(node, next));
        let fresh = &mut self.nodes[node];
        fresh.incarnation = next;
        fresh.is_up = true;
        fresh.paused_until = Millis::ZERO;
        fresh.state = ClaimState::new(entry(node), options());
        fresh.replies.clear();
        self.wire.at(self.now, Message::Tick(node, next));
        self.spread_roster();
    }
}
