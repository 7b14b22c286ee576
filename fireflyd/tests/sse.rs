//! Event parser, decoder of engine streams with any chunk boundaries, and upstream clients.

#[path = "support/answers.rs"]
mod answers;

use std::net::Ipv4Addr;

use answers::{END, TIMEOUT, choice, full_response, head, numbered, request, serve_once};
use fireflyd::sse::{MAX_EVENT_BYTES, SseEvent, SseReader, TooLong, parse_event};
use fireflyd::upstream::{
    Decoder, EngineClient, EngineEvent, EngineOrder, FencedOrder, FinishReason, OrderOutcome,
    PlainClient, Token, UpstreamError, Usage,
};
use futures_util::StreamExt;
use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngAlgorithm, RngSeed};
use serde_json::json;

fn data(text: &str) -> SseEvent {
    SseEvent {
        id: None,
        data: text.into(),
    }
}

macro_rules! scan_cases {
    ($($name:ident: $text:expr => $want:expr;)*) => {$(
        #[test]
        fn $name() {
            let want: Option<(SseEvent, &str)> = $want;
            let want = want.map(|(event, rest)| (event, rest.as_bytes()));
            assert_eq!(parse_event($text.as_bytes()), want);
        }
    )*};
}

scan_cases! {
    nothing_yet: "" => None;
    a_line_is_no_event: "data: a\n" => None;
    an_event_without_its_last_feed: "data: a\n\r" => None;
    one_event: "data: a\n\n" => Some((data("a"), ""));
    carriage_returns: "data: a\r\n\r\nx" => Some((data("a"), "x"));
    no_blank_after_the_colon: "data:a\n\n" => Some((data("a"), ""));
    only_one_blank_is_cut: "data:  a\n\n" => Some((data(" a"), ""));
    joined_lines: "data: a\ndata: b\n\n" => Some((data("a\nb"), ""));
    a_comment: ": ping\n\ndata: a\n\n" => Some((data(""), "data: a\n\n"));
    other_fields: "event: x\nretry: 3\ndata: a\n\n" => Some((data("a"), ""));
    a_field_without_colon: "data\n\n" => Some((data(""), ""));
    an_id: "id: 7\ndata: a\n\n" => Some((SseEvent { id: Some("7".to_owned()), data: b"a".into() }, ""));
}

macro_rules! bound_cases {
    ($($name:ident: $len:expr, closed $closed:expr => $ok:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut reader = SseReader::default();
            reader.push("data: ".as_bytes());
            reader.push(&vec![b'x'; $len - "data: ".len()]);
            if $closed {
                reader.push(b"\n\n");
            }
            assert_eq!(reader.next_event().map(|event| event.is_some()), $ok);
        }
    )*};
}

bound_cases! {
    the_longest_event_passes: MAX_EVENT_BYTES - 2, closed true => Ok(true);
    a_longer_event_is_refused: MAX_EVENT_BYTES - 1, closed true => Err(TooLong);
    the_longest_open_event_waits: MAX_EVENT_BYTES, closed false => Ok(false);
    a_longer_open_event_is_refused: MAX_EVENT_BYTES + 1, closed false => Err(TooLong);
}

fn token(text: &str, offset: Option<u64>) -> Token {
    Token {
        text: text.to_owned(),
        offset,
    }
}

fn finished(reason: FinishReason, usage: Usage) -> EngineEvent {
    EngineEvent::Finished { reason, usage }
}

fn broken(why: &str) -> EngineEvent {
    EngineEvent::Broken {
        cause: why.to_owned(),
    }
}

const USAGE: Usage = Usage {
    prompt_tokens: 3,
    completion_tokens: 2,
    preemptions: 1,
};

/// Decodes a text that arrives in one chunk before the connection ends.
fn decode(text: &str) -> Vec<EngineEvent> {
    let mut decoder = Decoder::default();
    let mut out = decoder.feed(text.as_bytes());
    out.extend(decoder.end("cut"));
    assert_eq!(decoder.end("cut"), None);
    assert_eq!(decoder.feed(text.as_bytes()), []);
    out
}

macro_rules! decode_cases {
    ($($name:ident: $text:expr => $want:expr;)*) => {$(
        #[test]
        fn $name() {
            let text: String = $text;
            assert_eq!(decode(&text), $want);
        }
    )*};
}

