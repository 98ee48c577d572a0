//! What operators are shown of evacuations and cold upstreams.

use std::path::PathBuf;
use std::sync::Arc;

use bergamot_ctl::cli;
use bergamot_standin::serve::{Abort, Answer, Question, StandinServer};
use http_body_util::{BodyExt, Full};
use hyper::Response;

const ENTRY_1: &str = "\
at=1000 level=info event=started vm=entry-1
at=2000 level=info event=domain_evacuated domain=east revision=7 source=watch known_after=40
at=2100 level=info event=domain_evacuated domain=west revision=8 source=watch known_after=35
at=2500 level=info event=domain_returned domain=west
at=2600 level=info event=upstream_cold upstream=e-1 left=3000 source=evacuation age=0
at=2700 level=info event=upstream_cold upstream=e-2 left=3000 source=entry age=10
at=5600 level=info event=upstream_warm upstream=e-1
";
const ENTRY_2: &str = "\
at=900 level=info event=started vm=entry-2
at=2230 level=info event=domain_evacuated domain=east revision=7 source=feed known_after=270
at=2400 level=info event=upstream_cold upstream=e-2 left=3250 source=answer age=0
";
/// Restarted since, and has not heard of the evacuation again.
const ENTRY_3: &str = "\
at=900 level=info event=started vm=entry-3
at=2300 level=info event=domain_evacuated domain=east revision=7 source=feed known_after=340
at=2400 level=info event=started vm=entry-3
";

const METRICS: &str = "\
# TYPE bergamot_state gauge
bergamot_state{name=\"caller_connections\"} 4
bergamot_state{name=\"cold_upstreams\"} 2
bergamot_state{name=\"evacuated_domains\"} 1
bergamot_warmup_permits_total{outcome=\"granted\"} 17
";

struct DomainsCase {
    name: &'static str,
    logs: &'static [&'static str],
    lines: &'static [&'static str],
}

const CASES: [DomainsCase; 3] = [
    DomainsCase {
        name: "a VM that lags, ends and restarts",
        logs: &[ENTRY_1, ENTRY_2, ENTRY_3],
        lines: &[
            "east is evacuated at 2 of 3 VMs, learned from at=2000 to at=2230, latest 270 ms after the key; not at: entry-3",
            "e-2 is cold at entry-1 (until=5700 by entry), entry-2 (until=5650 by answer)",
        ],
    },
    DomainsCase {
        name: "all VMs know",
        logs: &[ENTRY_2],
        lines: &[
            "east is evacuated at 1 of 1 VMs, learned from at=2230 to at=2230, latest 270 ms after the key; not at: -",
            "e-2 is cold at entry-2 (until=5650 by answer)",
        ],
    },
    DomainsCase {
        name: "nothing to tell",
        logs: &["at=1 level=info event=started vm=entry-4\n"],
        lines: &["no log tells of an evacuated domain or a cold upstream"],
    },
];

async fn run(arguments: &[String]) -> (i32, String) {
    let matches = cli::options().parse(arguments).expect("valid arguments");
    let outcome = cli::run(&matches).await.expect("the command runs");
    (i32::from(outcome.code), outcome.text)
}

/// Operators would take an evacuation for complete while a VM does not know of it, or for in force
/// after its end.
#[tokio::test]
async fn vms_that_do_not_know_of_an_evacuation_are_named() {
    let folder = std::env::temp_dir().join(format!("bergamot-domains-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder can be made");
    for case in CASES {
        let mut arguments = vec!["domains".to_owned()];
        for (number, text) in case.logs.iter().enumerate() {
            let path: PathBuf = folder.join(number.to_string());
            std::fs::write(&path, text).expect("a log can be written");
            arguments.extend(["--log".to_owned(), path.display().to_string()]);
        }
        let (code, text) = run(&arguments).await;
        assert_eq!((code, text), (0, case.lines.join("\n")), "{}", case.name);
    }
    std::fs::remove_dir_all(&folder).expect("it was made");
}

struct MetricsStandin;

impl StandinServer for MetricsStandin {
    async fn answer(&self, _question: Question) -> Answer {
        let body = Full::new(bytes::Bytes::from_static(METRICS.as_bytes()));
        Ok(Response::new(body.map_err(|_| Abort).boxed()))
    }
}

/// The gauges must be found among all others, and a VM that does not answer must not look as if it had
/// no evacuation.
#[tokio::test]
async fn metrics_of_evacuations_and_cold_upstreams_are_shown() {
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("a port is free");
    let addr = bergamot_standin::serve_on(listener, Arc::new(MetricsStandin));
    let addr = addr.expect("the stand-in starts").to_string();
    let arguments = ["domains", "--metrics", &addr].map(str::to_owned);
    let (code, text) = run(&arguments).await;
    assert_eq!(code, 0);
    let lines = METRICS
        .lines()
        .skip(2)
        .map(|line| format!("{addr}: {line}"));
    assert_eq!(text, lines.collect::<Vec<String>>().join("\n"));
    let arguments = ["domains", "--metrics", "127.0.0.1:1"].map(str::to_owned);
    let (code, text) = run(&arguments).await;
    assert!(code != 0 && text.contains("127.0.0.1:1"), "{code} {text}");
}
