//! Simulation of admission under load, in virtual time.
//!
//! Guards against refusals while a fifth of all memory or more is free: where a request takes a fifth of
//! an engine, lowering the limit by a quarter of the memory for a low value density wastes capacity.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{
    AdmissionRequest, ArrivalKind, MemoryUsage, Name, Need, Pool, Time, UpstreamIx, ValueDensities,
    capacity_expected_after, is_admitted, whole_millis,
};
use pools::{at, record};
use std::collections::BTreeMap;
use std::time::Duration;

cases! {
    callers_of_a_moderate_load_are_admitted => moderate_load();
    engines_of_a_heavy_load_do_not_run_out => heavy_load();
    heavy_load_admits_higher_value_densities => heavy_load_by_density();
}

/// Serving engines.
const ENGINES: u64 = 36;

/// Tokens of memory per engine, enough for about five generations.
const MEMORY: u64 = 22_054;

/// Milliseconds that an engine takes for a token.
const TOKEN_MILLIS: u64 = 10;

/// Milliseconds of simulated load.
const LOAD_MILLIS: u64 = 40_000;

/// One caller's generation.
#[derive(Clone, Copy)]
struct Generation {
    prompt: u64,
    expected: u64,
    produced: u64,
}

/// Deterministic random numbers.
struct Rng(u64);

impl Rng {
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        f64::from(u32::try_from(self.0 >> 32).unwrap()) / f64::from(u32::MAX)
    }

    /// Approximates a standard normal variate.
    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.next()).sum::<f64>() - 6.0
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn generation(&mut self) -> Generation {
        let prompt = (3_000.0 * (0.35 * self.normal()).exp()).min(6_000.0);
        let produced = (450.0 * self.normal().exp()).clamp(8.0, 1_768.0);
        let expected = (produced * (0.7 * self.normal()).exp()).clamp(8.0, 1_768.0);
        Generation {
            prompt: prompt as u64,
            expected: expected as u64,
            produced: produced as u64,
        }
    }
}

/// Result of a simulation.
#[derive(Default)]
struct Outcome {
    requested: u32,
    refused_for_good: u32,
    /// Logarithms of the value density of admitted and finally refused generations.
    admitted_densities: Vec<f64>,
    refused_densities: Vec<f64>,
    /// Milliseconds with an engine beyond its memory, summed over all engines.
    beyond_memory: u64,
}

struct Running {
    at: UpstreamIx,
    need: Need,
    generation: Generation,
    since: u64,
}

fn engines() -> Pool {
    let mut pool = Pool::new(Name::from("dc"));
    for i in 0..ENGINES {
        pool.upsert(at(0), record(&format!("m-{i}"), 1 + i));
    }
    pool.set_memory(&Name::from("models"), Some(MEMORY));
    pool
}

/// Simulates callers with a mean gap of `mean_gap_millis`; a refused one returns once.
fn simulate(mean_gap_millis: u64) -> Outcome {
    let mut pool = engines();
    let mut rng = Rng(7);
    let mut value_densities = ValueDensities::default();
    let mut waiting: BTreeMap<(u64, u32), (Generation, f64, Option<Time>)> = BTreeMap::new();
    let mut running: Vec<Running> = Vec::new();
    let mut outcome = Outcome::default();
    let mut next = 0;
    for millis in (0..LOAD_MILLIS).step_by(10) {
        running.retain(|run| {
            let ends = run.since + run.generation.produced * TOKEN_MILLIS;
            if ends <= millis {
                pool.release(run.at, &run.need);
            }
            ends > millis
        });
        outcome.beyond_memory += 10 * beyond_memory(&running, millis);
        while next <= millis {
            let generation = rng.generation();
            let (prompt, expected) = (generation.prompt, generation.expected);
            let value_density = value_densities.record(&Name::from("kind"), prompt, expected);
            waiting.insert((next, outcome.requested), (generation, value_density, None));
            outcome.requested += 1;
            let share = -rng.next().max(1e-9).ln();
            next += whole_millis(Duration::from_millis(mean_gap_millis).mul_f64(share));
        }
        let due: Vec<_> = waiting
            .range(..=(millis, u32::MAX))
            .map(|(k, v)| (*k, *v))
            .collect();
        for (key, (generation, value_density, refused)) in due {
            waiting.remove(&key);
            let now = at(millis);
            let need = Need {
                tokens: generation.prompt + generation.expected,
                prompt: generation.prompt,
                draw: u64::from(key.1),
                ..Need::default()
            };
            let waited = refused.map(|since| now.since(since));
            let request = AdmissionRequest {
                expected_tokens: generation.expected,
                value_density,
                arrival: ArrivalKind::after(waited, Duration::from_millis(1_800)),
                rank: 1,
            };
            let best = pool.choose(now, "models", &need, &[]).unwrap();
            let fill = MemoryUsage {
                engine: pool.memory_share_with(now, best, &need),
                service: pool.service_run_memory_share(now, "models"),
            };
            if is_admitted(&request, &fill) {
                pool.place(now, best, &need);
                outcome.admitted_densities.push(value_density);
                running.push(Running {
                    at: best,
                    need,
                    generation,
                    since: millis,
                });
            } else if refused.is_none() {
                let back = whole_millis(capacity_expected_after(fill.service));
                waiting.insert(
                    (millis + back, key.1),
                    (generation, value_density, Some(now)),
                );
            } else {
                outcome.refused_for_good += 1;
                outcome.refused_densities.push(value_density);
            }
        }
    }
    outcome
}

/// Counts the engines whose runs hold more than their memory.
fn beyond_memory(running: &[Running], millis: u64) -> u64 {
    let mut held: BTreeMap<UpstreamIx, u64> = BTreeMap::new();
    for run in running {
        let produced = (millis - run.since) / TOKEN_MILLIS;
        *held.entry(run.at).or_default() += run.generation.prompt + produced;
    }
    held.values().filter(|tokens| **tokens > MEMORY).count() as u64
}

fn mean(all: &[f64]) -> f64 {
    let count = u32::try_from(all.len()).unwrap();
    all.iter().sum::<f64>() / f64::from(count)
}

/// Load whose expected answers and prompts take two thirds of the memory.
fn moderate_load() {
    let outcome = simulate(50);
    assert!(outcome.requested > 700, "{}", outcome.requested);
    assert!(
        outcome.refused_for_good * 100 <= outcome.requested,
        "{} of {} refused for good",
        outcome.refused_for_good,
        outcome.requested
    );
}

/// Load half as high again: an engine's memory may run out for at most 1% of the time.
fn heavy_load() {
    let outcome = simulate(33);
    let share = outcome.beyond_memory * 100 / (ENGINES * LOAD_MILLIS);
    assert!(share <= 1, "{share} in 100 beyond memory");
}

fn heavy_load_by_density() {
    let outcome = simulate(25);
    assert!(outcome.refused_for_good > 0);
    let (admitted, refused) = (
        mean(&outcome.admitted_densities),
        mean(&outcome.refused_densities),
    );
    assert!(
        admitted > refused + 0.3,
        "{admitted:.2} admitted, {refused:.2} refused"
    );
}
