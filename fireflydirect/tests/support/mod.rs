//! A small site on loopback: store, upstreams and entry processes.

// Each test file uses a different part of it.
#![allow(dead_code, unused_macros, unused_imports)]

mod configuration;
pub(crate) mod crashes;
mod entry;
mod operators;
mod other_build;
pub(crate) mod plays;
mod ports;
mod requests;
pub(crate) mod slow_reader;
mod stale_seeds;
pub(crate) mod strangers;
pub(crate) mod streams;

use std::collections::HashMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

pub(crate) use entry::{Entry, signal_all};
pub(crate) use other_build::OtherBuild;
use ports::{ReservedPorts, claim_net, reserve};
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use standins::site::{Engine, EngineKind, Proxy, Record, RunEnd, Store};

/// Timeout of waits for a condition, generous for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Defines test cases, each run on a site with the given number of entries.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($site:ident: $entries:literal) $body:block)+) => {
        $(
            $(#[$doc])*
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                #[allow(unused_mut)]
                let mut $site = $crate::support::Site::start($entries).await;
                $body
                $site.check();
            }
        )+
    };
}

pub(crate) use cases;
pub(crate) use ports::free_ports;

/// The store, upstreams and entries of one test.
pub(crate) struct Site {
    /// The platform's store.
    pub(crate) store: Store,
    /// Model engines.
    pub(crate) engines: Vec<Engine>,
    /// Plain services.
    pub(crate) plains: Vec<Engine>,
    /// Entries.
    pub(crate) entries: Vec<Entry>,
    /// Runs recorded by upstreams.
    pub(crate) record: Record,
    /// Proxy before the store, if connections go through proxies.
    pub(crate) store_proxy: Option<Proxy>,
    /// Proxies before upstreams, by instance.
    pub(crate) proxies: HashMap<String, Proxy>,
    client: Client,
    net: [u8; 2],
    _claim: TcpListener,
    peer_port: ReservedPorts<1>,
    version: u64,
    published: Value,
    /// Rate limit of cold engines per second in the next configuration; zero for none.
    pub(crate) cold_per_s: f64,
    /// Allowed regions of all routes of the next configuration.
    pub(crate) route_homes: Vec<&'static str>,
    /// Allowed regions of `brand-a`.
    pub(crate) workspace_homes: Vec<&'static str>,
    /// Mechanisms that are off at entries added later.
    pub(crate) without: &'static str,
    /// Objective of the `log` route of the next configuration, in milliseconds.
    pub(crate) log_objective_ms: u64,
    /// Service of the `grade` route of the next configuration.
    pub(crate) grade_service: &'static str,
    /// Kind of the `grade` route of the next configuration.
    pub(crate) grade_kind: &'static str,
    /// Upstreams to which a request of the `grade` route of the next configuration may be sent.
    pub(crate) grade_attempts: u32,
    /// Timeout of the `grade` route of the next configuration, in milliseconds.
    pub(crate) grade_timeout_ms: u64,
    /// Timeout of the routes to plain services of the next configuration, in milliseconds.
    pub(crate) plain_timeout_ms: u64,
    /// Whether model engines are listed at their own addresses instead of a proxy's, which accepts connections also
    /// for an engine that has crashed.
    pub(crate) direct_engines: bool,
    /// Last octets of the addresses that settings written later name as seeds.
    pub(crate) seeds: Vec<u8>,
    /// Memory of the VM in settings written later, in MB, and its descriptors; not named if there are none.
    pub(crate) limits: Option<(u64, usize)>,
    /// Largest body of the next configuration, in bytes.
    pub(crate) body_limit: usize,
    folder: PathBuf,
    ids: AtomicU64,
}

/// Log lines shown when an entry fails to start.
const LOG_TAIL_LINES: usize = 30;

/// Key of the workspace `brand-a`.
pub(crate) const KEY: &str = "key-a";

/// Number of routes in each configuration, without added ones.
pub(crate) const BASE_ROUTES: usize = 4;

impl Site {
    /// Starts the store, two engines, two plain services and `entries` entries, and waits until the
    /// entries are ready.
    pub(crate) async fn start(entries: u8) -> Self {
        let mut site = Self::without_entries().await;
        site.start_entries(entries).await;
        site
    }

