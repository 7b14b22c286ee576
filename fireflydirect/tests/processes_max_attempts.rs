//! Entry processes whose resumable streams break off at one engine after the other.

mod support;

use standins::site::AnswerFault;
use support::crashes::site_of;
use support::{until, whole_stream};

/// Engines that one attempt on the route may be sent to.
const MAX_ATTEMPTS: usize = 2;

/// Events of a stream.
const EVENTS: u64 = 100;

/// Engines of a site.
const ENGINES: u8 = 6;

macro_rules! cases {
    ($($name:ident($site:ident) $body:block)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let $site = site_of(ENGINES, 1).await;
                $body
                $site.check();
            }
        )+
    };
}

cases! {
    resumable_stream_runs_at_no_more_engines_than_its_route_allows(site) {
        for engine in &site.engines {
            engine.set_fault(AnswerFault::Truncate);
        }
        for _ in 0..10 {
            let id = site.id();
            let answer = site.stream(0, "/grade/a", EVENTS, &id).send().await.unwrap();
            assert!(answer.text().await.is_err());
            let runs = site.record.runs_of(&id);
            assert_eq!(runs.len(), MAX_ATTEMPTS, "{runs:#?} {}", site.log(0));
        }
    }

    engines_that_ended_do_not_count_for_a_resumable_stream(site) {
        let id = site.id();
        let answer = site.stream(0, "/grade/a", EVENTS, &id).send().await.unwrap();
        let lose = async {
            for number in 1..=MAX_ATTEMPTS {
                site.engines[site.engine_of(&id).await].kill();
                until("the next engine", || async { site.record.runs_of(&id).len() > number }).await;
            }
        };
        let (body, ()) = futures_util::future::join(answer.text(), lose).await;
        assert_eq!(body.unwrap_or_default(), whole_stream(&id, EVENTS), "{}", site.log(0));
    }
}
