//! What the end of a stream's body means.
//!
//! A body whose length isn't stated ends when its run does: in order, with its last chunk or its connection, whether the
//! run ended by itself or was ordered to stop. Only what is known of the orders tells the two apart. Asking again proves
//! nothing: an upstream has no such run in either case. A request may run at an upstream more than once, and an order may be
//! answered after the next run began; then it may have stopped either.

use crate::time::Time;

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

/// A run of a request at one upstream, by the order in which they began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunNumber(u32);

/// Place of an order in its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopOrderIx(usize);

/// What is known of all orders to stop a request's runs at one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StopOrderLog {
    orders: Vec<SentOrder>,
    /// The run that began last.
    run: RunNumber,
}

/// An order that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SentOrder {
    sent_at: Time,
    sent_in: RunNumber,
    settled: Option<Settled>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Settled {
    outcome: StopOrder,
    /// The run that had begun last by then.
    during: RunNumber,
}

impl StopOrderLog {
    /// Returns the run that began last.
    #[must_use]
    pub const fn run(&self) -> RunNumber {
        self.run
    }

    /// Returns what all orders say of a run, whether it goes on or not.
    #[must_use]
    pub fn known(&self, run: RunNumber) -> StopOrder {
        let said = self.orders_for(run).map(|order| order.says_of(run));
        said.max().unwrap_or_default()
    }

    /// Returns whether an order that may stop a run is out, whatever the others say.
    #[must_use]
    pub fn is_any_out(&self, run: RunNumber) -> bool {
        self.orders_for(run).any(|order| order.settled.is_none())
    }

    /// Returns whether a run itself was ordered to stop and may yet be: an order that was sent for it has no outcome.
    #[must_use]
    pub fn is_being_stopped(&self, run: RunNumber) -> bool {
        let mut own = self.orders.iter().filter(|order| order.sent_in == run);
        own.any(|order| matches!(order.says_of(run), StopOrder::Out | StopOrder::Lost))
    }

    /// Returns the time at which the last order that may stop a run was sent.
    #[must_use]
    pub fn last_sent(&self, run: RunNumber) -> Option<Time> {
        self.orders_for(run).map(|order| order.sent_at).max()
    }

    /// Records that an order is sent.
    pub fn send(&mut self, now: Time) -> StopOrderIx {
        self.orders.push(SentOrder {
            sent_at: now,
            sent_in: self.run,
            settled: None,
        });
        StopOrderIx(self.orders.len() - 1)
    }

    /// Records what became of an order.
    pub fn settle(&mut self, order: StopOrderIx, outcome: StopOrder) {
        let during = self.run;
        if let Some(order) = self.orders.get_mut(order.0) {
            order.settled = Some(Settled { outcome, during });
        }
    }

    /// Records that a new run of the request may begin there.
    pub const fn begin_run(&mut self) {
        self.run = RunNumber(self.run.0 + 1);
    }

    fn orders_for(&self, run: RunNumber) -> impl Iterator<Item = &SentOrder> {
        self.orders.iter().filter(move |order| order.sent_in <= run)
    }
}

impl SentOrder {
    /// Returns what it says of a run that it may have reached: one that was there as it was sent, or a later one.
    fn says_of(self, run: RunNumber) -> StopOrder {
        let Some(Settled { outcome, during }) = self.settled else {
            return StopOrder::Out;
        };
        match outcome {
            // The first of two calls may come yet, too.
            StopOrder::Lost | StopOrder::StoppedByRepeat if run > during => StopOrder::Lost,
            _ if run > during => StopOrder::NotSent,
            StopOrder::Stopped | StopOrder::StoppedByRepeat if self.sent_in < during => {
                StopOrder::Lost
            }
            _ => outcome,
        }
    }
}
