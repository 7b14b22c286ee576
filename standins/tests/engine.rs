//! Tests of the stand-in model engine.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Event, Events, content, get, json, listener, post, wait_until, within_timeout};
use reqwest::{Client, Response};
use serde_json::{Value, json as j};
use standins::engine::{self, Config};
use standins::{RunLog, Running};

cases! {
    tokens_in_order => tokens_in_order("[[len=40]] hello", 40, "stop");
    tokens_with_mark => tokens_in_order("[[len=5]][[mark=m]] hello", 5, "stop");
    tokens_up_to_the_limit => tokens_in_order("[[len=900]] hello", 64, "length");
    drawn_length_repeats => drawn_length_repeats();
    words_instead_of_checked_tokens => plain_words();
    whole_answer => whole_answer();
    unknown_model => request_refused(&j!({ "model": "other" }), 404);
    prompt_too_long => request_refused(&j!({ "messages": [{ "role": "user", "content": "[[prompt=300]]" }] }), 400);
    full_memory_preempts_and_loses_no_token => full_memory_preempts();
    higher_priority_keeps_its_memory => priority_keeps_memory();
    one_sequence_beyond_memory_ends => exceeds_memory();
    resume_goes_on => resume();
    resume_after_the_end => resume_after_end();
    abandoned_stream_is_cancelled => abandoned_stream();
    cancel_ends_stream => cancel();
    cancelled_body_ends_with_its_last_chunk => cancelled_end("in_order", false);
    cancelled_body_ends_with_its_closing_event => cancelled_end("closing", true);
    cancel_refused => cancel_outcome("refused", Some(503), false);
    cancel_of_no_such_stream => cancel_outcome("unknown", Some(404), false);
    cancel_whose_answer_is_lost => cancel_outcome("lost", None, true);
    cancel_that_comes_late => cancel_outcome("late", Some(200), true);
    body_ends_early_with_its_last_chunk => early_end("in_order", false);
    body_ends_early_with_its_closing_event => early_end("closing", true);
    stream_id_in_use => stream_id_in_use();
    stream_ids_begin_again_after_restart => stream_ids_after_restart();
    old_fence_refused => stale_fence(true, 409);
    old_fence_ignored => stale_fence(false, 200);
    loads_and_unloads => loads_and_unloads();
    crash_cuts_all_connections => crash();
    cache_events_with_gaps => cache_events();
    prefix_is_shared => prefix_is_shared();
    load_report => load_report();
    frozen_engine_goes_on_later => frozen_engine();
}

/// A configuration with short steps, a run log and immediate reports.
fn fast_config() -> Config {
    Config {
        time_scale: 50.0,
        capacity_tokens: 256,
        event_lag: Duration::ZERO,
        load_lag: Duration::ZERO,
        resume_window: Duration::from_secs(1_000),
        load_time: Duration::ZERO,
        run_log: Arc::new(RunLog::memory()),
        ..Config::default()
    }
}

/// [`fast_config`] with steps long enough that requests overlap.
fn slow_config() -> Config {
    Config {
        slow_factor: 1_000.0,
        ..fast_config()
    }
}

/// Removes the slowdown of [`slow_config`].
async fn restore_speed(running: &Running) {
    let url = format!("{}/standin/faults", running.url());
    assert_eq!(post(url, &j!({ "slow_factor": 1.0 })).await.0, 200);
}

async fn start(cfg: &Config) -> Running {
    engine::serve(cfg.clone(), listener().await).unwrap()
}

/// Returns a streaming request with the additional fields of `extra`.
fn request(text: &str, extra: &Value) -> Value {
    let mut req = j!({
        "model": "small",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": 64,
        "stream": true,
    });
    for (name, value) in extra.as_object().into_iter().flatten() {
        req[name] = value.clone();
    }
    req
}

async fn send(running: &Running, body: &Value) -> Response {
    let url = format!("{}/v1/chat/completions", running.url());
    Client::new().post(url).json(body).send().await.unwrap()
}

async fn generate(running: &Running, text: &str, extra: &Value) -> Events {
    Events::new(send(running, &request(text, extra)).await)
}

async fn resume_from(running: &Running, id: &str, from: usize) -> Events {
    let url = format!("{}/v1/streams/{id}?from={from}", running.url());
    Events::new(reqwest::get(url).await.unwrap())
}

fn logged_events(cfg: &Config, event: &str) -> Vec<Value> {
    let events = cfg.run_log.events().into_iter();
    events.filter(|found| found["event"] == event).collect()
}

/// Checks that the events contain the consecutive tokens from index `from` on,
/// all with the same nonce, and returns the nonce.
fn check_tokens(events: &[Value], from: usize) -> String {
    let nonce = content(&events[0]).split('.').next().unwrap().to_owned();
    for (offset, event) in events.iter().enumerate() {
        let token = content(event).trim_end();
        let (first, last) = (token.split('.').next(), token.split('.').next_back());
        assert_eq!(first, Some(&*nonce));
        assert_eq!(last, Some(&*(from + offset).to_string()));
    }
    nonce
}

