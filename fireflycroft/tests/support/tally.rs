//! Totals of a fuzzer run.

use super::world::World;
use std::collections::BTreeMap;
use std::time::Duration;

/// Totals over all cases.
pub(crate) struct Tally {
    cases: u64,
    events: u64,
    runs: u64,
    outcomes: BTreeMap<String, u64>,
}

impl Tally {
    pub(crate) const fn new() -> Self {
        Self {
            cases: 0,
            events: 0,
            runs: 0,
            outcomes: BTreeMap::new(),
        }
    }

    /// Adds a finished case.
    pub(crate) fn add(&mut self, world: &World) {
        self.cases += 1;
        self.events += world.events;
        self.runs += world.oracle.runs.len() as u64;
        for call in &world.oracle.calls {
            let name = format!("{:?}", call.outcome);
            *self.outcomes.entry(name).or_default() += 1;
        }
    }

    pub(crate) fn print(&self, took: Duration) {
        let micros = took.as_micros().max(1);
        let rate = u128::from(self.events) * 1_000_000 / micros;
        println!(
            "fuzz: cases={} steps={} steps_per_second={rate} runs={}",
            self.cases, self.events, self.runs
        );
        for (outcome, count) in &self.outcomes {
            println!("fuzz: outcome={outcome:?} calls={count}");
        }
    }
}
