//! Settings of the process: flags, environment, and the file that the platform lays.

use anyhow::Context;
use clap::{Arg, ArgAction, Command};
use fireflycroft::{Mechanism, Policy};
use fireflycroft_platform::{PlatformSettings, SETTINGS_ENV, read_settings};
use std::ffi::OsString;
use std::path::PathBuf;

/// Settings from flags and environment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// File that the platform lays and may change.
    pub file: PathBuf,
    /// Least level of the log lines written.
    pub log_level: log::LevelFilter,
    /// Whether to check the settings and start nothing.
    pub check_only: bool,
    /// Mechanisms that are switched off.
    pub off: Vec<Mechanism>,
}

impl Settings {
    /// Reads flags and environment.
    ///
    /// # Errors
    ///
    /// The library's report, which also covers help and version.
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
            off: matches
                .get_many("without")
                .unwrap_or_default()
                .copied()
                .collect(),
        })
    }

    /// Mechanisms that are on.
    #[must_use]
    pub fn policy(&self) -> Policy {
        Policy::without(self.off.iter().copied())
    }

    /// Words of those that are off, for the log.
    #[must_use]
    pub fn without(&self) -> String {
        let words: Vec<&str> = self.off.iter().map(|m| m.name()).collect();
        words.join(",")
    }

    /// Reads the platform's file.
    ///
    /// # Errors
    ///
    /// When it can't be read, or a field is missing or of another type.
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
                .help("File that the platform lays: addresses, data centre, bounds"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .env("FIREFLYDIRECT_LOG_LEVEL")
                .default_value("info")
                .value_parser(clap::value_parser!(log::LevelFilter))
                .help("Least level of the log lines: off, error, warn, info, debug, trace"),
        )
        .arg(
            Arg::new("without")
                .long("without")
                .env("FIREFLYDIRECT_WITHOUT")
                .value_delimiter(',')
                .value_parser(str::parse::<Mechanism>)
                .help("Mechanisms to switch off, by their words: copies, moves, door and others"),
        )
        .arg(
            Arg::new("check-config")
                .long("check-config")
                .action(ArgAction::SetTrue)
                .help("Check the settings and start nothing"),
        )
}
