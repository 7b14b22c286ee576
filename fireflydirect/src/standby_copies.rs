//! Standby copies of runs, made while departures may go unannounced.
//!
//! The run goes on where it is, and resumes from its copy when its engine ends. So nothing is
//! stopped, and no caller waits for a last part behind the whole copies of other runs.

use crate::departures::fetch_report;
use crate::job::Job;
use crate::loads;
use crate::log_value::or_empty;
use crate::memory_copy::copy_memory;
use crate::migration::{
    MAX_START_DELAY, MAX_TARGETS, NO_CAPACITY_DELAY, start_migration, wait_until_stop,
};
use crate::node::Node;
use crate::own_calls::call_upstream;
use crate::runs::{MigrationCopy, Run};
use bytes::Bytes;
use fireflycroft::{
    Exposure, GiveUpReason, HeldCopy, MAX_HOLDER_FILL, Mechanism, MemoryCopy, Need, UpstreamIx,
    give_up_reason, max_fill_for_copy, needs_same_incarnation,
};
use fireflycroft_platform::{MigrationOutcome, release_path};
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use rand::{Rng, RngExt};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Interval between reviews of copies and of runs without one.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);

/// Runs copied at a time by one entry without a departure: their engines' links carry moves too.
const MAX_CONCURRENT: usize = 4;

/// Timeout for a call that frees a copy.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Bounds of the time that a token takes, while a run's own pace is uncertain.
const TOKEN_TIMES: [Duration; 2] = [Duration::from_millis(4), Duration::from_millis(40)];

/// Returns whether runs get standby copies now.
#[must_use]
pub fn are_made(node: &Node) -> bool {
    node.is_store_silent() && node.policy.uses(Mechanism::StandbyCopies)
}

/// Makes copies of exposed runs and gives up others until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        tokio::time::sleep(REVIEW_INTERVAL).await;
        for run in node.runs.all() {
            let superseded = run.take_superseded();
            node.unused_copies.borrow_mut().extend(superseded);
        }
        for copy in node.unused_copies.take() {
            release(&node, copy.source, copy.memory);
        }
        give_up_some(&node);
        if are_made(&node) {
            make_some(&node);
        }
    }
}

/// Returns the risk of a run that is about to begin on an upstream.
pub fn risk_at_start(job: &Job, at: UpstreamIx, need: &Need) -> f64 {
    if !are_made(&job.node) {
        return 0.0;
    }
    let token_copy_time = job.engine.map_or(Duration::ZERO, |e| e.token_copy_time);
    let expected = u32::try_from(need.tokens.saturating_sub(need.prompt)).unwrap_or(u32::MAX);
    exposure(&job.node, at, token_copy_time, TOKEN_TIMES[0] * expected).risk()
}

fn exposure(
    node: &Node,
    at: UpstreamIx,
    token_copy_time: Duration,
    remaining: Duration,
) -> Exposure {
    let now = node.now();
    let pool = node.pool.borrow();
    let service = &pool.record(at).service;
    let rate = node.departure_rate.borrow();
    let tokens = u32::try_from(pool.view(now, at).placed.tokens).unwrap_or(u32::MAX);
    Exposure {
        departures_per_second: rate.per_second(now, service, pool.count(service)),
        remaining,
        engine_copy_time: token_copy_time * tokens,
        is_watched: node.policy.uses(Mechanism::DepartureWatch),
        is_hinted: node.departure_watch.borrow().is_hinted(now, at) || !pool.is_serving(at),
    }
}

fn risk(node: &Node, run: &Run) -> f64 {
    let produced = u32::try_from(run.produced.get()).unwrap_or(u32::MAX).max(1);
    let token_time = (node.now().since(run.began) / produced).clamp(TOKEN_TIMES[0], TOKEN_TIMES[1]);
    let need = run.need.get();
    let left = need
        .tokens
        .saturating_sub(need.prompt + u64::from(produced));
    let left = u32::try_from(left).unwrap_or(u32::MAX);
    let remaining = token_time.saturating_mul(left);
    exposure(node, run.at.get(), run.token_copy_time, remaining).risk()
}

