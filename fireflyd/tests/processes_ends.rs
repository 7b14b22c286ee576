//! Bodies of upstreams that end in order, or break, before their generation has ended: beside an order to stop it, whatever
//! became of that order, and without one. No caller gets a part for the whole.

mod support;

use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};
use standins::caller::{End, Request, RequestOutcome};
use standins::trouble::Trouble;
use support::{
    COUNTER, DOSSIERS, Doors, Fleet, GRADES, Spec, WAIT_TIMEOUT, chat_as_http_1_0, linked_fleet,
    send_as_http_1_0, until,
};

/// Tokens of a generation that lasts until it is stopped.
const LONG: u64 = 4_000;
/// Tokens of a generation that ends by itself after a while.
const WHOLE: u64 = 600;
/// Tokens of one that ends soon.
const SHORT: u64 = 60;
/// Token before which bodies end early.
const EARLY: u64 = 20;
/// More bodies than are read of a generation.
const ALWAYS: u32 = 1_000;

crate::cases! {
    stop_carried_out_before_the_closing_event => stopped("closing", "done");
    stop_carried_out_before_the_last_chunk => stopped("in_order", "done");
    stop_refused => stopped("in_order", "refused");
    stop_of_no_such_generation => stopped("in_order", "unknown");
    stop_whose_answer_is_lost => stopped("in_order", "lost");
    stop_that_comes_late => stopped("in_order", "late");
    stop_refused_is_logged => stop_is_logged("refused", "answered with status 503");
    stop_of_no_such_generation_is_logged => stop_is_logged("unknown", "answered with status 404");
    stop_without_an_answer_is_logged => stop_is_logged("lost", "broken after sending");
    whole_stopped_before_the_last_chunk => whole_stopped("in_order", "done");
    whole_whose_stop_is_refused => whole_stopped("in_order", "refused");
    whole_whose_stop_is_lost => whole_stopped("closing", "lost");
    key_of_a_stopped_stream_asked_for_again => key_stopped(true);
    key_of_a_stopped_whole_asked_for_again => key_stopped(false);
    unread_stream_stopped_before_the_last_chunk => unread("in_order", "done");
    unread_stream_whose_stop_is_refused => unread("in_order", "refused");
    unread_stream_whose_stop_is_lost => unread("closing", "lost");
    stream_that_ended_before_its_caller_came_back => ended_unread();
    stream_whose_caller_holds_its_last_token => resumed_at_the_end();
    answer_without_a_token_as_a_stream => without_tokens(true);
    answer_without_a_token_as_a_whole => without_tokens(false);
    body_ends_once_with_its_last_chunk => ends_once(true, "in_order");
    body_ends_once_with_its_closing_event => ends_once(true, "closing");
    body_of_a_whole_ends_once_with_its_last_chunk => ends_once(false, "in_order");
    body_of_a_whole_ends_once_with_its_closing_event => ends_once(false, "closing");
    body_ends_always_with_its_last_chunk => ends_always("in_order");
    body_ends_always_with_its_closing_event => ends_always("closing");
    body_of_a_whole_ends_always_with_its_last_chunk => whole_ends_always("in_order");
    body_ends_always_for_an_old_caller => ends_for_an_old_caller(true);
    body_of_a_whole_ends_always_for_an_old_caller => ends_for_an_old_caller(false);
    part_of_stated_length => part(tokens("null"), "content-length: LENGTH", None);
    part_with_its_last_chunk => part(tokens("null"), "transfer-encoding: chunked", Some("0\r\n\r\n"));
    part_cut_in_chunks => part(tokens("null"), "transfer-encoding: chunked", Some(""));
    part_to_the_close => part(tokens("null"), "connection: close", None);
    part_with_an_empty_reason => part(tokens("\"\""), "connection: close", None);
    part_with_a_reason_before_its_last_token => part(tokens("\"stop\""), "connection: close", None);
    resumed_without_numbers => resumed("");
    resumed_from_the_first_token => resumed("id: 0\n");
    plain_answer_cut_in_chunks => plain_cut("transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n");
    plain_answer_cut_in_its_last_chunk => plain_cut("transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0");
    plain_answer_cut_below_its_length => plain_cut("content-length: 5\r\n\r\nbody");
    plain_answer_of_an_old_caller_states_its_length => plain_for_an_old_caller();
}

