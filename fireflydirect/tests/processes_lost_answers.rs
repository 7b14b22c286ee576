//! Entry processes whose engines lose the rest of an answer and work on.

mod support;

use futures_util::future::join_all;
use reqwest::{RequestBuilder, Response};
use standins::site::{AnswerFault, Framing, Loss, ProxyFault, RunEnd, StopAnswer, StoreMode};
use std::time::Duration;
use support::{KEY, Site, until, whole_stream};

/// Events of a stream.
const EVENTS: u64 = 200;

/// Places at which its rest is lost: after its head, after its first events, in its middle, near its end.
const HEAD: u64 = 0;
const START: u64 = 3;
const MIDDLE: u64 = 60;
const NEAR_END: u64 = 195;

/// Longest time for which two engines may work on one request; set by the users.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Events of a stream that outlasts others.
const LONG: u64 = 600;

/// Events of a stream that outlasts its caller's patience beside a lost answer.
const LONGEST: u64 = 1_400;

/// Events after which its rest is lost; a standby copy is made meanwhile.
const AFTER_COPY: u64 = 300;

/// Engines of a site, half of which lose answers.
const ENGINES: u8 = 4;

/// Streams at a time.
const STREAMS: usize = 12;

/// Whether engines carry out orders to stop runs, or else what they answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Orders {
    CarriedOut,
    Refused,
    Unavailable,
}

impl Orders {
    const fn answer(self) -> StopAnswer {
        match self {
            Self::CarriedOut => StopAnswer::Copied,
            Self::Refused => StopAnswer::NeverExecuted,
            Self::Unavailable => StopAnswer::Unavailable,
        }
    }
}

/// Defines test cases, each with streams on a path of which some lose their rest.
macro_rules! cases {
    ($($name:ident($req:ident, $path:literal, $after:expr, $loss:ident, $orders:ident);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let site = site().await;
                for engine in &site.engines[..usize::from(ENGINES / 2)] {
                    engine.set_fault(AnswerFault::LoseRest($after, Loss::$loss));
                    engine.moves().answer_stops(Orders::$orders.answer(), Duration::ZERO);
                }
                let req = |id: &str| site.$req(0, $path, EVENTS, id);
                let ids = play(&site, req, Orders::$orders).await;
                until("the end of all runs", || async { site.record.running_count() == 0 }).await;
                for id in &ids {
                    check_overlap(&site, id);
                }
                assert!(count_lost(&site) > 0, "no answer was lost");
                site.check();
            }
        )+
    };
}

/// Defines test cases of streams whose engines lose their rest, refuse to stop their runs and break their reports off, with a
/// framing.
macro_rules! unreported {
    ($($name:ident($framing:ident);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let site = site().await;
                for engine in &site.engines[..usize::from(ENGINES / 2)] {
                    engine.set_fault(AnswerFault::LoseRest(MIDDLE, Loss::Reset));
                    engine.moves().answer_stops(StopAnswer::NeverExecuted, Duration::ZERO);
                    engine.cut_reports(Framing::$framing);
                }
                let req = |id: &str| site.stream(0, "/grade/a", EVENTS, id);
                let ids = play(&site, req, Orders::Refused).await;
                until("the end of all runs", || async { site.record.running_count() == 0 }).await;
                for id in &ids {
                    check_overlap(&site, id);
                }
                assert!(count_lost(&site) > 0, "no answer was lost");
                site.check();
            }
        )+
    };
}

/// Defines test cases of a stream whose engine ends behind a proxy, which goes on accepting connections.
macro_rules! ended {
    ($($name:ident($req:ident, $path:literal);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let site = site_behind_proxies().await;
                let id = site.id();
                let answer = site.$req(0, $path, EVENTS, &id).send().await.unwrap();
                let kill = async {
                    tokio::time::sleep(Duration::from_millis(500)).await;
                    site.engines[site.engine_of(&id).await].kill();
                };
                let (body, ()) = futures_util::future::join(answer.text(), kill).await;
                let body = body.unwrap_or_default();
                assert!(body == whole_stream(&id, EVENTS), "{body} {}", site.log(0));
                check_overlap(&site, &id);
                site.check();
            }
        )+
    };
}

