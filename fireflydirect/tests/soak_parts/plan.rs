//! Fault plan of a soak, determined by the seed.

use crate::soak_parts::stopped_runs::Orders;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standins::site::{AnswerFault, Loss, ProxyFault, StoppedEnd};
use std::time::Duration;

/// A fault or an operation on the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A model engine is killed and replaced.
    KillEngine,
    /// A model engine leaves, with or without a leave notice, and is replaced.
    LeaveEngine {
        /// Whether it sends a leave notice.
        announced: bool,
    },
    /// An upstream answers with a fault.
    Answers(AnswerFault),
    /// A model engine restarts under its id, at once or silently.
    RestartEngine {
        /// Whether its connections are silent before the restart and for a while after it.
        silent: bool,
    },
    /// A foreign record overwrites that of a model engine.
    OverwriteRecord,
    /// The store hangs on some calls and answers the others.
    HangCalls,
    /// The store answers late.
    LateStore,
    /// The store serves stale reads, then drops its history.
    StaleStore,
    /// A fault on the connections to an upstream.
    UpstreamConnection(ProxyFault),
    /// A fault on the connections to the store.
    StoreConnection(ProxyFault),
    /// The store drops its history.
    Compact,
    /// The store is restored from a snapshot made at the fault's start; upstreams and the operator
    /// rewrite their records shortly after.
    Drill,
    /// The store denies calls of entries.
    DenyEntry,
    /// An entry is suspended.
    PauseEntry,
    /// An entry is killed and restarted.
    KillEntry,
    /// All entries are killed at once and restarted; meanwhile the timeout of streams changes, and one software
    /// version may take over.
    KillEntries,
    /// An entry is stopped gracefully and restarted.
    StopEntry,
    /// An entry reloads its settings.
    Reload,
    /// The operator publishes the next configuration version.
    Publish,
    /// An upstream states a rate limit in its responses.
    StateRateLimit,
    /// Responses of a model engine carry leave notices; the store shows it later.
    SendLeaveNotice,
    /// A plain upstream rejects requests with a pause.
    RequestPause,
    /// A model engine leaves, replaced by one of the other software version.
    Release,
    /// A model engine restarts under its id at the other software version.
    ChangeVersion,
    /// The store falls silent, and a model engine leaves meanwhile, told by its report alone.
    LeaveUnheard,
    /// A model engine leaves, with or without a leave notice, and is replaced; its runs are stopped.
    StopRuns {
        /// How the streams of stopped runs end.
        end: StoppedEnd,
        /// How it answers orders to stop.
        orders: Orders,
    },
}

/// A fault with its time, duration and target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    /// Time from the start.
    pub(crate) at: Duration,
    /// Duration, for faults that last.
    pub(crate) span: Duration,
    /// The fault.
    pub(crate) fault: Fault,
    /// Number that selects the target among the candidates.
    pub(crate) pick: usize,
}

/// Returns the faults of a soak of `length`, in order; determined by the seed.
pub(crate) fn plan(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length {
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(200..2_500)),
            fault: draw_fault(&mut rng),
            pick: rng.random_range(0..1_000),
        });
        // Some faults overlap, others follow each other.
        at += Duration::from_millis(rng.random_range(0..900));
    }
    steps
}

/// Adds restore drills of the store to the plan, some of them in quick succession.
pub(crate) fn plan_with_drills(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let mut steps = plan(seed, length);
    let mut at = Duration::from_millis(600);
    while at < length {
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(300..1_800)),
            fault: Fault::Drill,
            pick: 0,
        });
        at += Duration::from_millis(rng.random_range(700..2_500));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Adds rate limits, leave notices and pauses of upstreams to the plan.
pub(crate) fn plan_with_conditions(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let mut steps = plan(seed, length);
    let mut at = Duration::from_millis(400);
    while at < length {
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(500..2_500)),
            fault: match rng.random_range(0..4) {
                0 | 1 => Fault::StateRateLimit,
                2 => Fault::SendLeaveNotice,
                _ => Fault::RequestPause,
            },
            pick: rng.random_range(0..1_000),
        });
        at += Duration::from_millis(rng.random_range(300..1_500));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Adds engines that leave while the store is silent to the plan.
pub(crate) fn plan_with_unheard_departures(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    let mut steps = plan(seed, length);
    let mut at = Duration::from_millis(400);
    while at < length {
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(2_000..4_000)),
            fault: Fault::LeaveUnheard,
            pick: rng.random_range(0..1_000),
        });
        at += Duration::from_millis(rng.random_range(800..2_500));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Adds engines that are replaced by another software version to the plan, and crashes of entries, alone and all at
