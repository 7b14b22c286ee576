//! Puts one process together from its settings and runs it to its planned end.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use fireflycroft::{
    AdmitPolicy, AgentEvent, AgentLimits, AgentSetup, Capacity, Config, EntryLimits, EntrySetup,
    LeaseAnswer, LeaseOp, Name, Role, RoutePolicy, Vm,
};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};

use crate::admin::{Admin, Readiness};
use crate::agent::{AgentInput, AgentLoop};
use crate::config_feed::ConfigFeed;
use crate::entry::{EntryInput, EntryLoop};
use crate::frontend::{Frontend, Tls};
use crate::grace_period::GracePeriod;
use crate::journal::Journal;
use crate::keyring::{SharedKeyRing, read_key_file, watch_key_file};
use crate::leases;
use crate::mailbox::{Limits, Mailbox};
use crate::metrics::Metrics;
use crate::node::{Identity, Node};
use crate::platform::{self, PlatformClient, VmState};
use crate::port_file::write_port_file;
use crate::runner::Runner;
use crate::settings::{AgentSettings, EntrySettings, RoleSettings, Settings, UpstreamKind};
use crate::status::Status;
use crate::upstream::{EngineClient, PlainClient};

/// Calls and inputs that wait for a loop.
const QUEUE: usize = 16 * 1024;
/// Time between two looks at the file of fleet keys.
const KEY_CHECK: Duration = Duration::from_secs(1);
/// Largest answer of a plain service in bytes.
const MAX_PLAIN_ANSWER: usize = 8 * 1024 * 1024;
/// Size of an engine that neither settings nor the engine tell.
const DEFAULT_CAPACITY: u64 = 65_536;
const DEFAULT_BATCH: u64 = 64;
/// Most requests that wait at one agent.
const MAX_QUEUE: usize = 256;
/// Time between two looks at the VM list; at 1,000 VMs a look reads 95 KB.
const VMS_EVERY: Duration = Duration::from_secs(20);
/// Wait before the platform is asked again for the fencing number.
const FENCE_RETRY: Duration = Duration::from_secs(1);
/// Longest wait for callers to read the last of their answers.
const LAST_WRITES: Duration = Duration::from_mins(10);
/// Time for peers to tell a new process the version in force.
const SETTLE: Duration = Duration::from_millis(500);
/// Time to let the last messages of a planned stop go out.
const LINGER: Duration = Duration::from_millis(300);

/// What both roles are put together from.
struct Parts {
    node: Node,
    mail: mpsc::Receiver<Vec<u8>>,
    platform: PlatformClient,
    feed: ConfigFeed,
    configs: watch::Receiver<Option<Arc<Config>>>,
    ready: Readiness,
    status: Status,
}

/// Runs one process until a planned stop has ended all its work.
///
/// # Errors
///
/// When an address cannot be bound or a file not be read.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let parts = put_together(&settings)?;
    match settings.role.clone() {
        RoleSettings::Entry(entry) => run_entry(&settings, entry, parts).await,
        RoleSettings::Agent(agent) => run_agent(&settings, agent, parts).await,
    }
}

fn put_together(settings: &Settings) -> anyhow::Result<Parts> {
    let keys = SharedKeyRing::new(read_key_file(&settings.fleet_keys_file)?);
    tokio::spawn(watch_key_file(
        settings.fleet_keys_file.clone(),
        keys.clone(),
        KEY_CHECK,
    ));
    let metrics = Metrics::new()?;
    let (mailbox, mail) = Mailbox::open(
        settings.mailbox,
        keys,
        Limits::default(),
        metrics.mailbox.clone(),
    )?;
    let platform = PlatformClient::new(
        &settings.platform,
        settings.timeouts.platform,
        metrics.clone(),
    )?;
    let (feed, configs) = ConfigFeed::new();
    tokio::spawn(feed.clone().follow(platform.clone()));
    let journal = Journal::new(settings.name.clone());
    let grace = GracePeriod::new(settings.timeouts.drain_grace);
    let node = Node::new(identity(settings), mailbox, metrics, journal, grace);
    Ok(Parts {
        node,
        mail,
        platform,
        feed,
        configs,
        ready: Readiness::not_ready("starting"),
        status: Status::default(),
    })
}

fn identity(settings: &Settings) -> Identity {
    let (role, serves) = match &settings.role {
        RoleSettings::Entry(_) => (Role::Entry, Vec::new()),
        RoleSettings::Agent(agent) => (Role::Agent, served_by(agent)),
    };
    Identity {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        role,
        serves,
        seeds: settings.seeds.clone(),
    }
}

fn served_by(agent: &AgentSettings) -> Vec<Name> {
    match agent.kind {
        UpstreamKind::Engine => agent.models.clone(),
        UpstreamKind::Plain => agent.service.iter().cloned().collect(),
    }
}

