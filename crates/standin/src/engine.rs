//! A model engine on one VM.

mod generation;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_placement::{EnginePhase, EngineReport, ModelRef, OrderKind, VmOrder};
use bergamot_types::{GroupId, VmId};
use bytes::Bytes;
use hyper::body::Frame;
use hyper::{Method, Response, StatusCode};
use parking_lot::Mutex;
use serde_json::json as value;
use tokio::sync::mpsc;

use self::generation::Generation;
use crate::batch::{BatchPlaces, PrefixCache};
use crate::fabric::{FabricRegistry, MemberState};
use crate::fault::FaultSwitch;
use crate::generate::Prompt;
use crate::run_log::{RUNS_PATH, RunLog};
use crate::serve::{Abort, Answer, Question, StandinServer, empty, json, stream_body};
use crate::weights::WeightStandin;

/// How fast and how large the engine is.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Time between tokens.
    pub token_time: Duration,
    /// Time to read a prompt whose prefix is not held.
    pub prefill_time: Duration,
    /// Requests that generate at once.
    pub batch: usize,
    /// Prefixes held.
    pub prefixes: usize,
    /// How far load reports lag.
    pub load_lag: Duration,
    /// How far cache events lag, in milliseconds.
    pub event_lag_ms: u64,
    /// Models whose weights fit in memory.
    pub warm_models: usize,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            token_time: Duration::from_millis(5),
            prefill_time: Duration::from_millis(20),
            batch: 64,
            prefixes: 256,
            load_lag: Duration::from_millis(300),
            event_lag_ms: 2_000,
            warm_models: 3,
        }
    }
}

#[derive(Debug, Default)]
struct EngineState {
    report: EngineReport,
    members: Vec<VmId>,
    /// Counts joins and leaves, so that a load knows whether it is still wanted.
    generation: u64,
    lagged: Option<(Instant, u32, u32)>,
}

/// The stand-in.
pub struct EngineStandin {
    vm: VmId,
    options: EngineOptions,
    /// The faults in force.
    pub faults: FaultSwitch,
    /// The executions begun.
    pub runs: RunLog,
    fabric: Arc<FabricRegistry>,
    weights: Arc<WeightStandin>,
    state: Mutex<EngineState>,
    places: Arc<BatchPlaces>,
    cache: PrefixCache,
}

impl EngineStandin {
    /// An idle engine.
    pub fn new(
        vm: VmId,
        options: EngineOptions,
        fabric: Arc<FabricRegistry>,
        weights: Arc<WeightStandin>,
    ) -> Arc<Self> {
        let engine = Self {
            vm,
            places: BatchPlaces::new(options.batch),
            cache: PrefixCache::new(options.prefixes),
            options,
            faults: FaultSwitch::default(),
            runs: RunLog::default(),
            fabric,
            weights,
            state: Mutex::new(EngineState::default()),
        };
        let engine = Arc::new(engine);
        engine.tell_fabric(&engine.state.lock());
        engine
    }

    /// Requests it is generating for now.
    pub fn running(&self) -> u32 {
        self.places.counts().0
    }

    fn tell_fabric(&self, state: &EngineState) {
        let is_ready = matches!(
            state.report.phase,
            EnginePhase::Ready | EnginePhase::Draining
        );
        let group = state.report.group.clone().filter(|_| is_ready);
        let faults = self.faults.get();
        self.fabric.set(
            &self.vm,
            MemberState {
                ready_in: group.map(|group| (group, state.report.epoch)),
                is_alive: !(faults.dead || faults.hang),
            },
        );
    }

    fn report(&self) -> EngineReport {
        let mut state = self.state.lock();
        let is_due = state
            .lagged
            .is_none_or(|(at, ..)| at.elapsed() >= self.options.load_lag);
        if is_due {
            let (running, queued) = self.places.counts();
            state.lagged = Some((Instant::now(), running, queued));
        }
        let (_, running, queued) = state.lagged.unwrap_or((Instant::now(), 0, 0));
        EngineReport {
            running,
            queued,
            ..state.report.clone()
        }
    }

    fn obey(self: &Arc<Self>, order: VmOrder) -> StatusCode {
        let mut state = self.state.lock();
        let checks = !self.faults.get().ignore_fencing;
        if checks && order.term < state.report.term {
            return StatusCode::CONFLICT;
        }
        state.report.term = state.report.term.max(order.term);
        let is_mine = state.report.group == order.group;
        match order.kind {
            OrderKind::Join { model, members } => {
                let is_old = is_mine && order.epoch < state.report.epoch;
                let is_elsewhere = state.report.group.is_some() && !is_mine;
                if is_old || is_elsewhere {
                    return StatusCode::CONFLICT;
                }
                let Some(group) = order.group else {
                    return StatusCode::BAD_REQUEST;
                };
                self.join(&mut state, group, order.epoch, model, members);
            }
            OrderKind::Drain if is_mine => {
                if state.report.phase == EnginePhase::Ready {
                    state.report.phase = EnginePhase::Draining;
                }
            }
            OrderKind::Leave if is_mine => {
                state.generation += 1;
                state.report.group = None;
                state.report.epoch = 0;
                state.report.model = None;
                state.report.phase = EnginePhase::Idle;
                state.members.clear();
                self.cache.clear();
            }
            OrderKind::Warm { model } => self.warm(&mut state, model),
            OrderKind::Drain | OrderKind::Leave => return StatusCode::CONFLICT,
        }
        self.tell_fabric(&state);
        StatusCode::OK
    }

