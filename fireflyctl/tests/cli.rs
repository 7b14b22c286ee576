//! The command line, and the jobs that query nodes or work locally.

mod support;

use clap::Command;
use fireflyctl::{command, env_name};
use fireflyd::keyring::KeyRing;
use serde_json::{Value, json};
use support::{FakeNode, platform, run};

fn visit_args(command: &Command, check: &mut impl FnMut(&str, &clap::Arg)) {
    for arg in command.get_arguments() {
        if !matches!(arg.get_id().as_str(), "help" | "version") {
            check(command.get_name(), arg);
        }
    }
    for sub in command.get_subcommands() {
        visit_args(sub, check);
    }
}

#[test]
fn command_definition_is_valid() {
    command().debug_assert();
}

#[test]
fn every_flag_has_its_variable() {
    visit_args(&command(), &mut |command, arg| {
        let id = arg.get_id().as_str();
        let env = arg.get_env().map(|env| env.to_string_lossy().into_owned());
        assert_eq!(env, Some(env_name(id)), "{command} {id}");
        assert!(arg.get_help().is_some(), "{command} {id}");
    });
}

/// Test cases: wrong command lines and a part of their message.
macro_rules! usage {
    ($($name:ident: [$($arg:literal),*] => $text:literal;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                run(&[$($arg),*]).await.exits(64).warns("1001 ").warns($text);
            }
        )+
    };
}

usage! {
    no_command: [] => "Usage";
    unknown_command: ["fly"] => "unrecognized subcommand";
    no_platform: ["rules", "show"] => "--platform URL is needed";
    no_file: ["rules", "apply"] => "<FILE>";
    no_nodes: ["status"] => "--nodes";
    wrong_number: ["fleet-key", "new", "--id", "256"] => "256";
    no_request_id: ["explain", "abc", "--nodes", "127.0.0.1:1"] => "not a request id";
}

#[tokio::test]
async fn help_names_the_exit_statuses() {
    run(&["--help"])
        .await
        .exits(0)
        .prints("65 faults in the file (1002)");
}

#[tokio::test]
async fn key_digest_is_that_of_the_example() {
    let digest = "080652879f31e27fad18391920a181bb8ed14606d0edb965212a8fc44eb3df82";
    let output = run(&["key", "digest", "demo-key-1"]).await.exits(0);
    assert_eq!(output.out, format!("{digest}\n"));
    let inventory = std::fs::read_to_string(support::example_path("inventory.json")).unwrap();
    assert!(inventory.contains(digest));
}

