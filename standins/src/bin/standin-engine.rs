//! Runs the stand-in model engine as a process.

use std::sync::Arc;
use std::time::Duration;

use clap::{ArgMatches, Command};
use standins::cli::{self, flag, value};
use standins::engine::{self, Config};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    cli::init_logging();
    let matches = command().get_matches();
    let running = engine::serve(config(&matches)?, cli::listener(&matches).await?)?;
    cli::run(&matches, running).await
}

fn command() -> Command {
    let cfg = Config::default();
    cli::command(
        "standin-engine",
        "Stand-in for a model engine with continuous batching",
    )
    .arg(flag(
        "models",
        &cfg.models.join(","),
        "Models loaded at startup, comma-separated",
    ))
    .arg(flag(
        "software-version",
        &cfg.software_version,
        "Version of its software; empty to state none",
    ))
    .arg(flag("seed", &cfg.seed, "Seed of random output lengths"))
    .arg(flag(
        "step-base-ms",
        &cfg.step_base_ms,
        "Base duration of a decode step, in milliseconds",
    ))
    .arg(flag(
        "step-per-seq-ms",
        &cfg.step_per_seq_ms,
        "Duration that each sequence adds to a step, in milliseconds",
    ))
    .arg(flag(
        "prefill-per-token-ms",
        &cfg.prefill_per_token_ms,
        "Duration that each prompt token adds to a step, in milliseconds",
    ))
    .arg(flag(
        "time-scale",
        &cfg.time_scale,
        "Divisor of all durations",
    ))
    .arg(flag(
        "slow-factor",
        &cfg.slow_factor,
        "Multiplier of step durations",
    ))
    .arg(flag(
        "capacity-tokens",
        &cfg.capacity_tokens,
        "Memory capacity, in tokens",
    ))
    .arg(flag(
        "max-batch",
        &cfg.max_batch,
        "Maximum number of running sequences",
    ))
    .arg(flag(
        "max-prompt-tokens",
        &cfg.max_prompt_tokens,
        "Maximum prompt length, in tokens",
    ))
    .arg(flag(
        "cache-tokens",
        &cfg.cache_tokens,
        "Prefix cache capacity, in tokens",
    ))
    .arg(flag(
        "event-lag-ms",
        &cfg.event_lag.as_millis(),
        "Delay of cache events, in milliseconds",
    ))
    .arg(flag(
        "event-gap",
        &cfg.event_gap,
        "Interval between dropped cache events, in events; 0 for none",
    ))
    .arg(flag(
        "load-lag-ms",
        &cfg.load_lag.as_millis(),
        "Delay of load reports, in milliseconds",
    ))
    .arg(flag(
        "resume-window-ms",
        &cfg.resume_window.as_millis(),
        "Retention of a stream without readers, in milliseconds",
    ))
    .arg(flag(
        "load-ms",
        &cfg.load_time.as_millis(),
        "Duration of loading a model, in milliseconds",
    ))
    .arg(flag(
        "check-fence",
        &cfg.check_fence,
        "Whether to reject orders with a stale fencing number",
    ))
}

fn config(matches: &ArgMatches) -> anyhow::Result<Config> {
    let models: String = value(matches, "models")?;
    let software_version: String = value(matches, "software-version")?;
    Ok(Config {
        models: models.split(',').map(Arc::from).collect(),
        software_version: software_version.into(),
        seed: value(matches, "seed")?,
        step_base_ms: value(matches, "step-base-ms")?,
        step_per_seq_ms: value(matches, "step-per-seq-ms")?,
        prefill_per_token_ms: value(matches, "prefill-per-token-ms")?,
        time_scale: value(matches, "time-scale")?,
        slow_factor: value(matches, "slow-factor")?,
        capacity_tokens: value(matches, "capacity-tokens")?,
        max_batch: value(matches, "max-batch")?,
        max_prompt_tokens: value(matches, "max-prompt-tokens")?,
        cache_tokens: value(matches, "cache-tokens")?,
        event_lag: millis(matches, "event-lag-ms")?,
        event_gap: value(matches, "event-gap")?,
        load_lag: millis(matches, "load-lag-ms")?,
        resume_window: millis(matches, "resume-window-ms")?,
        load_time: millis(matches, "load-ms")?,
        check_fence: value(matches, "check-fence")?,
        crash_aborts: true,
        run_log: cli::run_log(matches)?,
    })
}

fn millis(matches: &ArgMatches, name: &str) -> anyhow::Result<Duration> {
    value(matches, name).map(Duration::from_millis)
}
