//! Guarantees 1 and 2 on separate processes: a caller gets the tokens of one
//! generation, its own, each once and in order.

mod support;

use std::time::Duration;

use serde_json::json;
use standins::caller::{End, Request};
use support::{DOSSIERS, Fleet, LOGS, Spec, chat_as_http_1_0, linked_fleet, until};
use tokio::time::sleep;

/// Slow-down of the engines at which the first step takes more than a second.
const SLOW_FIRST_STEP_FACTOR: u32 = 500;

/// Tokens of an answer that lasts long enough to be cancelled.
const WHOLE_TOKENS: u64 = 800;

crate::cases! {
    entry_killed_after_1 => entry_killed(1);
    entry_killed_after_40 => entry_killed(40);
    engine_killed_before_first_token_of_stream => engine_killed_before_token(true);
    engine_killed_before_first_token_of_whole => engine_killed_before_token(false);
    engine_killed_during_whole => engine_killed_during_whole();
    engine_killed_after_1 => engine_killed_after_tokens(1);
    engine_killed_after_40 => engine_killed_after_tokens(40);
    engine_restarted_at_once => engine_restarted(40);
    upstream_link_cut_after_1 => upstream_link_cut(1);
    upstream_link_cut_after_40 => upstream_link_cut(40);
    engine_upgraded_behind_a_cut_link => engine_upgraded();
    all_entries_killed_beside_another_version => entries_killed(|_| {});
    all_entries_killed_while_engines_restart_at_another_version => entries_killed(|fleet| {
        for engine in &mut fleet.engines {
            engine.process.kill();
        }
    });
    all_entries_killed_while_an_engine_is_upgraded => entries_killed_at_upgrade();
    engine_cancels_a_stream_of_its_own => engine_cancels(true);
    engine_cancels_a_whole_of_its_own => engine_cancels(false);
    stream_of_an_old_caller_whose_engine_dies => old_caller_cut();
    agent_frozen_2_s => agent_frozen(Duration::from_secs(2));
    agent_frozen_5_s => agent_frozen(Duration::from_secs(5));
    agent_frozen_6_s => agent_frozen(Duration::from_secs(6));
    entry_frozen_4_s => entry_frozen(Duration::from_secs(4));
    agent_restarted_at_once => agent_restarted();
    agent_and_entry_killed => agent_and_entry_killed();
    caller_hangs_up_and_returns => caller_returns();
    stream_of_another_workspace => foreign_stream();
    stream_forgotten => forgotten_stream();
}

fn stream(mark: &str, tokens: u64) -> Request {
    Request::stream(mark, DOSSIERS, "model-a", tokens)
}

/// The caller reconnects to the other entry and misses no token.
async fn entry_killed(after: u64) {
    let mut fleet = Fleet::start(Spec::default()).await;
    let mut session = fleet.caller().begin(stream("m", 400), 0);
    assert!(session.read_until_tokens(after).await);
    fleet.entries[0].process.kill();
    let got = session.finish().await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete(), "{got:?}");
    assert_eq!((got.attempts.len(), got.last().reconnects), (1, 1));
    assert_eq!(fleet.runs().count("m"), 1);
}

/// Nothing was delivered: the generation restarts on another engine, unnoticed by the caller.
async fn engine_killed_before_token(streams: bool) {
    let mut fleet = Fleet::start(Spec::default()).await;
    fleet.slow_engines(SLOW_FIRST_STEP_FACTOR).await;
    let request = if streams {
        stream("m", 50)
    } else {
        Request::non_streaming("m", DOSSIERS, "model-a", 50)
    };
    let caller = fleet.caller();
    let call = tokio::spawn(async move { caller.run(request, 0).await });
    let engine = fleet.engine_of("m").await;
    fleet.engines[engine].process.kill();
    fleet.slow_engines(1).await;
    let got = call.await.unwrap();
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete() && got.attempts.len() == 1, "{got:?}");
    assert_eq!(fleet.runs().count("m"), 2);
}

