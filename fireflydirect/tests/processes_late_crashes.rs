//! Entry processes before upstreams that a request crashes at some point of its answer, and sound requests beside.

mod support;

use futures_util::future::join_all;
use reqwest::RequestBuilder;
use standins::site::{AnswerFault, Loss, RunEnd};
use std::time::{Duration, Instant};
use support::crashes::{lines_about, site_of, until_informed};
use support::{Site, check_runs, until, whole_stream};

/// Path of the stream that crashes its upstreams, and of the same where it may be resumed.
const BAD: &str = "/log/bad";
const RESUMABLE: &str = "/grade/bad";

/// Upstreams that a request may crash before it is known to; set by the users.
const CRASHES: usize = 3;

/// Time after these within which it may still arrive; set by the users.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Later arrivals at upstreams that are allowed; set by the users.
const MAX_LATE: usize = 3;

/// Interval at which the request comes, and time for which it does.
const INTERVAL: Duration = Duration::from_millis(600);
const COMES_FOR: Duration = Duration::from_secs(10);

/// Events of an answer.
const EVENTS: u64 = 200;

/// Entries and model engines of a site.
const ENTRIES: u8 = 3;
const ENGINES: u8 = 30;

/// Time from the end of an upstream's connections to the closing of its port.
const PORT_DELAY: Duration = Duration::from_millis(30);

/// Callers who send popular streams, the events of each, and the time for which they do.
const CALLERS: usize = 12;
const POPULAR_EVENTS: u64 = 60;
const POPULAR_FOR: Duration = Duration::from_secs(5);

/// Defines test cases of a request that crashes each upstream after a number of events, run by run; its port may close
/// some time after its connections.
macro_rules! crashing {
    ($($name:ident($req:ident, $path:ident, $events:expr $(, $port_delay:ident)?);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let site = site_of(ENGINES, ENTRIES).await;
                $(site.record.close_ports_after($port_delay);)?
                site.record.crash_after($path, &$events);
                come_again(&site, |entry, id| site.$req(entry, $path, EVENTS, id)).await;
                check_late(&site, $path);
                site.check();
            }
        )+
    };
}

/// Defines test cases of streams that many callers send alike, while engines are lost at an interval.
macro_rules! popular {
    ($($name:ident($req:ident, $path:literal, $lost:literal, $interval:expr $(, $port_delay:ident)?);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let site = site_of(ENGINES, ENTRIES).await;
                $(site.record.close_ports_after($port_delay);)?
                let end = Instant::now() + POPULAR_FOR;
                let req = |entry: usize, id: &str| site.$req(entry, $path, POPULAR_EVENTS, id);
                let callers = (0..CALLERS).map(|caller| call_alike(&site, caller, &req, end));
                let faults = async {
                    tokio::time::sleep(Duration::from_millis(500)).await;
                    for engine in 0..$lost {
                        site.engines[engine].kill();
                        tokio::time::sleep($interval).await;
                    }
                };
                let (refused, ()) = tokio::join!(join_all(callers), faults);
                assert_eq!(refused.iter().sum::<usize>(), 0, "{}", lines_about(&site, 0));
                site.check();
            }
        )+
    };
}

/// Sends a request to one entry after another, again and again.
async fn come_again(site: &Site, req: impl Fn(usize, &str) -> RequestBuilder) {
    let end = Instant::now() + COMES_FOR;
    let mut answers = Vec::new();
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let sent = req(number % site.entries.len(), &site.id()).send();
        answers.push(tokio::spawn(async move {
            if let Ok(answer) = sent.await {
                // It breaks off as its upstream crashes.
                let _ = answer.text().await;
            }
        }));
        tokio::time::sleep(INTERVAL).await;
    }
    join_all(answers).await;
}

/// Checks that the request doesn't arrive any more once it has crashed enough upstreams.
fn check_late(site: &Site, path: &str) {
    let runs = site.record.runs_on(path);
    let crashed = runs.iter().filter(|r| r.end.0 == RunEnd::Crashed);
    let mut crashed: Vec<Instant> = crashed.map(|r| r.end.1).collect();
    crashed.sort_unstable();
    let third = crashed.get(CRASHES - 1).expect("too few crashes");
    let late = runs.iter().filter(|r| r.began > *third + STABLE_WINDOW);
    let late = late.count();
    let seen: Vec<String> = (0..site.entries.len())
        .map(|e| lines_about(site, e))
        .collect();
    let all = crashed.len();
    assert!(late <= MAX_LATE, "{late} late, {all} crashes {seen:#?}");
}

/// Sends the same stream again and again; returns how often it was refused for good.
async fn call_alike(
    site: &Site,
    caller: usize,
    req: impl Fn(usize, &str) -> RequestBuilder,
    end: Instant,
) -> usize {
    let mut refused = 0;
    while Instant::now() < end {
        let Ok(answer) = req(caller % site.entries.len(), &site.id()).send().await else {
            continue;
        };
        let wait = answer.headers().get("retry-after");
        let wait = wait.and_then(|w| w.to_str().ok()?.parse().ok());
        refused += usize::from(wait.is_some_and(|w: f64| w > 60.0));
        // Without a copy a stream that may run once breaks off with its engine.
        let _ = answer.text().await;
    }
    refused
}

