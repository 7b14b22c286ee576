//! Orders to stop a run for its migration, by the upstream that they went to.

use fireflycroft::{StopOrder, UpstreamIx};
use fireflycroft_platform::MigrationOutcome;
use std::cell::RefCell;
use std::collections::HashMap;
use tokio::sync::Notify;

/// What is known of the orders to stop one run.
#[derive(Default)]
pub struct StopOrders {
    by_upstream: RefCell<HashMap<UpstreamIx, StopOrder>>,
    settled: Notify,
}

/// Answer to a call that copies memory.
pub struct CopyAnswer {
    /// What the upstream answered.
    pub outcome: MigrationOutcome,
    /// Whether it says that the call wasn't carried out.
    pub is_refused: bool,
    /// Whether it may have got the call before, unanswered.
    pub is_repeat: bool,
}

impl StopOrders {
    /// Returns what is known of the orders to an upstream.
    #[must_use]
    pub fn at(&self, ix: UpstreamIx) -> StopOrder {
        self.by_upstream
            .borrow()
            .get(&ix)
            .copied()
            .unwrap_or_default()
    }

    /// Records that an order is sent.
    pub fn send(&self, ix: UpstreamIx) {
        self.by_upstream.borrow_mut().entry(ix).or_default().send();
    }

    /// Records what became of an order.
    pub fn settle(&self, ix: UpstreamIx, outcome: StopOrder) {
        let mut orders = self.by_upstream.borrow_mut();
        orders.entry(ix).or_default().settle(outcome);
        self.settled.notify_waiters();
    }

    /// Waits until no order to an upstream is out.
    pub async fn until_settled(&self, ix: UpstreamIx) {
        loop {
            let settled = self.settled.notified();
            if self.at(ix) != StopOrder::Out {
                return;
            }
            settled.await;
        }
    }

    /// Records that the request's run begins at an upstream.
    pub fn begin_run(&self, ix: UpstreamIx) {
        let mut orders = self.by_upstream.borrow_mut();
        if let Some(order) = orders.get_mut(&ix) {
            order.begin_run();
        }
    }
}

impl CopyAnswer {
    /// Returns what the answer says about the order to stop that its call bore.
    #[must_use]
    pub const fn stop_order(&self) -> StopOrder {
        match &self.outcome {
            MigrationOutcome::Copied(_) | MigrationOutcome::NoCapacity(Some(_)) => {
                StopOrder::Stopped
            }
            MigrationOutcome::NoCapacity(None) if !self.is_refused => StopOrder::Stopped,
            // The first of the two may have stopped what the second didn't find.
            _ if self.is_repeat => StopOrder::Lost,
            MigrationOutcome::NoSuchRun => StopOrder::NoSuchRun,
            MigrationOutcome::Busy => StopOrder::Busy,
            _ if self.is_refused => StopOrder::Refused,
            MigrationOutcome::Malformed | MigrationOutcome::NoCapacity(None) => StopOrder::Lost,
        }
    }
}
