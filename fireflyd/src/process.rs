//! Builds a process from its settings and runs it until a planned stop.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use fireflycroft::{
    AdmitPolicy, AgentEvent, AgentLimits, AgentSetup, Capacity, Config, ConnectionLimits,
    EntryLimits, EntrySetup, LeaseAnswer, LeaseOp, Name, Role, RoutePolicy, Vm,
};
use serde_json::{Value, json};
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
use crate::upstream::{EngineClient, PlainClient, ReadMemory};

/// Capacity of the queues of calls and inputs of an event loop.
const QUEUE_CAPACITY: usize = 16 * 1024;
/// Time between two checks of the fleet key file.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a plain service's response in bytes.
const MAX_PLAIN_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Capacity of an engine when neither the settings nor the engine report it.
const DEFAULT_CAPACITY_TOKENS: u64 = 65_536;
const DEFAULT_MAX_BATCH: u64 = 64;
/// Maximum number of queued requests at one agent.
const MAX_QUEUE: usize = 256;
/// Time between two reads of the VM list; with 1,000 VMs a read transfers 95 KB.
const VMS_POLL_INTERVAL: Duration = Duration::from_secs(20);
/// Delay before retrying to read the fencing number from the platform.
const FENCE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum wait for callers to read the rest of their responses.
const RESPONSE_FLUSH_TIMEOUT: Duration = Duration::from_mins(10);
/// Delay of the first configuration, so that peers can announce the active version.
const FIRST_CONFIG_DELAY: Duration = Duration::from_millis(500);
/// Time for sending the last messages of a planned stop.
const FINAL_SEND_DELAY: Duration = Duration::from_millis(300);

/// Components used by both roles.
struct Components {
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
/// Returns an error if an address can't be bound or a file can't be read.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let components = build_components(&settings)?;
    match settings.role.clone() {
        RoleSettings::Entry(entry) => run_entry(&settings, entry, components).await,
        RoleSettings::Agent(agent) => run_agent(&settings, agent, components).await,
    }
}

