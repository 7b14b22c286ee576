//! Relaying a stream of events whole, in order and once, over several runs.
//!
//! Bytes are held back until the event that they belong to is complete, so
//! that a break in the middle of one leaves nothing half said. When the stream
//! goes on from another upstream, events that were relayed before are dropped,
//! and an event that is missing ends the stream instead of leaving a hole.

/// Longest event that is held back, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream can't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFault {
    /// An event is longer than [`MAX_EVENT`].
    TooLong,
    /// An event is missing before the one that came.
    Gap {
        /// Id of the last event relayed.
        last: u64,
        /// Id of the event that came.
        next: u64,
    },
}

/// Whole events relayed so far, and the beginning of the next.
#[derive(Clone, Debug, Default)]
pub struct EventRelay {
    buffer: Vec<u8>,
    last: Option<u64>,
    relayed: u64,
    has_ids: bool,
}

impl EventRelay {
    /// Id of the last event relayed; `None` before the first.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Events relayed.
    #[must_use]
    pub const fn relayed(&self) -> u64 {
        self.relayed
    }

    /// Whether bytes of an event that isn't complete are held.
    #[must_use]
    pub const fn is_mid_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether every event so far had an id, so that another run can go on.
    #[must_use]
    pub const fn can_resume(&self) -> bool {
        self.relayed == 0 || self.has_ids
    }

    /// Begins with a caller that has seen the event `last` already.
    pub const fn resume_after(&mut self, last: u64) {
        self.last = Some(last);
        self.has_ids = true;
    }

    /// Drops what is held of an event that broke off.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Takes bytes of the upstream; gives those of whole events to relay.
    ///
    /// # Errors
    ///
    /// A fault after which nothing more may be relayed.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, RelayFault> {
        self.buffer.extend_from_slice(bytes);
        let mut out = Vec::new();
        let mut start = 0;
        while let Some(len) = event_len(&self.buffer[start..]) {
            let event = &self.buffer[start..start + len];
            let id = read_event_id(event);
            if is_new(self.last, id)? {
                out.extend_from_slice(event);
                self.relayed += 1;
                self.has_ids = id.is_some();
                self.last = id.or(self.last);
            }
            start += len;
        }
        self.buffer.drain(..start);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(RelayFault::TooLong);
        }
        Ok(out)
    }

    /// What is held when the upstream ended the stream properly.
    #[must_use]
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }
}

/// Whether an event comes after `last`; not so when it was relayed before.
fn is_new(last: Option<u64>, id: Option<u64>) -> Result<bool, RelayFault> {
    let (Some(last), Some(next)) = (last, id) else {
        return Ok(true);
    };
    if next <= last {
        return Ok(false);
    }
    if next > last + 1 {
        return Err(RelayFault::Gap { last, next });
    }
    Ok(true)
}

/// Length of the event at the start of `bytes`, with the blank line that ends it.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    while let Some(line) = bytes[at..].iter().position(|b| *b == b'\n') {
        let is_blank = line == 0 || (line == 1 && bytes[at] == b'\r');
        at += line + 1;
        if is_blank {
            return Some(at);
        }
    }
    None
}

/// Number that the `id` line of an event gives.
fn read_event_id(event: &[u8]) -> Option<u64> {
    event.split(|b| *b == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
