//! Waiting for events, never for a guessed time.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

/// Longest wait for anything that must come.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Looks until `check` holds; fails the test after [`PATIENCE`].
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

/// Waits for something that must come in that time.
pub async fn within<T>(limit: Duration, awaited: &str, wait: impl Future<Output = T>) -> T {
    let done = timeout(limit, wait).await;
    done.unwrap_or_else(|_| panic!("not within {limit:?}: {awaited}"))
}