/// An answer that isn't streamed is buffered, so its caller doesn't notice the restart.
async fn engine_killed_during_whole() {
    let mut fleet = Fleet::start(Spec::default()).await;
    let caller = fleet.caller();
    let request = Request::non_streaming("m", DOSSIERS, "model-a", 600);
    let call = tokio::spawn(async move { caller.run(request, 0).await });
    let engine = fleet.engine_of("m").await;
    sleep(Duration::from_millis(300)).await;
    fleet.engines[engine].process.kill();
    let got = call.await.unwrap();
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete() && got.attempts.len() == 1, "{got:?}");
    assert_eq!(fleet.runs().count("m"), 2);
}

/// Tokens were delivered: the stream fails at once with the count delivered.
async fn engine_killed_after_tokens(after: u64) {
    let slow = vec!["--time-scale", "1", "--slow-factor", "8"];
    let mut fleet = Fleet::start(Spec {
        engine_flags: slow,
        ..Spec::default()
    })
    .await;
    let mut session = fleet.caller().begin(stream("m", 4_000), 0);
    assert!(session.read_until_tokens(after).await);
    let engine = fleet.engine_of("m").await;
    fleet.engines[engine].process.kill();
    let got = session.finish().await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert_eq!(got.code(), Some(3_001), "{got:?}");
    assert_eq!(got.last().delivered, Some(got.last().tokens));
    assert!(got.last().tokens >= after);
    assert_eq!(fleet.runs().count("m"), 1);
}

/// An engine restarted before the failure is detected has lost its streams; it
/// runs new work.
async fn engine_restarted(after: u64) {
    let mut fleet = Fleet::start(Spec {
        engines: 1,
        ..Spec::default()
    })
    .await;
    let mut session = fleet.caller().begin(stream("m", 4_000), 0);
    assert!(session.read_until_tokens(after).await);
    fleet.engines[0].restart().await;
    let got = session.finish().await;
    assert_eq!(got.code(), Some(3_001), "{got:?}");
    let next = fleet.call(stream("next", 50), 1).await;
    assert!(next.is_complete(), "{next:?}");
    fleet.assert_guarantees(&[got, next]);
}

