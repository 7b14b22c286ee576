//! Measures the overhead of entry and agent against direct engine calls.
//!
//! Each round calls the engine directly, then through the entry, with the given
//! number of concurrent streams. Measured at the caller: time to first token, time
//! between tokens and tokens per second.

use std::time::{Duration, Instant};

use anyhow::Context;
use clap::{Arg, ArgMatches, Command};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Upper bound of the histograms; longer times count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];

/// URL and API key of the calls.
#[derive(Clone)]
struct Target {
    url: String,
    key: String,
}

/// Measurements of one target.
struct Samples {
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    tokens: u64,
    elapsed: Duration,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> anyhow::Result<()> {
    let args = command().get_matches();
    let streams = number(&args, "streams")?;
    let rounds = number(&args, "rounds")?;
    let length = number(&args, "length")?;
    let direct = target(&args, "straight", "none")?;
    let via_entry = target(&args, "through", &text(&args, "key")?)?;
    let http = reqwest::Client::builder()
        .no_proxy()
        .tcp_nodelay(true)
        .build()?;
    let mut samples = [Samples::new()?, Samples::new()?];
    for _ in 0..rounds {
        for (target_samples, target) in samples.iter_mut().zip([&direct, &via_entry]) {
            run_round(&http, target, streams, length, target_samples).await?;
        }
    }
    println!("{}", report(&samples, streams, rounds, length));
    Ok(())
}

fn command() -> Command {
    let arg = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    Command::new("firefly-overhead")
        .about("Measures the overhead of entry and agent per stream")
        .arg(
            Arg::new("straight")
                .long("straight")
                .required(true)
                .help("Base URL of the engine"),
        )
        .arg(
            Arg::new("through")
                .long("through")
                .required(true)
                .help("Base URL of an entry"),
        )
        .arg(arg("key", "demo-key-1", "API key for the entry"))
        .arg(arg("streams", "8", "Concurrent streams"))
        .arg(arg("rounds", "20", "Rounds; each calls both targets"))
        .arg(arg("length", "100", "Tokens per response"))
}

fn text(args: &ArgMatches, name: &str) -> anyhow::Result<String> {
    args.get_one::<String>(name)
        .cloned()
        .with_context(|| format!("--{name}"))
}

fn number(args: &ArgMatches, name: &str) -> anyhow::Result<usize> {
    text(args, name)?
        .parse()
        .with_context(|| format!("--{name}"))
}

fn target(args: &ArgMatches, name: &str, key: &str) -> anyhow::Result<Target> {
    Ok(Target {
        url: format!("{}/v1/chat/completions", text(args, name)?),
        key: key.to_owned(),
    })
}

impl Samples {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            first_token: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
            between_tokens: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
            tokens: 0,
            elapsed: Duration::ZERO,
        })
    }

    fn add(&mut self, times: &[Duration]) {
        let Some((first_token, rest)) = times.split_first() else {
            return;
        };
        self.first_token.saturating_record(micros(*first_token));
        for (earlier, later) in times.iter().zip(rest) {
            self.between_tokens
                .saturating_record(micros(later.saturating_sub(*earlier)));
        }
        self.tokens += times.len() as u64;
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros())
        .unwrap_or(u64::MAX)
        .max(1)
}

async fn run_round(
    http: &reqwest::Client,
    target: &Target,
    streams: usize,
    length: usize,
    target_samples: &mut Samples,
) -> anyhow::Result<()> {
    let started = Instant::now();
    let calls = (0..streams).map(|_| {
        let http = http.clone();
        let target = target.clone();
        tokio::spawn(async move { time_tokens(&http, &target, length).await })
    });
    let calls: Vec<_> = calls.collect();
    for call in calls {
        target_samples.add(&call.await??);
    }
    target_samples.elapsed += started.elapsed();
    Ok(())
}

/// Returns the arrival time of each token of one stream, relative to the send.
async fn time_tokens(
    http: &reqwest::Client,
    target: &Target,
    length: usize,
) -> anyhow::Result<Vec<Duration>> {
    let body = json!({
        "model": "model-a",
        "stream": true,
        "max_tokens": length,
        "messages": [{"role": "user", "content": format!("overhead [[len={length}]]")}],
    });
    let sent = Instant::now();
    let mut res = http
        .post(&target.url)
        .bearer_auth(&target.key)
        .json(&body)
        .send()
        .await?
        .error_for_status()?;
    let mut times = Vec::with_capacity(length);
    let mut buffer = Vec::new();
    while let Some(chunk) = res.chunk().await? {
        let at = sent.elapsed();
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            if contains_token(&event) {
                times.push(at);
            }
        }
    }
    anyhow::ensure!(
        times.len() == length,
        "expected {length} tokens, received {}",
        times.len()
    );
    Ok(times)
}

fn contains_token(event: &[u8]) -> bool {
    let text = String::from_utf8_lossy(event);
    let data = text.lines().find_map(|line| line.strip_prefix("data: "));
    let parsed: Option<Value> = data.and_then(|d| serde_json::from_str(d).ok());
    parsed.is_some_and(|v| v["choices"][0]["delta"]["content"].is_string())
}

fn report(samples: &[Samples; 2], streams: usize, rounds: usize, length: usize) -> Value {
    json!({
        "streams": streams,
        "rounds": rounds,
        "length": length,
        "straight": samples_report(&samples[0]),
        "through": samples_report(&samples[1]),
    })
}

fn samples_report(target_samples: &Samples) -> Value {
    let quantiles = |h: &Histogram<u64>| -> Vec<u64> {
        QUANTILES.iter().map(|q| h.value_at_quantile(*q)).collect()
    };
    #[allow(clippy::cast_precision_loss)]
    let rate = target_samples.tokens as f64 / target_samples.elapsed.as_secs_f64();
    json!({
        "first_token_us_p50_p95_p99_p999": quantiles(&target_samples.first_token),
        "between_us_p50_p95_p99_p999": quantiles(&target_samples.between_tokens),
        "tokens_per_s": rate.round(),
    })
}
