//! Tests of the program's `--platform` mode: validation of its settings and handling of signals.

mod support;

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use support::{RunningEntry, program, sample_settings, send_request, write_settings};

#[test]
fn settings_are_checked_and_errors_name_the_field() {
    struct CheckCase {
        name: &'static str,
        before: &'static str,
        after: &'static str,
        /// Text that the error must contain, or `None` if the settings are valid.
        error: Option<&'static str>,
    }
    let cases = [
        CheckCase {
            name: "valid settings with an unknown field",
            before: "",
            after: "",
            error: None,
        },
        CheckCase {
            name: "missing field",
            before: "drainMs = 2000",
            after: "",
            error: Some("drainMs"),
        },
        CheckCase {
            name: "invalid address",
            before: "[listen]\nfront = \"",
            after: "[listen]\nfront = \"somewhere ",
            error: Some("front"),
        },
        CheckCase {
            name: "invalid TOML",
            before: "[listen]",
            after: "[listen",
            error: Some("expected"),
        },
    ];
    let store = SocketAddr::from(([127, 0, 0, 1], 9));
    for case in cases {
        let text = sample_settings(Ipv4Addr::LOCALHOST, store);
        let path = write_settings("check", &text.replacen(case.before, case.after, 1));
        let output = program(&path)
            .arg("--check")
            .output()
            .expect("the process cannot be started");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            output.status.success(),
            case.error.is_none(),
            "{}",
            case.name
        );
        let has_expected_error = case.error.is_none_or(|text| error.contains(text));
        assert!(has_expected_error, "{}: {error}", case.name);
        std::fs::remove_file(path).expect("the settings file is missing");
    }
}

#[test]
fn hang_up_signal_reloads_settings_without_aborting_requests() {
    let entry = RunningEntry::start(Ipv4Addr::new(127, 77, 1, 1));
    let text = std::fs::read_to_string(&entry.settings).expect("the settings file is missing");
    let text = text.replace("drainMs = 2000", "drainMs = 2500");
    std::fs::write(&entry.settings, text).expect("the settings file cannot be written");
    let reply = entry.signal_during_request("HUP");
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(entry.is_ready());
    // A reload of settings that cannot be parsed must not affect requests either.
    std::fs::write(&entry.settings, "[listen").expect("the settings file cannot be written");
    let reply = entry.signal_during_request("HUP");
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(entry.is_ready());
}

#[test]
fn a_hang_up_while_the_process_starts_does_not_end_it() {
    // The settings are read from a named pipe, which blocks the start until the test writes to it.
    let pipe = std::env::temp_dir().join(format!("bergamot-pipe-{}", std::process::id()));
    let pipe_status = Command::new("mkfifo").arg(&pipe).status();
    assert!(pipe_status.is_ok_and(|status| status.success()));
    let mut process = program(&pipe)
        .arg("--check")
        .stdout(Stdio::null())
        .spawn()
        .expect("the process cannot be started");
    std::thread::sleep(Duration::from_millis(300));
    let id = process.id().to_string();
    let kill_status = Command::new("kill").args(["-s", "HUP", &id]).status();
    assert!(kill_status.is_ok_and(|status| status.success()));
    std::thread::sleep(Duration::from_millis(100));
    let early_exit = process
        .try_wait()
        .expect("the process status cannot be read");
    if early_exit.is_none() {
        let store = SocketAddr::from(([127, 0, 0, 1], 9));
        let text = sample_settings(Ipv4Addr::LOCALHOST, store);
        std::fs::write(&pipe, text).expect("the process does not read the settings pipe");
    }
    let status = process.wait().expect("the process cannot be waited for");
    std::fs::remove_file(&pipe).expect("the settings pipe cannot be removed");
    assert!(status.success(), "{status}");
}

#[test]
fn planned_stop_reports_not_ready_at_once_and_completes_requests() {
    let mut entry = RunningEntry::start(Ipv4Addr::new(127, 77, 1, 2));
    let reply = entry.signal_during_request("TERM");
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(
        !entry.is_ready(),
        "the entry VM is still ready after the signal to stop"
    );
    // Callers whose balancer has not noticed the stop yet are served.
    let late_reply = send_request(entry.caller_addr).expect("no response during the stop");
    assert!(late_reply.starts_with("HTTP/1.1 200"), "{late_reply}");
    let wait_started_at = Instant::now();
    let status = entry
        .process
        .wait()
        .expect("the process cannot be waited for");
    assert!(status.success(), "{status}");
    assert!(
        wait_started_at.elapsed() < Duration::from_secs(8),
        "{:?}",
        wait_started_at.elapsed()
    );
}

/// The process logs `event=started` as soon as callers can connect. A signal to stop right after that must
/// cause a planned stop, not kill the process.
#[test]
fn signal_right_after_start_causes_a_planned_stop() {
    const START_COUNT: u8 = 12;
    let starts = (0..START_COUNT).map(|number| {
        std::thread::spawn(move || {
            let ip = Ipv4Addr::new(127, 77, 10, number + 1);
            let store = SocketAddr::from(([127, 0, 0, 1], 9));
            let settings = write_settings(&ip.to_string(), &sample_settings(ip, store));
            let mut process = program(&settings)
                .stdout(Stdio::piped())
                .spawn()
                .expect("the process cannot be started");
            let stdout = process.stdout.take().expect("stdout is not piped");
            let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
            let started = lines.any(|line| line.contains("event=started"));
            let id = process.id().to_string();
            let kill_status = Command::new("kill").args(["-s", "TERM", &id]).status();
            // Reads the rest of the log, so that the process does not block on a full pipe.
            let remaining_lines = lines.count();
            let status = process.wait().expect("the process cannot be waited for");
            std::fs::remove_file(&settings).expect("the settings file is missing");
            assert!(started && kill_status.is_ok_and(|status| status.success()));
            (status, remaining_lines)
        })
    });
    let starts: Vec<_> = starts.collect();
    let results = starts
        .into_iter()
        .map(|start| start.join().expect("start thread panicked"));
    let results: Vec<_> = results.collect();
    assert!(
        results.iter().all(|(status, _)| status.success()),
        "{results:?}"
    );
}
