//! Migration of runs off departing upstreams.

use crate::assignment::AssignmentGuard;
use crate::departures;
use crate::loads;
use crate::log_value::or_empty;
use crate::memory_copy::{copy_memory, stop_and_copy};
use crate::node::Node;
use crate::runs::{EarlierCopy, Run};
use crate::standby_copies;
use fireflycroft::{DepartureAction, Mechanism, Need, UpstreamIx, departure_action};
use fireflycroft_platform::MigrationOutcome;
use rand::{Rng, RngExt};
use std::rc::Rc;
use std::time::Duration;

/// Targets tried before a run is left where it is.
pub(crate) const MAX_TARGETS: usize = 6;

/// Delay after a target without capacity, in which entries receive each other's choices.
pub(crate) const NO_CAPACITY_DELAY: Duration = Duration::from_millis(60);

/// Time over which the choices of targets are spread after a leave notice.
///
/// All entries receive the notice within milliseconds. If they chose at once, they wouldn't know of
/// each other's choices and would overload the same few upstreams.
pub(crate) const MAX_START_DELAY: Duration = Duration::from_millis(40);

/// Migrates runs off departing upstreams until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        node.departure_found.notified().await;
        let left = std::mem::take(&mut *node.departing.borrow_mut());
        for ix in left {
            for run in node.runs.drop_backups_at(ix) {
                if !node.pool.borrow().is_serving(run.at.get()) {
                    start_migration(&node, run);
                }
            }
            for run in standby_copies::drop_held_by(&node, ix) {
                if !node.pool.borrow().is_serving(run.at.get()) {
                    start_migration(&node, run);
                }
            }
            for run in node.runs.at(ix) {
                start_migration(&node, run);
            }
        }
    }
}

/// Starts the migration of a run, unless it has a backup or is being migrated.
pub(crate) fn start_migration(node: &Rc<Node>, run: Rc<Run>) {
    let ix = run.at.get();
    // An ended incarnation runs nothing, and its id and address belong to another one.
    if node.pool.borrow().is_ended(ix) {
        return;
    }
    // A backup holder may have left while the prompt was read, before the run began.
    let holders = [run.backup.get(), run.standby_holder()];
    let mut holders = holders.into_iter().flatten();
    let has_copy = holders.any(|holder| node.pool.borrow().is_serving(holder));
    let needs_migration = departure_action(has_copy) == DepartureAction::Migrate;
    let can_migrate = run.can_migrate && node.policy.uses(Mechanism::Migrations);
    if !needs_migration || !can_migrate || !run.begin_move(ix) {
        return;
    }
    if node.policy.uses(Mechanism::Departures) {
        departures::query_departure(node, ix, run.token_copy_time);
    }
    if standby_copies::are_made(node) {
        return standby_copies::spawn(node, ix, run);
    }
    let node = node.clone();
    tokio::task::spawn_local(async move {
        migrate(&node, ix, &run).await;
        run.end_move(ix);
    });
}

/// Copies a run's memory to another upstream, stops the run and stores the copy for its relay to
/// resume from.
async fn migrate(node: &Rc<Node>, from: UpstreamIx, run: &Run) {
    let mut tried = vec![from];
    let wait = MAX_START_DELAY.mul_f64(rand::rng().random());
    tokio::time::sleep(wait).await;
    while tried.len() <= MAX_TARGETS {
        let need = Need {
            copied_from: Some(from),
            draw: rand::rng().next_u64(),
            ..run.need.get()
        };
        loads::query(node, &run.service, &need, &tried).await;
        let chosen = {
            let pool = node.pool.borrow();
            pool.choose(node.now(), &run.service, &need, &tried)
        };
        let Some(to) = chosen else {
            log_outcome(node, run, from, None, "no target available");
            return;
        };
        tried.push(to);
        let assignment = node.assign(to, need);
        if try_target(node, from, assignment, run).await == TargetOutcome::Settled {
            return;
        }
        tokio::time::sleep(NO_CAPACITY_DELAY).await;
    }
}

/// Outcome of a migration attempt to one target.
#[derive(Clone, Copy, PartialEq, Eq)]
enum TargetOutcome {
    /// The run is migrated, or can't be.
    Settled,
    /// The target has no capacity, and the run continues where it is.
    NoCapacity,
}

/// Copies the memory while the run continues, then stops it and copies the rest.
///
/// Past the stop time, as after a target without capacity for the last part, the run is stopped at
/// once: a full copy made beside it wouldn't be complete before the upstream is gone.
async fn try_target(
    node: &Rc<Node>,
    from: UpstreamIx,
    assignment: AssignmentGuard,
    run: &Run,
) -> TargetOutcome {
    let to = assignment.ix;
    let departure = node.departures.get(from);
    let is_past_stop = departure.is_some_and(|d| node.now() >= d.stop_at());
    let stages: &[bool] = if is_past_stop {
        &[true]
    } else {
        &[false, true]
    };
    let mut has_copy = false;
    for &stop in stages {
        let outcome = if stop {
            wait_until_stop(node, from).await;
            if !run.is_made_at(from) {
                log_outcome(node, run, from, Some(to), "no run there any more");
                return TargetOutcome::Settled;
            }
            stop_and_copy(node, from, to, run).await.0
        } else {
            copy_memory(node, from, to, run).await
        };
        match outcome {
            MigrationOutcome::Copied(memory) if !stop => {
                let earlier = EarlierCopy {
                    at: to,
                    memory,
                    source: from,
                };
                run.store_earlier(node, earlier);
                has_copy = true;
            }
            MigrationOutcome::Copied(memory) => {
                log_outcome(node, run, from, Some(to), "moved");
                run.store_copy(node, assignment, memory, from);
                return TargetOutcome::Settled;
            }
            MigrationOutcome::NoCapacity(Some(memory)) if stop => {
                let what = "stopped, memory kept at the source";
                log_outcome(node, run, from, Some(to), what);
                run.store_copy(node, node.assign(from, run.need.get()), memory, from);
                return TargetOutcome::Settled;
            }
            MigrationOutcome::NoCapacity(_) if !has_copy => {
                log_outcome(node, run, from, Some(to), "no room");
                return TargetOutcome::NoCapacity;
            }
            other => {
                let what = if stop { "last copy" } else { "first copy" };
                log_outcome(node, run, from, Some(to), &format!("{what}: {other:?}"));
                return TargetOutcome::Settled;
            }
        }
    }
    TargetOutcome::Settled
}

/// Waits until the stop time, when the full copies of other runs are likely to be complete.
pub(crate) async fn wait_until_stop(node: &Node, from: UpstreamIx) {
    // A report of the upstream may postpone the stop time meanwhile.
    while let Some(departure) = node.departures.get(from) {
        let stop_at = departure.stop_at();
        if node.now() >= stop_at {
            return;
        }
        tokio::time::sleep_until(node.clock.instant(stop_at)).await;
    }
}

pub(crate) fn log_outcome(
    node: &Node,
    run: &Run,
    from: UpstreamIx,
    to: Option<UpstreamIx>,
    outcome: &str,
) {
    let pool = node.pool.borrow();
    let memory = to.map(|to| format!("{:.2}", pool.view(node.now(), to).memory));
    let since = pool.left_at(from).map(|t| node.now().since(t).as_millis());
    log::info!(
        event = "run_moved", req = &*run.request_id, from = &*pool.record(from).instance,
        to = to.map_or("", |to| &*pool.record(to).instance), outcome = outcome,
        memory_there = or_empty(memory), produced = run.produced.get(), notice_age_ms = or_empty(since);
        ""
    );
}
