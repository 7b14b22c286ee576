//! Validation of the values of flags and environment variables.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use clap::ArgMatches;

use crate::flags::{AGENT_ONLY, CHECK_CONFIG, ENTRY_ONLY, FLAGS, Flag, env_name};
use crate::settings::{
    AgentSettings, EntrySettings, Role, RoleSettings, SettingFault, Settings, Timeouts, TlsFiles,
    UpstreamKind, VmResources,
};

/// Maximum length of a name in bytes.
const MAX_NAME: usize = 63;
/// Bounds of a VM's memory in megabytes: room for a few of the largest bodies, and a large machine.
const MIN_MEMORY_MB: u64 = 32;
const MAX_MEMORY_MB: u64 = 4_000_000;
/// Bounds of a VM's descriptors.
const MIN_DESCRIPTORS: u64 = 256;
const MAX_DESCRIPTORS: u64 = 10_000_000;
/// Maximum timeout in milliseconds: an hour.
const MAX_MS: u64 = 3_600_000;

/// Returns the settings from flags and variables, or all faults in the order of the flags.
pub(crate) fn check(
    matches: &ArgMatches,
    env: &HashMap<String, String>,
) -> Result<Settings, Vec<SettingFault>> {
    let mut check = Checker {
        raw_values: raw_values(matches, env),
        faults: Vec::new(),
    };
    let settings = check.settings(matches);
    let mut faults = check.faults;
    faults.sort_by_key(|fault| FLAGS.iter().position(|flag| flag.name == fault.flag));
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

/// Returns the raw value of each setting: from its flag, else its variable, else its default.
fn raw_values(
    matches: &ArgMatches,
    env: &HashMap<String, String>,
) -> HashMap<&'static str, RawValue> {
    let text = |flag: &Flag| {
        let given = (flag.name != CHECK_CONFIG)
            .then(|| matches.get_one::<String>(flag.name).cloned())
            .flatten()
            .or_else(|| env.get(&env_name(flag.name)).cloned());
        let text = match given {
            Some(text) => RawValue { text, given: true },
            None => RawValue {
                text: flag.default?.to_owned(),
                given: false,
            },
        };
        Some((flag.name, text))
    };
    FLAGS.iter().filter_map(text).collect()
}

/// Unparsed value of a setting.
struct RawValue {
    text: String,
    /// Whether the value was given by flag or variable.
    given: bool,
}

/// Validates the raw values and collects the faults.
struct Checker {
    raw_values: HashMap<&'static str, RawValue>,
    faults: Vec<SettingFault>,
}

impl Checker {
    /// Returns the settings; on a fault, the fault is collected and the result must be ignored.
    fn settings(&mut self, matches: &ArgMatches) -> Option<Settings> {
        let role = self.role();
        // Each part is checked, even if earlier ones are invalid.
        let name = self.name("name");
        let data_centre = self.name("data-centre");
        let role = role.and_then(|role| self.role_settings(role));
        let mailbox = self.addr("mailbox");
        let admin_listen = self.addr("admin-listen");
        let platform = self.url("platform");
        let seeds = self.addrs("seeds");
        let fleet_keys_file = self.required("fleet-keys-file", "a file");
        let port_file = self.text("port-file").map(PathBuf::from);
        let timeouts = self.timeouts();
        let vm = self.vm();
        let levels = "off, error, warn, info, debug or trace";
        let log_level = self.parsed("log-level", levels);
        let policy = self.name("policy");
        let check_config = self.check_config(matches);
        Some(Settings {
            name: name?,
            data_centre: data_centre?,
            role: role?,
            mailbox: mailbox?,
            admin_listen: admin_listen?,
            platform: platform?,
            seeds: seeds?,
            fleet_keys_file: fleet_keys_file?.into(),
            port_file,
            timeouts: timeouts?,
            vm: vm?,
            log_level: log_level?,
            policy: policy?,
            check_config: check_config?,
        })
    }

    fn role(&mut self) -> Option<Role> {
        let roles = [("entry", Role::Entry), ("agent", Role::Agent)];
        self.choice("role", &roles, "entry or agent")
    }

