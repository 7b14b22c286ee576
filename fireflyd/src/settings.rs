//! Settings of the daemon, from flags and environment variables.
//!
//! Flags go before variables. `clap` finds the texts; each is then checked, so that all faults come
//! in one report instead of the first one alone.

use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::flags::command;
pub use crate::flags::env_name;
use crate::setting_check::check;

/// Result code of settings at fault.
pub const CODE_BAD_SETTINGS: u32 = 1001;
/// Exit status of a process whose settings are at fault.
pub const EXIT_BAD_SETTINGS: i32 = 78;

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes calls from callers.
    Entry,
    /// Runs beside an upstream.
    Agent,
}

/// What an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the process, unique in the fleet.
    pub name: Arc<str>,
    /// Data centre it runs in.
    pub data_centre: Arc<str>,
    /// What it does, with the settings of that role.
    pub role: RoleSettings,
    /// Address of its mailbox.
    pub mailbox: SocketAddr,
    /// Address of metrics, health and status.
    pub admin_listen: SocketAddr,
    /// URL of the platform.
    pub platform: String,
    /// Mailboxes of some members of the fleet.
    pub seeds: Vec<SocketAddr>,
    /// File of the fleet keys.
    pub fleet_keys_file: PathBuf,
    /// File that gets the bound addresses.
    pub port_file: Option<PathBuf>,
    /// Timeouts.
    pub timeouts: Timeouts,
    /// Least level of the log lines written.
    pub log_level: log::LevelFilter,
    /// Name of the routing policy.
    pub policy: Arc<str>,
    /// Whether to check the settings and start nothing.
    pub check_config: bool,
}

/// Settings of one role.
#[derive(Clone, Debug, PartialEq)]
pub enum RoleSettings {
    /// Those of an entry.
    Entry(EntrySettings),
    /// Those of an agent.
    Agent(AgentSettings),
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Address of the callers' interface.
    pub listen: SocketAddr,
    /// Certificate and key files; plain HTTP when absent.
    pub tls: Option<TlsFiles>,
}

/// Files of a TLS certificate and its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate chain in PEM.
    pub cert: PathBuf,
    /// Private key in PEM.
    pub key: PathBuf,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// URL of the upstream.
    pub upstream: String,
    /// What the upstream is.
    pub kind: UpstreamKind,
    /// Name of the upstream.
    pub upstream_name: Arc<str>,
    /// Name under which a plain service is routed.
    pub service: Option<Arc<str>>,
    /// Models known to be loaded.
    pub models: Vec<Arc<str>>,
    /// Tokens that fit in the engine's memory; reported by the engine when absent.
    pub capacity_tokens: Option<u64>,
    /// Most generations in the engine's batch; reported by the engine when absent.
    pub max_batch: Option<u64>,
    /// Whether the upstream refuses orders with an old fencing number.
    pub checks_fence: bool,
}

/// Timeouts of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Time between the refusal of new work and the check that all has ended.
    pub drain_grace: Duration,
    /// Bound of a platform call.
    pub platform: Duration,
    /// Bound of an offer's answer.
    pub offer: Duration,
    /// Silence after which a stream counts as stalled and is attached again.
    pub stall: Duration,
    /// Bound of connecting to the upstream and of its short calls.
    pub upstream: Duration,
    /// Bound of a whole call of a plain service.
    pub plain_call: Duration,
    /// Time for which the tokens of a stream without a reader are kept.
    pub retain: Duration,
}

/// One setting at fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Its flag, without dashes.
    pub flag: String,
    /// What was given; `None` when nothing was.
    pub given: Option<String>,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.given {
            Some(given) => write!(
                f,
                "--{}: given {given:?}, allowed: {}",
                self.flag, self.allowed
            ),
            None => write!(f, "--{}: not given, allowed: {}", self.flag, self.allowed),
        }
    }
}

/// Why no settings came of flags and variables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsFaults {
    /// Help or version was asked for; the text to print.
    HelpOrVersion(String),
    /// The flags themselves can't be told apart; the text to print.
    Usage(String),
    /// All settings at fault, in the order of the help.
    Faults(Vec<SettingFault>),
}

impl SettingsFaults {
    /// Exit status of the process.
    #[must_use]
    pub fn exit_status(&self) -> i32 {
        match self {
            Self::HelpOrVersion(_) => 0,
            Self::Usage(_) | Self::Faults(_) => EXIT_BAD_SETTINGS,
        }
    }
}

impl fmt::Display for SettingsFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HelpOrVersion(text) => f.write_str(text),
            Self::Usage(text) => write!(f, "code={CODE_BAD_SETTINGS} {text}"),
            Self::Faults(faults) => {
                write!(f, "code={CODE_BAD_SETTINGS} settings at fault:")?;
                faults.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
            }
        }
    }
}

impl std::error::Error for SettingsFaults {}

impl Settings {
    /// Settings of `args` (program name first) and the variables of `env`.
    ///
    /// # Errors
    ///
    /// [`SettingsFaults`] with every setting at fault.
    pub fn parse(
        args: impl IntoIterator<Item = impl Into<OsString> + Clone>,
        env: impl IntoIterator<Item = (String, String)>,
    ) -> Result<Self, SettingsFaults> {
        let matches = command().try_get_matches_from(args).map_err(|e| {
            let text = e.to_string();
            if e.use_stderr() {
                SettingsFaults::Usage(text)
            } else {
                SettingsFaults::HelpOrVersion(text)
            }
        })?;
        check(&matches, &env.into_iter().collect()).map_err(SettingsFaults::Faults)
    }

    /// Which role the process has.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.role {
            RoleSettings::Entry(_) => Role::Entry,
            RoleSettings::Agent(_) => Role::Agent,
        }
    }
}
