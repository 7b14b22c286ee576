//! Injects and undoes a soak's faults, and records the evidence for the checker.

use crate::soak_parts::configurations::Asked;
use crate::soak_parts::plan::{Fault, Step};
use crate::soak_parts::stopped_runs::StoppedRuns;
use crate::support::Site;
use standins::site::{AnswerFault, EngineKind, Evidence, ProxyFault, Snapshot, StoreMode};
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Times from the leave notice to the end of an upstream: a short one, and one long enough to show
/// work that arrives too late.
pub(super) const DRAIN_TIMES: [Duration; 2] =
    [Duration::from_millis(1_700), Duration::from_secs(6)];

/// Time after a pause or a cut in which an entry may lack knowledge or not act yet: its own timeouts
/// and the users' window in which it counts as disconnected.
const EXCUSE_MARGIN: Duration = Duration::from_secs(5);

/// Calls on which the store hangs per fault.
const HANGING_CALLS: u32 = 4;

/// Delay of late store answers: slow, but within the entries' timeouts.
const STORE_DELAY: Duration = Duration::from_millis(250);

/// Time added to the duration of a foreign record: longer than the checker allows new work after
/// it.
const OVERWRITE_EXTENSION: Duration = Duration::from_secs(4);

/// Time after a restore drill in which upstreams and the operator rewrite their records.
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);

/// A site, its pending faults and the evidence collected.
pub(crate) struct Soak {
    pub(crate) site: Site,
    pub(crate) start: Instant,
    pub(crate) evidence: Evidence,
    /// Faults to undo, with their times.
    pub(super) pending_undos: Vec<(Instant, Undo)>,
    pub(super) announced: HashMap<usize, bool>,
    /// Store snapshots still to be restored, by number.
    copies: HashMap<usize, Snapshot>,
    /// Service named in foreign records. Entries that know an upstream detect a change to another
    /// existing service; restarted entries can't, and foreign records of the platform name one that
    /// doesn't exist.
    pub(super) foreign_service: &'static str,
    /// Requests on routes that configurations added.
    pub(crate) asked: Asked,
    /// Engines that a part of a prompt has crashed and that start again.
    pub(super) crashed: HashSet<usize>,
    /// Version and start of the engines that serve, by number.
    pub(super) serving: HashMap<usize, (String, Instant)>,
    /// Engines whose runs are stopped.
    pub(super) stopped_runs: StoppedRuns,
}

/// Action that ends a fault.
#[derive(Clone, Copy, Debug)]
pub(super) enum Undo {
    EndEngine(usize),
    Answers(EngineKind, usize),
    UpstreamConnection(EngineKind, usize),
    Store,
    Resume(usize),
    StartEntry(usize),
    OwnRecord(usize),
    /// An upstream lifts its rate limit.
    Rate(EngineKind, usize),
    /// The store gets the leave notice of a model engine, which ends later.
    ListLeaving(usize),
    /// A plain upstream accepts requests again.
    Pause(usize),
    /// The store is restored from the snapshot of that number.
    Drill(usize),
    RewriteRecords,
    /// Entries are asked on the route of that number.
    AskOnRoute(usize),
    /// An engine that a part of a prompt has crashed starts again.
    Revive(usize),
}

impl Soak {
    /// Creates a soak without faults; foreign records name `foreign_service`.
    pub(crate) fn new(site: Site, foreign_service: &'static str) -> Self {
        let mut soak = Self {
            site,
            start: Instant::now(),
            evidence: Evidence::default(),
            pending_undos: Vec::new(),
            announced: HashMap::new(),
            copies: HashMap::new(),
            foreign_service,
            asked: Asked::default(),
            crashed: HashSet::new(),
            serving: HashMap::new(),
            stopped_runs: StoppedRuns::default(),
        };
        for engine in 0..soak.site.engines.len() {
            soak.begin_serving(engine);
        }
        soak
    }

    /// Picks an engine whose record may be overwritten; one engine always keeps its own record.
    fn pick_engine_with_own_record(&self, pick: usize) -> Option<usize> {
        let now = Instant::now();
        let is_overwritten = |engine: &usize| {
            let instance = self.site.engines[*engine].instance();
            let mut spans = self.evidence.overwritten.iter();
            spans.any(|(of, _, to)| *of == instance && now < *to)
        };
        let mut candidates = self.active_engines();
        candidates.retain(|e| !is_overwritten(e));
        (candidates.len() > 1).then(|| candidates[pick % candidates.len()])
    }