/// The engine continues without a connection; the agent reattaches.
async fn upstream_link_cut(after: u64) {
    let (fleet, link) = linked_fleet(Spec::default()).await;
    let mut session = fleet.caller().begin(stream("m", 400), 0);
    assert!(session.read_until_tokens(after).await);
    link.cut();
    let got = session.finish().await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete(), "{got:?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

/// Software of another version goes on with the engine's streams; the caller gets none of its tokens.
async fn engine_upgraded() {
    let (fleet, link) = linked_fleet(Spec::default()).await;
    let mut session = fleet.caller().begin(stream("m", 4_000), 0);
    assert!(session.read_until_tokens(40).await);
    fleet.upgrade_engine(0, "v2").await;
    link.cut();
    let got = session.finish().await;
    assert_eq!(got.code(), Some(3_001), "{got:?}");
    assert_eq!(got.last().delivered, Some(got.last().tokens));
}

/// A generation that its engine ends as cancelled, without an order from here, is not complete.
/// A whole answer starts afresh.
async fn engine_cancels(streams: bool) {
    let fleet = Fleet::start(Spec {
        engines: 1,
        ..Spec::default()
    })
    .await;
    let request = if streams {
        stream("m", 4_000)
    } else {
        Request::non_streaming("m", DOSSIERS, "model-a", WHOLE_TOKENS)
    };
    let mut session = fleet.caller().begin(request, 0);
    if streams {
        assert!(session.read_until_tokens(20).await);
    }
    let call = tokio::spawn(session.finish());
    let engine = fleet.engine_of("m").await;
    fleet.cancel_at_engine(engine).await;
    let got = call.await.unwrap();
    fleet.assert_guarantees(std::slice::from_ref(&got));
    let afresh = !streams && got.last().tokens == WHOLE_TOKENS;
    assert!(afresh || got.code() == Some(3_001), "{got:?}");
}

/// Its answer ends with the connection; the cut one has no end marker.
async fn old_caller_cut() {
    let mut fleet = Fleet::start(Spec {
        engines: 1,
        ..Spec::default()
    })
    .await;
    let body = |tokens: u32| {
        json!({
            "model": "model-a", "stream": true, "max_tokens": tokens + 1,
            "messages": [{"role": "user", "content": format!("[[mark=old]][[len={tokens}]]")}],
        })
        .to_string()
    };
    let whole = chat_as_http_1_0(&fleet, &body(9)).await;
    assert!(whole.ends_with("data: [DONE]\n\n"), "{whole}");
    let text = body(8_000);
    let (cut, ()) = tokio::join!(chat_as_http_1_0(&fleet, &text), async {
        until("the long one begins", || {
            std::future::ready(fleet.runs().count("old") == 2)
        })
        .await;
        sleep(Duration::from_millis(300)).await;
        let kill = std::process::Command::new("kill")
            .args(["-KILL", &fleet.engines[0].process.id().to_string()])
            .status();
        assert!(kill.unwrap().success());
    });
    assert!(!cut.contains("[DONE]"), "{cut}");
    assert!(
        cut.contains("event: error")
            || cut.starts_with("HTTP/1.0 502")
            || cut.starts_with("HTTP/1.1 502"),
        "{cut}"
    );
    fleet.engines[0].process.kill();
}

fn kill_entries(fleet: &mut Fleet) {
    for entry in &mut fleet.entries {
        entry.process.kill();
    }
}

async fn start_entries_again(fleet: &mut Fleet) {
    for entry in &mut fleet.entries {
        entry.start_again();
    }
    fleet.await_ready().await;
}

/// Engines of two versions serve when all entries die: each taken up stream is of one generation, whole or with an error.
async fn entries_killed(meanwhile: fn(&mut Fleet)) {
    let mut fleet = Fleet::start(Spec::default()).await;
    fleet.upgrade_engine(1, "v2").await;
    let mut sessions = Vec::new();
    for n in 0..6 {
        let mut session = fleet.caller().begin(stream(&format!("m{n}"), 3_000), n);
        assert!(session.read_until_tokens(20).await);
        sessions.push(session);
    }
    kill_entries(&mut fleet);
    meanwhile(&mut fleet);
    let mut survive = true;
    for engine in &mut fleet.engines {
        if !engine.process.is_alive() {
            survive = false;
            engine.restart().await;
        }
    }
    if !survive {
        fleet.upgrade_engine(0, "v2").await;
        fleet.upgrade_engine(1, "v1").await;
    }
    start_entries_again(&mut fleet).await;
    let mut all = Vec::new();
    for session in sessions {
        all.push(session.finish().await);
    }
    fleet.assert_guarantees(&all);
    assert!(
        all.iter()
            .all(|g| g.attempts.len() == 1 && g.is_complete() == survive),
        "{all:#?}"
    );
}

/// The engine goes on with its streams at another version, and its agent's connection breaks, while no entry lives.
async fn entries_killed_at_upgrade() {
    let (mut fleet, link) = linked_fleet(Spec::default()).await;
    let mut session = fleet.caller().begin(stream("m", 4_000), 0);
    assert!(session.read_until_tokens(40).await);
    kill_entries(&mut fleet);
    fleet.upgrade_engine(0, "v2").await;
    link.cut();
    start_entries_again(&mut fleet).await;
    let got = session.finish().await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert_eq!(got.code(), Some(3_001), "{got:?}");
}

/// The stream stalls with its agent and resumes without a gap.
async fn agent_frozen(duration: Duration) {
    let mut fleet = Fleet::start(Spec::default()).await;
    let mut session = fleet.caller().begin(stream("m", 1_500), 0);
    assert!(session.read_until_tokens(20).await);
    let engine = fleet.engine_of("m").await;
    fleet.agents[engine].process.freeze();
    sleep(duration).await;
    fleet.agents[engine].process.resume();
    let got = session.finish().await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete(), "{got:?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

/// The caller waits and misses no token.
async fn entry_frozen(duration: Duration) {
    let mut fleet = Fleet::start(Spec::default()).await;
    let mut session = fleet.caller().begin(stream("m", 1_500), 0);
    assert!(session.read_until_tokens(20).await);
    fleet.entries[0].process.freeze();
    sleep(duration).await;
    fleet.entries[0].process.resume();
    let got = session.finish().await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete(), "{got:?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

/// The new incarnation of an agent doesn't know the old one's streams.
async fn agent_restarted() {
    let mut fleet = Fleet::start(Spec {
        engines: 1,
        ..Spec::default()
    })
    .await;
    let mut session = fleet.caller().begin(stream("m", 4_000), 0);
    assert!(session.read_until_tokens(20).await);
    fleet.agents[0].restart();
    let got = session.finish().await;
    assert!(matches!(got.end(), End::Code(3_001 | 4_001)), "{got:?}");
    let next = fleet.call(stream("next", 50), 1).await;
    assert!(next.is_complete(), "{next:?}");
    fleet.assert_guarantees(&[got, next]);
}

/// Agent and entry die: the returning caller gets the correct error code.
async fn agent_and_entry_killed() {
    let mut fleet = Fleet::start(Spec::default()).await;
    let mut session = fleet.caller().begin(stream("m", 4_000), 0);
    assert!(session.read_until_tokens(20).await);
    let engine = fleet.engine_of("m").await;
    fleet.agents[engine].process.kill();
    fleet.entries[0].process.kill();
    let got = session.finish().await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(matches!(got.end(), End::Code(4_001 | 4_003)), "{got:?}");
}

/// The caller's connection breaks repeatedly.
async fn caller_returns() {
    let fleet = Fleet::start(Spec::default()).await;
    let mut session = fleet.caller().begin(stream("m", 600), 0);
    for stop in [1, 2, 50, 300, 599] {
        assert!(session.read_until_tokens(stop).await);
        session.disconnect();
        session.switch_entry(usize::from(stop % 2 == 0));
    }
    let got = session.finish().await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete(), "{got:?}");
    assert_eq!(got.last().reconnects, 5);
}

/// The key of another workspace gets nothing for a known event id.
async fn foreign_stream() {
    let fleet = Fleet::start(Spec::default()).await;
    let mut session = fleet.caller().begin(stream("m", 400), 0);
    assert!(session.read_until_tokens(5).await);
    let id = session.last_id().unwrap().to_owned();
    let body = json!({
        "model": "model-b",
        "messages": [{"role": "user", "content": "hello"}],
        "stream": true,
    });
    for entry in &fleet.entries {
        let url = format!("{}/v1/chat/completions", entry.url());
        let req = fleet.http.post(url).bearer_auth(LOGS).json(&body);
        let res = req.header("last-event-id", &id).send().await.unwrap();
        assert_eq!(res.status(), 404);
        let text = res.text().await.unwrap();
        assert!(text.contains("4003") && !text.contains(".m."), "{text}");
    }
    let got = session.finish().await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete(), "{got:?}");
}

/// An abandoned stream is dropped after the retention time; its returning caller gets an error.
async fn forgotten_stream() {
    let fleet = Fleet::start(Spec {
        daemon_flags: vec!["--retain-ms", "500"],
        ..Spec::default()
    })
    .await;
    let mut session = fleet.caller().begin(stream("m", 4_000), 0);
    assert!(session.read_until_tokens(20).await);
    session.disconnect();
    until("the unread generation is stopped", || async {
        let text = std::fs::read_to_string(&fleet.engines[fleet.engine_of("m").await].run_log);
        text.unwrap().contains("\"cancelled\"")
    })
    .await;
    let got = session.finish().await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.code().is_some(), "{got:?}");
}
