//! Edge cases of a planned stop: late bodies, pipelined requests, kept connections, a paused process, and
//! a signal right after the start.

mod support;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::Stdio;
use std::time::{Duration, Instant};

use bergamot_adapter::sample::{CALLER_PORT, SampleRequest};
use bergamot_standin::fault::FaultSet;
use support::{RunningEntry, program, sample_settings, write_settings};

/// Limit on the wait for a response or for the listener.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the signal within which the load balancer notices the stop.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);

fn request_text(id: &str, method: &str, length: usize) -> String {
    let request = SampleRequest {
        id,
        key: "key-1",
        answer_tokens: None,
    };
    let mut text = format!("{method} /read/x HTTP/1.1\r\nContent-Length: {length}\r\n");
    for (name, value) in request.headers() {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text
}

fn connect(caller_addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(caller_addr).expect("the process does not listen");
    stream
        .set_read_timeout(Some(RESPONSE_TIMEOUT))
        .expect("the read timeout cannot be set");
    stream
}

/// Returns the status codes of the responses that arrive before the connection is closed.
fn read_statuses(stream: &mut TcpStream) -> Vec<String> {
    let mut raw = Vec::new();
    let mut buffer = [0_u8; 4_096];
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            break;
        }
        raw.extend_from_slice(&buffer[..count]);
    }
    let responses = String::from_utf8_lossy(&raw).into_owned();
    let heads = responses.split("HTTP/1.1 ").skip(1);
    heads.map(|head| head.chars().take(3).collect()).collect()
}

fn was_forwarded(entry: &RunningEntry, id: &str) -> bool {
    let seen = entry.desk.seen();
    seen.iter()
        .any(|request| request.header("request-id") == id)
}

fn set_delay(entry: &RunningEntry, delay_ms: u64) {
    entry.desk.faults.set(FaultSet {
        delay_ms,
        ..FaultSet::default()
    });
}

/// The head of a request arrives within the notice time and the last byte of its body near the end of the
/// grace period. The request must be rejected, not forwarded and then aborted.
#[test]
fn request_with_a_late_body_is_not_forwarded_and_aborted() {
    const GRACE_MS: u64 = 4_000;
    const STOP_DEADLINE_MS: u64 = 3_500;
    let entry = RunningEntry::start(Ipv4Addr::new(127, 78, 1, 1));
    set_delay(&entry, 1_000);
    let original_settings =
        std::fs::read_to_string(&entry.settings).expect("the settings file cannot be read");
    let settings =
        original_settings.replace("graceS = 8", &format!("graceS = {}", GRACE_MS / 1_000));
    assert_ne!(original_settings, settings);
    std::fs::write(&entry.settings, settings).expect("the settings file cannot be written");
    entry.signal("HUP");
    std::thread::sleep(Duration::from_millis(300));
    entry.signal("TERM");
    let stop_started_at = Instant::now();
    std::thread::sleep(Duration::from_millis(GRACE_MS / 2 - 200));
    let mut stream = connect(entry.caller_addr);
    let head = request_text("late-body", "POST", 2);
    stream
        .write_all(head.as_bytes())
        .expect("the request cannot be sent");
    stream.write_all(b"x").expect("the request cannot be sent");
    let last_byte_at = Duration::from_millis(STOP_DEADLINE_MS - 300);
    std::thread::sleep(last_byte_at.saturating_sub(stop_started_at.elapsed()));
    stream.write_all(b"x").expect("the request cannot be sent");
    let statuses = read_statuses(&mut stream);
    let is_aborted = was_forwarded(&entry, "late-body") && statuses.is_empty();
    assert!(!is_aborted, "the request was forwarded and aborted");
    assert_eq!(statuses, ["503"]);
}

