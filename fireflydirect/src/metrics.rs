//! Counters, histograms and gauges of one process.
//!
//! Counters and histograms are updated by events; gauges are computed on each request of the
//! page.

use crate::node::Node;
use crate::store_call::StoreCall;
use fireflycroft::{Code, Pool, RequestKind, Time};
use fireflycroft_platform::Kind;
use fireflynet::Usage;
use prometheus::core::Collector;
use prometheus::{
    GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use std::time::Duration;

/// Path of the metrics page.
pub const METRICS_PATH: &str = "/metrics";

/// Bucket bounds in seconds, from a millisecond to the longest route's timeout.
const SECONDS: [f64; 14] = [
    0.001, 0.003, 0.01, 0.03, 0.1, 0.15, 0.3, 0.6, 1.0, 1.5, 1.8, 3.0, 10.0, 40.0,
];

/// The metrics of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    answer_seconds: HistogramVec,
    /// Attempts at upstreams, by `outcome`.
    pub attempts: IntCounterVec,
    /// Streams ended, by `end`: `whole`, `cut`.
    pub streams: IntCounterVec,
    /// Streams resumed on another upstream, by `way`: `moved`, `copy`, `anew`.
    pub resumed: IntCounterVec,
    /// Streams that callers took up, by `source` of the origin: `own`, `owner`, `sole version`, `unknown`.
    pub taken_up: IntCounterVec,
    /// Longest pause of each stream in seconds, by `kind`.
    pub pause_seconds: HistogramVec,
    /// Calls to the platform's store, by `kind`, `call` and `result`.
    pub store_calls: IntCounterVec,
    datagrams: IntCounterVec,
    datagram_bytes: IntCounterVec,
    owner_queries: IntCounterVec,
    departure_queries: IntCounterVec,
    /// Departures found by queries while the store was silent, `by`: `report`, `closes`.
    pub departures_found: IntCounterVec,
    /// Standby copies of runs, by `end`: `made`, `no_room`, `used`, or why they were given up.
    pub standby_copies: IntCounterVec,
    /// States fetched from other entries, by `what` was missing: `config`, `list`, `entries`.
    pub fetches: IntCounterVec,
    /// Connections to this process.
    pub connections: ConnectionMetrics,
    unreadable: IntCounterVec,
    restarts: IntCounterVec,
    hold_seconds: HistogramVec,
    held: IntGauge,
    running: IntGauge,
    config_version: IntGauge,
    peers: IntGauge,
    watching: IntGauge,
    quarantined: IntGauge,
    refused_parts: IntGauge,
    evacuated: IntGauge,
    cold_upstreams: IntGauge,
    rate_limited: IntGauge,
    store_era: IntGauge,
    memory: GaugeVec,
    repeats_left: GaugeVec,
    upstreams: GaugeVec,
    pause_risk: GaugeVec,
    fast_engines: GaugeVec,
    slow_engines: GaugeVec,
}

/// Metrics of the connections to one process.
#[derive(Clone, Debug)]
pub struct ConnectionMetrics {
    /// Connections that gave way to others or were refused, by `server` and `shortage`: `memory`, `descriptors`.
    pub evicted: IntCounterVec,
    callers: IntGauge,
    caller_memory: IntGauge,
}

impl ConnectionMetrics {
    fn new(r: &Registry) -> prometheus::Result<Self> {
        Ok(Self {
            evicted: counters(
                r,
                "evicted_connections_total",
                "Connections that gave way to others or were refused",
                &["server", "shortage"],
            )?,
            callers: gauge(r, "caller_connections", "Open connections of callers")?,
            caller_memory: gauge(
                r,
                "caller_memory_bytes",
                "Memory reserved for callers' connections",
            )?,
        })
    }

    fn read(&self, usage: Usage) {
        self.callers.set(to_i64(usage.connections));
        let memory = i64::try_from(usage.memory).unwrap_or(i64::MAX);
        self.caller_memory.set(memory);
    }
}

/// Returns the label of a kind of request.
#[must_use]
pub const fn kind_label(request_kind: RequestKind) -> &'static str {
    match request_kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::Once => "once",
        RequestKind::Stream => "stream",
        RequestKind::ResumableStream => "resumable_stream",
    }
}

const fn object_label(kind: Kind) -> &'static str {
    match kind {
        Kind::Config => "config",
        Kind::Upstreams => "upstreams",
        Kind::Evacuations => "evacuations",
        Kind::Entries => "entries",
    }
}

