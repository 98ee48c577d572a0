//! Sizes of the fleet.

use std::time::Duration;

use bergamot_entry::EntrySettings;
use bergamot_standin::{EngineOptions, WeightOptions};

/// Sizes of the fleet.
#[derive(Clone, Debug)]
pub struct LocalOptions {
    /// Failure domains, each with one fabric domain.
    pub failure_domains: usize,
    /// Entry VMs in each failure domain.
    pub entries_per_domain: usize,
    /// Engine VMs in each fabric domain.
    pub engines_per_domain: usize,
    /// Replicas of the sample model.
    pub replicas: u32,
    /// VMs in each replica.
    pub vms_per_replica: u32,
    /// Instances of the sample service.
    pub services: usize,
    /// How fast engines are.
    pub engine: EngineOptions,
    /// How fast weights load.
    pub weights: WeightOptions,
    /// How far the VM list lags.
    pub list_lag: Duration,
    /// Whether engines ignore fencing numbers.
    pub ignore_fencing: bool,
    /// Memory of each entry VM in bytes; its default if none.
    pub memory_bytes: Option<u64>,
    /// Changes the settings of each entry VM before it starts.
    pub tune: fn(&mut EntrySettings),
}

impl Default for LocalOptions {
    fn default() -> Self {
        Self {
            failure_domains: 3,
            entries_per_domain: 2,
            engines_per_domain: 5,
            replicas: 6,
            vms_per_replica: 2,
            services: 3,
            engine: EngineOptions::default(),
            weights: WeightOptions::default(),
            list_lag: Duration::from_millis(500),
            ignore_fencing: false,
            memory_bytes: None,
            tune: |_| {},
        }
    }
}

impl LocalOptions {
    /// The smallest fleet that shows everything: two entry VMs and one group of two VMs.
    pub fn smallest() -> Self {
        Self {
            failure_domains: 1,
            entries_per_domain: 2,
            engines_per_domain: 2,
            replicas: 1,
            services: 1,
            ..Self::default()
        }
    }
}
