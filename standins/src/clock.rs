//! Sleeping more precisely than the millisecond timer of the Tokio runtime.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Maximum delay of the runtime's timer.
const TIMER_SLACK: Duration = Duration::from_millis(2);

/// Shortest sleep worth a thread switch.
const MIN_SLEEP: Duration = Duration::from_micros(100);

/// Waits until `due`, accurate to about 0.1 ms.
///
/// The last part of the wait is a sleep on a thread of the blocking pool. If less
/// than [`MIN_SLEEP`] remains, yields to other tasks instead.
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