fn request(streams: bool, mark: &str, tokens: u64) -> Request {
    if streams {
        Request::stream(mark, DOSSIERS, "model-a", tokens)
    } else {
        Request::non_streaming(mark, DOSSIERS, "model-a", tokens)
    }
}

/// The engine's software is replaced behind a cut link, so that the agent resumes the stream and stops it.
async fn stop_by_upgrade(fleet: &Fleet, link: &support::Link, end: &str, cancel: &str) {
    fleet
        .engine_faults(0, json!({ "cancelled_end": end, "cancel": cancel }))
        .await;
    fleet.upgrade_engine(0, "v2").await;
    link.cut();
}

fn assert_cut(fleet: &Fleet, got: &RequestOutcome) {
    fleet.assert_guarantees(std::slice::from_ref(got));
    assert_eq!(got.code(), Some(3_001), "{got:?}");
    assert_eq!(got.last().delivered, Some(got.last().tokens));
}

async fn stopped(end: &str, cancel: &str) {
    let (fleet, link) = linked_fleet(Spec::default()).await;
    let mut session = fleet.caller().begin(request(true, "m", LONG), 0);
    assert!(session.read_until_tokens(EARLY).await);
    stop_by_upgrade(&fleet, &link, end, cancel).await;
    assert_cut(&fleet, &session.finish().await);
    assert_eq!(fleet.runs().count("m"), 1);
    let next = fleet.call(request(true, "next", SHORT), 1).await;
    assert!(next.is_complete(), "{next:?}");
}

async fn stop_is_logged(cancel: &str, cause: &str) {
    let (fleet, link) = linked_fleet(Spec::default()).await;
    let mut session = fleet.caller().begin(request(true, "m", LONG), 0);
    assert!(session.read_until_tokens(EARLY).await);
    stop_by_upgrade(&fleet, &link, "in_order", cancel).await;
    until("the failed order is logged", || async {
        let log = fleet.agents[0].log_text();
        let mut lines = log.lines();
        lines.any(|l| l.contains("event=cancel_failed") && l.contains(cause))
    })
    .await;
}

/// Nothing of the stopped run comes; its caller asks again, and gets an answer of one run.
async fn whole_stopped(end: &str, cancel: &str) {
    let (fleet, link) = linked_fleet(Spec::default()).await;
    let caller = fleet.caller();
    let call = tokio::spawn(async move { caller.run(request(false, "m", WHOLE), 0).await });
    until("the answer is under way", || async {
        fleet.engine_tokens(0).await > WHOLE / 4
    })
    .await;
    stop_by_upgrade(&fleet, &link, end, cancel).await;
    let got = call.await.unwrap();
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete() && got.last().tokens == WHOLE, "{got:?}");
    let stopped = &got.attempts[0];
    assert_eq!(
        (stopped.end.clone(), stopped.tokens),
        (End::Code(4_001), 0),
        "{got:?}"
    );
    assert_eq!(fleet.runs().count("m"), 1);
}

