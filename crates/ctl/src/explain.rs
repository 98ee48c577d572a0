//! Why something is where it is, out of the entry VMs' dumps.

use serde_json::Value;

/// One entry VM's account of a group, a VM or a request.
pub fn explain(dump: &Value, name: &str) -> Vec<String> {
    let mut lines = Vec::new();
    let control = &dump["control"];
    let entry = control["entry"]["entry"].as_str().unwrap_or("?");
    for fabric in control["fabric_domains"].as_array().into_iter().flatten() {
        explain_in_fabric(entry, fabric, name, &mut lines);
    }
    for vm in control["vms"].as_array().into_iter().flatten() {
        if vm["vm"] == name {
            lines.push(format!(
                "{entry}: the platform lists {name} as {} {} in {}/{} at {}",
                vm["state"], vm["kind"], vm["failure_domain"], vm["fabric_domain"], vm["addr"]
            ));
        }
    }
    let upstreams = dump["routing"]["upstreams"].as_object();
    for (route, loads) in upstreams.into_iter().flatten() {
        if let Some(load) = loads.get(name) {
            lines.push(format!(
                "{entry}: routes {route} to it: in flight {}, latency {} ms, set aside until {} (now {})",
                load["in_flight"], load["latency"], load["set_aside_until"], dump["now_ms"]
            ));
        }
    }
    lines
}

fn explain_in_fabric(entry: &str, fabric: &Value, name: &str, lines: &mut Vec<String>) {
    let place = &fabric["fabric_domain"];
    let coordinator = &fabric["coordinator"];
    if let Some(usage) = fabric["vms"].get(name) {
        let meaning = match usage {
            Value::String(free) if free == "free" => {
                "is free: it enters a group once it was seen idle and steady".to_owned()
            }
            usage if usage["member"].is_string() => format!("is a member of {}", usage["member"]),
            usage => format!(
                "was taken out of {} and has not yet been seen outside of it",
                usage["evicted"]
            ),
        };
        lines.push(format!(
            "{entry}: {name} in {place} {meaning} (term {} by {coordinator})",
            fabric["term"]
        ));
    }
    for group in fabric["groups"].as_array().into_iter().flatten() {
        if group["group"] != name {
            continue;
        }
        let record = &group["record"];
        lines.push(format!(
            "{entry}: group {name} in {place} runs {} version {} for roll {}, epoch {}, phase {}, members {}",
            record["model"]["name"],
            record["model"]["version"],
            record["roll"],
            record["epoch"],
            record["phase"],
            group["members"]
        ));
        lines.push(match group["evidence_age_ms"].as_u64() {
            Some(age) => format!(
                "{entry}: all its members reported epoch {} at most {age} ms ago",
                group["evidence_epoch"]
            ),
            None => format!("{entry}: its members have not all reported it: nothing is sent to it"),
        });
    }
}
