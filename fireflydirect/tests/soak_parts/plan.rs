//! What goes wrong in a soak, and when: all of it follows from the seed.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standins::site::{AnswerFault, ProxyFault};
use std::time::Duration;

/// One thing that goes wrong, or is done to the site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A model engine dies; another takes its place.
    KillEngine,
    /// A model engine leaves, with or without announcing it; another comes.
    LeaveEngine {
        /// Whether it announces it.
        announced: bool,
    },
    /// An upstream spoils its answers.
    Answers(AnswerFault),
    /// A model engine starts again under its id, at once or in silence.
    RestartEngine {
        /// Whether its connections fall silent before, and stay so for a while.
        silent: bool,
    },
    /// A stranger overwrites the record of a model engine.
    OverwriteRecord,
    /// The store hangs on some calls and answers the others.
    HangCalls,
    /// The answers of the store come late.
    LateStore,
    /// Reads of the store lie behind, and then its history is gone.
    StaleStore,
    /// The connections to an upstream are harmed.
    UpstreamHarm(ProxyFault),
    /// The connections to the store are harmed.
    StoreHarm(ProxyFault),
    /// The store drops its history.
    Compact,
    /// The store comes back from a copy that was made when this began; upstreams and the operator
    /// write again a moment later.
    Drill,
    /// The store turns one entry away.
    DenyEntry,
    /// An entry stands still.
    PauseEntry,
    /// An entry is killed and started again.
    KillEntry,
    /// An entry is stopped as planned and started again.
    StopEntry,
    /// An entry reads its settings again.
    Reload,
    /// The operator publishes the next version.
    Publish,
    /// An upstream names a rate in its answers.
    NameRate,
    /// The answers of a model engine say that it leaves; the store hears of it later.
    SayLeaving,
    /// A plain upstream turns requests away and asks for a pause.
    AskPause,
}

/// A fault with its moment and length; `pick` chooses whom it meets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    /// Time from the start.
    pub(crate) at: Duration,
    /// How long it lasts, where it lasts.
    pub(crate) span: Duration,
    /// What happens.
    pub(crate) fault: Fault,
    /// Chooses among those whom it may meet.
    pub(crate) pick: usize,
}

/// The faults of a soak of that length, in order; the same seed gives the same ones.
pub(crate) fn plan(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length {
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(200..2_500)),
            fault: draw(&mut rng),
            pick: rng.random_range(0..1_000),
        });
        // Some come together, some one after another.
        at += Duration::from_millis(rng.random_range(0..900));
    }
    steps
}

/// The same with drills of the store among the faults, some of them one right after the other.
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

/// The same with upstreams that say in their answers what they want of requests to come.
pub(crate) fn plan_with_conditions(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let mut steps = plan(seed, length);
    let mut at = Duration::from_millis(400);
    while at < length {
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(500..2_500)),
            fault: match rng.random_range(0..4) {
                0 | 1 => Fault::NameRate,
                2 => Fault::SayLeaving,
                _ => Fault::AskPause,
            },
            pick: rng.random_range(0..1_000),
        });
        at += Duration::from_millis(rng.random_range(300..1_500));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

fn draw(rng: &mut impl Rng) -> Fault {
    match rng.random_range(0..22) {
        0 => Fault::KillEngine,
        1 | 2 => Fault::LeaveEngine { announced: true },
        3 => Fault::LeaveEngine { announced: false },
        4 | 5 => Fault::Answers(draw_answers(rng)),
        6 | 7 => Fault::UpstreamHarm(draw_harm(rng)),
        8 => Fault::StoreHarm(draw_harm(rng)),
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

fn draw_answers(rng: &mut impl Rng) -> AnswerFault {
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

fn draw_harm(rng: &mut impl Rng) -> ProxyFault {
    match rng.random_range(0..4) {
        0 => ProxyFault::Delay(Duration::from_millis(rng.random_range(5..200))),
        1 => ProxyFault::BlockAnswers,
        2 => ProxyFault::BlockAll,
        _ => ProxyFault::Reset,
    }
}
