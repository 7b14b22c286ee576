//! Measures one answer against the latency goal of its class.
//!
//! Stall time is the sum of the excess over the goal: of the wait from the
//! scheduled arrival to the first token, and of each gap between tokens.

use tokio::time::Instant;

use super::mix::Goal;

/// Quantile of the gaps that must be within the goal.
const GOAL_QUANTILE: f64 = 0.95;

/// Measures the latencies of one answer, in milliseconds of simulated time.
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
    /// Creates a meter for a request scheduled at `arrival`.
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

    /// Records a token that arrived at `now`.
    pub fn record_token(&mut self, now: Instant) {
        let wait = self.record_wait(now);
        if self.first_token_ms.is_some() {
            self.gaps_ms.push(wait);
        } else {
            self.first_token_ms = Some(wait);
        }
        self.last = now;
    }

    /// Records that the answer was cut at `now`, with tokens outstanding.
    pub fn record_cut(&mut self, now: Instant) {
        self.record_wait(now);
        self.last = now;
    }

    /// Returns the stall time so far.
    #[must_use]
    pub fn stall_ms(&self) -> f64 {
        self.stall_ms
    }

    /// Returns the time to the first token, if it arrived.
    #[must_use]
    pub fn first_token_ms(&self) -> Option<f64> {
        self.first_token_ms
    }

    /// Returns the gaps between tokens, in order.
    #[must_use]
    pub fn gaps_ms(&self) -> &[f64] {
        &self.gaps_ms
    }

    /// Returns whether the first token and the 95th percentile of gaps met the goal.
    #[must_use]
    pub fn met_goal(&self) -> bool {
        let first = self.first_token_ms;
        let gaps = self.gaps_ms.len();
        let late = self.gaps_ms.iter().filter(|gap| **gap > self.goal.gap_ms);
        first.is_some_and(|first| first <= self.goal.first_token_ms)
            && to_f64(late.count()) <= to_f64(gaps) * (1.0 - GOAL_QUANTILE)
    }

    /// Returns the wait that ends at `now` and adds its excess over the goal to the
    /// stall time.
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
