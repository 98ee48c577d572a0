//! Single requests and limits: whole answers over broken streams, at most one run, truthful
//! refusals, and shares that never sum to more than the limit.

mod support;

use bergamot_roster::{Member, RosterRecord};
use bergamot_routing::attempt::NextStep;
use bergamot_routing::resume::TokenStep;
use bergamot_routing::{
    Attempt, LimitShares, LoanReply, LoanRequest, SentOutcome, ShareOptions, StreamResume,
};
use bergamot_types::mutate::Mutation;
use bergamot_types::prelude::*;
use rand::Rng;
use support::{Weather, Wire, expect_caught, random, seeds};

/// A stream of a known length goes on over upstreams that break, repeat and skip.
fn stream(seed: u64) -> Result<(), String> {
    let mut random = random(seed);
    let length: u64 = random.random_range(1..60);
    let mut resume = StreamResume::default();
    let mut caller: Vec<u64> = Vec::new();
    for _ in 0..200 {
        // An upstream may begin before the offset it was asked for, or lose a token.
        let back: u64 = random.random_range(0..4);
        let begin = resume.next_offset().saturating_sub(back);
        let end = random.random_range(begin..=length);
        let mut is_broken = end < length;
        for offset in begin..end {
            if random.random_bool(0.02) {
                continue;
            }
            match resume.accept_token(offset) {
                TokenStep::Deliver => caller.push(offset),
                TokenStep::Skip => {}
                TokenStep::Gap => {
                    is_broken = true;
                    break;
                }
            }
        }
        if !is_broken && resume.finish(length) {
            let whole: Vec<u64> = (0..length).collect();
            return match caller == whole {
                true => Ok(()),
                false => Err(format!("the caller got {caller:?} of {length}")),
            };
        }
        resume.resume();
    }
    Err("the stream never ended".to_owned())
}

/// A non-idempotent request meets upstreams that refuse, break, lose answers and answer.
fn attempts(seed: u64) -> Result<(), String> {
    let mut random = random(seed);
    let is_idempotent = random.random_bool(0.3);
    let mut runs = 0;
    let mut maybe_ran = false;
    for number in 0..6 {
        let upstream = UpstreamId::from(format!("u{number}"));
        let attempt = Attempt::plan(upstream, is_idempotent).send();
        let outcome = match random.random_range(0..4) {
            0 => Some(SentOutcome::NeverConnected),
            1 => Some(SentOutcome::RefusedNotRun),
            2 => Some(SentOutcome::Broken),
            _ => None,
        };
        let did_run = match outcome {
            Some(SentOutcome::Broken) => random.random_bool(0.7),
            Some(_) => false,
            None => true,
        };
        runs += u32::from(did_run);
        if runs > 1 && !is_idempotent {
            return Err(format!("a non-idempotent request ran {runs} times"));
        }
        let Some(outcome) = outcome else {
            attempt.answered();
            return Ok(());
        };
        maybe_ran |= outcome == SentOutcome::Broken;
        if attempt.failed(outcome) == NextStep::OutcomeUnknown {
            return Ok(());
        }
    }
    // Refused as not run, unless an attempt may have run.
    match maybe_ran || runs == 0 {
        true => Ok(()),
        false => Err("refused as not run, but it ran".to_owned()),
    }
}

const MEMBERS: usize = 5;

fn member(index: usize) -> Member {
    Member {
        entry: EntryId::from(format!("entry-{index}")),
        vm: VmId::from(format!("vm-{index}")),
        incarnation: 1,
        failure_domain: FailureDomain::new("fd"),
        peer_addr: ([127, 0, 0, 1], 1).into(),
        since: 0,
    }
}

#[derive(Clone)]
enum Message {
    Tick(usize),
    Borrow(usize, usize, Millis, LoanRequest),
    Lend(usize, Millis, LoanReply),
    Roster(usize, RosterRecord),
}