/// Begins copies of runs without one, the most exposed first, as far as memory allows.
fn make_some(node: &Rc<Node>) {
    let now = node.now();
    let runs = node.runs.all();
    let copying = runs.iter().filter(|r| r.is_moving()).count();
    let needs_copy = |run: &Rc<Run>| {
        run.can_migrate
            && run.produced.get() > 0
            && run.backup.get().is_none()
            && run.migration_copy.borrow().is_none()
            && !run.is_moving()
            && !node.pool.borrow().is_ended(run.at.get())
    };
    let exposed = runs.into_iter().filter(needs_copy);
    let mut exposed: Vec<(f64, Rc<Run>)> = exposed.map(|run| (risk(node, &run), run)).collect();
    exposed.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    let mut left = MAX_CONCURRENT.saturating_sub(copying);
    for (risk, run) in exposed {
        if !node.pool.borrow().is_serving(run.at.get()) {
            start_migration(node, run);
            continue;
        }
        let fill = node.pool.borrow().service_memory_share(now, &run.service);
        if left == 0 || fill > max_fill_for_copy(risk) {
            continue;
        }
        left -= 1;
        let at = run.at.get();
        if run.begin_move(at) {
            spawn(node, at, run);
        }
    }
}

/// Copies a run in a task of its own; its move has begun.
pub fn spawn(node: &Rc<Node>, from: UpstreamIx, run: Rc<Run>) {
    let node = node.clone();
    tokio::task::spawn_local(async move {
        copy(&node, from, &run).await;
        run.end_move(from);
    });
}

/// Copies a run to one of several targets, and what is new shortly before its engine ends.
async fn copy(node: &Rc<Node>, from: UpstreamIx, run: &Run) {
    let mut tried = vec![from];
    tokio::time::sleep(MAX_START_DELAY.mul_f64(rand::rng().random())).await;
    while tried.len() <= MAX_TARGETS && run.at.get() == from {
        let need = Need {
            is_copy: true,
            unread: 0,
            copied_from: Some(from),
            draw: rand::rng().next_u64(),
            ..run.need.get()
        };
        loads::query(node, &run.service, &need, &tried).await;
        let chosen = {
            let pool = node.pool.borrow();
            let chosen = pool.choose(node.now(), &run.service, &need, &tried);
            let leaves = !pool.is_serving(from);
            chosen.filter(|to| leaves || pool.memory_share(node.now(), *to) <= MAX_HOLDER_FILL)
        };
        let Some(to) = chosen else {
            return log_copy(node, run, from, None, "no_target");
        };
        tried.push(to);
        let assignment = node.assign(to, need);
        match copy_memory(node, from, to, run).await {
            MigrationOutcome::Copied(memory) if run.at.get() == from => {
                log_copy(node, run, from, Some(to), "made");
                let copy = MigrationCopy {
                    assignment,
                    memory,
                    source: from,
                    stands_by: true,
                };
                run.store(node, copy);
                // The stream may wait for it already.
                run.migration_ended.notify_waiters();
                return refresh(node, from, to, run).await;
            }
            MigrationOutcome::Copied(memory) => return release(node, from, memory),
            MigrationOutcome::NoCapacity(_) => log_copy(node, run, from, Some(to), "no_room"),
            _ => return log_copy(node, run, from, Some(to), "failed"),
        }
        tokio::time::sleep(NO_CAPACITY_DELAY).await;
    }
}

/// Copies what is new shortly before a departing engine ends, while the run goes on.
async fn refresh(node: &Rc<Node>, from: UpstreamIx, to: UpstreamIx, run: &Run) {
    if node.pool.borrow().is_serving(from) {
        return;
    }
    wait_until_stop(node, from).await;
    if run.at.get() != from || run.standby_holder() != Some(to) {
        return;
    }
    if let MigrationOutcome::Copied(memory) = copy_memory(node, from, to, run).await
        && let Some(copy) = run.migration_copy.borrow_mut().as_mut()
        && run.at.get() == from
    {
        copy.memory = memory;
    }
}

/// Gives up copies that aren't worth their memory, the least exposed first.
fn give_up_some(node: &Rc<Node>) {
    let now = node.now();
    let runs = node.runs.all().into_iter();
    let held = runs.filter_map(|run| Some((run.standby_holder()?, run)));
    let held = held.filter(|(_, run)| !run.is_moving());
    let mut held: Vec<(f64, UpstreamIx, Rc<Run>)> = held
        .map(|(holder, run)| (risk(node, &run), holder, run))
        .collect();
    held.sort_by(|(a, ..), (b, ..)| a.total_cmp(b));
    for (risk, holder, run) in held {
        let reason = {
            let pool = node.pool.borrow();
            let copy = HeldCopy {
                risk,
                holder_fill: pool.memory_share(now, holder),
                holder_serves: pool.is_serving(holder),
                source_leaves: risk >= 1.0,
            };
            let fill = pool.service_memory_share(now, &run.service);
            give_up_reason(are_made(node), fill, &copy)
        };
        if let Some(reason) = reason {
            give_up(node, &run, risk, reason);
        }
    }
}

