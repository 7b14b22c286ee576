//! Entry processes with upstreams that send leave notices in their responses.

mod support;

use standins::site::StoreMode;
use std::time::{Duration, Instant};
use support::{Site, cases, check_runs, until, whole_stream};

/// Header of a leave notice.
const LEAVING: &str = "Server-Leaving";

/// Time after which a departing upstream gets no more requests, as users require.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls an entry until an upstream has run a call.
async fn call_until_run_by(site: &Site, entry: usize, instance: &str) {
    until("a run of the upstream", || async {
        let id = site.id();
        site.call(entry, "GET", "/fetch/a", &id)
            .send()
            .await
            .unwrap();
        site.record
            .runs_of(&id)
            .iter()
            .any(|run| run.instance == instance)
    })
    .await;
}

/// Counts the runs of an upstream that began after `from`.
fn runs_after(site: &Site, instance: &str, from: Instant) -> usize {
    let runs = site.record.runs();
    let later_runs = runs
        .iter()
        .filter(|r| r.instance == instance && r.began > from);
    later_runs.count()
}

/// Waits until an entry shows a departing upstream.
async fn until_leaving(site: &Site, entry: usize) {
    until("the leave notice", || async {
        let (_, shown) = site.run_fireflyctl(entry, &["entries", "upstreams"]).await;
        shown.contains(" leaving ")
    })
    .await;
}

cases! {
    entry_hears_from_another_one_what_an_answer_said(site: 2) {
        site.store.set_mode(StoreMode::Silent);
        site.plains[0].set_header(LEAVING, Some("1"));
        call_until_run_by(&site, 0, "p-0").await;
        until_leaving(&site, 1).await;
        let leaving_known_at = Instant::now();
        for _ in 0..20 {
            let call = site.call(1, "GET", "/fetch/a", &site.id());
            assert_eq!(call.send().await.unwrap().status(), 200);
        }
        assert_eq!(runs_after(&site, "p-0", leaving_known_at), 0);
    }

    run_goes_on_elsewhere_when_its_answer_says_that_the_engine_leaves(site: 1) {
        site.store.set_mode(StoreMode::Silent);
        for engine in &site.engines {
            engine.set_header(LEAVING, Some("1"));
            engine.report_leaving(1_700);
        }
        let id = site.id();
        let stream = site.large_prompt(0, "/log/a", 300, &id).send();
        let engine = site.engine_of(&id);
        let (answer, engine) = futures_util::future::join(stream, engine).await;
        // The other engine stays, since only this one's response has arrived.
        until_leaving(&site, 0).await;
        let body = answer.unwrap().text().await.unwrap();
        assert_eq!(body, whole_stream(&id, 300));
        let runs = site.record.runs_of(&id);
        assert_ne!(runs.last().unwrap().instance, site.engines[engine].instance());
        check_runs(&site, &id);
    }

    upstream_whose_answers_say_that_it_leaves_gets_nothing_more_in_an_outage(site: 1) {
        site.store.set_mode(StoreMode::Silent);
        site.plains[0].set_header(LEAVING, Some("1"));
        call_until_run_by(&site, 0, "p-0").await;
        tokio::time::sleep(DRAIN_TIMEOUT).await;
        let leaving_known_at = Instant::now();
        for _ in 0..60 {
            let call = site.call(0, "GET", "/fetch/a", &site.id());
            assert_eq!(call.send().await.unwrap().status(), 200);
        }
        assert_eq!(runs_after(&site, "p-0", leaving_known_at), 0);
    }
}
