//! Requests with what is to be found in them.

use bergamot_soak::caller::{CallEnd, RequestKind};
use bergamot_soak::plan::{FaultKind, LinkState};

use super::{AuditCase, FOREIGN, HARMFUL, answered, ended};

pub fn cases() -> Vec<AuditCase> {
    let case = AuditCase::default;
    let cut = CallEnd::Cut { had_head: false };
    vec![
        case(),
        AuditCase {
            name: "twice",
            runs: &[110, 120],
            found: Some("RanTwice"),
            ..case()
        },
        AuditCase {
            name: "a read twice",
            kind: RequestKind::Read,
            runs: &[110, 120],
            ..case()
        },
        AuditCase {
            name: "not run, and had",
            end: answered(503, false),
            found: Some("FalselyNotRun"),
            ..case()
        },
        AuditCase {
            name: "not run, later it did",
            end: answered(429, false),
            runs: &[900],
            found: Some("FalselyNotRun"),
            ..case()
        },
        AuditCase {
            name: "not run",
            end: answered(503, false),
            runs: &[],
            ..case()
        },
        AuditCase {
            name: "may have run",
            end: answered(502, false),
            ..case()
        },
        AuditCase {
            name: "a read that says so",
            kind: RequestKind::Read,
            end: ended(503, false, true, true),
            found: Some("FalselyNotRun"),
            ..case()
        },
        AuditCase {
            name: "a stream that ran, answered with 408",
            kind: RequestKind::Stream(4),
            end: answered(408, false),
            found: Some("FalselyNotRun"),
            ..case()
        },
        AuditCase {
            name: "a stream that ran, answered with 421",
            kind: RequestKind::Stream(4),
            end: answered(421, false),
            found: Some("FalselyNotRun"),
            ..case()
        },
        AuditCase {
            name: "a stream that ran, answered with 429",
            kind: RequestKind::Stream(4),
            end: answered(429, false),
            found: Some("FalselyNotRun"),
            ..case()
        },
        AuditCase {
            name: "a stream that ran, answered with 503",
            kind: RequestKind::Stream(4),
            end: answered(503, false),
            found: Some("FalselyNotRun"),
            ..case()
        },
        AuditCase {
            name: "a stream that did not run",
            kind: RequestKind::Stream(4),
            end: answered(503, false),
            runs: &[],
            ..case()
        },
        AuditCase {
            name: "a stream that may have run",
            kind: RequestKind::Stream(4),
            end: answered(502, false),
            ..case()
        },
        AuditCase {
            name: "a read with an upstream's own status",
            kind: RequestKind::Read,
            end: answered(503, false),
            ..case()
        },
        AuditCase {
            name: "half an answer",
            end: answered(200, false),
            found: Some("WrongAnswer"),
            ..case()
        },
        AuditCase {
            name: "no word when to come back",
            end: ended(503, false, false, false),
            runs: &[],
            found: Some("NoRetryAfter"),
            ..case()
        },
        AuditCase {
            name: "held",
            ended: 5_500,
            found: Some("HeldTooLong"),
            ..case()
        },
        AuditCase {
            name: "held while it stood still",
            ended: 5_500,
            trouble: Some((FaultKind::PauseEntry(0), 200, 4_000)),
            ..case()
        },
        AuditCase {
            name: "another stood still",
            ended: 5_500,
            trouble: Some((FaultKind::PauseEntry(1), 200, 4_000)),
            found: Some("HeldTooLong"),
            ..case()
        },
        AuditCase {
            name: "a good key",
            end: answered(401, false),
            runs: &[],
            found: Some("Denied"),
            ..case()
        },
        AuditCase {
            name: "a key that is gone",
            key: "key-old",
            sent: 6_000,
            ended: 6_100,
            runs: &[6_050],
            found: Some("RevokedServed"),
            ..case()
        },
        AuditCase {
            name: "a key that has just gone",
            key: "key-old",
            sent: 4_000,
            ended: 4_100,
            runs: &[4_050],
            ..case()
        },
        AuditCase {
            name: "cut by a stop",
            end: cut.clone(),
            trouble: Some((FaultKind::StopEntry(0), 130, 200)),
            found: Some("CutByStop"),
            ..case()
        },
        AuditCase {
            name: "cut by a stop while another instance is gone",
            end: cut.clone(),
            trouble: Some((FaultKind::StopEntry(0), 130, 200)),
            other: Some((FaultKind::DeskDies(1), 0, 300)),
            found: Some("CutByStop"),
            ..case()
        },
        AuditCase {
            name: "cut while its instance was gone",
            end: cut.clone(),
            trouble: Some((FaultKind::StopEntry(0), 130, 200)),
            other: Some((FaultKind::DeskDies(0), 0, 300)),
            ..case()
        },
        AuditCase {
            name: "cut by a stop, sent after the signal",
            end: cut.clone(),
            trouble: Some((FaultKind::StopEntry(0), 50, 200)),
            found: Some("CutByStop"),
            ..case()
        },
        AuditCase {
            name: "an idle connection at a stop",
            end: cut.clone(),
            runs: &[],
            trouble: Some((FaultKind::StopEntry(0), 130, 200)),
            ..case()
        },
        AuditCase {
            name: "killed",
            end: cut,
            trouble: Some((FaultKind::KillEntry(0), 130, 200)),
            ..case()
        },
        AuditCase {
            name: "a harmful request that goes on and on",
            kind: HARMFUL,
            sent: 1_900,
            ended: 1_950,
            end: answered(502, false),
            runs: &[2_000, 4_000, 6_000, 10_000, 12_000, 14_000, 16_000],
            found: Some("NotBounded"),
            ..case()
        },
        AuditCase {
            name: "one that is bounded",
            kind: HARMFUL,
            sent: 1_900,
            ended: 1_950,
            end: answered(502, false),
            runs: &[2_000, 4_000, 6_000, 7_000, 8_500, 10_000, 12_000, 14_000],
            ..case()
        },
        AuditCase {
            name: "one that goes on at a process that is cut off",
            kind: HARMFUL,
            sent: 1_900,
            ended: 1_950,
            end: answered(502, false),
            runs: &[2_000, 4_000, 6_000, 10_000, 12_000, 14_000, 16_000],
            trouble: Some((FaultKind::StoreOutage, 6_000, 16_000)),
            ..case()
        },
        AuditCase {
            name: "one that meets the same upstream while it is down",
            kind: HARMFUL,
            sent: 1_900,
            ended: 1_950,
            end: answered(502, false),
            runs: &[
                2_000, 2_010, 2_020, 2_030, 9_000, 15_000, 16_500, 18_000, 18_010,
            ],
            ..case()
        },
        AuditCase {
            name: "work while it leaves",
            sent: 3_000,
            ended: 3_200,
            runs: &[3_100],
            leaves: true,
            found: Some("WorkWhileLeaving"),
            ..case()
        },
        AuditCase {
            name: "work just after that",
            sent: 2_000,
            ended: 2_200,
            runs: &[2_100],
            leaves: true,
            ..case()
        },
        AuditCase {
            name: "work that was sent before that and held up on the link",
            sent: 2_000,
            ended: 5_300,
            runs: &[5_100],
            leaves: true,
            trouble: Some((FaultKind::DeskLink(0, LinkState::Silent), 1_500, 5_050)),
            ..case()
        },
        AuditCase {
            name: "work that was sent before that over a link that was whole again long before it arrived",
            sent: 2_000,
            ended: 6_200,
            runs: &[6_000],
            leaves: true,
            trouble: Some((FaultKind::DeskLink(0, LinkState::Silent), 1_500, 2_500)),
            found: Some("WorkWhileLeaving"),
            ..case()
        },
        AuditCase {
            name: "work that was sent later over the same link",
            sent: 3_100,
            ended: 5_300,
            runs: &[5_100],
            leaves: true,
            trouble: Some((FaultKind::DeskLink(0, LinkState::Silent), 1_500, 5_050)),
            found: Some("WorkWhileLeaving"),
            ..case()
        },
        AuditCase {
            name: "work at an upstream that no entry names",
            sent: 3_000,
            ended: 3_200,
            runs: &[3_100],
            other: Some((FOREIGN, 900, 4_000)),
            found: Some("WorkWhileUnnamed"),
            ..case()
        },
        AuditCase {
            name: "work just after its entry was written over",
            sent: 2_000,
            ended: 2_200,
            runs: &[2_100],
            other: Some((FOREIGN, 900, 4_000)),
            ..case()
        },
        AuditCase {
            name: "work when it has written again",
            sent: 4_100,
            ended: 4_200,
            runs: &[4_150],
            other: Some((FOREIGN, 900, 4_000)),
            ..case()
        },
        AuditCase {
            name: "work when it has written again, while an earlier fault of the same kind lasts",
            sent: 4_100,
            ended: 4_200,
            runs: &[4_150],
            trouble: Some((FOREIGN, 900, 6_000)),
            other: Some((FOREIGN, 2_000, 4_000)),
            ..case()
        },
        AuditCase {
            name: "work while the second of two such faults lasts",
            sent: 4_700,
            ended: 4_800,
            runs: &[4_750],
            trouble: Some((FOREIGN, 900, 2_400)),
            other: Some((FOREIGN, 2_500, 6_000)),
            found: Some("WorkWhileUnnamed"),
            ..case()
        },
        AuditCase {
            name: "work while the store is away",
            sent: 3_000,
            ended: 3_200,
            runs: &[3_100],
            leaves: true,
            trouble: Some((FaultKind::StoreOutage, 900, 3_000)),
            ..case()
        },
    ]
}
