//! Checks an operator's file whole: its form, its shape and its sense.
//!
//! All faults are listed, each with its line, column and field. The sense is
//! checked together with the other half in force, as rules name workspaces
//! of the inventory; a fault that a change of one half makes in the other is
//! listed without a line.

use crate::failure::FileFault;
use crate::shape::{self, INVENTORY, RULES, Shape, ShapeFault};
use crate::span::{self, Node};
use fireflycroft::{ConfigFault, ConfigVersion, Digest, Document, compile};

/// What stands for the field of a fault of the whole file.
const WHOLE: &str = "(file)";

/// Half of a configuration that a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Half {
    /// The inventory.
    Inventory,
    /// The rules.
    Rules,
}

/// Result of a check.
pub type Checked = Result<Document, Vec<FileFault>>;

/// Checks `text` as one half of a configuration whose other half is that of
/// `base`; gives both together.
///
/// # Errors
///
/// Every fault, in the order of the file.
pub fn check(half: Half, text: &str, base: &Document) -> Checked {
    let tree = span::scan(text).map_err(|e| vec![syntax(&e)])?;
    let mut faults = Vec::new();
    let value = shape::check(&tree, half.shape(), &mut faults);
    let doc = half.lay_on(base, value).map_err(|e| vec![syntax(&e)])?;
    let sense = match compile(ConfigVersion(0), Digest(0), &doc) {
        Ok(_) => Vec::new(),
        Err(sense) => sense,
    };
    let mut all = sense_faults(half, &tree, &sense, &faults);
    all.extend(faults.into_iter().map(|f| (Some(f.at), f.field, f.text)));
    if all.is_empty() {
        return Ok(doc);
    }
    all.sort_by_key(|(at, ..)| at.unwrap_or(usize::MAX));
    Err(all.into_iter().map(|fault| place(text, fault)).collect())
}

impl Half {
    /// Name of the half, as its command has it.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Inventory => "inventory",
            Self::Rules => "rules",
        }
    }

    const fn shape(self) -> Shape {
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

    fn lay_on(
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
type Placed = (Option<usize>, String, String);

/// Faults of the sense, without those that follow from a fault of the shape.
fn sense_faults(
    half: Half,
    tree: &Node,
    sense: &[ConfigFault],
    shape: &[ShapeFault],
) -> Vec<Placed> {
    let follows = |fault: &&ConfigFault| shape.iter().any(|s| is_within(&fault.field, &s.field));
    let own = |fault: &ConfigFault| half.owns(&fault.field);
    sense
        .iter()
        .filter(|fault| !own(fault) || !follows(fault))
        .map(|fault| {
            let at = own(fault).then(|| tree.locate(&fault.field));
            (at, fault.field.clone(), fault.text.clone())
        })
        .collect()
}

fn is_within(field: &str, outer: &str) -> bool {
    field
        .strip_prefix(outer)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

fn place(text: &str, (at, field, what): Placed) -> FileFault {
    FileFault {
        at: at.map(|at| span::line_and_column(text, at)),
        field: if field.is_empty() {
            WHOLE.to_owned()
        } else {
            field
        },
        text: what,
    }
}

fn syntax(e: &serde_json::Error) -> FileFault {
    FileFault {
        at: Some((e.line(), e.column())),
        field: WHOLE.to_owned(),
        text: e.to_string(),
    }
}
