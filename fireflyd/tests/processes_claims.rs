//! Guarantees 3 and 4 on separate processes: "not run" is true, and
//! non-idempotent work runs at most once.

mod support;

use std::time::Duration;

use reqwest::Response;
use serde_json::{Value, json};
use standins::caller::{Caller, End, Request, RequestOutcome};
use support::{COUNTER, DOSSIERS, Fleet, GRADES, Spec, WAIT_TIMEOUT, until, within};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Delay of each call to a slow platform, in milliseconds.
const SLOW_MS: u64 = 900;
/// Slow-down of the engines at which the first step takes more than a second.
const SLOW_FIRST_STEP_FACTOR: u32 = 500;
/// Longest wait for an immediate refusal.
const PROMPT_TIMEOUT: Duration = Duration::from_secs(4);

crate::cases! {
    agents_frozen_before_the_offer => agents_frozen_before_offer();
    agent_frozen_between_offer_and_start => agent_frozen_before_start();
    entry_killed_between_offer_and_start => entry_killed_before_start();
    entry_frozen_between_offer_and_start => entry_frozen_before_start();
    caller_gone_between_offer_and_start => caller_gone_before_start();
    same_key_at_once_filing => same_key_at_once(filing);
    same_key_at_once_whole => same_key_at_once(grade);
    same_key_at_once_stream => same_key_at_once(streamed_grade);
    same_key_again_filing => same_key_again(filing);
    same_key_again_whole => same_key_again(grade);
    key_with_another_body => other_body();
    resent_after_entry_death_filing => resent_filing();
    resent_after_entry_death_stream => resent_stream();
    resent_after_agent_death => resent_after_agent_death();
    platform_out => platform_out(json!({"outage": true}), json!({"outage": false}));
    platform_hangs => platform_out(json!({"hang_ms": 8_000}), json!({"hang_ms": 0}));
    claim_answer_lost_once => claim_answer_lost(1);
    claim_answer_lost_twice => claim_answer_lost(2);
    rule_without_key => rule_without_key();
    filing_crashes_before_effect => filing_crashes("before", 0);
    filing_crashes_after_effect => filing_crashes("after", 1);
    grade_on_a_killed_engine => grade_on_killed_engine();
}

fn filing(mark: &str) -> Request {
    Request::call(mark, COUNTER, "records", "/file").with_idempotency_key(mark)
}

fn grade(mark: &str) -> Request {
    Request::non_streaming(mark, GRADES, "model-b", 60).with_idempotency_key(mark)
}

fn streamed_grade(mark: &str) -> Request {
    Request::stream(mark, GRADES, "model-b", 60).with_idempotency_key(mark)
}

fn with_plain() -> Spec {
    Spec {
        plain: true,
        ..Spec::default()
    }
}

fn start_call(caller: &Caller, request: Request, entry: usize) -> JoinHandle<RequestOutcome> {
    let caller = caller.clone();
    tokio::spawn(async move { caller.run(request, entry).await })
}

/// Sends a generation once, without retries.
async fn post(fleet: &Fleet, entry: usize, mark: &str, key: &str) -> Response {
    let url = format!("{}/v1/chat/completions", fleet.entries[entry].url());
    let body = json!({
        "model": "model-b",
        "messages": [{"role": "user", "content": format!("[[mark={mark}]][[len=9]]")}],
    });
    let req = fleet.http.post(url).bearer_auth(key).json(&body);
    req.send().await.unwrap()
}

async fn error_code(res: Response) -> u64 {
    let body: Value = res.json().await.unwrap();
    body["error"]["code"].as_u64().unwrap_or(0)
}

/// Waits until an agent holds a reservation and returns its index.
async fn await_reservation(fleet: &Fleet) -> usize {
    let mut at = None;
    until("a reservation", || async {
        for agent in &fleet.agents {
            if fleet.status(agent).await["expected_tokens"].as_u64() > Some(0) {
                return true;
            }
        }
        false
    })
    .await;
    for (i, agent) in fleet.agents.iter().enumerate() {
        if fleet.status(agent).await["expected_tokens"].as_u64() > Some(0) {
            at = Some(i);
        }
    }
    at.expect("the reservation outlasts two status queries")
}

/// Frozen agents read offers late and must not run the refused requests.
async fn agents_frozen_before_offer() {
    let mut fleet = Fleet::start(Spec::default()).await;
    for agent in &mut fleet.agents {
        agent.process.freeze();
    }
    let res = within(
        PROMPT_TIMEOUT,
        "the refusal",
        post(&fleet, 0, "m", DOSSIERS),
    )
    .await;
    assert!(res.headers().contains_key("retry-after"));
    let code = error_code(res).await;
    assert_eq!(code / 1_000, 2, "{code}");
    for agent in &mut fleet.agents {
        agent.process.resume();
    }
    fleet.await_ready().await;
    let next = fleet
        .call(Request::non_streaming("next", DOSSIERS, "model-b", 9), 0)
        .await;
    assert!(next.is_complete(), "{next:?}");
    fleet.assert_guarantees(&[next]);
    assert_eq!(fleet.runs().count("m"), 0);
}

