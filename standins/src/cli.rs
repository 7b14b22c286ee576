//! Shared code of the binaries: flags, the listener and the port file.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use anyhow::Context;
use clap::{Arg, ArgMatches, Command};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::{RunLog, Running};

/// Prefix of the environment variable of each flag.
const ENV_PREFIX: &str = "STANDIN_";

/// Returns a flag `--name` with its environment variable and a default.
#[must_use]
pub fn flag(name: &'static str, default: &(impl ToString + ?Sized), help: &'static str) -> Arg {
    optional(name, help).default_value(default.to_string())
}

/// Returns a flag `--name` with its environment variable and no default.
#[must_use]
pub fn optional(name: &'static str, help: &'static str) -> Arg {
    let env = format!("{ENV_PREFIX}{}", name.replace('-', "_").to_uppercase());
    Arg::new(name).long(name).env(env).help(help)
}

/// Returns a command with the flags common to all stand-ins.
#[must_use]
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(flag("listen", "127.0.0.1:0", "Address to listen on"))
        .arg(optional("port-file", "File to write the bound address to"))
        .arg(optional(
            "run-log",
            "File to append a line to for each event",
        ))
}

/// Parses the value of a flag.
///
/// # Errors
///
/// Fails when the flag is absent or its value doesn't parse.
pub fn value<T>(matches: &ArgMatches, name: &str) -> anyhow::Result<T>
where
    T: FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text = matches
        .get_one::<String>(name)
        .with_context(|| format!("--{name} is missing"))?;
    text.parse()
        .with_context(|| format!("--{name} has an invalid value: {text}"))
}

/// Opens the run log of `--run-log`, or returns one that discards all events.
///
/// # Errors
///
/// Fails when the file can't be opened.
pub fn run_log(matches: &ArgMatches) -> anyhow::Result<Arc<RunLog>> {
    let log = match matches.get_one::<String>("run-log") {
        Some(path) => RunLog::file(path).context("can't open the file of --run-log")?,
        None => RunLog::discard(),
    };
    Ok(Arc::new(log))
}

/// Binds the address of `--listen`.
///
/// # Errors
///
/// Fails when the address is invalid or already in use.
pub async fn listener(matches: &ArgMatches) -> anyhow::Result<TcpListener> {
    let addr: SocketAddr = value(matches, "listen")?;
    TcpListener::bind(addr)
        .await
        .with_context(|| format!("can't listen on {addr}"))
}

/// Writes the port file and waits until the server stops or a termination signal
/// arrives.
///
/// # Errors
///
/// Fails when the port file can't be written or a signal handler can't be set up.
pub async fn run(matches: &ArgMatches, mut running: Running) -> anyhow::Result<()> {
    if let Some(path) = matches.get_one::<String>("port-file") {
        write_port_file(path, running.addr())?;
    }
    log::info!("event=listening address={}", running.addr());
    let mut term = signal(SignalKind::terminate())?;
    tokio::select! {
        () = running.stopped() => {}
        _ = term.recv() => {}
        res = tokio::signal::ctrl_c() => res?,
    }
    Ok(())
}

/// Writes the address to a temporary file and renames it, so that readers never
/// see a partial address.
fn write_port_file(path: &str, addr: SocketAddr) -> anyhow::Result<()> {
    let partial = format!("{path}.partial");
    std::fs::write(&partial, addr.to_string()).context("can't write the file of --port-file")?;
    std::fs::rename(&partial, path).context("can't rename the file of --port-file")
}

/// Sets up logging to standard error.
pub fn init_logging() {
    logforth::starter_log::builder()
        .dispatch(|d| d.append(logforth::append::Stderr::default()))
        .apply();
}
