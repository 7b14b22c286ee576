//! Guarantees 5 and 6 on separate processes: a leaving process gets no new
//! work, and a planned stop interrupts no request.

mod support;

use std::time::Duration;

use reqwest::Response;
use serde_json::{Value, json};
use standins::caller::{Caller, Request, RequestOutcome, Session};
use support::{COUNTER, DOSSIERS, Fleet, Node, Spec, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};

/// Length of a stream that lasts until the end of a test's other steps.
const LONG_STREAM_TOKENS: u64 = 1_200;
/// Number of short requests sent to see where new work is placed.
const PROBE_COUNT: usize = 12;
/// Time within which all new work must avoid an upstream whose agent has died.
const REROUTE_TIMEOUT: Duration = Duration::from_secs(3);

crate::cases! {
    agent_told_to_leave_gets_no_new_work => agent_leaves();
    agent_told_to_leave_while_an_entry_is_frozen => agent_leaves_stale_entry();
    agent_killed_gets_no_new_work => agent_killed();
    engine_killed_gets_no_new_work => engine_killed();
    agent_stop_cuts_no_stream => agent_stops(1);
    agent_stopped_twice_cuts_no_stream => agent_stops(2);
    agent_stop_keeps_the_end_for_its_caller => agent_stops_while_caller_disconnected();
    only_agent_stop_says_where_to_go => only_agent_stops();
    entry_stop_cuts_no_stream => entry_stops(1);
    entry_stopped_twice_cuts_no_stream => entry_stops(2);
    entry_stop_keeps_queued_calls => entry_stops_with_queue();
    entry_stop_waits_for_a_slow_reader => entry_stops_with_slow_reader();
    entry_stop_waits_for_a_slow_reader_of_a_whole => entry_stops_with_slow_response_reader();
    entry_stop_outlasts_a_reader_of_what_the_kernel_holds => entry_stops_with_sent_response();
    idle_entry_refuses_before_it_leaves => idle_entry_stops();
    entry_and_agent_stop_together => both_stop();
}

fn stream(mark: &str, tokens: u64) -> Request {
    Request::stream(mark, DOSSIERS, "model-a", tokens)
}

/// Starts long streams through both entries and waits until each has tokens.
async fn start_long_streams(caller: &Caller, count: usize) -> Vec<Session> {
    let mut all = Vec::new();
    for n in 0..count {
        let mut session = caller.begin(stream(&format!("long{n}"), LONG_STREAM_TOKENS), n);
        assert!(session.read_until_tokens(3).await);
        all.push(session);
    }
    all
}

async fn finish_all(sessions: Vec<Session>) -> Vec<RequestOutcome> {
    let mut calls = JoinSet::new();
    for session in sessions {
        calls.spawn(session.finish());
    }
    calls.join_all().await
}

/// Sends short requests through all entries concurrently.
async fn probe(caller: &Caller, name: &str) -> Vec<RequestOutcome> {
    let mut calls = JoinSet::new();
    for n in 0..PROBE_COUNT {
        let caller = caller.clone();
        let request = stream(&format!("{name}{n}"), 5);
        calls.spawn(async move { caller.run(request, n).await });
    }
    calls.join_all().await
}

/// Counts the generations of these requests that started on an engine.
fn count_started_on(fleet: &Fleet, all: &[RequestOutcome], engine: usize) -> usize {
    let runs = fleet.runs();
    let marks = all.iter().flat_map(|g| &g.attempts).map(|a| &a.mark);
    let on = |mark: &&String| runs.log_indexes(mark).contains(&engine);
    marks.filter(on).count()
}

fn assert_complete(all: &[RequestOutcome]) {
    assert!(
        all.iter().all(|g| g.is_complete() && g.attempts.len() == 1),
        "{all:#?}"
    );
}

async fn post(fleet: &Fleet, entry: &Node, mark: &str) -> Response {
    let url = format!("{}/v1/chat/completions", entry.url());
    let body = json!({
        "model": "model-a",
        "messages": [{"role": "user", "content": format!("[[mark={mark}]][[len=9]]")}],
    });
    let req = fleet.http.post(url).bearer_auth(COUNTER).json(&body);
    req.send().await.unwrap()
}

