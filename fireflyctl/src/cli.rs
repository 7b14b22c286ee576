//! Parses the command line and runs its job.

use crate::apply::{self, Change, Source};
use crate::check::ConfigSection;
use crate::command::command;
use crate::console::Console;
use crate::entries::{self, View};
use crate::failure::{Failure, Result};
use crate::fleet::Fleet;
use crate::report::{self, BurnJob};
use crate::{drain, explain, keys, record, show, status, timeline, vms};
use clap::ArgMatches;
use fireflycroft::Name;
use fireflyd::metrics::Metrics;
use fireflyd::platform::PlatformClient;
use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

/// Runs the command in `args` and returns the exit status.
pub fn run(
    args: impl IntoIterator<Item = impl Into<OsString> + Clone>,
    console: &mut Console<'_>,
) -> u8 {
    let result = match command().try_get_matches_from(args) {
        Ok(matches) => run_matches(&matches, console),
        Err(e) if e.use_stderr() => Err(Failure::Usage(e.to_string())),
        Err(e) => console.print(e.to_string().trim_end()),
    };
    match result {
        Ok(()) => 0,
        Err(failure) => {
            // With this stream closed as well, the failure can't be reported.
            let _ = console.warn(&failure);
            failure.exit()
        }
    }
}

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
        ("inventory", _) => section_job(ConfigSection::Inventory, job, args, console).await,
        ("rules", _) => section_job(ConfigSection::Rules, job, args, console).await,
        ("config", "restore") => restore_job(args, console).await,
        ("config", "version") => show::version(&platform_client(args)?, console).await,
        ("key", "digest") => keys::print_digest(text(args, "key")?, console),
        ("fleet-key", "new") => keys::print_new_fleet_key(*required(args, "id")?, console),
        ("status", _) => status::status(&fleet(args)?, console).await,
        ("entries", "release") => {
            entries::release(*required(args, "part")?, &fleet(args)?, console).await
        }
        ("entries", _) => {
            let view = match job {
                "upstreams" => View::Upstreams,
                "peers" => View::Peers,
                _ => View::Status,
            };
            entries::show(view, &fleet(args)?, args.get_flag("json"), console).await
        }
        ("vms", _) => vms::vms(&platform_client(args)?, console).await,
        ("drain", _) => {
            let node = text(args, "node")?;
            drain::drain(&fleet(args)?, node, seconds(args, "wait"), console).await
        }
        ("explain", _) => {
            let id = text(args, "request-id")?;
            if let Some(files) = args.get_many::<PathBuf>("logs") {
                let files: Vec<PathBuf> = files.cloned().collect();
                return timeline::explain_logs(&files, id, args.get_flag("json"), console);
            }
            explain::explain(&fleet(args)?, id, args.get_flag("json"), console).await
        }
        ("report", "record") => {
            let file = required::<PathBuf>(args, "record")?;
            let interval = Duration::from_secs(*required(args, "every")?);
            record::record(
                &fleet(args)?,
                file,
                interval,
                seconds(args, "length"),
                console,
            )
            .await
        }
        ("report", "burn") => burn_job(args, console).await,
        _ => Err(Failure::Usage(format!("no such command: {name} {job}"))),
    }
}

async fn section_job(
    section: ConfigSection,
    job: &str,
    args: &ArgMatches,
    console: &mut Console<'_>,
) -> Result<()> {
    let store = platform_client(args)?;
    if job == "show" {
        return show::show(section, &store, console).await;
    }
    let file = required::<PathBuf>(args, "file")?.clone();
    let change = change_from_args(Source::File(section, file), job == "plan", args)?;
    apply::change(&change, &store, &fleet(args)?, console).await
}

async fn restore_job(args: &ArgMatches, console: &mut Console<'_>) -> Result<()> {
    let change = change_from_args(Source::Nodes, false, args)?;
    apply::change(&change, &platform_client(args)?, &fleet(args)?, console).await
}

/// Builds the change from the flags of `plan`, `apply` or `restore`.
fn change_from_args(source: Source, is_plan: bool, args: &ArgMatches) -> Result<Change> {
    let mut change = Change {
        source,
        dry_run: is_plan || args.get_flag("dry-run"),
        json: args.get_flag("json"),
        from_platform: args.get_flag("from-platform"),
        expect: None,
        author: Name::default(),
        wait: None,
    };
    if !is_plan {
        change.expect = args.get_one("expect").copied();
        change.author = text(args, "by")?.into();
        change.wait = seconds(args, "wait");
    }
    Ok(change)
}

async fn burn_job(args: &ArgMatches, console: &mut Console<'_>) -> Result<()> {
    let path = |name| args.get_one::<PathBuf>(name).cloned();
    let job = BurnJob {
        record: path("record"),
        interval: Duration::from_secs(*required(args, "every")?),
        json: args.get_flag("json"),
        html: path("html"),
    };
    let has_platform = args.contains_id("platform");
    let store = has_platform.then(|| platform_client(args)).transpose()?;
    let rules = report::rules(path("rules").as_deref(), store.as_ref()).await?;
    report::burn(&job, &rules, &fleet(args)?, console).await
}

fn platform_client(args: &ArgMatches) -> Result<PlatformClient> {
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