/// Two callers read the answer of one key as it is stopped, and a third asks for it later.
async fn key_stopped(streams: bool) {
    let (fleet, link) = linked_fleet(Spec::default()).await;
    let keyed = || {
        let request = if streams {
            Request::stream("m", GRADES, "model-b", LONG)
        } else {
            Request::non_streaming("m", GRADES, "model-b", LONG)
        };
        request.with_idempotency_key("key")
    };
    let readers = [0, 1].map(|entry| {
        let (caller, request) = (fleet.caller(), keyed());
        tokio::spawn(async move { caller.run(request, entry).await })
    });
    until("the answer is under way", || async {
        fleet.engine_tokens(0).await > WHOLE / 4
    })
    .await;
    stop_by_upgrade(&fleet, &link, "in_order", "done").await;
    let [first, second] = readers;
    let all = [
        first.await.unwrap(),
        second.await.unwrap(),
        fleet.call(keyed(), 1).await,
    ];
    fleet.assert_guarantees(&all);
    let codes = all.each_ref().map(RequestOutcome::code);
    assert_eq!(codes, [Some(3_001); 3], "{all:?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

/// Waits until the agent's generation has ended.
async fn await_idle(fleet: &Fleet) {
    for running in [true, false] {
        until("the generation begins and ends", || async {
            let streams = fleet.metric(&fleet.agents[0], "firefly_streams_running");
            (streams.await > 0.5) == running
        })
        .await;
    }
}

/// The agent stops a stream that nobody reads; its caller comes back.
async fn unread(end: &str, cancel: &str) {
    let fleet = Fleet::start(Spec {
        engines: 1,
        daemon_flags: vec!["--retain-ms", "500"],
        ..Spec::default()
    })
    .await;
    fleet
        .engine_faults(0, json!({ "cancelled_end": end, "cancel": cancel }))
        .await;
    let mut session = fleet.caller().begin(request(true, "m", LONG), 0);
    assert!(session.read_until_tokens(EARLY).await);
    session.disconnect();
    await_idle(&fleet).await;
    let got = session.finish().await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.code().is_some(), "{got:?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

/// An order that comes after the end changes nothing.
async fn ended_unread() {
    let fleet = Fleet::start(Spec {
        engines: 1,
        ..Spec::default()
    })
    .await;
    fleet
        .engine_faults(0, json!({ "cancelled_end": "in_order" }))
        .await;
    let mut session = fleet.caller().begin(request(true, "m", WHOLE), 0);
    assert!(session.read_until_tokens(5).await);
    session.disconnect();
    await_idle(&fleet).await;
    fleet.cancel_at_engine(0).await;
    let got = session.finish().await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete(), "{got:?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

fn post(fleet: &Fleet, entry: usize, body: String) -> RequestBuilder {
    let url = format!("{}/v1/chat/completions", fleet.entries[entry].url());
    let call = fleet.http.post(url).bearer_auth(COUNTER).body(body);
    call.timeout(WAIT_TIMEOUT)
}

async fn assert_ends_whole(res: Response) {
    let status = res.status();
    let text = res.text().await.unwrap();
    assert!(
        status.is_success() && text.contains("\"finish_reason\":\"stop\""),
        "{text}"
    );
    assert!(!text.contains("\"content\":\"a"), "{text}");
}

/// The entry may die between the last token and the end.
async fn resumed_at_the_end() {
    let fleet = Fleet::start(Spec::default()).await;
    let body = chat_body("m", true);
    let whole = post(&fleet, 0, body.clone()).send().await.unwrap();
    let whole = whole.text().await.unwrap();
    let last_token = whole.lines().filter(|l| l.starts_with("id: ")).nth_back(1);
    let id = last_token.unwrap().trim_start_matches("id: ").to_owned();
    for entry in 0..fleet.entries.len() {
        let rest = post(&fleet, entry, body.clone()).header("last-event-id", &id);
        assert_ends_whole(rest.send().await.unwrap()).await;
    }
    assert_eq!(fleet.runs().count("m"), 1);
}

async fn without_tokens(streams: bool) {
    let end = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", end.len());
    let doors = Doors::open(trouble("POST /v1/chat", &(head + end))).await;
    let call = post(&doors.fleet, 0, chat_body("m", streams));
    assert_ends_whole(call.send().await.unwrap()).await;
}

async fn early(fleet: &Fleet, end: &str, bodies: u32) {
    let early = json!({ "before": EARLY, "end": end, "bodies": bodies });
    for engine in 0..fleet.engines.len() {
        fleet
            .engine_faults(engine, json!({ "early_end": early }))
            .await;
    }
}

/// The agent reads on: the answer is whole, and of one run.
async fn ends_once(streams: bool, end: &str) {
    let fleet = Fleet::start(Spec {
        engines: 1,
        ..Spec::default()
    })
    .await;
    early(&fleet, end, 1).await;
    let got = fleet.call(request(streams, "m", SHORT), 0).await;
    fleet.assert_guarantees(std::slice::from_ref(&got));
    assert!(got.is_complete() && got.last().tokens == SHORT, "{got:?}");
    assert_eq!(fleet.runs().count("m"), 1);
}

async fn ends_always(end: &str) {
    let fleet = Fleet::start(Spec {
        engines: 1,
        ..Spec::default()
    })
    .await;
    early(&fleet, end, ALWAYS).await;
    let got = fleet.call(request(true, "m", SHORT), 0).await;
    assert_cut(&fleet, &got);
    assert_eq!(got.last().tokens, EARLY);
}

async fn whole_ends_always(end: &str) {
    let fleet = Fleet::start(Spec::default()).await;
    early(&fleet, end, ALWAYS).await;
    assert_no_answer(chat(&fleet).send().await.unwrap()).await;
}

fn chat_body(mark: &str, streams: bool) -> String {
    json!({
        "model": "model-a", "stream": streams, "max_tokens": SHORT + 1,
        "messages": [{"role": "user", "content": format!("[[mark={mark}]][[len={SHORT}]]")}],
    })
    .to_string()
}

async fn ends_for_an_old_caller(streams: bool) {
    let fleet = Fleet::start(Spec {
        engines: 1,
        ..Spec::default()
    })
    .await;
    let whole = chat_as_http_1_0(&fleet, &chat_body("whole", streams)).await;
    assert!(whole.contains("\"finish_reason\":\"stop\""), "{whole}");
    assert_eq!(whole.ends_with("data: [DONE]\n\n"), streams, "{whole}");
    early(&fleet, "in_order", ALWAYS).await;
    let cut = chat_as_http_1_0(&fleet, &chat_body("cut", streams)).await;
    assert!(
        !cut.contains("[DONE]") && !cut.contains("\"stop\""),
        "{cut}"
    );
    assert_eq!(cut.contains("event: error"), streams, "{cut}");
    assert_eq!(cut.starts_with("HTTP/1.0 502"), !streams, "{cut}");
}

fn chat(fleet: &Fleet) -> RequestBuilder {
    post(fleet, 0, chat_body("part", false))
}

fn read(fleet: &Fleet) -> RequestBuilder {
    let url = format!("{}/services/records/records/part", fleet.entries[0].url());
    fleet
        .http
        .get(url)
        .bearer_auth(COUNTER)
        .timeout(WAIT_TIMEOUT)
}

/// Fails unless the answer is an error that doesn't promise that nothing ran.
async fn assert_no_answer(res: Response) {
    let status = res.status();
    let body: Value = res.json().await.unwrap();
    assert_eq!(status, 502, "{body}");
    assert_ne!(body["error"]["class"], "not_run", "{body}");
}

fn trouble(to: &'static str, first: &str) -> Trouble {
    Trouble {
        to,
        first: first.into(),
        ..Trouble::default()
    }
}

/// Returns two tokens of an engine, the first with this reason.
fn tokens(reason: &str) -> String {
    let event = |n: u32, reason: &str| {
        let choice = format!("{{\"delta\":{{\"content\":\"a\"}},\"finish_reason\":{reason}}}");
        format!("id: {n}\ndata: {{\"choices\":[{choice}]}}\n\n")
    };
    event(0, reason) + &event(1, "null")
}

/// An engine's body is a part and ends as its framing says.
async fn part(body: String, framing: &str, last_chunk: Option<&str>) {
    let framing = framing.replace("LENGTH", &body.len().to_string());
    let body = match last_chunk {
        Some(last) => format!("{:x}\r\n{body}\r\n{last}", body.len()),
        None => body,
    };
    let head = format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{framing}\r\n\r\n");
    let doors = Doors::open(trouble("POST /v1/chat", &(head + &body))).await;
    assert_no_answer(chat(&doors.fleet).send().await.unwrap()).await;
    assert!(doors.engine.begun() > 0);
}

/// An engine answers a resumption with its answer from the beginning.
async fn resumed(number: &str) {
    let last = "{\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}";
    let events = format!("{number}data: {last}\n\ndata: [DONE]\n\n");
    let head = "HTTP/1.1 200 OK\r\nx-software-version: v1\r\nconnection: close\r\n\r\n";
    let doors = Doors::open(trouble("GET /v1/streams", &(head.to_owned() + &events))).await;
    early(&doors.fleet, "in_order", 1).await;
    let got = doors.fleet.call(request(true, "m", SHORT), 0).await;
    assert_cut(&doors.fleet, &got);
    assert_eq!(got.last().tokens, EARLY);
    assert!(doors.engine.begun() > 0);
}

async fn plain_cut(rest: &str) {
    let head = format!("HTTP/1.1 200 OK\r\n{rest}");
    let doors = Doors::open(trouble("GET /records", &head)).await;
    assert_no_answer(read(&doors.fleet).send().await.unwrap()).await;
    assert!(doors.plain.begun() > 0);
}

async fn plain_for_an_old_caller() {
    let fleet = Fleet::start(Spec {
        plain: true,
        ..Spec::default()
    })
    .await;
    let answer = send_as_http_1_0(&fleet, "GET /services/records/records/1", COUNTER, "", "").await;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.split(' ').nth(1) == Some("200"), "{answer}");
    let length = format!("content-length: {}", body.len());
    assert!(head.to_lowercase().contains(&length), "{answer}");
}