decode_cases! {
    tokens_of_a_chunk_come_together: choice("a") + &choice("b") + END => [
        EngineEvent::Tokens(vec![token("a", None), token("b", None)]),
        finished(FinishReason::Stop, USAGE),
    ];
    numbered_tokens: numbered(0) + END => [
        EngineEvent::Tokens(vec![token("a", Some(0))]),
        finished(FinishReason::Stop, USAGE),
    ];
    a_numbered_token_without_text_counts: "id: 0\n".to_owned() + &choice("") + END => [
        EngineEvent::Tokens(vec![token("", Some(0))]),
        finished(FinishReason::Stop, USAGE),
    ];
    an_opening_event_without_text_does_not: choice("") + END => [finished(FinishReason::Stop, USAGE)];
    a_gap_between_tokens_breaks: numbered(0) + &numbered(2) + END => [
        EngineEvent::Tokens(vec![token("a", Some(0))]),
        broken("token 2 instead of 1"),
    ];
    a_token_that_comes_twice_breaks: numbered(0) + &numbered(0) + END => [
        EngineEvent::Tokens(vec![token("a", Some(0))]),
        broken("token 0 instead of 1"),
    ];
    a_gap_before_the_first_token_breaks: numbered(4) + &numbered(5) + END => [broken("token 4 instead of 0")];
    a_cut_breaks: choice("a") => [EngineEvent::Tokens(vec![token("a", None)]), broken("cut")];
    a_cut_after_the_reason_is_an_end: END.replace("data: [DONE]\n\n", "") => [finished(FinishReason::Stop, USAGE)];
    an_end_without_reason_breaks: "data: [DONE]\n\n".to_owned() => [broken("end without a reason")];
    an_error_breaks: "data: {\"error\":\"oom\"}\n\n".to_owned() + END => [broken("\"oom\"")];
    usage_in_an_event_of_its_own: [
        "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}]}\n\n",
        "data: {\"choices\":[],\"usage\":{\"completion_tokens\":9}}\n\ndata: [DONE]\n\n",
    ].concat() => [finished(FinishReason::Length, Usage { completion_tokens: 9, ..Usage::default() })];
    what_follows_the_end_is_left: END.to_owned() + &choice("late") => [finished(FinishReason::Stop, USAGE)];
}

#[test]
fn malformed_events_break() {
    let out = decode(&(choice("a") + "data: {oops\n\n" + END));
    assert_eq!(out[0], EngineEvent::Tokens(vec![token("a", None)]));
    assert!(matches!(&out[1..], [EngineEvent::Broken { .. }]));
}

/// Joins all tokens and all other events, so that the result doesn't depend on chunk boundaries.
fn joined(events: impl IntoIterator<Item = EngineEvent>) -> (Vec<Token>, Vec<EngineEvent>) {
    let (mut tokens, mut others) = (Vec::new(), Vec::new());
    for event in events {
        match event {
            EngineEvent::Tokens(mut more) => tokens.append(&mut more),
            other => others.push(other),
        }
    }
    (tokens, others)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x55e),
        ..ProptestConfig::default()
    })]

    #[test]
    fn cuts_do_not_show(
        texts in prop::collection::vec("\\PC{1,8}", 0..20),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
        carriage in any::<bool>(),
    ) {
        let mut text: String = texts.iter().map(|text| choice(text)).collect();
        text.push_str(END);
        if carriage {
            text = text.replace('\n', "\r\n");
        }
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len())).collect();
        cuts.sort_unstable();
        let mut decoder = Decoder::default();
        let (mut events, mut from) = (Vec::new(), 0);
        for cut in cuts.into_iter().chain([text.len()]) {
            events.extend(decoder.feed(&text.as_bytes()[from..cut]));
            from = cut;
        }
        let want: Vec<Token> = texts.iter().map(|text| token(text, None)).collect();
        prop_assert_eq!(joined(events), (want, vec![finished(FinishReason::Stop, USAGE)]));
    }

    #[test]
    fn any_bytes_end_at_most_once(chunks in prop::collection::vec(
        prop::collection::vec(prop_oneof![Just(b'\n'), Just(b':'), any::<u8>()], 0..50), 0..20,
    )) {
        let mut decoder = Decoder::default();
        let mut events: Vec<EngineEvent> =
            chunks.iter().flat_map(|chunk| decoder.feed(chunk)).collect();
        events.extend(decoder.end("cut"));
        prop_assert_eq!(joined(events).1.len(), 1);
    }
}