crashing! {
    request_that_crashes_after_its_first_events_is_refused(stream, BAD, [4]);
    request_that_crashes_in_its_middle_is_refused(stream, BAD, [40]);
    request_that_crashes_late_in_a_long_answer_is_refused(stream, BAD, [150]);
    request_that_crashes_at_its_last_event_is_refused(stream, BAD, [199]);
    request_that_crashes_at_varying_points_is_refused(stream, BAD, [4, 90, 30, 150, 60]);
    request_that_crashes_under_its_copies_is_refused(generation, BAD, [40]);
    request_that_crashes_at_varying_points_of_its_copies_is_refused(generation, BAD, [60, 4, 30]);
    resumable_request_that_crashes_in_its_middle_is_refused(stream, RESUMABLE, [40]);
    resumable_request_that_crashes_late_in_a_long_answer_is_refused(stream, RESUMABLE, [150]);
    resumable_request_that_crashes_under_its_copies_is_refused(generation, RESUMABLE, [40]);
    request_that_crashes_upstreams_whose_ports_close_late_is_refused(stream, BAD, [40], PORT_DELAY);
    request_that_crashes_upstreams_whose_ports_close_late_as_it_begins_is_refused(stream, BAD, [0], PORT_DELAY);
    request_that_crashes_upstreams_whose_ports_close_late_under_its_copies_is_refused(generation, BAD, [40], PORT_DELAY);
    resumable_request_that_crashes_upstreams_whose_ports_close_late_is_refused(stream, RESUMABLE, [40], PORT_DELAY);
}

popular! {
    popular_streams_are_served_while_engines_are_lost_in_turn(stream, "/log/popular", 12, Duration::from_millis(300));
    popular_streams_are_served_while_engines_are_lost_at_once(stream, "/log/popular", 12, Duration::ZERO);
    popular_streams_with_copies_are_served_while_engines_are_lost_in_turn(generation, "/log/popular", 12, Duration::from_millis(300));
    popular_resumable_streams_are_served_while_engines_are_lost_in_turn(stream, "/grade/popular", 12, Duration::from_millis(300));
    popular_resumable_streams_are_served_while_engines_are_lost_at_once(stream, "/grade/popular", 12, Duration::ZERO);
    popular_streams_are_served_while_engines_whose_ports_close_late_are_lost_in_turn(stream, "/log/popular", 12, Duration::from_millis(300), PORT_DELAY);
    popular_resumable_streams_are_served_while_engines_whose_ports_close_late_are_lost_at_once(stream, "/grade/popular", 12, Duration::ZERO, PORT_DELAY);
}

/// Sends a stream that may be resumed; returns its status and whether it came whole.
async fn resumable(site: &Site, events: u64) -> (u16, bool) {
    let id = site.id();
    let answer = site.stream(0, RESUMABLE, events, &id).send().await.unwrap();
    let status = answer.status().as_u16();
    let body = answer.text().await.unwrap_or_default();
    (status, body == whole_stream(&id, events))
}

support::cases! {
    answer_made_in_parts_by_runs_that_live_clears_no_crash(site: 1) {
        for number in 2..7 {
            site.add_engine(number).await;
        }
        until_informed(&site, 0).await;
        site.record.crash_after(RESUMABLE, &[50]);
        resumable(&site, 60).await;
        resumable(&site, 60).await;
        for engine in &site.engines {
            engine.set_fault(AnswerFault::LoseRest(45, Loss::Reset));
        }
        let answered = resumable(&site, 60).await;
        assert_eq!(answered, (200, true), "{}", lines_about(&site, 0));
        for engine in &site.engines {
            engine.set_fault(AnswerFault::None);
        }
        resumable(&site, 60).await;
        let (status, _) = resumable(&site, 60).await;
        assert_eq!(status, 503, "{}", lines_about(&site, 0));
    }

    stream_goes_on_from_copies_of_three_engines_lost_at_its_points(site: 1) {
        for number in 2..6 {
            site.add_engine(number).await;
        }
        until("all engines", || async {
            site.log(0).matches("event=upstream_came").count() >= site.engines.len() + site.plains.len()
        }).await;
        let id = site.id();
        let stream = async {
            let answer = site.generation(0, "/log/a", 400, &id).send().await.unwrap();
            answer.text().await.ok()
        };
        let lose = async {
            for (number, after_ms) in (1..).zip([600, 1_300, 300]) {
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                site.engines[site.engine_of(&id).await].kill();
                until("the next engine", || async { site.record.runs_of(&id).len() > number }).await;
            }
        };
        let (body, ()) = futures_util::future::join(stream, lose).await;
        let body = body.unwrap_or_default();
        assert!(body == whole_stream(&id, 400), "{body} {}", site.log(0));
        check_runs(&site, &id);
    }
}