async fn run_entry(settings: &Settings, entry: EntrySettings, parts: Parts) -> anyhow::Result<()> {
    let (calls_tx, calls) = mpsc::channel(QUEUE);
    let (tx, inputs) = mpsc::channel(QUEUE);
    let frontend = Frontend::new(calls_tx, parts.node.metrics.clone());
    let (stop, stopped) = oneshot::channel();
    let tls = read_tls(&entry)?;
    let (callers, server) = frontend.bind(entry.listen, tls, stopped).await?;
    let server = tokio::spawn(server);
    let admin = serve_admin(settings, &parts, {
        let tx = tx.clone();
        move || drop(tx.try_send(EntryInput::Leave))
    })
    .await?;
    tell_ports(settings, &parts, admin, Some(callers))?;
    tokio::spawn(leave_on_signal({
        let tx = tx.clone();
        move || drop(tx.try_send(EntryInput::Leave))
    }));
    tokio::spawn(forward(parts.configs, tx.clone(), EntryInput::Config));
    tokio::spawn(follow_vms(
        parts.platform.clone(),
        parts.feed.clone(),
        tx.clone(),
        EntryInput::Vms,
    ));
    let setup = EntrySetup {
        data_centre: settings.data_centre.clone(),
        policy: route_policy(&settings.policy),
        seed: rand::random(),
        limits: EntryLimits {
            offer_timeout: settings.timeouts.offer,
            poll_after: settings.timeouts.stall / 2,
            silence_timeout: settings.timeouts.stall * 3,
            long_silence_timeout: settings.timeouts.stall * 10,
            ..EntryLimits::default()
        },
    };
    let entry_loop = EntryLoop::new(
        setup,
        parts.node,
        parts.platform,
        parts.feed,
        parts.ready,
        parts.status,
        tx,
    );
    entry_loop.run(parts.mail, calls, inputs).await;
    // The frontend writes on what the loop gave it, until each caller has it.
    let _ = stop.send(());
    let _ = tokio::time::timeout(LAST_WRITES, server).await;
    tokio::time::sleep(LINGER).await;
    Ok(())
}

async fn run_agent(settings: &Settings, agent: AgentSettings, parts: Parts) -> anyhow::Result<()> {
    let (tx, inputs) = mpsc::channel(QUEUE);
    let admin = serve_admin(settings, &parts, {
        let tx = tx.clone();
        move || drop(tx.try_send(AgentInput::Leave))
    })
    .await?;
    tell_ports(settings, &parts, admin, None)?;
    tokio::spawn(leave_on_signal({
        let tx = tx.clone();
        move || drop(tx.try_send(AgentInput::Leave))
    }));
    tokio::spawn(forward(parts.configs, tx.clone(), AgentInput::Config));
    tokio::spawn(follow_vms(
        parts.platform.clone(),
        parts.feed.clone(),
        tx.clone(),
        AgentInput::Vms,
    ));
    let runner = open_runner(settings, &agent)?;
    let capacity = find_capacity(&agent, &runner).await;
    tokio::spawn(runner.clone().watch_health(tx.clone()));
    tokio::spawn(runner.clone().watch_models(tx.clone()));
    tokio::spawn(learn_fence(parts.platform.clone(), tx.clone()));
    let policy = admit_policy(&settings.policy);
    if policy == AdmitPolicy::PassThrough {
        // The upstream queues, so only it knows its load.
        tokio::spawn(runner.clone().watch_load(tx.clone()));
    }
    let setup = AgentSetup {
        me: parts.node.me.clone(),
        serves: served_by(&agent),
        policy,
        capacity,
        limits: AgentLimits {
            unread_timeout: settings.timeouts.retain,
            ..AgentLimits::default()
        },
    };
    let agent_loop = AgentLoop::new(
        setup,
        parts.node,
        runner,
        parts.feed,
        parts.ready,
        parts.status,
        tx,
    );
    agent_loop.run(parts.mail, inputs).await;
    tokio::time::sleep(LINGER).await;
    Ok(())
}

fn open_runner(settings: &Settings, agent: &AgentSettings) -> anyhow::Result<Runner> {
    let timeouts = settings.timeouts;
    Ok(match agent.kind {
        UpstreamKind::Engine => {
            Runner::Engine(EngineClient::new(&agent.upstream, timeouts.upstream)?)
        }
        UpstreamKind::Plain => Runner::Plain(PlainClient::new(
            &agent.upstream,
            timeouts.plain_call,
            MAX_PLAIN_ANSWER,
        )?),
    })
}

/// Size of the upstream: from the settings, else as the engine tells it.
async fn find_capacity(agent: &AgentSettings, runner: &Runner) -> Capacity {
    let told = match runner {
        Runner::Engine(engine) => engine.load().await.ok(),
        Runner::Plain(_) => None,
    };
    let tokens = agent
        .capacity_tokens
        .or(told.as_ref().map(|l| l.capacity_tokens));
    let batch = agent.max_batch.or(told.as_ref().map(|l| l.max_batch));
    Capacity {
        tokens: tokens.unwrap_or(DEFAULT_CAPACITY),
        max_batch: u32::try_from(batch.unwrap_or(DEFAULT_BATCH)).unwrap_or(u32::MAX),
        max_queue: MAX_QUEUE,
    }
}

