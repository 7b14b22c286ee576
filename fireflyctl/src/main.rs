//! Operators' command line of a fireflycroft fleet.

use fireflyctl::Console;
use std::process::ExitCode;

fn main() -> ExitCode {
    let (mut out, mut err) = (std::io::stdout().lock(), std::io::stderr().lock());
    let mut console = Console {
        out: &mut out,
        err: &mut err,
    };
    ExitCode::from(fireflyctl::run(std::env::args_os(), &mut console))
}
