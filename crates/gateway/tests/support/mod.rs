//! Helpers shared by the test files.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod store;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bergamot_ports::{RegionMap, ServingBounds, VmLimits, VmSite, WarmUpBounds};
use bergamot_types::prelude::*;

/// How long callers' keys are accepted without a confirmation of the configuration.
pub const REVOKE_TIME: Millis = Millis(5_000);

/// Time after which a change of the configuration is in force.
pub const CONFIG_APPLY_TIME: Millis = Millis(2_000);

/// Returns the settings of a small entry VM.
pub fn entry_site() -> VmSite {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    VmSite {
        vm: VmId::new("entry-1"),
        failure_domain: FailureDomain::new("east"),
        region: None,
        regions: RegionMap::default(),
        caller_addr: addr,
        ready_addr: addr,
        metrics_addr: addr,
        millicores: 250,
        limits: VmLimits::default(),
        peer_addr: addr,
        forward_addr: None,
        bounds: ServingBounds {
            drain_time: Millis(2_000),
            contact_time: Millis(3_000),
            stop_grace: Millis(8_000),
            revoke_time: Some(REVOKE_TIME),
            config_apply_time: Some(CONFIG_APPLY_TIME),
            retry_ratio: 0.2,
            retry_window: Millis(10_000),
            retry_reserve: 100.0,
            entry_lapse: Millis(3_600),
            stall_time: Millis(4_000),
            warm_up: WarmUpBounds::default(),
            evacuation_time: None,
        },
    }
}

/// Collects all Rust source files below a folder.
pub fn source_files(dir: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("the folder is readable") {
        let path = entry.expect("the folder entry is readable").path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}