async fn tokens_in_order(text: &str, tokens: usize, reason: &str) {
    let cfg = fast_config();
    let running = start(&cfg).await;
    let events = generate(&running, text, &Value::Null).await.rest().await;
    assert_eq!(events.len(), tokens);
    let nonce = check_tokens(&events, 0);
    let last = &events[tokens - 1];
    assert_eq!(last["choices"][0]["finish_reason"], reason);
    let usage = j!({ "prompt_tokens": 1, "completion_tokens": tokens, "preemptions": 0 });
    assert_eq!(last["usage"], usage);
    assert_eq!(logged_events(&cfg, "started")[0]["nonce"], nonce);
    assert_eq!(logged_events(&cfg, "finished")[0]["tokens"], tokens);
}

async fn drawn_length_repeats() {
    let running = start(&fast_config()).await;
    let extra = j!({ "max_tokens": 200 });
    let mut lengths = Vec::new();
    for _ in 0..2 {
        let events = generate(&running, "what is left", &extra)
            .await
            .rest()
            .await;
        lengths.push(events.len());
    }
    assert_eq!(lengths[0], lengths[1]);
}

async fn plain_words() {
    let running = start(&fast_config()).await;
    let mut events = generate(&running, "[[words]][[len=8]]", &Value::Null).await;
    for event in events.rest().await {
        let word = content(&event).trim_end();
        assert!(word.chars().all(|c| c.is_ascii_lowercase()), "{word}");
    }
}

async fn whole_answer() {
    let running = start(&fast_config()).await;
    let req = request("[[len=3]]", &j!({ "stream": false }));
    let (status, answer) = json(send(&running, &req).await).await;
    assert_eq!(status, 200);
    let text = answer["choices"][0]["message"]["content"].as_str().unwrap();
    let indices: Vec<_> = text.split_whitespace().map(|token| &token[9..]).collect();
    assert_eq!(indices, ["0", "1", "2"]);
    assert_eq!(answer["choices"][0]["finish_reason"], "stop");
}

async fn request_refused(extra: &Value, status: u16) {
    let cfg = fast_config();
    let running = start(&cfg).await;
    let res = send(&running, &request("[[len=3]]", extra)).await;
    assert_eq!(res.status(), status);
    assert!(logged_events(&cfg, "started").is_empty());
}

async fn full_memory_preempts() {
    let cfg = slow_config();
    let running = start(&cfg).await;
    let extra = j!({ "max_tokens": 150 });
    let mut streams = Vec::new();
    for number in 0..3 {
        let text = format!("[[len=150]][[mark={number}]]");
        streams.push(generate(&running, &text, &extra).await);
    }
    restore_speed(&running).await;
    let mut preemptions = 0;
    for mut stream in streams {
        let events = stream.rest().await;
        assert_eq!(events.len(), 150);
        check_tokens(&events, 0);
        preemptions += events[149]["usage"]["preemptions"].as_u64().unwrap();
    }
    assert!(preemptions > 0);
    assert_eq!(logged_events(&cfg, "preempted").len() as u64, preemptions);
}

async fn priority_keeps_memory() {
    let running = start(&slow_config()).await;
    let low = j!({ "max_tokens": 200, "priority": 0 });
    let high = j!({ "max_tokens": 200, "priority": 1 });
    let mut first = generate(&running, "[[len=200]]", &low).await;
    let mut second = generate(&running, "[[len=200]]", &high).await;
    restore_speed(&running).await;
    let (first, second) = (first.rest().await, second.rest().await);
    assert!(first[199]["usage"]["preemptions"].as_u64() > Some(0));
    assert_eq!(second[199]["usage"]["preemptions"], 0);
}

async fn exceeds_memory() {
    let running = start(&fast_config()).await;
    let extra = j!({ "max_tokens": 1_000 });
    let mut events = generate(&running, "[[len=1000]]", &extra).await;
    let events = events.rest().await;
    // The end comes with the last token, or alone if that was already sent.
    assert!(events.len() == 255 || content(&events[255]).is_empty());
    check_tokens(&events[..255], 0);
    let last = events.last().unwrap();
    assert_eq!(last["choices"][0]["finish_reason"], "length");
    assert_eq!(last["usage"]["completion_tokens"], 255);
}

async fn resume() {
    let cfg = fast_config();
    let running = start(&cfg).await;
    let mut events = generate(&running, "[[len=60]]", &Value::Null).await;
    let first = [events.token().await, events.token().await];
    drop(events);
    let rest = resume_from(&running, "s1", 2).await.rest().await;
    assert_eq!(rest.len(), 58);
    assert_eq!(check_tokens(&first, 0), check_tokens(&rest, 2));
    assert_eq!(logged_events(&cfg, "started").len(), 1);
}

