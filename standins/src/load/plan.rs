//! Draws the arrivals of a run from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::mix::{LengthDistribution, Mix};
use crate::lognormal;

/// A scheduled request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Sequence number, from 0.
    pub number: u64,
    /// Arrival time, from the start of the run.
    pub at: Duration,
    /// Index of its workspace in the mix.
    pub workspace: usize,
    /// Index of its kind in the mix.
    pub kind: usize,
    /// Tokens of the prompt after the shared prefix.
    pub prompt_tokens: u64,
    /// Tokens of the complete answer.
    pub output_tokens: u64,
}

/// Draws arrivals at `rate` per second until `end`; deterministic for a seed.
pub fn arrivals(
    mix: &Mix,
    rate: f64,
    end: Duration,
    seed: u64,
) -> impl Iterator<Item = Arrival> + use<'_> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = 0.0;
    let arrivals = (0..).map(move |number| {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        draw_arrival(mix, &mut rng, number, Duration::from_secs_f64(at))
    });
    arrivals.take_while(move |arrival| arrival.at < end)
}

fn draw_arrival(mix: &Mix, rng: &mut ChaCha8Rng, number: u64, at: Duration) -> Arrival {
    let workspaces = mix.workspaces.iter().map(|workspace| workspace.weight);
    let workspace = pick_weighted(rng, workspaces);
    let kind = pick_weighted(rng, mix.kinds.iter().map(|kind| kind.weight));
    Arrival {
        number,
        at,
        workspace,
        kind,
        prompt_tokens: draw_length(rng, mix.kinds[kind].prompt),
        output_tokens: draw_length(rng, mix.kinds[kind].output),
    }
}

/// Draws an index with a probability proportional to its weight.
fn pick_weighted(rng: &mut ChaCha8Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut rest = rng.random::<f64>() * weights.clone().sum::<f64>();
    let last = weights.clone().count().saturating_sub(1);
    let mut weights = weights;
    let found = weights.position(|weight| {
        rest -= weight;
        rest < 0.0
    });
    found.unwrap_or(last)
}

fn draw_length(rng: &mut ChaCha8Rng, lengths: LengthDistribution) -> u64 {
    lognormal::draw(rng, lengths.median, lengths.sigma, lengths.max)
}
