//! Start, maintenance and stop of one process.

use crate::node::{Node, Stage};
use crate::settings::Settings;
use crate::{
    announce, callers, crash_sync, departure_watch, feed, migration, readiness, receive, reports,
    standby_copies, state_page,
};
use anyhow::Context;
use fireflycroft::{PlannedStop, Time};
use fireflycroft_platform::Kind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;

/// Interval between checks for work still in flight during a stop.
const STOP_CHECK: Duration = Duration::from_millis(25);

/// Interval between two maintenance rounds.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Serves until the process is terminated and its work has ended or the grace period is over.
///
/// # Errors
///
/// Returns an error if the settings are invalid or an address can't be bound.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let place = settings.read_place()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let node = Rc::new(Node::new(place, settings.policy())?);
    start(&node).await?;
    let version = env!("CARGO_PKG_VERSION");
    log::info!(
        event = "started", vm = &*node.place.vm, data_centre = &*node.place.data_centre,
        callers = node.place.caller_addr.to_string(), program_version = version,
        without = settings.disabled_names();
        ""
    );
    spawn_local(crate::reload::follow(node.clone(), settings));
    terminate.recv().await;
    stop(&node).await;
    Ok(())
}

async fn start(node: &Rc<Node>) -> anyhow::Result<()> {
    let place = &node.place;
    let peer_addr = SocketAddr::from((place.ip, place.peer_ports.0));
    let peer_socket = UdpSocket::bind(peer_addr)
        .await
        .with_context(|| format!("binding {peer_addr}"))?;
    let peer_listener = bind(peer_addr)?;
    let readiness = bind(place.readiness_addr)?;
    let callers = bind(place.caller_addr)?;
    if let Some(operators) = place.operator_addr {
        let listener = bind(operators)?;
        spawn_local(state_page::serve(node.clone(), listener, "operators"));
    }
    spawn_local(feed::follow(node.clone(), Kind::Config));
    spawn_local(feed::follow(node.clone(), Kind::Upstreams));
    if node.place.bounds.evacuation_timeout.is_some() {
        spawn_local(feed::follow(node.clone(), Kind::Evacuations));
    }
    let peer_socket = Rc::new(peer_socket);
    node.datagrams.set_socket(peer_socket.clone());
    spawn_local(receive::listen(node.clone(), peer_socket));
    spawn_local(announce::run(node.clone()));
    spawn_local(reports::run(node.clone()));
    spawn_local(state_page::serve(node.clone(), peer_listener, "peers"));
    spawn_local(crash_sync::run(node.clone()));
    spawn_local(readiness::serve(node.clone(), readiness));
    spawn_local(callers::accept(node.clone(), callers));
    spawn_local(migration::run(node.clone()));
    spawn_local(departure_watch::run(node.clone()));
    spawn_local(standby_copies::run(node.clone()));
    spawn_local(maintain(node.clone()));
    Ok(())
}

fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    fireflynet::listen(addr).with_context(|| format!("binding {addr}"))
}

async fn maintain(node: Rc<Node>) {
    loop {
        tokio::time::sleep_until(node.clock.instant(next_maintenance(&node))).await;
        node.links.close_expired();
        node.own_links.close_expired();
        let now = node.now();
        let changes = node.pool.borrow_mut().remove_missing(now);
        node.apply_pool_changes(changes, "missing");
        node.crash_evidence.borrow_mut().expire(now);
        node.configs.borrow_mut().remove_expired(now);
    }
}

/// Returns the time of the next maintenance round: at the latest the end of the grace period in
/// which removals are unconfirmed, since a departed upstream may get work until then.
fn next_maintenance(node: &Node) -> Time {
    let now = node.now();
    let settles_at = node.pool.borrow().store_connectivity().settles_at();
    let settles_at = settles_at.filter(|at| *at > now);
    let due = now + MAINTENANCE_INTERVAL;
    settles_at.map_or(due, |at| at.min(due))
}

/// Stops the process; work in flight may finish within the grace period.
///
/// An answer is over when its connection has closed: the HTTP library holds the last bytes that a slow caller has not
/// taken yet, and closes a connection only once the kernel has them all.
async fn stop(node: &Rc<Node>) {
    let planned = PlannedStop::new(node.now(), node.place.bounds.grace);
    node.planned_stop.set(Some(planned));
    log::info!(event = "stopping", busy = node.calls_in_flight.get(), streams = node.runs.count(); "");
    node.set_stage(Stage::Draining);
    node.announce_to_all_now();
    tokio::time::sleep_until(node.clock.instant(planned.accepts_until)).await;
    node.set_stage(Stage::Closing);
    tokio::time::sleep_until(node.clock.instant(planned.refuses_until)).await;
    while node.answering_connections.get() > 0 && node.now() < planned.ends_at {
        tokio::time::sleep(STOP_CHECK).await;
    }
    log::info!(
        event = "stopped", busy = node.calls_in_flight.get(),
        unwritten = node.answering_connections.get();
        ""
    );
}
