//! What the end of a stream's body means.
//!
//! A body whose length isn't stated ends when its run does: in order, with its last chunk or its connection, whether the
//! run ended by itself or was ordered to stop. Only what is known of the orders tells the two apart. Asking again proves
//! nothing: an upstream has no such run in either case.

/// How the end of a body is told from a connection that breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its stated length.
    Length,
    /// By an empty chunk, the last one.
    Chunks,
    /// Not at all: it ends with its connection.
    UntilClose,
}

/// What is known of an order to stop a run, the weightier the later in this list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopOrder {
    /// None has left this process.
    #[default]
    NotSent,
    /// Refused without being carried out.
    Refused,
    /// Refused, since there is no such run.
    NoSuchRun,
    /// Refused, since another copy of the run is in progress.
    Busy,
    /// Sent and not answered yet.
    Out,
    /// Carried out.
    Stopped,
    /// Not answered, so that it may have been carried out, or be so yet.
    Lost,
    /// Carried out by the second of two calls, so that the first may be carried out yet.
    StoppedByRepeat,
}

/// Meaning of the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body is whole.
    Whole,
    /// The outcome of an order will tell; broken off if it doesn't come.
    Undecided,
    /// A part, or not proven to be more.
    BrokenOff,
}

/// Returns what the end of a body in order means, after these orders to stop its run.
#[must_use]
pub const fn body_end(framing: BodyFraming, order: StopOrder) -> BodyEnd {
    match (framing, order) {
        (BodyFraming::Length, _)
        | (_, StopOrder::NotSent | StopOrder::Refused | StopOrder::NoSuchRun | StopOrder::Busy) => {
            BodyEnd::Whole
        }
        (BodyFraming::Chunks | BodyFraming::UntilClose, StopOrder::Out) => BodyEnd::Undecided,
        (
            BodyFraming::Chunks | BodyFraming::UntilClose,
            StopOrder::Stopped | StopOrder::Lost | StopOrder::StoppedByRepeat,
        ) => BodyEnd::BrokenOff,
    }
}

impl BodyFraming {
    /// Returns its name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::UntilClose => "until_close",
        }
    }

    /// Returns the name of what ends a body in order, in logs.
    #[must_use]
    pub const fn end_mark(self) -> &'static str {
        match self {
            Self::Length => "stated length",
            Self::Chunks => "last chunk",
            Self::UntilClose => "close",
        }
    }
}

impl StopOrder {
    /// Returns whether the run is, or may be, stopped by an order that isn't out any more.
    #[must_use]
    pub const fn may_have_stopped(self) -> bool {
        matches!(self, Self::Stopped | Self::Lost | Self::StoppedByRepeat)
    }

    /// Returns its name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotSent => "none",
            Self::Refused => "refused",
            Self::NoSuchRun => "no_such_run",
            Self::Busy => "busy",
            Self::Out => "out",
            Self::Stopped => "stopped",
            Self::Lost => "lost",
            Self::StoppedByRepeat => "stopped_by_repeat",
        }
    }
}

/// What is known of all orders to stop a request's runs at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopOrderLog {
    /// Weightiest outcome of those that aren't out any more.
    settled: StopOrder,
    /// Number of those that are out.
    out: u32,
}

impl StopOrderLog {
    /// Returns what they say of the run there.
    #[must_use]
    pub const fn known(&self) -> StopOrder {
        if self.out > 0 && !self.settled.may_have_stopped() {
            StopOrder::Out
        } else {
            self.settled
        }
    }

    /// Records that an order is sent.
    pub const fn send(&mut self) {
        self.out += 1;
    }

    /// Records what became of an order that was out; a run that may have been stopped before remains so.
    pub fn settle(&mut self, outcome: StopOrder) {
        self.out = self.out.saturating_sub(1);
        self.settled = self.settled.max(outcome);
    }

    /// Records that a new run of the request may begin there, which only an order that is out or has no outcome may still
    /// stop.
    pub fn begin_run(&mut self) {
        self.settled = match self.settled {
            StopOrder::Lost | StopOrder::StoppedByRepeat => StopOrder::Lost,
            _ => StopOrder::NotSent,
        };
    }
}
