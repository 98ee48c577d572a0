//! State of one entry VM: the crashes it knows of, and what it does and reports about them.

mod parts;
mod upkeep;

use bergamot_types::prelude::*;
use indexmap::IndexSet;

use crate::blame::SUSPECT_CRASHES;
use crate::crashes::{BreakCause, BreakOutcome, BrokenRun, CrashEvidence, CrashWatch};
use crate::fingerprint::RequestPrint;
use crate::housekeeping::StoreRecords;
use crate::ledger::{CrashLedger, QuarantinedRequest, RequestStanding};
use crate::parts::{MAX_RUNS_PER_RECORD, PartRuns};
use crate::record::QuarantineRecord;

/// An input of [`QuarantineState`].
#[derive(Clone, Copy, Debug)]
pub enum QuarantineEvent<'a> {
    /// A request was interrupted at an upstream that had not announced that it leaves.
    Broken {
        /// The upstream.
        incarnation: &'a UpstreamIncarnation,
        /// The request and its progress there.
        run: BrokenRun,
        /// How it was interrupted.
        cause: BreakCause,
    },
    /// A request with these prompt parts was interrupted at an upstream. Follows
    /// [`Self::Broken`] of the request.
    PartsBroken {
        /// The upstream.
        incarnation: &'a UpstreamIncarnation,
        /// The parts and the progress of the request there.
        runs: PartRuns<'a>,
        /// How it was interrupted.
        cause: BreakCause,
    },
    /// An upstream announced that it leaves.
    Leaving(&'a UpstreamIncarnation),
    /// There is evidence that an upstream crashed.
    Crashed {
        /// The upstream.
        incarnation: &'a UpstreamIncarnation,
        /// The evidence.
        evidence: CrashEvidence,
    },
    /// A crash was reviewed some time after it.
    Reviewed {
        /// The upstream.
        incarnation: &'a UpstreamIncarnation,
        /// Whether the directory still lists this incarnation, so that it did not crash.
        is_listed: bool,
    },
    /// A single upstream answered a request completely.
    Answered(RequestPrint),
    /// A single upstream answered a request with these prompt parts completely.
    PartsAnswered(&'a [RequestPrint]),
    /// The store holds a record.
    Stored {
        /// The key of the record.
        key: &'a str,
        /// The record.
        record: &'a QuarantineRecord,
    },
    /// Another VM reported a record, which will also be written to the store.
    Reported(&'a QuarantineRecord),
    /// The record with this key was removed from the store.
    Removed(&'a str),
    /// A housekeeping period has passed.
    Housekeeping {
        /// The wall-clock time, if this VM coordinates and so maintains the records in the store.
        /// Written to records for people to read.
        coordinator_clock: Option<UnixMillis>,
    },
}

/// An action for the caller to take.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum QuarantineAction {
    /// Check whether anything listens at this upstream.
    Probe(UpstreamIncarnation),
    /// Log and count the crash of an upstream.
    LogCrash {
        /// The upstream.
        incarnation: UpstreamIncarnation,
        /// The evidence.
        evidence: CrashEvidence,
    },
    /// Log that another crash is attributed to a request.
    LogStrike {
        /// The request and its progress there.
        run: BrokenRun,
        /// The crashed upstream.
        incarnation: UpstreamIncarnation,
        /// The number of crashes of the request, whichever request is blamed for them.
        crash_count: usize,
    },
    /// Share a record with the other VMs.
    Share(QuarantineRecord),
    /// Remove the records with these keys.
    Remove(Vec<String>),
}

/// What one VM knows of requests that were running at crashed upstreams.
#[derive(Clone, Debug, Default)]
pub struct QuarantineState {
    crash_watch: CrashWatch,
    ledger: CrashLedger,
    store_records: StoreRecords,
}

impl QuarantineState {
    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, now: Millis, event: QuarantineEvent<'_>) -> Vec<QuarantineAction> {
        match event {
            QuarantineEvent::Broken {
                incarnation,
                run,
                cause,
            } => self.record_break(now, incarnation, run, cause),
            QuarantineEvent::PartsBroken {
                incarnation,
                runs,
                cause,
            } => self.record_part_breaks(now, incarnation, runs, cause),
            QuarantineEvent::Leaving(incarnation) => {
                self.crash_watch.forget(incarnation);
                Vec::new()
            }
            QuarantineEvent::Crashed {
                incarnation,
                evidence,
            } => self.record_crash(now, incarnation, evidence),
            QuarantineEvent::Reviewed {
                incarnation,
                is_listed,
            } => self.review(now, incarnation, is_listed),
            QuarantineEvent::Answered(print) => self.clear(now, print),
            QuarantineEvent::PartsAnswered(parts) => self.clear_parts(now, parts),
            QuarantineEvent::Stored { key, record } => {
                self.store_records.insert(now, key, record);
                self.merge(now, record);
                Vec::new()
            }
            QuarantineEvent::Reported(record) => {
                self.merge(now, record);
                Vec::new()
            }
            QuarantineEvent::Removed(key) => {
                self.store_records.forget(key);
                Vec::new()
            }
            QuarantineEvent::Housekeeping { coordinator_clock } => {
                self.ledger.expire(now);
                let quarantined = self.ledger.quarantined();
                let mut actions = self.renew(now, &quarantined);
                if let Some(wall_clock) = coordinator_clock {
                    actions.extend(self.maintain_store(now, wall_clock, quarantined));
                }
                actions
            }
        }
    }

    /// Whether no crash is attributed to any request.
    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty()
    }

    /// Returns how a request may be handled.
    pub fn standing(&mut self, print: RequestPrint) -> RequestStanding {
        self.ledger.standing(print)
    }

    /// Whether the request already has a crash, so that another one would change how it may be
    /// handled. A break must then be resolved before a retry.
    pub fn has_open_crash(&self, print: RequestPrint) -> bool {
        self.ledger.open_crashes(print) > 0
    }

    /// Records that a quarantined request was rejected.
    pub fn record_rejection(&mut self, now: Millis, print: RequestPrint) {
        self.ledger.record_rejection(now, print);
    }

    /// Whether requests were interrupted at an upstream that may have crashed.
    pub fn may_have_crashed(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.crash_watch.may_have_crashed(incarnation)
    }

    /// Returns the upstreams at which requests were interrupted and that may have crashed.
    pub fn pending_upstreams(&self) -> IndexSet<UpstreamIncarnation> {
        self.crash_watch.pending_upstreams()
    }

    /// Whether this VM observed that the upstream crashed while it ran a request.
    pub fn has_crashed(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.crash_watch.has_crashed(incarnation)
    }

    /// Returns the crashes due for review, given that the directory has been up to date since
    /// `fresh_since`.
    pub fn due_for_review(&self, now: Millis, fresh_since: Millis) -> Vec<UpstreamIncarnation> {
        self.crash_watch.due_for_review(now, fresh_since)
    }

    /// Returns the quarantined requests.
    pub fn quarantined(&mut self) -> Vec<QuarantinedRequest> {
        self.ledger.quarantined()
    }

    /// Returns the number of recorded requests, in quarantine or not.
    pub fn request_count(&self) -> usize {
        self.ledger.len()
    }

    fn record_break(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        run: BrokenRun,
        cause: BreakCause,
    ) -> Vec<QuarantineAction> {
        match self.crash_watch.record_break(now, incarnation, run, cause) {
            BreakOutcome::Crashed => self.record_strikes(now, incarnation, &[run]),
            BreakOutcome::Probe => vec![QuarantineAction::Probe(incarnation.clone())],
            BreakOutcome::Pending => Vec::new(),
        }
    }

    fn record_crash(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        evidence: CrashEvidence,
    ) -> Vec<QuarantineAction> {
        let Some(runs) = self.crash_watch.record_crash(now, incarnation, evidence) else {
            return Vec::new();
        };
        let incarnation = incarnation.clone();
        let mut actions = vec![QuarantineAction::LogCrash {
            incarnation: incarnation.clone(),
            evidence,
        }];
        actions.extend(self.record_strikes(now, &incarnation, &runs));
        actions
    }

    fn record_strikes(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        runs: &[BrokenRun],
    ) -> Vec<QuarantineAction> {
        let records = runs.chunks(MAX_RUNS_PER_RECORD).map(|runs| {
            QuarantineAction::Share(QuarantineRecord::Crash {
                incarnation: incarnation.clone(),
                runs: runs.to_vec(),
            })
        });
        let mut actions: Vec<QuarantineAction> = records.collect();
        for run in runs {
            self.ledger.record_observed_crash(now, incarnation, *run);
            actions.push(QuarantineAction::LogStrike {
                run: *run,
                incarnation: incarnation.clone(),
                crash_count: self.ledger.open_crashes(run.print),
            });
        }
        actions
    }

    /// Withdraws a crash that did not happen.
    fn review(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        is_listed: bool,
    ) -> Vec<QuarantineAction> {
        let prints = self.crash_watch.take_reviewed(incarnation);
        if !is_listed {
            return Vec::new();
        }
        let records = prints.into_iter().map(|print| {
            let incarnations = vec![incarnation.clone()];
            self.ledger.clear(now, print, incarnations.iter().cloned());
            QuarantineAction::Share(QuarantineRecord::Cleared {
                print,
                incarnations,
            })
        });
        records.collect()
    }

    /// Clears a request of all known crashes. The clearance is reported only by a VM that observed
    /// one of the crashes, or while the request is suspected or quarantined. Otherwise every VM
    /// would report a request that all of them answer many times a second.
    fn clear(&mut self, now: Millis, print: RequestPrint) -> Vec<QuarantineAction> {
        let incarnations = self.ledger.crashed_upstreams(print);
        if incarnations.is_empty() {
            return Vec::new();
        }
        // A VM that started lately may not know that the part is harmless.
        let is_suspected_part = print.is_part() && incarnations.len() >= SUSPECT_CRASHES;
        let must_report = is_suspected_part
            || self.ledger.is_observed(print)
            || self.ledger.standing(print) != RequestStanding::Good;
        self.ledger.clear(now, print, incarnations.iter().cloned());
        match must_report {
            true => vec![QuarantineAction::Share(QuarantineRecord::Cleared {
                print,
                incarnations,
            })],
            false => Vec::new(),
        }
    }

    fn merge(&mut self, now: Millis, record: &QuarantineRecord) {
        match record {
            QuarantineRecord::CrashWithoutProgress {
                incarnation,
                prints,
            } => {
                for print in prints {
                    self.ledger
                        .record_crash(now, incarnation, run_without_progress(*print));
                }
            }
            QuarantineRecord::Crash { incarnation, runs } => {
                for run in runs {
                    self.ledger.record_crash(now, incarnation, *run);
                }
            }
            QuarantineRecord::Cleared {
                print,
                incarnations,
            } => {
                self.ledger.clear(now, *print, incarnations.iter().cloned());
            }
            QuarantineRecord::Quarantined {
                print,
                incarnations,
                ..
            } => {
                for incarnation in incarnations {
                    self.ledger
                        .record_crash(now, incarnation, run_without_progress(*print));
                }
                // A renewed record means that the request has come to the VM that writes it.
                self.ledger.record_rejection(now, *print);
            }
        }
    }
}

/// A run whose progress is unknown, such as one that led to quarantine. It counts as having made
/// none.
const fn run_without_progress(print: RequestPrint) -> BrokenRun {
    BrokenRun { print, events: 0 }
}
