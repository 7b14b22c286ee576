//! Writes or checks the generated message types; for development only.

use anyhow::Result;
use clap::{Arg, ArgAction, Command};

fn main() -> Result<()> {
    let matches = command().get_matches();
    let root = wiregen::workspace_root();
    if matches.get_flag("check") {
        wiregen::check(&root)
    } else {
        wiregen::write(&root)
    }
}

fn command() -> Command {
    Command::new("wiregen")
        .about("Writes the generated message types")
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only check that the committed types are up to date"),
        )
}
