//! What the silence of a leader means, by how fast its model is seen to be.

use bergamot_routing::{
    LeaderSilence, ModelPace, ModelPaces, SentRun, SilenceVerdict, ToldSilence, ToldSilences,
};
use bergamot_types::prelude::*;

/// An engine as its streams are seen: between which times its pauses and first events lie, in milliseconds.
#[derive(Clone, Copy)]
struct SeenEngine {
    pauses: (u64, u64),
    firsts: (u64, u64),
}

const FAST: SeenEngine = SeenEngine {
    pauses: (20, 36),
    firsts: (15, 40),
};
/// Its first events take ten times as long, its passes three times.
const SLOW: SeenEngine = SeenEngine {
    pauses: (60, 108),
    firsts: (150, 400),
};

fn seen(engine: SeenEngine) -> ModelPace {
    let mut pace = ModelPace::default();
    let between = |(least, most): (u64, u64), step: u64| Millis(least + step * (most - least) / 99);
    for step in 0..100 {
        pace.note_pause(between(engine.pauses, step), None, 20);
        let first = between(engine.firsts, step);
        pace.note_first(first, Millis::ZERO, None, 20);
    }
    pace
}

fn silence(length: u64, has_begun: bool) -> LeaderSilence {
    LeaderSilence {
        length: Millis(length),
        waited: Millis(length),
        run: SentRun {
            at: Millis::ZERO,
            expected: Millis::ZERO,
            is_last: false,
        },
        has_begun,
        has_queue: false,
        is_stalled: false,
    }
}

struct SilenceCase {
    name: &'static str,
    engine: SeenEngine,
    silence: LeaderSilence,
    verdict: SilenceVerdict,
}

#[test]
fn a_silence_is_judged_by_what_was_seen_of_the_model() {
    let told = |length, is_stalled| LeaderSilence {
        is_stalled,
        ..silence(length, false)
    };
    let last = |length, has_begun| {
        let mut silence = silence(length, has_begun);
        silence.run.is_last = true;
        silence
    };
    let case = |name, engine, silence, verdict| SilenceCase {
        name,
        engine,
        silence,
        verdict,
    };
    let cases = [
        case(
            "a pass of a fast engine",
            FAST,
            silence(60, true),
            SilenceVerdict::Sound,
        ),
        case(
            "no event of a fast engine for two passes and more",
            FAST,
            silence(80, true),
            SilenceVerdict::Suspected,
        ),
        case(
            "the same of a slow one is a pass",
            SLOW,
            silence(80, true),
            SilenceVerdict::Sound,
        ),
        case(
            "a fast engine stands still by all appearances",
            FAST,
            silence(130, true),
            SilenceVerdict::Stalled,
        ),
        case(
            "a fast engine's streams go on elsewhere",
            FAST,
            silence(220, true),
            SilenceVerdict::Still,
        ),
        case(
            "a slow one is only suspected by then",
            SLOW,
            silence(220, true),
            SilenceVerdict::Suspected,
        ),
        case(
            "a slow one's streams go on elsewhere in the end",
            SLOW,
            silence(600, true),
            SilenceVerdict::Still,
        ),
        case(
            "the last upstream that a stream may go to gets time",
            FAST,
            last(220, true),
            SilenceVerdict::Stalled,
        ),
        case(
            "and not forever",
            FAST,
            last(600, true),
            SilenceVerdict::Still,
        ),
        case(
            "a first event of a fast engine is overdue",
            FAST,
            silence(70, false),
            SilenceVerdict::Still,
        ),
        case(
            "a slow one's is not due yet",
            SLOW,
            silence(350, false),
            SilenceVerdict::Sound,
        ),
        case(
            "a slow one's is overdue",
            SLOW,
            silence(650, false),
            SilenceVerdict::Still,
        ),
        case(
            "others tell that its streams stand still",
            SLOW,
            told(100, true),
            SilenceVerdict::Still,
        ),
        case(
            "they tell of a leader it came to a moment ago",
            SLOW,
            told(20, true),
            SilenceVerdict::Sound,
        ),
        case(
            "the last upstream for it",
            SLOW,
            LeaderSilence {
                is_stalled: true,
                ..last(650, false)
            },
            SilenceVerdict::Suspected,
        ),
        case(
            "requests may wait there before it",
            FAST,
            LeaderSilence {
                has_queue: true,
                ..silence(400, false)
            },
            SilenceVerdict::Sound,
        ),
    ];
    for case in cases {
        let verdict = seen(case.engine).judge(case.silence);
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}

/// Before anything was seen of a model, requests wait as long as callers do.
#[test]
fn a_model_that_nothing_was_seen_of_gets_time() {
    let paces = ModelPaces::default();
    let model = ModelName::new("m0");
    for (length, verdict) in [
        (1_000, SilenceVerdict::Sound),
        (1_300, SilenceVerdict::Still),
    ] {
        assert_eq!(paces.judge(Some(&model), silence(length, false)), verdict);
    }
}

#[test]
fn one_witness_counts_for_a_second_and_two_for_longer() {
    let told = |witness| ToldSilence { leader: 7, witness };
    let mut silences = ToldSilences::default();
    // One VM's streams stand still, told again a moment later.
    assert!(silences.note(Millis(1_000), told(1)));
    assert!(!silences.note(Millis(1_020), told(1)));
    assert!(silences.note(Millis(1_110), told(1)));
    assert!(silences.has(Millis(2_100), 7) && !silences.has(Millis(2_150), 7));
    // Then another one's.
    assert!(silences.note(Millis(3_000), told(1)));
    assert!(silences.note(Millis(3_010), told(2)));
    assert!(!silences.note(Millis(3_020), told(3)));
    assert!(silences.has(Millis(8_000), 7));
    // Something came from it.
    silences.forget(7);
    assert!(!silences.has(Millis(8_000), 7));
}
