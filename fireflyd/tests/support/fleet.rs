//! Platform, upstreams, agents and entries as separate processes.

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
use super::wait::{PATIENCE, until};

/// Fleets at once, so that a busy machine is not crowded further.
static ROOM: Semaphore = Semaphore::const_new(3);
/// Addresses given to processes, which may bind them later.
static GIVEN: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());
static NEXT_HOST: AtomicU16 = AtomicU16::new(1);

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Engines, with an agent each.
    pub engines: usize,
    /// Entries.
    pub entries: usize,
    /// Whether there is a plain service, with its agent.
    pub plain: bool,
    /// More flags of each engine.
    pub engine_flags: Vec<&'static str>,
    /// More flags of the plain service.
    pub plain_flags: Vec<&'static str>,
    /// More flags of each daemon.
    pub daemon_flags: Vec<&'static str>,
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
        }
    }
}

/// A stand-in as a process.
pub struct StandIn {
    /// The process.
    pub process: Process,
    /// Its address.
    pub addr: SocketAddr,
    /// What it really ran.
    pub run_log: PathBuf,
    program: &'static str,
    args: Vec<String>,
    log: PathBuf,
}

/// A daemon as a process.
pub struct Node {
    /// The process.
    pub process: Process,
    /// Its name.
    pub name: String,
    /// Its mailbox.
    pub mailbox: SocketAddr,
    /// Address of metrics, health and status.
    pub admin: SocketAddr,
    /// Callers' address, of an entry.
    pub callers: Option<SocketAddr>,
    args: Vec<String>,
    log: PathBuf,
}

/// All processes; dropping it kills them.
pub struct Fleet {
    /// The platform.
    pub platform: StandIn,
    /// The engines.
    pub engines: Vec<StandIn>,
    /// The plain service.
    pub plain: Option<StandIn>,
    /// Agents of the engines in order, then that of the plain service.
    pub agents: Vec<Node>,
    /// The entries.
    pub entries: Vec<Node>,
    /// Client for all but callers' requests.
    pub http: Client,
    seeds: String,
    host: IpAddr,
    dir: PathBuf,
    spec: Spec,
    _room: SemaphorePermit<'static>,
}

impl Fleet {
    /// Starts all processes with the sample configuration in force.
    pub async fn start(spec: Spec) -> Self {
        let mut fleet = Self::start_unconfigured(spec).await;
        fleet.apply_examples();
        fleet.await_ready().await;
        fleet
    }

    /// Starts all processes; the platform holds no configuration.
    pub async fn start_unconfigured(spec: Spec) -> Self {
        let room = ROOM.acquire().await.unwrap();
        let host = next_host();
        let dir = new_dir(host);
        let key = run("fireflyctl", &texts(&["fleet-key", "new"]));
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
            _room: room,
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
        let mailboxes: Vec<SocketAddr> = (0..self.spec.entries).map(|_| free(self.host)).collect();
        let seeds: Vec<String> = mailboxes.iter().map(ToString::to_string).collect();
        self.seeds = seeds.join(",");
        for (n, mailbox) in mailboxes.into_iter().enumerate() {
            let callers = free(self.host);
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
            let flags = [
                "--role",
                "agent",
                "--upstream",
                &url,
                "--upstream-kind",
                "plain",
                "--upstream-name",
                "records",
                "--service",
                "records",
            ];
            let agent = self.node("agent-records", free(self.host), &flags);
            self.agents.push(agent);
        }
    }

    /// An agent beside the engine of that index, which it reaches at `url`.
    pub fn start_engine_agent(&self, n: usize, url: &str) -> Node {
        let upstream = format!("engine-{}", n + 1);
        let flags = [
            "--role",
            "agent",
            "--upstream",
            url,
            "--upstream-kind",
            "engine",
            "--upstream-name",
            &upstream,
            "--models",
            "model-a,model-b",
        ];
        self.node(&format!("agent-{}", n + 1), free(self.host), &flags)
    }

    /// A daemon of that name that seals with the keys of another file.
    pub fn node_with_keys(&self, name: &str, keys: &str, flags: &[&str]) -> Node {
        self.start_node(name, free(self.host), keys, flags)
    }

