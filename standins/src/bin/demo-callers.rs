//! Runs the callers of the demo.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{ArgAction, Command};
use standins::cli::{flag, optional, value};
use standins::demo::{self, Config};

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let matches = command().get_matches();
    let values_of = |name: &str| {
        let values = matches.get_many::<String>(name).unwrap_or_default();
        values.cloned().collect::<Vec<_>>()
    };
    let cfg = Config {
        entries: values_of("entry"),
        run_logs: values_of("run-log")
            .into_iter()
            .map(PathBuf::from)
            .collect(),
        long_tokens: value(&matches, "long-tokens")?,
        duration: Duration::from_secs(value(&matches, "span-s")?),
        request_timeout: Duration::from_secs(value(&matches, "patience-s")?),
    };
    let passed = demo::run(&cfg).await?;
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn command() -> Command {
    Command::new("demo-callers")
        .about("Sends long and short requests and checks the responses")
        .arg(
            optional("entry", "Base URL of an entry; may be given several times")
                .action(ArgAction::Append)
                .required(true),
        )
        .arg(
            optional(
                "run-log",
                "Run log of a stand-in; may be given several times",
            )
            .action(ArgAction::Append)
            .required(true),
        )
        .arg(flag("long-tokens", &1500, "Tokens of a long answer"))
        .arg(flag(
            "span-s",
            &25,
            "Seconds during which short requests are sent",
        ))
        .arg(flag(
            "patience-s",
            &90,
            "Seconds after which a request counts as hung",
        ))
}