    fn role_settings(&mut self, role: Role) -> Option<RoleSettings> {
        match role {
            Role::Entry => {
                self.forbid(&AGENT_ONLY, "only with --role agent");
                self.entry().map(RoleSettings::Entry)
            }
            Role::Agent => {
                self.forbid(&ENTRY_ONLY, "only with --role entry");
                self.agent().map(RoleSettings::Agent)
            }
        }
    }

    fn entry(&mut self) -> Option<EntrySettings> {
        let listen = self.addr("listen");
        let tls = self.tls();
        Some(EntrySettings {
            listen: listen?,
            tls,
        })
    }

    /// Returns both TLS files, or `None` if neither is set; only one of them is a fault.
    fn tls(&mut self) -> Option<TlsFiles> {
        match (self.text("tls-cert-file"), self.text("tls-key-file")) {
            (Some(cert), Some(key)) => Some(TlsFiles {
                cert: cert.into(),
                key: key.into(),
            }),
            (None, None) => None,
            (Some(_), None) => self.fault("tls-key-file", "a file, with --tls-cert-file"),
            (None, Some(_)) => self.fault("tls-cert-file", "a file, with --tls-key-file"),
        }
    }

    fn agent(&mut self) -> Option<AgentSettings> {
        let kinds = [
            ("engine", UpstreamKind::Engine),
            ("plain", UpstreamKind::Plain),
        ];
        let upstream = self.url("upstream");
        let kind = self.choice("upstream-kind", &kinds, "engine or plain");
        let upstream_name = self.name("upstream-name");
        let service = self.service(kind);
        let models = self.models(kind);
        let capacity_tokens = self.optional_count("capacity-tokens");
        let max_batch = self.optional_count("max-batch");
        let checks_fence = self.flag("checks-fence");
        Some(AgentSettings {
            upstream: upstream?,
            kind: kind?,
            upstream_name: upstream_name?,
            service,
            models: models?,
            capacity_tokens,
            max_batch,
            checks_fence: checks_fence?,
        })
    }

    /// Returns the service name, required for a plain service and forbidden for an engine.
    fn service(&mut self, kind: Option<UpstreamKind>) -> Option<Arc<str>> {
        match (kind, self.text("service")) {
            (Some(UpstreamKind::Engine), Some(_)) => {
                self.fault("service", "only with --upstream-kind plain")
            }
            (Some(UpstreamKind::Plain), _) | (None, Some(_)) => self.name("service"),
            (_, None) => None,
        }
    }

    fn models(&mut self, kind: Option<UpstreamKind>) -> Option<Vec<Arc<str>>> {
        let Some(text) = self.text("models") else {
            return Some(Vec::new());
        };
        if kind == Some(UpstreamKind::Plain) {
            return self.fault("models", "only with --upstream-kind engine");
        }
        let models = text.split(',').map(str::trim).map(Arc::from).collect();
        if text.split(',').any(|model| model.trim().is_empty()) {
            return self.fault("models", "names without gaps, a,b");
        }
        Some(models)
    }

    fn timeouts(&mut self) -> Option<Timeouts> {
        let drain_grace = self.millis("drain-grace-ms", 0);
        let platform = self.millis("platform-timeout-ms", 1);
        let offer = self.millis("offer-timeout-ms", 1);
        let stall = self.millis("stall-timeout-ms", 1);
        let upstream = self.millis("upstream-timeout-ms", 1);
        let plain_call = self.millis("plain-timeout-ms", 1);
        let retain = self.millis("retain-ms", 1);
        Some(Timeouts {
            drain_grace: drain_grace?,
            platform: platform?,
            offer: offer?,
            stall: stall?,
            upstream: upstream?,
            plain_call: plain_call?,
            retain: retain?,
        })
    }

    fn vm(&mut self) -> Option<VmResources> {
        let megabytes = self.count_between("memory-mb", MIN_MEMORY_MB, MAX_MEMORY_MB);
        let descriptors = self.count_between("max-fds", MIN_DESCRIPTORS, MAX_DESCRIPTORS);
        Some(VmResources {
            memory: megabytes? * 1_000_000,
            descriptors: usize::try_from(descriptors?).ok()?,
        })
    }

    fn check_config(&mut self, matches: &ArgMatches) -> Option<bool> {
        if matches.get_flag(CHECK_CONFIG) {
            return Some(true);
        }
        self.flag(CHECK_CONFIG)
    }

