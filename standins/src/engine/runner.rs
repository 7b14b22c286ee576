//! The clock of an engine: steps at an absolute schedule.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, interval, sleep_until};

use super::state::State;
use crate::clock::wait_until;

/// How often idle streams are looked for, at most.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_millis(1);

/// How far the schedule may be behind before the rest is given up.
const MAX_SCHEDULE_LAG: Duration = Duration::from_millis(200);

/// How often idle streams are looked for, at least.
const MAX_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs steps until the engine crashes.
pub(super) async fn run(state: Arc<State>) {
    let mut due = Instant::now();
    loop {
        let Some(step) = state.begin_step() else {
            state.work_added.notified().await;
            due = Instant::now();
            continue;
        };
        due = due.max(earliest_due()) + step;
        wait_until(due).await;
        sleep_until(state.frozen_until()).await;
        if state.end_step() {
            return crash(&state);
        }
    }
}

/// Cancels and forgets streams that nobody reads, for ever.
pub(super) async fn sweep(state: Arc<State>) {
    let window = state.cfg.scaled(state.cfg.resume_window);
    let mut ticks = interval((window / 4).clamp(MIN_SWEEP_INTERVAL, MAX_SWEEP_INTERVAL));
    loop {
        ticks.tick().await;
        state.sweep();
    }
}

fn earliest_due() -> Instant {
    let now = Instant::now();
    now.checked_sub(MAX_SCHEDULE_LAG).unwrap_or(now)
}

fn crash(state: &State) {
    if state.cfg.crash_aborts {
        std::process::abort();
    }
    state.stop.stop();
}