    fn node(&self, name: &str, mailbox: SocketAddr, flags: &[&str]) -> Node {
        self.start_node(name, mailbox, "fleet-keys", flags)
    }

    fn start_node(&self, name: &str, mailbox: SocketAddr, keys: &str, flags: &[&str]) -> Node {
        let admin = free(self.host);
        let mut args = texts(&["--name", name, "--data-centre", "dc1"]);
        args.extend(texts(&["--platform", &self.platform.url()]));
        args.extend(texts(&["--mailbox", &mailbox.to_string()]));
        args.extend(texts(&["--admin-listen", &admin.to_string()]));
        args.extend(texts(&["--seeds", &self.seeds]));
        args.extend(texts(&["--fleet-keys-file", &self.path(keys)]));
        args.extend(texts(flags));
        args.extend(texts(&self.spec.daemon_flags));
        let log = self.dir.join(format!("{name}.log"));
        Node {
            process: Process::start("fireflyd", &args, &log),
            name: name.to_owned(),
            mailbox,
            admin,
            callers: None,
            args,
            log,
        }
    }

    /// Path of a file in the fleet's directory.
    pub fn path(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    /// A free address of this fleet.
    pub fn free_addr(&self) -> SocketAddr {
        free(self.host)
    }

    /// Runs `fireflyctl` against this fleet; gives its status and output.
    pub fn ctl(&self, args: &[&str]) -> (i32, String) {
        let nodes: Vec<String> = self.nodes().map(|n| n.admin.to_string()).collect();
        let mut all = texts(args);
        all.extend(texts(&["--platform", &self.platform.url()]));
        all.extend(texts(&["--nodes", &nodes.join(",")]));
        run("fireflyctl", &all)
    }

    /// Puts the sample inventory and rules in force.
    pub fn apply_examples(&mut self) {
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples");
        for half in ["inventory", "rules"] {
            let file = examples.join(format!("{half}.json"));
            let (status, text) = self.ctl(&[half, "apply", &file.display().to_string()]);
            assert_eq!(status, 0, "{text}");
        }
    }

    /// Waits until every entry serves and knows every agent.
    pub async fn await_ready(&self) {
        for node in self.nodes() {
            until(&format!("{} ready", node.name), || self.is_ready(node)).await;
        }
        for entry in &self.entries {
            self.await_agents(entry, self.agents.len()).await;
        }
    }

    /// Waits until an entry knows that many agents that take work.
    pub async fn await_agents(&self, entry: &Node, count: usize) {
        until(&format!("{} knows {count} agents", entry.name), || async {
            let status = self.status(entry).await;
            let usable = |a: &&Value| a["state"] == "alive" && a["leaving"] == false;
            let agents = status["agents"].as_array().cloned().unwrap_or_default();
            agents.iter().filter(usable).count() == count
        })
        .await;
    }

    /// All daemons.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.entries.iter().chain(&self.agents)
    }

    /// Whether a daemon says that it is ready.
    pub async fn is_ready(&self, node: &Node) -> bool {
        let url = format!("http://{}/health/ready", node.admin);
        let res = self.http.get(url).send().await;
        res.is_ok_and(|r| r.status().is_success())
    }

    /// Status of a daemon; null when it gives none.
    pub async fn status(&self, node: &Node) -> Value {
        let url = format!("http://{}/status", node.admin);
        match self.http.get(url).send().await {
            Ok(res) => res.json().await.unwrap_or_default(),
            Err(_) => Value::Null,
        }
    }

    /// Version of the configuration in force on a daemon.
    pub async fn version(&self, node: &Node) -> u64 {
        self.status(node).await["config_version"]
            .as_u64()
            .unwrap_or(0)
    }

