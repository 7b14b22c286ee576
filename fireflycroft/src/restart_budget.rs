//! Limits restarts, so that failures cannot cause a restart storm.

/// Budget of restarts: a share of the requests, with a small reserve.
#[derive(Clone, Copy, Debug)]
pub struct RestartBudget {
    credit_tenths: u32,
}

const RESERVE_TENTHS: u32 = 200;
const COST_TENTHS: u32 = 10;

impl Default for RestartBudget {
    fn default() -> Self {
        Self {
            credit_tenths: RESERVE_TENTHS,
        }
    }
}

impl RestartBudget {
    /// Records a new request, which earns a tenth of a restart.
    pub fn earn(&mut self) {
        self.credit_tenths = (self.credit_tenths + 1).min(RESERVE_TENTHS);
    }

    /// Takes one restart; returns false if the budget is exhausted.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.credit_tenths.checked_sub(COST_TENTHS) else {
            return false;
        };
        self.credit_tenths = left;
        true
    }
}
