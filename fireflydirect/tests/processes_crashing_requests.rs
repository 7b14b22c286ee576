//! Entry processes before upstreams that one request crashes, which comes again with the same path, key and body.

mod support;

use futures_util::future::join_all;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::RequestBuilder;
use standins::site::{AnswerFault, RunEnd};
use std::time::{Duration, Instant};
use support::crashes::{lines_about, site_of, until_informed};
use support::{KEY, Site, outcome, signal_all, until, whole_stream};

/// Path of the stream that crashes its upstreams.
const BAD: &str = "/log/bad";

/// Path of the call that does.
const BAD_CALL: &str = "/fetch/bad";

/// Upstreams that a request may crash before it is known to; set by the users.
const CRASHES: usize = 3;

/// Time after these within which it may still arrive; set by the users.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Later arrivals at upstreams that are allowed; set by the users.
const MAX_LATE: usize = 3;

/// Time between two times that the request comes.
const PAUSE: Duration = Duration::from_millis(250);

/// Model engines of a site.
const ENGINES: u8 = 24;

/// Events of a short stream.
const SHORT: u64 = 5;

/// Defines test cases, each run on a site with [`ENGINES`] model engines and a number of entries.
macro_rules! cases {
    ($($name:ident($site:ident: $entries:literal) $body:block)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                #[allow(unused_mut)]
                let mut $site = site_of(ENGINES, $entries).await;
                $site.record.crash_on_path(BAD);
                $site.record.crash_on_path(BAD_CALL);
                $body
                $site.check();
            }
        )+
    };
}

fn bad(site: &Site, entry: usize) -> RequestBuilder {
    let id = site.id();
    site.stream(entry, BAD, SHORT, &id)
}

/// Sends a request and reads its answer as far as it comes; returns whether it was refused for good.
async fn is_refused(req: RequestBuilder) -> bool {
    let Ok(answer) = req.send().await else {
        return false;
    };
    let headers = answer.headers();
    let wait = headers.get("retry-after").and_then(|w| w.to_str().ok());
    let wait: f64 = wait.and_then(|w| w.parse().ok()).unwrap_or(0.0);
    let refused = answer.status() == 503 && wait > 60.0;
    // An answer that crashes its upstream breaks off.
    let _ = answer.text().await;
    refused
}

/// Sends the stream that crashes its upstreams to an entry a number of times; returns how often it was refused.
async fn send_bad(site: &Site, entry: usize, times: usize) -> usize {
    let mut refused = 0;
    for _ in 0..times {
        refused += usize::from(is_refused(bad(site, entry)).await);
        tokio::time::sleep(PAUSE).await;
    }
    refused
}

