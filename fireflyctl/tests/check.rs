//! Checks of files: all faults, with their lines, columns and fields.

use fireflycroft::{Document, Inventory, Rules};
use fireflyctl::{ConfigSection, FileFault, check};

/// Test cases: a file and its faults (position, field and text).
macro_rules! faults {
    ($($name:ident: $section:ident $text:expr => [$($line:literal),* $(,)?];)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(faults_of(ConfigSection::$section, $text), [$($line),*] as [&str; _]);
            }
        )+
    };
}

const INVENTORY: &str = include_str!("../../examples/inventory.json");
const RULES: &str = include_str!("../../examples/rules.json");

fn base() -> Document {
    Document {
        inventory: serde_json::from_str(INVENTORY).unwrap(),
        rules: Rules::default(),
    }
}

fn faults_of(section: ConfigSection, text: &str) -> Vec<String> {
    match check(section, text, &base()) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(line).collect(),
    }
}

fn line(fault: &FileFault) -> String {
    let FileFault {
        position,
        field,
        text,
    } = fault;
    match position {
        Some((line, column)) => format!("{line}:{column} {field}: {text}"),
        None => format!("- {field}: {text}"),
    }
}

faults! {
    example_inventory: Inventory INVENTORY => [];
    example_rules: Rules RULES => [];
    empty_object: Rules "{}" => [];
    not_json: Rules "{\n  \"quotas\": [,]\n}" => [
        "2:14 (file): expected value at line 2 column 14",
    ];
    empty_file: Rules "" => ["1:0 (file): EOF while parsing a value at line 1 column 0"];
    two_values: Rules "{} {}" => ["1:4 (file): trailing characters at line 1 column 4"];
    not_an_object: Rules "[]" => ["1:1 (file): expected an object, found a list"];
    unknown_field: Rules "{\n  \"quota\": []\n}" => [
        "2:3 quota: unknown field; known are priorities, quotas, non_repeatable, without_key, interactive_wait_ms, batch_wait_ms, objectives",
    ];
    every_kind_of_fault_at_once: Rules r#"{
  "priorities": [
    { "workspace": "harbour-counter", "default": "urgent", "highest": 3 },
    { "workspace": "nowhere", "default": "batch" }
  ],
  "quotas": [
    { "workspace": "meadow-logs", "tokens_per_minute": -5 },
    { "workspace": "meadow-logs", "tokens_per_minute": 1.5, "burst": 9 },
    "meadow-logs"
  ],
  "batch_wait_ms": "long",
  "batch_wait_ms": 18446744073709551616,
  "objectives": [
    { "priority": "batch", "first_token_ms": 1, "between_tokens_ms": 1, "per_mille": 1001 }
  ]
}"# => [
        "3:50 priorities[0].default: expected interactive or batch, found \"urgent\"",
        "3:71 priorities[0].highest: expected text, found a number",
        "4:5 priorities[1].highest: missing",
        "4:20 priorities[1].workspace: no such workspace: \"nowhere\"",
        "7:56 quotas[0].tokens_per_minute: expected a whole number from 0 to 18446744073709551615, found -5",
        "8:20 quotas[1].workspace: named twice: \"meadow-logs\"",
        "8:56 quotas[1].tokens_per_minute: expected a whole number from 0 to 18446744073709551615, found 1.5",
        "8:61 quotas[1].burst: unknown field; known are workspace, tokens_per_minute",
        "9:5 quotas[2]: expected an object, found text",
        "11:20 batch_wait_ms: expected a whole number, found text",
        "12:3 batch_wait_ms: given twice",
        "12:20 batch_wait_ms: expected a whole number from 0 to 18446744073709551615, found 18446744073709551616",
        "14:86 objectives[0].per_mille: over 1000: 1001",
    ];
    null_is_allowed_for_optional_fields_only: Rules r#"{"non_repeatable": [
  {"target": null, "method": null, "path": null}
]}"# => ["2:14 non_repeatable[0].target: expected text, found null"];
    column_counts_characters: Inventory "{\"services\": [\"é漢\", \"a b\"]}" => [
        "1:21 services[1]: holds a space or control character: \"a b\"",
    ];
    escapes_do_not_shift_the_place: Inventory "{\"services\": [\"q\\\"\\\\\", \"a b\"]}" => [
        "1:24 services[1]: holds a space or control character: \"a b\"",
    ];
    key_is_not_shown: Inventory r#"{"brands": [{"name": "b"}], "workspaces": [
  {"name": "w", "brand": "b", "key_digests": ["demo-key-1"]}
]}"# => ["2:47 workspaces[0].key_digests[0]: not 64 hexadecimal digits"];
    schema_fault_suppresses_semantic_faults: Inventory r#"{"brands": [{"name": 7}], "workspaces": [
  {"name": "w"},
  {"brand": 5, "name": ["w"]}
]}"# => [
        "1:22 brands[0].name: expected text, found a number",
        "2:3 workspaces[0].brand: missing",
        "3:13 workspaces[1].brand: expected text, found a number",
        "3:24 workspaces[1].name: expected text, found a list",
    ];
}

