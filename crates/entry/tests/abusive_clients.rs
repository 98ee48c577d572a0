//! Processes before crowds of clients that use the limits all at once, or break them. Guards against a process that
//! takes more memory or descriptors than its VM has, that ends, or that answers no ordinary caller any more.

mod abusive;
mod crowd;
#[path = "support/mod.rs"]
mod support;

use std::sync::PoisonError;
use std::time::Duration;

use abusive::*;
use bergamot_adapter::sample::{EVENTS_ROUTE, post_head};
use bergamot_site_standin::bulk::EVENTS_PATH;
use crowd::Crowd;
use support::exchange;

const PIECE: [u8; 16 << 10] = [b'x'; 16 << 10];
/// Pieces of a body that ends a byte short of the largest one.
const SHORT_PIECES: usize = 15;

/// Returns the piece that makes up such a body.
fn short_piece() -> Vec<u8> {
    vec![b'x'; (BODY_BYTES - 1) / SHORT_PIECES]
}

#[test]
fn large_bodies_whose_last_bytes_are_missing_take_no_more_memory_than_there_is() {
    let body = short_piece();
    let head = sized("/read/x", BODY_BYTES);
    play_each(
        1,
        &[
            CrowdCase::new("short of their end", &head, &body, SHORT_PIECES),
            CrowdCase::new("in small pieces", &head, &body, SHORT_PIECES).with_turns(4 << 10),
            CrowdCase::new("that come again", &head, &body, SHORT_PIECES).with_returns(3),
        ],
    );
}

#[test]
fn whole_bodies_that_wait_for_an_upstream_take_no_more_memory_than_there_is() {
    let head = sized("/read/deep/x", BODY_BYTES);
    let case = CrowdCase::new("whole", &head, &PIECE, BODY_BYTES / PIECE.len());
    play_each(10, &[case]);
}

#[test]
fn chunked_bodies_without_an_end_take_no_more_memory_than_there_is() {
    let head = chunked("/read/x");
    play_each(
        20,
        &[
            CrowdCase::new("in large chunks", &head, &chunks(64 << 10, 1), 16),
            CrowdCase::new("in chunks of a byte", &head, &chunks(1, 1_024), 100),
        ],
    );
}

#[test]
fn bodies_beyond_the_limit_take_no_more_memory_than_there_is() {
    let pieces = 4 * BODY_BYTES / PIECE.len();
    play_each(
        30,
        &[
            CrowdCase::new("announced", &sized("/read/x", 1 << 30), &PIECE, pieces),
            CrowdCase::new("sent", &chunked("/read/x"), &chunks(16 << 10, 1), pieces),
        ],
    );
}

#[test]
fn bodies_of_callers_without_a_key_take_no_more_memory_than_there_is() {
    let pieces = BODY_BYTES / PIECE.len();
    let announced = format!("Content-Length: {BODY_BYTES}");
    let head = |framing: &str| post_head("r-1", "nobody's", "/read/x", framing);
    let chunked = head("Transfer-Encoding: chunked");
    play_each(
        40,
        &[
            CrowdCase::new("with a length", &head(&announced), &PIECE, pieces - 1),
            CrowdCase::new("in chunks of a byte", &chunked, &chunks(1, 1_024), 100),
        ],
    );
}

#[test]
fn connections_without_a_request_take_no_more_descriptors_than_there_are() {
    let begun = "POST /read/x HTTP/1.1\r\nHost: calls.example\r\n";
    let expecting = head("/read/x", "Expect: 100-continue\r\nContent-Length: 100");
    play_each(
        50,
        &[
            CrowdCase::idle("without a byte", CrowdListener::Callers, ""),
            CrowdCase::idle("with half a head", CrowdListener::Callers, begun).with_returns(1),
            CrowdCase::idle("that wait to go on", CrowdListener::Callers, &expecting),
        ],
    );
}

#[test]
fn connections_at_other_ports_take_no_more_descriptors_than_there_are() {
    play_each(
        60,
        &[
            CrowdCase::idle("forwards", CrowdListener::Forwards, ""),
            CrowdCase::idle("feed", CrowdListener::Feed, ""),
            CrowdCase::idle("readiness", CrowdListener::Ready, ""),
            CrowdCase::idle("metrics", CrowdListener::Metrics, ""),
        ],
    );
}

#[test]
fn messages_to_the_feed_whose_last_bytes_are_missing_take_no_more_memory_than_there_is() {
    let announced = "\0\u{3f}\0\0";
    let pieces = 3 * (1 << 20) / PIECE.len();
    let case = CrowdCase::new("large messages", announced, &PIECE, pieces);
    let listener = CrowdListener::Feed;
    play_each(65, &[CrowdCase { listener, ..case }]);
}

