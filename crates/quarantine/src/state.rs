//! What one VM knows, what it does about it, and what it tells the others.

use bergamot_types::prelude::*;
use indexmap::IndexSet;

use crate::ends::{BreakCause, BreakOutcome, BrokenRun, CrashEvidence, EndWatch};
use crate::fingerprint::RequestPrint;
use crate::kept::KeptRecords;
use crate::ledger::{CrashLedger, QuarantinedRequest, RequestStanding};
use crate::record::QuarantineRecord;

/// Changes that are made to the store at once: what one of its transactions holds.
const MAX_CHANGES: usize = 32;
/// Time after the last end of a request in quarantine before that is kept for VMs that start later: what all VMs saw of
/// that end is known by then, and may blame another request for it.
const KEEP_DELAY: Millis = Millis(1_000);

/// Something that happened.
#[derive(Clone, Copy, Debug)]
pub enum QuarantineEvent<'a> {
    /// A request was broken off at an upstream that had not said that it was leaving.
    Broken {
        /// The upstream.
        incarnation: &'a UpstreamIncarnation,
        /// The request, and how far it had come there.
        run: BrokenRun,
        /// How.
        cause: BreakCause,
    },
    /// An upstream says that it leaves.
    Leaving(&'a UpstreamIncarnation),
    /// Something shows that an upstream has ended.
    Crashed {
        /// The upstream.
        incarnation: &'a UpstreamIncarnation,
        /// What shows it.
        evidence: CrashEvidence,
    },
    /// An end was looked at once more, long after it.
    Reviewed {
        /// The upstream.
        incarnation: &'a UpstreamIncarnation,
        /// Whether the directory still names this run of it, so that it has not ended.
        is_listed: bool,
    },
    /// One upstream alone answered a request whole.
    Answered(RequestPrint),
    /// A record is in the store.
    Stored {
        /// Its key.
        key: &'a str,
        /// What it says.
        record: &'a QuarantineRecord,
    },
    /// Another VM told what it saw. The store will have it too.
    Reported(&'a QuarantineRecord),
    /// A record is not in the store any more.
    Removed(&'a str),
    /// Some time has passed.
    Housekeeping {
        /// The time of day, where it is this VM's duty to keep the records in the store in order; for people who read
        /// them.
        coordinator_clock: Option<UnixMillis>,
    },
}

/// What is to be done.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum QuarantineAction {
    /// Find out whether anything listens at this upstream.
    Probe(UpstreamIncarnation),
    /// Log and count that this upstream ended.
    LogCrash {
        /// The upstream.
        incarnation: UpstreamIncarnation,
        /// What shows it.
        evidence: CrashEvidence,
    },
    /// Log that a request has one more end against it.
    LogStrike {
        /// The request, and how far it had come there.
        run: BrokenRun,
        /// The upstream that ended.
        incarnation: UpstreamIncarnation,
        /// The ends under it, whoever is to blame for them.
        crash_count: usize,
    },
    /// Keep a record for the other VMs.
    Share(QuarantineRecord),
    /// Remove records, by their keys.
    Remove(Vec<String>),
}

/// What one VM knows of requests under which upstreams end.
#[derive(Clone, Debug, Default)]
pub struct QuarantineState {
    ends: EndWatch,
    ledger: CrashLedger,
    kept: KeptRecords,
}

impl QuarantineState {
    /// Takes in what happened and says what to do.
    pub fn handle(&mut self, now: Millis, event: QuarantineEvent<'_>) -> Vec<QuarantineAction> {
        match event {
            QuarantineEvent::Broken {
                incarnation,
                run,
                cause,
            } => self.note_break(now, incarnation, run, cause),
            QuarantineEvent::Leaving(incarnation) => {
                self.ends.forget(incarnation);
                Vec::new()
            }
            QuarantineEvent::Crashed {
                incarnation,
                evidence,
            } => self.note_end(now, incarnation, evidence),
            QuarantineEvent::Reviewed {
                incarnation,
                is_listed,
            } => self.review(now, incarnation, is_listed),
            QuarantineEvent::Answered(print) => self.clear(now, print),
            QuarantineEvent::Stored { key, record } => {
                self.kept.note(now, key, record);
                self.join(now, record);
                Vec::new()
            }
            QuarantineEvent::Reported(record) => {
                self.join(now, record);
                Vec::new()
            }
            QuarantineEvent::Removed(key) => {
                self.kept.forget(key);
                Vec::new()
            }
            QuarantineEvent::Housekeeping { coordinator_clock } => {
                self.ledger.expire(now);
                let held = self.ledger.quarantined();
                let mut actions = self.renew(now, &held);
                if let Some(today) = coordinator_clock {
                    actions.extend(self.keep_house(now, today, held));
                }
                actions
            }
        }
    }

    /// Whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty()
    }

    /// What may be done with a request.
    pub fn standing(&mut self, print: RequestPrint) -> RequestStanding {
        self.ledger.standing(print)
    }

    /// Whether one more end would change what may be done with a request, so that it is to be known before it is
    /// repeated.
    pub fn has_open_crash(&self, print: RequestPrint) -> bool {
        self.ledger.open_ends(print) > 0
    }

    /// Notes that a request was refused as one in quarantine.
    pub fn record_rejection(&mut self, now: Millis, print: RequestPrint) {
        self.ledger.note_refused(now, print);
    }

    /// Whether it is to be found out of an upstream whether it ended.
    pub fn may_have_crashed(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.ends.is_awaited(incarnation)
    }

    /// Upstreams of which it is to be found out whether they ended.
    pub fn pending_upstreams(&self) -> IndexSet<UpstreamIncarnation> {
        self.ends.awaited()
    }

    /// Whether it was seen from this VM that an upstream has ended under a request.
    pub fn has_crashed(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.ends.has_ended(incarnation)
    }

    /// Ends that are to be looked at once more, where the directory has been up to date since `fresh_since`.
    pub fn due_for_review(&self, now: Millis, fresh_since: Millis) -> Vec<UpstreamIncarnation> {
        self.ends.to_review(now, fresh_since)
    }

    /// Requests in quarantine.
    pub fn quarantined(&mut self) -> Vec<QuarantinedRequest> {
        self.ledger.quarantined()
    }

    /// Requests under which upstreams ended, in quarantine or not.
    pub fn request_count(&self) -> usize {
        self.ledger.len()
    }

    fn note_break(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        run: BrokenRun,
        cause: BreakCause,
    ) -> Vec<QuarantineAction> {
        match self.ends.note_break(now, incarnation, run, cause) {
            BreakOutcome::Ended => self.strike(now, incarnation, &[run]),
            BreakOutcome::Probe => vec![QuarantineAction::Probe(incarnation.clone())],
            BreakOutcome::Awaited => Vec::new(),
        }
    }

    fn note_end(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        evidence: CrashEvidence,
    ) -> Vec<QuarantineAction> {
        let Some(runs) = self.ends.note_end(now, incarnation, evidence) else {
            return Vec::new();
        };
        let incarnation = incarnation.clone();
        let mut actions = vec![QuarantineAction::LogCrash {
            incarnation: incarnation.clone(),
            evidence,
        }];
        actions.extend(self.strike(now, &incarnation, &runs));
        actions
    }

    fn strike(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        runs: &[BrokenRun],
    ) -> Vec<QuarantineAction> {
        let mut actions = vec![QuarantineAction::Share(QuarantineRecord::Crash {
            incarnation: incarnation.clone(),
            runs: runs.to_vec(),
        })];
        for run in runs {
            self.ledger.note_own(now, incarnation, *run);
            actions.push(QuarantineAction::LogStrike {
                run: *run,
                incarnation: incarnation.clone(),
                crash_count: self.ledger.open_ends(run.print),
            });
        }
        actions
    }

    /// Takes an end back that was none.
    fn review(
        &mut self,
        now: Millis,
        incarnation: &UpstreamIncarnation,
        is_listed: bool,
    ) -> Vec<QuarantineAction> {
        let prints = self.ends.take_reviewed(incarnation);
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

    /// Clears a request of all ends that are known. Of one end only the VM tells the others that has told them of the
    /// end: a request that every VM answers many times a second would be told of by each.
    fn clear(&mut self, now: Millis, print: RequestPrint) -> Vec<QuarantineAction> {
        let incarnations = self.ledger.ends(print);
        if incarnations.is_empty() {
            return Vec::new();
        }
        let is_told =
            self.ledger.is_own(print) || self.ledger.standing(print) != RequestStanding::Good;
        self.ledger.clear(now, print, incarnations.iter().cloned());
        match is_told {
            true => vec![QuarantineAction::Share(QuarantineRecord::Cleared {
                print,
                incarnations,
            })],
            false => Vec::new(),
        }
    }

    fn join(&mut self, now: Millis, record: &QuarantineRecord) {
        match record {
            QuarantineRecord::CrashWithoutProgress {
                incarnation,
                prints,
            } => {
                for print in prints {
                    self.ledger.note_end(now, incarnation, whole_blame(*print));
                }
            }
            QuarantineRecord::Crash { incarnation, runs } => {
                for run in runs {
                    self.ledger.note_end(now, incarnation, *run);
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
                    self.ledger.note_end(now, incarnation, whole_blame(*print));
                }
                // Written once more, it says that the request has come to the VM that writes it.
                self.ledger.note_refused(now, *print);
            }
        }
    }

    /// Tells the others of requests in quarantine that came here.
    fn renew(&mut self, now: Millis, held: &[QuarantinedRequest]) -> Vec<QuarantineAction> {
        let renewed = held
            .iter()
            .filter_map(|request| self.kept.renew(now, request));
        renewed
            .take(MAX_CHANGES)
            .map(QuarantineAction::Share)
            .collect()
    }

    fn keep_house(
        &mut self,
        now: Millis,
        today: UnixMillis,
        held: Vec<QuarantinedRequest>,
    ) -> Vec<QuarantineAction> {
        let prints: IndexSet<RequestPrint> = held.iter().map(|request| request.print).collect();
        let unkept = held.into_iter().filter(|request| {
            let is_settled = now.since(request.struck_at) >= KEEP_DELAY;
            is_settled && !self.kept.has_quarantine(request.print)
        });
        let mut actions: Vec<QuarantineAction> = unkept
            .take(MAX_CHANGES)
            .map(|request| {
                QuarantineAction::Share(QuarantineRecord::Quarantined {
                    print: request.print,
                    incarnations: request.ends,
                    since: today,
                })
            })
            .collect();
        let is_held = |print| prints.contains(&print);
        let overdue = self.kept.overdue(now, is_held, MAX_CHANGES);
        if !overdue.is_empty() {
            actions.push(QuarantineAction::Remove(overdue));
        }
        actions
    }
}

/// A run of which nobody says how far it had come, such as one that led to quarantine: not far.
const fn whole_blame(print: RequestPrint) -> BrokenRun {
    BrokenRun { print, events: 0 }
}
