//! Guards that allow one fetch of a kind at a time.

use std::cell::Cell;
use std::rc::Rc;

/// Guard of a fetch in progress.
pub(crate) struct FetchGuard {
    fetching: Rc<Cell<bool>>,
}

impl FetchGuard {
    /// Begins a fetch; `None` while one is in progress.
    pub(crate) fn begin(fetching: &Rc<Cell<bool>>) -> Option<Self> {
        if fetching.replace(true) {
            return None;
        }
        Some(Self {
            fetching: fetching.clone(),
        })
    }
}

impl Drop for FetchGuard {
    fn drop(&mut self) {
        self.fetching.set(false);
    }
}
