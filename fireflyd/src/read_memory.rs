//! Memory for what is read of upstreams' answers, so that answers without an end don't exhaust the VM's.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Divisor of the VM's memory that gives the part for answers being read.
const MEMORY_DIVISOR: u64 = 4;

/// Memory for answers being read; clones share it.
#[derive(Clone, Debug)]
pub struct ReadMemory {
    used: Arc<AtomicUsize>,
    max: usize,
}

impl Default for ReadMemory {
    /// Returns memory without a bound.
    fn default() -> Self {
        Self {
            used: Arc::default(),
            max: usize::MAX,
        }
    }
}

impl ReadMemory {
    /// Returns the part for answers of a VM with so much memory in bytes.
    #[must_use]
    pub fn for_vm(memory: u64) -> Self {
        Self {
            max: usize::try_from(memory / MEMORY_DIVISOR).unwrap_or(usize::MAX),
            ..Self::default()
        }
    }

    /// Reserves nothing yet.
    pub(crate) fn reserve(&self) -> Reserved {
        Reserved {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// Memory reserved for one answer; released on drop.
#[derive(Debug)]
pub(crate) struct Reserved {
    memory: ReadMemory,
    bytes: usize,
}

impl Reserved {
    /// Reserves `bytes` in all; returns false, and changes nothing, if they are not available.
    #[must_use]
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let Some(more) = bytes.checked_sub(self.bytes).filter(|more| *more > 0) else {
            return true;
        };
        let max = self.memory.max;
        let grown = |used: usize| used.checked_add(more).filter(|sum| *sum <= max);
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        if self.memory.used.fetch_update(set, fetch, grown).is_err() {
            return false;
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes of an answer with the memory reserved for them.
pub(crate) struct HeldBytes {
    buf: Vec<u8>,
    _reserved: Reserved,
}

impl HeldBytes {
    pub(crate) fn new(buf: Vec<u8>, reserved: Reserved) -> Self {
        Self {
            buf,
            _reserved: reserved,
        }
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
