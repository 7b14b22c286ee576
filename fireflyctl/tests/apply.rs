//! `plan` and `apply` with a platform: races, lost answers, outages and a
//! platform that went back to an older state.

mod support;

use fireflycroft::{ConfigTransfer, ConfigVersion, Document, split};
use serde_json::{Value, json};
use standins::Running;
use standins::platform::Config;
use support::{
    FakeNode, example_path, platform, platform_with, read_object, run, set_faults, write_file,
};

async fn apply(platform: &Running, section: &str, file: &str, more: &[&str]) -> support::RunOutput {
    let url = platform.url();
    let mut args = vec![section, "apply", file, "--platform", &url];
    args.extend(more);
    run(&args).await
}

/// Starts a platform with both examples accepted, as versions 1 and 2.
async fn platform_with_examples() -> Running {
    let platform = platform().await;
    let inventory = example_path("inventory.json");
    apply(&platform, "inventory", &inventory, &["--by", "anna"])
        .await
        .exits(0);
    let rules = example_path("rules.json");
    apply(&platform, "rules", &rules, &["--by", "bert"])
        .await
        .exits(0);
    platform
}

/// Writes the example rules with another quota to a file.
fn rules_with_quota(name: &str, tokens: u64) -> String {
    let text = std::fs::read_to_string(example_path("rules.json")).unwrap();
    write_file(name, &text.replace("200000", &tokens.to_string()))
}

async fn version(platform: &Running) -> u64 {
    read_object(platform, "config/head").await["value"]["version"]
        .as_u64()
        .unwrap()
}

async fn show(platform: &Running, section: &str) -> Value {
    let output = run(&[section, "show", "--platform", &platform.url()])
        .await
        .exits(0);
    serde_json::from_str(&output.out).unwrap()
}

#[tokio::test]
async fn plan_changes_nothing() {
    let platform = platform().await;
    let (url, inventory) = (platform.url(), example_path("inventory.json"));
    let plan = run(&["inventory", "plan", &inventory, "--platform", &url]).await;
    plan.exits(0)
        .prints("+ brand harbour")
        .prints("17 added, 0 changed, 0 removed");
    let dry = apply(&platform, "inventory", &inventory, &["--dry-run"]).await;
    dry.exits(0).prints("17 added");
    let page = read_object(&platform, "config").await;
    assert_eq!(page["objects"], json!([]));
}

#[tokio::test]
async fn apply_puts_both_halves_in_force() {
    let platform = platform_with_examples().await;
    assert_eq!(version(&platform).await, 2);
    let expected: Value =
        serde_json::from_str(&std::fs::read_to_string(example_path("inventory.json")).unwrap())
            .unwrap();
    assert_eq!(show(&platform, "inventory").await, expected);
    let rules = show(&platform, "rules").await;
    assert_eq!(rules["quotas"][0]["tokens_per_minute"], 200_000);
    let shown = run(&["config", "version", "--platform", &platform.url()]).await;
    shown.exits(0).prints("version=2").prints("by=\"bert\"");
}

#[tokio::test]
async fn same_file_again_writes_nothing() {
    let platform = platform_with_examples().await;
    let again = apply(&platform, "rules", &example_path("rules.json"), &[]).await;
    again.exits(0).prints("version 2 holds this already");
    assert_eq!(version(&platform).await, 2);
}

#[tokio::test]
async fn faults_are_listed_and_nothing_is_written() {
    let platform = platform_with_examples().await;
    let bad = write_file(
        "faulty.json",
        "{\n  \"quotas\": [{ \"workspace\": \"x\" }]\n}",
    );
    let output = apply(&platform, "rules", &bad, &[]).await;
    let output = output.exits(65).warns("1002 ").warns("2 faults");
    let output = output.warns("faulty.json:2:14: quotas[0].tokens_per_minute: missing");
    output.warns("faulty.json:2:29: quotas[0].workspace: no such workspace: \"x\"");
    assert_eq!(version(&platform).await, 2);
}

