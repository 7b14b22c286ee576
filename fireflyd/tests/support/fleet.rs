//! Fleet of a platform, upstreams, agents and entries as separate processes.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use reqwest::Client;
use serde_json::{Value, json};
use standins::caller::{Caller, Request, RequestOutcome};
use standins::oracle::{Breach, Runs, find_breaches};
use tokio::net::TcpSocket;
use tokio::sync::{Semaphore, SemaphorePermit};

use super::process::{Process, run};
use super::wait::{WAIT_TIMEOUT, until};

/// Limits the number of concurrent fleets, to avoid overloading a busy machine.
static FLEET_SLOTS: Semaphore = Semaphore::const_new(3);
/// Addresses assigned to processes, which may bind them later.
static ASSIGNED_ADDRS: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());
static NEXT_HOST: AtomicU16 = AtomicU16::new(1);

/// Composition of a fleet.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Number of engines, each with an agent.
    pub engines: usize,
    /// Number of entries.
    pub entries: usize,
    /// Whether to start a plain service with its agent.
    pub plain: bool,
    /// Additional flags of each engine.
    pub engine_flags: Vec<&'static str>,
    /// Additional flags of the plain service.
    pub plain_flags: Vec<&'static str>,
    /// Additional flags of each daemon.
    pub daemon_flags: Vec<&'static str>,
    /// Environment variables of each daemon.
    pub daemon_env: Vec<(&'static str, &'static str)>,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            engines: 2,
            entries: 2,
            plain: false,
            engine_flags: vec!["--time-scale", "4"],
            plain_flags: Vec::new(),
            daemon_flags: vec!["--drain-grace-ms", "300"],
            daemon_env: Vec::new(),
        }
    }
}

/// Stand-in process.
pub struct StandIn {
    /// The process.
    pub process: Process,
    /// Listen address.
    pub addr: SocketAddr,
    /// Log of the runs that it executed.
    pub run_log: PathBuf,
    program: &'static str,
    args: Vec<String>,
    log: PathBuf,
}

/// Daemon process.
pub struct Node {
    /// The process.
    pub process: Process,
    /// Name of the daemon.
    pub name: String,
    /// Mailbox address.
    pub mailbox: SocketAddr,
    /// Address of metrics, health and status.
    pub admin: SocketAddr,
    /// Callers' address; only for an entry.
    pub callers: Option<SocketAddr>,
    args: Vec<String>,
    env: Vec<(&'static str, &'static str)>,
    log: PathBuf,
}

/// All processes of a fleet; killed on drop.
pub struct Fleet {
    /// Platform.
    pub platform: StandIn,
    /// Engines.
    pub engines: Vec<StandIn>,
    /// Plain service.
    pub plain: Option<StandIn>,
    /// Agents of the engines in order, then that of the plain service.
    pub agents: Vec<Node>,
    /// Entries.
    pub entries: Vec<Node>,
    /// HTTP client for all requests except callers'.
    pub http: Client,
    seeds: String,
    host: IpAddr,
    dir: PathBuf,
    spec: Spec,
    _slot: SemaphorePermit<'static>,
}

impl Fleet {
    /// Starts all processes and activates the sample configuration.
    pub async fn start(spec: Spec) -> Self {
        let mut fleet = Self::start_unconfigured(spec).await;
        fleet.apply_examples();
        fleet.await_ready().await;
        fleet
    }

