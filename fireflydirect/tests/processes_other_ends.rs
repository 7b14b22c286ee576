//! Entry processes beside ends of other bodies: answers of plain services, streams to callers that read them raw, and streams
//! taken up at another entry than the one that orders their first run to stop.

mod support;

use standins::site::Framing::{self, *};
use standins::site::StopAnswer::{self, *};
use standins::site::StoppedEnd::{self, *};
use standins::site::{AnswerFault, Play, last_event};
use std::time::Duration;
use support::streams::list;
use support::{KEY, Site, outcome, until, whole_stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Events of a stream that outlasts the notice of its engine, which stops its run.
const LONG: u64 = 200;

/// Time from a notice after which runs that begin are stopped at once, of which there is no copy then.
const PAST_STOP: Duration = Duration::from_millis(1_200);

/// What ends the body of a caller's answer in chunks.
const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

/// Defines test cases of a plain service's answers with a framing and an end.
macro_rules! plain {
    ($($name:ident($framing:ident, $end:ident) => $check:ident;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let site = Site::start(1).await;
                for (method, path) in [("GET", "/fetch/a"), ("POST", "/file/a")] {
                    $check(&site, method, path, ended(($framing, $end), $end, &[])).await;
                }
                site.check();
            }
        )+
    };
}

/// Defines test cases of a stopped stream to a caller that speaks a version of HTTP and reads it raw.
macro_rules! raw {
    ($($name:ident($version:literal, $framing:ident, $end:ident) => $check:ident;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let site = Site::start(1).await;
                $check(&site, $version, ($framing, $end)).await;
                site.check();
            }
        )+
    };
}

/// Defines test cases of a stream that is taken up at another entry, while its first one orders its run to stop.
macro_rules! taken_up {
    ($($name:ident($framing:ident, $end:ident);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let site = Site::start(2).await;
                taken_up_is_whole(&site, ended(($framing, $end), $end, &[])).await;
                site.check();
            }
        )+
    };
}

const fn ended(
    (framing, stopped_end): (Framing, StoppedEnd),
    own_end: StoppedEnd,
    answers: &'static [StopAnswer],
) -> Play {
    Play {
        framing,
        padding: [0, 0],
        head_delay: Duration::ZERO,
        stopped_end,
        own_end,
        holds_end: false,
        close_delay: Duration::ZERO,
        answers,
        after: Duration::ZERO,
    }
}

async fn is_whole(site: &Site, method: &str, path: &str, play: Play) {
    let id = site.id();
    site.record.play(&id, play);
    let answer = site.call(0, method, path, &id).send().await.unwrap();
    assert_eq!(outcome(&answer).0, 200);
    let body = answer.text().await.unwrap();
    assert_eq!(body, format!("{method} {path} for {id}"));
    assert_eq!(site.record.runs_of(&id).len(), 1);
}

async fn is_none(site: &Site, method: &str, path: &str, play: Play) {
    let id = site.id();
    site.record.play(&id, play);
    let answer = site.call(0, method, path, &id).send().await.unwrap();
    assert_eq!(outcome(&answer), (502, Some(4001)), "{path}");
}