fn give_up(node: &Rc<Node>, run: &Run, risk: f64, reason: GiveUpReason) {
    let Some(copy) = run.migration_copy.borrow_mut().take() else {
        return;
    };
    let pool = node.pool.borrow();
    log::info!(
        event = "standby_copy_given_up", req = &*run.request_id,
        at = &*pool.record(copy.assignment.ix).instance, reason = reason.name(),
        risk = format!("{risk:.3}"), produced = run.produced.get(),
        holder_memory = format!("{:.2}", pool.memory_share(node.now(), copy.assignment.ix)),
        service_memory = format!("{:.2}", pool.service_memory_share(node.now(), &run.service));
        ""
    );
    drop(pool);
    count(node, reason.name());
    release(node, copy.source, copy.memory);
}

/// Drops the standby copies held by an upstream that leaves, and returns their runs.
pub fn drop_held_by(node: &Rc<Node>, ix: UpstreamIx) -> Vec<Rc<Run>> {
    let runs = node.runs.all().into_iter();
    let held: Vec<Rc<Run>> = runs.filter(|r| r.standby_holder() == Some(ix)).collect();
    for run in &held {
        give_up(node, run, risk(node, run), GiveUpReason::HolderLeaves);
    }
    held
}

/// Gives up the standby copy of a run whose stream broke late, unless its source is known to be in the
/// incarnation that made it, or to be gone.
pub async fn check_source(node: &Rc<Node>, run: &Run, since_last_event: Duration) {
    let source = run.at.get();
    if run.standby_holder().is_none() || !needs_same_incarnation(since_last_event) {
        return;
    }
    let expected = node.pool.borrow().record(source).incarnation;
    let is_same = match fetch_report(node, source).await {
        Ok(fetched) => fetched.report.incarnation == expected,
        Err(e) => {
            let io = e.downcast_ref::<io::Error>();
            io.is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
        }
    };
    if !is_same {
        give_up(node, run, risk(node, run), GiveUpReason::SourceUnknown);
    }
}

/// Has the copies of a run whose stream has ended freed at the next review.
pub fn release_unused(node: &Node, run: &Run) {
    node.unused_copies.borrow_mut().extend(run.end());
}

/// Frees a copy at its source and its holder, in a task of its own; one that can't be freed expires.
fn release(node: &Rc<Node>, source: UpstreamIx, memory: MemoryCopy) {
    // Its handles may name the memory of other requests in its next incarnation.
    if node.pool.borrow().is_ended(source) {
        return;
    }
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let freeing = tokio::time::timeout(RELEASE_TIMEOUT, send_release(&node, source, &memory));
        let why = match freeing.await {
            Ok(Ok(())) => return,
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        let instance = node.pool.borrow().record(source).instance.clone();
        log::info!(event = "standby_copy_not_freed", instance = &*instance, why = why; "");
    });
}

async fn send_release(node: &Node, source: UpstreamIx, memory: &MemoryCopy) -> anyhow::Result<()> {
    let record = node.pool.borrow().record(source).clone();
    node.pool.borrow_mut().record_sending(node.now(), source);
    let req = Request::delete(release_path(&memory.handle))
        .header(HOST, record.addr.to_string())
        .body(Full::new(Bytes::new()))?;
    let goes_on = || !node.pool.borrow().is_ended(source);
    call_upstream(&node.own_links, &record, RELEASE_TIMEOUT, goes_on, req).await?;
    Ok(())
}

fn log_copy(node: &Node, run: &Run, from: UpstreamIx, to: Option<UpstreamIx>, end: &str) {
    let pool = node.pool.borrow();
    let memory = to.map(|to| format!("{:.2}", pool.memory_share(node.now(), to)));
    log::info!(
        event = "standby_copy", req = &*run.request_id, from = &*pool.record(from).instance,
        to = to.map_or("", |to| &*pool.record(to).instance), end = end,
        memory_there = or_empty(memory), produced = run.produced.get(),
        leaves = !pool.is_serving(from);
        ""
    );
    count(node, end);
}

fn count(node: &Node, end: &str) {
    node.metrics.standby_copies.with_label_values(&[end]).inc();
}
