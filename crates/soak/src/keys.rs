//! Whether a process ever went back to an older configuration, told by the keys that it took and refused.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::audit::AuditBook;
use crate::caller::CallEnd;
use crate::site::CHANGING_KEY;
use crate::violation::Violation;

impl AuditBook {
    /// A process must not take a key that was taken away after it has gone by a later configuration:
    /// it refused the key after having taken it, or took a later one.
    pub(crate) fn check_order(&self) -> Vec<Violation> {
        let mut seen: BTreeMap<usize, KeyHistory> = BTreeMap::new();
        let mut found = Vec::new();
        for record in &self.records {
            let CallEnd::Answered { status, .. } = record.end else {
                continue;
            };
            let Some(version) = key_version(&record.key) else {
                continue;
            };
            let history = seen.entry(record.entry).or_default();
            match status {
                200 if history.is_past(version, record.sent_at) => {
                    found.push(Violation::Reverted {
                        id: record.id.clone(),
                        entry: record.entry,
                    });
                }
                200 => history.taken.push((version, record.ended_at)),
                401 => history.note_refused(version, record.sent_at, record.ended_at),
                _ => {}
            }
        }
        found
    }
}

/// Which keys a process took and refused, in the order in which the answers came.
#[derive(Default)]
struct KeyHistory {
    /// Versions whose keys were taken, and when the answer was there.
    taken: Vec<(u64, Instant)>,
    /// Versions whose keys were refused after they had been taken, and when the answer was there.
    refused: Vec<(u64, Instant)>,
}

impl KeyHistory {
    fn note_refused(&mut self, version: u64, sent_at: Instant, ended_at: Instant) {
        let mut taken = self.taken.iter();
        if taken.any(|(it, at)| *it == version && *at < sent_at) {
            self.refused.push((version, ended_at));
        }
    }

    /// Whether a request that was sent at this moment met a later configuration than the one with
    /// this version's key.
    fn is_past(&self, version: u64, sent_at: Instant) -> bool {
        let mut taken = self.taken.iter();
        let mut refused = self.refused.iter();
        taken.any(|(it, at)| *it > version && *at < sent_at)
            || refused.any(|(it, at)| *it == version && *at < sent_at)
    }
}

/// The version of the configuration that gave a key out; none for the key that lasts.
fn key_version(key: &str) -> Option<u64> {
    key.strip_prefix(CHANGING_KEY)?.parse().ok()
}
