//! Differences of configurations as operators see them.

use fireflycroft::{
    Brand, Diff, Document, Inventory, Model, Name, NonRetryable, Objective, Priority, PriorityRule,
    Quota, Rules, WithoutKey, Workspace,
};

/// Defines one test per change of the document and the lines that show it.
macro_rules! changes {
    ($($name:ident: $change:expr => [$($line:literal),* $(,)?];)+) => {
        $(
            #[test]
            fn $name() {
                let before = document();
                let mut after = before.clone();
                let change: fn(&mut Document) = $change;
                change(&mut after);
                assert_eq!(lines(&before, &after), [$($line),*] as [&str; _]);
            }
        )+
    };
}

fn name(text: &str) -> Name {
    Name::from(text)
}

fn digest(digit: char) -> Name {
    String::from_iter([digit; 64]).into()
}

fn document() -> Document {
    let workspace = |text: &str, digit| Workspace {
        name: name(text),
        brand: name("one"),
        key_digests: vec![digest(digit)],
    };
    Document {
        inventory: Inventory {
            brands: vec![Brand {
                name: name("one"),
                models: vec![name("model-a")],
                services: vec![],
            }],
            workspaces: vec![workspace("desk", '1'), workspace("lab", '2')],
            models: vec![Model {
                name: name("model-a"),
                replicas: 1,
            }],
            services: vec![name("records")],
        },
        rules: Rules {
            quotas: vec![Quota {
                workspace: name("lab"),
                tokens_per_minute: 10,
            }],
            ..Rules::default()
        },
    }
}

/// Returns the lines of a diff without the counts at its end.
fn lines(before: &Document, after: &Document) -> Vec<String> {
    let text = Diff::between(before, after).to_string();
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    lines.pop();
    lines
}

changes! {
    nothing_changed: |_| {} => [];
    order_does_not_count: |doc| doc.inventory.workspaces.reverse() => [];
    brand_added: |doc| {
        doc.inventory.brands.push(Brand { name: name("two"), models: vec![], services: vec![] });
    } => ["+ brand two: models none, services none"];
    brand_changed: |doc| doc.inventory.brands[0].services.push(name("records")) => [
        "~ brand one: models model-a, services none -> models model-a, services records",
    ];
    model_changed: |doc| doc.inventory.models[0].replicas = 4 => [
        "~ model model-a: replicas 1 -> replicas 4",
    ];
    service_removed: |doc| doc.inventory.services.clear() => ["- service records"];
    workspace_removed_with_its_key: |doc| {
        doc.inventory.workspaces.remove(0);
    } => ["- workspace desk: brand one", "- key desk 111111111111"];
    key_rolled: |doc| doc.inventory.workspaces[0].key_digests[0] = digest('a') => [
        "- key desk 111111111111",
        "+ key desk aaaaaaaaaaaa",
    ];
    key_with_the_same_head_is_another: |doc| {
        let other = format!("{}{}", "1".repeat(63), "f");
        doc.inventory.workspaces[0].key_digests[0] = other.into();
    } => ["- key desk 111111111111", "+ key desk 111111111111"];
    quota_changed: |doc| doc.rules.quotas[0].tokens_per_minute = 20 => [
        "~ quota lab: 10 tokens a minute -> 20 tokens a minute",
    ];
    priority_added: |doc| doc.rules.priorities.push(PriorityRule {
        workspace: name("desk"),
        default: Priority::Batch,
        highest: Priority::Interactive,
    }) => ["+ priority desk: default batch, highest interactive"];
    calls_that_differ_in_part: |doc| {
        let rule = |method: &str| NonRetryable {
            target: name("records"),
            method: Some(name(method)),
            path: Some(name("/dossiers")),
            workspace: Some(name("lab")),
        };
        doc.rules.non_repeatable = vec![rule("POST"), rule("PUT")];
    } => [
        "+ non_repeatable records POST /dossiers of lab",
        "+ non_repeatable records PUT /dossiers of lab",
    ];
    objective_added: |doc| doc.rules.objectives.push(Objective {
        brand: None,
        priority: Priority::Interactive,
        first_token_ms: 500,
        between_tokens_ms: 100,
        per_mille: 990,
    }) => ["+ objective * interactive: first token 500 ms, between tokens 100 ms, 990 of 1000"];
    settings_changed: |doc| {
        doc.rules.without_key = WithoutKey::RunOnce;
        doc.rules.batch_wait_ms = 5;
    } => [
        "~ setting batch_wait_ms: 60000 -> 5",
        "~ setting without_key: refuse -> run_once",
    ];
}

#[test]
fn counts_stand_at_the_end() {
    let mut after = document();
    after.inventory.workspaces.remove(0);
    after.inventory.models[0].replicas = 9;
    let text = Diff::between(&document(), &after).to_string();
    assert!(text.ends_with("0 added, 1 changed, 2 removed"), "{text}");
}

#[test]
fn json_names_subject_and_change() {
    let mut after = document();
    after.inventory.models[0].replicas = 9;
    after.inventory.services.clear();
    let json = serde_json::to_value(Diff::between(&document(), &after)).unwrap();
    let wanted = serde_json::json!([
        {
            "subject": "model",
            "name": "model-a",
            "changed": {"from": "replicas 1", "to": "replicas 9"},
        },
        {"subject": "service", "name": "records", "removed": ""},
    ]);
    assert_eq!(json, wanted);
}
