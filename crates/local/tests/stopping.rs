//! What callers get around the end of a planned stop, over each protocol.

mod support;
#[path = "support/wire.rs"]
mod wire;

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_entry::{EntryDaemon, EntrySettings, StopOutcome};
use bergamot_local::LocalOptions;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{fleet, slow_services};
use tokio::net::TcpStream;
use wire::{WireConnection, WireEnd, WireFailure, WireKind, confirmation, speak_tls};

/// Entry VMs that are stopped side by side.
const STOPS: usize = 8;
/// The longest pause of a caller between two requests, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 30;
/// How many times as long the service takes: its work is 2 ms.
const SLOW_FACTOR: u64 = 20;

/// One request of a caller.
struct CallRecord {
    id: String,
    is_kept: bool,
    end: WireEnd,
}

/// How a caller uses its connections.
#[derive(Clone, Copy)]
struct CallHabit {
    kind: WireKind,
    /// Whether it keeps its connection while it may.
    keeps: bool,
}

/// Sends requests until nothing listens any more.
async fn call_until_gone(front: SocketAddr, habit: CallHabit, seed: u64) -> Vec<CallRecord> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut records = Vec::new();
    let mut kept: Option<WireConnection> = None;
    loop {
        let id = format!("{:?}-{seed}-{}", habit.kind, records.len());
        let is_kept = kept.is_some();
        let opened = match kept.take() {
            Some(connection) => Ok(connection),
            None => WireConnection::open(front, habit.kind).await,
        };
        let end = match opened {
            Ok(mut connection) => {
                let end = connection.send(confirmation(&id, None)).await;
                let may_keep = matches!(&end, WireEnd::Answered(answer) if !answer.is_closing);
                kept = Some(connection).filter(|_| habit.keeps && may_keep);
                end
            }
            Err(WireFailure::Refused) => return records,
            Err(WireFailure::Dropped(reason)) => WireEnd::Unanswered(reason),
        };
        records.push(CallRecord { id, is_kept, end });
        let pause = rng.random_range(0..LONGEST_PAUSE_MS * 1_000);
        tokio::time::sleep(Duration::from_micros(pause)).await;
    }
}

fn stop_later(daemon: EntryDaemon, wait: Duration) -> std::thread::JoinHandle<StopOutcome> {
    std::thread::spawn(move || {
        std::thread::sleep(wait);
        daemon.stop(|| false)
    })
}

/// Many stops under callers, each of which uses its connections in its own way.
fn play_stops(kinds: [WireKind; 2], tune: fn(&mut EntrySettings)) {
    let mut fleet = fleet(&LocalOptions {
        entries_per_domain: STOPS,
        services: 2,
        tune,
        ..LocalOptions::smallest()
    });
    slow_services(&fleet, SLOW_FACTOR);
    let runtime = fleet.runtime().handle().clone();
    let mut rng = ChaCha8Rng::seed_from_u64(kinds[0] as u64);
    let (mut callers, mut stops) = (Vec::new(), Vec::new());
    for (number, daemon) in fleet.entries.iter_mut().enumerate() {
        let daemon = daemon.take().expect("it runs");
        let front = daemon.caller_addr();
        for (index, (kind, keeps)) in [
            (kinds[0], false),
            (kinds[0], true),
            (kinds[1], false),
            (kinds[1], true),
        ]
        .into_iter()
        .enumerate()
        {
            let habit = CallHabit { kind, keeps };
            let seed = (number * 4 + index) as u64;
            callers.push(runtime.spawn(call_until_gone(front, habit, seed)));
        }
        let wait = Duration::from_millis(rng.random_range(100..400));
        stops.push(stop_later(daemon, wait));
    }
    for stop in stops {
        let outcome = stop.join().expect("it ends");
        assert_eq!(outcome, StopOutcome::Graceful);
    }
    let services = fleet.services.iter();
    let runs = services.flat_map(|service| service.service.runs.list());
    let ran: std::collections::HashSet<String> = runs.map(|run| run.request_id).collect();
    let (mut lost, mut untrue, mut kept_unanswered) = (Vec::new(), Vec::new(), Vec::new());
    let (mut answered, mut unanswered) = (0, Vec::new());
    for caller in callers {
        for record in runtime.block_on(caller).expect("the caller ends") {
            let has_run = ran.contains(&record.id);
            match record.end {
                WireEnd::Answered(answer) => {
                    answered += 1;
                    if has_run == (answer.ran == "no") {
                        untrue.push((record.id, answer));
                    }
                }
                WireEnd::NotSent if has_run => lost.push((record.id, "not sent".to_owned())),
                WireEnd::Unanswered(reason) if has_run => lost.push((record.id, reason)),
                WireEnd::Unanswered(reason) if record.is_kept => {
                    kept_unanswered.push((record.id, reason));
                }
                WireEnd::Unanswered(reason) => unanswered.push((record.id, reason)),
                WireEnd::NotSent => {}
            }
        }
    }
    println!(
        "answered={answered} unanswered_and_not_run={}",
        unanswered.len()
    );
    assert!(answered > STOPS * 20, "callers were there: {answered}");
    assert!(lost.is_empty(), "ran and never answered: {lost:?}");
    assert!(untrue.is_empty(), "the answer is untrue: {untrue:?}");
    assert!(kept_unanswered.is_empty(), "{kept_unanswered:?}");
}