    /// Publishes the configuration, starts `entries` entries, and waits until they are ready.
    pub(crate) async fn start_entries(&mut self, entries: u8) {
        self.publish(&[KEY]);
        for i in 0..entries {
            self.add_entry(i + 1).await;
        }
        for i in 0..self.entries.len() {
            self.until_ready(i).await;
        }
    }

    /// Starts store and upstreams; no configuration is published yet.
    pub(crate) async fn without_entries() -> Self {
        let (net, claim) = claim_net();
        let ip = |last| IpAddr::from([127, net[0], net[1], last]);
        let record = Record::default();
        let store = Store::start(ip(200)).await.unwrap();
        let folder =
            std::env::temp_dir().join(format!("fireflydirect-{}-{}", std::process::id(), net[1]));
        fs::create_dir_all(&folder).unwrap();
        let peer_port = free_ports(ip(1), &[]);
        let mut site = Self {
            store,
            engines: Vec::new(),
            plains: Vec::new(),
            entries: Vec::new(),
            record,
            store_proxy: None,
            proxies: HashMap::new(),
            client: Client::new(),
            net,
            _claim: claim,
            peer_port,
            version: 0,
            published: Value::Null,
            cold_per_s: 0.0,
            route_homes: Vec::new(),
            workspace_homes: Vec::new(),
            without: "",
            log_objective_ms: 1_500,
            grade_service: "models",
            grade_kind: "streaming",
            grade_attempts: 2,
            grade_timeout_ms: 20_000,
            plain_timeout_ms: 20_000,
            direct_engines: false,
            seeds: vec![1, 2, 3],
            limits: None,
            body_limit: 65_536,
            folder,
            ids: AtomicU64::new(0),
        };
        for i in 0..2 {
            site.add_engine(i).await;
            site.add_plain(i).await;
        }
        site
    }

    /// Starts a plain service and registers it in the store.
    pub(crate) async fn add_plain(&mut self, number: u8) {
        let instance = format!("p-{number}");
        let plain = self
            .upstream(EngineKind::Plain, &instance, 150 + number)
            .await;
        let record = plain.registration("records", "ready");
        self.store.put("servers", &instance, &record);
        self.plains.push(plain);
    }

    async fn upstream(&self, kind: EngineKind, instance: &str, last: u8) -> Engine {
        let addr = SocketAddr::from(([127, self.net[0], self.net[1], last], 0));
        Engine::start(kind, instance, addr, self.record.clone())
            .await
            .unwrap()
    }

    /// Starts a model engine without a record in the store.
    pub(crate) async fn start_engine(&mut self, number: u8) {
        let instance = format!("m-{number}");
        let engine = self
            .upstream(EngineKind::Model, &instance, 100 + number)
            .await;
        self.engines.push(engine);
    }

    /// Starts a model engine and registers it in the store.
    pub(crate) async fn add_engine(&mut self, number: u8) {
        let instance = format!("m-{number}");
        let engine = self
            .upstream(EngineKind::Model, &instance, 100 + number)
            .await;
        self.store.put(
            "servers",
            &instance,
            &engine.registration("models", "ready"),
        );
        self.engines.push(engine);
    }

