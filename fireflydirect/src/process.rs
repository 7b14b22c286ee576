//! One process from start to stop.

use crate::node::{Node, Stage};
use crate::settings::Settings;
use crate::{callers, feed, hear, mover, readiness, reports, state_page, tell};
use anyhow::Context;
use fireflycroft::Time;
use fireflycroft_platform::Kind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::spawn_local;

/// Time for which a process that was told to stop still takes new requests: the balancer asks
/// once a second and sends callers elsewhere after two refusals.
const DRAIN_FOR: Duration = Duration::from_millis(2_600);

/// Left of the grace when what still runs is cut, so that the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(150);

/// Time between two looks at whether all has ended.
const STOP_CHECK: Duration = Duration::from_millis(25);

/// Time between two rounds of tidying.
const TIDY_EVERY: Duration = Duration::from_millis(500);

/// Serves until the process is told to stop and all has ended.
///
/// # Errors
///
/// When the settings are at fault or an address can't be bound.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let place = settings.read_place()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let node = Rc::new(Node::new(place, settings.policy())?);
    start(&node).await?;
    let version = env!("CARGO_PKG_VERSION");
    log::info!(
        event = "started", vm = &*node.place.vm, data_centre = &*node.place.data_centre,
        callers = node.place.callers.to_string(), program_version = version,
        without = settings.without();
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
    let peer_listener = bind(peer_addr).await?;
    let readiness = bind(place.readiness).await?;
    let callers = bind(place.callers).await?;
    if let Some(operators) = place.operators {
        let listener = bind(operators).await?;
        spawn_local(state_page::answer(node.clone(), listener));
    }
    spawn_local(feed::follow(node.clone(), Kind::Config));
    spawn_local(feed::follow(node.clone(), Kind::Upstreams));
    if node.place.bounds.evacuate.is_some() {
        spawn_local(feed::follow(node.clone(), Kind::Evacuations));
    }
    let peer_socket = Rc::new(peer_socket);
    node.datagrams.set_socket(peer_socket.clone());
    spawn_local(hear::listen(node.clone(), peer_socket));
    spawn_local(tell::run(node.clone()));
    spawn_local(reports::run(node.clone()));
    spawn_local(state_page::answer(node.clone(), peer_listener));
    spawn_local(readiness::answer(node.clone(), readiness));
    spawn_local(callers::accept(node.clone(), callers));
    spawn_local(mover::run(node.clone()));
    spawn_local(tidy(node.clone()));
    Ok(())
}

async fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(addr).await;
    listener.with_context(|| format!("binding {addr}"))
}

async fn tidy(node: Rc<Node>) {
    loop {
        tokio::time::sleep_until(node.clock.instant(next_tidy(&node))).await;
        node.links.tidy();
        let now = node.now();
        let changes = node.pool.borrow_mut().remove_missing(now);
        node.take_changes(changes, "missing");
        node.quarantine.borrow_mut().expire(now);
        node.configs.borrow_mut().tidy(now);
    }
}

/// When to tidy next: at once when doubt about removals ends, since an upstream that has left may
/// get work until then.
fn next_tidy(node: &Node) -> Time {
    let now = node.now();
    let settles_at = node.pool.borrow().store_connectivity().settles_at();
    let settles_at = settles_at.filter(|at| *at > now);
    let due = now + TIDY_EVERY;
    settles_at.map_or(due, |at| at.min(due))
}

/// Stops without cutting what runs, as far as the grace allows.
async fn stop(node: &Rc<Node>) {
    let end = node.now() + node.place.bounds.grace.saturating_sub(GRACE_MARGIN);
    log::info!(event = "stopping", busy = node.busy.get(), streams = node.runs.count(); "");
    node.set_stage(Stage::Draining);
    node.tell_all_at_once();
    tokio::time::sleep(DRAIN_FOR).await;
    node.set_stage(Stage::Closing);
    while node.busy.get() > 0 && node.now() < end {
        tokio::time::sleep(STOP_CHECK).await;
    }
    log::info!(event = "stopped", busy = node.busy.get(); "");
}
