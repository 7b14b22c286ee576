//! Guarantee 7 on separate processes: an accepted configuration becomes active
//! everywhere within seconds, and the active version never decreases.

mod support;

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use standins::caller::Request;
use support::{DOSSIERS, Fleet, Node, Spec, until, within};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Guaranteed time until a configuration is active everywhere.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two reads of a version.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// API key of the workspace that the tests remove.
const REMOVED_KEY: &str = "demo-key-3";
const REMOVED_WORKSPACE: &str = "harbour-archive";
/// Exit statuses of `fireflyctl`.
const DONE: i32 = 0;
const NO_ANSWER: i32 = 69;
const EFFECT_UNKNOWN: i32 = 74;
const CONFLICT: i32 = 75;

crate::cases! {
    in_force_within_5_s => becomes_active(json!({}));
    in_force_within_5_s_with_stale_reads => becomes_active(json!({"stale_read_ms": 1_500}));
    in_force_within_5_s_with_late_watches => becomes_active(json!({"watch_lag_ms": 2_000}));
    many_changes_never_lower => many_changes();
    removed_key_runs_nothing_at_a_thawed_entry => resumed_entry();
    removed_key_runs_nothing_at_a_restarted_entry => restarted_entry_stale_read();
    removed_workspace_keeps_its_stream => removed_workspace_keeps_its_stream();
    entry_restarted_in_an_outage => restarted_in_outage(true);
    agent_restarted_in_an_outage => restarted_in_outage(false);
    platform_restored_to_an_older_state => platform_restored();
    change_after_a_restore => change_after_restore();
    four_operators_race => operators_race();
    operator_in_an_outage => operator_in_outage();
    operator_whose_answer_is_lost => operator_answer_lost();
}

/// Writes the sample inventory without one workspace; returns the file's path.
fn inventory_without(fleet: &Fleet, workspace: &str) -> String {
    let path = format!("{}/../examples/inventory.json", env!("CARGO_MANIFEST_DIR"));
    let mut inventory: Value = serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap();
    let all = inventory["workspaces"].as_array_mut().unwrap();
    all.retain(|w| w["name"] != workspace);
    write_json(fleet, "inventory", &inventory)
}

/// Writes the sample rules with another wait of interactive requests and without quotas of the
/// removed workspace; returns the file's path.
fn rules_with_wait(fleet: &Fleet, ms: u64) -> String {
    let path = format!("{}/../examples/rules.json", env!("CARGO_MANIFEST_DIR"));
    let mut rules: Value = serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap();
    let quotas = rules["quotas"].as_array_mut().unwrap();
    quotas.retain(|q| q["workspace"] != REMOVED_WORKSPACE);
    rules["interactive_wait_ms"] = ms.into();
    write_json(fleet, &format!("rules-{ms}"), &rules)
}

fn write_json(fleet: &Fleet, name: &str, value: &Value) -> String {
    let path = fleet.path(&format!("{name}.json"));
    fs::write(&path, value.to_string()).unwrap();
    path
}

/// Applies rules that don't refer to the workspace to be removed.
fn remove_workspace_quotas(fleet: &Fleet) {
    let rules = rules_with_wait(fleet, 1_900);
    let (status, text) = fleet.ctl(&["rules", "apply", &rules, "--wait", "5"]);
    assert_eq!(status, DONE, "{text}");
}

async fn highest_version(fleet: &Fleet) -> u64 {
    let mut highest_version = 0;
    for node in fleet.nodes() {
        highest_version = highest_version.max(fleet.version(node).await);
    }
    highest_version
}

/// Waits until at least that version is active on every process.
async fn await_version(fleet: &Fleet, version: u64) {
    for node in fleet.nodes() {
        until(&format!("version {version} at {}", node.name), || async {
            fleet.version(node).await >= version
        })
        .await;
    }
}

/// Sends a request with the removed key; returns whether it was refused with 401.
async fn is_removed_at(fleet: &Fleet, entry: &Node) -> bool {
    let url = format!("{}/v1/chat/completions", entry.url());
    let body = json!({
        "model": "model-a",
        "messages": [{"role": "user", "content": "[[mark=removed]][[len=3]]"}],
    });
    let req = fleet.http.post(url).bearer_auth(REMOVED_KEY).json(&body);
    req.send().await.is_ok_and(|res| res.status() == 401)
}

