//! The real program on the platform: its checked settings, and its signals.

mod support;

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use support::{RunningEntry, ask, program, sample_settings, write_settings};

#[test]
fn settings_are_checked_and_errors_name_the_field() {
    struct CheckCase {
        name: &'static str,
        before: &'static str,
        after: &'static str,
        /// What the error says; none where the settings are good.
        error: Option<&'static str>,
    }
    let cases = [
        CheckCase {
            name: "as they are, with a field of tomorrow",
            before: "",
            after: "",
            error: None,
        },
        CheckCase {
            name: "a field is missing",
            before: "drainMs = 2000",
            after: "",
            error: Some("drainMs"),
        },
        CheckCase {
            name: "an address is none",
            before: "[listen]\nfront = \"",
            after: "[listen]\nfront = \"somewhere ",
            error: Some("front"),
        },
        CheckCase {
            name: "not the format",
            before: "[listen]",
            after: "[listen",
            error: Some("expected"),
        },
    ];
    let store = SocketAddr::from(([127, 0, 0, 1], 9));
    for case in cases {
        let text = sample_settings(Ipv4Addr::LOCALHOST, store);
        let path = write_settings("check", &text.replacen(case.before, case.after, 1));
        let output = program(&path).arg("--check").output().expect("it starts");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            output.status.success(),
            case.error.is_none(),
            "{}",
            case.name
        );
        let said = case.error.is_none_or(|words| error.contains(words));
        assert!(said, "{}: {error}", case.name);
        std::fs::remove_file(path).expect("it was written");
    }
}

#[test]
fn a_hang_up_reads_the_settings_again_and_cuts_nothing() {
    let entry = RunningEntry::start(Ipv4Addr::new(127, 77, 1, 1));
    let text = std::fs::read_to_string(&entry.settings).expect("it was written");
    let text = text.replace("drainMs = 2000", "drainMs = 2500");
    std::fs::write(&entry.settings, text).expect("it can be written");
    let reply = entry.signal_during_a_request("HUP");
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(entry.is_ready());
    // Settings that cannot be read change nothing either.
    std::fs::write(&entry.settings, "[listen").expect("it can be written");
    let reply = entry.signal_during_a_request("HUP");
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(entry.is_ready());
}

#[test]
fn a_hang_up_while_the_process_starts_does_not_end_it() {
    // The settings come through a pipe, which holds the start up until something is written.
    let pipe = std::env::temp_dir().join(format!("bergamot-pipe-{}", std::process::id()));
    let made = Command::new("mkfifo").arg(&pipe).status();
    assert!(made.is_ok_and(|status| status.success()));
    let mut process = program(&pipe)
        .arg("--check")
        .stdout(Stdio::null())
        .spawn()
        .expect("it starts");
    std::thread::sleep(Duration::from_millis(300));
    let id = process.id().to_string();
    let sent = Command::new("kill").args(["-s", "HUP", &id]).status();
    assert!(sent.is_ok_and(|status| status.success()));
    std::thread::sleep(Duration::from_millis(100));
    let ended = process.try_wait().expect("it can be asked for");
    if ended.is_none() {
        let store = SocketAddr::from(([127, 0, 0, 1], 9));
        let text = sample_settings(Ipv4Addr::LOCALHOST, store);
        std::fs::write(&pipe, text).expect("it reads");
    }
    let status = process.wait().expect("it ends");
    std::fs::remove_file(&pipe).expect("it was made");
    assert!(status.success(), "{status}");
}

#[test]
fn a_stop_is_told_at_once_and_cuts_nothing() {
    let mut entry = RunningEntry::start(Ipv4Addr::new(127, 77, 1, 2));
    let reply = entry.signal_during_a_request("TERM");
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(!entry.is_ready(), "it still wants callers");
    // Callers who have not heard of the stop yet are served.
    let late = ask(entry.front).expect("there is an answer");
    assert!(late.starts_with("HTTP/1.1 200"), "{late}");
    let began = Instant::now();
    let status = entry.process.wait().expect("it ends");
    assert!(status.success(), "{status}");
    assert!(
        began.elapsed() < Duration::from_secs(8),
        "{:?}",
        began.elapsed()
    );
}

/// The log says that the process has started once callers can connect.
#[test]
fn a_signal_right_after_the_start_is_a_planned_stop() {
    const STARTS: u8 = 12;
    let starts = (0..STARTS).map(|number| {
        std::thread::spawn(move || {
            let ip = Ipv4Addr::new(127, 77, 10, number + 1);
            let store = SocketAddr::from(([127, 0, 0, 1], 9));
            let settings = write_settings(&ip.to_string(), &sample_settings(ip, store));
            let mut process = program(&settings)
                .stdout(Stdio::piped())
                .spawn()
                .expect("it starts");
            let log = process.stdout.take().expect("it logs");
            let mut lines = BufReader::new(log).lines().map_while(Result::ok);
            let started = lines.any(|line| line.contains("event=started"));
            let id = process.id().to_string();
            let sent = Command::new("kill").args(["-s", "TERM", &id]).status();
            // The rest is read, so that the process can write it.
            let rest = lines.count();
            let status = process.wait().expect("it ends");
            std::fs::remove_file(&settings).expect("it was written");
            assert!(started && sent.is_ok_and(|status| status.success()));
            (status, rest)
        })
    });
    let starts: Vec<_> = starts.collect();
    let ends = starts.into_iter().map(|start| start.join().expect("ends"));
    let ends: Vec<_> = ends.collect();
    assert!(ends.iter().all(|(status, _)| status.success()), "{ends:?}");
}
