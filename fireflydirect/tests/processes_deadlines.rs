//! Entry processes whose upstreams stop work at the deadlines that they are given, and end their answers in order then.

mod support;

use reqwest::{RequestBuilder, StatusCode};
use standins::site::Framing::{self, *};
use standins::site::StoppedEnd::{self, *};
use standins::site::{AnswerFault, Play, RunEnd};
use std::time::Duration;
use support::{Site, outcome, until, whole_stream};

/// Events of a stream that outlasts its deadline.
const LONG: u64 = 400;

/// Events of a stream that ends before its deadline.
const SHORT: u64 = 30;

/// Deadline of a caller.
const DEADLINE: Duration = Duration::from_millis(1_600);

/// What an upstream may be given beyond the caller's deadline.
const MAX_MARGIN: Duration = Duration::from_millis(500);

/// Calls of each kind, which end at times of their own.
const CALLS: usize = 4;

/// Ends in order of bodies in chunks.
const IN_CHUNKS: &[(Framing, StoppedEnd)] = &[
    (Chunked, LastChunk),
    (Chunked, LastChunkAndClose),
    (Chunked, Trailers),
    (Chunked, Extension),
    (CodedChunks, LastChunk),
    (ChunkedBesideLength, LastChunk),
];

/// Ends in order of bodies that end with their connection.
const UNTIL_CLOSE: &[(Framing, StoppedEnd)] = &[
    (UntilClose, Close),
    (UntilClose, HalfClose),
    (CodedUntilClose, Close),
    (OldUntilClose, Close),
    (OldUntilClose, HalfClose),
];

/// Defines test cases of streams that go on past their deadline, one with each of some ends.
macro_rules! streams {
    ($($name:ident($ends:ident, $path:literal);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let site = site().await;
                let bodies = read_streams(&site, $path, $ends, LONG, DEADLINE).await;
                are_cut(&site, &bodies).await;
                site.check();
            }
        )+
    };
}

/// Defines test cases of plain calls that go on past their deadline, some with each of some ends.
macro_rules! calls {
    ($($name:ident($ends:ident, $method:literal, $path:literal);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let site = site().await;
                are_refused(&site, $method, $path, $ends).await;
                site.check();
            }
        )+
    };
}

/// Starts a site whose upstreams stop at their deadlines.
async fn site() -> Site {
    let site = Site::start(1).await;
    for upstream in site.engines.iter().chain(&site.plains) {
        upstream.set_fault(AnswerFault::StopAtDeadline);
    }
    site
}

/// Has all upstreams end the answer to a request in some way.
fn end(site: &Site, id: &str, (framing, own_end): (Framing, StoppedEnd)) {
    let play = Play {
        framing,
        padding: [0, 0],
        head_delay: Duration::ZERO,
        stopped_end: Close,
        own_end,
        holds_end: false,
        close_delay: Duration::ZERO,
        answers: &[],
        after: Duration::ZERO,
    };
    site.record.play(id, play);
}

fn with_deadline(req: RequestBuilder, deadline: Duration) -> RequestBuilder {
    let value = deadline.as_millis().to_string().parse().unwrap();
    req.headers(
        [("x-deadline-ms".parse().unwrap(), value)]
            .into_iter()
            .collect(),
    )
}

/// Reads streams, one with each end; returns their ids and bodies, `None` for one that was cut.
async fn read_streams(
    site: &Site,
    path: &str,
    ends: &[(Framing, StoppedEnd)],
    events: u64,
    deadline: Duration,
) -> Vec<(String, Option<String>)> {
    let reading = ends.iter().map(|ends| async {
        let id = site.id();
        end(site, &id, *ends);
        let req = with_deadline(site.stream(0, path, events, &id), deadline);
        let answer = req.send().await.unwrap();
        assert_eq!(outcome(&answer).0, 200);
        (id, answer.text().await.ok())
    });
    futures_util::future::join_all(reading).await
}

/// Checks that streams were cut at their deadlines.
async fn are_cut(site: &Site, bodies: &[(String, Option<String>)]) {
    let whole = bodies.iter().filter(|(_, body)| body.is_some()).count();
    assert_eq!(whole, 0, "{bodies:?}\n{}", site.log(0));
    until("the cuts", || async {
        site.log(0).matches("deadline exceeded").count() == bodies.len()
    })
    .await;
    for (id, _) in bodies {
        assert_eq!(site.record.runs_of(id).len(), 1, "{}", site.log(0));
    }
}

/// Checks that callers get no part of an answer that ends at its deadline.
async fn are_refused(site: &Site, method: &str, path: &str, ends: &[(Framing, StoppedEnd)]) {
    let ends = ends.iter().flat_map(|end| [end; CALLS]);
    let calling = ends.map(|ends| async {
        let id = site.id();
        end(site, &id, *ends);
        let answer = with_deadline(site.call(0, method, path, &id), DEADLINE);
        let answer = answer.send().await.unwrap();
        let run = site.record.runs_of(&id).remove(0);
        (outcome(&answer), answer.text().await, run.end.0)
    });
    for (outcome, body, end) in futures_util::future::join_all(calling).await {
        let is_timeout = outcome == (StatusCode::GATEWAY_TIMEOUT.as_u16(), Some(4004));
        assert!(is_timeout, "{outcome:?} {body:?} {end:?}\n{}", site.log(0));
    }
}

streams! {
    chunked_streams_that_end_at_their_deadline_are_cut(IN_CHUNKS, "/log/a");
    streams_that_end_with_their_connection_at_their_deadline_are_cut(UNTIL_CLOSE, "/log/a");
    resumable_chunked_streams_that_end_at_their_deadline_are_cut(IN_CHUNKS, "/grade/a");
    resumable_streams_that_end_with_their_connection_at_their_deadline_are_cut(UNTIL_CLOSE, "/grade/a");
}

calls! {
    chunked_answers_that_end_at_their_deadline_are_no_whole_ones(IN_CHUNKS, "GET", "/fetch/a");
    answers_that_end_with_their_connection_at_their_deadline_are_no_whole_ones(UNTIL_CLOSE, "GET", "/fetch/a");
    chunked_answers_that_may_run_once_and_end_at_their_deadline_are_no_whole_ones(IN_CHUNKS, "POST", "/file/a");
    answers_that_may_run_once_and_end_at_their_deadline_are_no_whole_ones(UNTIL_CLOSE, "POST", "/file/a");
}

support::cases! {
    streams_that_end_before_their_deadline_are_whole(site: 1) {
        for engine in &site.engines {
            engine.set_fault(AnswerFault::StopAtDeadline);
        }
        for ends in [IN_CHUNKS, UNTIL_CLOSE] {
            let deadline = Duration::from_secs(20);
            for (id, body) in read_streams(&site, "/log/a", ends, SHORT, deadline).await {
                assert_eq!(body, Some(whole_stream(&id, SHORT)));
                assert_eq!(site.record.runs_of(&id)[0].end.0, RunEnd::Complete);
            }
        }
    }

    upstreams_get_no_more_time_than_the_margin_beyond_the_deadline(site: 1) {
        let id = site.id();
        let answer = site.stream(0, "/log/a", SHORT, &id).send().await.unwrap();
        assert_eq!(answer.text().await.unwrap(), whole_stream(&id, SHORT));
        let deadline = Duration::from_secs(20);
        assert!(site.record.times_given(&id)[0] <= deadline + MAX_MARGIN);
        let id = site.id();
        let answer = site.call(0, "GET", "/fetch/a", &id).send().await.unwrap();
        assert_eq!(outcome(&answer).0, 200);
        assert!(site.record.times_given(&id)[0] <= deadline);
    }
}
