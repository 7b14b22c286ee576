//! Orders to stop the runs of a request for their migration, by the incarnation of the upstream that they went to.
//!
//! An index in the pool may be another upstream's later, while a run goes on.

use fireflycroft::{RunNumber, StopOrder, StopOrderIx, StopOrderLog, Time, UpstreamIncarnation};
use fireflycroft_platform::MigrationOutcome;
use std::cell::RefCell;
use tokio::sync::Notify;

/// What is known of the orders to stop the runs of one request.
#[derive(Default)]
pub struct StopOrders {
    by_upstream: RefCell<Vec<(UpstreamIncarnation, StopOrderLog)>>,
    settled: Notify,
}

/// A run of the request at one upstream.
#[derive(Clone, Debug)]
pub struct RunKey {
    at: UpstreamIncarnation,
    run: RunNumber,
}

/// An order that was sent.
#[derive(Clone, Copy, Debug)]
pub struct OrderKey {
    upstream: usize,
    order: StopOrderIx,
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
    /// Returns the run that began last at an upstream.
    #[must_use]
    pub fn run_at(&self, upstream: &UpstreamIncarnation) -> RunKey {
        let run = self.log_at(upstream, StopOrderLog::run);
        RunKey {
            at: upstream.clone(),
            run: run.unwrap_or_default(),
        }
    }

    /// Returns what is known of the orders to a run.
    #[must_use]
    pub fn to_run(&self, run: &RunKey) -> StopOrder {
        let known = self.log_at(&run.at, |orders| orders.known(run.run));
        known.unwrap_or_default()
    }

    /// Returns what is known of the orders to the run that began last at an upstream.
    #[must_use]
    pub fn at(&self, upstream: &UpstreamIncarnation) -> StopOrder {
        self.to_run(&self.run_at(upstream))
    }

    /// Returns whether the run that began last at an upstream was ordered to stop itself, and may yet be.
    #[must_use]
    pub fn is_being_stopped(&self, upstream: &UpstreamIncarnation) -> bool {
        let is = self.log_at(upstream, |orders| orders.is_being_stopped(orders.run()));
        is.unwrap_or_default()
    }

    /// Returns the time at which the last order to an upstream was sent.
    #[must_use]
    pub fn last_sent(&self, upstream: &UpstreamIncarnation) -> Option<Time> {
        self.log_at(upstream, |orders| orders.last_sent(orders.run()))?
    }

    /// Records that an order is sent.
    pub fn send(&self, upstream: &UpstreamIncarnation, now: Time) -> OrderKey {
        self.update(upstream, |upstream, orders| OrderKey {
            upstream,
            order: orders.send(now),
        })
    }

    /// Records what became of an order.
    pub fn settle(&self, order: OrderKey, outcome: StopOrder) {
        if let Some((_, orders)) = self.by_upstream.borrow_mut().get_mut(order.upstream) {
            orders.settle(order.order, outcome);
        }
        self.settled.notify_waiters();
    }

    /// Waits until no order to a run is out.
    pub async fn until_settled(&self, run: &RunKey) {
        loop {
            let settled = self.settled.notified();
            let is_any_out = self.log_at(&run.at, |orders| orders.is_any_out(run.run));
            if is_any_out != Some(true) {
                return;
            }
            settled.await;
        }
    }

    /// Records that the request's run may begin at an upstream from now on.
    pub fn begin_run(&self, upstream: &UpstreamIncarnation) {
        self.update(upstream, |_, orders| orders.begin_run());
    }

    fn log_at<T>(
        &self,
        upstream: &UpstreamIncarnation,
        read: impl FnOnce(&StopOrderLog) -> T,
    ) -> Option<T> {
        let by_upstream = self.by_upstream.borrow();
        let mut known = by_upstream.iter();
        let known = known.find(|(at, _)| may_be_same(at, upstream));
        known.map(|(_, orders)| read(orders))
    }

    fn update<T>(
        &self,
        upstream: &UpstreamIncarnation,
        change: impl FnOnce(usize, &mut StopOrderLog) -> T,
    ) -> T {
        let mut by_upstream = self.by_upstream.borrow_mut();
        let mut known = by_upstream.iter();
        let ix = known.position(|(at, _)| may_be_same(at, upstream));
        let ix = ix.unwrap_or(by_upstream.len());
        if ix == by_upstream.len() {
            by_upstream.push((upstream.clone(), StopOrderLog::default()));
        }
        change(ix, &mut by_upstream[ix].1)
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
        let has_stopped = matches!(
            &self.outcome,
            MigrationOutcome::Copied(_) | MigrationOutcome::NoCapacity(Some(_))
        );
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