#[tokio::test]
async fn diff_is_printed_as_json() {
    let platform = platform_with_examples().await;
    let rules = rules_with_quota("json-rules.json", 7);
    let output = apply(&platform, "rules", &rules, &["--json", "--dry-run"]).await;
    let diff: Value = serde_json::from_str(&output.exits(0).out).unwrap();
    let expected = json!([{
        "subject": "quota",
        "name": "harbour-archive",
        "changed": {"from": "200000 tokens a minute", "to": "7 tokens a minute"},
    }]);
    assert_eq!(diff, expected);
}

#[tokio::test]
async fn operator_who_planned_on_an_earlier_version_sees_both_diffs() {
    let platform = platform_with_examples().await;
    let theirs = rules_with_quota("theirs.json", 111);
    apply(
        &platform,
        "rules",
        &theirs,
        &["--by", "carol", "--expect", "2"],
    )
    .await
    .exits(0);
    let mine = rules_with_quota("mine.json", 222);
    let output = apply(&platform, "rules", &mine, &["--expect", "2"]).await;
    let output = output
        .exits(75)
        .warns("1003 carol published version 3, you built on version 2");
    let output = output.warns("111 tokens a minute -> 222 tokens a minute");
    output.warns("200000 tokens a minute -> 111 tokens a minute");
    assert_eq!(version(&platform).await, 3);
    apply(&platform, "rules", &mine, &["--expect", "3"])
        .await
        .exits(0);
    assert_eq!(version(&platform).await, 4);
}

#[tokio::test]
async fn first_configuration_can_be_expected() {
    let platform = platform().await;
    let inventory = example_path("inventory.json");
    apply(&platform, "inventory", &inventory, &["--expect", "0"])
        .await
        .exits(0);
    let output = apply(
        &platform,
        "rules",
        &example_path("rules.json"),
        &["--expect", "0"],
    )
    .await;
    output.exits(75).warns("+ brand harbour");
}

/// Of operators racing on the same version, one succeeds; the others report a
/// conflict with its change.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_win_once_each_version() {
    let platform = platform_with_examples().await;
    let files: Vec<String> = (0..6)
        .map(|i| rules_with_quota(&format!("race-{i}.json"), 500 + i))
        .collect();
    let races = files
        .iter()
        .map(|f| apply(&platform, "rules", f, &["--by", "racer"]));
    let output = futures_util::future::join_all(races).await;
    let accepted = output.iter().filter(|r| r.exit == 0).count();
    let conflicts: Vec<_> = output.iter().filter(|r| r.exit == 75).collect();
    assert_eq!(accepted + conflicts.len(), files.len());
    assert!(accepted >= 1);
    for conflict in conflicts {
        assert!(
            conflict.err.contains("1003 racer published version"),
            "{}",
            conflict.err
        );
        assert!(conflict.err.contains("yours:") && conflict.err.contains("others'"));
    }
    assert_eq!(version(&platform).await, 2 + accepted as u64);
}

#[tokio::test]
async fn lost_answer_of_the_head_is_settled() {
    let platform = platform_with_examples().await;
    let rules = rules_with_quota("lost.json", 9);
    // Lost answers of the part, the copy of the head and the head itself.
    for lost in 1..=3 {
        let rules = if lost == 3 {
            &rules
        } else {
            &rules_with_quota("lost-1.json", lost)
        };
        set_faults(&platform, json!({"lose_write_answers": lost})).await;
        apply(&platform, "rules", rules, &[])
            .await
            .exits(0)
            .prints("is accepted");
    }
    assert_eq!(version(&platform).await, 5);
    assert_eq!(
        show(&platform, "rules").await["quotas"][0]["tokens_per_minute"],
        9
    );
}

#[tokio::test]
async fn outage_changes_nothing() {
    let platform = platform_with_examples().await;
    set_faults(&platform, json!({"outage": true})).await;
    let output = apply(&platform, "rules", &rules_with_quota("outage.json", 9), &[]).await;
    output.exits(69).warns("1004 nothing was changed");
    set_faults(&platform, json!({"outage": false})).await;
    assert_eq!(version(&platform).await, 2);
}

