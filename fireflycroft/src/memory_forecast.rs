//! Memory that generations will need, at moments to come.
//!
//! A generation of known survival needs its prompt and its tokens for as long
//! as it goes on. An outlook sums mean and variance of that need over the
//! generations, at a few moments counted in steps, so that its peak can be
//! held against the upstream's memory before any of it is needed.

use crate::length::Survival;

/// Moments that an outlook looks at.
pub const POINTS: usize = 24;

/// The moments, in steps from now; each generation gets one token a step.
pub const HORIZONS: [u64; POINTS] = [
    0, 16, 32, 64, 96, 128, 192, 256, 320, 384, 512, 640, 768, 1_024, 1_280, 1_536, 1_792, 2_048,
    2_560, 3_072, 4_096, 5_120, 6_144, 8_192,
];

/// Share of its most that a generation needs at a moment that matters to it.
const RELEVANT_SHARE: f64 = 0.05;

/// Share of the memory in use whose release tells the rate of leaving.
const RATE_SHARE: f64 = 0.25;

/// Mean and variance of the memory needed at each moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryForecast {
    mean: [f64; POINTS],
    variance: [f64; POINTS],
    /// Memory in use now that is free again at each moment.
    freed: [f64; POINTS],
}

impl MemoryForecast {
    /// Outlook of one generation that has `produced` tokens.
    #[must_use]
    pub fn of(survival: &Survival, prompt: u32, produced: u64, limit: u32) -> Self {
        let mut forecast = Self::default();
        let held = to_f64(u64::from(prompt) + produced);
        for (i, steps) in HORIZONS.into_iter().enumerate() {
            let survives = if steps > 0 && produced + steps >= u64::from(limit) {
                0.0
            } else {
                survival.beyond(produced, steps)
            };
            let memory = held + to_f64(steps);
            forecast.mean[i] = survives * memory;
            forecast.variance[i] = survives * (1.0 - survives) * memory * memory;
            forecast.freed[i] = (1.0 - survives) * held;
        }
        forecast
    }

    /// Adds another outlook; chances are taken to be independent.
    pub fn add(&mut self, other: &Self) {
        for i in 0..POINTS {
            self.mean[i] += other.mean[i];
            self.variance[i] += other.variance[i];
            self.freed[i] += other.freed[i];
        }
    }

    /// This outlook with another one added.
    #[must_use]
    pub fn with(&self, other: &Self) -> Self {
        let mut sum = *self;
        sum.add(other);
        sum
    }

    /// Moves towards another outlook by a share.
    pub fn blend(&mut self, other: &Self, share: f64) {
        for i in 0..POINTS {
            self.mean[i] += share * (other.mean[i] - self.mean[i]);
            self.variance[i] += share * (other.variance[i] - self.variance[i]);
            self.freed[i] += share * (other.freed[i] - self.freed[i]);
        }
    }

    /// Most memory needed at any moment, in the mean, in tokens.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn peak(&self) -> u64 {
        self.mean.iter().copied().fold(0.0, f64::max) as u64
    }

    /// Tokens by which this and `more` exceed `limit` at the worst moment that
    /// matters to `more`, taken `margin` standard deviations above the mean;
    /// below zero when they fit.
    ///
    /// Moments by which `more` is as good as gone don't count, so that a short
    /// answer need not wait for what long ones may need later.
    #[must_use]
    pub fn excess(&self, more: &Self, margin: f64, limit: u64) -> f64 {
        let least = RELEVANT_SHARE * more.mean.iter().copied().fold(0.0, f64::max);
        let need = |i: usize| {
            let variance = self.variance[i] + more.variance[i];
            self.mean[i] + more.mean[i] + margin * variance.sqrt()
        };
        let matters = |i: &usize| more.mean[*i] >= least;
        let worst = (0..POINTS).filter(matters).map(need);
        worst.fold(0.0, f64::max) - to_f64(limit)
    }

    /// Steps until so much of the memory in use now is free again.
    ///
    /// What the next leavers free tells the rate; it is taken to last.
    #[must_use]
    pub fn steps_to_free(&self, tokens: f64) -> f64 {
        let mark = tokens.min(self.mean[0] * RATE_SHARE).max(1.0);
        let mut before = (0.0, 0.0);
        for (i, steps) in HORIZONS.into_iter().enumerate() {
            let here = (self.freed[i], to_f64(steps));
            if here.0 >= mark {
                let part = (mark - before.0) / (here.0 - before.0).max(1.0);
                let steps = before.1 + part.min(1.0) * (here.1 - before.1);
                return steps * tokens / mark;
            }
            before = here;
        }
        before.1 * tokens / mark
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
