//! Fault injection.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Partial update of the active faults; omitted fields stay unchanged.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPatch {
    /// Whether every call fails with 503.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Delay of each call before it runs, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hang_ms: Option<u64>,
    /// Number of next writes that take effect but return 504.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_write_answers: Option<u64>,
    /// Staleness of reads, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stale_read_ms: Option<u64>,
    /// Delay of watch responses, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub watch_lag_ms: Option<u64>,
    /// Staleness of the VM list, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub vm_lag_ms: Option<u64>,
    /// Revision to restore immediately.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub restore_to_revision: Option<u64>,
}

/// Active faults.
#[derive(Clone, Debug, Default)]
pub(super) struct Faults {
    pub(super) outage: bool,
    pub(super) hang: Duration,
    pub(super) lose_write_answers: u64,
    pub(super) stale_read: Duration,
    pub(super) watch_lag: Duration,
    pub(super) vm_lag: Duration,
}

impl Faults {
    /// Applies the fields set in `patch`.
    pub(super) fn apply(&mut self, patch: &FaultPatch) {
        set(&mut self.outage, patch.outage);
        set(&mut self.lose_write_answers, patch.lose_write_answers);
        set(&mut self.hang, patch.hang_ms.map(Duration::from_millis));
        set(
            &mut self.stale_read,
            patch.stale_read_ms.map(Duration::from_millis),
        );
        set(
            &mut self.watch_lag,
            patch.watch_lag_ms.map(Duration::from_millis),
        );
        set(&mut self.vm_lag, patch.vm_lag_ms.map(Duration::from_millis));
    }

    /// Consumes one lost write response; returns `false` if none is left.
    pub(super) fn lose_answer(&mut self) -> bool {
        let lost = self.lose_write_answers > 0;
        self.lose_write_answers = self.lose_write_answers.saturating_sub(1);
        lost
    }
}

fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}