#[test]
fn answers_that_nobody_reads_take_no_more_memory_than_there_is() {
    let head = sized("/read/deep/large", 0);
    let case = CrowdCase::new("unread answers", &head, b"", 0);
    play_each(70, &[case.without_reading()]);
}

#[test]
fn events_that_nobody_reads_take_no_more_memory_than_there_is() {
    let head = sized(&format!("/{EVENTS_ROUTE}/{EVENTS_PATH}"), 0);
    let case = CrowdCase::new("unread events", &head, b"", 0);
    play_each(75, &[case.without_reading()]);
}

#[test]
fn forwarded_bodies_take_no_more_memory_than_there_is() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = CrowdSite::start(78);
    let lines = format!("{}Content-Length: {BODY_BYTES}", site.forward_lines());
    let head = head("/read/x", &lines);
    let case = CrowdCase::new("forwarded", &head, &short_piece(), SHORT_PIECES);
    let listener = CrowdListener::Forwards;
    let failures = site.play(&[CrowdCase { listener, ..case }]);
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn requests_behind_one_that_waits_take_no_more_memory_than_there_is() {
    let next = sized("/read/deep/x", 0).repeat(100);
    let case = CrowdCase::new("pipelined", &next, next.as_bytes(), 64);
    play_each(80, &[case]);
}

/// All of them at once.
#[test]
fn crowds_of_every_kind_at_once_take_no_more_than_there_is() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = CrowdSite::start(90);
    site.start_attic();
    let body = short_piece();
    let cases = [
        CrowdCase::new("short", &sized("/read/x", BODY_BYTES), &body, SHORT_PIECES).with_returns(1),
        CrowdCase::new("whole", &sized("/read/deep/x", BODY_BYTES), &PIECE, 64),
        CrowdCase::new(
            "large chunks",
            &chunked("/read/x"),
            &chunks(64 << 10, 1),
            16,
        ),
        CrowdCase::new("small chunks", &chunked("/read/x"), &chunks(1, 1_024), 100),
        CrowdCase::new("unread", &sized("/read/deep/large", 0), b"", 0).without_reading(),
    ];
    let failures = site.play(&cases);
    assert!(failures.is_empty(), "{failures:#?}");
}

/// A stop ends although bodies never do.
#[test]
fn a_stop_does_not_wait_for_bodies_that_never_end() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = CrowdSite::start(100);
    let case = CrowdCase::new("short", &sized("/read/x", BODY_BYTES), &PIECE, 1);
    let crowd = Crowd::gather(site.entry.caller_addr, &case.script);
    site.entry.signal("TERM");
    let process = std::cell::RefCell::new(&mut site.entry.process);
    let deadline = std::time::Instant::now() + Duration::from_secs(20);
    while process.borrow_mut().try_wait().ok().flatten().is_none() {
        assert!(std::time::Instant::now() < deadline, "the process goes on");
        std::thread::sleep(Duration::from_millis(50));
    }
    drop(crowd);
}

struct CalmCase {
    name: &'static str,
    head: String,
    body: Vec<u8>,
}

/// Guards against limits that a single caller meets.
#[test]
fn the_largest_body_alone_is_served_in_every_form() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let site = CrowdSite::start(110);
    let end: &[u8] = b"0\r\n\r\n";
    let cases = [
        CalmCase {
            name: "with a length",
            head: sized("/read/x", BODY_BYTES),
            body: vec![b'x'; BODY_BYTES],
        },
        CalmCase {
            name: "in large chunks",
            head: chunked("/read/x"),
            body: [&chunks(64 << 10, 16), end].concat(),
        },
        CalmCase {
            name: "in chunks of a byte",
            head: chunked("/read/x"),
            body: [&chunks(1, BODY_BYTES), end].concat(),
        },
    ];
    for case in cases {
        let seen_before = site.entry.desk.seen().len();
        let head = case
            .head
            .replace("Request-Id", "Connection: close\r\nRequest-Id");
        let text = head + &String::from_utf8_lossy(&case.body);
        let reply = exchange(site.entry.caller_addr, &text);
        let is_served = reply.is_some_and(|reply| reply.starts_with("HTTP/1.1 200"));
        assert!(is_served, "{}", case.name);
        let seen = site.entry.desk.seen();
        assert_eq!(seen.len(), seen_before + 1, "{}", case.name);
        let body = &seen[seen_before].body;
        let is_whole = body.len() == BODY_BYTES && body.iter().all(|byte| *byte == b'x');
        assert!(is_whole, "{}", case.name);
    }
}
