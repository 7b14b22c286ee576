//! Orders to stop a run for its migration, by the incarnation of the upstream that they went to.
//!
//! An index in the pool may be another upstream's later, while the run goes on.

use fireflycroft::{StopOrder, StopOrderLog, Time, UpstreamIncarnation};
use fireflycroft_platform::MigrationOutcome;
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// What is known of the orders to stop one run.
#[derive(Default)]
pub struct StopOrders {
    by_upstream: RefCell<Vec<(UpstreamIncarnation, StopOrderLog)>>,
    last_sent: Cell<Option<Time>>,
    settled: Notify,
}

/// Answer to a call that copies memory.
pub struct CopyAnswer {
    /// Its status.
    pub status: u16,
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
    pub fn at(&self, upstream: &UpstreamIncarnation) -> StopOrder {
        let orders = self.by_upstream.borrow();
        let known = orders.iter().find(|(at, _)| may_be_same(at, upstream));
        known.map_or_else(StopOrder::default, |(_, orders)| orders.known())
    }

    /// Returns the time at which the last order was sent, to any upstream.
    #[must_use]
    pub const fn last_sent(&self) -> Option<Time> {
        self.last_sent.get()
    }

    /// Records that an order is sent.
    pub fn send(&self, upstream: &UpstreamIncarnation, now: Time) {
        self.last_sent.set(Some(now));
        self.update(upstream, StopOrderLog::send);
    }

    /// Records what became of an order.
    pub fn settle(&self, upstream: &UpstreamIncarnation, outcome: StopOrder) {
        self.update(upstream, |orders| orders.settle(outcome));
        self.settled.notify_waiters();
    }

    /// Waits until no order to an upstream is out.
    pub async fn until_settled(&self, upstream: &UpstreamIncarnation) {
        loop {
            let settled = self.settled.notified();
            if self.at(upstream) != StopOrder::Out {
                return;
            }
            settled.await;
        }
    }

    /// Records that the request's run may begin at an upstream from now on.
    pub fn begin_run(&self, upstream: &UpstreamIncarnation) {
        self.update(upstream, StopOrderLog::begin_run);
    }

    fn update(&self, upstream: &UpstreamIncarnation, change: impl FnOnce(&mut StopOrderLog)) {
        let mut by_upstream = self.by_upstream.borrow_mut();
        let known = by_upstream.iter_mut();
        let mut known = known.filter(|(at, _)| may_be_same(at, upstream));
        if let Some((_, orders)) = known.next() {
            return change(orders);
        }
        let mut orders = StopOrderLog::default();
        change(&mut orders);
        by_upstream.push((upstream.clone(), orders));
    }
}

/// Returns whether an order to `ordered` may have reached the run at `upstream`, whose start may have become known since.
fn may_be_same(ordered: &UpstreamIncarnation, upstream: &UpstreamIncarnation) -> bool {
    let is_known = ordered.incarnation.is_known();
    ordered.instance == upstream.instance
        && (!is_known || ordered.incarnation == upstream.incarnation)
}

impl CopyAnswer {
    /// Returns what the answer says about the order to stop that its call bore.
    #[must_use]
    pub const fn stop_order(&self) -> StopOrder {
        let has_stopped = match &self.outcome {
            MigrationOutcome::Copied(_) | MigrationOutcome::NoCapacity(Some(_)) => true,
            MigrationOutcome::NoCapacity(None) => !self.is_refused,
            _ => false,
        };
        match &self.outcome {
            _ if has_stopped && self.is_repeat => StopOrder::StoppedByRepeat,
            _ if has_stopped => StopOrder::Stopped,
            // The first of the two may have stopped what the second didn't find.
            _ if self.is_repeat => StopOrder::Lost,
            MigrationOutcome::NoSuchRun => StopOrder::NoSuchRun,
            MigrationOutcome::Busy => StopOrder::Busy,
            _ if self.is_refused => StopOrder::Refused,
            MigrationOutcome::Malformed
            | MigrationOutcome::Copied(_)
            | MigrationOutcome::NoCapacity(_) => StopOrder::Lost,
        }
    }
}
