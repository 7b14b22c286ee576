//! Counters, gauges and histograms of one process.
//!
//! Each instance has its own registry, so that a test can run many processes at once. Cloning is
//! cheap and shares the values.

use std::fmt::Write;

use fireflycroft::ConnectionLimits;
use fireflynet::Callers;
use prometheus::core::Collector;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Bucket bounds in seconds, from a millisecond to two minutes.
const BUCKETS_SECONDS: [f64; 16] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0,
];

/// The metrics of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests ended, by `brand`, `priority` and result `code`.
    pub requests: IntCounterVec,
    /// Requests with an objective, by `brand`, `priority` and `met`.
    pub objective: IntCounterVec,
    /// Seconds from a request's arrival to its first token, by `class`.
    pub first_token_seconds: HistogramVec,
    /// Seconds between two tokens of a stream, by `class`.
    pub between_token_seconds: HistogramVec,
    /// Seconds of each stall of a stream, by `class`.
    pub stall_seconds: HistogramVec,
    /// Streams running now.
    pub streams_running: IntGauge,
    /// Offers sent to agents.
    pub offers_sent: IntCounter,
    /// Offers refused, by result `code`.
    pub offers_refused: IntCounterVec,
    /// Streams reattached at an offset after a broken or stalled link.
    pub reattachments: IntCounter,
    /// Generations restarted before anything was delivered.
    pub restarts: IntCounter,
    /// Messages and bytes of the mailbox.
    pub mailbox: MailboxMetrics,
    /// Calls to the platform, by `kind` and `result`.
    pub platform_calls: IntCounterVec,
    /// Version of the active configuration.
    pub config_version: IntGauge,
    /// Known members of the fleet, by `state`.
    pub members: IntGaugeVec,
    /// Request digests in quarantine.
    pub quarantined_digests: IntGauge,
    /// Connections that gave way to others or were refused, by `server` and `shortage`: `memory`, `descriptors`.
    evicted_connections: IntCounterVec,
}

/// Metrics of the mailbox.
#[derive(Clone, Debug)]
pub struct MailboxMetrics {
    /// Messages handed to a link.
    pub sent: IntCounter,
    /// Bytes handed to a link, seals included.
    pub sent_bytes: IntCounter,
    /// Messages received and opened.
    pub received: IntCounter,
    /// Bytes received and opened, seals included.
    pub received_bytes: IntCounter,
    /// Messages dropped, by `cause`: `queue_full`, `too_old`, `too_long`, `too_many_peers`,
    /// `link`, `inbox_full`.
    pub dropped: IntCounterVec,
    /// Messages refused for an invalid seal.
    pub refused_seal: IntCounter,
    /// Peers with an open link.
    pub peers: IntGauge,
}

impl Metrics {
    /// Creates the metrics on a new registry, all at zero.
    ///
    /// # Errors
    ///
    /// Returns a Prometheus error when two names clash.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        Ok(Self {
            requests: counter_vec(
                &registry,
                "requests_total",
                "Requests ended",
                &["brand", "priority", "code"],
            )?,
            objective: counter_vec(
                &registry,
                "objective_total",
                "Requests by objective met",
                &["brand", "priority", "met"],
            )?,
            first_token_seconds: seconds_histogram(
                &registry,
                "first_token_seconds",
                "Arrival to first token",
            )?,
            between_token_seconds: seconds_histogram(
                &registry,
                "between_token_seconds",
                "Between two tokens",
            )?,
            stall_seconds: seconds_histogram(&registry, "stall_seconds", "Length of each stall")?,
            streams_running: gauge(&registry, "streams_running", "Streams running now")?,
            offers_sent: counter(&registry, "offers_sent_total", "Offers sent to agents")?,
            offers_refused: counter_vec(
                &registry,
                "offers_refused_total",
                "Offers refused",
                &["code"],
            )?,
            reattachments: counter(&registry, "reattachments_total", "Streams reattached")?,
            restarts: counter(&registry, "restarts_total", "Generations restarted")?,
            mailbox: MailboxMetrics::new(&registry)?,
            platform_calls: counter_vec(
                &registry,
                "platform_calls_total",
                "Calls to the platform",
                &["kind", "result"],
            )?,
            config_version: gauge(
                &registry,
                "config_version",
                "Version of the active configuration",
            )?,
            members: gauge_vec(&registry, "members", "Known members", &["state"])?,
            quarantined_digests: gauge(&registry, "quarantined_digests", "Digests in quarantine")?,
            evicted_connections: counter_vec(
                &registry,
                "evicted_connections_total",
                "Connections that gave way to others or were refused",
                &["server", "shortage"],
            )?,
            registry,
        })
    }

    /// Creates the accounts of a server's connections, whose evictions are counted.
    #[must_use]
    pub fn accounts(&self, server: &'static str, limits: ConnectionLimits) -> Callers {
        let evicted = self.evicted_connections.clone();
        Callers::new(server, limits, move |shortage| {
            evicted.with_label_values(&[server, shortage.name()]).inc();
        })
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        if let Err(e) = TextEncoder::new().encode_utf8(&self.registry.gather(), &mut text) {
            // Writing to a string can't fail; the comment reports an encoding error.
            let _ = writeln!(text, "# {e}");
        }
        text
    }
}

impl MailboxMetrics {
    fn new(registry: &Registry) -> anyhow::Result<Self> {
        Ok(Self {
            sent: counter(registry, "mailbox_sent_total", "Messages handed to a link")?,
            sent_bytes: counter(
                registry,
                "mailbox_sent_bytes_total",
                "Bytes handed to a link",
            )?,
            received: counter(registry, "mailbox_received_total", "Messages opened")?,
            received_bytes: counter(registry, "mailbox_received_bytes_total", "Bytes opened")?,
            dropped: counter_vec(
                registry,
                "mailbox_dropped_total",
                "Messages dropped",
                &["cause"],
            )?,
            refused_seal: counter(registry, "mailbox_refused_seal_total", "Wrong seals")?,
            peers: gauge(registry, "mailbox_peers", "Peers with an open link")?,
        })
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(format!("firefly_{name}"), help)
}

fn register<C: Collector + Clone + 'static>(registry: &Registry, metric: C) -> anyhow::Result<C> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn counter(registry: &Registry, name: &str, help: &str) -> anyhow::Result<IntCounter> {
    register(registry, IntCounter::with_opts(opts(name, help))?)
}

fn counter_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> anyhow::Result<IntCounterVec> {
    register(registry, IntCounterVec::new(opts(name, help), labels)?)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> anyhow::Result<IntGauge> {
    register(registry, IntGauge::with_opts(opts(name, help))?)
}

fn gauge_vec(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> anyhow::Result<IntGaugeVec> {
    register(registry, IntGaugeVec::new(opts(name, help), labels)?)
}

fn seconds_histogram(registry: &Registry, name: &str, help: &str) -> anyhow::Result<HistogramVec> {
    let opts = HistogramOpts::from(opts(name, help)).buckets(BUCKETS_SECONDS.to_vec());
    register(registry, HistogramVec::new(opts, &["class"])?)
}
