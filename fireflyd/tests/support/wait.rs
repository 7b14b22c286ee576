//! Waiting for events instead of fixed times.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

/// Maximum wait for an expected event.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls until `check` returns true; fails the test after [`WAIT_TIMEOUT`].
pub async fn until<F>(awaited: &str, mut check: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let start = Instant::now();
    while !check().await {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for: {awaited}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits for a future that must complete within `limit`.
pub async fn within<T>(limit: Duration, awaited: &str, wait: impl Future<Output = T>) -> T {
    let done = timeout(limit, wait).await;
    done.unwrap_or_else(|_| panic!("not within {limit:?}: {awaited}"))
}
