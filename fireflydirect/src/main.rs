//! The direct entry as a daemon.

use fireflydirect::process;
use fireflydirect::settings::Settings;
use std::process::ExitCode;
use tokio::task::LocalSet;

/// Exit status for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 78;

fn main() -> ExitCode {
    let settings = match Settings::parse(std::env::args_os()) {
        Ok(settings) => settings,
        Err(e) => e.exit(),
    };
    if settings.check_only {
        return check(&settings);
    }
    match start(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("fireflydirect: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn check(settings: &Settings) -> ExitCode {
    match settings.read_place() {
        Ok(_) => {
            println!("settings ok");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("code=1001 {e:#}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

fn start(settings: Settings) -> anyhow::Result<()> {
    fireflylog::init(settings.log_level, fireflylog::Output::Stdout)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let ended = LocalSet::new().block_on(&runtime, process::run(settings));
    log::logger().flush();
    ended
}
