//! Point 7 on separate processes: an accepted configuration is in force
//! everywhere within seconds and never lower again.

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

/// Bound of the promise.
const IN_FORCE: Duration = Duration::from_secs(5);
/// Time between two looks at a version.
const LOOK_EVERY: Duration = Duration::from_millis(30);
/// Key of the workspace that the tests remove.
const REMOVED: &str = "demo-key-3";
const REMOVED_WORKSPACE: &str = "harbour-archive";
/// Exit statuses of `fireflyctl`.
const DONE: i32 = 0;
const NO_ANSWER: i32 = 69;
const EFFECT_UNKNOWN: i32 = 74;
const CONFLICT: i32 = 75;

crate::cases! {
    in_force_within_5_s => in_force(json!({}));
    in_force_within_5_s_with_stale_reads => in_force(json!({"stale_read_ms": 1_500}));
    in_force_within_5_s_with_late_watches => in_force(json!({"watch_lag_ms": 2_000}));
    many_changes_never_lower => many_changes();
    removed_key_runs_nothing_at_a_thawed_entry => thawed_entry();
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

/// Sample inventory without one workspace.
fn inventory_without(fleet: &Fleet, workspace: &str) -> String {
    let path = format!("{}/../examples/inventory.json", env!("CARGO_MANIFEST_DIR"));
    let mut inventory: Value = serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap();
    let all = inventory["workspaces"].as_array_mut().unwrap();
    all.retain(|w| w["name"] != workspace);
    write(fleet, "inventory", &inventory)
}

/// Sample rules with another wait of interactive requests.
fn rules_with_wait(fleet: &Fleet, ms: u64) -> String {
    let path = format!("{}/../examples/rules.json", env!("CARGO_MANIFEST_DIR"));
    let mut rules: Value = serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap();
    let quotas = rules["quotas"].as_array_mut().unwrap();
    quotas.retain(|q| q["workspace"] != REMOVED_WORKSPACE);
    rules["interactive_wait_ms"] = ms.into();
    write(fleet, &format!("rules-{ms}"), &rules)
}

fn write(fleet: &Fleet, name: &str, value: &Value) -> String {
    let path = fleet.path(&format!("{name}.json"));
    fs::write(&path, value.to_string()).unwrap();
    path
}

/// Applies rules that do not name the workspace to be removed.
fn free_workspace(fleet: &Fleet) {
    let rules = rules_with_wait(fleet, 1_900);
    let (status, text) = fleet.ctl(&["rules", "apply", &rules, "--wait", "5"]);
    assert_eq!(status, DONE, "{text}");
}

async fn highest(fleet: &Fleet) -> u64 {
    let mut highest = 0;
    for node in fleet.nodes() {
        highest = highest.max(fleet.version(node).await);
    }
    highest
}

/// Waits until each process that runs has at least that version in force.
async fn await_version(fleet: &Fleet, version: u64) {
    for node in fleet.nodes() {
        until(&format!("version {version} at {}", node.name), || async {
            fleet.version(node).await >= version
        })
        .await;
    }
}

/// Sends a request with the removed key; true when it is refused for that.
async fn is_removed_at(fleet: &Fleet, entry: &Node) -> bool {
    let url = format!("{}/v1/chat/completions", entry.url());
    let body = json!({
        "model": "model-a",
        "messages": [{"role": "user", "content": "[[mark=removed]][[len=3]]"}],
    });
    let req = fleet.http.post(url).bearer_auth(REMOVED).json(&body);
    req.send().await.is_ok_and(|res| res.status() == 401)
}

/// Watches that a ready process never shows a lower version than before.
struct Watch {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<String>>,
}

impl Watch {
    fn begin(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let nodes = fleet.nodes().map(|n| (n.name.clone(), n.admin)).collect();
        let task = tokio::spawn(watch(fleet.http.clone(), nodes, stop.clone()));
        Self { stop, task }
    }

    async fn assert_never_lower(self) {
        self.stop.store(true, Ordering::Relaxed);
        let faults = self.task.await.unwrap();
        assert!(faults.is_empty(), "{faults:#?}");
    }
}

async fn watch(
    http: reqwest::Client,
    nodes: Vec<(String, std::net::SocketAddr)>,
    stop: Arc<AtomicBool>,
) -> Vec<String> {
    let mut seen = vec![0; nodes.len()];
    let mut faults = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        for ((name, admin), seen) in nodes.iter().zip(&mut seen) {
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
            if version < *seen {
                faults.push(format!("{name}: {version} after {seen}"));
            }
            *seen = version.max(*seen);
        }
        sleep(LOOK_EVERY).await;
    }
    faults
}