/// Fails unless `entry` refuses a request as stopping, with `retry-after`.
async fn assert_refuses(fleet: &Fleet, entry: &Node) {
    let res = post(fleet, entry, "late").await;
    assert_eq!(res.status(), 503);
    assert!(res.headers().contains_key("retry-after"));
    let body: Value = res.json().await.unwrap();
    assert_eq!(body["error"]["code"], 2_013);
    assert!(!fleet.is_ready(entry).await);
    assert_eq!(fleet.runs().count("late"), 0);
}

async fn await_leaving(fleet: &Fleet, node: &Node) {
    until("it is leaving", || async {
        fleet.status(node).await["leaving"] == true
    })
    .await;
}

/// A leaving agent gets no new work from its leave notice on, even if the VM list is out of date.
async fn agent_leaves() {
    let mut fleet = Fleet::start(Spec::default()).await;
    fleet.platform_faults(json!({"vm_lag_ms": 60_000})).await;
    let caller = fleet.caller();
    let mut long = caller.begin(stream("long", LONG_STREAM_TOKENS), 0);
    assert!(long.read_until_tokens(3).await);
    let engine = fleet.engine_of("long").await;
    fleet.agents[engine].process.terminate();
    await_leaving(&fleet, &fleet.agents[engine]).await;
    let probes = probe(&caller, "probe").await;
    assert_complete(&probes);
    assert_eq!(count_started_on(&fleet, &probes, engine), 0);
    let long = long.finish().await;
    assert!(long.is_complete(), "{long:?}");
    fleet.assert_guarantees(&probes);
    fleet.assert_guarantees(&[long]);
    assert!(fleet.agents[engine].process.ended().await.success());
}

/// An entry frozen meanwhile still considers the agent alive and sends it an offer.
async fn agent_leaves_stale_entry() {
    let mut fleet = Fleet::start(Spec::default()).await;
    let caller = fleet.caller();
    let mut long = caller.begin(stream("long", LONG_STREAM_TOKENS), 0);
    assert!(long.read_until_tokens(3).await);
    let engine = fleet.engine_of("long").await;
    fleet.entries[1].process.freeze();
    fleet.agents[engine].process.terminate();
    await_leaving(&fleet, &fleet.agents[engine]).await;
    fleet.entries[1].process.resume();
    let probes = probe(&caller, "probe").await;
    assert_complete(&probes);
    assert_eq!(count_started_on(&fleet, &probes, engine), 0);
    let long = long.finish().await;
    assert!(long.is_complete(), "{long:?}");
    fleet.assert_guarantees(&probes);
    fleet.assert_guarantees(&[long]);
}

/// No new work reaches the upstream of a killed agent, and requests aren't delayed for long.
async fn agent_killed() {
    let mut fleet = Fleet::start(Spec::default()).await;
    fleet.agents[0].process.kill();
    let start = Instant::now();
    let first = probe(&fleet.caller(), "first").await;
    assert!(start.elapsed() < REROUTE_TIMEOUT, "{:?}", start.elapsed());
    let second = probe(&fleet.caller(), "second").await;
    assert_complete(&first);
    assert_complete(&second);
    assert_eq!(
        count_started_on(&fleet, &first, 0) + count_started_on(&fleet, &second, 0),
        0
    );
    fleet.assert_guarantees(&first);
    fleet.assert_guarantees(&second);
}

/// The agent of a killed engine is alive and refuses its work.
async fn engine_killed() {
    let mut fleet = Fleet::start(Spec::default()).await;
    fleet.engines[0].process.kill();
    let first = probe(&fleet.caller(), "first").await;
    assert_complete(&first);
    fleet.assert_guarantees(&first);
}

/// Streams run to their end before the stopping agent exits.
async fn agent_stops(times: usize) {
    let mut fleet = Fleet::start(Spec {
        engines: 1,
        ..Spec::default()
    })
    .await;
    let long = start_long_streams(&fleet.caller(), 4).await;
    for _ in 0..times {
        fleet.agents[0].process.terminate();
        await_leaving(&fleet, &fleet.agents[0]).await;
    }
    let all = finish_all(long).await;
    assert_complete(&all);
    fleet.assert_guarantees(&all);
    assert!(fleet.agents[0].process.ended().await.success());
}

