//! Moving runs off upstreams that have announced their leaving.

use crate::departures;
use crate::figure::or_empty;
use crate::links::call_whole;
use crate::loads;
use crate::node::Node;
use crate::placed::PlacedGuard;
use crate::runs::{Refuge, Run};
use bytes::Bytes;
use fireflycroft::{DepartureAction, Mechanism, Need, UpstreamIx, departure_action};
use fireflycroft_platform::{MoveOutcome, move_call, read_move};
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use rand::{Rng, RngExt};
use std::rc::Rc;
use std::time::Duration;

/// Longest time for one copy; after that the upstream is gone anyway.
const COPY_TIMEOUT: Duration = Duration::from_secs(4);

/// Upstreams that are asked to take a run before it is left where it is.
const MAX_TARGETS: usize = 6;

/// Pause after an upstream had no room, in which the entries hear of each other's choices.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(60);

/// Time over which the choices of targets are spread when an upstream leaves.
///
/// All entries hear of it within milliseconds; choosing at once, they would not know of each other's
/// choices and crowd on the same few upstreams.
const SPREAD: Duration = Duration::from_millis(40);

/// Saves runs for as long as the process lives.
pub async fn run(node: Rc<Node>) {
    loop {
        node.leaving.notified().await;
        let left = std::mem::take(&mut *node.left.borrow_mut());
        for ix in left {
            for run in node.runs.drop_backups_at(ix) {
                if !node.pool.borrow().is_serving(run.at.get()) {
                    consider(&node, run);
                }
            }
            for run in node.runs.at(ix) {
                consider(&node, run);
            }
        }
    }
}

/// Starts to move a run off the upstream that runs it, unless it has a copy or is on its way.
fn consider(node: &Rc<Node>, run: Rc<Run>) {
    let ix = run.at.get();
    // A life that has ended runs nothing, and its id and address belong to another one.
    if node.pool.borrow().is_ended(ix) {
        return;
    }
    // A keeper may have left before the run began, while its prompt was read.
    let keeper = run.backup.get();
    let has_copy = keeper.is_some_and(|k| node.pool.borrow().is_serving(k));
    let wanted = departure_action(has_copy) == DepartureAction::Migrate;
    let can_move = run.can_move && node.policy.uses(Mechanism::Migrations);
    if !wanted || !can_move || run.moving.replace(true) {
        return;
    }
    if node.policy.uses(Mechanism::Departures) {
        departures::note(node, ix, run.token_copy_time);
    }
    let node = node.clone();
    tokio::task::spawn_local(async move {
        save(&node, ix, &run).await;
        run.moving.set(false);
        run.moved.notify_waiters();
    });
}

/// Copies a run's memory elsewhere, stops it, and leaves the copy for its relay to go on from.
async fn save(node: &Rc<Node>, from: UpstreamIx, run: &Run) {
    let mut asked = vec![from];
    let wait = SPREAD.mul_f64(rand::rng().random());
    tokio::time::sleep(wait).await;
    while asked.len() <= MAX_TARGETS {
        let need = Need {
            copied_from: Some(from),
            draw: rand::rng().next_u64(),
            ..run.need.get()
        };
        loads::ask(node, &run.service, &need, &asked).await;
        let chosen = {
            let pool = node.pool.borrow();
            pool.choose(node.now(), &run.service, &need, &asked)
        };
        let Some(to) = chosen else {
            say(node, run, from, None, "nowhere to go");
            return;
        };
        asked.push(to);
        let placed = node.place(to, need);
        if try_target(node, from, placed, run).await == Target::Settled {
            return;
        }
        tokio::time::sleep(NO_ROOM_PAUSE).await;
    }
}

/// Whether another target is worth asking.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Target {
    /// The run is moved, or can't be.
    Settled,
    /// This one has no room, and the run goes on where it is.
    HasNoRoom,
}

/// Copies while the run goes on, then stops it and copies what is new.
///
/// Where the time to stop has come, as after a target that had no room for the last part, the run is
/// stopped at once: a whole copy beside it would not be done before the upstream is gone.
async fn try_target(node: &Rc<Node>, from: UpstreamIx, placed: PlacedGuard, run: &Run) -> Target {
    let to = placed.ix;
    let departure = node.departures.get(from);
    let is_late = departure.is_some_and(|d| node.now() >= d.stop_at());
    let stages: &[bool] = if is_late { &[true] } else { &[false, true] };
    for &stop in stages {
        if stop {
            wait_for_calm(node, from).await;
        }
        match copy(node, from, to, run, stop).await {
            MoveOutcome::Copied(_) if !stop => {}
            MoveOutcome::Copied(memory) => {
                say(node, run, from, Some(to), "moved");
                *run.refuge.borrow_mut() = Some(Refuge {
                    placed,
                    memory,
                    source: from,
                });
                return Target::Settled;
            }
            MoveOutcome::NoRoom(Some(memory)) if stop => {
                say(node, run, from, Some(to), "stopped, kept at the source");
                let placed = node.place(from, run.need.get());
                *run.refuge.borrow_mut() = Some(Refuge {
                    placed,
                    memory,
                    source: from,
                });
                return Target::Settled;
            }
            MoveOutcome::NoRoom(_) => {
                say(node, run, from, Some(to), "no room");
                return Target::HasNoRoom;
            }
            other => {
                let what = if stop { "last copy" } else { "first copy" };
                say(node, run, from, Some(to), &format!("{what}: {other:?}"));
                return Target::Settled;
            }
        }
    }
    Target::Settled
}

/// Waits until the whole copies of other runs are likely to be done.
async fn wait_for_calm(node: &Node, from: UpstreamIx) {
    // What the upstream says meanwhile may put the moment off.
    while let Some(departure) = node.departures.get(from) {
        let stop_at = departure.stop_at();
        if node.now() >= stop_at {
            return;
        }
        tokio::time::sleep_until(node.clock.instant(stop_at)).await;
    }
}

async fn copy(
    node: &Rc<Node>,
    from: UpstreamIx,
    to: UpstreamIx,
    run: &Run,
    stop: bool,
) -> MoveOutcome {
    let calling = call(node, from, to, run, stop);
    let answer = tokio::time::timeout(COPY_TIMEOUT, calling).await;
    match answer {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(e)) => {
            let why = e.to_string();
            log::warn!(event = "move_failed", req = &*run.request_id, why = why; "");
            MoveOutcome::Malformed
        }
        Err(_) => MoveOutcome::Malformed,
    }
}

async fn call(
    node: &Rc<Node>,
    from: UpstreamIx,
    to: UpstreamIx,
    run: &Run,
    stop: bool,
) -> anyhow::Result<MoveOutcome> {
    let (source, target) = {
        let pool = node.pool.borrow();
        (pool.record(from).clone(), pool.record(to).addr)
    };
    node.pool.borrow_mut().record_sending(node.now(), from);
    let (path, body) = move_call(&run.request_id, target, stop);
    let mut link = node
        .links
        .get(&source.upstream_incarnation(), source.addr, COPY_TIMEOUT)
        .await?;
    let req = Request::post(path)
        .header(HOST, source.addr.to_string())
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
        .body(Full::new(Bytes::from(body)))?;
    let answered = call_whole(&mut link, req).await?;
    node.links
        .put_back(&source.upstream_incarnation(), link, None);
    Ok(read_move(source.addr, answered.status, &answered.body))
}

fn say(node: &Node, run: &Run, from: UpstreamIx, to: Option<UpstreamIx>, outcome: &str) {
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
