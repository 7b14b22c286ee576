//! Entry point of the daemon: reads the settings and runs one process of the fleet.

use std::process::ExitCode;

use fireflyd::settings::{Settings, SettingsFaults};
use fireflyd::{logs, process};

fn main() -> ExitCode {
    let settings = match Settings::parse(std::env::args_os(), std::env::vars()) {
        Ok(settings) => settings,
        Err(faults) => return print_faults(&faults),
    };
    if settings.check_config {
        println!("settings ok");
        return ExitCode::SUCCESS;
    }
    match start(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("fireflyd: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(settings: Settings) -> anyhow::Result<()> {
    logs::init(settings.log_level, logs::Output::Stderr)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(process::run(settings))
}

fn print_faults(faults: &SettingsFaults) -> ExitCode {
    match faults {
        SettingsFaults::HelpOrVersion(text) => print!("{text}"),
        _ => eprintln!("{faults}"),
    }
    ExitCode::from(u8::try_from(faults.exit_status()).unwrap_or(1))
}