#[test]
fn key_is_read_from_standard_input() {
    use std::io::Write;
    use std::process::{Command, Stdio};
    let mut child = Command::new(env!("CARGO_BIN_EXE_fireflyctl"))
        .args(["key", "digest", "-"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(b"demo-key-1\n")
        .unwrap();
    let out = child.wait_with_output().unwrap();
    assert!(out.status.success());
    assert!(out.stdout.starts_with(b"080652879f31"));
}

#[tokio::test]
async fn fleet_keys_are_read_by_the_daemon_and_differ() {
    let one = run(&["fleet-key", "new"]).await.exits(0).out;
    let two = run(&["fleet-key", "new", "--id", "2"]).await.exits(0).out;
    assert!(one.starts_with("1:") && two.starts_with("2:"));
    assert_ne!(one[2..], two[2..]);
    KeyRing::parse(&format!("{one}{two}")).unwrap();
}

#[tokio::test]
async fn status_is_a_table() {
    let (a, b) = (
        FakeNode::start("entry-a", 7).await,
        FakeNode::start("entry-b", 6).await,
    );
    let nodes = format!("{},{}", a.addr, b.addr);
    let output = run(&["status", "--nodes", &nodes]).await.exits(0);
    let rows: Vec<Vec<&str>> = output
        .out
        .lines()
        .map(|l| l.split_whitespace().collect())
        .collect();
    assert_eq!(rows.len(), 3);
    assert_eq!(
        rows[1][1..],
        ["entry-a", "entry", "dc-1", "ready", "7", "2", "1", "no"]
    );
    assert_eq!(
        rows[2][1..],
        ["entry-b", "entry", "dc-1", "ready", "6", "2", "1", "no"]
    );
}

#[tokio::test]
async fn status_shows_the_others_when_a_node_is_silent() {
    let (node, gone) = (
        FakeNode::start("entry-a", 7).await,
        FakeNode::start("gone", 1).await,
    );
    let nodes = format!("{},{}", node.addr, gone.addr);
    let silent = gone.addr.clone();
    drop(gone);
    let output = run(&["status", "--nodes", &nodes]).await;
    output
        .exits(69)
        .prints("entry-a")
        .warns(&format!("no answer from {silent}"));
}

#[tokio::test]
async fn drain_waits_until_the_node_holds_no_work() {
    let node = FakeNode::start("entry-a", 7).await;
    let output = run(&["drain", "--node", &node.addr, "--wait", "30"]).await;
    output.exits(0).prints("drains").prints("holds no work");
    assert!(node.was_drained());
}

#[tokio::test]
async fn drain_of_a_node_that_keeps_its_streams() {
    let node = FakeNode::start("entry-a", 7).await;
    let output = run(&["drain", "--node", &node.addr]).await;
    output.exits(0).prints("drains");
    node.update_answers(|a| a.status["streams"] = 1.into());
    let looks = run(&["status", "--nodes", &node.addr]).await;
    looks.exits(0).prints("yes");
}

#[tokio::test]
async fn drain_of_a_silent_node_fails() {
    let node = FakeNode::start("gone", 7).await;
    let addr = node.addr.clone();
    drop(node);
    run(&["drain", "--node", &addr])
        .await
        .exits(69)
        .warns("1004");
}

#[tokio::test]
async fn vms_are_listed() {
    let platform = platform().await;
    let list = json!({"vms": [{
        "name": "vm-1", "address": "10.0.0.1:7000", "data_centre": "dc-1",
        "role": "entry", "state": "leaving",
    }]});
    let url = format!("{}/standin/vms", platform.url());
    reqwest::Client::new()
        .post(url)
        .json(&list)
        .send()
        .await
        .unwrap();
    let output = run(&["vms", "--platform", &platform.url()]).await.exits(0);
    let row: Vec<&str> = output
        .out
        .lines()
        .nth(1)
        .unwrap()
        .split_whitespace()
        .collect();
    assert_eq!(row, ["vm-1", "10.0.0.1:7000", "dc-1", "entry", "leaving"]);
}

const REQUEST: &str = "0123456789abcdef0123456789abcdef";

async fn two_nodes_with_events() -> (FakeNode, FakeNode, String) {
    let (a, b) = (
        FakeNode::start("entry-a", 1).await,
        FakeNode::start("agent-b", 1).await,
    );
    a.update_answers(|n| {
        n.events = json!([
            {"at_ms": 1_000, "node": "entry-a", "event": "submitted", "peer": null},
            {"at_ms": 1_030, "node": "entry-a", "event": "finished", "code": 3000},
        ]);
    });
    b.update_answers(|n| {
        n.events = json!([{"at_ms": 1_010, "node": "agent-b", "event": "accepted", "count": 2}]);
    });
    let nodes = format!("{},{}", a.addr, b.addr);
    (a, b, nodes)
}

#[tokio::test]
async fn explain_merges_the_nodes_by_time() {
    let (_a, _b, nodes) = two_nodes_with_events().await;
    let output = run(&["explain", REQUEST, "--nodes", &nodes]).await.exits(0);
    let expected = "+0 ms  entry-a  submitted\n\
                  +10 ms  agent-b  accepted  count=2\n\
                  +30 ms  entry-a  finished  code=3000\n";
    assert_eq!(output.out, expected);
}

#[tokio::test]
async fn explain_prints_json() {
    let (_a, _b, nodes) = two_nodes_with_events().await;
    let output = run(&["explain", REQUEST, "--nodes", &nodes, "--json"])
        .await
        .exits(0);
    let events: Value = serde_json::from_str(&output.out).unwrap();
    assert_eq!(events[1]["event"], "accepted");
    assert_eq!(events.as_array().unwrap().len(), 3);
}

#[tokio::test]
async fn request_that_no_node_knows_is_reported() {
    let node = FakeNode::start("entry-a", 1).await;
    let output = run(&["explain", REQUEST, "--nodes", &node.addr]).await;
    output.exits(1).warns("no node knows of request");
}