/// Accepted, then in force on each process in time, and seen by callers.
async fn in_force(fault: Value) {
    let fleet = Fleet::start(Spec::default()).await;
    free_workspace(&fleet);
    let watch = Watch::begin(&fleet);
    fleet.platform_faults(fault).await;
    let file = inventory_without(&fleet, REMOVED_WORKSPACE);
    let before = highest(&fleet).await;
    until("the change is accepted", || {
        // An operator who reads what is stale is told of a conflict.
        let (status, text) = fleet.ctl(&["inventory", "apply", &file]);
        assert!(matches!(status, DONE | CONFLICT), "{status}: {text}");
        std::future::ready(status == DONE)
    })
    .await;
    within(IN_FORCE, "it in force", await_version(&fleet, before + 1)).await;
    for entry in &fleet.entries {
        assert!(is_removed_at(&fleet, entry).await);
    }
    assert_eq!(fleet.runs().count("removed"), 0);
    watch.assert_never_lower().await;
}

/// Changes on the heels of each other.
async fn many_changes() {
    let fleet = Fleet::start(Spec::default()).await;
    let watch = Watch::begin(&fleet);
    let mut version = highest(&fleet).await;
    for ms in 0..8 {
        let rules = rules_with_wait(&fleet, 1_000 + ms);
        let (status, text) = fleet.ctl(&["rules", "apply", &rules]);
        assert_eq!(status, DONE, "{text}");
        version += 1;
    }
    within(
        IN_FORCE,
        "the last in force",
        await_version(&fleet, version),
    )
    .await;
    watch.assert_never_lower().await;
}

/// An entry that slept through a change runs nothing by the old one.
async fn thawed_entry() {
    let mut fleet = Fleet::start(Spec::default()).await;
    free_workspace(&fleet);
    fleet.entries[1].process.freeze();
    let file = inventory_without(&fleet, REMOVED_WORKSPACE);
    let before = highest(&fleet).await;
    let (status, text) = fleet.ctl(&["inventory", "apply", &file, "--timeout-ms", "300"]);
    assert_eq!(status, DONE, "{text}");
    for node in fleet.nodes().filter(|n| n.name != "entry-2") {
        until("the others have it", || async {
            fleet.version(node).await > before
        })
        .await;
    }
    // The platform tells the sleeper nothing: its peers must.
    fleet.platform_faults(json!({"outage": true})).await;
    let early: Vec<_> = (0..8)
        .map(|_| {
            let url = format!("{}/v1/chat/completions", fleet.entries[1].url());
            let body = json!({
                "model": "model-a",
                "messages": [{"role": "user", "content": "[[mark=removed]][[len=3]]"}],
            });
            let req = fleet.http.post(url).bearer_auth(REMOVED).json(&body);
            tokio::spawn(req.send())
        })
        .collect();
    sleep(Duration::from_millis(200)).await;
    fleet.entries[1].process.thaw();
    for call in early {
        let res = call.await.unwrap().unwrap();
        assert!(!res.status().is_success(), "{}", res.status());
    }
    within(IN_FORCE, "it in force", async {
        while !is_removed_at(&fleet, &fleet.entries[1]).await {
            sleep(LOOK_EVERY).await;
        }
    })
    .await;
    assert_eq!(fleet.runs().count("removed"), 0);
}

/// An entry that starts on a stale read runs nothing by it.
async fn restarted_entry_stale_read() {
    let mut fleet = Fleet::start(Spec::default()).await;
    free_workspace(&fleet);
    let watch = Watch::begin(&fleet);
    let file = inventory_without(&fleet, REMOVED_WORKSPACE);
    let (status, text) = fleet.ctl(&["inventory", "apply", &file, "--wait", "5"]);
    assert_eq!(status, DONE, "{text}");
    fleet
        .platform_faults(json!({"stale_read_ms": 20_000}))
        .await;
    fleet.entries[1].restart();
    within(IN_FORCE, "it in force", async {
        while !is_removed_at(&fleet, &fleet.entries[1]).await {
            sleep(LOOK_EVERY).await;
        }
    })
    .await;
    assert_eq!(fleet.runs().count("removed"), 0);
    watch.assert_never_lower().await;
}

