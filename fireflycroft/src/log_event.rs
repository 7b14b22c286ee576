//! Events that the core reports for the daemon to log and count.

use crate::code::Code;
use crate::crash_report::Suspect;
use crate::ids::{Name, RequestId};

/// An event to log and count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Name of the event, such as `offer_refused`.
    pub event: &'static str,
    /// Request concerned.
    pub request: Option<RequestId>,
    /// The other process.
    pub peer: Option<Name>,
    /// Part of a prompt or content concerned.
    pub suspect: Option<Suspect>,
    /// Result code.
    pub code: Option<Code>,
    /// A number whose meaning depends on the event.
    pub count: u64,
}

impl LogEvent {
    /// Creates an event without details.
    #[must_use]
    pub const fn new(event: &'static str) -> Self {
        Self {
            event,
            request: None,
            peer: None,
            suspect: None,
            code: None,
            count: 0,
        }
    }

    /// Adds the request concerned.
    #[must_use]
    pub const fn request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// Adds the other process.
    #[must_use]
    pub fn peer(mut self, peer: &Name) -> Self {
        self.peer = Some(peer.clone());
        self
    }

    /// Adds the part of a prompt or the content concerned.
    #[must_use]
    pub const fn suspect(mut self, suspect: Suspect) -> Self {
        self.suspect = Some(suspect);
        self
    }

    /// Adds a result code.
    #[must_use]
    pub const fn code(mut self, code: Code) -> Self {
        self.code = Some(code);
        self
    }

    /// Adds a number.
    #[must_use]
    pub const fn count(mut self, count: u64) -> Self {
        self.count = count;
        self
    }
}
