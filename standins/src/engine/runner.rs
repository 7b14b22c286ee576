//! Running the steps of an engine on an absolute schedule.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, interval, sleep_until};

use super::state::State;
use crate::clock::wait_until;

/// Minimum interval between sweeps of idle streams.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_millis(1);

/// Maximum lag of the schedule; any further lag is skipped.
const MAX_SCHEDULE_LAG: Duration = Duration::from_millis(200);

/// Maximum interval between sweeps of idle streams.
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

/// Cancels or drops idle streams periodically, without end.
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
