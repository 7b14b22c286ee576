//! Answers that only the end of their connection completes, as those to HTTP/1.0 without a length.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a connection carries such an answer that isn't complete yet, so that its end has to be a reset.
#[derive(Clone, Debug, Default)]
pub struct Unfinished(Arc<AtomicBool>);

impl Unfinished {
    /// Records that such an answer begins, or is complete.
    pub fn set(&self, is_unfinished: bool) {
        self.0.store(is_unfinished, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
