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
    let early = due.checked_sub(TIMER_SLACK).unwrap_or(due);
    if early > Instant::now() {
        sleep_until(early).await;
    }
    let rest = due.saturating_duration_since(Instant::now());
    if rest < MIN_SLEEP {
        return tokio::task::yield_now().await;
    }
    let slept = tokio::task::spawn_blocking(move || std::thread::sleep(rest));
    if let Err(err) = slept.await {
        log::error!("event=sleep-failed error={err}");
    }
}
