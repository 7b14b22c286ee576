//! Measuring one answer against the goal of its class.
//!
//! Stall time is the sum of what the wait for the first token, from the intended
//! arrival, and each gap between tokens exceed the goal.

use tokio::time::Instant;

use super::mix::Goal;

/// The 95th percentile of gaps decides whether an answer met its goal.
const GOAL_QUANTILE: f64 = 0.95;

/// Follows the times of one answer, in milliseconds of the model of time.
#[derive(Debug)]
pub struct Meter {
    goal: Goal,
    time_scale: f64,
    last: Instant,
    first_token_ms: Option<f64>,
    gaps_ms: Vec<f64>,
    stall_ms: f64,
}

impl Meter {
    /// Measures an answer to a request meant to arrive at `arrival`.
    #[must_use]
    pub fn new(goal: Goal, time_scale: f64, arrival: Instant) -> Self {
        Self {
            goal,
            time_scale,
            last: arrival,
            first_token_ms: None,
            gaps_ms: Vec::new(),
            stall_ms: 0.0,
        }
    }

    /// Notes a token at `now`.
    pub fn record_token(&mut self, now: Instant) {
        let wait = self.record_wait(now);
        if self.first_token_ms.is_some() {
            self.gaps_ms.push(wait);
        } else {
            self.first_token_ms = Some(wait);
        }
        self.last = now;
    }

    /// Notes that no token will come after `now`, although some should have.
    pub fn record_cut(&mut self, now: Instant) {
        self.record_wait(now);
        self.last = now;
    }

    /// Stall time so far.
    #[must_use]
    pub fn stall_ms(&self) -> f64 {
        self.stall_ms
    }

    /// The wait for the first token, if it came.
    #[must_use]
    pub fn first_token_ms(&self) -> Option<f64> {
        self.first_token_ms
    }

    /// The gaps between tokens, in order.
    #[must_use]
    pub fn gaps_ms(&self) -> &[f64] {
        &self.gaps_ms
    }

    /// Whether the first token and the 95th percentile of gaps met the goal.
    #[must_use]
    pub fn met_goal(&self) -> bool {
        let first = self.first_token_ms;
        let gaps = self.gaps_ms.len();
        let late = self.gaps_ms.iter().filter(|gap| **gap > self.goal.gap_ms);
        first.is_some_and(|first| first <= self.goal.first_token_ms)
            && to_f64(late.count()) <= to_f64(gaps) * (1.0 - GOAL_QUANTILE)
    }

    /// Adds to the stall time what the wait that ends at `now` exceeds the goal.
    fn record_wait(&mut self, now: Instant) -> f64 {
        let wait = (now - self.last).as_secs_f64() * 1e3 * self.time_scale;
        let goal = match self.first_token_ms {
            Some(_) => self.goal.gap_ms,
            None => self.goal.first_token_ms,
        };
        self.stall_ms += (wait - goal).max(0.0);
        wait
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay small")]
fn to_f64(number: usize) -> f64 {
    number as f64
}
