//! Settings of the process: flags, environment variables and the platform's settings file.

use anyhow::Context;
use clap::{Arg, ArgAction, Command};
use fireflycroft::{Mechanism, Policy};
use fireflycroft_platform::{PlatformSettings, SETTINGS_ENV, read_settings};
use std::ffi::OsString;
use std::path::PathBuf;

/// Settings from flags and environment variables.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings file, written and possibly changed by the platform.
    pub file: PathBuf,
    /// Lowest level of log lines to write.
    pub log_level: log::LevelFilter,
    /// Whether to check the settings and exit.
    pub check_only: bool,
    /// Disabled mechanisms.
    pub disabled: Vec<Mechanism>,
}

impl Settings {
    /// Parses flags and environment variables.
    ///
    /// # Errors
    ///
    /// Returns clap's error, which is also used for help and version output.
    pub fn parse(
        args: impl IntoIterator<Item = impl Into<OsString> + Clone>,
    ) -> Result<Self, clap::Error> {
        let matches = command().try_get_matches_from(args)?;
        let file = matches.get_one::<PathBuf>("settings-file");
        let level = matches.get_one::<log::LevelFilter>("log-level");
        Ok(Self {
            file: file.cloned().unwrap_or_default(),
            log_level: level.copied().unwrap_or(log::LevelFilter::Info),
            check_only: matches.get_flag("check-config"),
            disabled: matches
                .get_many("without")
                .unwrap_or_default()
                .copied()
                .collect(),
        })
    }

    /// Returns the policy with the disabled mechanisms switched off.
    #[must_use]
    pub fn policy(&self) -> Policy {
        Policy::without(self.disabled.iter().copied())
    }

    /// Returns the names of the disabled mechanisms, separated by commas, for the log.
    #[must_use]
    pub fn disabled_names(&self) -> String {
        let names: Vec<&str> = self.disabled.iter().map(|m| m.name()).collect();
        names.join(",")
    }

    /// Reads the platform's settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or a field is missing or has the wrong type.
    pub fn read_place(&self) -> anyhow::Result<PlatformSettings> {
        let file = self.file.display();
        let text = std::fs::read(&self.file).with_context(|| format!("reading {file}"))?;
        read_settings(&text).with_context(|| format!("settings in {file}"))
    }
}

fn command() -> Command {
    Command::new("fireflydirect")
        .about("Takes callers' requests and drives upstreams itself")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings-file")
                .long("settings-file")
                .env(SETTINGS_ENV)
                .required(true)
                .value_parser(clap::value_parser!(PathBuf))
                .help("Settings file of the platform: addresses, data centre, bounds"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .env("FIREFLYDIRECT_LOG_LEVEL")
                .default_value("info")
                .value_parser(clap::value_parser!(log::LevelFilter))
                .help("Lowest level of log lines to write: off, error, warn, info, debug, trace"),
        )
        .arg(
            Arg::new("without")
                .long("without")
                .env("FIREFLYDIRECT_WITHOUT")
                .value_delimiter(',')
                .value_parser(str::parse::<Mechanism>)
                .help("Mechanisms to disable, by name: copies, moves, door and others"),
        )
        .arg(
            Arg::new("check-config")
                .long("check-config")
                .action(ArgAction::SetTrue)
                .help("Check the settings and start nothing"),
        )
}
