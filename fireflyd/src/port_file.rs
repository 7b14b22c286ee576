//! The file that tells which addresses a process is bound to.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;

use anyhow::Context;

/// Writes `key=address` lines to `path`; a reader sees all of them or no file.
///
/// # Errors
///
/// An error that names the file when it can't be written.
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
