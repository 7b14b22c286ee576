//! Forecast of the memory that generations will need.
//!
//! A generation with a known survival function holds its prompt and its tokens
//! until it ends. A forecast sums mean and variance of that need over the
//! generations at a few horizons, counted in steps. Its peak is compared with
//! the upstream's memory before any of it is needed.

use crate::length::Survival;

/// Number of horizons in a forecast.
pub const POINTS: usize = 24;

/// Horizons in steps from now; each generation gets one token a step.
pub const HORIZONS: [u64; POINTS] = [
    0, 16, 32, 64, 96, 128, 192, 256, 320, 384, 512, 640, 768, 1_024, 1_280, 1_536, 1_792, 2_048,
    2_560, 3_072, 4_096, 5_120, 6_144, 8_192,
];

/// Share of a generation's peak need from which on a horizon is relevant to it.
const RELEVANT_SHARE: f64 = 0.05;

/// Share of the memory in use whose release gives the release rate.
const RATE_SHARE: f64 = 0.25;

/// Mean and variance of the memory needed at each horizon.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryForecast {
    mean: [f64; POINTS],
    variance: [f64; POINTS],
    /// Memory in use now that is free again at each horizon.
    freed: [f64; POINTS],
}

impl MemoryForecast {
    /// Returns the forecast of one generation that has `produced` tokens.
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

    /// Adds another forecast, assuming independent probabilities.
    pub fn add(&mut self, other: &Self) {
        for i in 0..POINTS {
            self.mean[i] += other.mean[i];
            self.variance[i] += other.variance[i];
            self.freed[i] += other.freed[i];
        }
    }

    /// Returns the sum of both forecasts.
    #[must_use]
    pub fn with(&self, other: &Self) -> Self {
        let mut sum = *self;
        sum.add(other);
        sum
    }

    /// Moves towards another forecast by a share.
    pub fn blend(&mut self, other: &Self, share: f64) {
        for i in 0..POINTS {
            self.mean[i] += share * (other.mean[i] - self.mean[i]);
            self.variance[i] += share * (other.variance[i] - self.variance[i]);
            self.freed[i] += share * (other.freed[i] - self.freed[i]);
        }
    }

    /// Returns the highest mean memory need over all horizons, in tokens.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn peak(&self) -> u64 {
        self.mean.iter().copied().fold(0.0, f64::max) as u64
    }

    /// Returns the tokens by which this and `more` exceed `limit` at the worst
    /// horizon relevant to `more`, `margin` standard deviations above the mean;
    /// negative when they fit.
    ///
    /// Horizons by which `more` has almost certainly ended don't count: a short
    /// answer need not wait for the later needs of long ones.
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

    /// Returns the steps until `tokens` of the memory in use now are free again.
    ///
    /// Extrapolates the rate at which the first generations to end free memory.
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
