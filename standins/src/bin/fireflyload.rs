//! Command line of the load tool.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail};
use clap::{Arg, ArgAction, ArgMatches, Command};
use standins::cli::{self, flag, optional, value};
use standins::load::{self, Config, Mix, Record};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("report", matches)) => report(matches),
        _ => run(&matches).await,
    }
}

fn command() -> Command {
    Command::new("fireflyload")
        .about("Generates open-loop load on entries or engines")
        .args_conflicts_with_subcommands(true)
        .arg(target_arg())
        .arg(switch_arg("straight", "Targets are engines, not entries"))
        .arg(flag(
            "mix",
            "celje",
            "Built-in mix (celje, kerlann) or path of a JSON mix",
        ))
        .arg(optional("model", "Model to request instead of the mix's"))
        .arg(key_arg())
        .arg(flag("rate", &5, "Requests per second of simulated time"))
        .arg(flag(
            "duration-s",
            &60,
            "Seconds of arrivals, in simulated time",
        ))
        .arg(flag(
            "drain-s",
            &300,
            "Seconds to wait for answers after the last arrival",
        ))
        .arg(flag("time-scale", &1, "Speed-up factor of the engines"))
        .arg(flag("seed", &1, "Seed of the arrival process"))
        .arg(optional(
            "record",
            "File to write the record to, instead of standard output",
        ))
        .subcommand(report_command())
}

fn report_command() -> Command {
    Command::new("report")
        .about("Prints a table of records and draws a chart")
        .arg(
            Arg::new("records")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .help("Files with records of runs"),
        )
        .arg(flag("svg", "report.svg", "File to write the chart to"))
}

fn target_arg() -> Arg {
    optional(
        "target",
        "Base URL of an entry or engine; may be given several times",
    )
    .action(ArgAction::Append)
    .value_delimiter(',')
}

fn key_arg() -> Arg {
    optional(
        "key",
        "WORKSPACE=KEY instead of the mix's key; may be given several times",
    )
    .action(ArgAction::Append)
    .value_delimiter(',')
}

fn switch_arg(name: &'static str, help: &'static str) -> Arg {
    optional(name, help).action(ArgAction::SetTrue)
}

async fn run(matches: &ArgMatches) -> anyhow::Result<()> {
    cli::init_logging();
    let record = load::run(config(matches)?).await?;
    let json = serde_json::to_string_pretty(&record)?;
    if let Some(path) = matches.get_one::<String>("record") {
        return std::fs::write(path, json).context("can't write the file of --record");
    }
    println!("{json}");
    Ok(())
}

fn config(matches: &ArgMatches) -> anyhow::Result<Config> {
    let targets = matches.get_many("target").context("--target is missing")?;
    Ok(Config {
        targets: targets.cloned().collect(),
        straight: matches.get_flag("straight"),
        mix: load_mix(matches)?,
        rate: value(matches, "rate")?,
        duration: parse_seconds(matches, "duration-s")?,
        drain: parse_seconds(matches, "drain-s")?,
        time_scale: value(matches, "time-scale")?,
        seed: value(matches, "seed")?,
    })
}

fn load_mix(matches: &ArgMatches) -> anyhow::Result<Mix> {
    let name: String = value(matches, "mix")?;
    let mut mix = match Mix::built_in(&name) {
        Some(mix) => mix,
        None => read_json(&name)?,
    };
    if let Some(model) = matches.get_one::<String>("model") {
        mix.model = Arc::from(model.as_str());
    }
    set_keys(&mut mix, matches)?;
    Ok(mix)
}

fn set_keys(mix: &mut Mix, matches: &ArgMatches) -> anyhow::Result<()> {
    let mut keys = BTreeMap::new();
    for pair in matches.get_many::<String>("key").into_iter().flatten() {
        let Some((workspace, key)) = pair.split_once('=') else {
            bail!("--key needs WORKSPACE=KEY, not {pair}");
        };
        keys.insert(workspace, key);
    }
    for workspace in &mut mix.workspaces {
        if let Some(key) = keys.remove(&*workspace.name) {
            workspace.key = Arc::from(key);
        }
    }
    match keys.first_key_value() {
        Some((workspace, _)) => bail!("--key: the mix has no workspace {workspace}"),
        None => Ok(()),
    }
}

fn parse_seconds(matches: &ArgMatches, name: &str) -> anyhow::Result<Duration> {
    Duration::try_from_secs_f64(value(matches, name)?)
        .with_context(|| format!("--{name} is not a valid duration"))
}

fn read_json<T: serde::de::DeserializeOwned>(path: &str) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(path).with_context(|| format!("can't read {path}"))?;
    serde_json::from_str(&text).with_context(|| format!("can't parse {path}"))
}

fn report(matches: &ArgMatches) -> anyhow::Result<()> {
    let mut records = Vec::new();
    for path in matches.get_many::<String>("records").into_iter().flatten() {
        let name = Path::new(path).file_stem().unwrap_or_default();
        let record: Record = read_json(path)?;
        records.push((name.to_string_lossy().into_owned(), record));
    }
    print!("{}", load::table(&records));
    let svg: String = value(matches, "svg")?;
    load::draw(&records, Path::new(&svg))
}
