//! Checks single requests and limits: a resumed stream delivers every token once, a non-idempotent
//! request runs at most once, a request that is reported as not run did not run, and the shares of
//! a limit never sum to more than the limit.

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
use support::{EventQueue, NetworkOptions, expect_caught, random, seeds};

/// Resumes a stream of known length at upstreams that break off, repeat tokens and skip tokens.
fn check_stream(seed: u64) -> Result<(), String> {
    let mut random = random(seed);
    let length: u64 = random.random_range(1..60);
    let mut resume = StreamResume::default();
    let mut delivered: Vec<u64> = Vec::new();
    for _ in 0..200 {
        // An upstream may start before the requested offset, or lose a token.
        let overlap: u64 = random.random_range(0..4);
        let start = resume.next_offset().saturating_sub(overlap);
        let end = random.random_range(start..=length);
        let mut is_broken = end < length;
        for offset in start..end {
            if random.random_bool(0.02) {
                continue;
            }
            match resume.accept_token(offset) {
                TokenStep::Deliver => delivered.push(offset),
                TokenStep::Skip => {}
                TokenStep::Gap => {
                    is_broken = true;
                    break;
                }
            }
        }
        if !is_broken && resume.finish(length) {
            let expected: Vec<u64> = (0..length).collect();
            return match delivered == expected {
                true => Ok(()),
                false => Err(format!("the caller got {delivered:?} of {length} tokens")),
            };
        }
        resume.resume();
    }
    Err("the stream did not end after 200 attempts".to_owned())
}

/// Sends a request to upstreams that refuse it, break off, lose the answer, or answer.
fn check_attempts(seed: u64) -> Result<(), String> {
    let mut random = random(seed);
    let is_idempotent = random.random_bool(0.3);
    let mut run_count = 0;
    let mut may_have_run = false;
    for number in 0..6 {
        let upstream = UpstreamId::from(format!("u{number}"));
        let attempt = Attempt::plan(upstream, is_idempotent).send();
        let failure = match random.random_range(0..4) {
            0 => Some(SentOutcome::NeverConnected),
            1 => Some(SentOutcome::RefusedNotRun),
            2 => Some(SentOutcome::Broken),
            _ => None,
        };
        let did_run = match failure {
            Some(SentOutcome::Broken) => random.random_bool(0.7),
            Some(_) => false,
            None => true,
        };
        run_count += u32::from(did_run);
        if run_count > 1 && !is_idempotent {
            return Err(format!("a non-idempotent request ran {run_count} times"));
        }
        let Some(failure) = failure else {
            attempt.answered();
            return Ok(());
        };
        may_have_run |= failure == SentOutcome::Broken;
        if attempt.failed(failure) == NextStep::OutcomeUnknown {
            return Ok(());
        }
    }
    // The request is reported as not run, unless an attempt may have run.
    match may_have_run || run_count == 0 {
        true => Ok(()),
        false => Err("the request was reported as not run, but it ran".to_owned()),
    }
}

const MEMBER_COUNT: usize = 5;

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