/// Checks that the version reported by a ready process never decreases.
struct VersionMonitor {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<String>>,
}

impl VersionMonitor {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let nodes = fleet.nodes().map(|n| (n.name.clone(), n.admin)).collect();
        let task = tokio::spawn(monitor(fleet.http.clone(), nodes, stop.clone()));
        Self { stop, task }
    }

    async fn assert_never_lower(self) {
        self.stop.store(true, Ordering::Relaxed);
        let violations = self.task.await.unwrap();
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

async fn monitor(
    http: reqwest::Client,
    nodes: Vec<(String, std::net::SocketAddr)>,
    stop: Arc<AtomicBool>,
) -> Vec<String> {
    let mut highest_seen = vec![0; nodes.len()];
    let mut violations = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        for ((name, admin), highest_seen) in nodes.iter().zip(&mut highest_seen) {
            let get = |path: &str| http.get(format!("http://{admin}{path}")).send();
            if !get("/health/ready")
                .await
                .is_ok_and(|r| r.status().is_success())
            {
                continue;
            }
            let Ok(res) = get("/status").await else {
                continue;
            };
            let status: Value = res.json().await.unwrap_or_default();
            let version = status["config_version"].as_u64().unwrap_or(0);
            if version < *highest_seen {
                violations.push(format!("{name}: {version} after {highest_seen}"));
            }
            *highest_seen = version.max(*highest_seen);
        }
        sleep(POLL_INTERVAL).await;
    }
    violations
}

/// An accepted change becomes active on each process in time and applies to callers.
async fn becomes_active(fault: Value) {
    let fleet = Fleet::start(Spec::default()).await;
    remove_workspace_quotas(&fleet);
    let monitor = VersionMonitor::start(&fleet);
    fleet.platform_faults(fault).await;
    let file = inventory_without(&fleet, REMOVED_WORKSPACE);
    let before = highest_version(&fleet).await;
    until("the change is accepted", || {
        // A stale read by the operator is answered with a conflict.
        let (status, text) = fleet.ctl(&["inventory", "apply", &file]);
        assert!(matches!(status, DONE | CONFLICT), "{status}: {text}");
        std::future::ready(status == DONE)
    })
    .await;
    within(
        ACTIVATION_TIMEOUT,
        "it in force",
        await_version(&fleet, before + 1),
    )
    .await;
    for entry in &fleet.entries {
        assert!(is_removed_at(&fleet, entry).await);
    }
    assert_eq!(fleet.runs().count("removed"), 0);
    monitor.assert_never_lower().await;
}

/// Changes in quick succession never lower a version.
async fn many_changes() {
    let fleet = Fleet::start(Spec::default()).await;
    let monitor = VersionMonitor::start(&fleet);
    let mut version = highest_version(&fleet).await;
    for ms in 0..8 {
        let rules = rules_with_wait(&fleet, 1_000 + ms);
        let (status, text) = fleet.ctl(&["rules", "apply", &rules]);
        assert_eq!(status, DONE, "{text}");
        version += 1;
    }
    within(
        ACTIVATION_TIMEOUT,
        "the last in force",
        await_version(&fleet, version),
    )
    .await;
    monitor.assert_never_lower().await;
}

/// An entry frozen during a change runs nothing under the old configuration.
async fn resumed_entry() {
    let mut fleet = Fleet::start(Spec::default()).await;
    remove_workspace_quotas(&fleet);
    fleet.entries[1].process.freeze();
    let file = inventory_without(&fleet, REMOVED_WORKSPACE);
    let before = highest_version(&fleet).await;
    let (status, text) = fleet.ctl(&["inventory", "apply", &file, "--timeout-ms", "300"]);
    assert_eq!(status, DONE, "{text}");
    for node in fleet.nodes().filter(|n| n.name != "entry-2") {
        until("the others have it", || async {
            fleet.version(node).await > before
        })
        .await;
    }
    // With the platform down, the resumed entry can learn of the change only from peers.
    fleet.platform_faults(json!({"outage": true})).await;
    let early_requests: Vec<_> = (0..8)
        .map(|_| {
            let url = format!("{}/v1/chat/completions", fleet.entries[1].url());
            let body = json!({
                "model": "model-a",
                "messages": [{"role": "user", "content": "[[mark=removed]][[len=3]]"}],
            });
            let req = fleet.http.post(url).bearer_auth(REMOVED_KEY).json(&body);
            tokio::spawn(req.send())
        })
        .collect();
    sleep(Duration::from_millis(200)).await;
    fleet.entries[1].process.resume();
    for call in early_requests {
        let res = call.await.unwrap().unwrap();
        assert!(!res.status().is_success(), "{}", res.status());
    }
    within(ACTIVATION_TIMEOUT, "it in force", async {
        while !is_removed_at(&fleet, &fleet.entries[1]).await {
            sleep(POLL_INTERVAL).await;
        }
    })
    .await;
    assert_eq!(fleet.runs().count("removed"), 0);
}