impl Metrics {
    /// Creates the metrics on a registry of their own, all at zero.
    ///
    /// # Errors
    ///
    /// Returns an error if two names clash.
    pub fn new() -> prometheus::Result<Self> {
        let r = Registry::new();
        Ok(Self {
            answers: counters(&r, "answers_total", "Answers to callers", &["kind", "code"])?,
            answer_seconds: seconds(&r, "answer_seconds", "Arrival to answer or first event")?,
            attempts: counters(&r, "tries_total", "Attempts at upstreams", &["outcome"])?,
            streams: counters(&r, "streams_total", "Streams ended", &["end"])?,
            resumed: counters(
                &r,
                "went_on_total",
                "Streams resumed on another upstream",
                &["way"],
            )?,
            taken_up: counters(&r, "taken_up_total", "Streams taken up", &["source"])?,
            pause_seconds: seconds(&r, "pause_seconds", "Longest pause of each stream")?,
            store_calls: counters(
                &r,
                "store_calls_total",
                "Calls to the store",
                &["kind", "call", "result"],
            )?,
            datagrams: counters(
                &r,
                "datagrams_total",
                "Datagrams to other entries",
                &["kind"],
            )?,
            datagram_bytes: counters(
                &r,
                "datagram_bytes_total",
                "Bytes of datagrams to other entries",
                &["kind"],
            )?,
            owner_queries: counters(&r, "questions_total", "Queries to owners", &["end"])?,
            departure_queries: counters(
                &r,
                "departure_queries_total",
                "Queries to engines whether they leave",
                &["outcome"],
            )?,
            departures_found: counters(
                &r,
                "departures_found_total",
                "Departures found by queries to engines",
                &["by"],
            )?,
            standby_copies: counters(
                &r,
                "standby_copies_total",
                "Standby copies of runs",
                &["end"],
            )?,
            fetches: counters(
                &r,
                "fetches_total",
                "States fetched from entries",
                &["what"],
            )?,
            connections: ConnectionMetrics::new(&r)?,
            unreadable: counters(
                &r,
                "unreadable_total",
                "Unreadable objects of the store",
                &["what"],
            )?,
            restarts: counters(&r, "restarts_total", "Upstream restarts", &["service"])?,
            hold_seconds: seconds(&r, "hold_seconds", "Holds for memory, by their end")?,
            held: gauge(&r, "held", "Generations held for memory")?,
            running: gauge(&r, "streams_running", "Streams in progress")?,
            config_version: gauge(&r, "config_version", "Version of the active configuration")?,
            peers: gauge(&r, "peers", "Other entries heard from recently")?,
            watching: gauge(
                &r,
                "watches_store",
                "Whether the store answers this watcher",
            )?,
            quarantined: gauge(&r, "quarantined", "Contents quarantined for crashes")?,
            refused_parts: gauge(&r, "refused_parts", "Parts refused for crashes")?,
            evacuated: gauge(&r, "evacuated", "Data centres evacuated")?,
            cold_upstreams: gauge(&r, "cold_upstreams", "Upstreams that are cold")?,
            rate_limited: gauge(&r, "rate_limited_upstreams", "Upstreams with a rate limit")?,
            store_era: gauge(&r, "store_era", "Restores of the store from a backup")?,
            memory: gauges(
                &r,
                "memory_share",
                "Share of engine memory reserved",
                "service",
            )?,
            repeats_left: gauges(&r, "repeats_left", "Retries left in the window", "service")?,
            upstreams: gauges(&r, "upstreams", "Upstreams that take new work", "service")?,
            pause_risk: gauges(
                &r,
                "pause_risk",
                "Late pauses expected in a second of reading",
                "service",
            )?,
            fast_engines: gauges(&r, "fast_engines", "Engines known as fast", "service")?,
            slow_engines: gauges(&r, "slow_engines", "Engines known as slow", "service")?,
            registry: r,
        })
    }

    /// Records unreadable objects of the store: records of an `upstream`, a `config`, or
    /// `nameless` objects.
    pub fn record_unreadable(&self, what: &str, count: usize) {
        let unreadable = self.unreadable.with_label_values(&[what]);
        unreadable.inc_by(u64::try_from(count).unwrap_or(u64::MAX));
    }

    /// Records a call to the store for a kind of object, and whether it was answered.
    pub(crate) fn record_store_call(&self, kind: Kind, call: StoreCall, answered: bool) {
        let result = if answered { "answered" } else { "failed" };
        let labels = [object_label(kind), call.label(), result];
        self.store_calls.with_label_values(&labels).inc();
    }

