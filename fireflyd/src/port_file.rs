//! File that lists the bound addresses of a process.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

use anyhow::Context;

/// Writes `key=address` lines to `path` atomically: a reader sees all lines or no file.
///
/// # Errors
///
/// Returns an error that names the file if it can't be written.
pub fn write_port_file<'a>(
    path: &Path,
    bound: impl IntoIterator<Item = (&'a str, SocketAddr)>,
) -> anyhow::Result<()> {
    let mut text = String::new();
    for (key, addr) in bound {
        writeln!(text, "{key}={addr}")?;
    }
    let temporary = path.with_extension("part");
    std::fs::write(&temporary, text).with_context(|| temporary.display().to_string())?;
    std::fs::rename(&temporary, path).with_context(|| path.display().to_string())
}
