//! Waiting for events, never for a guessed time.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

/// Longest wait for anything that must come.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Looks until `check` holds; fails the test after [`PATIENCE`].
pub async fn until<F>(what: &str, mut check: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let start = Instant::now();
    while !check().await {
        assert!(start.elapsed() < PATIENCE, "never came: {what}");
        sleep(LOOK_EVERY).await;
    }
}

/// Waits for something that must come in that time.
pub async fn within<T>(span: Duration, what: &str, wait: impl Future<Output = T>) -> T {
    let done = timeout(span, wait).await;
    done.unwrap_or_else(|_| panic!("did not come within {span:?}: {what}"))
}
