//! Real entries before upstreams that turn requests away and say for how long they want nothing.

mod support;

use standins::site::AnswerFault;
use std::time::{Duration, Instant};
use support::{Site, cases, until};

/// Header in which an upstream that turns a request away says for how long.
const RETRY_AFTER: &str = "Retry-After";

/// Time after such an answer from which requests count: the users' rule.
const HEARD_WITHIN: Duration = Duration::from_millis(500);

/// Requests that may reach the upstream between then and the end of the pause: the users' rule.
const ALLOWED: usize = 2;

/// Lets a plain upstream turn all requests away for a pause, until it has said so to the first entry.
async fn pause(site: &Site, plain: usize, seconds: &str) -> Instant {
    let upstream = &site.plains[plain];
    upstream.set_header(RETRY_AFTER, Some(seconds));
    upstream.set_fault(AnswerFault::Reject);
    until("a request that is turned away", || async {
        let call = site.call(0, "GET", "/fetch/a", &site.id());
        call.send().await.unwrap();
        upstream.rejected() > 0
    })
    .await;
    Instant::now()
}

/// Requests that reach a plain upstream from half a second after its word to the end of its pause of
/// three seconds, while callers go on asking; every caller gets `status`.
async fn reach_in_pause(site: &Site, plain: usize, status: u16) -> usize {
    let begun = pause(site, plain, "3").await;
    tokio::time::sleep(HEARD_WITHIN).await;
    let before = site.plains[plain].rejected();
    while begun.elapsed() < Duration::from_millis(2_800) {
        let call = site.call(0, "GET", "/fetch/a", &site.id());
        assert_eq!(call.send().await.unwrap().status(), status);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    site.plains[plain].rejected() - before
}

cases! {
    upstream_that_asks_for_a_pause_gets_nothing_until_its_end(site: 1) {
        let within = reach_in_pause(&site, 0, 200).await;
        assert!(within <= ALLOWED, "{within} within the pause");
    }

    only_upstream_that_asks_for_a_pause_gets_nothing_until_its_end(site: 1) {
        site.store.put("servers", "p-1", &site.plains[1].registration("records", "draining"));
        until("word of the other one's leaving", || async {
            site.operate(0, &["entries", "upstreams"]).await.1.contains(" leaving ")
        })
        .await;
        let within = reach_in_pause(&site, 0, 503).await;
        assert!(within <= ALLOWED, "{within} within the pause");
    }
}
