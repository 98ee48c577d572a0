//! What a VM does and reports about crashes under prompt parts.

use bergamot_types::prelude::*;

use super::{QuarantineAction, QuarantineState};
use crate::blame::SUSPECT_CRASHES;
use crate::crashes::{BreakCause, BrokenRun};
use crate::fingerprint::RequestPrint;
use crate::ledger::RequestStanding;
use crate::parts::PartRuns;

impl QuarantineState {
    /// Returns the quarantined one among the prompt parts of a request, if any.
    pub fn quarantined_part(&mut self, parts: &[RequestPrint]) -> Option<RequestPrint> {
        let mut parts = parts.iter().copied();
        parts.find(|part| self.standing(*part) == RequestStanding::Quarantined)
    }

    /// Whether one more crash would put one of these prompt parts into quarantine. A break must then
    /// be resolved before a retry.
    pub fn has_suspected_part(&self, parts: &[RequestPrint]) -> bool {
        let mut parts = parts.iter();
        parts.any(|part| self.ledger.open_crashes(*part) >= SUSPECT_CRASHES)
    }

    /// Records the prompt parts of an interrupted request.
    pub(super) fn record_part_breaks(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        runs: PartRuns<'_>,
        cause: BreakCause,
    ) -> Vec<QuarantineAction> {
        let mut struck_runs = Vec::new();
        for print in runs.prints {
            if !self.ledger.counts_against_part(*print, &runs) {
                continue;
            }
            let run = BrokenRun {
                print: *print,
                events: runs.events,
            };
            if self
                .crash_watch
                .record_part_break(now, incarnation, run, cause)
            {
                struck_runs.push(run);
            }
        }
        match struck_runs.is_empty() {
            true => Vec::new(),
            false => self.record_strikes(now, incarnation, &struck_runs),
        }
    }

    /// Records that prompt parts are harmless, and clears them of all known crashes.
    pub(super) fn clear_parts(
        &mut self,
        now: Millis,
        parts: &[RequestPrint],
    ) -> Vec<QuarantineAction> {
        let mut actions = Vec::new();
        for part in parts {
            if self.ledger.record_part_answer(now, *part) {
                actions.extend(self.clear(now, *part));
            }
        }
        actions
    }
}
