//! A stand-in platform as a process.

use standins::cli;
use standins::platform::{self, Config, READS_PER_SECOND, WRITES_PER_SECOND};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    cli::init_logging();
    let matches = cli::command("standin-platform", "Stand-in for the platform's object API")
        .arg(cli::flag(
            "reads-per-second",
            &READS_PER_SECOND,
            "Reads allowed a second; 0 for no limit",
        ))
        .arg(cli::flag(
            "writes-per-second",
            &WRITES_PER_SECOND,
            "Writes allowed a second; 0 for no limit",
        ))
        .get_matches();
    let cfg = Config {
        reads_per_second: cli::value(&matches, "reads-per-second")?,
        writes_per_second: cli::value(&matches, "writes-per-second")?,
        run_log: cli::run_log(&matches)?,
    };
    let running = platform::serve(&cfg, cli::listener(&matches).await?)?;
    cli::run(&matches, running).await
}