/// Defines test cases of streams whose engine loses their rest and resets new connections, while earlier ones go on there.
macro_rules! at_limit {
    ($($name:ident($req:ident, $path:literal);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let site = site_behind_proxies().await;
                let earlier = begin(&site, |id| site.$req(0, $path, LONG, id)).await;
                site.engines[0].set_fault(AnswerFault::LoseRest(MIDDLE, Loss::Reset));
                let lost = begin(&site, |id| site.$req(0, $path, EVENTS, id)).await;
                site.proxies[&site.engines[0].instance()].set_fault(ProxyFault::ResetNew);
                let all = earlier.into_iter().chain(lost);
                join_all(all.map(|(id, answer)| read_to_end(&site, id, answer))).await;
                assert!(count_lost(&site) > 0, "no answer was lost");
                site.check();
            }
        )+
    };
}

/// Begins some streams.
async fn begin(site: &Site, req: impl Fn(&str) -> RequestBuilder) -> Vec<(String, Response)> {
    let begun = (0..STREAMS).map(|_| async {
        let id = site.id();
        let answer = req(&id).send().await.unwrap();
        (id, answer)
    });
    join_all(begun).await
}

/// Reads a stream as far as it goes, and checks that its runs didn't overlap.
async fn read_to_end(site: &Site, id: String, mut answer: Response) {
    let mut body = String::new();
    while let Ok(Some(bytes)) = answer.chunk().await {
        body.push_str(&String::from_utf8_lossy(&bytes));
    }
    until("the end of its runs", || async {
        let runs = site.record.runs_of(&id);
        runs.iter().all(|r| r.end.0 != RunEnd::Running)
    })
    .await;
    check_overlap(site, &id);
}

async fn site_behind_proxies() -> Site {
    let mut site = Site::without_entries().await;
    for number in 2..ENGINES {
        site.start_engine(number).await;
    }
    site.use_proxies().await;
    site.publish(&[KEY]);
    site.add_entry(1).await;
    site.until_ready(0).await;
    until_listed(&site).await;
    site
}

async fn until_listed(site: &Site) {
    until("all engines", || async {
        site.log(0).matches("event=upstream_came").count() >= site.engines.len() + site.plains.len()
    })
    .await;
}

async fn site() -> Site {
    let mut site = Site::without_entries().await;
    for number in 2..ENGINES {
        site.add_engine(number).await;
    }
    site.start_entries(1).await;
    until_listed(&site).await;
    site
}

/// Reads some streams to their ends; where orders are carried out all of them are whole.
async fn play(site: &Site, req: impl Fn(&str) -> RequestBuilder, orders: Orders) -> Vec<String> {
    let ids: Vec<String> = (0..STREAMS).map(|_| site.id()).collect();
    let read = ids.iter().map(|id| async {
        let mut answer = req(id).send().await.unwrap();
        let mut body = String::new();
        while let Ok(Some(bytes)) = answer.chunk().await {
            body.push_str(&String::from_utf8_lossy(&bytes));
        }
        body
    });
    let bodies = join_all(read).await;
    for (id, body) in ids.iter().zip(&bodies) {
        let whole = whole_stream(id, EVENTS);
        if orders == Orders::CarriedOut {
            assert!(*body == whole, "{id}: {body}\n{}", site.log(0));
        } else {
            assert!(whole.starts_with(body.as_str()), "{id}: {body}");
        }
    }
    ids
}

/// Checks that no engine works on a request while a later one has long gone on with it.
fn check_overlap(site: &Site, id: &str) {
    let runs = site.record.runs_of(id);
    for pair in runs.windows(2) {
        let overlap = pair[0].end.1.saturating_duration_since(pair[1].began);
        let log = site.log(0);
        let log: Vec<&str> = log.lines().filter(|l| l.contains(id)).collect();
        assert!(overlap <= MAX_OVERLAP, "{overlap:?}: {runs:#?} {log:#?}");
    }
}

/// Returns the number of runs that went on unheard, to their end or until they were stopped.
fn count_lost(site: &Site) -> usize {
    let runs = site.record.runs();
    let lost = runs.iter().filter(|r| {
        let is_unheard = r.end.0 == RunEnd::Unheard;
        is_unheard || r.end.0 == RunEnd::Migrated
    });
    lost.count()
}

