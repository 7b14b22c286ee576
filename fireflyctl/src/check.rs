//! Checks an operator's file whole: its form, its shape and its sense.
//!
//! All faults are listed, each with its line, column and field. The sense is
//! checked together with the other half in force, as rules name workspaces
//! of the inventory; a fault that a change of one half makes in the other is
//! listed without a line.

use crate::failure::FileFault;
use crate::json_tree::{self, JsonNode};
use crate::schema::{self, INVENTORY, RULES, Schema, SchemaFault};
use fireflycroft::{ConfigFault, ConfigVersion, Digest, Document, compile};

/// What stands for the field of a fault of the whole file.
const WHOLE_FILE: &str = "(file)";

/// Half of a configuration that a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSection {
    /// The inventory.
    Inventory,
    /// The rules.
    Rules,
}

/// Result of a check.
pub type CheckResult = Result<Document, Vec<FileFault>>;

/// Checks `text` as one half of a configuration whose other half is that of
/// `base`; gives both together.
///
/// # Errors
///
/// Every fault, in the order of the file.
pub fn check(section: ConfigSection, text: &str, base: &Document) -> CheckResult {
    let tree = json_tree::parse(text).map_err(|e| vec![syntax_fault(&e)])?;
    let mut faults = Vec::new();
    let value = schema::check(&tree, section.schema(), &mut faults);
    let doc = section
        .merge_into(base, value)
        .map_err(|e| vec![syntax_fault(&e)])?;
    let config_faults = match compile(ConfigVersion(0), Digest(0), &doc) {
        Ok(_) => Vec::new(),
        Err(faults) => faults,
    };
    let mut all = semantic_faults(section, &tree, &config_faults, &faults);
    all.extend(
        faults
            .into_iter()
            .map(|f| (Some(f.offset), f.field, f.text)),
    );
    if all.is_empty() {
        return Ok(doc);
    }
    all.sort_by_key(|(offset, ..)| offset.unwrap_or(usize::MAX));
    Err(all
        .into_iter()
        .map(|fault| file_fault(text, fault))
        .collect())
}

impl ConfigSection {
    /// Name of the half, as its command has it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Inventory => "inventory",
            Self::Rules => "rules",
        }
    }

    const fn schema(self) -> Schema {
        match self {
            Self::Inventory => INVENTORY,
            Self::Rules => RULES,
        }
    }

    /// Whether a field is of this half.
    fn owns(self, field: &str) -> bool {
        let of_inventory = ["brands", "workspaces", "models", "services"];
        let top = field.split(['.', '[']).next().unwrap_or_default();
        of_inventory.contains(&top) == (self == Self::Inventory)
    }

    fn merge_into(
        self,
        base: &Document,
        value: serde_json::Value,
    ) -> Result<Document, serde_json::Error> {
        let mut doc = base.clone();
        match self {
            Self::Inventory => doc.inventory = serde_json::from_value(value)?,
            Self::Rules => doc.rules = serde_json::from_value(value)?,
        }
        Ok(doc)
    }
}

/// Place in bytes, field and text.
type LocatedFault = (Option<usize>, String, String);

/// Faults of the sense, without those that follow from a fault of the shape.
fn semantic_faults(
    section: ConfigSection,
    tree: &JsonNode,
    config_faults: &[ConfigFault],
    schema_faults: &[SchemaFault],
) -> Vec<LocatedFault> {
    let is_consequence = |fault: &&ConfigFault| {
        schema_faults
            .iter()
            .any(|s| is_within(&fault.field, &s.field))
    };
    let is_own = |fault: &ConfigFault| section.owns(&fault.field);
    config_faults
        .iter()
        .filter(|fault| !is_own(fault) || !is_consequence(fault))
        .map(|fault| {
            let offset = is_own(fault).then(|| tree.locate(&fault.field));
            (offset, fault.field.clone(), fault.text.clone())
        })
        .collect()
}

fn is_within(field: &str, outer: &str) -> bool {
    field
        .strip_prefix(outer)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

fn file_fault(text: &str, (offset, field, reason): LocatedFault) -> FileFault {
    FileFault {
        position: offset.map(|offset| json_tree::line_and_column(text, offset)),
        field: if field.is_empty() {
            WHOLE_FILE.to_owned()
        } else {
            field
        },
        text: reason,
    }
}

fn syntax_fault(e: &serde_json::Error) -> FileFault {
    FileFault {
        position: Some((e.line(), e.column())),
        field: WHOLE_FILE.to_owned(),
        text: e.to_string(),
    }
}
