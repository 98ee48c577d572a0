//! Guards against requests that are taken late in the grace of a planned stop, passed on, and cut without
//! an answer at its end.

mod support;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bergamot_adapter::sample::{SampleRequest, config};
use bergamot_ports::VmLimits;
use bergamot_standin::fault::FaultSet;
use support::RunningEntry;

/// Grace of the sample settings.
const GRACE: Duration = Duration::from_secs(8);
/// Requests that are sent within this time of the signal may be cut near the end of the grace, as the
/// balancer still sends callers here.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Time between two callers.
const CALL_PERIOD: Duration = Duration::from_millis(150);
/// Callers that keep a connection from before the signal on.
const KEPT_CALLERS: u32 = 16;

struct LateCase {
    name: &'static str,
    /// Time that the upstream takes for an answer.
    delay: Duration,
    ip: Ipv4Addr,
}

/// What a caller got.
struct LateCall {
    id: String,
    sent_at: Instant,
    /// The status of the answer; `None` if its connection closed without one.
    status: Option<u16>,
}

fn request_text(id: &str, path: &str) -> String {
    let request = SampleRequest {
        id,
        key: "key-1",
        answer_tokens: None,
    };
    let method = if path.starts_with("/bid/") {
        "POST"
    } else {
        "GET"
    };
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: 0\r\n");
    for (name, value) in request.headers() {
        if !name.eq_ignore_ascii_case("deadline-ms") {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
    }
    text.push_str("Deadline-Ms: 30000\r\n\r\n");
    text
}

/// Sends one request and waits for its answer. Returns `None` if nothing could be sent.
fn call(stream: std::io::Result<TcpStream>, id: String, path: &str) -> Option<LateCall> {
    let mut stream = stream.ok()?;
    let timeout = Duration::from_secs(20);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let sent_at = Instant::now();
    stream.write_all(request_text(&id, path).as_bytes()).ok()?;
    let mut raw = Vec::new();
    let mut buffer = [0_u8; 4_096];
    while !raw.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => raw.extend_from_slice(&buffer[..count]),
            _ => break,
        }
    }
    let head = String::from_utf8_lossy(&raw).into_owned();
    let status = head
        .strip_prefix("HTTP/1.1 ")
        .and_then(|head| head.get(..3));
    Some(LateCall {
        id,
        sent_at,
        status: status.and_then(|status| status.parse().ok()),
    })
}

fn path_of(number: u32) -> &'static str {
    match number % 2 {
        0 => "/read/x",
        _ => "/bid/x",
    }
}

/// Calls from before the signal on until the process is gone.
fn send_calls(addr: SocketAddr, stop_at: Instant) -> Vec<LateCall> {
    let kept = (0..KEPT_CALLERS).map(|number| {
        let stream = TcpStream::connect(addr);
        let send_at = stop_at + GRACE * number / KEPT_CALLERS;
        std::thread::spawn(move || {
            std::thread::sleep(send_at.saturating_duration_since(Instant::now()));
            call(stream, format!("kept-{number}"), path_of(number))
        })
    });
    let mut callers: Vec<_> = kept.collect();
    for number in 0.. {
        if Instant::now() > stop_at + GRACE + Duration::from_millis(500) {
            break;
        }
        callers.push(std::thread::spawn(move || {
            call(
                TcpStream::connect(addr),
                format!("new-{number}"),
                path_of(number),
            )
        }));
        std::thread::sleep(CALL_PERIOD);
    }
    let calls = callers.into_iter();
    let calls = calls.filter_map(|caller| caller.join().expect("the caller ends"));
    calls.collect()
}

/// Plays a stop. Returns the calls that ran and got no answer, or that were answered as not run.
fn play(case: &LateCase) -> Vec<String> {
    let mut config = config(1, &["key-1"]);
    for route in config["routes"].as_array_mut().expect("it has routes") {
        route["timeoutMs"] = serde_json::json!(60_000);
    }
    let mut entry = RunningEntry::start_with(case.ip, &config, VmLimits::default());
    entry.desk.faults.set(FaultSet {
        delay_ms: case.delay.as_millis() as u64,
        ..FaultSet::default()
    });
    let stop_at = Instant::now() + Duration::from_secs(1);
    let addr = entry.caller_addr;
    let calling = std::thread::spawn(move || send_calls(addr, stop_at));
    std::thread::sleep(stop_at.saturating_duration_since(Instant::now()));
    entry.signal("TERM");
    let status = entry.process.wait().expect("the process ends");
    let took = stop_at.elapsed();
    assert!(status.success(), "{}: {status}", case.name);
    assert!(
        took < GRACE + Duration::from_millis(500),
        "{}: {took:?}",
        case.name
    );
    let calls = calling.join().expect("the callers end");
    let seen = entry.desk.seen();
    let judged = calls.iter().filter_map(|call| {
        let run = seen.iter().find(|run| run.id() == call.id)?;
        let sent_after = call.sent_at.saturating_duration_since(stop_at);
        let ends_after = run.at.saturating_duration_since(stop_at) + case.delay;
        let may_be_cut = sent_after <= NOTICE_TIME && ends_after >= GRACE * 5 / 6;
        let is_wrong = match call.status {
            None => !may_be_cut,
            Some(status) => matches!(status, 408 | 421 | 429 | 503),
        };
        let name = case.name;
        is_wrong.then(|| format!("{name}: {} {sent_after:?}: {:?}", call.id, call.status))
    });
    let judged = judged.collect();
    let answered = calls.iter().filter(|call| call.status == Some(200)).count();
    println!(
        "{}: {} calls, {answered} answered, ended after {took:?}",
        case.name,
        calls.len()
    );
    judged
}

#[test]
fn requests_that_come_late_in_a_stop_are_answered_or_not_run() {
    let case = |name, delay_ms, last| LateCase {
        name,
        delay: Duration::from_millis(delay_ms),
        ip: Ipv4Addr::new(127, 93, 7, last),
    };
    let cases = [
        case("answers take a moment", 700, 1),
        case("answers take a third of the grace", 2_600, 2),
        case("answers take most of the grace", 6_000, 3),
        case("answers take longer than the grace", 11_000, 4),
    ];
    let players = cases.map(|case| std::thread::spawn(move || play(&case)));
    let wrong = players.into_iter();
    let wrong = wrong.flat_map(|player| player.join().expect("the case ends"));
    let wrong: Vec<String> = wrong.collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
}