    /// Starts all processes; the platform holds no configuration.
    pub async fn start_unconfigured(spec: Spec) -> Self {
        let slot = FLEET_SLOTS.acquire().await.unwrap();
        let host = next_host();
        let dir = new_dir(host);
        let key = run("fireflyctl", &to_strings(&["fleet-key", "new"]));
        fs::write(dir.join("fleet-keys"), key.1).unwrap();
        let platform = StandIn::start("standin-platform", "platform", &dir, host, &[]);
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            plain: None,
            agents: Vec::new(),
            entries: Vec::new(),
            http: client(),
            seeds: String::new(),
            host,
            dir,
            spec,
            _slot: slot,
        };
        fleet.start_upstreams().await;
        fleet.start_daemons();
        fleet
    }

    async fn start_upstreams(&mut self) {
        for n in 1..=self.spec.engines {
            let seed = n.to_string();
            let mut flags = vec!["--models", "model-a,model-b", "--seed", &seed];
            flags.extend(&self.spec.engine_flags);
            let name = format!("engine-{n}");
            let engine = StandIn::start("standin-engine", &name, &self.dir, self.host, &flags);
            self.engines.push(engine);
        }
        if self.spec.plain {
            let flags = &self.spec.plain_flags;
            let plain = StandIn::start("standin-plain", "records", &self.dir, self.host, flags);
            self.plain = Some(plain);
        }
        let stand_ins = self
            .engines
            .iter()
            .chain(&self.plain)
            .chain([&self.platform]);
        for stand_in in stand_ins {
            stand_in.await_listening().await;
        }
    }

    fn start_daemons(&mut self) {
        let mailboxes: Vec<SocketAddr> = (0..self.spec.entries)
            .map(|_| unused_addr(self.host))
            .collect();
        let seeds: Vec<String> = mailboxes.iter().map(ToString::to_string).collect();
        self.seeds = seeds.join(",");
        for (n, mailbox) in mailboxes.into_iter().enumerate() {
            let callers = unused_addr(self.host);
            let name = format!("entry-{}", n + 1);
            let listen = callers.to_string();
            let flags = ["--role", "entry", "--listen", &listen];
            let mut entry = self.node(&name, mailbox, &flags);
            entry.callers = Some(callers);
            self.entries.push(entry);
        }
        for n in 0..self.spec.engines {
            let url = self.engines[n].url();
            let agent = self.start_engine_agent(n, &url);
            self.agents.push(agent);
        }
        if let Some(url) = self.plain.as_ref().map(StandIn::url) {
            self.agents.push(self.start_plain_agent(&url));
        }
    }

    /// Starts the agent of the engine with index `n`, which it reaches at `url`.
    pub fn start_engine_agent(&self, n: usize, url: &str) -> Node {
        let name = format!("agent-{}", n + 1);
        let upstream = format!("engine-{}", n + 1);
        self.start_agent(&name, "engine", &upstream, "--models model-a,model-b", url)
    }

    /// Starts the plain service's agent, which reaches it at `url`.
    pub fn start_plain_agent(&self, url: &str) -> Node {
        self.start_agent(
            "agent-records",
            "plain",
            "records",
            "--service records",
            url,
        )
    }

    fn start_agent(&self, name: &str, kind: &str, upstream: &str, serves: &str, url: &str) -> Node {
        let flags = format!(
            "--role agent --upstream {url} --upstream-kind {kind} --upstream-name {upstream} {serves}"
        );
        let flags: Vec<&str> = flags.split(' ').collect();
        self.node(name, unused_addr(self.host), &flags)
    }

    /// Starts a daemon that uses another fleet key file.
    pub fn node_with_keys(&self, name: &str, keys: &str, flags: &[&str]) -> Node {
        self.start_node(name, unused_addr(self.host), keys, flags)
    }

    fn node(&self, name: &str, mailbox: SocketAddr, flags: &[&str]) -> Node {
        self.start_node(name, mailbox, "fleet-keys", flags)
    }

    fn start_node(&self, name: &str, mailbox: SocketAddr, keys: &str, flags: &[&str]) -> Node {
        let admin = unused_addr(self.host);
        let mut args = to_strings(&["--name", name, "--data-centre", "dc1"]);
        args.extend(to_strings(&["--platform", &self.platform.url()]));
        args.extend(to_strings(&["--mailbox", &mailbox.to_string()]));
        args.extend(to_strings(&["--admin-listen", &admin.to_string()]));
        args.extend(to_strings(&["--seeds", &self.seeds]));
        args.extend(to_strings(&["--fleet-keys-file", &self.path(keys)]));
        args.extend(to_strings(flags));
        args.extend(to_strings(&self.spec.daemon_flags));
        let log = self.dir.join(format!("{name}.log"));
        Node {
            process: Process::start("fireflyd", &args, &self.spec.daemon_env, &log),
            name: name.to_owned(),
            mailbox,
            admin,
            callers: None,
            args,
            env: self.spec.daemon_env.clone(),
            log,
        }
    }

    /// Returns the path of a file in the fleet's directory.
    pub fn path(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    /// Returns an unused address of this fleet.
    pub fn free_addr(&self) -> SocketAddr {
        unused_addr(self.host)
    }

    /// Runs `fireflyctl` against this fleet; returns its exit status and output.
    pub fn ctl(&self, args: &[&str]) -> (i32, String) {
        let nodes: Vec<String> = self.nodes().map(|n| n.admin.to_string()).collect();
        let mut all = to_strings(args);
        all.extend(to_strings(&["--platform", &self.platform.url()]));
        all.extend(to_strings(&["--nodes", &nodes.join(",")]));
        run("fireflyctl", &all)
    }

    /// Applies the sample inventory and rules.
    pub fn apply_examples(&mut self) {
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
        for section in ["inventory", "rules"] {
            let file = examples.join(format!("{section}.json"));
            let (status, text) = self.ctl(&[section, "apply", &file.display().to_string()]);
            assert_eq!(status, 0, "{text}");
        }
    }

    /// Waits until all daemons are ready and every entry knows every agent.
    pub async fn await_ready(&self) {
        for node in self.nodes() {
            until(&format!("{} ready", node.name), || self.is_ready(node)).await;
        }
        for entry in &self.entries {
            self.await_agents(entry, self.agents.len()).await;
        }
    }

    /// Waits until an entry knows exactly `count` agents that accept work.
    pub async fn await_agents(&self, entry: &Node, count: usize) {
        until(&format!("{} knows {count} agents", entry.name), || async {
            let status = self.status(entry).await;
            let usable = |a: &&Value| a["state"] == "alive" && a["leaving"] == false;
            let agents = status["agents"].as_array().cloned().unwrap_or_default();
            agents.iter().filter(usable).count() == count
        })
        .await;
    }

    /// Returns all daemons.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.entries.iter().chain(&self.agents)
    }

    /// Returns whether a daemon reports readiness.
    pub async fn is_ready(&self, node: &Node) -> bool {
        let url = format!("http://{}/health/ready", node.admin);
        let res = self.http.get(url).send().await;
        res.is_ok_and(|r| r.status().is_success())
    }

    /// Returns the status of a daemon; null if it doesn't respond.
    pub async fn status(&self, node: &Node) -> Value {
        let url = format!("http://{}/status", node.admin);
        match self.http.get(url).send().await {
            Ok(res) => res.json().await.unwrap_or_default(),
            Err(_) => Value::Null,
        }
    }

    /// Returns the active configuration version of a daemon.
    pub async fn version(&self, node: &Node) -> u64 {
        self.status(node).await["config_version"]
            .as_u64()
            .unwrap_or(0)
    }

    /// Returns the value of a daemon's metric, summed over its labels.
    pub async fn metric(&self, node: &Node, name: &str) -> f64 {
        let url = format!("http://{}/metrics", node.admin);
        let text = self
            .http
            .get(url)
            .send()
            .await
            .unwrap()
            .text()
            .await
            .unwrap();
        let has_name = |line: &&str| line.split(['{', ' ']).next() == Some(name);
        let values = text
            .lines()
            .filter(has_name)
            .filter_map(|l| l.rsplit(' ').next());
        values.filter_map(|v| v.parse::<f64>().ok()).sum()
    }

    /// Sets the injected faults of the platform.
    pub async fn platform_faults(&self, faults: Value) {
        self.post(&self.platform, "/standin/faults", faults).await;
    }

    /// Returns the number of reads that the platform has answered.
    pub async fn platform_reads(&self) -> u64 {
        let url = format!("{}/standin/calls", self.platform.url());
        let res = self.http.get(url).send().await.unwrap();
        let calls: Value = res.json().await.unwrap();
        calls["reads"].as_u64().unwrap()
    }

    /// Sets the platform's VM list.
    pub async fn set_vms(&self, vms: Value) {
        let list = json!({ "vms": vms });
        self.post(&self.platform, "/standin/vms", list).await;
    }

    pub(super) async fn post(&self, to: &StandIn, path: &str, body: Value) {
        let url = format!("{}{path}", to.url());
        let res = self.http.post(url).json(&body).send().await.unwrap();
        assert!(res.status().is_success(), "{path}: {}", res.status());
    }

    /// Returns a caller that knows all entries.
    pub fn caller(&self) -> Caller {
        let callers = self.entries.iter().filter_map(|e| e.callers);
        Caller::new(callers.map(|a| format!("http://{a}")), WAIT_TIMEOUT).unwrap()
    }

    /// Runs a request to its end, starting at the entry with index `entry`.
    pub async fn call(&self, request: Request, entry: usize) -> RequestOutcome {
        self.caller().run(request, entry).await
    }

    /// Returns what the stand-ins executed: the logs of the engines in order,
    /// then that of the plain service.
    pub fn runs(&self) -> Runs {
        let stand_ins = self.engines.iter().chain(&self.plain);
        Runs::read(stand_ins.map(|s| &s.run_log)).unwrap()
    }

    /// Fails the test if a guarantee was violated for one of these callers.
    pub fn assert_guarantees(&self, all: &[RequestOutcome]) {
        let breaches: Vec<Breach> = find_breaches(&self.runs(), all);
        assert!(
            breaches.is_empty(),
            "{breaches:#?}\n{all:#?}\nlogs: {}",
            self.kept_dir()
        );
    }

    /// Returns the directory, which is kept when a test fails.
    fn kept_dir(&self) -> String {
        self.dir.display().to_string()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl StandIn {
    fn start(program: &'static str, name: &str, dir: &Path, host: IpAddr, flags: &[&str]) -> Self {
        let addr = unused_addr(host);
        let run_log = dir.join(format!("{name}.runs"));
        fs::write(&run_log, "").unwrap();
        let log = dir.join(format!("{name}.log"));
        let mut args = to_strings(&["--listen", &addr.to_string()]);
        args.extend(to_strings(&["--run-log", &run_log.display().to_string()]));
        args.extend(to_strings(flags));
        Self {
            process: Process::start(program, &args, &[], &log),
            addr,
            run_log,
            program,
            args,
            log,
        }
    }

    /// Kills the stand-in and restarts it at the same address.
    pub async fn restart(&mut self) {
        self.process.kill();
        self.process = Process::start(self.program, &self.args, &[], &self.log);
        self.await_listening().await;
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    async fn await_listening(&self) {
        until("a stand-in listens", || async {
            tokio::net::TcpStream::connect(self.addr).await.is_ok()
        })
        .await;
    }
}

impl Node {
    /// Kills the daemon and restarts it with the same name and addresses.
    pub fn restart(&mut self) {
        self.process.kill();
        self.start_again();
    }

    /// Starts the daemon again after its exit.
    pub fn start_again(&mut self) {
        self.process = Process::start("fireflyd", &self.args, &self.env, &self.log);
    }

    /// Kills the daemon and restarts it with a log on a full disk.
    pub fn restart_with_full_log(&mut self) {
        self.log = "/dev/full".into();
        self.restart();
    }

    /// Returns what it has logged.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap()
    }

    /// Returns the callers' base URL of an entry; empty for an agent.
    pub fn url(&self) -> String {
        self.callers
            .map(|a| format!("http://{a}"))
            .unwrap_or_default()
    }
}

fn client() -> Client {
    let client = Client::builder().no_proxy().timeout(Duration::from_secs(5));
    client.build().unwrap()
}

/// Returns a separate loopback address for each fleet, to avoid port conflicts.
fn next_host() -> IpAddr {
    let fleet = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let [high, low] = u16::try_from(std::process::id() % 62_000)
        .unwrap()
        .to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(
        127,
        high + 1,
        low,
        fleet.to_be_bytes()[1].max(1),
    ))
}

fn new_dir(host: IpAddr) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{host}"));
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    dir
}

/// Returns an unused address that was not assigned before.
///
/// Its socket never listens: a process being started could inherit a listening socket and keep the
/// address in use.
fn unused_addr(host: IpAddr) -> SocketAddr {
    let mut assigned = ASSIGNED_ADDRS.lock().unwrap();
    loop {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind(SocketAddr::from((host, 0))).unwrap();
        let addr = socket.local_addr().unwrap();
        if !assigned.contains(&addr) {
            assigned.push(addr);
            return addr;
        }
    }
}

fn to_strings(args: &[&str]) -> Vec<String> {
    args.iter().map(|a| (*a).to_owned()).collect()
}
