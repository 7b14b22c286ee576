//! Sleeping more precisely than the timer of the runtime, which counts milliseconds.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// How late the timer of the runtime may be.
const TIMER_SLACK: Duration = Duration::from_millis(2);

/// Shortest sleep that is worth a thread switch.
const MIN_SLEEP: Duration = Duration::from_micros(100);

/// Waits until `due`, to about a tenth of a millisecond.
///
/// The end of the wait is slept on a thread of the blocking pool. What is due
/// already, or almost, only lets other tasks run.
pub(crate) async fn wait_until(due: Instant) {
    let timer_due = due.checked_sub(TIMER_SLACK).unwrap_or(due);
    if timer_due > Instant::now() {
        sleep_until(timer_due).await;
    }
    let remaining = due.saturating_duration_since(Instant::now());
    if remaining < MIN_SLEEP {
        return tokio::task::yield_now().await;
    }
    let sleeper = tokio::task::spawn_blocking(move || std::thread::sleep(remaining));
    if let Err(err) = sleeper.await {
        log::error!("event=sleep-failed error={err}");
    }
}
