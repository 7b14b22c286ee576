//! Entry processes against stand-ins of the platform, with injected faults.

mod support;

use standins::site::{AnswerFault, EngineKind, RunEnd};
use std::net::{IpAddr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use support::{
    KEY, Site, cases, check_runs, free_ports, outcome, rest_of_stream, until, whole_stream,
};

/// Approximate time between two announcements of an entry.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(300);

/// Sets the answer fault of every upstream of a kind.
fn set_fault_of_all(site: &Site, kind: EngineKind, fault: AnswerFault) {
    let upstreams = match kind {
        EngineKind::Model => &site.engines,
        EngineKind::Plain => &site.plains,
    };
    for upstream in upstreams {
        upstream.set_fault(fault);
    }
}

/// Removes an engine, with or without a leave notice, and kills it 1.5 s later.
async fn remove_engine(site: &Site, engine: usize, announce: bool) {
    let leaving = &site.engines[engine];
    if announce {
        let entry = leaving.registration("models", "draining");
        site.store.put("servers", &leaving.instance(), &entry);
    } else {
        site.store.remove("servers", &leaving.instance());
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    leaving.kill();
}

/// Entries whose ports are drawn: about one pair in 2,000 was equal when each port was released
/// before the next was drawn.
const DRAWN_ENTRIES: usize = 8_000;

#[test]
fn ports_of_an_entry_are_never_the_same() {
    let ip = IpAddr::from([127, 99, 1, 1]);
    for _ in 0..DRAWN_ENTRIES {
        let [taken] = free_ports(ip, &[]).numbers;
        let mut ports = free_ports::<3>(ip, &[taken]).numbers.to_vec();
        ports.push(taken);
        ports.sort_unstable();
        ports.dedup();
        assert_eq!(ports.len(), 4);
    }
}

/// Starts whose ports are bound as a process binds them, while other processes are started.
const STARTS: usize = 1_500;

/// A forked process holds copies of all descriptors until it executes its program, and the system
/// may assign a released port to any other socket.
#[test]
fn ports_of_an_entry_stay_its_own_while_others_start() {
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let ip = IpAddr::from([127, 99, 2, 1]);
        let start = || -> std::io::Result<Vec<TcpListener>> {
            let ports = free_ports::<4>(ip, &[]);
            let bound = ports.numbers.map(|port| TcpListener::bind((ip, port)));
            bound.into_iter().collect()
        };
        let failed = (0..STARTS).filter(|_| start().is_err());
        let failed = failed.count();
        is_done.store(true, Ordering::Relaxed);
        assert_eq!(failed, 0, "failed starts of {STARTS}, ports in use");
    });
}