    /// Starts another entry, at the address that ends with `last`.
    pub(crate) async fn add_entry(&mut self, last: u8) {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], last);
        let [peer_port] = self.peer_port.numbers;
        let ports = free_ports(ip.into(), &[peer_port]);
        let addrs = ports.numbers.map(|port| SocketAddr::from((ip, port)));
        let [callers, readiness, operators] = addrs;
        let mut entry = Entry {
            ip,
            callers,
            readiness,
            operators,
            store: operators,
            settings: self.folder.join(format!("settings-{last}.json")),
            log: self.folder.join(format!("entry-{last}.log")),
            without: self.without,
            child: None,
            _ports: ports,
            _peer_port: reserve(ip.into(), peer_port),
        };
        entry.store = match &self.store_proxy {
            Some(proxy) => proxy.addr(),
            None => self.store.add_listener(ip.into()).await.unwrap(),
        };
        self.write_settings(&entry);
        entry.start();
        self.entries.push(entry);
    }

    /// Puts proxies in front of the store and the existing upstreams.
    pub(crate) async fn use_proxies(&mut self) {
        let proxy = Proxy::start(self.store.addr()).await.unwrap();
        self.store_proxy = Some(proxy);
        for i in 0..self.engines.len() {
            self.register(EngineKind::Model, i, "ready").await;
        }
        for i in 0..self.plains.len() {
            self.register(EngineKind::Plain, i, "ready").await;
        }
    }

    /// Registers an upstream in the store, behind its own proxy.
    pub(crate) async fn register(&mut self, kind: EngineKind, number: usize, state: &str) {
        let (upstream, service) = match kind {
            EngineKind::Model => (&self.engines[number], "models"),
            EngineKind::Plain => (&self.plains[number], "records"),
        };
        let instance = upstream.instance();
        let mut entry = upstream.registration(service, state);
        if kind == EngineKind::Model && self.direct_engines {
            self.store.put("servers", &instance, &entry);
            return;
        }
        if !self.proxies.contains_key(&instance) {
            let proxy = Proxy::start(upstream.addr()).await.unwrap();
            self.proxies.insert(instance.clone(), proxy);
        }
        let known_at = self.proxies[&instance].addr();
        upstream.set_advertised_addr(known_at);
        entry["address"] = json!(known_at.to_string());
        self.store.put("servers", &instance, &entry);
    }

    /// Returns a client with persistent connections.
    pub(crate) fn client(&self) -> Client {
        self.client.clone()
    }

    /// Returns the address for callers of an entry.
    pub(crate) fn callers_of(&self, entry: usize) -> SocketAddr {
        self.entries[entry].callers
    }

    /// Returns the address for readiness checks of an entry.
    pub(crate) fn readiness_of(&self, entry: usize) -> SocketAddr {
        self.entries[entry].readiness
    }

    /// Returns the address for operators of an entry.
    pub(crate) fn operators_of(&self, entry: usize) -> SocketAddr {
        self.entries[entry].operators
    }

    /// Writes the settings file of an entry.
    pub(crate) fn write_settings(&self, entry: &Entry) {
        fs::write(&entry.settings, self.settings(entry).to_string()).unwrap();
    }

    fn settings(&self, entry: &Entry) -> Value {
        let [peer_port] = self.peer_port.numbers;
        let seeds = self.seeds.iter();
        let seeds: Vec<String> = seeds
            .map(|last| format!("127.{}.{}.{last}:9", self.net[0], self.net[1]))
            .collect();
        let mut settings = json!({
            "node_name": format!("front-{}", entry.ip.octets()[3]), "ip": entry.ip.to_string(), "zone": "a",
            "zones": {"a": "north", "b": "south"},
            "listen": {"front": entry.callers, "ready": entry.readiness, "control": entry.operators},
            "internal_port_range": [peer_port, peer_port], "seeds": seeds,
            "platform": {"address": entry.store},
            "bounds": {"grace_s": 8, "config_apply_ms": 2_000, "drain_timeout_ms": 2_000,
                "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56,
                "evacuate_ms": 5_000, "cold_overshoot": 1.5, "cold_slack": 5},
        });
        if let Some((memory_mb, max_fds)) = self.limits {
            settings["limits"] = json!({"memory_mb": memory_mb, "max_fds": max_fds});
        }
        settings
    }

    /// Makes the settings file of an entry invalid.
    pub(crate) fn corrupt_settings(&self, entry: usize) {
        fs::write(&self.entries[entry].settings, "{").unwrap();
    }

    /// Waits until an entry reports readiness; a failure shows the end of its log.
    pub(crate) async fn until_ready(&self, entry: usize) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !self.is_ready(entry).await {
            assert!(
                Instant::now() < end,
                "entry {entry} isn't ready: {}",
                self.log_tail(entry)
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the last lines of an entry's log.
    pub(crate) fn log_tail(&self, entry: usize) -> String {
        let log = self.log(entry);
        let lines: Vec<&str> = log.lines().collect();
        let from = lines.len().saturating_sub(LOG_TAIL_LINES);
        lines[from..].join("\n")
    }

    /// Returns whether an entry reports readiness.
    pub(crate) async fn is_ready(&self, entry: usize) -> bool {
        let url = format!("http://{}/v1/readyz", self.entries[entry].readiness);
        let response = Client::new().get(url).send().await;
        response.is_ok_and(|r| r.status() == 200)
    }

    /// Returns the engine of a request's latest run.
    pub(crate) async fn engine_of(&self, id: &str) -> usize {
        until("the run", || async { !self.record.runs_of(id).is_empty() }).await;
        let runs = self.record.runs_of(id);
        let instance = &runs.last().unwrap().instance;
        self.engines
            .iter()
            .position(|e| e.instance() == *instance)
            .unwrap()
    }

    /// Returns the log of an entry.
    pub(crate) fn log(&self, entry: usize) -> String {
        fs::read_to_string(&self.entries[entry].log).unwrap_or_default()
    }

    /// Moves the second engine and the second plain service to the data centre `b` in region `south`.
    pub(crate) async fn split_data_centres(&self) {
        for (upstream, service) in [(&self.engines[1], "models"), (&self.plains[1], "records")] {
            let mut entry = upstream.registration(service, "ready");
            entry["zone"] = json!("b");
            self.store.put("servers", &upstream.instance(), &entry);
        }
        for entry in 0..self.entries.len() {
            until("the other data centre", || async {
                let args = ["entries", "upstreams", "--json"];
                let (_, shown) = self.run_fireflyctl(entry, &args).await;
                shown.matches("\"data_centre\":\"b\"").count() == 2
            })
            .await;
        }
    }

    /// Returns the metrics of an entry.
    pub(crate) async fn metrics(&self, entry: usize) -> String {
        let url = format!("http://{}/metrics", self.entries[entry].operators);
        Client::new()
            .get(url)
            .send()
            .await
            .unwrap()
            .text()
            .await
            .unwrap()
    }

    /// Checks guarantees that hold in every test, as seen by upstreams.
    pub(crate) fn check(&self) {
        for run in self.record.runs() {
            assert!(!run.saw_key, "the key reached an upstream: {run:?}");
            assert_eq!(run.workspace.as_deref(), Some("brand-a"), "{run:?}");
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            entry.kill();
        }
        if !std::thread::panicking() {
            // A leftover folder does no harm.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until `holds` returns true; `what` names the condition in the failure message.
pub(crate) async fn until<F: Future<Output = bool>>(what: &str, holds: impl FnMut() -> F) {
    until_within(WAIT_TIMEOUT, what, holds).await;
}

/// The same with a timeout.
pub(crate) async fn until_within<F: Future<Output = bool>>(
    timeout: Duration,
    what: &str,
    mut holds: impl FnMut() -> F,
) {
    let end = Instant::now() + timeout;
    while !holds().await {
        assert!(Instant::now() < end, "waited too long for {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns status and `X-Firefly-Code` of an answer.
pub(crate) fn outcome(answer: &Response) -> (u16, Option<u32>) {
    let code = answer.headers().get("x-firefly-code");
    let code = code.and_then(|c| c.to_str().ok()?.parse().ok());
    (answer.status().as_u16(), code)
}

/// Returns the complete stream of a generation of `events` events.
pub(crate) fn whole_stream(id: &str, events: u64) -> String {
    rest_of_stream(id, 0, events)
}

/// Returns the events of a generation of `events` events that come after one of them.
pub(crate) fn rest_of_stream(id: &str, after: u64, events: u64) -> String {
    let event = |n| format!("id: {n}\ndata: {id} {n}\n\n");
    (after + 1..=events).map(event).collect()
}

/// Checks that the runs of a request don't overlap and each resumes from the memory of the previous.
pub(crate) fn check_runs(site: &Site, id: &str) {
    let runs = site.record.runs_of(id);
    for pair in runs.windows(2) {
        assert!(pair[1].from_memory, "rerun without memory: {runs:#?}");
        assert_ne!(
            pair[0].end.0,
            RunEnd::Running,
            "overlapping runs: {runs:#?}"
        );
    }
}
