//! Locks that go on after a panic of another holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, whether or not a former holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