/// Checks a stream with a standby copy whose engine loses its rest, works on and doesn't let it be stopped.
async fn check_beside_standby_copy(path: &str) {
    let site = Site::start(1).await;
    for engine in &site.engines {
        engine.set_fault(AnswerFault::LoseRest(AFTER_COPY, Loss::Reset));
        engine
            .moves()
            .answer_stops(StopAnswer::NeverExecuted, Duration::ZERO);
    }
    site.store.set_mode(StoreMode::Silent);
    until("the watch", || async {
        site.log(0).contains("event=departure_watch active=true")
    })
    .await;
    let id = site.id();
    let answer = site
        .large_prompt(0, path, LONGEST, &id)
        .send()
        .await
        .unwrap();
    site.engines[site.engine_of(&id).await].report_leaving(30_000);
    let reading = read_to_end(&site, id.clone(), answer);
    reading.await;
    let log = site.log(0);
    assert!(
        log.contains("end=made") && log.contains("event=run_may_go_on"),
        "{log}"
    );
    site.check();
}

/// Defines test cases of such streams on a path.
macro_rules! standing_by {
    ($($name:ident($path:literal);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check_beside_standby_copy($path).await;
            }
        )+
    };
}

standing_by! {
    standby_copy_does_not_run_beside_a_run_that_is_not_stopped("/log/a");
    standby_copy_of_a_resumable_stream_does_not_run_beside_a_run_that_is_not_stopped("/grade/a");
}

cases! {
    stream_does_not_go_on_beside_a_run_reset_in_its_middle(generation, "/log/a", MIDDLE, Reset, CarriedOut);
    stream_does_not_go_on_beside_a_run_reset_after_its_head(generation, "/log/a", HEAD, Reset, CarriedOut);
    stream_does_not_go_on_beside_a_run_reset_after_its_first_events(generation, "/log/a", START, Reset, CarriedOut);
    stream_does_not_go_on_beside_a_run_reset_near_its_end(generation, "/log/a", NEAR_END, Reset, CarriedOut);
    stream_does_not_go_on_beside_a_run_closed_in_its_middle(generation, "/log/a", MIDDLE, Close, CarriedOut);
    stream_does_not_go_on_beside_a_run_closed_after_its_head(generation, "/log/a", HEAD, Close, CarriedOut);
    stream_does_not_go_on_beside_a_run_that_is_not_stopped(generation, "/log/a", MIDDLE, Reset, Refused);
    stream_does_not_go_on_beside_a_closed_run_that_is_not_stopped(generation, "/log/a", HEAD, Close, Refused);
    stream_does_not_go_on_beside_a_run_whose_order_finds_its_engine_unavailable(generation, "/log/a", MIDDLE, Reset, Unavailable);
    resumable_stream_does_not_go_on_beside_a_run_reset_in_its_middle(generation, "/grade/a", MIDDLE, Reset, CarriedOut);
    resumable_stream_does_not_run_anew_beside_a_run_reset_in_its_middle(stream, "/grade/a", MIDDLE, Reset, CarriedOut);
    resumable_stream_does_not_run_anew_beside_a_run_reset_after_its_head(stream, "/grade/a", HEAD, Reset, CarriedOut);
    resumable_stream_does_not_run_anew_beside_a_run_closed_near_its_end(stream, "/grade/a", NEAR_END, Close, CarriedOut);
    resumable_stream_does_not_run_anew_beside_a_run_that_is_not_stopped(stream, "/grade/a", MIDDLE, Reset, Refused);
    resumable_stream_does_not_run_anew_beside_a_closed_run_that_is_not_stopped(stream, "/grade/a", START, Close, Refused);
    resumable_stream_does_not_run_anew_beside_a_run_whose_order_finds_its_engine_unavailable(stream, "/grade/a", MIDDLE, Reset, Unavailable);
}

at_limit! {
    stream_does_not_go_on_beside_a_run_whose_engine_resets_new_connections(generation, "/log/a");
    resumable_stream_does_not_run_anew_beside_a_run_whose_engine_resets_new_connections(stream, "/grade/a");
}

ended! {
    stream_goes_on_from_its_copy_while_its_ended_engine_accepts_connections(generation, "/log/a");
    resumable_stream_goes_on_while_its_ended_engine_accepts_connections(stream, "/grade/a");
}

unreported! {
    report_cut_before_its_length_does_not_end_a_run(Length);
    report_cut_in_chunks_does_not_end_a_run(Chunked);
    report_cut_with_its_connection_does_not_end_a_run(UntilClose);
    report_of_an_old_engine_cut_with_its_connection_does_not_end_a_run(OldUntilClose);
}
