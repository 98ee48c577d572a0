//! How the memory and the descriptors of this process are divided.

use bergamot_ports::VmLimits;
use bergamot_resources::prelude::*;
use nix::sys::resource::{Resource, getrlimit};

use crate::settings::TuningSettings;

/// Divides the memory and the descriptors of this process.
pub fn resource_shares(tuning: &TuningSettings) -> ResourceShares {
    let descriptors = getrlimit(Resource::RLIMIT_NOFILE);
    let descriptors = descriptors.map_or(VmLimits::default().descriptors, |(soft, _)| {
        usize::try_from(soft).unwrap_or(usize::MAX)
    });
    let shares = ResourceShares::of(VmLimits {
        memory_bytes: tuning.memory_bytes,
        descriptors,
    });
    ResourceShares {
        caller_connections: shares.caller_connections.min(tuning.max_connections),
        ..shares
    }
}