/// A signal that arrives as soon as callers can connect must cause a planned stop.
#[test]
fn signal_once_callers_can_connect_causes_a_planned_stop() {
    const START_COUNT: u8 = 12;
    let mut exits = Vec::new();
    for number in 1..=START_COUNT {
        let ip = Ipv4Addr::new(127, 78, 2, number);
        let store = SocketAddr::from(([127, 0, 0, 1], 9));
        let settings = write_settings(&format!("edge-{number}"), &sample_settings(ip, store));
        let mut process = program(&settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("the process cannot be started");
        let caller_addr = SocketAddr::from((ip, CALLER_PORT));
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        while TcpStream::connect(caller_addr).is_err() {
            assert!(Instant::now() < deadline, "the process does not listen");
        }
        let id = process.id();
        signal(id, "TERM");
        exits.push(std::thread::spawn(move || {
            let status = process.wait().expect("the process cannot be waited for");
            let _ = std::fs::remove_file(settings);
            status
        }));
    }
    let statuses: Vec<_> = exits
        .into_iter()
        .map(|exit| exit.join().expect("wait thread panicked"))
        .collect();
    let planned_stops = statuses.iter().filter(|status| status.success()).count();
    assert_eq!(planned_stops, usize::from(START_COUNT), "{statuses:?}");
}

fn signal(id: u32, name: &str) {
    let id = id.to_string();
    let kill_status = std::process::Command::new("kill")
        .args(["-s", name, &id])
        .status();
    assert!(kill_status.is_ok_and(|status| status.success()), "{name}");
}

/// Responses during a stop must carry `Connection: close`, so that callers send their next request on
/// another connection.
#[test]
fn responses_during_a_stop_close_the_connection() {
    let entry = RunningEntry::start(Ipv4Addr::new(127, 78, 7, 1));
    let has_connection_close = |id: &str| {
        let mut stream = connect(entry.caller_addr);
        let request = request_text(id, "GET", 0);
        stream
            .write_all(request.as_bytes())
            .expect("the request cannot be sent");
        let mut buffer = [0_u8; 4_096];
        let count = stream.read(&mut buffer).expect("no response");
        let answer = String::from_utf8_lossy(&buffer[..count]).to_ascii_lowercase();
        let (head, _) = answer
            .split_once("\r\n\r\n")
            .expect("the response head is incomplete");
        head.contains("\r\nconnection: close")
    };
    assert!(!has_connection_close("before"));
    entry.signal("TERM");
    std::thread::sleep(Duration::from_millis(300));
    assert!(has_connection_close("after"));
}

/// Three pipelined requests are sent on one connection, before and after the signal and near the end of
/// the notice time. Each one that is forwarded must be answered.
#[test]
fn forwarded_pipelined_requests_are_answered() {
    let entry = RunningEntry::start(Ipv4Addr::new(127, 78, 3, 1));
    let ids = ["pipe-0", "pipe-1", "pipe-2"];
    let send_all = |prefix: &str| {
        let mut stream = connect(entry.caller_addr);
        let requests: String = ids
            .iter()
            .map(|id| request_text(&format!("{prefix}{id}"), "GET", 0))
            .collect();
        stream
            .write_all(requests.as_bytes())
            .expect("the request cannot be sent");
        stream
    };
    let before_stop = send_all("a-");
    std::thread::sleep(Duration::from_millis(200));
    entry.signal("TERM");
    let after_stop = send_all("b-");
    std::thread::sleep(NOTICE_TIME - Duration::from_millis(500));
    let near_end = send_all("c-");
    let mut lost = Vec::new();
    for (prefix, mut stream) in [("a-", before_stop), ("b-", after_stop), ("c-", near_end)] {
        let response_count = read_statuses(&mut stream).len();
        let forwarded_count = ids
            .iter()
            .filter(|id| was_forwarded(&entry, &format!("{prefix}{id}")))
            .count();
        if forwarded_count > response_count {
            lost.push((prefix, forwarded_count, response_count));
        }
    }
    assert!(lost.is_empty(), "{lost:?}");
}

/// Requests arrive on kept connections while the process is paused over the end of its notice time. They
/// must be answered once it continues.
#[test]
fn requests_on_kept_connections_are_answered_after_a_pause() {
    const KEPT_CONNECTIONS: usize = 12;
    let entry = RunningEntry::start(Ipv4Addr::new(127, 78, 4, 1));
    set_delay(&entry, 5);
    let mut kept_streams: Vec<TcpStream> = (0..KEPT_CONNECTIONS)
        .map(|number| {
            let mut stream = connect(entry.caller_addr);
            let request = request_text(&format!("first-{number}"), "GET", 0);
            stream
                .write_all(request.as_bytes())
                .expect("the request cannot be sent");
            let mut buffer = [0_u8; 8_192];
            let count = stream.read(&mut buffer).expect("no response");
            assert!(count > 0);
            stream
        })
        .collect();
    entry.signal("TERM");
    std::thread::sleep(NOTICE_TIME - Duration::from_millis(200));
    entry.signal("STOP");
    for (number, stream) in kept_streams.iter_mut().enumerate() {
        let request = request_text(&format!("second-{number}"), "GET", 0);
        stream
            .write_all(request.as_bytes())
            .expect("the request cannot be sent");
    }
    std::thread::sleep(Duration::from_millis(600));
    entry.signal("CONT");
    let statuses_by_stream: Vec<Vec<String>> = kept_streams.iter_mut().map(read_statuses).collect();
    let answered = statuses_by_stream
        .iter()
        .filter(|statuses| statuses.len() == 1)
        .count();
    assert_eq!(answered, KEPT_CONNECTIONS, "{statuses_by_stream:?}");
}

/// The process is paused from within its notice time until its grace period is over. It must exit without
/// forwarding the requests that arrived meanwhile.
#[test]
fn process_paused_beyond_its_grace_period_forwards_nothing() {
    let mut entry = RunningEntry::start(Ipv4Addr::new(127, 78, 5, 1));
    set_delay(&entry, 300);
    let mut accepted = connect(entry.caller_addr);
    std::thread::sleep(Duration::from_millis(100));
    entry.signal("TERM");
    std::thread::sleep(Duration::from_millis(500));
    entry.signal("STOP");
    let request = request_text("over", "GET", 0);
    accepted
        .write_all(request.as_bytes())
        .expect("the request cannot be sent");
    let mut queued = connect(entry.caller_addr);
    let request = request_text("queued", "GET", 0);
    queued
        .write_all(request.as_bytes())
        .expect("the request cannot be sent");
    std::thread::sleep(Duration::from_secs(9));
    entry.signal("CONT");
    let status = entry
        .process
        .wait()
        .expect("the process cannot be waited for");
    assert!(status.success(), "{status}");
    assert!(!was_forwarded(&entry, "over"));
    assert!(!was_forwarded(&entry, "queued"));
}

/// A full log pipe that is not read must not delay the stop.
#[test]
fn unread_log_does_not_delay_a_stop() {
    let ip = Ipv4Addr::new(127, 78, 6, 1);
    let store = SocketAddr::from(([127, 0, 0, 1], 9));
    let settings = write_settings("edge-log", &sample_settings(ip, store));
    let mut process = program(&settings)
        .env("RUST_LOG", "trace")
        .stdout(Stdio::piped())
        .spawn()
        .expect("the process cannot be started");
    let caller_addr = SocketAddr::from((ip, CALLER_PORT));
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    while TcpStream::connect(caller_addr).is_err() {
        assert!(Instant::now() < deadline, "the process does not listen");
        std::thread::sleep(Duration::from_millis(10));
    }
    for number in 0..3_000 {
        let mut stream = connect(caller_addr);
        let request = request_text(&format!("log-{number}"), "GET", 0);
        stream
            .write_all(request.as_bytes())
            .expect("the request cannot be sent");
    }
    let stop_started_at = Instant::now();
    signal(process.id(), "TERM");
    let status = process.wait().expect("the process cannot be waited for");
    let _ = std::fs::remove_file(settings);
    assert!(status.success(), "{status}");
    assert!(
        stop_started_at.elapsed() < Duration::from_secs(8),
        "{:?}",
        stop_started_at.elapsed()
    );
}
