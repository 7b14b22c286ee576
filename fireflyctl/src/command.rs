//! The commands and their flags, each with its environment variable.

use crate::check::ConfigSection;
use clap::{Arg, ArgAction, Command};
use std::path::PathBuf;

/// Bound of a call when no flag says otherwise, in milliseconds.
const DEFAULT_TIMEOUT_MS: &str = "5000";
/// Time between two scrapes when no flag says otherwise, in seconds.
const DEFAULT_SCRAPE_INTERVAL_S: &str = "15";
/// Wait of a flag that stands alone, in seconds.
const DEFAULT_WAIT_S: &str = "86400";

/// What the help says of exit statuses; the table is in `failure`.
const EXIT_STATUSES: &str = "\
Exit statuses: 0 done; 1 failed for another reason; 64 wrong command line (1001); \
65 faults in the file (1002); 69 no answer, nothing was changed (1004); \
74 no answer, effect unknown (1004); 75 another operator was first (1003); \
76 accepted, but replaced since or not in force on every node in time, or a node still drains";

/// Environment variable of a flag.
#[must_use]
pub fn env_name(flag: &str) -> String {
    format!("FIREFLYCTL_{}", flag.replace('-', "_").to_uppercase())
}

/// The command with all its jobs.
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
            flag("timeout-ms", "Milliseconds that one call may take")
                .default_value(DEFAULT_TIMEOUT_MS)
                .value_parser(clap::value_parser!(u64))
                .global(true),
        )
        .subcommand(section_command(ConfigSection::Inventory))
        .subcommand(section_command(ConfigSection::Rules))
        .subcommand(config_command())
        .subcommand(key_command())
        .subcommand(fleet_key_command())
        .subcommand(Command::new("status").about("Shows how the nodes stand"))
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
            .help("JSON file with the whole of it")
            .env(env_name("file"))
            .required(true)
            .value_parser(clap::value_parser!(PathBuf))
    };
    let plan = Command::new("plan")
        .about("Shows what the file would change; changes nothing")
        .arg(file())
        .args(plan_flags());
    let apply = Command::new("apply")
        .about("Shows what the file changes and puts it in force")
        .arg(file())
        .args(plan_flags())
        .args(apply_flags());
    group(name, "Plans, applies and shows it")
        .subcommand(plan)
        .subcommand(apply)
        .subcommand(Command::new("show").about("Prints what is in force as JSON"))
}

fn plan_flags() -> [Arg; 3] {
    [
        switch("json", "Print as JSON"),
        switch("dry-run", "Change nothing, as plan does"),
        switch(
            "from-platform",
            "Build on what the platform holds though nodes have a higher version in force",
        ),
    ]
}

fn apply_flags() -> [Arg; 3] {
    [
        flag("by", "Who changes it").default_value("operator"),
        flag(
            "expect",
            "Version that was planned on; refuse when another is in force",
        )
        .value_parser(clap::value_parser!(u64)),
        wait_flag("Seconds to wait until the nodes have it in force"),
    ]
}

fn config_command() -> Command {
    let restore = Command::new("restore")
        .about("Puts back what the nodes have in force, after the platform went back")
        .args(plan_flags())
        .args(apply_flags());
    group("config", "The configuration on the platform")
        .subcommand(Command::new("version").about("Prints the accepted version and who wrote it"))
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
        "Shows how each stands, its configuration and its age",
    ))
    .subcommand(view("upstreams", "Shows the upstreams that each knows"))
    .subcommand(view("peers", "Shows the other entries that each knows"))
}

fn drain_command() -> Command {
    let node = flag("node", "Admin address of the node, HOST:PORT").required(true);
    Command::new("drain")
        .about("Begins a planned stop of a node, which cuts off no stream")
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
        .about("Tells what happened to a request, and why")
        .arg(id)
        .arg(
            path_flag(
                "logs",
                "Files of log lines, - for standard input; the nodes when absent",
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
        .about("Scrapes the nodes' metrics and adds what they grew by to a record")
        .arg(path_flag("record", "File of the record").required(true))
        .arg(every())
        .arg(
            flag("length", "Seconds after which to end; for ever when absent")
                .value_parser(clap::value_parser!(u64)),
        );
    let burn = Command::new("burn")
        .about("Shows how fast each brand and priority burns its error budget")
        .arg(path_flag(
            "record",
            "Record to report on; two scrapes of the nodes when absent",
        ))
        .arg(every())
        .arg(path_flag(
            "rules",
            "Rules with the objectives; those in force when absent",
        ))
        .arg(path_flag("html", "File that gets a page with plots"))
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

/// A wait in seconds; a day when the flag stands alone.
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
