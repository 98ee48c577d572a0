//! The platform's VM list: what is true, and what the list shows some time later.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_platform::VmFact;
use bergamot_types::VmId;
use hyper::{Method, StatusCode};
use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::fault::FaultSwitch;
use crate::serve::{Abort, Answer, Question, StandinServer, empty, json};

/// The stand-in.
pub struct VmListStandin {
    /// The faults in force.
    pub faults: FaultSwitch,
    lag: Duration,
    state: Mutex<ListState>,
}

struct ListState {
    vms: IndexMap<VmId, VmFact>,
    /// What the list showed from each time on, the newest last.
    shown: Vec<(Instant, Vec<VmFact>)>,
}

impl VmListStandin {
    /// A list that shows each change `lag` later.
    pub fn new(vms: Vec<VmFact>, lag: Duration) -> Arc<Self> {
        let shown = vec![(Instant::now(), vms.clone())];
        let vms = vms
            .into_iter()
            .map(|fact| (fact.vm.clone(), fact))
            .collect();
        Arc::new(Self {
            faults: FaultSwitch::default(),
            lag,
            state: Mutex::new(ListState { vms, shown }),
        })
    }

    /// Adds a VM, or changes what is said of it.
    pub fn put(&self, fact: VmFact) {
        let mut state = self.state.lock();
        state.vms.insert(fact.vm.clone(), fact);
        self.note(&mut state);
    }

    /// Takes a VM away.
    pub fn remove(&self, vm: &VmId) {
        let mut state = self.state.lock();
        state.vms.shift_remove(vm);
        self.note(&mut state);
    }

    fn note(&self, state: &mut ListState) {
        let vms = state.vms.values().cloned().collect();
        state.shown.push((Instant::now() + self.lag, vms));
    }

    fn shown(&self) -> Vec<VmFact> {
        let mut state = self.state.lock();
        let now = Instant::now();
        let current = state.shown.iter().rposition(|(from, _)| *from <= now);
        state.shown.drain(..current.unwrap_or(0));
        state
            .shown
            .first()
            .map_or_else(Vec::new, |(_, vms)| vms.clone())
    }
}

impl StandinServer for VmListStandin {
    async fn answer(&self, question: Question) -> Answer {
        if let Some(answer) = self.faults.answer(&question) {
            return answer;
        }
        if let Some(vm) = question.path.strip_prefix("/standin/vms/") {
            return match (&question.method, question.json::<VmFact>()) {
                (&Method::DELETE, _) => {
                    self.remove(&VmId::from(vm));
                    empty(StatusCode::OK)
                }
                (&Method::PUT, Some(fact)) => {
                    self.put(fact);
                    empty(StatusCode::OK)
                }
                _ => empty(StatusCode::BAD_REQUEST),
            };
        }
        self.faults.before().await?;
        if self.faults.get().outage {
            return Err(Abort);
        }
        match question.path.as_str() {
            "/vms" => json(StatusCode::OK, &self.shown()),
            _ => empty(StatusCode::NOT_FOUND),
        }
    }
}