/// The agent resumes after its reservation has expired and then reads the start.
async fn agent_frozen_before_start() {
    let mut fleet = Fleet::start(Spec::default()).await;
    fleet.platform_faults(json!({"hang_ms": SLOW_MS})).await;
    let call = start_call(&fleet.caller(), grade("m"), 0);
    let agent = await_reservation(&fleet).await;
    fleet.agents[agent].process.freeze();
    sleep(Duration::from_secs(3)).await;
    fleet.platform_faults(json!({"hang_ms": 0})).await;
    fleet.agents[agent].process.resume();
    let got = call.await.unwrap();
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete(), "{got:?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

/// The claim takes effect, but its start is never sent: a retry may use the key.
async fn entry_killed_before_start() {
    let mut fleet = Fleet::start(Spec::default()).await;
    fleet.platform_faults(json!({"hang_ms": SLOW_MS})).await;
    let call = start_call(&fleet.caller(), grade("m"), 0);
    await_reservation(&fleet).await;
    fleet.entries[0].process.kill();
    fleet.platform_faults(json!({"hang_ms": 0})).await;
    let got = call.await.unwrap();
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete(), "{got:?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

/// An entry paused during its claim starts no second run.
async fn entry_frozen_before_start() {
    let mut fleet = Fleet::start(Spec::default()).await;
    fleet.platform_faults(json!({"hang_ms": SLOW_MS})).await;
    let caller = fleet.caller();
    let first = start_call(&caller, grade("m"), 0);
    await_reservation(&fleet).await;
    fleet.entries[0].process.freeze();
    sleep(Duration::from_secs(3)).await;
    fleet.platform_faults(json!({"hang_ms": 0})).await;
    let second = start_call(&caller, grade("m"), 1).await.unwrap();
    fleet.entries[0].process.resume();
    let first = first.await.unwrap();
    assert!(
        first.is_complete() && second.is_complete(),
        "{first:?} {second:?}"
    );
    fleet.assert_guarantees(&[first, second]);
    assert_eq!(fleet.runs().count("m"), 1);
}

/// A caller that disconnected during the claim may retry.
async fn caller_gone_before_start() {
    let fleet = Fleet::start(Spec::default()).await;
    fleet.platform_faults(json!({"hang_ms": SLOW_MS})).await;
    let caller = fleet.caller();
    let first = start_call(&caller, grade("m"), 0);
    await_reservation(&fleet).await;
    first.abort();
    fleet.platform_faults(json!({"hang_ms": 0})).await;
    let got = caller.run(grade("m"), 1).await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete(), "{got:?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

/// Concurrent requests with one key run once, and all callers get the answer.
async fn same_key_at_once(request: fn(&str) -> Request) {
    let fleet = Fleet::start(with_plain()).await;
    let caller = fleet.caller();
    for round in 0..5 {
        let mark = format!("m{round}");
        let mut calls = JoinSet::new();
        for entry in 0..4 {
            let (caller, request) = (caller.clone(), request(&mark));
            calls.spawn(async move { caller.run(request, entry).await });
        }
        let all = calls.join_all().await;
        fleet.assert_guarantees(&all);
        assert!(all.iter().all(RequestOutcome::is_complete), "{all:#?}");
        assert_eq!(fleet.runs().count(&mark), 1);
    }
}

/// A repeated key gets the first answer.
async fn same_key_again(request: fn(&str) -> Request) {
    let fleet = Fleet::start(with_plain()).await;
    let mut all = Vec::new();
    for entry in 0..4 {
        all.push(fleet.call(request("m"), entry).await);
    }
    fleet.assert_guarantees(&all);
    assert!(all.iter().all(RequestOutcome::is_complete), "{all:#?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

/// A key with another body is refused.
async fn other_body() {
    let fleet = Fleet::start(with_plain()).await;
    let first = fleet.call(filing("m"), 0).await;
    let mut other = filing("other");
    other.idempotency_key = Some("m".to_owned());
    let second = fleet.call(other, 1).await;
    assert!(first.is_complete(), "{first:?}");
    assert_eq!(second.code(), Some(2_008), "{second:?}");
    fleet.assert_guarantees(&[first, second]);
    assert_eq!(fleet.runs().count("other"), 0);
}

/// The entry dies while the call is in progress.
async fn resent_filing() {
    let mut fleet = Fleet::start(Spec {
        plain_flags: vec!["--delay-ms", "1000"],
        ..with_plain()
    })
    .await;
    let call = start_call(&fleet.caller(), filing("m"), 0);
    let records = fleet.agents.len() - 1;
    until("the call is in progress", || async {
        fleet.status(&fleet.agents[records]).await["streams"] == 1
    })
    .await;
    fleet.entries[0].process.kill();
    let got = call.await.unwrap();
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete(), "{got:?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

/// The entry dies after the generation has started, before its first token.
async fn resent_stream() {
    let mut fleet = Fleet::start(Spec::default()).await;
    fleet.slow_engines(SLOW_FIRST_STEP_FACTOR).await;
    let call = start_call(&fleet.caller(), streamed_grade("m"), 0);
    fleet.engine_of("m").await;
    fleet.entries[0].process.kill();
    fleet.slow_engines(1).await;
    let got = call.await.unwrap();
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete() && got.attempts.len() == 2, "{got:?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

/// The answer is lost with the agent: the key isn't run again, and the error code says so.
async fn resent_after_agent_death() {
    let mut fleet = Fleet::start(with_plain()).await;
    let first = fleet.call(filing("m"), 0).await;
    assert!(first.is_complete(), "{first:?}");
    let records = fleet.agents.len() - 1;
    fleet.agents[records].restart();
    fleet.await_ready().await;
    let second = fleet.call(filing("m"), 1).await;
    assert!(
        matches!(second.end(), End::Code(3_002 | 4_002)),
        "{second:?}"
    );
    fleet.assert_guarantees(&[first, second]);
    assert_eq!(fleet.runs().count("m"), 1);
}

/// Keyed requests are refused at once as not run; others are served.
async fn platform_out(fault: Value, recovered: Value) {
    let fleet = Fleet::start(with_plain()).await;
    fleet.platform_faults(fault).await;
    for entry in &fleet.entries {
        let url = format!("{}/services/records/file", entry.url());
        let req = fleet.http.post(url).bearer_auth(COUNTER);
        let req = req.header("idempotency-key", "m").body("[[mark=m]]");
        let res = within(PROMPT_TIMEOUT, "the refusal", req.send())
            .await
            .unwrap();
        assert_eq!(res.status(), 503);
        assert!(res.headers().contains_key("retry-after"));
        assert_eq!(error_code(res).await, 2_015);
    }
    assert_eq!(fleet.runs().count("m"), 0);
    let open = fleet
        .call(Request::stream("open", DOSSIERS, "model-a", 30), 0)
        .await;
    assert!(open.is_complete(), "{open:?}");
    fleet.platform_faults(recovered).await;
    let got = fleet.call(filing("m"), 0).await;
    assert!(got.is_complete(), "{got:?}");
    fleet.assert_guarantees(&[open, got]);
}

/// The claim is written, but the platform's response is lost.
async fn claim_answer_lost(writes: u64) {
    let fleet = Fleet::start(with_plain()).await;
    fleet
        .platform_faults(json!({"lose_write_answers": writes}))
        .await;
    let caller = fleet.caller();
    let calls = [
        start_call(&caller, filing("m"), 0),
        start_call(&caller, filing("m"), 1),
    ];
    let mut all = Vec::new();
    for call in calls {
        all.push(call.await.unwrap());
    }
    fleet.assert_guarantees(&all);
    assert!(all.iter().all(RequestOutcome::is_complete), "{all:#?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

/// A request that a rule makes non-repeatable isn't run without a key.
async fn rule_without_key() {
    let fleet = Fleet::start(Spec::default()).await;
    let res = post(&fleet, 0, "m", GRADES).await;
    assert_eq!(res.status(), 400);
    assert_eq!(error_code(res).await, 2_007);
    assert_eq!(fleet.runs().count("m"), 0);
}

/// The service dies during the call: the call isn't run again, with or without a key.
async fn filing_crashes(point: &'static str, runs: usize) {
    let mut fleet = Fleet::start(Spec {
        plain_flags: vec!["--crash-on", "mark=m", "--crash-point", point],
        ..with_plain()
    })
    .await;
    let records = fleet.agents.len() - 1;
    let mut all = Vec::new();
    for (entry, request) in [
        Request::call("m0", COUNTER, "records", "/file"),
        filing("m1"),
        filing("m1"),
    ]
    .into_iter()
    .enumerate()
    {
        let got = fleet.call(request, entry).await;
        assert!(matches!(got.end(), End::Code(3_001..=4_999)), "{got:?}");
        all.push(got);
        if !fleet.plain.as_mut().unwrap().process.is_alive() {
            fleet.plain.as_mut().unwrap().restart().await;
        }
        until("the service is ready again", || async {
            fleet.is_ready(&fleet.agents[records]).await
        })
        .await;
    }
    fleet.assert_guarantees(&all);
    assert_eq!(
        (fleet.runs().count("m0"), fleet.runs().count("m1")),
        (runs, runs)
    );
}

/// A keyed generation isn't restarted, although nothing of it was delivered.
async fn grade_on_killed_engine() {
    let mut fleet = Fleet::start(Spec::default()).await;
    fleet.slow_engines(SLOW_FIRST_STEP_FACTOR).await;
    let caller = fleet.caller();
    let call = start_call(&caller, grade("m"), 0);
    let engine = fleet.engine_of("m").await;
    fleet.engines[engine].process.kill();
    let first = within(WAIT_TIMEOUT, "the end", call).await.unwrap();
    let second = caller.run(grade("m"), 1).await;
    assert_eq!(first.code(), Some(3_001), "{first:?}");
    assert!(second.code().is_some(), "{second:?}");
    fleet.assert_guarantees(&[first, second]);
    assert_eq!(fleet.runs().count("m"), 1);
}
