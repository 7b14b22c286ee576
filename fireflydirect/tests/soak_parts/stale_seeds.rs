//! Soaks of entries that start with seeds that are all wrong, and whose settings are corrected later.

use crate::soak_parts::faults::Soak;
use crate::soak_parts::plan::{Fault, Step};
use crate::soak_parts::run::{Changes, UNCHANGED, env_or, run_plan_with};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Last octets of addresses at which no entry is.
pub(super) const STALE_SEEDS: [u8; 2] = [240, 241];

/// Seeds of the short run.
const DEFAULT_SEEDS: &str = "1,2,3";

/// Time from the start to the correction.
const CORRECTED_AT: Duration = Duration::from_secs(3);

/// Shortest of these soaks: the rates that upstreams name are judged in the time after the correction.
const MIN_SECONDS: u64 = 13;

/// Time before the end from which no upstream names a rate: it would be lifted before it is over.
const RATE_MARGIN: Duration = Duration::from_secs(7);

impl Soak {
    /// Applies the steps; the seeds are right from `corrected_at` on, by when entries that were killed run again.
    pub(super) async fn run_with_stale_seeds(
        &mut self,
        corrected_at: Duration,
        steps: &[Step],
        length: Duration,
    ) {
        let (before, after) = steps.split_at(steps.partition_point(|s| s.at < corrected_at));
        self.run(before, corrected_at).await;
        for entry in 0..self.site.entries.len() {
            self.site.until_ready(entry).await;
        }
        self.site.correct_seeds().await;
        self.run(after, length).await;
    }
}

/// Returns faults before the correction, entries that start anew among them, and after it rates that all entries share,
/// beside planned work.
fn plan(seed: u64, length: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(24));
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(300);
    while at < length {
        let is_stale = at < CORRECTED_AT;
        let fault = match rng.random_range(0..6) {
            0 if is_stale => Fault::KillEntry,
            0 => Fault::Reload,
            1 if is_stale => Fault::KillEngine,
            1 => Fault::Publish,
            2 if is_stale => Fault::Compact,
            2 => Fault::LeaveEngine { announced: true },
            3 => Fault::RestartEngine { silent: false },
            _ if !is_stale && at + RATE_MARGIN < length => Fault::StateRateLimit,
            _ => Fault::Publish,
        };
        steps.push(Step {
            at,
            span: Duration::from_millis(rng.random_range(200..900)),
            fault,
            pick: rng.random_range(0..1_000),
        });
        at += Duration::from_millis(rng.random_range(200..800));
    }
    steps
}

/// Entries that don't know each other find each other once their seeds are right, and share what upstreams name.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_whose_seeds_were_stale_keep_the_promises() {
    let seeds: String = env_or("FIREFLY_SOAK_STALE_SEEDS", DEFAULT_SEEDS.to_owned());
    let seconds = Duration::from_secs(env_or("FIREFLY_SOAK_SECONDS", MIN_SECONDS).max(MIN_SECONDS));
    for seed in seeds.split(',').filter_map(|s| s.trim().parse().ok()) {
        let changes = Changes {
            corrected_at: Some(CORRECTED_AT),
            ..UNCHANGED
        };
        let name = format!("stale seeds, seed {seed}");
        run_plan_with(changes, &name, &plan(seed, seconds), seconds).await;
    }
}
