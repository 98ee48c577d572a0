//! What several test files use.
#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bergamot_ports::{ServingBounds, VmSite};
use bergamot_types::prelude::*;

/// After so long a key counts no more that was not confirmed.
pub const REVOKE_TIME: Millis = Millis(5_000);

/// A small VM.
pub fn site() -> VmSite {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    VmSite {
        vm: VmId::new("entry-1"),
        failure_domain: FailureDomain::new("east"),
        caller_addr: addr,
        ready_addr: addr,
        metrics_addr: addr,
        millicores: 250,
        peer_addr: addr,
        bounds: ServingBounds {
            drain_time: Millis(2_000),
            stop_grace: Millis(8_000),
            revoke_time: Some(REVOKE_TIME),
            retry_ratio: 0.2,
            retry_window: Millis(10_000),
            retry_reserve: 100.0,
            stall_time: Millis(4_000),
        },
    }
}

/// Every source file below a folder.
pub fn sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("the folder is there") {
        let path = entry.expect("it can be read").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
}