#[tokio::test]
async fn large_inventory_is_applied_and_shown() {
    let platform = platform_with(&Config::default()).await;
    let text = std::fs::read_to_string(example_path("inventory.json")).unwrap();
    let mut inventory: Value = serde_json::from_str(&text).unwrap();
    let workspace = |i: u32| {
        let digest = blake3::hash(&i.to_le_bytes()).to_hex();
        json!({"name": format!("workspace-{i}"), "brand": "meadow", "key_digests": [digest.as_str()]})
    };
    inventory["workspaces"] = (0..38_000).map(workspace).collect();
    let large = write_file("large.json", &inventory.to_string());
    apply(&platform, "inventory", &large, &[])
        .await
        .exits(0)
        .prints("version 1 is accepted");
    let parts = read_object(&platform, "config/head").await["value"]["parts"]
        .as_array()
        .unwrap()
        .len();
    assert!(parts > 1);
    inventory["workspaces"][777]["brand"] = "harbour".into();
    let changed = write_file("large-changed.json", &inventory.to_string());
    let output = apply(&platform, "inventory", &changed, &[]).await;
    output
        .exits(0)
        .prints("~ workspace workspace-777: brand meadow -> brand harbour");
    assert_eq!(show(&platform, "inventory").await, inventory);
}

#[tokio::test]
async fn wait_reports_each_node() {
    let platform = platform_with_examples().await;
    let (near, far) = (
        FakeNode::start("near", 3).await,
        FakeNode::start("far", 3).await,
    );
    let nodes = format!("{},{}", near.addr, far.addr);
    let rules = rules_with_quota("wait.json", 5);
    let output = apply(
        &platform,
        "rules",
        &rules,
        &["--nodes", &nodes, "--wait", "0"],
    )
    .await;
    output.exits(69).warns("it went back");
    near.update_answers(|a| a.status["config_version"] = 4.into());
    far.update_answers(|a| a.status["config_version"] = 2.into());
    let args = ["--nodes", &nodes, "--wait", "0", "--from-platform"];
    let output = apply(&platform, "rules", &rules, &args).await;
    let output = output.exits(76).prints("version 5 is accepted");
    let output = output
        .prints("near still at version 4")
        .prints("far still at version 2");
    output.warns("version 5 is accepted, but not seen active on");
    near.update_answers(|a| a.status["config_version"] = 5.into());
    far.update_answers(|a| a.status["config_version"] = 5.into());
    let output = apply(
        &platform,
        "rules",
        &rules,
        &["--nodes", &nodes, "--wait", "30"],
    )
    .await;
    output
        .exits(0)
        .prints("near version 5 active")
        .prints("far version 5 active");
}

#[tokio::test]
async fn conflicting_content_of_the_same_version_is_not_active() {
    let platform = platform_with_examples().await;
    let node = FakeNode::start("split", 3).await;
    node.update_answers(|a| {
        a.status["config_digest"] = "0".repeat(32).into();
        a.statuses = vec![json!({"config_version": 2})];
    });
    let args = ["--nodes", &node.addr, "--wait", "0"];
    let output = apply(
        &platform,
        "rules",
        &rules_with_quota("rival.json", 3),
        &args,
    )
    .await;
    output.exits(76).prints("split other content as version 3");
}

#[tokio::test]
async fn conflicting_content_of_the_same_version_is_replaced() {
    let platform = platform_with_examples().await;
    let node = FakeNode::start("split", 2).await;
    node.update_answers(|a| a.status["config_digest"] = "0".repeat(32).into());
    let rules = example_path("rules.json");
    let output = apply(&platform, "rules", &rules, &["--nodes", &node.addr]).await;
    output.exits(0).prints("version 3 is accepted");
}