    /// Records a datagram to another entry.
    pub fn record_datagram(&self, kind: &str, bytes: usize) {
        self.datagrams.with_label_values(&[kind]).inc();
        let sum = self.datagram_bytes.with_label_values(&[kind]);
        sum.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Records a query to owners, and whether all of them replied in time.
    pub fn record_owner_query(&self, replied: bool) {
        let end = if replied { "replied" } else { "timed_out" };
        self.owner_queries.with_label_values(&[end]).inc();
    }

    /// Records a query to an engine whether it leaves, by `outcome`: `answered`, `failed`.
    pub fn record_departure_query(&self, outcome: &str) {
        self.departure_queries.with_label_values(&[outcome]).inc();
    }

    /// Records a restart of an upstream under the same id.
    pub fn record_restart(&self, service: &str) {
        self.restarts.with_label_values(&[service]).inc();
    }

    /// Records the end of a hold: `admitted`, `refused`, `left` or `stopped`.
    pub fn record_hold(&self, end: &str, waited: Duration) {
        let seconds = self.hold_seconds.with_label_values(&[end]);
        seconds.observe(waited.as_secs_f64());
    }

    /// Records an answer to a caller.
    pub fn record_answer(&self, request_kind: Option<RequestKind>, code: Code, age: Duration) {
        let kind = request_kind.map_or("none", kind_label);
        let code = code.number().to_string();
        self.answers.with_label_values(&[kind, &code]).inc();
        let seconds = self.answer_seconds.with_label_values(&[kind]);
        seconds.observe(age.as_secs_f64());
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the library can't write them.
    pub fn render(&self, node: &Node) -> prometheus::Result<String> {
        self.read_gauges(node);
        let mut text = String::new();
        TextEncoder::new().encode_utf8(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    /// Updates the gauges of evacuated, cold and rate-limited upstreams.
    fn read_upstream_gauges(&self, pool: &Pool, now: Time) {
        let evacuated = pool.evacuations().data_centres.len();
        self.evacuated.set(to_i64(evacuated));
        let known = pool.indices();
        let cold = known
            .iter()
            .filter(|ix| !pool.cold_for(now, **ix).is_zero());
        self.cold_upstreams.set(to_i64(cold.count()));
        let limited = known.iter().filter(|ix| pool.rate_limit(**ix).is_some());
        self.rate_limited.set(to_i64(limited.count()));
    }

    fn read_gauges(&self, node: &Node) {
        let now = node.now();
        self.running.set(to_i64(node.runs.count()));
        self.held.set(to_i64(node.wait_queue.borrow().len()));
        self.connections.read(node.callers.usage());
        self.config_version
            .set(i64::try_from(node.config_version()).unwrap_or(i64::MAX));
        self.peers.set(to_i64(node.entries() - 1));
        self.watching.set(i64::from(node.watches_store()));
        let quarantined = node.crash_evidence.borrow().refused_contents();
        self.quarantined.set(to_i64(quarantined));
        let refused = node.crash_evidence.borrow().refused(node.now());
        self.refused_parts.set(to_i64(refused.len()));
        self.read_upstream_gauges(&node.pool.borrow(), now);
        self.store_era
            .set(i64::try_from(node.store_era()).unwrap_or(i64::MAX));
        let catalog = node.catalog.borrow();
        for service in catalog.iter().flat_map(|c| c.services()) {
            let name = &service.name;
            let pool = node.pool.borrow();
            let fill = pool.service_memory_share(now, name);
            self.memory.with_label_values(&[name]).set(fill);
            #[allow(clippy::cast_precision_loss)]
            let count = pool.count(name) as f64;
            self.upstreams.with_label_values(&[name]).set(count);
            let risk = pool.service_risk(name);
            self.pause_risk.with_label_values(&[name]).set(risk);
            let (fast, slow) = pool.fast_and_slow(name);
            #[allow(clippy::cast_precision_loss)]
            self.fast_engines
                .with_label_values(&[name])
                .set(fast as f64);
            #[allow(clippy::cast_precision_loss)]
            self.slow_engines
                .with_label_values(&[name])
                .set(slow as f64);
            let left = node
                .retry_budget
                .borrow_mut()
                .remaining(now, name, node.entries());
            self.repeats_left.with_label_values(&[name]).set(left);
        }
    }
}

fn to_i64(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(format!("firefly_direct_{name}"), help)
}

fn register<C: Collector + Clone + 'static>(r: &Registry, metric: C) -> prometheus::Result<C> {
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn counters(
    r: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    register(r, IntCounterVec::new(opts(name, help), labels)?)
}

fn gauge(r: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    register(r, IntGauge::with_opts(opts(name, help))?)
}

fn gauges(r: &Registry, name: &str, help: &str, label: &str) -> prometheus::Result<GaugeVec> {
    register(r, GaugeVec::new(opts(name, help), &[label])?)
}

fn seconds(r: &Registry, name: &str, help: &str) -> prometheus::Result<HistogramVec> {
    let opts = HistogramOpts::from(opts(name, help)).buckets(SECONDS.to_vec());
    register(r, HistogramVec::new(opts, &["kind"])?)
}
