//! Generator of the committed message types from the schema; for development only.

use anyhow::{Context, Result, ensure};
use prost_build::{Config, Module};
use std::path::{Path, PathBuf};

const SCHEMA: &str = "fleet.proto";
const PACKAGE: &str = "fireflycroft.fleet";

/// Directory of the schema, relative to the root of the workspace.
pub const SCHEMA_DIR: &str = "fireflycroft-wire/proto";

/// File of the generated types, relative to the root of the workspace.
pub const GENERATED: &str = "fireflycroft-wire/src/generated.rs";

/// Returns the root of the workspace in which this crate was built.
#[must_use]
pub fn workspace_root() -> PathBuf {
    let crate_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    crate_dir.parent().unwrap_or(crate_dir).to_path_buf()
}

/// Generates Rust source for the message types of the schema below `root`.
///
/// # Errors
///
/// Fails if the schema can't be read or parsed.
pub fn generate(root: &Path) -> Result<String> {
    let files = protox::compile([SCHEMA], [root.join(SCHEMA_DIR)])?;
    let module = Module::from_protobuf_package_name(PACKAGE);
    let requests = files.file.into_iter().map(|file| (module.clone(), file));
    let mut sources = Config::new().generate(requests.collect())?;
    sources
        .remove(&module)
        .context("the schema defines no types")
}

/// Writes the generated types below `root`.
///
/// # Errors
///
/// Fails if the types can't be generated or written.
pub fn write(root: &Path) -> Result<()> {
    let path = root.join(GENERATED);
    std::fs::write(&path, generate(root)?).with_context(|| format!("write {}", path.display()))
}

/// Checks that the committed types match the schema below `root`.
///
/// # Errors
///
/// Fails if they differ or either can't be read.
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
