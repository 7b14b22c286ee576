//! Entry processes with upstreams that reject requests and ask for a pause.

mod support;

use standins::site::AnswerFault;
use std::time::{Duration, Instant};
use support::{Site, cases, until};

/// Header of the pause requested by an upstream that rejects a request.
const RETRY_AFTER: &str = "Retry-After";

/// Time after such a response from which requests count, as users require.
const REACTION_TIME: Duration = Duration::from_millis(500);

/// Requests that may reach the upstream from then until the end of the pause, as users require.
const MAX_REQUESTS_IN_PAUSE: usize = 2;

/// Makes a plain upstream reject all requests with a pause, and waits until it has rejected one of
/// the first entry.
async fn start_pause(site: &Site, plain: usize, seconds: &str) -> Instant {
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

/// Counts the requests that reach a plain upstream from half a second after its response to the end
/// of its pause of three seconds, while callers continue; every caller gets `status`.
async fn requests_in_pause(site: &Site, plain: usize, status: u16) -> usize {
    let started = start_pause(site, plain, "3").await;
    tokio::time::sleep(REACTION_TIME).await;
    let before = site.plains[plain].rejected();
    while started.elapsed() < Duration::from_millis(2_800) {
        let call = site.call(0, "GET", "/fetch/a", &site.id());
        assert_eq!(call.send().await.unwrap().status(), status);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    site.plains[plain].rejected() - before
}

cases! {
    upstream_that_asks_for_a_pause_gets_nothing_until_its_end(site: 1) {
        let within = requests_in_pause(&site, 0, 200).await;
        assert!(within <= MAX_REQUESTS_IN_PAUSE, "{within} within the pause");
    }

    only_upstream_that_asks_for_a_pause_gets_nothing_until_its_end(site: 1) {
        site.store.put("servers", "p-1", &site.plains[1].registration("records", "draining"));
        until("the other upstream's leave notice", || async {
            site.run_fireflyctl(0, &["entries", "upstreams"]).await.1.contains(" leaving ")
        })
        .await;
        let within = requests_in_pause(&site, 0, 503).await;
        assert!(within <= MAX_REQUESTS_IN_PAUSE, "{within} within the pause");
    }
}
