//! What the clients of upstreams take for the end of an answer, by framing, markers and numbers.

#[path = "support/answers.rs"]
mod answers;

use answers::{END, TIMEOUT, choice, numbered, request, serve_once};
use fireflyd::upstream::{Decoder, EngineClient, EngineEvent, FinishReason, PlainClient};
use futures_util::StreamExt;

/// What became of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Whole,
    Cancelled,
    Broken,
}

use Answer::{Broken, Cancelled, Whole};

fn judge(last: Option<&EngineEvent>) -> Answer {
    match last {
        Some(EngineEvent::Finished { reason, .. }) if *reason == FinishReason::Cancelled => {
            Cancelled
        }
        Some(EngineEvent::Finished { .. }) => Whole,
        other => {
            assert!(
                matches!(other, Some(EngineEvent::Broken { .. })),
                "{other:?}"
            );
            Broken
        }
    }
}

/// Decodes a body that ends after `text`.
fn decode(mut decoder: Decoder, text: &str) -> Answer {
    let mut events = decoder.feed(text.as_bytes());
    events.extend(decoder.end("ended"));
    judge(events.last())
}

/// Returns a token's event that states a reason.
fn token_with_reason(reason: &str) -> String {
    format!(
        "data: {{\"choices\":[{{\"delta\":{{\"content\":\"a\"}},\"finish_reason\":\"{reason}\"}}]}}\n\n"
    )
}

fn cancelled() -> String {
    END.replace("stop", "cancelled")
}

fn done_only() -> String {
    "data: [DONE]\n\n".to_owned()
}

macro_rules! number_cases {
    ($($name:ident: $decoder:expr, $text:expr => $want:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(decode($decoder, &$text), $want);
        }
    )*};
}

number_cases! {
    tokens_from_the_first_are_whole: Decoder::default(), numbered(0) + &numbered(1) + END => Whole;
    tokens_without_numbers_are_whole: Decoder::default(), choice("a") + &choice("b") + END => Whole;
    first_token_missing_breaks: Decoder::default(), numbered(1) + &numbered(2) + END => Broken;
    first_tokens_missing_breaks: Decoder::default(), numbered(7) + END => Broken;
    unnumbered_token_in_a_gap_breaks: Decoder::default(), numbered(0) + &choice("b") + &numbered(5) + END => Broken;
    unnumbered_token_before_a_gap_breaks: Decoder::default(), choice("a") + &numbered(5) + END => Broken;
    unnumbered_token_after_the_last_breaks: Decoder::default(), numbered(0) + &choice("b") + END => Broken;
    unnumbered_token_before_the_first_breaks: Decoder::default(), choice("a") + &numbered(0) + END => Broken;
    resumed_tokens_are_whole: Decoder::resumed(7), numbered(7) + &numbered(8) + END => Whole;
    resumed_tokens_without_numbers_break: Decoder::resumed(7), choice("a") + &choice("b") + END => Broken;
    resumed_unnumbered_token_in_a_gap_breaks: Decoder::resumed(7), numbered(7) + &choice("b") + &numbered(12) + END => Broken;
    resumed_at_the_end_is_whole: Decoder::resumed(7), END => Whole;
    resumed_before_the_first_without_numbers_is_whole: Decoder::resumed(0), choice("a") + END => Whole;
}

macro_rules! reason_cases {
    ($($name:ident: $text:expr => $want:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(decode(Decoder::default(), &$text), $want);
        }
    )*};
}

reason_cases! {
    empty_reason_is_none: token_with_reason("") + &token_with_reason("") => Broken;
    empty_reason_before_the_closing_event_is_none: token_with_reason("") + &done_only() => Broken;
    empty_reasons_before_a_reason: token_with_reason("") + &token_with_reason("stop") => Whole;
    reason_before_a_further_token_is_none: token_with_reason("stop") + &choice("b") => Broken;
    reason_before_a_further_token_and_the_closing_event_is_none:
        token_with_reason("length") + &choice("b") + &done_only() => Broken;
    reason_before_an_event_without_text:
        token_with_reason("stop") + &choice("") + &done_only() => Whole;
    reason_before_the_usage: token_with_reason("stop") + "data: {\"choices\":[],\"usage\":{}}\n\n" => Whole;
    reason_within_an_event: token_with_reason("stop").replace("\n\n", "\n") => Broken;
}