fn route_policy(policy: &str) -> RoutePolicy {
    match policy {
        "round-robin" => RoutePolicy::RoundRobin,
        "least-outstanding" => RoutePolicy::LeastOutstanding,
        "two-choices" => RoutePolicy::TwoChoices,
        _ => RoutePolicy::Expected,
    }
}

fn admit_policy(policy: &str) -> AdmitPolicy {
    match route_policy(policy) {
        RoutePolicy::Expected => AdmitPolicy::Expected,
        _ => AdmitPolicy::PassThrough,
    }
}

fn read_tls(entry: &EntrySettings) -> anyhow::Result<Option<Tls>> {
    let Some(files) = &entry.tls else {
        return Ok(None);
    };
    let read = |path: &Path| std::fs::read(path).with_context(|| path.display().to_string());
    Ok(Some(Tls {
        cert: read(&files.cert)?,
        key: read(&files.key)?,
    }))
}

/// The status of the loop, with what it doesn't know of itself.
fn status_of(settings: &Settings, parts: &Parts) -> Arc<dyn Fn() -> Value + Send + Sync> {
    let (status, feed) = (parts.status.clone(), parts.feed.clone());
    let data_centre = settings.data_centre.clone();
    Arc::new(move || {
        let mut shown = status.get();
        shown["data_centre"] = json!(data_centre);
        shown["config_digest"] = json!(feed.digest().map(|digest| digest.to_string()));
        shown
    })
}

/// Serves the operators' interface; gives its bound address.
async fn serve_admin(
    settings: &Settings,
    parts: &Parts,
    drain: impl Fn() + Send + Sync + 'static,
) -> anyhow::Result<SocketAddr> {
    let journal = parts.node.journal.clone();
    let feed = parts.feed.clone();
    let admin = Admin {
        metrics: parts.node.metrics.clone(),
        readiness: parts.ready.clone(),
        status: status_of(settings, parts),
        config: Arc::new(move || feed.bundle()),
        explain: Arc::new(move |id| journal.explain(id)),
        drain: Arc::new(drain),
    };
    let listener = TcpListener::bind(settings.admin_listen)
        .await
        .context("admin address")?;
    let bound = listener.local_addr()?;
    tokio::spawn(admin.serve(listener, std::future::pending()));
    Ok(bound)
}

fn tell_ports(
    settings: &Settings,
    parts: &Parts,
    admin: SocketAddr,
    callers: Option<SocketAddr>,
) -> anyhow::Result<()> {
    let mailbox = parts.node.mailbox.local_addr();
    log::info!(event = "listening", mailbox:% = mailbox, admin:% = admin; "");
    let Some(path) = &settings.port_file else {
        return Ok(());
    };
    let own = [("mailbox", mailbox), ("admin", admin)];
    let all = own.into_iter().chain(callers.map(|c| ("callers", c)));
    write_port_file(path, all)
}

/// Calls `leave` when the process is asked to stop; a second signal changes
/// nothing, since a planned stop cuts off no request.
async fn leave_on_signal(leave: impl Fn()) {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return;
    };
    loop {
        tokio::select! {
            _ = term.recv() => leave(),
            _ = int.recv() => leave(),
        }
    }
}

/// Reads the VM list for ever, where this member is one of the few that look.
async fn follow_vms<T>(
    platform: PlatformClient,
    feed: ConfigFeed,
    tx: mpsc::Sender<T>,
    wrap: impl Fn(Vec<Vm>) -> T,
) {
    loop {
        tokio::time::sleep(VMS_EVERY).await;
        if !feed.is_watching() {
            continue;
        }
        let Ok(list) = platform.vms().await else {
            continue;
        };
        let vms = list.iter().filter_map(read_vm).collect();
        if tx.send(wrap(vms)).await.is_err() {
            return;
        }
    }
}

fn read_vm(vm: &platform::Vm) -> Option<Vm> {
    Some(Vm {
        addr: vm.address.parse().ok()?,
        leaving: vm.state == VmState::Leaving,
    })
}

/// Learns the fencing number in force, without which the agent takes no
/// order.
async fn learn_fence(platform: PlatformClient, tx: mpsc::Sender<AgentInput>) {
    loop {
        let fence = match leases::ask(&platform, LeaseOp::Read).await {
            LeaseAnswer::Found(record, _) => record.fence,
            LeaseAnswer::Absent => 0,
            _ => {
                tokio::time::sleep(FENCE_RETRY).await;
                continue;
            }
        };
        let _ = tx.send(AgentInput::Core(AgentEvent::Fence(fence))).await;
        return;
    }
}

/// Gives each new configuration to a loop; none is lost to a full queue.
///
/// The first is held back until peers had time to tell a higher one: what the
/// platform gave may be stale, or of an older state that it was restored to.
async fn forward<T>(
    mut configs: watch::Receiver<Option<Arc<Config>>>,
    tx: mpsc::Sender<T>,
    wrap: impl Fn(Arc<Config>) -> T,
) {
    tokio::time::sleep(SETTLE).await;
    while configs.changed().await.is_ok() {
        let config = configs.borrow_and_update().clone();
        let Some(config) = config else {
            continue;
        };
        if tx.send(wrap(config)).await.is_err() {
            return;
        }
    }
}
