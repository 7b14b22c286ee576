//! Runs the stand-in plain service as a process.

use std::sync::Arc;
use std::time::Duration;

use standins::cli;
use standins::plain::{self, Config};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    cli::init_logging();
    let matches = cli::command("standin-plain", "Stand-in for a plain service")
        .arg(cli::flag(
            "delay-ms",
            &0,
            "Duration of a call, in milliseconds",
        ))
        .arg(cli::optional(
            "crash-on",
            "Request body text that aborts the process",
        ))
        .arg(cli::flag(
            "crash-point",
            "before",
            "Whether to abort `before` or `after` the call takes effect",
        ))
        .get_matches();
    let cfg = Config {
        delay: Duration::from_millis(cli::value(&matches, "delay-ms")?),
        crash_on: matches
            .get_one::<String>("crash-on")
            .map(|text| Arc::from(text.as_str())),
        crash_point: cli::value(&matches, "crash-point")?,
        crash_aborts: true,
        run_log: cli::run_log(&matches)?,
    };
    let running = plain::serve(cfg, cli::listener(&matches).await?)?;
    cli::run(&matches, running).await
}