#[tokio::test]
async fn silent_node_is_reported() {
    let platform = platform_with_examples().await;
    let node = FakeNode::start("gone", 2).await;
    let addr = node.addr.clone();
    drop(node);
    let rules = rules_with_quota("silent.json", 5);
    let output = apply(
        &platform,
        "rules",
        &rules,
        &["--nodes", &addr, "--wait", "0"],
    )
    .await;
    output.exits(76).warns("didn't answer").prints("no answer");
    assert_eq!(version(&platform).await, 3);
}

#[tokio::test]
async fn wait_without_nodes_is_refused_before_anything_is_written() {
    let platform = platform_with_examples().await;
    let rules = rules_with_quota("no-nodes.json", 5);
    apply(&platform, "rules", &rules, &["--wait", "1"])
        .await
        .exits(64)
        .warns("1001 --nodes");
    assert_eq!(version(&platform).await, 2);
}

/// Builds the configuration shown by a node that holds these files as `version`.
fn bundle(version: u64, inventory: &str, rules: &str) -> Value {
    let doc = Document {
        inventory: serde_json::from_str(&std::fs::read_to_string(inventory).unwrap()).unwrap(),
        rules: serde_json::from_str(&std::fs::read_to_string(rules).unwrap()).unwrap(),
    };
    let snapshot = split(&doc).unwrap();
    let head = snapshot.head(ConfigVersion(version), 0, "anna".into(), "t".into());
    let mut transfer = ConfigTransfer::default();
    transfer.install(head, snapshot.parts).unwrap();
    serde_json::to_value(transfer.bundle()).unwrap()
}

#[tokio::test]
async fn apply_after_a_restore_keeps_what_nodes_have_in_force() {
    let platform = platform_with_examples().await;
    let object_version = read_object(&platform, "config/head").await["version"]
        .as_u64()
        .unwrap();
    let later = rules_with_quota("restore-later.json", 4_242);
    apply(&platform, "rules", &later, &[]).await.exits(0);
    let node = FakeNode::start("keeper", 3).await;
    set_faults(&platform, json!({"restore_to_revision": object_version})).await;
    assert_eq!(version(&platform).await, 2);
    let text = std::fs::read_to_string(example_path("inventory.json")).unwrap();
    let inventory = write_file(
        "restore-inventory.json",
        &text.replace("\"replicas\": 2", "\"replicas\": 7"),
    );
    let refused = apply(&platform, "inventory", &inventory, &["--nodes", &node.addr]).await;
    refused.exits(69).warns("show version 3");
    node.update_answers(|a| a.config = Some(bundle(3, &example_path("inventory.json"), &later)));
    let output = apply(&platform, "inventory", &inventory, &["--nodes", &node.addr]).await;
    output
        .exits(0)
        .prints("version 4 is accepted")
        .prints("1 changed");
    assert_eq!(
        show(&platform, "rules").await["quotas"][0]["tokens_per_minute"],
        4_242
    );
}

#[tokio::test]
async fn restore_puts_back_what_the_nodes_have_in_force() {
    let platform = platform_with_examples().await;
    let revision = read_object(&platform, "config/head").await["version"]
        .as_u64()
        .unwrap();
    let later = rules_with_quota("config-restore.json", 4_242);
    apply(&platform, "rules", &later, &[]).await.exits(0);
    set_faults(&platform, json!({"restore_to_revision": revision})).await;
    let node = FakeNode::start("keeper", 3).await;
    node.update_answers(|a| a.config = Some(bundle(3, &example_path("inventory.json"), &later)));
    let url = platform.url();
    let args = [
        "config",
        "restore",
        "--platform",
        &url,
        "--nodes",
        &node.addr,
    ];
    run(&args).await.exits(0).prints("version 4 is accepted");
    let rules = show(&platform, "rules").await;
    assert_eq!(rules["quotas"][0]["tokens_per_minute"], 4_242);
    node.update_answers(|a| a.status["config_version"] = 4.into());
    run(&args)
        .await
        .exits(0)
        .prints("version 4 holds this already");
}

#[tokio::test]
async fn restore_needs_nodes() {
    let platform = platform().await;
    let output = run(&["config", "restore", "--platform", &platform.url()]).await;
    output.exits(64).warns("--nodes");
}
