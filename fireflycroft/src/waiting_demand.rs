//! Memory for which generations wait at other entries, or will be needed by refused callers who return.
//!
//! New generations count it as reserved, and waiting ones don't, so that a newcomer overtakes no one at
//! any entry. The entry that told a caller when to return keeps its place until a second after.

use crate::entry_announcement::ServiceDemand;
use crate::ids::Name;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Lifetime of an entry's announcement: with one lost, a dead entry's demand ends soon.
const DEMAND_LIFETIME: Duration = Duration::from_secs(2);

/// Time before and after the expected return of a caller in which its demand counts.
const EXPECTED_BEFORE: Duration = Duration::from_millis(200);
const EXPECTED_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of callers expected by one entry.
const MAX_EXPECTED: usize = 1_024;

/// Caller who was told when to return.
#[derive(Clone, Debug)]
struct Expected {
    service: Name,
    tokens: u64,
    at: Time,
}

/// Demand for memory beyond what is reserved.
#[derive(Clone, Debug, Default)]
pub struct WaitingDemand {
    of_others: HashMap<Name, (Time, Vec<ServiceDemand>)>,
    expected: Vec<Expected>,
}

impl WaitingDemand {
    /// Applies what another entry announced.
    pub fn apply(&mut self, now: Time, entry: &Name, demands: Vec<ServiceDemand>) {
        self.of_others
            .retain(|_, (at, _)| now.since(*at) < DEMAND_LIFETIME);
        self.of_others.insert(entry.clone(), (now, demands));
    }

    /// Records that a refused caller is expected back.
    pub fn expect_return(&mut self, now: Time, at: Time, demand: ServiceDemand) {
        self.expected.retain(|e| now < e.at + EXPECTED_AFTER);
        if self.expected.len() < MAX_EXPECTED {
            self.expected.push(Expected {
                service: demand.service,
                tokens: demand.tokens,
                at,
            });
        }
    }

    /// Returns the tokens for which generations wait at the `others` entries.
    ///
    /// In a large fleet an entry hears from some of the others only within the lifetime; these
    /// represent the rest.
    #[must_use]
    pub fn of_others(&self, now: Time, service: &Name, others: usize) -> u64 {
        let valid = self.of_others.values();
        let valid = valid.filter(|(at, _)| now.since(*at) < DEMAND_LIFETIME);
        let (mut heard, mut tokens) = (0, 0);
        for (_, demands) in valid {
            heard += 1;
            let of_service = demands.iter().filter(|d| d.service == *service);
            tokens += of_service.map(|d| d.tokens).sum::<u64>();
        }
        if heard == 0 {
            return 0;
        }
        let (others, heard) = (others.max(heard) as u64, heard as u64);
        tokens.saturating_mul(others) / heard
    }

    /// Returns the tokens that callers of this entry need who are expected about now.
    #[must_use]
    pub fn expected(&self, now: Time, service: &Name) -> u64 {
        let about_now = |e: &&Expected| {
            e.service == *service && e.at < now + EXPECTED_BEFORE && now < e.at + EXPECTED_AFTER
        };
        let expected = self.expected.iter().filter(about_now);
        expected.map(|e| e.tokens).sum()
    }
}
