//! Invalid settings are rejected with an error that states the file, the field and the reason.

use std::path::PathBuf;

use bergamot_entry::EntrySettings;

struct InvalidCase {
    name: &'static str,
    change: fn(&mut serde_json::Value),
    expected_error: &'static str,
}

fn write_settings(name: &str, value: &serde_json::Value) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("bergamot-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder cannot be created");
    let path = folder.join(format!("{}.json", name.replace(' ', "-")));
    std::fs::write(&path, value.to_string()).expect("the file cannot be written");
    path
}

#[test]
fn sample_settings_are_valid() {
    let sample = serde_json::to_value(EntrySettings::sample()).expect("JSON");
    EntrySettings::load(&write_settings("sample", &sample))
        .expect("the sample settings are invalid");
}

#[test]
fn error_names_the_file_and_the_invalid_field() {
    let cases = [
        InvalidCase {
            name: "unknown field",
            change: |value| value["speed"] = 9.into(),
            expected_error: "speed",
        },
        InvalidCase {
            name: "unknown tuning field",
            change: |value| value["tuning"]["spin"] = 9.into(),
            expected_error: "spin",
        },
        InvalidCase {
            name: "empty failure domain",
            change: |value| value["failure_domain"] = "".into(),
            expected_error: "failure_domain: must not be empty",
        },
        InvalidCase {
            name: "signer threshold above the number of signers",
            change: |value| value["operators"]["threshold"] = 5.into(),
            expected_error: "operators.threshold",
        },
        InvalidCase {
            name: "probe period longer than the age limit of evidence",
            change: |value| value["tuning"]["probe_period"] = 60_000.into(),
            expected_error: "tuning.probe_period",
        },
        InvalidCase {
            name: "no memory",
            change: |value| value["tuning"]["memory_mb"] = 0.into(),
            expected_error: "must be a positive number of megabytes",
        },
        InvalidCase {
            name: "no connections",
            change: |value| value["tuning"]["max_connections"] = 0.into(),
            expected_error: "tuning.max_connections",
        },
        InvalidCase {
            name: "bodies that are never accepted",
            change: |value| value["tuning"]["memory_mb"] = 7.into(),
            expected_error: "tuning.max_body_bytes",
        },
        InvalidCase {
            name: "drain shorter than the age limit of evidence",
            change: |value| value["placement"]["min_drain"] = 10.into(),
            expected_error: "placement.min_drain",
        },
        InvalidCase {
            name: "invalid address",
            change: |value| value["caller_addr"] = "here".into(),
            expected_error: "socket address",
        },
    ];
    for case in cases {
        let mut value = serde_json::to_value(EntrySettings::sample()).expect("JSON");
        (case.change)(&mut value);
        let path = write_settings(case.name, &value);
        let error = EntrySettings::load(&path).expect_err(case.name).to_string();
        assert!(
            error.contains(case.expected_error),
            "{}: {error}",
            case.name
        );
        assert!(error.contains(".json"), "{}: {error}", case.name);
    }
}
