//! Whether engines have room for one more generation, or it is refused at once.
//!
//! An engine whose memory runs out preempts runs in the middle of their answers
//! and reads them anew, so that all of them end late. Refusing the generations
//! for which there is no room keeps the others on time. Short ones are let in
//! beyond that: they are gone before the memory is needed.
//!
//! Ranks of workspaces and routes decide here, at the door. Told to the
//! engines, they make them preempt running answers for waiting ones: 88 runs a
//! day in the mean of eight plays of the largest deployment, and 24 without.

use std::time::Duration;

/// Share of the memory up to which long generations are let in.
pub const ROOM_FOR_LONG: f64 = 0.72;

/// The same for those that come back after a refusal: refusing them twice is worse than refusing
/// another once.
pub const ROOM_FOR_RETURNING: f64 = 0.88;

/// Share of the memory up to which short generations are let in.
pub const ROOM_FOR_SHORT: f64 = 1.4;

/// Share of the memory that is kept for those of the first rank.
pub const ROOM_FOR_FIRST: f64 = 0.05;

/// Share by which the memory of all engines may be fuller than that of the one engine: it counts
/// what runs on engines that leave, part of which ends by itself.
const SERVICE_LATER: f64 = 0.18;

/// Answers that are expected to be no longer are short.
pub const SHORT_TOKENS: u64 = 64;

/// A generation that asks to be let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asking {
    /// Tokens that its answer is expected to have.
    pub expected_tokens: u64,
    /// Whether it comes back after a refusal.
    pub returns: bool,
    /// Urgency that the operator gave its workspace or route; 0 goes first.
    pub rank: u8,
}

/// Memory that would be spoken for with one more generation, as shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fill {
    /// On the engine that suits it best.
    pub engine: f64,
    /// On all engines of the service.
    pub service: f64,
}

/// Whether a generation is let in.
#[must_use]
pub fn is_room(asking: &Asking, fill: &Fill) -> bool {
    let limit = if asking.expected_tokens <= SHORT_TOKENS {
        ROOM_FOR_SHORT
    } else if asking.returns {
        ROOM_FOR_RETURNING
    } else {
        ROOM_FOR_LONG
    };
    let first = if asking.rank == 0 {
        ROOM_FOR_FIRST
    } else {
        0.0
    };
    fill.engine.max(fill.service - SERVICE_LATER) <= limit + first
}

/// When there is likely to be room, if `fill` of all memory is spoken for.
///
/// While a little is free somewhere, another engine ends a run within a fraction of a second.
#[must_use]
pub fn room_after(fill: f64) -> Duration {
    const FREE_SECONDS: f64 = 0.5;
    const SECONDS_BEYOND: f64 = 8.0;
    let beyond = (fill - 0.9).clamp(0.0, 1.0);
    Duration::from_secs_f64(FREE_SECONDS + beyond * SECONDS_BEYOND)
}
