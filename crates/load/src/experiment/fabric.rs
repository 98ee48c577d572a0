//! The engines and the platform of one experiment, no more than the decisions can see.

use bergamot_placement::{
    EnginePhase, EngineReport, ModelRef, OrderKind, PlacementEvent, VmListing, VmOrder,
};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// One VM with its engine.
#[derive(Clone, Debug)]
pub struct LabVm {
    /// Which fabric domain it is in.
    pub fabric: usize,
    /// Whether it is dead.
    pub is_dead: bool,
    /// Dark or paused until then.
    pub silent_until: Millis,
    /// Whether the platform says that it is leaving.
    pub is_leaving: bool,
    /// Seconds of loading that are left, at the store's full rate.
    pub load_left: f64,
    /// A model that is loaded beside the group's, for a spare.
    pub warming: Option<ModelRef>,
    /// What it reports.
    pub report: EngineReport,
}

/// All VMs and the weight store.
pub struct Lab {
    /// The VMs that there are.
    pub vms: IndexMap<VmId, LabVm>,
    /// Seconds that one VM loads at the store's full rate.
    pub load_seconds: f64,
    /// Loads that share the store's rate without being slowed.
    pub full_rate_loads: usize,
    /// Whether engines keep weights when they leave a group.
    pub keeps_weights: bool,
    /// Seconds of loading done in all.
    pub loaded_seconds: f64,
}

/// Models an engine holds.
const HELD_MODELS: usize = 3;

impl Lab {
    /// A new VM with an idle engine.
    pub fn add(&mut self, vm: VmId, fabric: usize) {
        let fresh = LabVm {
            fabric,
            is_dead: false,
            silent_until: Millis::ZERO,
            is_leaving: false,
            load_left: 0.0,
            warming: None,
            report: EngineReport::default(),
        };
        self.vms.insert(vm, fresh);
    }

    /// Whether a VM answers.
    pub fn answers(&self, now: Millis, vm: &VmId) -> bool {
        self.vms
            .get(vm)
            .is_some_and(|lab| !lab.is_dead && lab.silent_until <= now)
    }

    /// What the platform lists of a fabric domain.
    pub fn listings(&self, fabric: usize) -> Vec<VmListing> {
        self.vms
            .iter()
            .filter(|(_, lab)| lab.fabric == fabric)
            .map(|(vm, lab)| VmListing {
                vm: vm.clone(),
                is_leaving: lab.is_leaving,
                addr: ([127, 0, 0, 1], 1).into(),
                accelerators: 1,
            })
            .collect()
    }

    /// What the VMs of a fabric domain report now.
    pub fn reports(&self, now: Millis, fabric: usize) -> Vec<PlacementEvent> {
        self.vms
            .iter()
            .filter(|(_, lab)| lab.fabric == fabric)
            .map(|(vm, lab)| match self.answers(now, vm) {
                true => PlacementEvent::Report {
                    vm: vm.clone(),
                    asked: now,
                    report: lab.report.clone(),
                },
                false => PlacementEvent::Unanswered {
                    vm: vm.clone(),
                    asked: now,
                },
            })
            .collect()
    }

    /// Carries an order out.
    pub fn obey(&mut self, now: Millis, vm: &VmId, order: &VmOrder) {
        if !self.answers(now, vm) {
            return;
        }
        let (load_seconds, keeps_weights) = (self.load_seconds, self.keeps_weights);
        let Some(lab) = self.vms.get_mut(vm) else {
            return;
        };
        let report = &mut lab.report;
        report.term = report.term.max(order.term);
        match &order.kind {
            OrderKind::Join { model, .. } => {
                let is_held = report.warm.contains(model);
                report.group = order.group.clone();
                report.epoch = order.epoch;
                report.model = Some(model.clone());
                report.phase = match is_held {
                    true => EnginePhase::Ready,
                    false => EnginePhase::Loading,
                };
                let is_half_done = lab.warming.as_ref() == Some(model) && lab.load_left > 0.0;
                lab.warming = None;
                if !is_half_done {
                    lab.load_left = if is_held { 0.0 } else { load_seconds };
                }
            }
            OrderKind::Drain => {
                if report.phase == EnginePhase::Ready {
                    report.phase = EnginePhase::Draining;
                }
            }
            OrderKind::Leave => {
                report.group = None;
                report.epoch = 0;
                report.model = None;
                report.phase = EnginePhase::Idle;
                lab.load_left = 0.0;
                if !keeps_weights {
                    report.warm.clear();
                }
            }
            OrderKind::Warm { model } => {
                if lab.warming.as_ref() != Some(model) {
                    lab.warming = Some(model.clone());
                    lab.load_left = load_seconds;
                }
            }
        }
    }

    /// Whether any VM that answers is loading.
    pub fn is_loading(&self) -> bool {
        self.vms
            .values()
            .any(|lab| lab.load_left > 0.0 && !lab.is_dead)
    }

    /// Lets loads go on for `span`.
    pub fn load(&mut self, now: Millis, span: Millis) {
        let is_loading = |lab: &LabVm| lab.load_left > 0.0;
        let loading = self.vms.values().filter(|lab| is_loading(lab)).count();
        let slow = (loading as f64 / self.full_rate_loads as f64).max(1.0);
        let done = span.as_secs_f64() / slow;
        for lab in self.vms.values_mut().filter(|lab| is_loading(lab)) {
            if lab.is_dead || lab.silent_until > now {
                continue;
            }
            self.loaded_seconds += done.min(lab.load_left);
            lab.load_left -= done;
            if lab.load_left > 0.0 {
                continue;
            }
            lab.load_left = 0.0;
            let model = lab.warming.take().or_else(|| lab.report.model.clone());
            if let Some(model) = model.filter(|model| !lab.report.warm.contains(model)) {
                lab.report.warm.push(model);
                let excess = lab.report.warm.len().saturating_sub(HELD_MODELS);
                lab.report.warm.drain(..excess);
            }
            if lab.report.phase == EnginePhase::Loading {
                lab.report.phase = EnginePhase::Ready;
            }
        }
    }
}
