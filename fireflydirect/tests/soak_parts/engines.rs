//! Model engines of a soak: they start, leave, restart and end.

use crate::soak_parts::faults::{DRAIN_TIMES, Soak, Undo};
use standins::site::{EngineKind, FIRST_VERSION, ProxyFault, ServingSpan};
use std::time::{Duration, Instant};

/// Time from a crash by a part of a prompt to the engine's next start.
const REVIVE_DELAY: Duration = Duration::from_millis(1_500);

/// Software version beside the first one.
const SECOND_VERSION: &str = "v2";

/// Maximum engines of a soak; addresses end with their numbers.
const MAX_ENGINES: usize = 40;

/// Returns the other one of the two software versions.
pub(crate) fn other_version(version: &str) -> &'static str {
    if version == FIRST_VERSION {
        SECOND_VERSION
    } else {
        FIRST_VERSION
    }
}

impl Soak {
    pub(super) fn begin_serving(&mut self, engine: usize) {
        let version = self.site.engines[engine].version();
        self.serving.insert(engine, (version, Instant::now()));
    }

    pub(super) fn end_serving(&mut self, engine: usize) {
        if let Some((version, since)) = self.serving.remove(&engine) {
            let span = (since, Instant::now());
            self.evidence.serving.push(ServingSpan { version, span });
        }
    }

    /// Returns the model engines that have not left.
    pub(super) fn active_engines(&self) -> Vec<usize> {
        (0..self.site.engines.len())
            .filter(|e| !self.announced.contains_key(e))
            .collect()
    }

    /// Picks an engine to remove; two always stay, so that requests can be served.
    pub(super) fn pick_removable_engine(&self, pick: usize) -> Option<usize> {
        let candidates = self.active_engines();
        (candidates.len() > 2).then(|| candidates[pick % candidates.len()])
    }

    /// Starts an engine of the same version in place of one that goes.
    pub(super) async fn replace_engine(&mut self, engine: usize) {
        let version = self.site.engines[engine].version();
        self.add_engine(&version).await;
    }

    pub(super) async fn add_engine(&mut self, version: &str) {
        let number = self.site.engines.len();
        if number < MAX_ENGINES {
            let last = u8::try_from(number).unwrap();
            self.site.start_engine(last).await;
            self.site.engines[number].set_version(version);
            self.set_framing(number);
            self.site.register(EngineKind::Model, number, "ready").await;
            self.begin_serving(number);
        }
    }

    pub(super) async fn kill_engine(&mut self, pick: usize) {
        if let Some(engine) = self.pick_removable_engine(pick) {
            self.announced.insert(engine, false);
            self.replace_engine(engine).await;
            self.end_engine(engine);
        }
    }

    /// Replaces an engine by one of the other version.
    pub(super) async fn release(&mut self, pick: usize) {
        let Some(engine) = self.pick_removable_engine(pick) else {
            return;
        };
        let version = other_version(&self.site.engines[engine].version());
        self.add_engine(version).await;
        let serves_on = DRAIN_TIMES[pick % DRAIN_TIMES.len()];
        self.start_leaving(engine, true, serves_on).await;
    }

    /// Restarts an engine under its id at the other version.
    pub(super) async fn change_version(&mut self, pick: usize, end: Instant) {
        let active_engines = self.active_engines();
        let engine = active_engines[pick % active_engines.len()];
        let version = other_version(&self.site.engines[engine].version());
        self.end_serving(engine);
        self.site.engines[engine].set_version(version);
        self.restart(engine, false, end).await;
    }

    pub(super) async fn restart(&mut self, engine: usize, silent: bool, end: Instant) {
        if silent {
            self.excuse_failures(end - Instant::now());
            self.disturb(EngineKind::Model, engine, end);
            self.set_harm(EngineKind::Model, engine, ProxyFault::BlockAll);
            let undo = Undo::UpstreamConnection(EngineKind::Model, engine);
            self.pending_undos.push((end, undo));
        }
        self.end_serving(engine);
        if !silent {
            self.reset_connections(engine);
        }
        self.site.engines[engine].restart().await.unwrap();
        self.set_framing(engine);
        if !silent {
            self.accept_connections(engine);
        }
        self.begin_serving(engine);
        let instance = self.site.engines[engine].instance();
        let now = Instant::now();
        // The incarnation that stated the rate limit has ended.
        for rate in &mut self.evidence.rates {
            if rate.instance == instance {
                rate.span.1 = rate.span.1.min(now);
            }
        }
        self.write_own_record(engine).await;
    }

    pub(super) async fn start_leaving(
        &mut self,
        engine: usize,
        announced: bool,
        serves_on: Duration,
    ) {
        self.announced.insert(engine, announced);
        self.end_serving(engine);
        if announced {
            let instance = self.site.engines[engine].instance();
            self.evidence.notices.insert(instance, Instant::now());
            self.site
                .register(EngineKind::Model, engine, "draining")
                .await;
        } else {
            let instance = self.site.engines[engine].instance();
            self.evidence
                .notices
                .insert(instance.clone(), Instant::now());
            self.site.store.remove("servers", &instance);
        }
        self.pending_undos
            .push((Instant::now() + serves_on, Undo::EndEngine(engine)));
    }

    pub(super) fn end_engine(&mut self, engine: usize) {
        self.end_serving(engine);
        self.reset_connections(engine);
        let engine = &self.site.engines[engine];
        engine.kill();
        self.site.store.remove("servers", &engine.instance());
    }

    /// Plans the restart of engines that a part of a prompt has crashed.
    pub(super) fn note_crashed(&mut self) {
        for engine in self.active_engines() {
            if self.site.engines[engine].has_crashed() && self.crashed.insert(engine) {
                self.end_serving(engine);
                let at = Instant::now() + REVIVE_DELAY;
                self.pending_undos.push((at, Undo::Revive(engine)));
            }
        }
    }

    pub(super) async fn revive(&mut self, engine: usize) {
        if self.crashed.remove(&engine) && !self.announced.contains_key(&engine) {
            self.restart(engine, false, Instant::now()).await;
        }
    }

    /// Returns whether an engine that has left still serves.
    pub(super) fn serves_on(&self, engine: usize) -> bool {
        let mut due = self.pending_undos.iter();
        due.any(|(_, undo)| matches!(undo, Undo::EndEngine(e) if *e == engine))
    }
}