/// Framing of a body.
#[derive(Clone, Copy)]
enum Framing {
    Chunks,
    /// The connection closes before the last chunk.
    ChunksCut,
    /// The connection closes after the size of the last chunk.
    ChunksCutInTheLast,
    Length,
    /// The length that is stated isn't reached.
    LengthCut,
    Close,
    /// As HTTP/1.0.
    OldClose,
}

use Framing::{Chunks, ChunksCut, ChunksCutInTheLast, Close, Length, LengthCut, OldClose};

fn response(framing: Framing, body: &str) -> String {
    let head = |version: &str, field: &str| format!("HTTP/{version} 200 OK\r\n{field}\r\n\r\n");
    let chunk = format!("{:x}\r\n{body}\r\n", body.len());
    let in_chunks = head("1.1", "transfer-encoding: chunked") + &chunk;
    let with_length = |len: usize| head("1.1", &format!("content-length: {len}")) + body;
    match framing {
        Chunks => in_chunks + "0\r\n\r\n",
        ChunksCut => in_chunks,
        ChunksCutInTheLast => in_chunks + "0",
        Length => with_length(body.len()),
        LengthCut => with_length(body.len() + 1),
        Close => head("1.1", "connection: close") + body,
        OldClose => head("1.0", "content-type: text/event-stream") + body,
    }
}

macro_rules! engine_cases {
    ($($name:ident: $framing:expr, $body:expr => $want:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (url, served) = serve_once(response($framing, &$body)).await;
            let client = EngineClient::new(&url, TIMEOUT).unwrap();
            let stream = client.generate(&request()).await.unwrap();
            let events: Vec<EngineEvent> = tokio::time::timeout(TIMEOUT, stream.collect()).await.unwrap();
            assert_eq!(judge(events.last()), $want, "{events:?}");
            served.await.unwrap();
        }
    )*};
}

fn part() -> String {
    numbered(0) + &numbered(1)
}

engine_cases! {
    part_of_an_engine_with_its_last_chunk: Chunks, part() => Broken;
    part_of_an_engine_cut_in_chunks: ChunksCut, part() => Broken;
    part_of_an_engine_cut_in_its_last_chunk: ChunksCutInTheLast, part() => Broken;
    part_of_an_engine_of_stated_length: Length, part() => Broken;
    part_of_an_engine_cut_below_its_length: LengthCut, part() => Broken;
    part_of_an_engine_to_the_close: Close, part() => Broken;
    part_of_an_old_engine_to_the_close: OldClose, part() => Broken;
    nothing_of_an_engine_with_its_last_chunk: Chunks, ": \n\n" => Broken;
    nothing_of_an_engine_to_the_close: Close, "" => Broken;
    part_of_an_engine_within_an_event: Chunks, part() + "id: 2\ndata: {" => Broken;
    part_of_an_engine_with_the_closing_event_only: Chunks, part() + &done_only() => Broken;
    part_of_an_engine_to_the_close_with_the_closing_event_only: Close, part() + &done_only() => Broken;
    part_of_an_engine_marked_as_cancelled: Chunks, part() + &cancelled() => Cancelled;
    part_of_an_engine_of_stated_length_marked_as_cancelled: Length, part() + &cancelled() => Cancelled;
    whole_of_an_engine_with_its_last_chunk: Chunks, part() + END => Whole;
    whole_of_an_engine_cut_in_chunks_behind_its_end: ChunksCut, part() + END => Whole;
    whole_of_an_engine_of_stated_length: Length, part() + END => Whole;
    whole_of_an_engine_to_the_close: Close, part() + END => Whole;
    whole_of_an_old_engine_to_the_close: OldClose, part() + END => Whole;
}

macro_rules! plain_cases {
    ($($name:ident: $framing:expr => $want:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (url, served) = serve_once(response($framing, "body")).await;
            let client = PlainClient::new(&url, TIMEOUT, 100).unwrap();
            let none: [(&str, &str); 0] = [];
            let got = client.call("GET", "/", &none, "").await;
            let answer = if got.is_ok() { Whole } else { Broken };
            assert_eq!(answer, $want, "{got:?}");
            served.await.unwrap();
        }
    )*};
}

plain_cases! {
    call_with_its_last_chunk: Chunks => Whole;
    call_cut_in_chunks: ChunksCut => Broken;
    call_cut_in_its_last_chunk: ChunksCutInTheLast => Broken;
    call_of_stated_length: Length => Whole;
    call_cut_below_its_length: LengthCut => Broken;
}
