//! Owners that did not answer a question in time.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// How long nothing is asked of an owner that did not answer, and nothing is sent to the upstream.
pub(crate) const SILENCE_TIME: Millis = Millis(500);
/// Number of silent owners of one failure domain from which on its other owners are not asked
/// either. Each unanswered question delays a request by 50 ms, and a VM that is cut off from a
/// failure domain would ask each of its owners in turn.
const MIN_SILENT_OWNERS: usize = 2;

#[derive(Clone, Debug)]
struct SilentOwner {
    failure_domain: FailureDomain,
    until: Millis,
}

/// The owners that did not answer recently.
#[derive(Clone, Debug, Default)]
pub struct SilentOwners {
    owners: IndexMap<String, SilentOwner>,
}

impl SilentOwners {
    /// Records that an owner did not answer.
    pub fn record(&mut self, now: Millis, owner: String, failure_domain: FailureDomain) {
        self.owners.retain(|_, silent| silent.until > now);
        let until = now + SILENCE_TIME;
        let silent = SilentOwner {
            failure_domain,
            until,
        };
        self.owners.insert(owner, silent);
    }

    /// Records that an owner answered, late or not.
    pub fn forget(&mut self, owner: &str) {
        self.owners.swap_remove(owner);
    }

    /// Returns until when an owner of a failure domain must not be asked.
    pub fn silent_until(
        &self,
        now: Millis,
        owner: &str,
        failure_domain: &FailureDomain,
    ) -> Option<Millis> {
        if let Some(silent) = self.owners.get(owner).filter(|silent| silent.until > now) {
            return Some(silent.until);
        }
        let in_domain = self
            .owners
            .values()
            .filter(|silent| silent.until > now && silent.failure_domain == *failure_domain);
        let ends: Vec<Millis> = in_domain.map(|silent| silent.until).collect();
        let is_domain_silent = ends.len() >= MIN_SILENT_OWNERS;
        is_domain_silent.then(|| ends.into_iter().min()).flatten()
    }
}