fn refusing_address() -> (tokio::net::TcpSocket, String) {
    let bound = tokio::net::TcpSocket::new_v4().unwrap();
    bound.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let url = format!("http://{}", bound.local_addr().unwrap());
    (bound, url)
}

async fn run_generation(answer: String) -> (Vec<EngineEvent>, String) {
    let (url, served) = serve_once(answer).await;
    let client = EngineClient::new(&url, TIMEOUT).unwrap();
    let stream = client.generate(&request()).await.unwrap();
    let events = tokio::time::timeout(TIMEOUT, stream.collect())
        .await
        .unwrap();
    (events, served.await.unwrap())
}

#[tokio::test]
async fn a_generation_is_read_to_its_end() {
    let (events, seen) = run_generation(full_response("200 OK", &(choice("a") + END))).await;
    let opened = EngineEvent::Opened {
        software_version: None,
    };
    let want = (
        vec![token("a", None)],
        vec![opened, finished(FinishReason::Stop, USAGE)],
    );
    assert_eq!(joined(events), want);
    assert!(seen.starts_with("POST /v1/chat/completions "), "{seen}");
    assert!(seen.contains("x-request-id: r1"), "{seen}");
}

#[tokio::test]
async fn software_version_of_an_engine_is_read() {
    let head = head("200 OK", END.len()).replacen("\r\n", "\r\nx-software-version: v1.2\r\n", 1);
    let (events, _) = run_generation(head + END).await;
    let opened = EngineEvent::Opened {
        software_version: Some("v1.2".into()),
    };
    assert_eq!(events.first(), Some(&opened));
}

/// Returns an answer after so many interim responses.
fn after_interim(count: usize) -> String {
    "HTTP/1.1 100 Continue\r\n\r\n".repeat(count) + &full_response("200 OK", END)
}

#[tokio::test]
async fn an_answer_after_interim_responses_is_read() {
    let (events, _) = run_generation(after_interim(1_000)).await;
    assert_eq!(
        joined(events).1.last(),
        Some(&finished(FinishReason::Stop, USAGE))
    );
}

#[tokio::test]
async fn interim_responses_of_megabytes_are_no_answer() {
    let (url, _served) = serve_once(after_interim(1_000_000)).await;
    let client = EngineClient::new(&url, TIMEOUT).unwrap();
    let begun = client.generate(&request()).await;
    let failed = begun.err();
    assert!(
        matches!(failed, Some(UpstreamError::NoAnswer(_))),
        "{failed:?}"
    );
}

macro_rules! resume_cases {
    ($($name:ident: $first:expr => $breaks:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (url, _served) = serve_once(full_response("200 OK", &(numbered($first) + END))).await;
            let stream = EngineClient::new(&url, TIMEOUT).unwrap().resume("s1", 7).await.unwrap();
            let events: Vec<EngineEvent> = stream.collect().await;
            let breaks = matches!(events.last(), Some(EngineEvent::Broken { .. }));
            assert_eq!(breaks, $breaks, "{events:?}");
        }
    )*};
}

resume_cases! {
    resumed_where_it_broke: 7 => false;
    resumed_too_early_breaks: 6 => true;
    resumed_too_late_breaks: 8 => true;
}

#[tokio::test]
async fn a_generation_cut_in_the_middle_breaks() {
    let (events, _) = run_generation(head("200 OK", 9999) + &choice("a")).await;
    let (tokens, others) = joined(events);
    assert_eq!(tokens, [token("a", None)]);
    assert!(matches!(
        &others[..],
        [EngineEvent::Opened { .. }, EngineEvent::Broken { .. }]
    ));
}

macro_rules! generate_error_cases {
    ($($name:ident: $answer:expr => $want:pat,)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (url, served) = serve_once($answer).await;
            let client = EngineClient::new(&url, TIMEOUT).unwrap();
            let error = client.generate(&request()).await.err();
            assert!(matches!(error, Some($want)), "{error:?}");
            served.await.unwrap();
        }
    )*};
}

generate_error_cases! {
    a_refused_generation_was_answered: full_response("404 Not Found", "no model") => UpstreamError::Answered { status: 404, .. },
    a_redirect_is_not_followed: full_response("307 Temporary Redirect", "") => UpstreamError::Answered { status: 307, .. },
    a_generation_without_an_answer_is_broken: String::new() => UpstreamError::Broken(_),
    a_generation_cut_within_the_head_is_broken: "HTTP/1.1 2".to_owned() => UpstreamError::Broken(_),
    a_status_of_zeros_is_no_answer: full_response("000 Odd", "{}") => UpstreamError::NoAnswer(_),
    bytes_are_no_answer: "\u{1}\u{2}\r\n\r\n".to_owned() => UpstreamError::NoAnswer(_),
}