    pub(super) fn pick_upstream(&self, pick: usize) -> (EngineKind, usize) {
        if pick.is_multiple_of(2) {
            (EngineKind::Plain, pick / 2 % self.site.plains.len())
        } else {
            (EngineKind::Model, pick / 2 % self.site.engines.len())
        }
    }

    pub(super) fn excuse_failures(&mut self, span: Duration) {
        let now = Instant::now();
        self.evidence
            .excused
            .push((now, now + span + EXCUSE_MARGIN));
    }

    async fn apply(&mut self, step: &Step) {
        let end = Instant::now() + step.span;
        match step.fault {
            Fault::KillEngine => self.kill_engine(step.pick).await,
            Fault::LeaveEngine { announced } => {
                if let Some(engine) = self.pick_removable_engine(step.pick) {
                    let serves_on = DRAIN_TIMES[step.pick % DRAIN_TIMES.len()];
                    self.start_leaving(engine, announced, serves_on).await;
                    self.replace_engine(engine).await;
                }
            }
            Fault::Release => self.release(step.pick).await,
            Fault::ChangeVersion => self.change_version(step.pick, end).await,
            Fault::RestartEngine { silent } => {
                let active_engines = self.active_engines();
                let engine = active_engines[step.pick % active_engines.len()];
                if step.pick.is_multiple_of(3) {
                    self.site.engines[engine].set_clock_back();
                }
                self.restart(engine, silent, end).await;
            }
            Fault::OverwriteRecord => {
                if let Some(engine) = self.pick_engine_with_own_record(step.pick) {
                    self.overwrite_record(engine, step.pick, end + OVERWRITE_EXTENSION);
                }
            }
            Fault::HangCalls => {
                self.excuse_failures(step.span);
                self.site.store.set_mode(StoreMode::HangNext(HANGING_CALLS));
                self.pending_undos.push((end, Undo::Store));
            }
            Fault::LateStore => {
                self.excuse_failures(step.span);
                self.site.store.set_mode(StoreMode::Delay(STORE_DELAY));
                self.pending_undos.push((end, Undo::Store));
            }
            Fault::StaleStore => {
                self.excuse_failures(step.span);
                self.site.store.set_mode(StoreMode::Stale);
                self.pending_undos.push((end, Undo::Store));
            }
            Fault::Answers(fault) => {
                let (kind, number) = self.pick_upstream(step.pick);
                if kind == EngineKind::Model {
                    self.end_serving(number);
                }
                self.disturb(kind, number, end);
                self.upstream(kind, number).set_fault(fault);
                self.pending_undos.push((end, Undo::Answers(kind, number)));
            }
            Fault::UpstreamConnection(harm) => {
                let (kind, number) = self.pick_upstream(step.pick);
                self.disturb(kind, number, end);
                self.set_harm(kind, number, harm);
                // A cut upstream can't detect that its caller has disconnected.
                self.excuse_failures(step.span);
                self.pending_undos
                    .push((end, Undo::UpstreamConnection(kind, number)));
            }
            Fault::StoreConnection(harm) => {
                self.excuse_failures(step.span);
                self.site.store_proxy.as_ref().unwrap().set_fault(harm);
                self.pending_undos.push((end, Undo::Store));
            }
            Fault::Compact => self.site.store.compact(),
            Fault::Drill => self.begin_drill(step.span),
            Fault::DenyEntry => {
                self.excuse_failures(step.span);
                // Behind the proxy all entries have one address, so the store denies all of them.
                let proxy = IpAddr::V4(self.site.entries[0].ip);
                self.site
                    .store
                    .set_mode(StoreMode::Deny(vec![proxy, self.site.store.addr().ip()]));
                self.pending_undos.push((end, Undo::Store));
            }
            Fault::PauseEntry => self.pause_entry(step),
            Fault::KillEntry => self.kill_entry(step),
            Fault::KillEntries => self.kill_entries(step).await,
            Fault::StopEntry => self.stop_entry(step),
            Fault::Reload => {
                let entry = step.pick % self.site.entries.len();
                if self.site.entries[entry].is_running() {
                    self.site.entries[entry].signal("HUP");
                }
            }
            Fault::Publish => self.publish_among_strangers(&[]),
            Fault::StateRateLimit => self.state_rate_limit(step.pick, end),
            Fault::SendLeaveNotice => self.send_leave_notice(step.pick, end).await,
            Fault::LeaveUnheard => self.leave_unheard(step.pick, step.span).await,
            Fault::StopRuns { end, orders } => self.leave_with_stops(step, end, orders).await,
            Fault::RequestPause => self.request_pause(step.pick % 2, end),
        }
    }