    /// Value of a metric of a daemon, summed over its labels.
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
        let own = |line: &&str| line.split(['{', ' ']).next() == Some(name);
        let values = text
            .lines()
            .filter(own)
            .filter_map(|l| l.rsplit(' ').next());
        values.filter_map(|v| v.parse::<f64>().ok()).sum()
    }

    /// Sets faults of the platform.
    pub async fn platform_faults(&self, faults: Value) {
        self.post(&self.platform, "/standin/faults", faults).await;
    }

    /// Makes the steps of all engines that run so many times longer.
    pub async fn slow_engines(&mut self, factor: u32) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].process.is_alive() {
                let faults = json!({ "slow_factor": factor });
                self.post(&self.engines[engine], "/standin/faults", faults)
                    .await;
            }
        }
    }

    /// Reads that the platform has answered.
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

    async fn post(&self, to: &StandIn, path: &str, body: Value) {
        let url = format!("{}{path}", to.url());
        let res = self.http.post(url).json(&body).send().await.unwrap();
        assert!(res.status().is_success(), "{path}: {}", res.status());
    }

    /// Callers of all entries.
    pub fn caller(&self) -> Caller {
        let callers = self.entries.iter().filter_map(|e| e.callers);
        Caller::new(callers.map(|a| format!("http://{a}")), PATIENCE).unwrap()
    }

    /// Sees one request to its end, from the entry of that index on.
    pub async fn call(&self, request: Request, entry: usize) -> RequestOutcome {
        self.caller().run(request, entry).await
    }

    /// What the stand-ins really ran; the logs are those of the engines in
    /// order, then that of the plain service.
    pub fn runs(&self) -> Runs {
        let stand_ins = self.engines.iter().chain(&self.plain);
        Runs::read(stand_ins.map(|s| &s.run_log)).unwrap()
    }

    /// Index of the engine on which the latest generation with that mark
    /// began; waits for it.
    pub async fn engine_of(&self, mark: &str) -> usize {
        until(&format!("{mark} began"), || {
            std::future::ready(!self.runs().log_indexes(mark).is_empty())
        })
        .await;
        self.runs().log_indexes(mark)[0]
    }

    /// Fails the test when a promise was broken to one of these callers.
    pub fn assert_kept(&self, all: &[RequestOutcome]) {
        let breaches: Vec<Breach> = find_breaches(&self.runs(), all);
        assert!(
            breaches.is_empty(),
            "{breaches:#?}\n{all:#?}\nlogs: {}",
            self.keep()
        );
    }

    /// Keeps the directory for whoever looks into a failure.
    fn keep(&self) -> String {
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
        let addr = free(host);
        let run_log = dir.join(format!("{name}.runs"));
        fs::write(&run_log, "").unwrap();
        let log = dir.join(format!("{name}.log"));
        let mut args = texts(&["--listen", &addr.to_string()]);
        args.extend(texts(&["--run-log", &run_log.display().to_string()]));
        args.extend(texts(flags));
        Self {
            process: Process::start(program, &args, &log),
            addr,
            run_log,
            program,
            args,
            log,
        }
    }

    /// Kills it and starts it anew at the same address.
    pub async fn restart(&mut self) {
        self.process.kill();
        self.process = Process::start(self.program, &self.args, &self.log);
        self.await_listening().await;
    }

    /// Its base URL.
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
    /// Kills it and starts it anew with the same name and addresses.
    pub fn restart(&mut self) {
        self.process.kill();
        self.start_again();
    }

    /// Starts it anew after its end.
    pub fn start_again(&mut self) {
        self.process = Process::start("fireflyd", &self.args, &self.log);
    }

    /// Callers' base URL, of an entry.
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

/// A loopback address of its own for each fleet, so that ports don't clash.
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

/// An address that is free and was not given before.
///
/// Its socket never listens: a copy of it in a process that is just being started would keep others
/// from listening there.
fn free(host: IpAddr) -> SocketAddr {
    let mut given = GIVEN.lock().unwrap();
    loop {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind(SocketAddr::from((host, 0))).unwrap();
        let addr = socket.local_addr().unwrap();
        if !given.contains(&addr) {
            given.push(addr);
            return addr;
        }
    }
}

fn texts(args: &[&str]) -> Vec<String> {
    args.iter().map(|a| (*a).to_owned()).collect()
}