/// Sends it to all entries, which see the crashes at one moment, as they are paused meanwhile.
async fn send_bad_to_all(site: &Site) {
    let before = crash_times(site, BAD).len();
    let sent = (0..site.entries.len()).map(|entry| tokio::spawn(is_refused(bad(site, entry))));
    let sent: Vec<_> = sent.collect();
    let all = before + sent.len();
    let end = Instant::now() + STABLE_WINDOW;
    while site.record.runs_on(BAD).len() < all && Instant::now() < end {
        if sent.iter().all(tokio::task::JoinHandle::is_finished) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    signal_all(&site.entries, "STOP");
    until("the crashes", || async {
        let runs = site.record.runs_on(BAD);
        runs.iter().all(|r| r.end.0 != RunEnd::Running)
    })
    .await;
    signal_all(&site.entries, "CONT");
    join_all(sent).await;
}

/// Pauses each entry once, from a time and for a span that are drawn.
async fn pause_in_turn(site: &Site, rng: &mut ChaCha8Rng) {
    let spans = site.entries.iter().map(|entry| {
        let from = Duration::from_millis(rng.random_range(0..80));
        let span = Duration::from_millis(rng.random_range(0..700));
        async move {
            tokio::time::sleep(from).await;
            entry.signal("STOP");
            tokio::time::sleep(span).await;
            entry.signal("CONT");
        }
    });
    join_all(spans.collect::<Vec<_>>()).await;
}

/// Returns the times of the crashes by a path, in order.
fn crash_times(site: &Site, path: &str) -> Vec<Instant> {
    let runs = site.record.runs_on(path).into_iter();
    let crashed = runs.filter(|r| r.end.0 == RunEnd::Crashed);
    let mut times: Vec<Instant> = crashed.map(|r| r.end.1).collect();
    times.sort_unstable();
    times
}

/// Returns the runs on a path that began later than the users allow.
fn late_arrivals(site: &Site, path: &str) -> usize {
    let Some(third) = crash_times(site, path).get(CRASHES - 1).copied() else {
        return 0;
    };
    let runs = site.record.runs_on(path).into_iter();
    runs.filter(|r| r.began > third + STABLE_WINDOW).count()
}

fn check_late(site: &Site, path: &str) {
    let crashes = crash_times(site, path).len();
    let late = late_arrivals(site, path);
    assert!(crashes >= CRASHES, "{crashes} crashes");
    let seen: Vec<String> = (0..site.entries.len())
        .map(|e| lines_about(site, e))
        .collect();
    assert!(late <= MAX_LATE, "{late} late, {crashes} crashes {seen:#?}");
}

/// Sends the stream to an entry until it is refused there, and waits for the stable window.
async fn until_known(site: &Site, entry: usize) {
    until("the refusal", || async {
        send_bad(site, entry, 1).await > 0
    })
    .await;
    tokio::time::sleep(STABLE_WINDOW).await;
}

async fn restart(site: &mut Site, entry: usize) {
    site.entries[entry].kill();
    site.entries[entry].start();
    until_informed(site, entry).await;
}

async fn check_sound(site: &Site, entry: usize, path: &str) {
    let id = site.id();
    let answer = site.stream(entry, path, SHORT, &id).send().await.unwrap();
    let outcome = outcome(&answer);
    let body = answer.text().await.unwrap();
    assert_eq!(
        body,
        whole_stream(&id, SHORT),
        "{outcome:?} {}",
        site.log(entry)
    );
}

/// Sends the same call to one entry after another while `done` is false; returns how often it was refused for good.
async fn fetch_alike(site: &Site, done: impl Fn() -> bool) -> usize {
    let mut refused = 0;
    for number in 0.. {
        if done() {
            break;
        }
        let call = site.call(
            number % site.entries.len(),
            "GET",
            "/fetch/popular",
            &site.id(),
        );
        refused += usize::from(is_refused(call).await);
    }
    refused
}

cases! {
    request_that_comes_to_all_entries_at_once_is_refused(site: 3) {
        let mut moments_left = 3;
        while moments_left > 0 {
            // Several entries may have chosen one engine.
            moments_left -= usize::from(crash_times(&site, BAD).len() >= CRASHES);
            send_bad_to_all(&site).await;
            tokio::time::sleep(STABLE_WINDOW + PAUSE).await;
        }
        check_late(&site, BAD);
    }

    request_that_comes_to_entries_paused_for_drawn_spans_is_refused(site: 3) {
        let seed = std::env::var("FIREFLY_PAUSE_SEED").ok().and_then(|s| s.parse().ok());
        let mut rng = ChaCha8Rng::seed_from_u64(seed.unwrap_or(1));
        let mut moments_left = 3;
        while moments_left > 0 {
            moments_left -= usize::from(crash_times(&site, BAD).len() >= CRASHES);
            let sent = join_all((0..3).map(|entry| is_refused(bad(&site, entry))));
            tokio::join!(sent, pause_in_turn(&site, &mut rng));
            tokio::time::sleep(STABLE_WINDOW + PAUSE).await;
        }
        check_late(&site, BAD);
    }

    entry_that_saw_the_crashes_refuses_after_its_restarts(site: 3) {
        until_known(&site, 0).await;
        for _ in 0..3 {
            restart(&mut site, 0).await;
            send_bad(&site, 0, 4).await;
        }
        check_late(&site, BAD);
        assert_eq!(late_arrivals(&site, BAD), 0, "it had been told");
    }

    entries_restarted_in_turn_pass_on_what_they_know(site: 3) {
        until_known(&site, 1).await;
        for entry in [0, 1, 2, 0, 1, 2] {
            restart(&mut site, entry).await;
            send_bad(&site, entry, 2).await;
        }
        check_late(&site, BAD);
        assert_eq!(late_arrivals(&site, BAD), 0, "it had been told");
    }

    entry_that_is_left_tells_those_that_start_at_once(site: 4) {
        until_known(&site, 0).await;
        for entry in 0..3 {
            site.entries[entry].kill();
        }
        for entry in 0..3 {
            site.entries[entry].start();
        }
        for entry in 0..3 {
            until_informed(&site, entry).await;
        }
        for _ in 0..3 {
            send_bad_to_all(&site).await;
            tokio::time::sleep(PAUSE).await;
        }
        assert_eq!(late_arrivals(&site, BAD), 0);
    }

    terminated_witness_leaves_its_count_to_the_others(site: 3) {
        // Two crashes at an entry that goes; the third one elsewhere.
        send_bad(&site, 0, 2).await;
        site.entries[0].signal("TERM");
        send_bad(&site, 1, 1).await;
        site.entries[0].wait_for_exit().await;
        site.entries[0].start();
        until_informed(&site, 0).await;
        assert_eq!(crash_times(&site, BAD).len(), CRASHES);
        for entry in 0..3 {
            assert_eq!(send_bad(&site, entry, 2).await, 2, "{}", site.log(entry));
        }
        assert_eq!(crash_times(&site, BAD).len(), CRASHES);
    }

    crashes_among_many_others_are_told_to_newcomers(site: 3) {
        until_known(&site, 0).await;
        let ids: Vec<String> = (0..40).map(|_| site.id()).collect();
        let begun = ids.iter().map(|id| site.stream(0, &format!("/log/{id}"), 200, id).send());
        let answers = join_all(begun).await.into_iter().map(|a| tokio::spawn(a.unwrap().text()));
        let answers: Vec<_> = answers.collect();
        for engine in &site.engines[..16] {
            engine.kill();
        }
        join_all(answers).await;
        for entry in [1, 2, 1, 2] {
            restart(&mut site, entry).await;
            send_bad(&site, entry, 4).await;
        }
        check_late(&site, BAD);
        assert_eq!(late_arrivals(&site, BAD), 0, "it had been told");
    }

    paused_entry_refuses_once_it_runs_again(site: 3) {
        site.entries[2].signal("STOP");
        until_known(&site, 0).await;
        site.entries[2].signal("CONT");
        send_bad(&site, 2, 6).await;
        check_late(&site, BAD);
    }

    call_without_a_stream_is_refused(site: 3) {
        for number in 2..8 {
            site.add_plain(number).await;
        }
        until("the services", || async { site.log(2).contains("event=upstream_came instance=p-7") }).await;
        for _ in 0..4 {
            let sent = (0..3).map(|e| is_refused(site.call(e, "GET", BAD_CALL, &site.id())));
            join_all(sent).await;
            tokio::time::sleep(STABLE_WINDOW + PAUSE).await;
        }
        check_late(&site, BAD_CALL);
    }

    retried_stream_stops_at_the_third_crash(site: 3) {
        site.record.crash_on_path("/grade/bad");
        for _ in 0..3 {
            let id = site.id();
            is_refused(site.stream(0, "/grade/bad", SHORT, &id)).await;
        }
        let crashes = crash_times(&site, "/grade/bad").len();
        assert!(crashes <= CRASHES, "{crashes} crashes");
    }

    held_request_is_refused_once_it_is_known(site: 2) {
        site.log_objective_ms = 16_000;
        site.publish(&[KEY]);
        for entry in 0..2 {
            until("the configuration", || async {
                site.log(entry).contains("event=config_adopted source=store version=2")
                    || site.log(entry).contains("event=config_adopted source=peer version=2")
            }).await;
        }
        let crowd = |entry: usize, path: &str, id: &str, events: u64| {
            let req = site.stream(entry, path, events, id);
            let req = req.header("X-Token-Usage", "16000,500").header("X-Length-Hint", "500");
            req.header("X-Prompt-Prefix", "a1:80,b2:15920")
        };
        // It has to know how long a run takes.
        let first = crowd(1, "/log/first", &site.id(), 20).send().await.unwrap();
        first.bytes().await.unwrap();
        let ids: Vec<String> = (0..ENGINES).map(|_| site.id()).collect();
        let begun = ids.iter().map(|id| crowd(1, &format!("/log/{id}"), id, 900).send());
        let begun = join_all(begun).await;
        let held = tokio::spawn(is_refused(crowd(1, BAD, &site.id(), SHORT)));
        until("the hold", || async { site.log(1).contains("event=held ") }).await;
        send_bad(&site, 0, CRASHES).await;
        assert!(held.await.unwrap(), "{}", site.log(1));
        assert_eq!(crash_times(&site, BAD).len(), CRASHES);
        drop(begun);
    }

    stream_that_goes_on_at_another_engine_stops_at_the_third_crash(site: 1) {
        for engine in &site.engines {
            engine.set_fault(AnswerFault::Truncate);
        }
        let id = site.id();
        let answer = site.stream(0, "/grade/cut", 30, &id).send().await.unwrap();
        for engine in &site.engines {
            engine.set_fault(AnswerFault::Crash);
        }
        let _ = answer.text().await;
        let runs = site.record.runs_of(&id).len();
        assert!(runs <= 1 + CRASHES, "{runs} runs");
    }

    crash_of_an_engine_that_is_back_at_once_counts(site: 1) {
        for number in 0..CRASHES {
            let id = site.id();
            let sent = tokio::spawn(is_refused(site.stream(0, BAD, SHORT, &id)));
            let engine = site.engine_of(&id).await;
            site.entries[0].signal("STOP");
            until("the crash", || async { crash_times(&site, BAD).len() > number }).await;
            site.engines[engine].restart().await.unwrap();
            let record = site.engines[engine].registration("models", "ready");
            site.store.put("servers", &site.engines[engine].instance(), &record);
            site.entries[0].signal("CONT");
            sent.await.unwrap();
            until("the restart", || async {
                site.log(0).matches("event=upstream_restarted").count() > number
            }).await;
        }
        tokio::time::sleep(PAUSE).await;
        assert_eq!(send_bad(&site, 0, 2).await, 2, "{}", site.log(0));
    }

    entries_with_stale_seeds_merge_what_each_has_learnt(site: 1) {
        site.add_strangers().await;
        send_bad(&site, 1, 2).await;
        send_bad(&site, 2, 1).await;
        assert_eq!(crash_times(&site, BAD).len(), CRASHES);
        // Longer than crashes are told, and than an entry that has started asks.
        tokio::time::sleep(Duration::from_secs(11)).await;
        site.correct_seeds().await;
        tokio::time::sleep(PAUSE).await;
        for entry in 0..3 {
            assert_eq!(send_bad(&site, entry, 1).await, 1, "{}", site.log(entry));
        }
        assert_eq!(crash_times(&site, BAD).len(), CRASHES);
    }

    calls_alike_are_served_after_a_rack_is_lost(site: 3) {
        for number in 2..10 {
            site.add_plain(number).await;
        }
        until("the services", || async { site.log(2).contains("event=upstream_came instance=p-9") }).await;
        let end = Instant::now() + Duration::from_secs(3);
        let callers = (0..12).map(|_| fetch_alike(&site, || Instant::now() > end));
        let faults = async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            for plain in 0..6 {
                site.plains[plain].kill();
            }
            0
        };
        let (refused, _) = tokio::join!(join_all(callers), faults);
        assert_eq!(refused.iter().sum::<usize>(), 0);
    }

    calls_alike_are_served_once_all_upstreams_are_back(site: 3) {
        let end = Instant::now() + Duration::from_secs(6);
        let mut plains = std::mem::take(&mut site.plains);
        let callers = (0..12).map(|_| fetch_alike(&site, || Instant::now() > end));
        let faults = async {
            for _ in 0..3 {
                tokio::time::sleep(Duration::from_millis(500)).await;
                for plain in &plains {
                    plain.kill();
                }
                tokio::time::sleep(Duration::from_secs(1)).await;
                for plain in &mut plains {
                    plain.restart().await.unwrap();
                    let record = plain.registration("records", "ready");
                    site.store.put("servers", &plain.instance(), &record);
                }
            }
        };
        let (refused, ()) = tokio::join!(join_all(callers), faults);
        assert_eq!(refused.iter().sum::<usize>(), 0);
        site.plains = plains;
        until("the call", || async {
            let call = site.call(0, "GET", "/fetch/popular", &site.id());
            call.send().await.unwrap().status() == 200
        }).await;
    }

    streams_alike_are_served_after_engines_are_lost_in_turn(site: 3) {
        let ids: Vec<String> = (0..60).map(|_| site.id()).collect();
        let begun = ids.iter().enumerate().map(|(n, id)| site.stream(n % 3, "/grade/alike", 250, id).send());
        let answers = join_all(begun).await;
        let reads = answers.into_iter().map(|a| tokio::spawn(a.unwrap().text()));
        let reads: Vec<_> = reads.collect();
        for engine in 0..8 {
            tokio::time::sleep(Duration::from_millis(200)).await;
            site.engines[engine].kill();
        }
        join_all(reads).await;
        for entry in 0..3 {
            check_sound(&site, entry, "/grade/alike").await;
        }
    }

    neighbours_of_the_request_are_served(site: 3) {
        for number in 0..CRASHES {
            let entry = number % 3;
            let ids: Vec<String> = (0..8).map(|_| site.id()).collect();
            let neighbours = ids.iter().map(|id| site.stream(entry, "/grade/sound", SHORT, id));
            let sent = neighbours.map(is_refused).collect::<Vec<_>>();
            tokio::join!(join_all(sent), send_bad(&site, entry, 1));
        }
        for entry in 0..3 {
            assert_eq!(send_bad(&site, entry, 1).await, 1, "{}", site.log(entry));
            check_sound(&site, entry, "/grade/sound").await;
        }
    }
}
