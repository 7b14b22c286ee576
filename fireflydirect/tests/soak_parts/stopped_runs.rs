//! Soaks of engines that leave while entries order them to stop runs: stopped streams end in any way, and orders are
//! answered in any.

use crate::soak_parts::callers::Callers;
use crate::soak_parts::faults::{DRAIN_TIMES, Soak};
use crate::soak_parts::plan::{Fault, Step, draw_answer_fault};
use crate::soak_parts::run::{Changes, UNCHANGED, env_or, run_plan_with};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standins::site::{Disturbance, EngineKind, ProxyFault, StopAnswer, StoppedEnd};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Seeds of the short run.
const DEFAULT_SEEDS: &str = "1,3";

/// Default length in seconds.
const DEFAULT_SECONDS: u64 = 5;

/// Concurrent callers, and initial engines: several runs are at each that leaves.
const CALLER_COUNT: usize = 24;
const INITIAL_ENGINES: u8 = 6;

/// One seed in so many has backups, beside which few runs are ordered to stop.
const SEEDS_WITH_BACKUPS: u64 = 4;

/// Longest delays, in milliseconds, of answers that entries wait for, and of those that may come too late.
const PROMPT_MS: u64 = 700;
const LATE_MS: u64 = 2_500;

/// Answers to orders that stop runs and say so.
const STOPPING_ANSWERS: [StopAnswer; 2] = [StopAnswer::Copied, StopAnswer::Kept];

/// Answers to orders that let runs go on and say so.
const REFUSALS: [StopAnswer; 3] = [
    StopAnswer::Busy,
    StopAnswer::NotExecuted,
    StopAnswer::TooMany,
];

/// Answers to orders that don't say whether runs were stopped, or don't say how to go on.
const OTHER_ANSWERS: [StopAnswer; 6] = [
    StopAnswer::KeptUnnamed,
    StopAnswer::KeptUnusable,
    StopAnswer::KeptThenLost,
    StopAnswer::Lost,
    StopAnswer::AllLost,
    StopAnswer::CarriedOutLate,
];

/// Ways in which a stopped stream ends.
const STOPPED_ENDS: [StoppedEnd; 8] = [
    StoppedEnd::Close,
    StoppedEnd::Reset,
    StoppedEnd::LastChunk,
    StoppedEnd::LastChunkAndClose,
    StoppedEnd::Trailers,
    StoppedEnd::WithinSize,
    StoppedEnd::WithinChunk,
    StoppedEnd::WithinLastChunk,
];

/// How an engine that leaves answers orders to stop runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Orders {
    /// In time, with refusals.
    Refused,
    /// In time, and with what became of the run.
    Settled,
    /// In any way.
    Unsettled,
}

impl Orders {
    /// Draws an answer and its delay.
    fn draw(self, rng: &mut impl Rng) -> (StopAnswer, Duration) {
        let (stopping, others): (&[_], &[_]) = match self {
            Self::Refused => (&[], &[]),
            Self::Settled => (&STOPPING_ANSWERS, &[]),
            Self::Unsettled => (&STOPPING_ANSWERS, &OTHER_ANSWERS),
        };
        let answers: Vec<StopAnswer> = [stopping, &REFUSALS, others].concat();
        let longest = match rng.random_range(0..6) {
            0..2 => 0,
            2..4 => PROMPT_MS / 10,
            4 => PROMPT_MS,
            _ if self == Self::Unsettled => LATE_MS,
            _ => PROMPT_MS / 3,
        };
        let delay = Duration::from_millis(rng.random_range(0..=longest));
        (answers[rng.random_range(0..answers.len())], delay)
    }
}

/// Engines of a soak whose runs are stopped.
#[derive(Debug, Default)]
pub(crate) struct StoppedRuns {
    /// Whether every second engine ends its answers with their connections.
    pub(super) until_close: bool,
    /// Engines that leave, each with how it answers orders.
    leaving: HashMap<usize, (Orders, ChaCha8Rng)>,
}

impl Soak {
    /// Makes every second engine end its answers with their connections, if runs are to be stopped.
    pub(crate) fn begin_stops(&mut self, stops_runs: bool) {
        self.stopped_runs.until_close = stops_runs;
        for engine in 0..self.site.engines.len() {
            self.set_framing(engine);
        }
    }

