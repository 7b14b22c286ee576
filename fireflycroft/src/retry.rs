//! A budget for restarts, so that failures cannot become a storm.

/// Restarts allowed: a share of the requests, with a small reserve.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tenths: u32,
}

const RESERVE_TENTHS: u32 = 200;
const COST_TENTHS: u32 = 10;

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tenths: RESERVE_TENTHS,
        }
    }
}

impl RetryBudget {
    /// Notes a new request, which earns a tenth of a restart.
    pub fn earn(&mut self) {
        self.tenths = (self.tenths + 1).min(RESERVE_TENTHS);
    }

    /// Takes one restart if the budget holds it.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.tenths.checked_sub(COST_TENTHS) else {
            return false;
        };
        self.tenths = left;
        true
    }
}
