//! Faults that a test switches on and off.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A change of the faults in force; fields left out stay as they are.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPatch {
    /// Whether every call fails with 503.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<bool>,
    /// Milliseconds by which each call is held up before it runs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hang_ms: Option<u64>,
    /// Writes that will take effect and be answered with 504.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_write_answers: Option<u64>,
    /// Milliseconds by which reads are behind.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stale_read_ms: Option<u64>,
    /// Milliseconds by which answers of watches are held back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub watch_lag_ms: Option<u64>,
    /// Milliseconds by which the VM list is behind.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub vm_lag_ms: Option<u64>,
    /// Revision to go back to, at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub restore_to_revision: Option<u64>,
}

/// The faults in force.
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
    /// Takes over the fields that `patch` holds.
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

    /// Whether the answer to the write that just took effect is lost.
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
