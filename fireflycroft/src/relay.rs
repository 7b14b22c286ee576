//! Relays an event stream complete, in order and without duplicates, across several runs.
//!
//! Bytes are buffered until their event is complete, so an interrupted run never leaves a partial
//! event. When another upstream resumes the stream, events already relayed are dropped, and a
//! missing event ends the stream instead of leaving a gap.

/// Maximum size of a buffered event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reason why a stream cannot continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayFault {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
    /// One or more events are missing before the received one.
    Gap {
        /// Identifier of the last relayed event.
        last: u64,
        /// Identifier of the received event.
        next: u64,
    },
}

/// Position in the relayed stream and buffer of the next event.
#[derive(Clone, Debug, Default)]
pub struct EventRelay {
    buffer: Vec<u8>,
    last: Option<u64>,
    relayed: u64,
    has_ids: bool,
}

impl EventRelay {
    /// Returns the identifier of the last relayed event; `None` before the first.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of relayed events.
    #[must_use]
    pub const fn relayed(&self) -> u64 {
        self.relayed
    }

    /// Returns whether an incomplete event is buffered.
    #[must_use]
    pub const fn is_mid_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the stream can be resumed: its events have identifiers, or none was relayed
    /// yet.
    #[must_use]
    pub const fn can_resume(&self) -> bool {
        self.relayed == 0 || self.has_ids
    }

    /// Starts after the event `last`, which the caller has already received.
    pub const fn resume_after(&mut self, last: u64) {
        self.last = Some(last);
        self.has_ids = true;
    }

    /// Discards the incomplete event of an interrupted run.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Adds bytes received from the upstream and returns the complete new events.
    ///
    /// # Errors
    ///
    /// Returns a fault after which nothing more may be relayed.
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

    /// Returns the remaining bytes after the upstream ended the stream properly.
    #[must_use]
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }
}

/// Returns whether an event comes after `last`; false if it was already relayed.
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

/// Returns the length of the event at the start of `bytes`, including its final blank line.
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

/// Parses the number in the `id` line of an event.
fn read_event_id(event: &[u8]) -> Option<u64> {
    event.split(|b| *b == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