    fn join(
        self: &Arc<Self>,
        state: &mut EngineState,
        group: GroupId,
        epoch: u32,
        model: ModelRef,
        members: Vec<VmId>,
    ) {
        state.generation += 1;
        state.members = members;
        state.report.group = Some(group);
        state.report.epoch = epoch;
        state.report.model = Some(model.clone());
        if state.report.warm.contains(&model) {
            state.report.phase = EnginePhase::Ready;
            return;
        }
        state.report.phase = EnginePhase::Loading;
        let generation = state.generation;
        let engine = Arc::clone(self);
        tokio::spawn(async move {
            engine.weights.load().await;
            let mut state = engine.state.lock();
            engine.hold(&mut state, &model);
            if state.generation == generation {
                state.report.phase = EnginePhase::Ready;
                engine.tell_fabric(&state);
            }
        });
    }

    fn warm(self: &Arc<Self>, state: &mut EngineState, model: ModelRef) {
        if state.report.phase != EnginePhase::Idle || state.report.warm.contains(&model) {
            return;
        }
        let engine = Arc::clone(self);
        tokio::spawn(async move {
            engine.weights.load().await;
            engine.hold(&mut engine.state.lock(), &model);
        });
    }

    fn hold(&self, state: &mut EngineState, model: &ModelRef) {
        if state.report.warm.contains(model) {
            return;
        }
        state.report.warm.push(model.clone());
        if state.report.warm.len() > self.options.warm_models {
            state.report.warm.remove(0);
        }
    }

    /// Whether this engine leads a whole group now.
    fn leads(&self) -> Option<(GroupId, u32)> {
        let state = self.state.lock();
        let group = state.report.group.clone()?;
        let epoch = state.report.epoch;
        let is_whole = self.fabric.is_whole(&group, epoch, &state.members);
        let is_leader = state.members.first() == Some(&self.vm);
        (is_leader && is_whole).then_some((group, epoch))
    }

    async fn generate(self: Arc<Self>, question: Question, is_chat: bool) -> Answer {
        let phase = self.state.lock().report.phase;
        let leads = self.leads();
        let wanted = (
            question.header("bergamot-group"),
            question.header("bergamot-epoch"),
        );
        let is_meant = leads.as_ref().is_some_and(|(group, epoch)| {
            wanted.0.is_empty() || (group.as_str() == wanted.0 && epoch.to_string() == wanted.1)
        });
        if self.faults.take_refusal() || !is_meant || phase != EnginePhase::Ready {
            return not_run();
        }
        let Some(prompt) = question.json::<Prompt>() else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let run = self.runs.begin(
            question.header("x-request-id"),
            question.header("idempotency-key"),
        );
        if self.faults.take_lost_answer() {
            self.runs.end(run);
            return Err(Abort);
        }
        let (group, epoch) = leads.unwrap_or_default();
        let (sender, receiver) = mpsc::channel(64);
        let (running, queued) = self.places.counts();
        let death = self.faults.take_death();
        let generation = Generation {
            engine: self,
            id: question.header("x-request-id").to_owned(),
            priority: question.header("bergamot-priority").parse().unwrap_or(5),
            from: question
                .header("bergamot-resume-offset")
                .parse()
                .unwrap_or(0),
            prompt,
            is_chat,
            run,
            death,
            group: (group.clone(), epoch),
        };
        tokio::spawn(generation.run(sender));
        let frames = futures::stream::unfold(receiver, |mut receiver| async move {
            let frame: Result<Frame<Bytes>, Abort> = receiver.recv().await?;
            Some((frame, receiver))
        });
        let response = Response::builder()
            .header("content-type", "text/event-stream")
            .header("bergamot-group", group.as_str())
            .header("bergamot-epoch", epoch)
            .header("bergamot-load", running + queued + 1);
        response.body(stream_body(frames)).map_err(|_| Abort)
    }
}

fn not_run() -> Answer {
    let mut response = json(
        StatusCode::SERVICE_UNAVAILABLE,
        &value!({ "error": { "message": "not run" } }),
    )?;
    let no = hyper::header::HeaderValue::from_static("no");
    response.headers_mut().insert("bergamot-ran", no);
    Ok(response)
}

/// The engine as its server sees it. Keeps the engine shared with its own tasks.
pub struct EngineServer(pub Arc<EngineStandin>);

impl StandinServer for EngineServer {
    async fn answer(&self, question: Question) -> Answer {
        let engine = &self.0;
        if let Some(answer) = engine.faults.answer(&question) {
            engine.tell_fabric(&engine.state.lock());
            return answer;
        }
        if question.path == RUNS_PATH {
            return json(StatusCode::OK, &engine.runs.list());
        }
        engine.faults.before().await?;
        match (&question.method, question.path.as_str()) {
            (&Method::GET, "/engine/state") => json(StatusCode::OK, &engine.report()),
            (&Method::GET, "/engine/cache_events") => {
                let events = engine.cache.published(engine.options.event_lag_ms);
                json(StatusCode::OK, &events)
            }
            (&Method::POST, "/engine/orders") => match question.json::<VmOrder>() {
                Some(order) => empty(engine.obey(order)),
                None => empty(StatusCode::BAD_REQUEST),
            },
            (&Method::POST, "/v1/chat/completions") => {
                Arc::clone(engine).generate(question, true).await
            }
            (&Method::POST, "/v1/completions") => {
                Arc::clone(engine).generate(question, false).await
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }
}