    fn begin_drill(&mut self, span: Duration) {
        self.excuse_failures(span + REWRITE_DELAY);
        let number = self.copies.len();
        self.copies.insert(number, self.site.store.snapshot());
        self.pending_undos
            .push((Instant::now() + span, Undo::Drill(number)));
    }

    pub(super) fn upstream(&self, kind: EngineKind, number: usize) -> &standins::site::Engine {
        match kind {
            EngineKind::Model => &self.site.engines[number],
            EngineKind::Plain => &self.site.plains[number],
        }
    }

    pub(super) fn set_harm(&self, kind: EngineKind, number: usize, harm: ProxyFault) {
        let instance = self.upstream(kind, number).instance();
        // Engines at their own addresses have no proxy.
        if let Some(proxy) = self.site.proxies.get(&instance) {
            proxy.set_fault(harm);
        }
    }

    async fn undo(&mut self, undo: Undo) {
        match undo {
            // An engine that has left meanwhile writes nothing.
            Undo::OwnRecord(engine) if self.announced.contains_key(&engine) => {}
            Undo::OwnRecord(engine) => self.write_own_record(engine).await,
            Undo::Drill(number) => {
                self.site.store.restore(self.copies[&number].clone());
                let rewrite_at = Instant::now() + REWRITE_DELAY;
                self.pending_undos.push((rewrite_at, Undo::RewriteRecords));
            }
            Undo::RewriteRecords => self.rewrite_records().await,
            Undo::AskOnRoute(number) => self.ask_on_route(number).await,
            Undo::EndEngine(engine) => self.end_engine(engine),
            Undo::Revive(engine) => self.revive(engine).await,
            Undo::Rate(kind, number) => self.lift_rate_limit(kind, number),
            Undo::ListLeaving(engine) => self.list_leaving(engine).await,
            Undo::Pause(plain) => self.end_pause(plain),
            Undo::Answers(kind, number) => self.upstream(kind, number).set_fault(AnswerFault::None),
            Undo::UpstreamConnection(kind, number) => self.set_harm(kind, number, ProxyFault::None),
            Undo::Store => {
                self.site
                    .store_proxy
                    .as_ref()
                    .unwrap()
                    .set_fault(ProxyFault::None);
                self.site.store.set_mode(StoreMode::Up);
            }
            Undo::Resume(entry) => {
                if self.site.entries[entry].is_running() {
                    self.site.entries[entry].signal("CONT");
                }
            }
            Undo::StartEntry(entry) => {
                if !self.site.entries[entry].is_running() {
                    self.evidence.restarts.push((entry, Instant::now()));
                    self.site.entries[entry].start();
                }
            }
        }
    }

    async fn undo_due(&mut self, all: bool) {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.pending_undos)
            .into_iter()
            .partition(|(at, _)| all || *at <= now);
        self.pending_undos = later;
        let due: Vec<(Instant, Undo)> = due;
        for (_, undo) in due {
            self.undo(undo).await;
        }
    }

    /// Applies the steps, undoes each at its time, and undoes the rest at the end.
    pub(crate) async fn run(&mut self, steps: &[Step], length: Duration) {
        let mut steps = steps.iter().peekable();
        while self.start.elapsed() < length {
            self.undo_due(false).await;
            self.note_crashed();
            self.draw_stop_answers();
            while let Some(step) = steps.next_if(|s| s.at <= self.start.elapsed()) {
                self.apply(step).await;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        self.undo_due(true).await;
        for engine in 0..self.site.engines.len() {
            self.end_serving(engine);
        }
    }

    /// Checks that after all faults every entry serves with the newest configuration.
    pub(crate) async fn recover(&mut self) {
        for entry in 0..self.site.entries.len() {
            self.site.entries[entry].restart_if_ended();
        }
        self.publish_among_strangers(&[("last", "/last/")]);
        for entry in 0..self.site.entries.len() {
            let start = Instant::now();
            while !self.serves_new_route(entry).await {
                self.site.entries[entry].restart_if_ended();
                assert!(
                    start.elapsed() < Duration::from_secs(30),
                    "entry {entry} doesn't serve"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    async fn serves_new_route(&self, entry: usize) -> bool {
        let call = self
            .site
            .call(entry, "GET", "/last/a", &format!("last{}", self.site.id()));
        let answer = call.timeout(Duration::from_secs(2)).send().await;
        answer.is_ok_and(|a| a.status() == 200)
    }
}