#[tokio::test]
async fn calls_without_a_connection_were_never_sent() {
    let (_bound, url) = refusing_address();
    let engine = EngineClient::new(&url, TIMEOUT).unwrap();
    let error = engine.generate(&request()).await.err();
    assert!(
        matches!(error, Some(UpstreamError::NeverSent(_))),
        "{error:?}"
    );
    let plain = PlainClient::new(&url, TIMEOUT, 100).unwrap();
    let none: [(&str, &str); 0] = [];
    let error = plain.call("POST", "/x", &none, "").await.err();
    assert!(
        matches!(error, Some(UpstreamError::NeverSent(_))),
        "{error:?}"
    );
}

macro_rules! order_cases {
    ($($name:ident: $answer:expr => $want:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (url, served) = serve_once($answer).await;
            let order = FencedOrder { fence: 3, order: EngineOrder::Load { model: "m".into() } };
            let got = EngineClient::new(&url, TIMEOUT).unwrap().order(&order).await;
            assert_eq!(got, $want);
            served.await.unwrap();
        }
    )*};
}

order_cases! {
    an_order_is_taken: full_response("200 OK", "{}") => Ok(OrderOutcome::Accepted);
    an_old_order_is_fenced: full_response("409 Conflict", "{\"fence\":5}") => Ok(OrderOutcome::Fenced { fence: 5 });
}

#[test]
fn an_order_is_written_flat() {
    let order = FencedOrder {
        fence: 3,
        order: EngineOrder::Load { model: "m".into() },
    };
    let want = json!({"fence": 3, "order": "load", "model": "m"});
    assert_eq!(serde_json::to_value(&order).unwrap(), want);
}

#[tokio::test]
async fn a_load_report_with_unknown_and_missing_fields_is_read() {
    let (url, _served) = serve_once(full_response("200 OK", "{\"running\":2,\"odd\":1}")).await;
    let load = EngineClient::new(&url, TIMEOUT)
        .unwrap()
        .load()
        .await
        .unwrap();
    assert_eq!((load.running, load.waiting), (2, 0));
}

macro_rules! path_cases {
    ($($name:ident: $path:expr => $line:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (url, served) = serve_once(full_response("418 I'm a teapot", "body")).await;
            let client = PlainClient::new(&format!("{url}/base/"), TIMEOUT, 100).unwrap();
            let headers = [("x-kept", "1"), ("host", "elsewhere"), ("content-length", "9")];
            let got = client.call("POST", $path, &headers, "").await.unwrap();
            assert_eq!((got.status, &got.body[..]), (418, &b"body"[..]));
            assert_eq!(got.content_type.as_deref(), Some("text/plain"));
            let seen = served.await.unwrap();
            assert_eq!(seen.lines().next(), Some($line));
            assert!(seen.contains("x-kept: 1") && !seen.contains("elsewhere"), "{seen}");
        }
    )*};
}

path_cases! {
    a_path_goes_below_the_base: "/records/7?full=1" => "POST /base/records/7?full=1 HTTP/1.1";
    a_path_with_a_host_stays: "//other.host/x" => "POST /base/other.host/x HTTP/1.1";
    a_url_as_path_stays: "http://other.host/x" => "POST /base/http://other.host/x HTTP/1.1";
}

#[tokio::test]
async fn a_plain_answer_over_the_bound_is_unusable() {
    let (url, _served) = serve_once(full_response("200 OK", &"x".repeat(101))).await;
    let client = PlainClient::new(&url, TIMEOUT, 100).unwrap();
    let none: [(&str, &str); 0] = [];
    let error = client.call("GET", "/", &none, "").await.err();
    assert!(
        matches!(error, Some(UpstreamError::Unusable(_))),
        "{error:?}"
    );
}

#[tokio::test]
async fn a_plain_answer_cut_in_the_body_is_broken() {
    let (url, _served) = serve_once(head("200 OK", 50) + "half").await;
    let client = PlainClient::new(&url, TIMEOUT, 100).unwrap();
    let none: [(&str, &str); 0] = [];
    let error = client.call("GET", "/", &none, "").await.err();
    assert!(matches!(error, Some(UpstreamError::Broken(_))), "{error:?}");
}
