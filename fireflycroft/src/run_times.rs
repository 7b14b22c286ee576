//! Time that upstreams need for a request, from what earlier ones on its route took.

use crate::ids::Name;
use crate::pool::Pool;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of routes; beyond it all are forgotten.
const MAX_ROUTES: usize = 1_024;

/// Weight of the latest request in mean and deviation.
const WEIGHT: f64 = 0.125;

/// Deviations above the mean within which most requests end.
const DEVIATIONS: f64 = 2.0;

/// Mean of a route in seconds, and mean deviation from it.
#[derive(Clone, Copy, Debug)]
struct RunTime {
    mean: f64,
    deviation: f64,
}

/// Time that requests take, by route.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    routes: HashMap<Name, RunTime>,
}

impl RunTimes {
    /// Records the time from sending a request to the end of its answer, if it succeeded.
    pub fn record(&mut self, route: &Name, took: Duration) {
        let took = took.as_secs_f64();
        if let Some(earlier) = self.routes.get_mut(route) {
            let off = took - earlier.mean;
            earlier.mean += WEIGHT * off;
            earlier.deviation += WEIGHT * (off.abs() - earlier.deviation);
            return;
        }
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        let first = RunTime {
            mean: took,
            deviation: 0.0,
        };
        self.routes.insert(route.clone(), first);
    }

    /// Returns the time within which most requests of a route end; none before the first.
    #[must_use]
    pub fn expected(&self, route: &Name) -> Option<Duration> {
        let time = self.routes.get(route)?;
        Some(Duration::from_secs_f64(
            time.mean + DEVIATIONS * time.deviation,
        ))
    }
}

impl Pool {
    /// Returns the time that engines of a service take for so many tokens; none before the first.
    #[must_use]
    pub fn generation_time(&self, service: &Name, tokens: u64) -> Option<Duration> {
        let pace = self.pace_of.get(service).filter(|p| p.tokens > 0)?;
        let micros = u128::from(pace.micros) * u128::from(tokens) / u128::from(pace.tokens);
        Some(Duration::from_micros(
            u64::try_from(micros).unwrap_or(u64::MAX),
        ))
    }
}
