//! Unfit settings are refused with file, field and reason.

use std::path::PathBuf;

use bergamot_entry::EntrySettings;

struct UnfitCase {
    name: &'static str,
    change: fn(&mut serde_json::Value),
    said: &'static str,
}

fn write(name: &str, value: &serde_json::Value) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("bergamot-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(format!("{}.json", name.replace(' ', "-")));
    std::fs::write(&path, value.to_string()).expect("a file");
    path
}

#[test]
fn the_sample_is_fit() {
    let sample = serde_json::to_value(EntrySettings::sample()).expect("JSON");
    EntrySettings::load(&write("sample", &sample)).expect("the sample is fit");
}

#[test]
fn unfit_settings_are_named() {
    let cases = [
        UnfitCase {
            name: "an unknown field",
            change: |value| value["speed"] = 9.into(),
            said: "speed",
        },
        UnfitCase {
            name: "an unknown tuning field",
            change: |value| value["tuning"]["spin"] = 9.into(),
            said: "spin",
        },
        UnfitCase {
            name: "no failure domain",
            change: |value| value["failure_domain"] = "".into(),
            said: "failure_domain: must not be empty",
        },
        UnfitCase {
            name: "a threshold beyond the signers",
            change: |value| value["operators"]["threshold"] = 5.into(),
            said: "operators.threshold",
        },
        UnfitCase {
            name: "evidence that is never fresh",
            change: |value| value["tuning"]["probe_period"] = 60_000.into(),
            said: "tuning.probe_period",
        },
        UnfitCase {
            name: "a drain shorter than evidence counts",
            change: |value| value["placement"]["min_drain"] = 10.into(),
            said: "placement.min_drain",
        },
        UnfitCase {
            name: "an address that is none",
            change: |value| value["caller_addr"] = "here".into(),
            said: "socket address",
        },
    ];
    for case in cases {
        let mut value = serde_json::to_value(EntrySettings::sample()).expect("JSON");
        (case.change)(&mut value);
        let path = write(case.name, &value);
        let error = EntrySettings::load(&path).expect_err(case.name).to_string();
        assert!(error.contains(case.said), "{}: {error}", case.name);
        assert!(error.contains(".json"), "{}: {error}", case.name);
    }
}
