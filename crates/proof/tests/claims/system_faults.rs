//! Injects faults and spreads rosters.

use super::*;

impl Simulation {
    /// Delivers the roster to every daemon after a random delay.
    pub(super) fn spread_roster(&mut self) {
        for daemon in 0..DAEMON_COUNT {
            let wait_ms = self.random.random_range(1..1_500);
            self.queue
                .schedule(self.now + Millis(wait_ms), Message::Roster(daemon));
        }
    }

    /// Injects a random fault and schedules the next one.
    pub(super) fn inject_fault(&mut self) {
        let wait_ms = self.random.random_range(500..4_000);
        self.queue
            .schedule(self.now + Millis(wait_ms), Message::Fault);
        match self.random.random_range(0..10) {
            0..3 => {
                // A daemon crashes and restarts without state.
                let daemon = self.random.random_range(0..DAEMON_COUNT);
                let incarnation = self.daemons[daemon].incarnation;
                self.daemons[daemon].is_up = false;
                let wait_ms = self.random.random_range(200..5_000);
                let message = Message::CrashDetected(daemon, incarnation);
                self.queue.schedule(self.now + Millis(wait_ms), message);
            }
            3..5 => {
                let daemon = self.random.random_range(0..DAEMON_COUNT);
                let pause_ms = self.random.random_range(200..6_000);
                self.daemons[daemon].paused_until = self.now + Millis(pause_ms);
            }
            5..7 => {
                self.partitioned_domain = [Some(0), Some(1), Some(2)]
                    .choose(&mut self.random)
                    .copied()
                    .flatten();
            }
            7..9 => self.partitioned_domain = None,
            _ => self.network.loss_probability = self.random.random_range(0.0..0.3),
        }
    }

    /// Replaces a crashed incarnation in the roster with the next one. The platform listing the VM
    /// as gone and the next incarnation joining have the same effect on the old incarnation: it
    /// leaves the roster.
    pub(super) fn restart(&mut self, daemon: usize, incarnation: u64) {
        if self.daemons[daemon].incarnation != incarnation || self.daemons[daemon].is_up {
            return;
        }
        let next_incarnation = incarnation + 1;
        self.roster = self.roster.with_member(member(daemon, next_incarnation));
        let restarted = &mut self.daemons[daemon];
        restarted.incarnation = next_incarnation;
        restarted.is_up = true;
        restarted.paused_until = Millis::ZERO;
        restarted.state = ClaimState::new(entry(daemon), options());
        restarted.reply_targets.clear();
        self.queue
            .schedule(self.now, Message::Tick(daemon, next_incarnation));
        self.spread_roster();
    }
}