/// What runs is not cut by a change.
async fn removed_workspace_keeps_its_stream() {
    let fleet = Fleet::start(Spec::default()).await;
    free_workspace(&fleet);
    let request = Request::stream("m", REMOVED, "model-a", 1_500);
    let mut session = fleet.caller().begin(request, 0);
    assert!(session.read_until_tokens(3).await);
    let file = inventory_without(&fleet, REMOVED_WORKSPACE);
    let (status, text) = fleet.ctl(&["inventory", "apply", &file, "--wait", "5"]);
    assert_eq!(status, DONE, "{text}");
    assert!(is_removed_at(&fleet, &fleet.entries[0]).await);
    let got = session.finish().await;
    assert!(got.is_complete(), "{got:?}");
    fleet.assert_kept(&[got]);
}

/// Peers carry the configuration on; the process serves.
async fn restarted_in_outage(entry: bool) {
    let mut fleet = Fleet::start(Spec::default()).await;
    let version = highest(&fleet).await;
    let watch = Watch::begin(&fleet);
    fleet.platform_faults(json!({"outage": true})).await;
    if entry {
        fleet.entries[0].restart();
    } else {
        fleet.agents[0].restart();
    }
    within(IN_FORCE, "it in force", await_version(&fleet, version)).await;
    fleet.await_ready().await;
    let got = fleet
        .call(Request::stream("m", DOSSIERS, "model-a", 30), 0)
        .await;
    assert!(got.is_complete(), "{got:?}");
    fleet.assert_kept(&[got]);
    watch.assert_never_lower().await;
}

/// Applies a change and restores the platform to what it held before.
async fn restore(fleet: &Fleet) -> u64 {
    free_workspace(fleet);
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
    let version = highest(fleet).await;
    fleet
        .platform_faults(json!({"restore_to_revision": revision}))
        .await;
    version
}

/// Waits until every process has read the platform's head again.
async fn await_look(fleet: &Fleet) {
    let looks = 2 * u64::try_from(fleet.nodes().count()).unwrap();
    let enough = fleet.platform_reads().await + looks;
    until("all have looked", || async {
        fleet.platform_reads().await >= enough
    })
    .await;
}

/// No process follows it back, nor one that starts then.
async fn platform_restored() {
    let mut fleet = Fleet::start(Spec::default()).await;
    let watch = Watch::begin(&fleet);
    let version = restore(&fleet).await;
    fleet.entries[0].restart();
    fleet.agents[0].restart();
    await_look(&fleet).await;
    within(
        IN_FORCE,
        "the higher version",
        await_version(&fleet, version),
    )
    .await;
    for entry in &fleet.entries {
        until("the key stays removed", || is_removed_at(&fleet, entry)).await;
    }
    assert_eq!(fleet.runs().count("removed"), 0);
    watch.assert_never_lower().await;
}

/// The next change goes above what is in force, and comes into force.
async fn change_after_restore() {
    let fleet = Fleet::start(Spec::default()).await;
    let watch = Watch::begin(&fleet);
    let version = restore(&fleet).await;
    let rules = rules_with_wait(&fleet, 1_234);
    let (status, text) = fleet.ctl(&["rules", "apply", &rules]);
    assert_eq!(status, DONE, "{text}");
    within(IN_FORCE, "it in force", await_version(&fleet, version + 1)).await;
    for entry in &fleet.entries {
        assert!(is_removed_at(&fleet, entry).await);
    }
    watch.assert_never_lower().await;
}

/// One is accepted, the others are told of the conflict.
async fn operators_race() {
    let fleet = Arc::new(Fleet::start(Spec::default()).await);
    let version = highest(&fleet).await;
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
    within(IN_FORCE, "it in force", await_version(&fleet, version + 1)).await;
    assert_eq!(highest(&fleet).await, version + 1);
}

/// Refused clearly, and nothing is changed.
async fn operator_in_outage() {
    let fleet = Fleet::start(Spec::default()).await;
    let version = highest(&fleet).await;
    fleet.platform_faults(json!({"outage": true})).await;
    let rules = rules_with_wait(&fleet, 1_600);
    let (status, text) = fleet.ctl(&["rules", "apply", &rules]);
    assert_eq!(status, NO_ANSWER, "{text}");
    assert!(text.contains("1004"), "{text}");
    fleet.platform_faults(json!({"outage": false})).await;
    let (status, text) = fleet.ctl(&["rules", "apply", &rules, "--wait", "5"]);
    assert_eq!(status, DONE, "{text}");
    assert_eq!(highest(&fleet).await, version + 1);
}

/// Said to be done only if it is.
async fn operator_answer_lost() {
    let fleet = Fleet::start(Spec::default()).await;
    let version = highest(&fleet).await;
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
                IN_FORCE,
                "it in force",
                await_version(&fleet, version + writes),
            )
            .await;
        }
        let (status, text) = fleet.ctl(&["rules", "apply", &rules, "--wait", "5"]);
        assert_eq!(status, DONE, "{text}");
    }
}