#[test]
fn fault_in_the_other_section_is_reported() {
    let mut doc = base();
    doc.rules = serde_json::from_str(RULES).unwrap();
    let text = INVENTORY.replace("\"harbour-archive\"", "\"harbour-attic\"");
    let faults = check(ConfigSection::Inventory, &text, &doc).unwrap_err();
    let lines: Vec<String> = faults.iter().map(line).collect();
    let expected = "- quotas[0].workspace: no such workspace: \"harbour-archive\"";
    assert_eq!(lines, [expected]);
}

#[test]
fn other_section_is_kept() {
    let doc = check(ConfigSection::Rules, RULES, &base()).unwrap();
    assert_eq!(doc.inventory, base().inventory);
    let again = check(ConfigSection::Inventory, INVENTORY, &doc).unwrap();
    assert_eq!(again, doc);
}

/// Guards against fields that only one of the `serde` types and the schema
/// knows: a full document as `serde` writes it must match the schema.
#[test]
fn schema_covers_every_field() {
    let doc = check(ConfigSection::Rules, RULES, &base()).unwrap();
    let inventory = serde_json::to_string(&doc.inventory).unwrap();
    let rules = serde_json::to_string(&doc.rules).unwrap();
    assert_eq!(faults_of(ConfigSection::Inventory, &inventory), [""; 0]);
    assert_eq!(faults_of(ConfigSection::Rules, &rules), [""; 0]);
    assert_eq!(
        serde_json::from_str::<Inventory>(&inventory).unwrap(),
        doc.inventory
    );
}

#[test]
fn large_file_is_checked_whole() {
    let mut doc = base();
    let template = doc.inventory.workspaces[0].clone();
    doc.inventory.workspaces = (0_u32..38_000)
        .map(|i| {
            let mut workspace = template.clone();
            workspace.name = format!("workspace-{i}").into();
            let digest = blake3::hash(&i.to_le_bytes()).to_hex();
            workspace.key_digests = vec![digest.as_str().into()];
            workspace
        })
        .collect();
    let text = serde_json::to_string_pretty(&doc.inventory).unwrap();
    assert!(text.len() > 1024 * 1024);
    assert_eq!(
        check(ConfigSection::Inventory, &text, &base())
            .unwrap()
            .inventory,
        doc.inventory
    );
    let invalid = text.replace("\"workspace-37999\"", "\"workspace-0\"");
    let faults = check(ConfigSection::Inventory, &invalid, &base()).unwrap_err();
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].field, "workspaces[37999].name");
    let line = invalid
        .lines()
        .nth(faults[0].position.unwrap().0 - 1)
        .unwrap();
    assert!(line.contains("workspace-0"), "{line}");
}