async fn resume_after_end() {
    let running = start(&fast_config()).await;
    generate(&running, "[[len=5]]", &j!({ "stream_id": "a" }))
        .await
        .rest()
        .await;
    let rest = resume_from(&running, "a", 5).await.rest().await;
    assert_eq!(rest.len(), 1);
    assert_eq!(content(&rest[0]), "");
    assert_eq!(rest[0]["usage"]["completion_tokens"], 5);
}

async fn abandoned_stream() {
    let cfg = Config {
        resume_window: Duration::ZERO,
        ..slow_config()
    };
    let running = start(&cfg).await;
    let mut events = generate(&running, "[[len=60]]", &Value::Null).await;
    events.token().await;
    drop(events);
    wait_until(|| async { logged_events(&cfg, "cancelled").len() == 1 }).await;
    let url = format!("{}/v1/streams/s1", running.url());
    wait_until(|| async { get(&url).await.0 == 404 }).await;
}

async fn cancel() {
    let cfg = slow_config();
    let running = start(&cfg).await;
    let extra = j!({ "stream_id": "mine" });
    let mut events = generate(&running, "[[len=64]]", &extra).await;
    events.token().await;
    let url = format!("{}/v1/streams/mine/cancel", running.url());
    assert_eq!(post(url, &Value::Null).await.0, 200);
    let rest = events.rest().await;
    let last = rest.last().unwrap();
    assert_eq!(last["choices"][0]["finish_reason"], "cancelled");
    assert!(logged_events(&cfg, "finished").is_empty());
    assert_eq!(logged_events(&cfg, "cancelled")[0]["stream_id"], "mine");
}

async fn set_faults(running: &Running, faults: Value) {
    let url = format!("{}/standin/faults", running.url());
    assert_eq!(post(url, &faults).await.0, 200);
}

/// Reads a body that states no reason to its last chunk; returns whether it brought the closing event.
async fn read_unmarked(res: Response) -> bool {
    let body = res.text().await.unwrap();
    assert!(body.contains("\"finish_reason\":null"), "{body}");
    assert!(!body.contains("\"finish_reason\":\""), "{body}");
    body.contains("[DONE]")
}

async fn cancelled_end(end: &str, closes: bool) {
    let running = start(&slow_config()).await;
    set_faults(&running, j!({ "cancelled_end": end })).await;
    let res = send(&running, &request("[[len=64]]", &Value::Null)).await;
    let load = format!("{}/v1/load", running.url());
    wait_until(|| async { get(&load).await.1["used_tokens"].as_u64() > Some(1) }).await;
    let url = format!("{}/v1/streams/s1/cancel", running.url());
    assert_eq!(post(url, &Value::Null).await.0, 200);
    assert_eq!(within_timeout(read_unmarked(res)).await, closes);
}

async fn cancel_outcome(outcome: &str, status: Option<u16>, is_cancelled: bool) {
    let cfg = slow_config();
    let running = start(&cfg).await;
    set_faults(&running, j!({ "cancel": outcome })).await;
    let mut events = generate(&running, "[[len=64]]", &Value::Null).await;
    events.token().await;
    let url = format!("{}/v1/streams/s1/cancel", running.url());
    let answer = tokio::spawn(async move { post(url, &Value::Null).await.0 });
    if let Some(status) = status {
        assert_eq!(answer.await.unwrap(), status);
    } else {
        wait_until(|| async { !logged_events(&cfg, "cancelled").is_empty() }).await;
        assert!(!answer.is_finished());
    }
    assert_eq!(!logged_events(&cfg, "cancelled").is_empty(), is_cancelled);
}

/// The stream goes on from there.
async fn early_end(end: &str, closes: bool) {
    let running = start(&fast_config()).await;
    let early = j!({ "before": 3, "end": end, "bodies": 1 });
    set_faults(&running, j!({ "early_end": early })).await;
    let res = send(&running, &request("[[len=40]]", &Value::Null)).await;
    assert_eq!(within_timeout(read_unmarked(res)).await, closes);
    let rest = resume_from(&running, "s1", 3).await.rest().await;
    assert_eq!(rest.len(), 37);
    check_tokens(&rest, 3);
}

async fn stream_id_in_use() {
    let cfg = slow_config();
    let running = start(&cfg).await;
    let req = request("[[len=64]]", &j!({ "stream_id": "a" }));
    let first = send(&running, &req).await;
    assert_eq!(send(&running, &req).await.status(), 409);
    drop(first);
}