/// The generation ends while its caller is disconnected; the caller then gets the rest.
async fn agent_stops_while_caller_disconnected() {
    let mut fleet = Fleet::start(Spec {
        engines: 1,
        ..Spec::default()
    })
    .await;
    let mut session = fleet.caller().begin(stream("m", 300), 0);
    assert!(session.read_until_tokens(20).await);
    session.disconnect();
    fleet.agents[0].process.terminate();
    until("the generation ends", || {
        let log = std::fs::read_to_string(&fleet.engines[0].run_log).unwrap();
        std::future::ready(log.contains("\"finished\""))
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    let got = session.finish().await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete(), "{got:?}");
    assert!(fleet.agents[0].process.ended().await.success());
}

/// Without another agent, requests are refused with `retry-after`.
async fn only_agent_stops() {
    let fleet = Fleet::start(Spec {
        engines: 1,
        ..Spec::default()
    })
    .await;
    let long = start_long_streams(&fleet.caller(), 2).await;
    fleet.agents[0].process.terminate();
    await_leaving(&fleet, &fleet.agents[0]).await;
    let res = post(&fleet, &fleet.entries[0], "late").await;
    assert_eq!(res.status(), 503);
    assert!(res.headers().contains_key("retry-after"));
    assert_eq!(fleet.runs().count("late"), 0);
    let all = finish_all(long).await;
    assert_complete(&all);
    fleet.assert_guarantees(&all);
}

/// Streams and complete responses run to their end; new work is refused.
async fn entry_stops(times: usize) {
    let mut fleet = Fleet::start(Spec::default()).await;
    let caller = fleet.caller();
    let mut long = start_long_streams(&caller, 4).await;
    let whole = Request::non_streaming("whole", DOSSIERS, "model-a", LONG_STREAM_TOKENS);
    let whole = begin(&caller, whole, 0);
    fleet.engine_of("whole").await;
    for _ in 0..times {
        fleet.entries[0].process.terminate();
        await_leaving(&fleet, &fleet.entries[0]).await;
    }
    assert_refuses(&fleet, &fleet.entries[0]).await;
    for session in &mut long {
        assert!(session.read_until_tokens(50).await);
    }
    let mut all = finish_all(long).await;
    all.push(whole.await.unwrap());
    assert_complete(&all);
    assert!(all.iter().all(|g| g.last().reconnects == 0), "{all:#?}");
    fleet.assert_guarantees(&all);
    assert!(fleet.entries[0].process.ended().await.success());
}

fn begin(caller: &Caller, request: Request, entry: usize) -> JoinHandle<RequestOutcome> {
    let caller = caller.clone();
    tokio::spawn(async move { caller.run(request, entry).await })
}

/// A call queued at an agent counts as in progress and completes.
async fn entry_stops_with_queue() {
    let mut fleet = Fleet::start(Spec {
        engines: 1,
        entries: 1,
        engine_flags: vec!["--time-scale", "4", "--max-batch", "1"],
        ..Spec::default()
    })
    .await;
    let caller = fleet.caller();
    let calls: Vec<_> = (0..4)
        .map(|n| begin(&caller, stream(&format!("m{n}"), 300), 0))
        .collect();
    until("all calls are known", || async {
        fleet.status(&fleet.entries[0]).await["streams"] == 4
    })
    .await;
    fleet.entries[0].process.terminate();
    let mut all = Vec::new();
    for call in calls {
        all.push(call.await.unwrap());
    }
    assert_complete(&all);
    fleet.assert_guarantees(&all);
    assert!(fleet.entries[0].process.ended().await.success());
}

/// The generation ends long before its slow caller has read the stream.
async fn entry_stops_with_slow_reader() {
    let mut fleet = Fleet::start(Spec {
        engine_flags: vec!["--time-scale", "200"],
        ..Spec::default()
    })
    .await;
    let mut session = fleet.caller().begin(stream("m", 8_000), 0);
    assert!(session.read_until_tokens(3).await);
    fleet.entries[0].process.terminate();
    sleep(Duration::from_secs(3)).await;
    let got = session.finish().await;
    assert!(
        got.is_complete(),
        "{:?} after {}",
        got.end(),
        got.last().tokens
    );
    assert_eq!(got.last().reconnects, 0);
    fleet.assert_guarantees(&[got]);
    assert!(fleet.entries[0].process.ended().await.success());
}

/// Opens a connection with a small receive buffer, and asks for an echo of `body_bytes` control characters, each of
/// which is six bytes of the response; returns the connection and the response's first bytes.
async fn begin_echo(fleet: &Fleet, body_bytes: usize) -> (TcpStream, Vec<u8>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let entry = fleet.entries[0].callers.unwrap();
    let mut caller = socket.connect(entry).await.unwrap();
    let head = format!(
        "POST /services/records/file HTTP/1.1\r\nhost: entry\r\n\
         authorization: Bearer {COUNTER}\r\ncontent-length: {body_bytes}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(&vec![1; body_bytes]).await.unwrap();
    let mut answer = vec![0; 64];
    caller.read_exact(&mut answer).await.unwrap();
    (caller, answer)
}

/// The entry holds a complete response that its caller reads slowly through a
/// small receive buffer.
async fn entry_stops_with_slow_response_reader() {
    // The response exceeds the system's socket buffers.
    const BODY_BYTES: usize = 700_000;
    const RESPONSE_BYTES: usize = 6 * BODY_BYTES;
    let mut fleet = Fleet::start(Spec {
        plain: true,
        ..Spec::default()
    })
    .await;
    let (mut caller, mut answer) = begin_echo(&fleet, BODY_BYTES).await;
    fleet.entries[0].process.terminate();
    sleep(Duration::from_secs(2)).await;
    caller.read_to_end(&mut answer).await.unwrap();
    assert!(
        answer.len() >= RESPONSE_BYTES,
        "{} bytes came",
        answer.len()
    );
    assert!(fleet.entries[0].process.ended().await.success());
}

/// The system's socket buffers hold the whole response, which its caller reads after a while.
async fn entry_stops_with_sent_response() {
    const BODY_BYTES: usize = 100_000;
    let mut fleet = Fleet::start(Spec {
        plain: true,
        ..Spec::default()
    })
    .await;
    let (mut caller, mut answer) = begin_echo(&fleet, BODY_BYTES).await;
    fleet.entries[0].process.terminate();
    sleep(Duration::from_secs(1)).await;
    caller.read_to_end(&mut answer).await.unwrap();
    assert!(
        answer.len() >= 6 * BODY_BYTES,
        "{} bytes came",
        answer.len()
    );
    assert!(fleet.entries[0].process.is_alive(), "it left too soon");
    drop(caller);
    assert!(fleet.entries[0].process.ended().await.success());
}

/// An idle entry refuses work for the grace period, so that the load balancer notices.
async fn idle_entry_stops() {
    let mut fleet = Fleet::start(Spec {
        daemon_flags: vec!["--drain-grace-ms", "2000"],
        ..Spec::default()
    })
    .await;
    let start = Instant::now();
    fleet.entries[0].process.terminate();
    await_leaving(&fleet, &fleet.entries[0]).await;
    assert_refuses(&fleet, &fleet.entries[0]).await;
    assert!(fleet.entries[0].process.ended().await.success());
    assert!(start.elapsed() >= Duration::from_secs(2));
}

/// Agent and entries of running streams are stopped at the same time.
async fn both_stop() {
    let mut fleet = Fleet::start(Spec {
        engines: 1,
        ..Spec::default()
    })
    .await;
    let long = start_long_streams(&fleet.caller(), 4).await;
    fleet.agents[0].process.terminate();
    for entry in &fleet.entries {
        entry.process.terminate();
    }
    let all = finish_all(long).await;
    assert_complete(&all);
    fleet.assert_guarantees(&all);
    for node in fleet.entries.iter_mut().chain(&mut fleet.agents) {
        assert!(node.process.ended().await.success());
    }
}
