//! Faults in the ends of streams' bodies and in the outcomes of cancellations.

use serde::Deserialize;

/// How the body of a stream ends.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(super) enum BodyEnd {
    /// With the end reason and the closing event.
    #[default]
    Marked,
    /// In order, with the closing event but no reason.
    Closing,
    /// In order, with neither.
    InOrder,
}

/// What becomes of a cancellation.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(super) enum CancelOutcome {
    /// Carried out and answered.
    #[default]
    Done,
    /// Refused.
    Refused,
    /// Answered as if there were no such stream.
    Unknown,
    /// Carried out, but never answered.
    Lost,
    /// Carried out and answered late.
    Late,
}

/// End of bodies before the end of their generation.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct EarlyEnd {
    /// Index of the token before which they end.
    pub(super) before: u64,
    /// How they end.
    pub(super) end: BodyEnd,
    /// Number of bodies that end so.
    pub(super) bodies: u32,
}

/// Faults of an engine's streams.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StreamFaults {
    /// End of the bodies of cancelled generations.
    pub(super) cancelled_end: BodyEnd,
    pub(super) cancel: CancelOutcome,
    pub(super) early_end: Option<EarlyEnd>,
}

impl StreamFaults {
    /// Returns the index of the token before which a body ends now.
    pub(super) fn early_limit(&self) -> Option<u64> {
        let early = self.early_end.filter(|early| early.bodies > 0)?;
        Some(early.before)
    }

    /// Ends a body early that has reached token `next`.
    pub(super) fn take_early_end(&mut self, next: u64) -> Option<BodyEnd> {
        let early = self.early_end.as_mut()?;
        if early.bodies == 0 || next < early.before {
            return None;
        }
        early.bodies -= 1;
        Some(early.end)
    }
}