async fn stream_ids_after_restart() {
    let cfg = fast_config();
    let mut nonces = Vec::new();
    for _ in 0..2 {
        let running = start(&cfg).await;
        generate(&running, "[[len=2]]", &Value::Null)
            .await
            .rest()
            .await;
        let events = resume_from(&running, "s1", 0).await.rest().await;
        nonces.push(check_tokens(&events, 0));
        running.kill().await;
    }
    assert_ne!(nonces[0], nonces[1]);
}

async fn stale_fence(check_fence: bool, status: u16) {
    let cfg = Config {
        check_fence,
        ..fast_config()
    };
    let running = start(&cfg).await;
    let url = format!("{}/v1/orders", running.url());
    let order = |fence: u64| j!({ "fence": fence, "order": "role", "role": "prefill" });
    assert_eq!(post(&url, &order(7)).await.0, 200);
    assert_eq!(post(&url, &order(6)).await.0, status);
    assert_eq!(post(&url, &order(7)).await.0, 200);
    let models = get(format!("{}/v1/models", running.url())).await.1;
    assert_eq!(
        (&models["fence"], &models["role"]),
        (&j!(7), &j!("prefill"))
    );
    assert_eq!(logged_events(&cfg, "order")[1]["accepted"], status == 200);
}

async fn loads_and_unloads() {
    let running = start(&fast_config()).await;
    let url = format!("{}/v1/orders", running.url());
    let load = j!({ "fence": 1, "order": "load", "model": "large" });
    let unload = j!({ "fence": 2, "order": "unload", "model": "small" });
    assert_eq!(post(&url, &load).await.0, 200);
    assert_eq!(post(&url, &unload).await.0, 200);
    let models = get(format!("{}/v1/models", running.url())).await.1;
    assert_eq!(
        models["models"],
        j!([{ "name": "large", "state": "loaded" }])
    );
    let large = request("[[len=1]]", &j!({ "model": "large" }));
    assert_eq!(send(&running, &large).await.status(), 200);
    let small = request("[[len=1]]", &Value::Null);
    assert_eq!(send(&running, &small).await.status(), 404);
}

async fn crash() {
    let cfg = slow_config();
    let mut running = start(&cfg).await;
    let extra = j!({ "max_tokens": 240 });
    let mut other = generate(&running, "[[len=240]]", &extra).await;
    let text = "[[crash]][[crash_after=3]][[mark=bad]]";
    let mut bad = generate(&running, text, &Value::Null).await;
    restore_speed(&running).await;
    while bad.next().await != Event::Disconnected {}
    loop {
        match other.next().await {
            Event::Data(_) => {}
            Event::Done => panic!("not cut"),
            Event::Disconnected => break,
        }
    }
    within_timeout(running.stopped()).await;
    assert_eq!(logged_events(&cfg, "crashed")[0]["mark"], "bad");
    assert!(reqwest::get(running.url()).await.is_err());
}

async fn cache_events() {
    let cfg = Config {
        event_gap: 3,
        ..fast_config()
    };
    let running = start(&cfg).await;
    generate(&running, "[[prompt=128]][[len=1]]", &Value::Null)
        .await
        .rest()
        .await;
    let url = format!("{}/v1/events?since=1", running.url());
    let events = get(url).await.1;
    let seqs: Vec<_> = events["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| &event["seq"])
        .collect();
    assert_eq!(seqs, [2, 4]);
    assert_eq!(events["events"][0]["kind"], "stored");
}

async fn prefix_is_shared() {
    let running = start(&fast_config()).await;
    for text in [
        "[[prefix=p/64]] one [[len=1]]",
        "[[prefix=p/64]] two [[len=1]]",
    ] {
        generate(&running, text, &Value::Null).await.rest().await;
    }
    let url = format!("{}/v1/events?timeout_ms=0", running.url());
    let events = get(url).await.1;
    assert_eq!(events["events"].as_array().unwrap().len(), 2);
}

async fn load_report() {
    let running = start(&fast_config()).await;
    let url = format!("{}/v1/load", running.url());
    generate(&running, "[[len=3]]", &Value::Null)
        .await
        .rest()
        .await;
    wait_until(|| async { get(&url).await.1["running"] == 0 }).await;
    let load = get(&url).await.1;
    assert_eq!((&load["waiting"], &load["used_tokens"]), (&j!(0), &j!(0)));
    assert_eq!(load["capacity_tokens"], 256);
}

async fn frozen_engine() {
    let running = start(&slow_config()).await;
    let mut events = generate(&running, "[[len=64]]", &Value::Null).await;
    let first = events.token().await;
    let url = format!("{}/standin/faults", running.url());
    assert_eq!(post(url, &j!({ "freeze_ms": 100 })).await.0, 200);
    restore_speed(&running).await;
    let mut all = vec![first];
    all.extend(events.rest().await);
    check_tokens(&all, 0);
    assert_eq!(all.len(), 64);
}
