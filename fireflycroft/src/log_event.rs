//! What the core tells of itself: the shell turns notes into logs and counts.

use crate::code::Code;
use crate::ids::{Name, RequestId};

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Name of the event, such as `offer_refused`.
    pub event: &'static str,
    /// Request concerned.
    pub request: Option<RequestId>,
    /// The other process.
    pub peer: Option<Name>,
    /// Result code that goes with it.
    pub code: Option<Code>,
    /// A number that goes with it; its meaning follows from the event.
    pub count: u64,
}

impl LogEvent {
    /// Note of an event.
    #[must_use]
    pub const fn new(event: &'static str) -> Self {
        Self {
            event,
            request: None,
            peer: None,
            code: None,
            count: 0,
        }
    }

    /// With the request concerned.
    #[must_use]
    pub const fn request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    /// With the other process.
    #[must_use]
    pub fn peer(mut self, peer: &Name) -> Self {
        self.peer = Some(peer.clone());
        self
    }

    /// With a result code.
    #[must_use]
    pub const fn code(mut self, code: Code) -> Self {
        self.code = Some(code);
        self
    }

    /// With a number.
    #[must_use]
    pub const fn count(mut self, count: u64) -> Self {
        self.count = count;
        self
    }
}