/// An entry that starts with a stale read runs nothing under the stale configuration.
async fn restarted_entry_stale_read() {
    let mut fleet = Fleet::start(Spec::default()).await;
    remove_workspace_quotas(&fleet);
    let monitor = VersionMonitor::start(&fleet);
    let file = inventory_without(&fleet, REMOVED_WORKSPACE);
    let (status, text) = fleet.ctl(&["inventory", "apply", &file, "--wait", "5"]);
    assert_eq!(status, DONE, "{text}");
    fleet
        .platform_faults(json!({"stale_read_ms": 20_000}))
        .await;
    fleet.entries[1].restart();
    within(ACTIVATION_TIMEOUT, "it in force", async {
        while !is_removed_at(&fleet, &fleet.entries[1]).await {
            sleep(POLL_INTERVAL).await;
        }
    })
    .await;
    assert_eq!(fleet.runs().count("removed"), 0);
    monitor.assert_never_lower().await;
}

/// A change doesn't interrupt a running stream.
async fn removed_workspace_keeps_its_stream() {
    let fleet = Fleet::start(Spec::default()).await;
    remove_workspace_quotas(&fleet);
    let request = Request::stream("m", REMOVED_KEY, "model-a", 1_500);
    let mut session = fleet.caller().begin(request, 0);
    assert!(session.read_until_tokens(3).await);
    let file = inventory_without(&fleet, REMOVED_WORKSPACE);
    let (status, text) = fleet.ctl(&["inventory", "apply", &file, "--wait", "5"]);
    assert_eq!(status, DONE, "{text}");
    assert!(is_removed_at(&fleet, &fleet.entries[0]).await);
    let got = session.finish().await;
    assert!(got.is_complete(), "{got:?}");
    fleet.assert_guarantees(&[got]);
}

/// A process restarted during an outage gets the configuration from peers and serves.
async fn restarted_in_outage(entry: bool) {
    let mut fleet = Fleet::start(Spec::default()).await;
    let version = highest_version(&fleet).await;
    let monitor = VersionMonitor::start(&fleet);
    fleet.platform_faults(json!({"outage": true})).await;
    if entry {
        fleet.entries[0].restart();
    } else {
        fleet.agents[0].restart();
    }
    within(
        ACTIVATION_TIMEOUT,
        "it in force",
        await_version(&fleet, version),
    )
    .await;
    fleet.await_ready().await;
    let got = fleet
        .call(Request::stream("m", DOSSIERS, "model-a", 30), 0)
        .await;
    assert!(got.is_complete(), "{got:?}");
    fleet.assert_guarantees(&[got]);
    monitor.assert_never_lower().await;
}

/// Applies a change, then restores the platform to its state before; returns the version after the
/// change.
async fn restore(fleet: &Fleet) -> u64 {
    remove_workspace_quotas(fleet);
    let head = format!("{}/v1/objects/config?limit=100", fleet.platform.url());
    let list: Value = fleet
        .http
        .get(head)
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    let revision = list["revision"].as_u64().unwrap();
    let file = inventory_without(fleet, REMOVED_WORKSPACE);
    let (status, text) = fleet.ctl(&["inventory", "apply", &file, "--wait", "5"]);
    assert_eq!(status, DONE, "{text}");
    let version = highest_version(fleet).await;
    fleet
        .platform_faults(json!({"restore_to_revision": revision}))
        .await;
    version
}

/// Waits for enough platform reads that every process should have read the head again.
async fn await_reread(fleet: &Fleet) {
    let reads = 2 * u64::try_from(fleet.nodes().count()).unwrap();
    let wanted_reads = fleet.platform_reads().await + reads;
    until("all processes have read the head", || async {
        fleet.platform_reads().await >= wanted_reads
    })
    .await;
}