    /// Returns the text of a setting; an empty text counts as not given.
    fn text(&self, flag: &'static str) -> Option<String> {
        let text = &self.raw_values.get(flag)?.text;
        (!text.is_empty()).then(|| text.clone())
    }

    fn fault<T>(&mut self, flag: &'static str, allowed: impl Into<String>) -> Option<T> {
        let given = self.raw_values.get(flag).map(|text| text.text.clone());
        self.faults.push(SettingFault {
            flag: flag.to_owned(),
            given,
            allowed: allowed.into(),
        });
        None
    }

    fn forbid(&mut self, flags: &[&'static str], allowed: &str) {
        for &flag in flags {
            if self.raw_values.get(flag).is_some_and(|text| text.given) {
                self.fault::<()>(flag, allowed);
            }
        }
    }

    fn required(&mut self, flag: &'static str, allowed: &str) -> Option<String> {
        match self.text(flag) {
            Some(text) => Some(text),
            None => self.fault(flag, allowed),
        }
    }

    fn parsed<T: FromStr>(&mut self, flag: &'static str, allowed: &str) -> Option<T> {
        match self.required(flag, allowed)?.parse() {
            Ok(value) => Some(value),
            Err(_) => self.fault(flag, allowed),
        }
    }

    fn choice<T: Copy>(
        &mut self,
        flag: &'static str,
        choices: &[(&str, T)],
        allowed: &str,
    ) -> Option<T> {
        let text = self.required(flag, allowed)?;
        match choices.iter().find(|(name, _)| *name == text) {
            Some((_, value)) => Some(*value),
            None => self.fault(flag, allowed),
        }
    }

    fn name(&mut self, flag: &'static str) -> Option<Arc<str>> {
        let allowed = format!("1 to {MAX_NAME} letters, digits, '-', '_' or '.'");
        let text = self.required(flag, &allowed)?;
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if text.len() <= MAX_NAME && text.bytes().all(is_allowed) {
            Some(text.into())
        } else {
            self.fault(flag, allowed)
        }
    }

    fn addr(&mut self, flag: &'static str) -> Option<SocketAddr> {
        self.parsed(flag, "IP:port")
    }

    fn addrs(&mut self, flag: &'static str) -> Option<Vec<SocketAddr>> {
        let Some(text) = self.text(flag) else {
            return Some(Vec::new());
        };
        match text.split(',').map(|addr| addr.trim().parse()).collect() {
            Ok(addrs) => Some(addrs),
            Err(_) => self.fault(flag, "IP:port,IP:port"),
        }
    }

    fn url(&mut self, flag: &'static str) -> Option<String> {
        let allowed = "a URL, http://host:port";
        let text = self.required(flag, allowed)?;
        let url = reqwest::Url::parse(&text).ok();
        if url.is_some_and(|url| url.scheme() == "http" && url.has_host()) {
            Some(text)
        } else {
            self.fault(flag, allowed)
        }
    }

    fn millis(&mut self, flag: &'static str, min: u64) -> Option<Duration> {
        let allowed = format!("{min} to {MAX_MS} milliseconds");
        let millis = self.parsed(flag, &allowed)?;
        if (min..=MAX_MS).contains(&millis) {
            Some(Duration::from_millis(millis))
        } else {
            self.fault(flag, allowed)
        }
    }

    fn count_between(&mut self, flag: &'static str, min: u64, max: u64) -> Option<u64> {
        let allowed = format!("{min} to {max}");
        let count = self.parsed(flag, &allowed)?;
        if (min..=max).contains(&count) {
            Some(count)
        } else {
            self.fault(flag, allowed)
        }
    }

    fn optional_count(&mut self, flag: &'static str) -> Option<u64> {
        self.text(flag)?;
        let allowed = "a whole number from 1";
        match self.parsed(flag, allowed)? {
            0 => self.fault(flag, allowed),
            count => Some(count),
        }
    }

    /// Returns a boolean setting; false when not given.
    fn flag(&mut self, flag: &'static str) -> Option<bool> {
        if self.text(flag).is_none() {
            return Some(false);
        }
        self.parsed(flag, "true or false")
    }
}