    /// Makes an engine leave that answers orders and ends stopped streams in a given way.
    pub(super) async fn leave_with_stops(&mut self, step: &Step, end: StoppedEnd, orders: Orders) {
        let Some(engine) = self.pick_removable_engine(step.pick) else {
            return;
        };
        let serves_on = match orders {
            // Long enough for its streams to end by themselves.
            Orders::Refused => DRAIN_TIMES[1],
            Orders::Settled | Orders::Unsettled => DRAIN_TIMES[step.pick % DRAIN_TIMES.len()],
        };
        let upstream = &self.site.engines[engine];
        upstream.moves().end_stopped(end);
        if !step.pick.is_multiple_of(3) {
            upstream.report_leaving(u32::try_from(step.span.as_millis()).unwrap());
        }
        if orders == Orders::Unsettled {
            self.disturb(EngineKind::Model, engine, Instant::now() + serves_on);
        }
        let rng = ChaCha8Rng::seed_from_u64(step.pick.try_into().unwrap());
        self.stopped_runs.leaving.insert(engine, (orders, rng));
        let announced = !step.pick.is_multiple_of(5);
        self.start_leaving(engine, announced, serves_on).await;
        self.replace_engine(engine).await;
    }

    /// Draws how engines that leave answer their next orders.
    pub(super) fn draw_stop_answers(&mut self) {
        for (engine, (orders, rng)) in &mut self.stopped_runs.leaving {
            let (answer, delay) = orders.draw(rng);
            let moves = self.site.engines[*engine].moves();
            moves.answer_stops(answer, delay);
        }
    }

    /// Records that answers of an upstream may be lost or late until some time.
    pub(super) fn disturb(&mut self, kind: EngineKind, number: usize, until: Instant) {
        let instance = self.upstream(kind, number).instance();
        let span = (Instant::now(), until);
        let disturbance = Disturbance { instance, span };
        self.evidence.disturbances.push(disturbance);
    }

    /// Sets how an engine that has started ends its answers.
    pub(super) fn set_framing(&self, engine: usize) {
        if self.stopped_runs.until_close && !engine.is_multiple_of(2) {
            self.site.engines[engine].end_answers_with_connection();
        }
    }

    /// Resets the connections of an engine that ends, where a close would look like the end of an answer.
    pub(super) fn reset_connections(&mut self, engine: usize) {
        self.disturb(EngineKind::Model, engine, Instant::now());
        if self.stopped_runs.until_close {
            self.set_harm(EngineKind::Model, engine, ProxyFault::Reset);
        }
    }

    /// Accepts connections to an engine again.
    pub(super) fn accept_connections(&mut self, engine: usize) {
        if self.stopped_runs.until_close {
            self.set_harm(EngineKind::Model, engine, ProxyFault::None);
        }
    }
}

/// Returns engines that leave in series while their runs are stopped, beside other faults, few of which excuse anything.
fn plan(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(20));
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length {
        let orders = match rng.random_range(0..3) {
            0 => Orders::Refused,
            1 => Orders::Settled,
            _ => Orders::Unsettled,
        };
        let end = STOPPED_ENDS[rng.random_range(0..STOPPED_ENDS.len())];
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(200..1_700)),
            fault: Fault::StopRuns { end, orders },
            pick: rng.random_range(0..1_000),
        });
        at += Duration::from_millis(rng.random_range(50..700));
    }
    let mut at = Duration::from_millis(900);
    while at < length {
        let delay = Duration::from_millis(rng.random_range(5..100));
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(200..1_200)),
            fault: match rng.random_range(0..12) {
                0 => Fault::KillEngine,
                1 => Fault::RestartEngine { silent: false },
                2 => Fault::UpstreamConnection(ProxyFault::Reset),
                3 => Fault::UpstreamConnection(ProxyFault::Delay(delay)),
                4 | 5 => Fault::Answers(draw_answer_fault(&mut rng)),
                6 => Fault::StopEntry,
                7 => Fault::KillEntry,
                8 => Fault::PauseEntry,
                9 => Fault::Reload,
                10 => Fault::Publish,
                _ => Fault::Compact,
            },
            pick: rng.random_range(0..1_000),
        });
        at += Duration::from_millis(rng.random_range(300..2_000));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Engines leave in series, stopped streams look whole or broken, and orders are answered in any way, beside other
/// faults.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_runs_among_faults_keep_the_promises() {
    let seeds: String = env_or("FIREFLY_SOAK_STOP_SEEDS", DEFAULT_SEEDS.to_owned());
    let seconds = Duration::from_secs(env_or("FIREFLY_SOAK_SECONDS", DEFAULT_SECONDS));
    let mut stopped = 0;
    for seed in seeds.split(',').filter_map(|s| s.trim().parse().ok()) {
        let has_backups = u64::is_multiple_of(seed, SEEDS_WITH_BACKUPS);
        let changes = Changes {
            without: if has_backups { "" } else { "copies" },
            callers: Callers::streaming_long,
            caller_count: CALLER_COUNT,
            engines: INITIAL_ENGINES,
            stops_runs: true,
            ..UNCHANGED
        };
        let name = format!("stopped runs, seed {seed}");
        let outcomes = run_plan_with(changes, &name, &plan(seed, seconds), seconds).await;
        stopped += outcomes.stopped;
    }
    assert!(stopped > 0, "no run was stopped");
}
