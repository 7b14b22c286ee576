//! Flags of the daemon and their environment variables.

use clap::{Arg, ArgAction, Command};

/// Flag with its help text and default.
pub(crate) struct Flag {
    pub(crate) name: &'static str,
    pub(crate) help: &'static str,
    pub(crate) default: Option<&'static str>,
}

const fn flag(name: &'static str, help: &'static str) -> Flag {
    Flag {
        name,
        help,
        default: None,
    }
}

const fn flag_or(name: &'static str, default: &'static str, help: &'static str) -> Flag {
    Flag {
        name,
        help,
        default: Some(default),
    }
}

/// Flags valid only for an entry.
pub(crate) const ENTRY_ONLY: [&str; 3] = ["listen", "tls-cert-file", "tls-key-file"];
/// Flags valid only for an agent.
pub(crate) const AGENT_ONLY: [&str; 8] = [
    "upstream",
    "upstream-kind",
    "upstream-name",
    "service",
    "models",
    "capacity-tokens",
    "max-batch",
    "checks-fence",
];

pub(crate) const CHECK_CONFIG: &str = "check-config";

pub(crate) const FLAGS: [Flag; 32] = [
    flag("role", "What the process does: entry or agent"),
    flag("name", "Name of the process, unique in the fleet"),
    flag("data-centre", "Data centre the process runs in"),
    flag("listen", "Callers' HTTP address, IP:port (entry)"),
    flag("mailbox", "Address of the fleet's own protocol, IP:port"),
    flag(
        "admin-listen",
        "Address of metrics, health and status, IP:port",
    ),
    flag("platform", "URL of the platform"),
    flag_or("seeds", "", "Mailboxes of some members, IP:port,IP:port"),
    flag(
        "fleet-keys-file",
        "File of the fleet keys, id:64-hex a line",
    ),
    flag(
        "tls-cert-file",
        "Certificate chain in PEM (entry, with --tls-key-file)",
    ),
    flag(
        "tls-key-file",
        "Private key in PEM (entry, with --tls-cert-file)",
    ),
    flag("upstream", "URL of the upstream (agent)"),
    flag(
        "upstream-kind",
        "What the upstream is: engine or plain (agent)",
    ),
    flag("upstream-name", "Name of the upstream (agent)"),
    flag(
        "service",
        "Name under which a plain service is routed (agent)",
    ),
    flag(
        "models",
        "Models known to be loaded, a,b (agent of an engine)",
    ),
    flag(
        "capacity-tokens",
        "Tokens that fit in the engine's memory (agent; default: as the engine reports)",
    ),
    flag(
        "max-batch",
        "Most generations in a batch (agent; default: as the engine reports)",
    ),
    flag(
        "checks-fence",
        "Whether the upstream refuses old fencing numbers: true or false (agent; default: false)",
    ),
    flag_or(
        "drain-grace-ms",
        "3000",
        "Milliseconds between refusing new work and leaving",
    ),
    flag_or(
        "platform-timeout-ms",
        "2000",
        "Milliseconds a platform call may take",
    ),
    flag_or(
        "offer-timeout-ms",
        "500",
        "Milliseconds an offer's answer may take",
    ),
    flag_or(
        "stall-timeout-ms",
        "1000",
        "Milliseconds of silence until a stream is attached again",
    ),
    flag_or(
        "upstream-timeout-ms",
        "2000",
        "Milliseconds a short call of the upstream may take",
    ),
    flag_or(
        "plain-timeout-ms",
        "30000",
        "Milliseconds a call of a plain service may take",
    ),
    flag_or(
        "retain-ms",
        "60000",
        "Milliseconds the tokens of a stream without a reader are kept",
    ),
    flag_or(
        "memory-mb",
        "1024",
        "Megabytes of memory of the VM; half of it is for what callers send and don't read, a sixteenth for answers kept and a quarter for answers being read (agent)",
    ),
    flag_or(
        "max-fds",
        "4096",
        "Descriptors of the VM; five eighths of them, less 200, are for callers",
    ),
    flag_or(
        "log-level",
        "info",
        "Least level logged: off, error, warn, info, debug or trace",
    ),
    flag_or("policy", "firefly", "Name of the routing policy"),
    flag(
        "port-file",
        "File that gets the bound addresses, key=value a line",
    ),
    flag(CHECK_CONFIG, "Check the settings and start nothing"),
];

/// Returns the environment variable of a flag.
#[must_use]
pub fn env_name(flag: &str) -> String {
    format!("FIREFLYD_{}", flag.replace('-', "_").to_uppercase())
}

pub(crate) fn command() -> Command {
    Command::new("fireflyd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves generations of unknown length on overloaded engines, as entry or agent")
        .args(FLAGS.iter().map(arg))
}

fn arg(flag: &Flag) -> Arg {
    let default = match flag.default {
        Some("") => " [default: none]".to_owned(),
        Some(default) => format!(" [default: {default}]"),
        None => String::new(),
    };
    let help = format!("{}{default} [env: {}]", flag.help, env_name(flag.name));
    let arg = Arg::new(flag.name).long(flag.name).help(help);
    if flag.name == CHECK_CONFIG {
        arg.action(ArgAction::SetTrue)
    } else {
        // A value that looks like a flag is reported as an invalid value of this flag.
        arg.action(ArgAction::Set)
            .value_name("VALUE")
            .allow_hyphen_values(true)
    }
}
