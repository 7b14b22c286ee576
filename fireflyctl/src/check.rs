//! Checks the syntax, the schema and the semantics of an operator's file.
//!
//! All faults are listed, each with its line, column and field. The semantics
//! are checked together with the other section of the baseline, as rules name
//! workspaces of the inventory; a fault that a change of one section causes in
//! the other is listed without a line.

use crate::failure::FileFault;
use crate::json_tree::{self, JsonNode};
use crate::schema::{self, INVENTORY, RULES, Schema, SchemaFault};
use fireflycroft::{ConfigFault, ConfigVersion, Digest, Document, compile};

/// Field name in faults that concern the whole file.
const WHOLE_FILE: &str = "(file)";

/// Section of a configuration, held by one file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSection {
    /// The inventory.
    Inventory,
    /// The rules.
    Rules,
}

/// Document of both sections, or all faults of the file.
pub type CheckResult = Result<Document, Vec<FileFault>>;

/// Checks `text` as one section of a configuration, taking the other section
/// from `base`; returns the document of both.
///
/// # Errors
///
/// Returns every fault, in the order of the file.
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
    /// Returns the name of the section, which is also its command.
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

    /// Returns whether a field belongs to this section.
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

/// Byte offset, field and text of a fault.
type LocatedFault = (Option<usize>, String, String);

/// Returns the semantic faults, without those that follow from a schema fault.
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
