//! Settings of the daemon, from flags and environment variables.
//!
//! Flags take precedence over variables. `clap` only extracts the raw values; they are then
//! validated separately, so that one report lists all faults instead of the first one.

use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::flags::command;
pub use crate::flags::env_name;
use crate::setting_check::check;

/// Result code of invalid settings.
pub const CODE_BAD_SETTINGS: u32 = 1001;
/// Exit status of a process with invalid settings.
pub const EXIT_BAD_SETTINGS: i32 = 78;

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Runs beside an upstream.
    Agent,
}

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// Settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the process, unique in the fleet.
    pub name: Arc<str>,
    /// Data centre of the process.
    pub data_centre: Arc<str>,
    /// Role, with its settings.
    pub role: RoleSettings,
    /// Mailbox address.
    pub mailbox: SocketAddr,
    /// Address of metrics, health and status.
    pub admin_listen: SocketAddr,
    /// URL of the platform.
    pub platform: String,
    /// Mailbox addresses of some members of the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Fleet key file.
    pub fleet_keys_file: PathBuf,
    /// File for the bound addresses.
    pub port_file: Option<PathBuf>,
    /// Timeouts.
    pub timeouts: Timeouts,
    /// Memory and descriptors of the VM.
    pub vm: VmResources,
    /// Minimum log level.
    pub log_level: log::LevelFilter,
    /// Name of the routing policy.
    pub policy: Arc<str>,
    /// Whether to only check the settings.
    pub check_config: bool,
}

/// Settings of a role.
#[derive(Clone, Debug, PartialEq)]
pub enum RoleSettings {
    /// Settings of an entry.
    Entry(EntrySettings),
    /// Settings of an agent.
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
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// Name of the upstream.
    pub upstream_name: Arc<str>,
    /// Name under which a plain service is routed.
    pub service: Option<Arc<str>>,
    /// Models known to be loaded.
    pub models: Vec<Arc<str>>,
    /// Memory capacity of the engine in tokens; as reported by the engine when absent.
    pub capacity_tokens: Option<u64>,
    /// Maximum number of generations in the engine's batch; as reported by the engine when absent.
    pub max_batch: Option<u64>,
    /// Whether the upstream refuses orders with an old fencing number.
    pub checks_fence: bool,
}

/// Memory and descriptors of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmResources {
    /// Memory in bytes.
    pub memory: u64,
    /// Descriptors.
    pub descriptors: usize,
}

/// Timeouts of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Minimum time between the first refusal of new work and the end of the process.
    pub drain_grace: Duration,
    /// Timeout of a platform call.
    pub platform: Duration,
    /// Timeout of the response to an offer.
    pub offer: Duration,
    /// Silence after which a stream counts as stalled and is reattached.
    pub stall: Duration,
    /// Timeout of connecting to the upstream and of its short calls.
    pub upstream: Duration,
    /// Timeout of a complete call to a plain service.
    pub plain_call: Duration,
    /// Retention time of the tokens of a stream without a reader.
    pub retain: Duration,
}

/// Fault of a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// Flag, without dashes.
    pub flag: String,
    /// Given value, if any.
    pub given: Option<String>,
    /// Allowed values.
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

/// Outcome of parsing that yields no settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsFaults {
    /// Requested help or version text.
    HelpOrVersion(String),
    /// Usage error of the command line, as text.
    Usage(String),
    /// All invalid settings, in the order of the help.
    Faults(Vec<SettingFault>),
}

impl SettingsFaults {
    /// Returns the exit status of the process.
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
    /// Parses the settings from `args` (program name first) and the variables in `env`.
    ///
    /// # Errors
    ///
    /// [`SettingsFaults`] with every invalid setting.
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

    /// Returns the role of the process.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.role {
            RoleSettings::Entry(_) => Role::Entry,
            RoleSettings::Agent(_) => Role::Agent,
        }
    }
}