/// Members borrow from each other with clocks that differ, lost and doubled messages, pauses and
/// a roster that grows. The sum of what all use is looked at after each step.
fn shares(seed: u64) -> Result<f64, String> {
    let mut random = random(seed);
    let account = ClientAccount::new("a");
    let weather = Weather {
        loss: 0.1,
        double: 0.1,
        most_delay: 800,
    };
    let mut roster = RosterRecord::default();
    for index in 0..MEMBERS {
        roster = roster.with_member(member(index));
    }
    roster.settled = roster.epoch;
    let mut shares: Vec<LimitShares> = (0..MEMBERS)
        .map(|_| LimitShares::new(ShareOptions::default()))
        .collect();
    let mut paused = [Millis::ZERO; MEMBERS];
    let offsets: Vec<u64> = (0..MEMBERS)
        .map(|_| random.random_range(0..99_999))
        .collect();
    let demand: Vec<f64> = (0..MEMBERS)
        .map(|_| random.random_range(0.0..0.9))
        .collect();
    let mut wire = Wire::new();
    for index in 0..MEMBERS {
        wire.at(Millis(1), Message::Roster(index, roster.clone()));
        wire.at(Millis(2), Message::Tick(index));
    }
    let mut most: f64 = 0.0;
    let mut has_grown = false;
    for _ in 0..3_000 {
        let Some((now, message)) = wire.next() else {
            break;
        };
        let local = |index: usize| now + Millis(offsets[index]);
        if let Message::Tick(index) | Message::Borrow(_, index, ..) | Message::Lend(index, ..) =
            &message
            && paused[*index] > now
        {
            wire.at(paused[*index], message);
            continue;
        }
        match message {
            Message::Roster(index, record) => {
                let me = EntryId::from(format!("entry-{index}"));
                shares[index].set_roster(&record, &me);
            }
            Message::Tick(index) => {
                if random.random_bool(0.02) {
                    paused[index] = now + Millis(random.random_range(100..7_000));
                }
                shares[index].record_demand(&account, demand[index]);
                if let Some(wish) = shares[index].needed_loan(local(index), &account, 1) {
                    let lender = random.random_range(0..MEMBERS);
                    let part = shares[index].request_loan(&wish, wish.wanted);
                    let question = Message::Borrow(index, lender, local(index), part);
                    if lender != index {
                        wire.send(now, &mut random, weather, question);
                    }
                }
                wire.at(now + Millis(100), Message::Tick(index));
                if now > Millis(20_000) && !has_grown {
                    has_grown = true;
                    roster = roster.with_member(member(MEMBERS));
                    for index in 0..MEMBERS {
                        let when = now + Millis(random.random_range(1..4_000));
                        wire.at(when, Message::Roster(index, roster.clone()));
                    }
                }
            }
            Message::Borrow(from, to, asked, wish) => {
                let lend = shares[to].lend(local(to), &wish, 1);
                wire.send(now, &mut random, weather, Message::Lend(from, asked, lend));
            }
            Message::Lend(to, asked, lend) => shares[to].accept_loan(local(to), asked, &lend),
        }
        // A paused member uses nothing while it stands still.
        let running = (0..MEMBERS).filter(|index| paused[*index] <= now);
        let sum: f64 = running
            .map(|index| shares[index].share(local(index), &account))
            .sum();
        most = most.max(sum);
        if sum > 1.0 + 1e-6 {
            return Err(format!("shares sum to {sum} at {now}"));
        }
    }
    Ok(most)
}

struct RunCase {
    name: &'static str,
    seeds: u64,
    run: fn(u64) -> Result<(), String>,
}

#[test]
fn every_seed_holds() {
    let cases = [
        RunCase {
            name: "stream",
            seeds: 2_000,
            run: stream,
        },
        RunCase {
            name: "attempts",
            seeds: 2_000,
            run: attempts,
        },
        RunCase {
            name: "shares",
            seeds: 100,
            run: |seed| shares(seed).map(|_| ()),
        },
    ];
    for case in cases {
        for seed in seeds(case.seeds) {
            if let Err(failure) = (case.run)(seed) {
                panic!("{} seed {seed}: {failure}", case.name);
            }
        }
    }
}

#[test]
fn shares_follow_demand() {
    let most = shares(3).expect("the sum holds");
    assert!(most > 0.9, "hardly any of the limit was usable: {most}");
}

#[test]
fn wrong_decisions_are_caught() {
    let shares: fn(u64) -> Result<(), String> = |seed| shares(seed).map(|_| ());
    expect_caught(Mutation::ResendTokens, 500, "the caller got", stream);
    expect_caught(Mutation::ReportFailedAsNotRun, 500, "ran 2 times", attempts);
    expect_caught(Mutation::UseLentShare, 50, "shares sum to", shares);
}