/// once, and of engines.
pub(crate) fn plan_with_versions(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(48));
    let mut steps = plan(seed, length);
    let mut at = Duration::from_millis(400);
    while at < length {
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(200..1_500)),
            fault: match rng.random_range(0..6) {
                0 | 1 => Fault::Release,
                2 => Fault::ChangeVersion,
                3 => Fault::KillEngine,
                4 => Fault::KillEntry,
                _ => Fault::UpstreamConnection(ProxyFault::Reset),
            },
            pick: rng.random_range(0..1_000),
        });
        at += Duration::from_millis(rng.random_range(200..1_000));
    }
    let mut at = Duration::from_millis(rng.random_range(600..2_000));
    while at < length {
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(20..300)),
            fault: Fault::KillEntries,
            pick: rng.random_range(0..1_000),
        });
        at += Duration::from_millis(rng.random_range(4_000..8_000));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Returns faults beside which requests crash engines: few of them excuse what reaches engines.
pub(crate) fn plan_beside_crashes(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(8));
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(400);
    while at < length {
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(200..1_500)),
            fault: match rng.random_range(0..16) {
                0..4 => Fault::KillEngine,
                4..6 => Fault::LeaveEngine { announced: true },
                6..8 => Fault::RestartEngine { silent: false },
                8..10 => Fault::StopEntry,
                10 => Fault::KillEntry,
                11 => Fault::PauseEntry,
                12 => Fault::Reload,
                13 => Fault::Publish,
                14 => Fault::Compact,
                _ => Fault::Answers(draw_answer_fault(&mut rng)),
            },
            pick: rng.random_range(0..1_000),
        });
        at += Duration::from_millis(rng.random_range(200..1_500));
    }
    steps
}

/// Adds engines whose answers are lost while their runs go on to few other faults.
pub(crate) fn plan_with_lost_answers(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(56));
    let mut steps = plan_beside_crashes(seed, length);
    let mut at = Duration::from_millis(500);
    while at < length {
        let how = if rng.random() {
            Loss::Reset
        } else {
            Loss::Close
        };
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(300..1_500)),
            fault: Fault::Answers(AnswerFault::LoseRest(rng.random_range(0..8), how)),
            // An odd number picks a model engine.
            pick: rng.random_range(0..500) * 2 + 1,
        });
        at += Duration::from_millis(rng.random_range(100..900));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Returns planned work alone, most of it stops of entries: it may cut no answer.
pub(crate) fn plan_of_planned_work(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(40));
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(600);
    while at < length {
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(200..1_500)),
            fault: match rng.random_range(0..6) {
                0..3 => Fault::StopEntry,
                3 => Fault::Reload,
                4 => Fault::Publish,
                _ => Fault::LeaveEngine { announced: true },
            },
            pick: rng.random_range(0..1_000),
        });
        at += Duration::from_millis(rng.random_range(100..1_800));
    }
    steps
}

fn draw_fault(rng: &mut impl Rng) -> Fault {
    match rng.random_range(0..22) {
        0 => Fault::KillEngine,
        1 | 2 => Fault::LeaveEngine { announced: true },
        3 => Fault::LeaveEngine { announced: false },
        4 | 5 => Fault::Answers(draw_answer_fault(rng)),
        6 | 7 => Fault::UpstreamConnection(draw_connection_fault(rng)),
        8 => Fault::StoreConnection(draw_connection_fault(rng)),
        9 => Fault::Compact,
        10 => Fault::DenyEntry,
        11 => Fault::PauseEntry,
        12 => Fault::KillEntry,
        13 => Fault::StopEntry,
        14 => Fault::Reload,
        15 => Fault::RestartEngine { silent: false },
        16 => Fault::RestartEngine { silent: true },
        17 => Fault::OverwriteRecord,
        18 => Fault::HangCalls,
        19 => Fault::LateStore,
        20 => Fault::StaleStore,
        _ => Fault::Publish,
    }
}

pub(super) fn draw_answer_fault(rng: &mut impl Rng) -> AnswerFault {
    match rng.random_range(0..7) {
        0 => AnswerFault::Reject,
        1 => AnswerFault::Error,
        2 => AnswerFault::DropAnswer,
        3 => AnswerFault::Truncate,
        4 => AnswerFault::Duplicate,
        5 => AnswerFault::Slow,
        _ => AnswerFault::Hang,
    }
}

fn draw_connection_fault(rng: &mut impl Rng) -> ProxyFault {
    match rng.random_range(0..4) {
        0 => ProxyFault::Delay(Duration::from_millis(rng.random_range(5..200))),
        1 => ProxyFault::BlockAnswers,
        2 => ProxyFault::BlockAll,
        _ => ProxyFault::Reset,
    }
}