cases! {
    calls_and_streams_are_served(site: 2) {
        for entry in 0..2 {
            let id = site.id();
            let answer = site.call(entry, "GET", "/fetch/a?b=1", &id).send().await.unwrap();
            assert_eq!(answer.status(), 200);
            assert!(answer.headers().contains_key("x-response-seal"));
            assert_eq!(answer.text().await.unwrap(), format!("GET /fetch/a?b=1 for {id}"));
            let id = site.id();
            let stream = site.generation(entry, "/log/a", 20, &id).send().await.unwrap();
            assert_eq!(stream.text().await.unwrap(), whole_stream(&id, 20));
            assert_eq!(site.record.runs_of(&id).len(), 1);
        }
    }

    operators_see_entries_upstreams_and_peers(site: 2) {
        until("the other entry", || async {
            site.run_fireflyctl(0, &["entries", "peers"]).await.1.contains("watches")
        })
        .await;
        let (exit, status) = site.run_fireflyctl(0, &["entries", "status"]).await;
        assert_eq!(exit, 0, "{status}");
        assert!(status.contains("front-1") && status.contains("serving"), "{status}");
        let (_, upstreams) = site.run_fireflyctl(1, &["entries", "upstreams", "--json"]).await;
        let upstreams: serde_json::Value = serde_json::from_str(&upstreams).unwrap();
        let upstreams = upstreams[0]["upstreams"].as_array().unwrap();
        assert_eq!(upstreams.len(), 4, "{upstreams:#?}");
        assert!(upstreams.iter().all(|u| u["serves"] == true), "{upstreams:#?}");
        site.entries[1].kill();
        let (exit, _) = site.run_fireflyctl(1, &["entries", "status"]).await;
        assert_eq!(exit, 69);
    }

    unknown_route_and_key_are_refused(site: 1) {
        let answer = site.call(0, "GET", "/nowhere/a", "r").send().await.unwrap();
        assert_eq!(outcome(&answer), (404, Some(2021)));
        site.publish(&["another"]);
        until("the key's end", || async {
            let answer = site.call(0, "GET", "/fetch/a", &site.id()).send().await.unwrap();
            outcome(&answer) == (401, Some(2004))
        })
        .await;
    }

    body_over_the_limit_is_refused(site: 1) {
        let call = site.call(0, "POST", "/file/a", "r").body(vec![0; 70_000]);
        assert_eq!(outcome(&call.send().await.unwrap()), (413, Some(2002)));
        assert!(site.record.runs_of("r").is_empty());
    }

    entry_without_configuration_says_when_to_come_back(site: 0) {
        let mut site = Site::without_entries().await;
        site.add_entry(1).await;
        until("an answer", || async { site.call(0, "GET", "/fetch/a", "r").send().await.is_ok() }).await;
        let answer = site.call(0, "GET", "/fetch/a", "r").send().await.unwrap();
        assert!(answer.headers().contains_key("retry-after"));
        assert_eq!(outcome(&answer), (503, Some(2016)));
        assert!(!site.is_ready(0).await);
        site.publish(&[KEY]);
        site.until_ready(0).await;
    }

    /// Each attempt has its own id; path, key and body are the same.
    refused_caller_is_let_in_at_another_entry(site: 2) {
        let large = |entry: usize, content: String| {
            site.call(entry, "POST", "/log/a?events=3000", &site.id())
                .header("X-Token-Usage", "8300,2000")
                .header("X-Length-Hint", "400")
                .body(content)
        };
        // One generation on each engine leaves capacity for a returning caller only. Near ties between
        // engines are drawn, so one refusal doesn't mean that both are occupied.
        let mut held = Vec::new();
        while held.len() < 2 {
            let answer = large(0, site.id()).send().await.unwrap();
            if answer.status() == 200 {
                held.push(answer);
            }
        }
        let refused = large(0, site.id()).send().await.unwrap();
        assert_eq!(outcome(&refused), (503, Some(2011)));
        until("the assigned work", || async {
            for _ in 0..8 {
                if large(1, site.id()).send().await.unwrap().status() != 503 {
                    return false;
                }
            }
            true
        })
        .await;
        until("the announcement", || async {
            let content = site.id();
            assert_eq!(large(0, content.clone()).send().await.unwrap().status(), 503);
            tokio::time::sleep(ANNOUNCEMENT_DELAY).await;
            // First request at this entry: only the other one has refused it.
            large(1, content).send().await.unwrap().status() == 200
        })
        .await;
    }

    full_upstreams_are_refused_as_not_run(site: 1) {
        set_fault_of_all(&site, EngineKind::Plain, AnswerFault::Reject);
        let id = site.id();
        let answer = site.call(0, "POST", "/file/a", &id).send().await.unwrap();
        assert!(answer.headers().contains_key("retry-after"));
        assert_eq!(outcome(&answer), (503, Some(2011)));
        assert!(site.record.runs_of(&id).is_empty());
    }

    lost_call_that_may_run_once_is_unknown(site: 1) {
        set_fault_of_all(&site, EngineKind::Plain, AnswerFault::DropAnswer);
        let id = site.id();
        let answer = site.call(0, "POST", "/file/a", &id).send().await.unwrap();
        assert_eq!(outcome(&answer), (502, Some(4001)));
        assert_eq!(site.record.runs_of(&id).len(), 1);
    }

    lost_call_that_may_run_again_goes_elsewhere(site: 1) {
        site.plains[0].set_fault(AnswerFault::DropAnswer);
        for _ in 0..6 {
            let answer = site.call(0, "GET", "/fetch/a", &site.id()).send().await.unwrap();
            assert_eq!(answer.status(), 200);
        }
    }

    torn_answer_is_not_delivered(site: 1) {
        set_fault_of_all(&site, EngineKind::Plain, AnswerFault::Truncate);
        let id = site.id();
        let answer = site.call(0, "POST", "/file/a", &id).send().await.unwrap();
        assert_eq!(outcome(&answer), (502, Some(4001)));
    }

    upstreams_failure_is_relayed(site: 1) {
        set_fault_of_all(&site, EngineKind::Plain, AnswerFault::Error);
        let answer = site.call(0, "POST", "/file/a", &site.id()).send().await.unwrap();
        assert_eq!(outcome(&answer), (500, None));
        assert!(answer.headers().contains_key("x-response-seal"));
        assert_eq!(answer.text().await.unwrap(), "failed");
    }

    extra_answer_reaches_nobody(site: 1) {
        set_fault_of_all(&site, EngineKind::Plain, AnswerFault::Duplicate);
        for _ in 0..20 {
            let id = site.id();
            let answer = site.call(0, "GET", "/fetch/a", &id).send().await.unwrap();
            assert_eq!(answer.text().await.unwrap(), format!("GET /fetch/a for {id}"));
        }
    }

    address_of_another_instance_runs_nothing(site: 1) {
        site.plains[0].set_instance("p-9");
        for _ in 0..6 {
            let answer = site.call(0, "POST", "/file/a", &site.id()).send().await.unwrap();
            assert_eq!(answer.status(), 200);
        }
        assert!(site.record.runs().iter().all(|r| r.instance == "p-1"));
    }

    stream_goes_on_from_its_copy_when_its_engine_dies(site: 1) {
        let id = site.id();
        let stream = site.generation(0, "/log/a", 60, &id).send().await.unwrap();
        let engine = site.engine_of(&id).await;
        site.engines[engine].kill();
        assert_eq!(stream.text().await.unwrap(), whole_stream(&id, 60));
        check_runs(&site, &id);
        assert_eq!(site.record.runs_of(&id).len(), 2);
    }

    stream_torn_within_an_event_goes_on_whole(site: 1) {
        set_fault_of_all(&site, EngineKind::Model, AnswerFault::Truncate);
        let id = site.id();
        let stream = site.generation(0, "/log/a", 8, &id).send().await.unwrap();
        assert_eq!(stream.text().await.unwrap(), whole_stream(&id, 8));
        check_runs(&site, &id);
    }

    stream_without_a_copy_is_cut_and_not_ended(site: 1) {
        site.engines[1].kill();
        site.store.remove("servers", "m-1");
        until("one engine", || async { site.log(0).contains("upstream_leaves") }).await;
        let id = site.id();
        let stream = site.generation(0, "/log/a", 60, &id).send().await.unwrap();
        site.engines[0].kill();
        assert!(stream.text().await.is_err(), "a cut stream must not look complete");
        assert_eq!(site.record.runs_of(&id).len(), 1);
    }

    resumable_stream_is_run_anew_after_the_last_event(site: 1) {
        let id = site.id();
        let stream = site.generation(0, "/grade/a", 40, &id).send().await.unwrap();
        let engine = site.engine_of(&id).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        site.engines[engine].kill();
        assert_eq!(stream.text().await.unwrap(), whole_stream(&id, 40));
    }

    caller_that_comes_back_gets_the_rest(site: 1) {
        let (first, second) = (site.id(), site.id());
        let begun = site.generation(0, "/grade/a", 20, &first).send().await.unwrap();
        assert_eq!(begun.text().await.unwrap(), whole_stream(&first, 20));
        let rest = site.generation(0, "/grade/a", 20, &second);
        let rest = rest.header("Resumes", &first).header("Last-Event-Id", "12");
        let rest = rest.send().await.unwrap().text().await.unwrap();
        assert_eq!(rest, rest_of_stream(&second, 12, 20));
    }

    stream_is_moved_when_its_engine_leaves(site: 1) {
        // The backup holder leaves first, so that only a migration preserves the run.
        site.add_engine(2).await;
        until("the engine", || async { site.log(0).contains("m-2") }).await;
        let id = site.id();
        let stream = site.generation(0, "/log/a", 400, &id).send().await.unwrap();
        let engine = site.engine_of(&id).await;
        let others: Vec<usize> = (0..3).filter(|e| *e != engine).collect();
        for backup_holder in &others[..1] {
            remove_engine(&site, *backup_holder, true).await;
        }
        remove_engine(&site, engine, false).await;
        assert_eq!(stream.text().await.unwrap(), whole_stream(&id, 400));
        check_runs(&site, &id);
    }

    stream_that_begins_after_notice_is_moved(site: 1) {
        // There is no second engine when the run begins, so there is no backup before the migration.
        set_fault_of_all(&site, EngineKind::Model, AnswerFault::Slow);
        site.engines[1].kill();
        site.store.remove("servers", "m-1");
        until("one engine", || async { site.log(0).contains("upstream_leaves") }).await;
        let id = site.id();
        let call = tokio::spawn(site.generation(0, "/log/a", 300, &id).send());
        until("the run", || async { !site.record.runs_of(&id).is_empty() }).await;
        site.add_engine(2).await;
        until("the engine", || async { site.log(0).contains("instance=m-2") }).await;
        let leaving = remove_engine(&site, 0, true);
        let (stream, ()) = tokio::join!(call, leaving);
        let text = stream.unwrap().unwrap().text().await.unwrap();
        assert_eq!(text, whole_stream(&id, 300));
        check_runs(&site, &id);
    }

    /// Engine and backup holder send leave notices while the prompt is read, before the run begins.
    stream_whose_keeper_left_first_is_moved(site: 1) {
        set_fault_of_all(&site, EngineKind::Model, AnswerFault::Slow);
        let id = site.id();
        let call = tokio::spawn(site.generation(0, "/log/a", 300, &id).send());
        until("the run", || async { !site.record.runs_of(&id).is_empty() }).await;
        site.add_engine(2).await;
        until("the engine", || async { site.log(0).contains("instance=m-2") }).await;
        let both_leave = async { tokio::join!(remove_engine(&site, 0, true), remove_engine(&site, 1, true)) };
        let (stream, _) = tokio::join!(call, both_leave);
        let text = stream.unwrap().unwrap().text().await.unwrap();
        assert_eq!(text, whole_stream(&id, 300));
        check_runs(&site, &id);
    }

    leaving_engine_is_asked_when_it_is_gone(site: 1) {
        // The only other engine starts after the stream, so there is no backup.
        site.engines[1].kill();
        site.store.remove("servers", "m-1");
        until("one engine", || async { site.log(0).contains("upstream_leaves") }).await;
        let id = site.id();
        let stream = site.generation(0, "/log/a", 400, &id).send().await.unwrap();
        site.add_engine(2).await;
        until("the engine", || async { site.log(0).contains("instance=m-2") }).await;
        site.engines[0].report_leaving(2_000);
        remove_engine(&site, 0, true).await;
        assert_eq!(stream.text().await.unwrap(), whole_stream(&id, 400));
        check_runs(&site, &id);
        until("the report", || async {
            site.log(0).contains("event=departure_known instance=m-0 leaves_in_ms=2000 runs=1 tokens=3000")
        })
        .await;
    }

    leaving_engine_gets_nothing_new(site: 1) {
        let leaving = &site.engines[0];
        let entry = leaving.registration("models", "draining");
        site.store.put("servers", &leaving.instance(), &entry);
        until("the notice", || async { site.log(0).contains("upstream_leaves") }).await;
        for _ in 0..6 {
            let id = site.id();
            let stream = site.generation(0, "/log/a", 2, &id).send().await.unwrap();
            assert_eq!(stream.text().await.unwrap(), whole_stream(&id, 2));
        }
        assert!(site.record.runs().iter().all(|r| r.instance == "m-1"));
    }

    caller_that_leaves_ends_the_run(site: 1) {
        let id = site.id();
        let stream = site.generation(0, "/log/a", 2_000, &id).send().await.unwrap();
        site.engine_of(&id).await;
        drop(stream);
        until("the run's end", || async { site.record.running_count() == 0 }).await;
        assert_eq!(site.record.runs_of(&id)[0].end.0, RunEnd::Abandoned);
    }

    caller_that_leaves_before_an_answer_ends_the_run(site: 1) {
        set_fault_of_all(&site, EngineKind::Plain, AnswerFault::Hang);
        let id = site.id();
        let call = tokio::spawn(site.call(0, "POST", "/file/a", &id).send());
        until("the run", || async { !site.record.runs_of(&id).is_empty() }).await;
        call.abort();
        until("the run's end", || async { site.record.running_count() == 0 }).await;
    }

    planned_stop_cuts_no_stream(site: 1) {
        let id = site.id();
        let stream = site.generation(0, "/log/a", 350, &id).send().await.unwrap();
        site.engine_of(&id).await;
        site.entries[0].signal("TERM");
        until("not ready", || async { !site.is_ready(0).await }).await;
        let answer = site.call(0, "GET", "/fetch/a", &site.id()).send().await.unwrap();
        assert_eq!(answer.headers()["connection"], "close");
        assert_eq!(stream.text().await.unwrap(), whole_stream(&id, 350));
        site.entries[0].wait_for_exit().await;
    }

    reload_interrupts_nothing_and_refuses_faults(site: 1) {
        let id = site.id();
        let stream = site.generation(0, "/log/a", 60, &id).send().await.unwrap();
        site.entries[0].signal("HUP");
        until("the reload", || async { site.log(0).contains("event=reloaded") }).await;
        site.corrupt_settings(0);
        site.entries[0].signal("HUP");
        until("the refusal", || async { site.log(0).contains("event=reload_refused") }).await;
        assert_eq!(stream.text().await.unwrap(), whole_stream(&id, 60));
        let answer = site.call(0, "GET", "/fetch/a", &site.id()).send().await.unwrap();
        assert_eq!(answer.status(), 200);
    }

    changed_file_is_read_without_a_signal(site: 1) {
        site.corrupt_settings(0);
        until("the settings check", || async { site.log(0).contains("signalled=false") }).await;
    }

    content_that_crashes_engines_is_refused_everywhere(site: 2) {
        for number in 2..5 {
            site.add_engine(number).await;
        }
        until("the engines", || async { (0..2).all(|e| site.log(e).contains("m-4")) }).await;
        set_fault_of_all(&site, EngineKind::Model, AnswerFault::Crash);
        for crash in 1..=3 {
            let expected = format!("crashes={crash}");
            // There is no response head, so the call ends with an unknown outcome.
            let answer = site.generation(0, "/log/a", 5, &site.id()).send().await.unwrap();
            assert_eq!(answer.status(), 502);
            until("the count", || async { (0..2).all(|e| site.log(e).contains(&expected)) }).await;
        }
        let id = site.id();
        let answer = site.generation(1, "/log/a", 5, &id).send().await.unwrap();
        assert_eq!(outcome(&answer), (503, Some(2011)));
        assert!(site.record.runs_of(&id).is_empty());
    }

    killed_entry_serves_again(site: 2) {
        site.entries[0].kill();
        site.entries[0].start();
        site.until_ready(0).await;
        let answer = site.call(0, "GET", "/fetch/a", &site.id()).send().await.unwrap();
        assert_eq!(answer.status(), 200);
    }

    failed_requests_are_explained_from_their_ids(site: 1) {
        let refused = site.id();
        site.call(0, "GET", "/nowhere/a", &refused).send().await.unwrap();
        set_fault_of_all(&site, EngineKind::Plain, AnswerFault::DropAnswer);
        let unknown = site.id();
        site.call(0, "POST", "/file/a", &unknown).send().await.unwrap();
        site.store.remove("servers", "m-1");
        until("one engine", || async { site.log(0).contains("upstream_leaves") }).await;
        let cut = site.id();
        let stream = site.generation(0, "/log/a", 60, &cut).send().await.unwrap();
        site.engines[0].kill();
        assert!(stream.text().await.is_err());
        until("the causes", || async {
            site.cause(&refused).contains("2021")
                && site.cause(&unknown).contains("4001") && site.cause(&unknown).contains("Lost")
                && site.cause(&cut).contains("no copy of its memory")
        })
        .await;
    }

    metrics_tell_what_happened(site: 1) {
        site.call(0, "GET", "/fetch/a", &site.id()).send().await.unwrap();
        let id = site.id();
        let stream = site.generation(0, "/log/a", 3, &id).send().await.unwrap();
        assert_eq!(stream.text().await.unwrap(), whole_stream(&id, 3));
        let text = site.metrics(0).await;
        for line in [
            "firefly_direct_answers_total{code=\"3000\",kind=\"idempotent\"} 1",
            "firefly_direct_streams_total{end=\"whole\"} 1",
            "firefly_direct_config_version 1",
            "firefly_direct_upstreams{service=\"models\"} 2",
        ] {
            assert!(text.contains(line), "{line} in {text}");
        }
    }
}