fn build_components(settings: &Settings) -> anyhow::Result<Components> {
    let keys = SharedKeyRing::new(read_key_file(&settings.fleet_keys_file)?);
    tokio::spawn(watch_key_file(
        settings.fleet_keys_file.clone(),
        keys.clone(),
        KEY_CHECK_INTERVAL,
    ));
    let metrics = Metrics::new()?;
    let vm = settings.vm;
    let limits = ConnectionLimits::for_pages(Some(vm.memory), Some(vm.descriptors));
    let (mailbox, mail) = Mailbox::open(
        settings.mailbox,
        keys,
        Limits::default(),
        metrics.mailbox.clone(),
        metrics.accounts("mailbox", limits),
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
    Ok(Components {
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
        RoleSettings::Agent(agent) => (Role::Agent, initial_targets(agent)),
    };
    Identity {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        role,
        serves,
        seeds: settings.seeds.clone(),
    }
}

fn initial_targets(agent: &AgentSettings) -> Vec<Name> {
    match agent.kind {
        UpstreamKind::Engine => agent.models.clone(),
        UpstreamKind::Plain => agent.service.iter().cloned().collect(),
    }
}

async fn run_entry(
    settings: &Settings,
    entry: EntrySettings,
    components: Components,
) -> anyhow::Result<()> {
    let (calls_tx, calls) = mpsc::channel(QUEUE_CAPACITY);
    let (tx, inputs) = mpsc::channel(QUEUE_CAPACITY);
    let metrics = components.node.metrics.clone();
    let vm = settings.vm;
    let limits = ConnectionLimits::for_callers(Some(vm.memory), Some(vm.descriptors));
    let callers = metrics.accounts("callers", limits);
    let frontend = Frontend::new(calls_tx, metrics, callers);
    let (stop, stopped) = oneshot::channel();
    let tls = read_tls(&entry)?;
    let (callers, server) = frontend.bind(entry.listen, tls, stopped)?;
    let server = tokio::spawn(server);
    let admin = serve_admin(settings, &components, {
        let tx = tx.clone();
        move || drop(tx.try_send(EntryInput::Leave))
    })?;
    report_addresses(settings, &components, admin, Some(callers))?;
    tokio::spawn(leave_on_signal({
        let tx = tx.clone();
        move || drop(tx.try_send(EntryInput::Leave))
    }));
    tokio::spawn(forward_configs(
        components.configs,
        tx.clone(),
        EntryInput::Config,
    ));
    tokio::spawn(poll_vms(
        components.platform.clone(),
        components.feed.clone(),
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
        components.node,
        components.platform,
        components.feed,
        components.ready,
        components.status,
        tx,
    );
    entry_loop.run(components.mail, calls, inputs).await;
    // The frontend keeps writing until each caller has received its response.
    let _ = stop.send(());
    let _ = tokio::time::timeout(RESPONSE_FLUSH_TIMEOUT, server).await;
    tokio::time::sleep(FINAL_SEND_DELAY).await;
    Ok(())
}

async fn run_agent(
    settings: &Settings,
    agent: AgentSettings,
    components: Components,
) -> anyhow::Result<()> {
    let (tx, inputs) = mpsc::channel(QUEUE_CAPACITY);
    let admin = serve_admin(settings, &components, {
        let tx = tx.clone();
        move || drop(tx.try_send(AgentInput::Leave))
    })?;
    report_addresses(settings, &components, admin, None)?;
    tokio::spawn(leave_on_signal({
        let tx = tx.clone();
        move || drop(tx.try_send(AgentInput::Leave))
    }));
    tokio::spawn(forward_configs(
        components.configs,
        tx.clone(),
        AgentInput::Config,
    ));
    tokio::spawn(poll_vms(
        components.platform.clone(),
        components.feed.clone(),
        tx.clone(),
        AgentInput::Vms,
    ));
    let runner = open_runner(settings, &agent)?;
    let capacity = determine_capacity(&agent, &runner).await;
    tokio::spawn(runner.clone().watch_health(tx.clone()));
    tokio::spawn(runner.clone().watch_models(tx.clone()));
    tokio::spawn(fetch_fence(components.platform.clone(), tx.clone()));
    let policy = admit_policy(&settings.policy);
    if policy == AdmitPolicy::PassThrough {
        // The upstream queues requests itself, so only it knows its load.
        tokio::spawn(runner.clone().watch_load(tx.clone()));
    }
    let setup = AgentSetup {
        me: components.node.me.clone(),
        serves: initial_targets(&agent),
        policy,
        capacity,
        limits: AgentLimits {
            unread_timeout: settings.timeouts.retain,
            ..AgentLimits::for_vm(settings.vm.memory)
        },
    };
    let agent_loop = AgentLoop::new(
        setup,
        components.node,
        runner,
        components.feed,
        components.ready,
        components.status,
        tx,
    );
    agent_loop.run(components.mail, inputs).await;
    tokio::time::sleep(FINAL_SEND_DELAY).await;
    Ok(())
}

fn open_runner(settings: &Settings, agent: &AgentSettings) -> anyhow::Result<Runner> {
    let timeouts = settings.timeouts;
    let memory = ReadMemory::for_vm(settings.vm.memory);
    Ok(match agent.kind {
        UpstreamKind::Engine => Runner::Engine(
            EngineClient::new(&agent.upstream, timeouts.upstream)?.with_memory(memory),
        ),
        UpstreamKind::Plain => Runner::Plain(
            PlainClient::new(
                &agent.upstream,
                timeouts.plain_call,
                MAX_PLAIN_RESPONSE_BYTES,
            )?
            .with_memory(memory),
        ),
    })
}

/// Returns the upstream's capacity: from the settings, else as reported by the engine.
async fn determine_capacity(agent: &AgentSettings, runner: &Runner) -> Capacity {
    let reported = match runner {
        Runner::Engine(engine) => engine.load().await.ok(),
        Runner::Plain(_) => None,
    };
    let tokens = agent
        .capacity_tokens
        .or(reported.as_ref().map(|l| l.capacity_tokens));
    let batch = agent.max_batch.or(reported.as_ref().map(|l| l.max_batch));
    Capacity {
        tokens: tokens.unwrap_or(DEFAULT_CAPACITY_TOKENS),
        max_batch: u32::try_from(batch.unwrap_or(DEFAULT_MAX_BATCH)).unwrap_or(u32::MAX),
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

/// Returns a source of the loop's status, extended by the data centre and configuration digest.
fn status_source(
    settings: &Settings,
    components: &Components,
) -> Arc<dyn Fn() -> Value + Send + Sync> {
    let (status, feed) = (components.status.clone(), components.feed.clone());
    let data_centre = settings.data_centre.clone();
    Arc::new(move || {
        let mut current = status.get();
        current["data_centre"] = json!(data_centre);
        current["config_digest"] = json!(feed.digest().map(|digest| digest.to_string()));
        current
    })
}

/// Serves the operators' interface; returns its bound address.
fn serve_admin(
    settings: &Settings,
    components: &Components,
    drain: impl Fn() + Send + Sync + 'static,
) -> anyhow::Result<SocketAddr> {
    let journal = components.node.journal.clone();
    let feed = components.feed.clone();
    let admin = Admin {
        metrics: components.node.metrics.clone(),
        readiness: components.ready.clone(),
        status: status_source(settings, components),
        config: Arc::new(move || feed.bundle()),
        explain: Arc::new(move |id| journal.explain(id)),
        drain: Arc::new(drain),
    };
    let listener = fireflynet::listen(settings.admin_listen).context("admin address")?;
    let bound = listener.local_addr()?;
    let vm = settings.vm;
    let limits = ConnectionLimits::for_pages(Some(vm.memory), Some(vm.descriptors));
    tokio::spawn(admin.serve(listener, limits, std::future::pending()));
    Ok(bound)
}

fn report_addresses(
    settings: &Settings,
    components: &Components,
    admin: SocketAddr,
    callers: Option<SocketAddr>,
) -> anyhow::Result<()> {
    let mailbox = components.node.mailbox.local_addr();
    log::info!(event = "listening", mailbox:% = mailbox, admin:% = admin; "");
    let Some(path) = &settings.port_file else {
        return Ok(());
    };
    let own = [("mailbox", mailbox), ("admin", admin)];
    let all = own.into_iter().chain(callers.map(|c| ("callers", c)));
    write_port_file(path, all)
}

/// Calls `leave` on each stop signal; a second signal has no further effect,
/// since a planned stop interrupts no request.
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

/// Reads the VM list periodically while this member is a watcher.
async fn poll_vms<T>(
    platform: PlatformClient,
    feed: ConfigFeed,
    tx: mpsc::Sender<T>,
    wrap: impl Fn(Vec<Vm>) -> T,
) {
    loop {
        tokio::time::sleep(VMS_POLL_INTERVAL).await;
        if !feed.is_watching() {
            continue;
        }
        let list = match platform.vms().await {
            Ok(list) => list,
            Err(e) => {
                log::warn!(event = "vms_read_failed", cause:% = e; "");
                continue;
            }
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

/// Reads the current fencing number, without which the agent accepts no
/// orders.
async fn fetch_fence(platform: PlatformClient, tx: mpsc::Sender<AgentInput>) {
    loop {
        let fence = match leases::execute(&platform, LeaseOp::Read).await {
            LeaseAnswer::Found(record, _) => record.fence,
            LeaseAnswer::Absent => 0,
            _ => {
                tokio::time::sleep(FENCE_RETRY_DELAY).await;
                continue;
            }
        };
        let _ = tx.send(AgentInput::Core(AgentEvent::Fence(fence))).await;
        return;
    }
}

/// Forwards new configurations to a loop; waits while its queue is full.
///
/// The first one is delayed so that peers can announce a higher version: the
/// platform's read may be stale, or the platform may have been restored to an
/// older state.
async fn forward_configs<T>(
    mut configs: watch::Receiver<Option<Arc<Config>>>,
    tx: mpsc::Sender<T>,
    wrap: impl Fn(Arc<Config>) -> T,
) {
    tokio::time::sleep(FIRST_CONFIG_DELAY).await;
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