/// Reads all that a connection brings for a stream; the error if it ends with one.
async fn read_raw(site: &Site, version: &str, id: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(site.callers_of(0)).await?;
    let request = format!(
        "POST /log/a?events={LONG} {version}\r\nHost: site.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 20000\r\n\
         X-Credential: {KEY}\r\nX-Model: m\r\nX-Token-Usage: 900,60\r\nX-Prompt-Prefix: c3:900\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

async fn goes_on_raw(site: &Site, version: &str, end: (Framing, StoppedEnd)) {
    let id = site.id();
    site.record.play(&id, ended(end, LastChunk, &[]));
    let leave = async { list(site, site.engine_of(&id).await, "draining") };
    let (answer, ()) = futures_util::future::join(read_raw(site, version, &id), leave).await;
    let answer = answer.unwrap();
    let events: Vec<u64> = answer
        .lines()
        .filter_map(|l| l.strip_prefix("id: ")?.parse().ok())
        .collect();
    let all: Vec<u64> = (1..=LONG).collect();
    assert_eq!(events, all, "{}", site.log(0));
    let in_chunks = answer.ends_with(LAST_CHUNK);
    assert_eq!(in_chunks, version == "HTTP/1.1");
    assert_eq!(site.record.runs_of(&id).len(), 2);
}

async fn is_cut_raw(site: &Site, version: &str, end: (Framing, StoppedEnd)) {
    let id = site.id();
    site.record.play(&id, ended(end, LastChunk, &[KeptUnnamed]));
    for engine in &site.engines {
        engine.set_fault(AnswerFault::HoldHead);
    }
    let leave = async {
        list(site, site.engine_of(&id).await, "draining");
        until("the notice", || async {
            site.log(0).contains("event=upstream_leaves")
        })
        .await;
        tokio::time::sleep(PAST_STOP).await;
        for engine in &site.engines {
            engine.set_fault(AnswerFault::None);
        }
    };
    let (answer, ()) = futures_util::future::join(read_raw(site, version, &id), leave).await;
    match answer {
        Ok(answer) => {
            assert_eq!(version, "HTTP/1.1", "a part looked whole: {answer}");
            assert!(
                answer.contains("Transfer-Encoding: chunked")
                    || answer.contains("transfer-encoding: chunked")
            );
            assert!(
                !answer.ends_with(LAST_CHUNK),
                "a part looked whole: {answer}"
            );
        }
        Err(e) => assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset),
    }
    until("the cut", || async {
        site.log(0).contains("event=stream_cut")
    })
    .await;
}

async fn taken_up_is_whole(site: &Site, play: Play) {
    let first = site.id();
    site.record.play(&first, play);
    let req = site.large_prompt(0, "/grade/a", LONG, &first);
    let mut answer = req.send().await.unwrap();
    let mut begun = String::new();
    while last_event(&begun).unwrap_or(0) < 5 {
        begun.push_str(&String::from_utf8_lossy(
            &answer.chunk().await.unwrap().unwrap(),
        ));
    }
    let engine = site.engine_of(&first).await;
    let second = site.id();
    site.record.play(&second, play);
    let last = last_event(&begun).unwrap();
    let rest = async {
        let req = site.large_prompt(1, "/grade/a", LONG, &second);
        let req = req.header("Last-Event-Id", last.to_string());
        let answer = req.header("Resumes", &first).send().await;
        answer.unwrap().text().await.ok()
    };
    let leave = async {
        site.engine_of(&second).await;
        list(site, engine, "draining");
        until("the order", || async {
            site.log(0).contains("event=stop_ordered")
        })
        .await;
        drop(answer);
    };
    let (rest, ()) = futures_util::future::join(rest, leave).await;
    let rest = rest.unwrap_or_else(|| "broken off".to_owned());
    let whole = whole_stream(&second, LONG);
    assert!(whole.ends_with(&rest), "{rest}\n{}", site.log(1));
    let first_line = format!("id: {}\n", last + 1);
    assert!(rest.starts_with(&first_line), "{rest}\n{}", site.log(1));
}

plain! {
    plain_chunks_are_whole(Chunked, LastChunk) => is_whole;
    plain_chunks_whose_connection_closes_are_whole(Chunked, LastChunkAndClose) => is_whole;
    plain_chunks_with_trailers_are_whole(Chunked, Trailers) => is_whole;
    plain_chunks_with_an_extension_are_whole(Chunked, Extension) => is_whole;
    plain_coded_chunks_are_whole(CodedChunks, LastChunk) => is_whole;
    plain_chunks_beside_a_length_are_whole(ChunkedBesideLength, LastChunk) => is_whole;
    plain_answer_with_a_length_that_half_closes_is_whole(Length, HalfClose) => is_whole;
    plain_answer_of_an_old_service_is_whole(OldLength, Close) => is_whole;
    plain_answer_until_the_close_is_whole(UntilClose, Close) => is_whole;
    plain_answer_until_half_a_close_is_whole(UntilClose, HalfClose) => is_whole;
    plain_coded_answer_until_the_close_is_whole(CodedUntilClose, Close) => is_whole;
    plain_answer_of_an_old_service_until_the_close_is_whole(OldUntilClose, Close) => is_whole;
    plain_chunks_without_the_last_one_are_none(Chunked, Close) => is_none;
    plain_chunks_that_half_close_are_none(Chunked, HalfClose) => is_none;
    plain_chunks_cut_within_a_size_are_none(Chunked, WithinSize) => is_none;
    plain_chunks_cut_within_a_chunk_are_none(Chunked, WithinChunk) => is_none;
    plain_chunks_cut_within_the_last_one_are_none(Chunked, WithinLastChunk) => is_none;
    plain_chunks_cut_within_the_last_line_are_none(Chunked, WithinLastLine) => is_none;
    plain_chunks_cut_within_their_trailers_are_none(Chunked, WithinTrailers) => is_none;
    plain_chunks_beside_a_length_without_the_last_one_are_none(ChunkedBesideLength, Close) => is_none;
}

raw! {
    stopped_chunks_are_whole_to_a_caller("HTTP/1.1", Chunked, LastChunk) => goes_on_raw;
    stopped_chunks_are_whole_to_a_caller_without_chunks("HTTP/1.0", Chunked, LastChunk) => goes_on_raw;
    stopped_stated_stream_is_whole_to_a_caller("HTTP/1.1", Length, Close) => goes_on_raw;
    stopped_stream_is_whole_to_a_caller_without_chunks("HTTP/1.0", UntilClose, Close) => goes_on_raw;
    cut_chunks_are_no_whole_ones_to_a_caller("HTTP/1.1", Chunked, LastChunk) => is_cut_raw;
    cut_chunks_are_no_whole_ones_to_a_caller_without_chunks("HTTP/1.0", Chunked, LastChunk) => is_cut_raw;
    cut_stated_stream_is_no_whole_one_to_a_caller("HTTP/1.1", Length, Close) => is_cut_raw;
    cut_stated_stream_is_no_whole_one_to_a_caller_without_chunks("HTTP/1.0", Length, Close) => is_cut_raw;
    cut_stream_is_no_whole_one_to_a_caller("HTTP/1.1", UntilClose, Close) => is_cut_raw;
    cut_stream_is_no_whole_one_to_a_caller_without_chunks("HTTP/1.0", OldUntilClose, Close) => is_cut_raw;
}

taken_up! {
    chunks_taken_up_elsewhere_are_not_stopped_by_their_first_entry(Chunked, LastChunk);
    chunks_with_trailers_taken_up_elsewhere_are_not_stopped_by_their_first_entry(Chunked, Trailers);
    stream_taken_up_elsewhere_is_not_stopped_by_its_first_entry(OldUntilClose, Close);
}
