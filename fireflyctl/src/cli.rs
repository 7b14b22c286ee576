//! The command line: flags, their environment variables, and which job runs.

use crate::apply::{self, Change};
use crate::check::Half;
use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::Fleet;
use crate::{drain, explain, keys, show, status, vms};
use clap::{Arg, ArgAction, ArgMatches, Command};
use fireflyd::metrics::Metrics;
use fireflyd::platform::PlatformClient;
use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

/// Bound of a call when no flag says otherwise, in milliseconds.
const TIMEOUT_MS: &str = "5000";

/// Wait of a flag that stands alone, in seconds.
const A_DAY: &str = "86400";

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
                .default_value(TIMEOUT_MS)
                .value_parser(clap::value_parser!(u64))
                .global(true),
        )
        .subcommand(half_command(Half::Inventory))
        .subcommand(half_command(Half::Rules))
        .subcommand(
            group("config", "Shows the configuration on the platform").subcommand(
                Command::new("version").about("Prints the accepted version and who wrote it"),
            ),
        )
        .subcommand(key_command())
        .subcommand(fleet_key_command())
        .subcommand(Command::new("status").about("Shows how the nodes stand"))
        .subcommand(Command::new("vms").about("Shows the platform's list of VMs"))
        .subcommand(drain_command())
        .subcommand(explain_command())
}

/// Runs the command that `args` name; gives the exit status.
pub fn run(
    args: impl IntoIterator<Item = impl Into<OsString> + Clone>,
    console: &mut Console<'_>,
) -> u8 {
    let done = match command().try_get_matches_from(args) {
        Ok(matches) => run_matches(&matches, console),
        Err(e) if e.use_stderr() => Err(Failure::Usage(e.to_string())),
        Err(e) => console.say(e.to_string().trim_end()),
    };
    match done {
        Ok(()) => 0,
        Err(failure) => {
            // Nobody is left to tell when this stream is closed, too.
            let _ = console.warn(&failure);
            failure.exit()
        }
    }
}

const EXIT_STATUSES: &str = "Exit statuses: 0 done; 1 failed for another reason; \
64 wrong command line; 65 faults in the file (1002); \
69 no answer, nothing was changed (1004); 74 no answer, effect unknown (1004); \
75 another operator was first (1003); 76 accepted, but replaced since or not in force on every node in time, or a node still drains";

fn run_matches(matches: &ArgMatches, console: &mut Console<'_>) -> Result<()> {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    rt.block_on(dispatch(matches, console))
}

async fn dispatch(matches: &ArgMatches, console: &mut Console<'_>) -> Result<()> {
    let Some((name, sub)) = matches.subcommand() else {
        return Err(Failure::Usage("no command".to_owned()));
    };
    let (job, args) = sub.subcommand().unwrap_or((name, sub));
    match (name, job) {
        ("inventory", _) => half_job(Half::Inventory, job, args, console).await,
        ("rules", _) => half_job(Half::Rules, job, args, console).await,
        ("config", "version") => show::version(&platform(args)?, console).await,
        ("key", "digest") => keys::digest(text(args, "key")?, console),
        ("fleet-key", "new") => keys::new_fleet_key(*required(args, "id")?, console),
        ("status", _) => status::status(&fleet(args)?, console).await,
        ("vms", _) => vms::vms(&platform(args)?, console).await,
        ("drain", _) => {
            let node = text(args, "node")?;
            drain::drain(&fleet(args)?, node, seconds(args, "wait"), console).await
        }
        ("explain", _) => {
            let id = text(args, "request-id")?;
            explain::explain(&fleet(args)?, id, args.get_flag("json"), console).await
        }
        _ => Err(Failure::Usage(format!("no such job: {name} {job}"))),
    }
}

async fn half_job(
    half: Half,
    job: &str,
    args: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<()> {
    let store = platform(args)?;
    if job == "show" {
        return show::show(half, &store, console).await;
    }
    let is_plan = job == "plan";
    let change = Change {
        half,
        file: required::<PathBuf>(args, "file")?.clone(),
        dry_run: is_plan || args.get_flag("dry-run"),
        json: args.get_flag("json"),
        from_platform: args.get_flag("from-platform"),
        expect: if is_plan {
            None
        } else {
            args.get_one("expect").copied()
        },
        by: if is_plan {
            "".into()
        } else {
            text(args, "by")?.into()
        },
        wait: if is_plan { None } else { seconds(args, "wait") },
    };
    apply::change(&change, &store, &fleet(args)?, console).await
}

fn half_command(half: Half) -> Command {
    let name = half.name();
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
        .help("Id of the request, 32 hexadecimal digits")
        .env(env_name("request-id"))
        .required(true);
    Command::new("explain")
        .about("Tells what happened to a request, and why")
        .arg(id)
        .arg(switch("json", "Print as JSON"))
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
        .default_missing_value(A_DAY)
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

fn platform(args: &ArgMatches) -> Result<PlatformClient> {
    let url = args
        .get_one::<String>("platform")
        .ok_or_else(|| Failure::Usage("--platform URL is needed".to_owned()))?;
    Ok(PlatformClient::new(url, timeout(args)?, Metrics::new()?)?)
}

fn fleet(args: &ArgMatches) -> Result<Fleet> {
    let nodes = args.get_many::<String>("nodes").unwrap_or_default();
    let nodes = nodes.filter(|n| !n.is_empty()).cloned().collect();
    Fleet::new(nodes, timeout(args)?)
}

fn timeout(args: &ArgMatches) -> Result<Duration> {
    Ok(Duration::from_millis(*required(args, "timeout-ms")?))
}

fn seconds(args: &ArgMatches, name: &str) -> Option<Duration> {
    args.get_one(name).copied().map(Duration::from_secs)
}

fn text<'a>(args: &'a ArgMatches, name: &str) -> Result<&'a str> {
    Ok(required::<String>(args, name)?)
}

fn required<'a, T: Clone + Send + Sync + 'static>(
    args: &'a ArgMatches,
    name: &str,
) -> Result<&'a T> {
    args.get_one::<T>(name)
        .ok_or_else(|| Failure::Usage(format!("--{name} is needed")))
}