#[test]
fn what_ran_is_answered_around_the_end_of_a_stop() {
    play_stops([WireKind::Http1, WireKind::Http2], |_| {});
}

#[test]
fn what_ran_is_answered_around_the_end_of_a_stop_over_tls() {
    play_stops([WireKind::TlsHttp1, WireKind::TlsHttp2], speak_tls);
}

/// What a caller has done when nothing is accepted any more.
struct HeldCase {
    name: &'static str,
    kind: WireKind,
    before: &'static [u8],
    /// What it sends later; all of a request of the protocol where it has sent nothing yet.
    after: &'static [u8],
}

/// A connection that was accepted gets an answer to its first request, also one that comes just after the end of listening.
#[test]
fn a_first_request_on_an_accepted_connection_is_answered() {
    const HEAD: &[u8] = b"POST /services/ring/confirm HTTP/1.1\r\nHost: x\r\n";
    const REST: &[u8] = b"Authorization: Bearer token-rostrum\r\nContent-Length: 3\r\n\r\nlot";
    let case = |name, kind, before, after| HeldCase {
        name,
        kind,
        before,
        after,
    };
    let cases = [
        case("nothing", WireKind::Http1, b"", b""),
        case("nothing over HTTP/2", WireKind::Http2, b"", b""),
        case("nothing, TLS", WireKind::TlsHttp1, b"", b""),
        case("nothing, TLS and HTTP/2", WireKind::TlsHttp2, b"", b""),
        case("half a head", WireKind::Http1, HEAD, REST),
    ];
    let mut unanswered = Vec::new();
    for tune in [(|_| {}) as fn(&mut EntrySettings), speak_tls] {
        let mut fleet = fleet(&LocalOptions {
            tune,
            ..LocalOptions::smallest()
        });
        let is_tls = tune as usize == speak_tls as fn(&mut EntrySettings) as usize;
        let runtime = fleet.runtime().handle().clone();
        let daemon = fleet.entries[0].take().expect("it runs");
        let front = daemon.caller_addr();
        let held: Vec<_> = cases
            .iter()
            .filter(|case| case.kind.is_tls() == is_tls)
            .map(|case| (case, runtime.block_on(hold(front, case))))
            .collect();
        let stop = stop_later(daemon, Duration::ZERO);
        runtime.block_on(until_refused(front));
        let goings: Vec<_> = held
            .into_iter()
            .map(|(case, stream)| (case.name, runtime.block_on(go_on(case, stream))))
            .collect();
        assert_eq!(stop.join().expect("it ends"), StopOutcome::Graceful);
        unanswered.extend(goings.into_iter().filter(|(_, status)| *status != Ok(503)));
    }
    assert!(unanswered.is_empty(), "{unanswered:?}");
}

async fn hold(front: SocketAddr, case: &HeldCase) -> TcpStream {
    use tokio::io::AsyncWriteExt;
    let mut stream = TcpStream::connect(front).await.expect("it listens");
    stream.write_all(case.before).await.expect("it is open");
    stream
}

async fn until_refused(front: SocketAddr) {
    while TcpStream::connect(front).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn go_on(case: &HeldCase, mut stream: TcpStream) -> Result<u16, String> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    if case.after.is_empty() {
        let opened = WireConnection::over(stream, case.kind).await;
        let mut connection = opened.map_err(|it| format!("{it:?}"))?;
        return match connection.send(confirmation("held", None)).await {
            WireEnd::Answered(answer) => Ok(answer.status),
            other => Err(format!("{other:?}")),
        };
    }
    let sent = stream.write_all(case.after).await;
    sent.map_err(|it| it.to_string())?;
    let mut reply = String::new();
    let read = stream.read_to_string(&mut reply).await;
    read.map_err(|it| it.to_string())?;
    let status = reply.split(' ').nth(1).and_then(|it| it.parse().ok());
    status.ok_or(format!("no answer: {reply:?}"))
}