/// No process returns to the older version, including processes restarted afterwards.
async fn platform_restored() {
    let mut fleet = Fleet::start(Spec::default()).await;
    let monitor = VersionMonitor::start(&fleet);
    let version = restore(&fleet).await;
    fleet.entries[0].restart();
    fleet.agents[0].restart();
    await_reread(&fleet).await;
    within(
        ACTIVATION_TIMEOUT,
        "the higher version",
        await_version(&fleet, version),
    )
    .await;
    for entry in &fleet.entries {
        until("the key stays removed", || is_removed_at(&fleet, entry)).await;
    }
    assert_eq!(fleet.runs().count("removed"), 0);
    monitor.assert_never_lower().await;
}

/// The next change gets a version above the active one and becomes active.
async fn change_after_restore() {
    let fleet = Fleet::start(Spec::default()).await;
    let monitor = VersionMonitor::start(&fleet);
    let version = restore(&fleet).await;
    let rules = rules_with_wait(&fleet, 1_234);
    let (status, text) = fleet.ctl(&["rules", "apply", &rules]);
    assert_eq!(status, DONE, "{text}");
    within(
        ACTIVATION_TIMEOUT,
        "it in force",
        await_version(&fleet, version + 1),
    )
    .await;
    for entry in &fleet.entries {
        assert!(is_removed_at(&fleet, entry).await);
    }
    monitor.assert_never_lower().await;
}

/// One of several concurrent changes is accepted; the others get a conflict.
async fn operators_race() {
    let fleet = Arc::new(Fleet::start(Spec::default()).await);
    let version = highest_version(&fleet).await;
    let operators: Vec<_> = (0..4)
        .map(|n| {
            let fleet = fleet.clone();
            tokio::task::spawn_blocking(move || {
                let rules = rules_with_wait(&fleet, 1_500 + n);
                let expect = version.to_string();
                fleet.ctl(&["rules", "apply", &rules, "--expect", &expect])
            })
        })
        .collect();
    let mut done = 0;
    for operator in operators {
        let (status, text) = operator.await.unwrap();
        assert!(matches!(status, DONE | CONFLICT), "{status}: {text}");
        assert!(status == DONE || text.contains("1003"), "{text}");
        done += u32::from(status == DONE);
    }
    assert_eq!(done, 1);
    within(
        ACTIVATION_TIMEOUT,
        "it in force",
        await_version(&fleet, version + 1),
    )
    .await;
    assert_eq!(highest_version(&fleet).await, version + 1);
}

/// A change during an outage is refused with its code and has no effect.
async fn operator_in_outage() {
    let fleet = Fleet::start(Spec::default()).await;
    let version = highest_version(&fleet).await;
    fleet.platform_faults(json!({"outage": true})).await;
    let rules = rules_with_wait(&fleet, 1_600);
    let (status, text) = fleet.ctl(&["rules", "apply", &rules]);
    assert_eq!(status, NO_ANSWER, "{text}");
    assert!(text.contains("1004"), "{text}");
    fleet.platform_faults(json!({"outage": false})).await;
    let (status, text) = fleet.ctl(&["rules", "apply", &rules, "--wait", "5"]);
    assert_eq!(status, DONE, "{text}");
    assert_eq!(highest_version(&fleet).await, version + 1);
}

/// A change whose response is lost is reported as done only if it took effect.
async fn operator_answer_lost() {
    let fleet = Fleet::start(Spec::default()).await;
    let version = highest_version(&fleet).await;
    for writes in 1..4 {
        fleet
            .platform_faults(json!({"lose_write_answers": writes}))
            .await;
        let rules = rules_with_wait(&fleet, 1_700 + writes);
        let (status, text) = fleet.ctl(&["rules", "apply", &rules]);
        assert!(matches!(status, DONE | EFFECT_UNKNOWN), "{status}: {text}");
        fleet
            .platform_faults(json!({"lose_write_answers": 0}))
            .await;
        if status == DONE {
            within(
                ACTIVATION_TIMEOUT,
                "it in force",
                await_version(&fleet, version + writes),
            )
            .await;
        }
        let (status, text) = fleet.ctl(&["rules", "apply", &rules, "--wait", "5"]);
        assert_eq!(status, DONE, "{text}");
    }
}
