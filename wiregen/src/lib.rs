//! Development only: turns the schema into the committed message types.

use anyhow::{Context, Result, ensure};
use prost_build::{Config, Module};
use std::path::{Path, PathBuf};

const SCHEMA: &str = "fleet.proto";
const PACKAGE: &str = "fireflycroft.fleet";

/// Where the schema lies, seen from the root of the workspace.
pub const SCHEMA_DIR: &str = "fireflycroft-wire/proto";

/// Where the generated types lie, seen from the root of the workspace.
pub const GENERATED: &str = "fireflycroft-wire/src/generated.rs";

/// Root of the workspace, as this crate was built in it.
#[must_use]
pub fn workspace_root() -> PathBuf {
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    crate_dir.parent().unwrap_or(crate_dir).to_path_buf()
}

/// Message types of the schema below `root`, as Rust source.
///
/// # Errors
///
/// When the schema cannot be read or does not parse.
pub fn generate(root: &Path) -> Result<String> {
    let files = protox::compile([SCHEMA], [root.join(SCHEMA_DIR)])?;
    let module = Module::from_protobuf_package_name(PACKAGE);
    let requests = files.file.into_iter().map(|file| (module.clone(), file));
    let mut sources = Config::new().generate(requests.collect())?;
    sources.remove(&module).context("the schema holds no types")
}

/// Writes the generated types below `root`.
///
/// # Errors
///
/// When they cannot be generated or written.
pub fn write(root: &Path) -> Result<()> {
    let path = root.join(GENERATED);
    std::fs::write(&path, generate(root)?).with_context(|| format!("write {}", path.display()))
}

/// Fails when the committed types differ from the schema below `root`.
///
/// # Errors
///
/// When they differ, or either cannot be read.
pub fn check(root: &Path) -> Result<()> {
    let path = root.join(GENERATED);
    let committed =
        std::fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    ensure!(
        committed == generate(root)?,
        "{GENERATED} is out of date: run `cargo run -p wiregen`"
    );
    Ok(())
}
