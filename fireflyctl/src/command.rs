//! Definition of the commands and their flags, each with its environment variable.

use crate::check::ConfigSection;
use clap::{Arg, ArgAction, Command};
use std::path::PathBuf;

/// Default timeout of a call, in milliseconds.
const DEFAULT_TIMEOUT_MS: &str = "5000";
/// Default time between two scrapes, in seconds.
const DEFAULT_SCRAPE_INTERVAL_S: &str = "15";
/// Wait in seconds when `--wait` has no value: a day.
const DEFAULT_WAIT_S: &str = "86400";

/// Help text on exit statuses; `failure` holds the full table.
const EXIT_STATUSES: &str = "\
Exit statuses: 0 done; 1 failed for another reason; 64 wrong command line (1001); \
65 faults in the file (1002); 69 no answer, nothing was changed (1004); \
74 no answer, effect unknown (1004); 75 another operator's change came first (1003); \
76 accepted, but replaced since or not active on every node in time, or a node still has work";

/// Returns the environment variable of a flag.
#[must_use]
pub fn env_name(flag: &str) -> String {
    format!("FIREFLYCTL_{}", flag.replace('-', "_").to_uppercase())
}

/// Builds the command with all its subcommands.
#[must_use]
pub fn command() -> Command {
    Command::new("fireflyctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a fireflycroft fleet by its configuration")
        .after_help(EXIT_STATUSES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(flag("platform", "URL of the platform").global(true))
        .arg(nodes_flag())
        .arg(
            flag("timeout-ms", "Timeout of one call, in milliseconds")
                .default_value(DEFAULT_TIMEOUT_MS)
                .value_parser(clap::value_parser!(u64))
                .global(true),
        )
        .subcommand(section_command(ConfigSection::Inventory))
        .subcommand(section_command(ConfigSection::Rules))
        .subcommand(config_command())
        .subcommand(key_command())
        .subcommand(fleet_key_command())
        .subcommand(Command::new("status").about("Shows the state of the nodes"))
        .subcommand(Command::new("vms").about("Shows the platform's list of VMs"))
        .subcommand(entries_command())
        .subcommand(drain_command())
        .subcommand(explain_command())
        .subcommand(report_command())
}

fn section_command(section: ConfigSection) -> Command {
    let name = section.name();
    let file = || {
        Arg::new("file")
            .value_name("FILE")
            .help("JSON file with the complete inventory or rules")
            .env(env_name("file"))
            .required(true)
            .value_parser(clap::value_parser!(PathBuf))
    };
    let plan = Command::new("plan")
        .about("Shows what the file would change; changes nothing")
        .arg(file())
        .args(plan_flags());
    let apply = Command::new("apply")
        .about("Shows what the file changes and publishes it")
        .arg(file())
        .args(plan_flags())
        .args(apply_flags());
    group(
        name,
        "Plans, applies and shows this section of the configuration",
    )
    .subcommand(plan)
    .subcommand(apply)
    .subcommand(Command::new("show").about("Prints the accepted content as JSON"))
}

fn plan_flags() -> [Arg; 3] {
    [
        switch("json", "Print as JSON"),
        switch("dry-run", "Change nothing, as plan does"),
        switch(
            "from-platform",
            "Build on the platform's configuration even if nodes have a higher version active",
        ),
    ]
}

fn apply_flags() -> [Arg; 3] {
    [
        flag("by", "Author of the change").default_value("operator"),
        flag(
            "expect",
            "Version that the change was planned on; fails if another is current",
        )
        .value_parser(clap::value_parser!(u64)),
        wait_flag("Seconds to wait until it is active on the nodes"),
    ]
}

fn config_command() -> Command {
    let restore = Command::new("restore")
        .about("Restores the nodes' active configuration on a platform that went back")
        .args(plan_flags())
        .args(apply_flags());
    group("config", "The configuration on the platform")
        .subcommand(Command::new("version").about("Prints the accepted version and its author"))
        .subcommand(restore)
}

fn key_command() -> Command {
    let key = Arg::new("key")
        .value_name("KEY")
        .help("The key; - reads it from standard input")
        .env(env_name("key"))
        .hide_env_values(true)
        .required(true);
    group("key", "Keys of workspaces").subcommand(
        Command::new("digest")
            .about("Prints the digest that the inventory holds for a key")
            .arg(key),
    )
}

fn fleet_key_command() -> Command {
    let id = flag("id", "Id of the key, 0 to 255")
        .default_value("1")
        .value_parser(clap::value_parser!(u8));
    group("fleet-key", "Keys that seal messages between processes").subcommand(
        Command::new("new")
            .about("Prints a new line for a file of fleet keys")
            .arg(id),
    )
}

fn entries_command() -> Command {
    let view = |name, about| {
        Command::new(name)
            .about(about)
            .arg(switch("json", "Print as JSON"))
    };
    group(
        "entries",
        "Direct entries, which drive upstreams themselves",
    )
    .subcommand(view(
        "status",
        "Shows the state of each entry, its configuration and its age",
    ))
    .subcommand(view("upstreams", "Shows the upstreams known to each entry"))
    .subcommand(view("peers", "Shows the other entries known to each entry"))
    .subcommand(
        Command::new("release")
            .about("Releases a part of prompts that is refused since it crashes upstreams")
            .arg(
                Arg::new("part")
                    .value_name("PART")
                    .help("Id of the part, in hexadecimal digits, as `entries status --json` shows it")
                    .env(env_name("part"))
                    .value_parser(|id: &str| u64::from_str_radix(id, 16))
                    .required(true),
            ),
    )
}

fn drain_command() -> Command {
    let node = flag("node", "Admin address of the node, HOST:PORT").required(true);
    Command::new("drain")
        .about("Starts a planned stop of a node without cutting off streams")
        .arg(node)
        .arg(wait_flag("Seconds to wait until the node holds no work"))
}

fn explain_command() -> Command {
    let id = Arg::new("request-id")
        .value_name("REQUEST-ID")
        .help("Id of the request")
        .env(env_name("request-id"))
        .required(true);
    Command::new("explain")
        .about("Shows what happened to a request, and why")
        .arg(id)
        .arg(
            path_flag(
                "logs",
                "Log files, - for standard input; queries the nodes if absent",
            )
            .action(clap::ArgAction::Append)
            .num_args(1..),
        )
        .arg(switch("json", "Print as JSON"))
}

fn report_command() -> Command {
    let every = || {
        flag("every", "Seconds between two scrapes")
            .default_value(DEFAULT_SCRAPE_INTERVAL_S)
            .value_parser(clap::value_parser!(u64).range(1..))
    };
    let record = Command::new("record")
        .about("Scrapes the nodes' metrics and appends the counters' growth to a record")
        .arg(path_flag("record", "File of the record").required(true))
        .arg(every())
        .arg(
            flag(
                "length",
                "Seconds after which to stop; runs until interrupted if absent",
            )
            .value_parser(clap::value_parser!(u64)),
        );
    let burn = Command::new("burn")
        .about("Shows how fast each brand and priority burns its error budget")
        .arg(path_flag(
            "record",
            "Record to report on; two scrapes of the nodes if absent",
        ))
        .arg(every())
        .arg(path_flag(
            "rules",
            "Rules with the objectives; those on the platform if absent",
        ))
        .arg(path_flag("html", "HTML file to write, with plots"))
        .arg(switch("json", "Print as JSON"));
    group("report", "Reports on service levels")
        .subcommand(record)
        .subcommand(burn)
}

fn path_flag(name: &'static str, help: &'static str) -> Arg {
    flag(name, help).value_parser(clap::value_parser!(PathBuf))
}

fn group(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(env_name(name))
        .help(help)
        .value_name("VALUE")
}

/// Builds the `--wait` flag, whose value in seconds is optional.
fn wait_flag(help: &'static str) -> Arg {
    flag("wait", help)
        .num_args(0..=1)
        .default_missing_value(DEFAULT_WAIT_S)
        .value_parser(clap::value_parser!(u64))
}

fn switch(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .env(env_name(name))
        .help(help)
        .action(ArgAction::SetTrue)
}

fn nodes_flag() -> Arg {
    flag("nodes", "Admin addresses of nodes, HOST:PORT,HOST:PORT")
        .value_delimiter(',')
        .global(true)
}
