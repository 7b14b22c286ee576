//! Entry processes that are stopped while requests come late in the grace period.

mod support;

use reqwest::RequestBuilder;
use serde_json::json;
use standins::site::AnswerFault;
use std::time::Duration;
use support::{KEY, Site, cases, outcome, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Code of what a stopping process refuses.
const LEAVING: (u16, Option<u32>) = (503, Some(2013));

/// Code of what it has passed on without an outcome.
const UNKNOWN: (u16, Option<u32>) = (502, Some(4001));

/// Failures that would hide how long answers take.
const FAILURES: usize = 40;

/// Interval between two calls throughout a stop.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the entry of a site again with another grace period.
async fn set_grace(site: &mut Site, seconds: f64) {
    site.entries[0].restart_with("/bounds/grace_s", json!(seconds));
    site.until_ready(0).await;
}

/// Stops the entry and waits for the time from then on.
async fn stop(site: &Site, wait: Duration) {
    site.entries[0].signal("TERM");
    until("the end of readiness", || async { !site.is_ready(0).await }).await;
    tokio::time::sleep(wait).await;
}

/// Waits until an upstream works on a request.
async fn until_run(site: &Site, id: &str) {
    until("the run", || async { !site.record.runs_of(id).is_empty() }).await;
}

/// Calls a service that needs some time; returns the outcome, none if there is no answer.
async fn call(
    site: &Site,
    method: &str,
    path: &str,
    work_ms: u64,
    id: &str,
) -> Option<(u16, Option<u32>)> {
    let path = format!("{path}?work_ms={work_ms}");
    let answer = site.call(0, method, &path, id).send().await.ok()?;
    let outcome = outcome(&answer);
    answer.text().await.ok()?;
    Some(outcome)
}

/// Lets the entry learn how long calls of a route take.
async fn learn(site: &Site, method: &str, path: &str, work_ms: u64) {
    let id = site.id();
    assert_eq!(
        call(site, method, path, work_ms, &id).await,
        Some((200, None))
    );
}

/// Builds a generation that outlasts any grace period.
fn long_stream(site: &Site, path: &str, id: &str) -> RequestBuilder {
    site.stream(0, path, 1_500, id)
        .header("X-Token-Usage", "500,20000")
        .header("X-Length-Hint", "9000")
        .header("X-Prompt-Prefix", "a1:80,b2:420")
}

/// Sends a head, and half a body; returns the connection on which the rest is due.
async fn begin_body(site: &Site, id: &str, query: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.callers_of(0)).await.unwrap();
    let head = format!(
        "POST /file/a{query} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 20000\r\nX-Credential: {KEY}\r\nContent-Length: 6\r\n\r\npro"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Reads an answer up to the end of its connection, which may be a reset.
async fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    // What came before a reset is the answer.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends calls of these times throughout a stop; one that gets no answer wasn't passed on.
async fn check_whole_stop(site: &mut Site, grace: f64, work_ms: u64) {
    set_grace(site, grace).await;
    learn(site, "POST", "/file/a", work_ms).await;
    site.entries[0].signal("TERM");
    let mut calls = Vec::new();
    while site.entries[0].is_running() {
        let id = site.id();
        let path = format!("/file/a?work_ms={work_ms}");
        let sent = site.call(0, "POST", &path, &id).send();
        let answer = async move { sent.await.ok().map(|answer| outcome(&answer)) };
        calls.push((id, tokio::spawn(answer)));
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    for (id, answer) in calls {
        let is_served = match answer.await.unwrap() {
            Some((200, None)) => true,
            Some(outcome) => {
                assert_eq!(outcome, LEAVING, "{}", site.log(0));
                false
            }
            None => false,
        };
        let runs = site.record.runs_of(&id).len();
        assert_eq!(runs, usize::from(is_served), "{id} {}", site.log(0));
    }
}

cases! {
    late_call_that_may_not_be_repeated_and_outlasts_the_grace_is_refused(site: 1) {
        set_grace(&mut site, 6.0).await;
        learn(&site, "POST", "/file/a", 4_000).await;
        stop(&site, Duration::from_millis(2_200)).await;
        let id = site.id();
        assert_eq!(call(&site, "POST", "/file/a", 4_000, &id).await, Some(LEAVING));
        assert_eq!(site.record.runs_of(&id).len(), 0, "{}", site.log(0));
        site.entries[0].wait_for_exit().await;
    }

    late_call_that_outlasts_the_grace_is_refused_after_quick_failures(site: 1) {
        set_grace(&mut site, 6.0).await;
        learn(&site, "POST", "/file/a", 4_000).await;
        for plain in &site.plains {
            plain.set_fault(AnswerFault::Error);
        }
        for _ in 0..FAILURES {
            let id = site.id();
            assert_eq!(call(&site, "POST", "/file/a", 5, &id).await, Some((500, None)));
        }
        for plain in &site.plains {
            plain.set_fault(AnswerFault::None);
        }
        stop(&site, Duration::from_millis(2_200)).await;
        let id = site.id();
        assert_eq!(call(&site, "POST", "/file/a", 4_000, &id).await, Some(LEAVING), "{}", site.log(0));
        site.entries[0].wait_for_exit().await;
    }

    late_call_that_ends_within_the_grace_is_served(site: 1) {
        learn(&site, "POST", "/file/a", 2_000).await;
        stop(&site, Duration::from_secs(1)).await;
        let id = site.id();
        assert_eq!(call(&site, "POST", "/file/a", 2_000, &id).await, Some((200, None)));
        site.entries[0].wait_for_exit().await;
    }

    call_that_is_still_running_at_the_end_of_the_grace_gets_an_answer(site: 1) {
        set_grace(&mut site, 3.0).await;
        let id = site.id();
        let stopping = async {
            until_run(&site, &id).await;
            stop(&site, Duration::ZERO).await;
        };
        let (answer, ()) = tokio::join!(call(&site, "POST", "/file/a", 9_000, &id), stopping);
        assert_eq!(answer, Some(UNKNOWN), "{}", site.log(0));
        site.entries[0].wait_for_exit().await;
    }

    entry_with_a_short_grace_refuses_before_its_end_and_exits_by_itself(site: 1) {
        set_grace(&mut site, 2.0).await;
        let first = site.id();
        let early = call(&site, "POST", "/file/a", 9_000, &first);
        let late = async {
            until_run(&site, &first).await;
            stop(&site, Duration::ZERO).await;
            until("a refusal", || async {
                call(&site, "POST", "/file/a", 5, &site.id()).await == Some(LEAVING)
            })
            .await;
        };
        let (early, ()) = tokio::join!(early, late);
        assert_eq!(early, Some(UNKNOWN), "{}", site.log(0));
        until("the exit", || async { site.log(0).contains("event=stopped") }).await;
        site.entries[0].wait_for_exit().await;
    }

    request_whose_body_ends_late_in_the_grace_is_not_passed_on(site: 1) {
        learn(&site, "POST", "/file/a", 2_500).await;
        let id = site.id();
        let mut stream = begin_body(&site, &id, "?work_ms=2500").await;
        stop(&site, Duration::from_secs(6)).await;
        // The connection may have been closed after the refusal.
        let _ = stream.write_all(b"mpt").await;
        let answer = read_to_end(stream).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer} {}", site.log(0));
        assert_eq!(site.record.runs_of(&id).len(), 0, "{}", site.log(0));
        site.entries[0].wait_for_exit().await;
    }

    request_whose_body_never_ends_gets_an_answer(site: 1) {
        set_grace(&mut site, 3.0).await;
        let id = site.id();
        let stream = begin_body(&site, &id, "").await;
        stop(&site, Duration::ZERO).await;
        let answer = read_to_end(stream).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer} {}", site.log(0));
        site.entries[0].wait_for_exit().await;
    }

    late_stream_that_outlasts_the_grace_and_can_t_be_resumed_is_refused(site: 1) {
        let learnt = site.generation(0, "/log/a", 400, &site.id());
        learnt.send().await.unwrap().text().await.unwrap();
        stop(&site, Duration::from_millis(1_500)).await;
        let id = site.id();
        let answer = long_stream(&site, "/log/a", &id).send().await.unwrap();
        assert_eq!(outcome(&answer), LEAVING, "{}", site.log(0));
        assert_eq!(site.record.runs_of(&id).len(), 0);
        site.entries[0].wait_for_exit().await;
    }

    late_stream_that_outlasts_the_grace_and_can_be_resumed_is_passed_on(site: 1) {
        let learnt = site.generation(0, "/grade/a", 400, &site.id());
        learnt.send().await.unwrap().text().await.unwrap();
        stop(&site, Duration::from_millis(500)).await;
        let answer = long_stream(&site, "/grade/a", &site.id()).send().await.unwrap();
        assert_eq!(outcome(&answer), (200, None), "{}", site.log(0));
        drop(answer);
        site.entries[0].wait_for_exit().await;
    }

    second_attempt_that_would_outlast_the_grace_is_not_begun(site: 1) {
        learn(&site, "GET", "/fetch/a", 4_000).await;
        for plain in &site.plains {
            plain.set_fault(AnswerFault::Hang);
        }
        stop(&site, Duration::ZERO).await;
        let id = site.id();
        assert_eq!(call(&site, "GET", "/fetch/a", 5, &id).await, Some(UNKNOWN));
        assert_eq!(site.record.runs_of(&id).len(), 1, "{}", site.log(0));
        site.entries[0].wait_for_exit().await;
    }

    request_behind_another_one_is_not_passed_on_after_the_stop(site: 1) {
        let (first, second) = (site.id(), site.id());
        let mut stream = TcpStream::connect(site.callers_of(0)).await.unwrap();
        let head = |id: &str| format!(
            "GET /fetch/a?work_ms=1000 HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 20000\r\nX-Credential: {KEY}\r\n\r\n"
        );
        let both = head(&first) + &head(&second);
        stream.write_all(both.as_bytes()).await.unwrap();
        until_run(&site, &first).await;
        stop(&site, Duration::ZERO).await;
        let answer = read_to_end(stream).await;
        assert!(answer.contains(&format!("for {first}")), "{answer}");
        assert_eq!(site.record.runs_of(&second).len(), 0, "{}", site.log(0));
        site.entries[0].wait_for_exit().await;
    }

    calls_throughout_a_grace_of_2_s_are_served_or_not_run(site: 1) {
        check_whole_stop(&mut site, 2.0, 700).await;
    }

    calls_throughout_a_grace_of_3_s_are_served_or_not_run(site: 1) {
        check_whole_stop(&mut site, 3.0, 700).await;
    }

    calls_throughout_a_grace_of_5_s_are_served_or_not_run(site: 1) {
        check_whole_stop(&mut site, 5.0, 2_700).await;
    }
}
