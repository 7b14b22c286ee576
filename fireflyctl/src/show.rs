//! `inventory show`, `rules show` and `config version`.

use crate::check::ConfigSection;
use crate::console::Console;
use crate::failure::Result;
use crate::publish;
use crate::store::Store;

/// Prints a section of the accepted configuration, as JSON that can be applied again.
pub(crate) async fn show(
    section: ConfigSection,
    store: &impl Store,
    console: &mut Console<'_>,
) -> Result<()> {
    let base = publish::read_stored_config(store).await?;
    let doc = base.document()?;
    match section {
        ConfigSection::Inventory => console.print_json(&doc.inventory),
        ConfigSection::Rules => console.print_json(&doc.rules),
    }
}

/// Prints the accepted version and its author.
pub(crate) async fn version(store: &impl Store, console: &mut Console<'_>) -> Result<()> {
    let base = publish::read_stored_config(store).await?;
    let Some(head) = base.head else {
        return console.print("no configuration yet");
    };
    console.print(format!(
        "version={} digest={} parts={} at={} by={:?} token={}",
        head.version,
        head.digest,
        head.parts.len(),
        head.at,
        &*head.by,
        head.token
    ))
}