/// Lets members borrow shares of a limit from each other, with differing clocks, lost and
/// duplicated messages, pauses, and a roster that grows. Checks the sum of all shares in use after
/// each step, and returns the largest sum.
fn check_shares(seed: u64) -> Result<f64, String> {
    let mut random = random(seed);
    let account = ClientAccount::new("a");
    let network = NetworkOptions {
        loss_probability: 0.1,
        duplicate_probability: 0.1,
        max_delay_ms: 800,
    };
    let mut roster = RosterRecord::default();
    for index in 0..MEMBER_COUNT {
        roster = roster.with_member(member(index));
    }
    roster.settled = roster.epoch;
    let mut shares: Vec<LimitShares> = (0..MEMBER_COUNT)
        .map(|_| LimitShares::new(ShareOptions::default()))
        .collect();
    let mut paused_until = [Millis::ZERO; MEMBER_COUNT];
    let clock_offsets: Vec<u64> = (0..MEMBER_COUNT)
        .map(|_| random.random_range(0..99_999))
        .collect();
    let demand: Vec<f64> = (0..MEMBER_COUNT)
        .map(|_| random.random_range(0.0..0.9))
        .collect();
    let mut queue = EventQueue::new();
    for index in 0..MEMBER_COUNT {
        queue.schedule(Millis(1), Message::Roster(index, roster.clone()));
        queue.schedule(Millis(2), Message::Tick(index));
    }
    let mut max_sum: f64 = 0.0;
    let mut has_roster_grown = false;
    for _ in 0..3_000 {
        let Some((now, message)) = queue.pop_next() else {
            break;
        };
        let clock = |index: usize| now + Millis(clock_offsets[index]);
        if let Message::Tick(index) | Message::Borrow(_, index, ..) | Message::Lend(index, ..) =
            &message
            && paused_until[*index] > now
        {
            queue.schedule(paused_until[*index], message);
            continue;
        }
        match message {
            Message::Roster(index, record) => {
                let own_id = EntryId::from(format!("entry-{index}"));
                shares[index].set_roster(&record, &own_id);
            }
            Message::Tick(index) => {
                if random.random_bool(0.02) {
                    paused_until[index] = now + Millis(random.random_range(100..7_000));
                }
                shares[index].record_demand(&account, demand[index]);
                if let Some(wish) = shares[index].needed_loan(clock(index), &account, 1) {
                    let lender = random.random_range(0..MEMBER_COUNT);
                    let borrow = shares[index].request_loan(&wish, wish.wanted);
                    let request = Message::Borrow(index, lender, clock(index), borrow);
                    if lender != index {
                        queue.send(now, &mut random, network, request);
                    }
                }
                queue.schedule(now + Millis(100), Message::Tick(index));
                if now > Millis(20_000) && !has_roster_grown {
                    has_roster_grown = true;
                    roster = roster.with_member(member(MEMBER_COUNT));
                    for index in 0..MEMBER_COUNT {
                        let due_at = now + Millis(random.random_range(1..4_000));
                        queue.schedule(due_at, Message::Roster(index, roster.clone()));
                    }
                }
            }
            Message::Borrow(from, to, sent_at, borrow) => {
                let lend = shares[to].lend(clock(to), &borrow, 1);
                queue.send(
                    now,
                    &mut random,
                    network,
                    Message::Lend(from, sent_at, lend),
                );
            }
            Message::Lend(to, sent_at, lend) => shares[to].accept_loan(clock(to), sent_at, &lend),
        }
        // A paused member sends no requests, so its share is not in use.
        let running = (0..MEMBER_COUNT).filter(|index| paused_until[*index] <= now);
        let sum: f64 = running
            .map(|index| shares[index].share(clock(index), &account))
            .sum();
        max_sum = max_sum.max(sum);
        if sum > 1.0 + 1e-6 {
            return Err(format!("shares sum to {sum} at {now}"));
        }
    }
    Ok(max_sum)
}

struct RunCase {
    name: &'static str,
    seeds: u64,
    run: fn(u64) -> Result<(), String>,
}

#[test]
fn the_invariants_hold_for_every_seed() {
    let cases = [
        RunCase {
            name: "stream",
            seeds: 2_000,
            run: check_stream,
        },
        RunCase {
            name: "attempts",
            seeds: 2_000,
            run: check_attempts,
        },
        RunCase {
            name: "shares",
            seeds: 100,
            run: |seed| check_shares(seed).map(|_| ()),
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
fn lending_makes_most_of_the_limit_usable() {
    let max_sum = check_shares(3).expect("the shares sum to at most the limit");
    assert!(
        max_sum > 0.9,
        "the shares in use never exceeded {max_sum} of the limit"
    );
}

#[test]
fn wrong_decisions_are_caught() {
    let shares: fn(u64) -> Result<(), String> = |seed| check_shares(seed).map(|_| ());
    expect_caught(Mutation::ResendTokens, 500, "the caller got", check_stream);
    expect_caught(
        Mutation::ReportFailedAsNotRun,
        500,
        "ran 2 times",
        check_attempts,
    );
    expect_caught(Mutation::UseLentShare, 50, "shares sum to", shares);
}
