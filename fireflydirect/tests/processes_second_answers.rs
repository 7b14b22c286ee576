//! Entry processes whose engines send their answers to moves a second time.

mod support;

use futures_util::future::join_all;
use standins::site::{Engine, EngineKind};
use support::{Site, cases, until, whole_stream};

/// Events of a stream that outlasts the departure of its engine.
const LONG: u64 = 250;

/// Streams in progress on an engine that leaves.
const STREAMS: usize = 8;

/// Runs streams on an engine that leaves, while all answers about memory come twice.
async fn leave_amid_second_answers(site: &mut Site, with_ids: bool) {
    site.add_engine(2).await;
    site.add_engine(3).await;
    until("the engines", || async {
        site.log(0).contains("event=upstream_came instance=m-3")
    })
    .await;
    for engine in &site.engines {
        engine.repeat_move_answers(with_ids);
    }
    for leaving in 0..2 {
        let ids: Vec<String> = (0..STREAMS * 4).map(|_| site.id()).collect();
        // Too short for backups, from which they would go on.
        let begun = ids.iter().map(|id| {
            let req = site.stream(0, "/log/a", LONG, id);
            req.header("X-Token-Usage", "500,20")
                .header("X-Prompt-Prefix", "a1:80,b2:420")
        });
        let answers = join_all(begun.map(reqwest::RequestBuilder::send)).await;
        let leaver = &site.engines[leaving];
        let record = leaver.registration("models", "draining");
        site.store.put("servers", &leaver.instance(), &record);
        let bodies = answers.into_iter().map(|a| a.unwrap().text());
        let bodies = join_all(bodies).await;
        for (id, body) in ids.iter().zip(bodies) {
            // A move that fails leaves the run where it is, until its engine ends.
            let body = body.unwrap_or_default();
            assert!(whole_stream(id, LONG).starts_with(&body), "{id}: {body}");
        }
    }
    assert_eq!(site.record.foreign_memory(), Vec::<String>::new());
    let moved = site.log(0).matches("outcome=moved").count();
    assert!(moved > 0, "nothing was moved");
}

cases! {
    second_answer_to_a_move_gives_no_run_the_memory_of_another(site: 1) {
        leave_amid_second_answers(&mut site, true).await;
    }

    second_answer_without_an_id_gives_no_run_the_memory_of_another(site: 1) {
        leave_amid_second_answers(&mut site, false).await;
    }

    own_call_at_an_address_taken_by_another_service_runs_nothing(site: 1) {
        let id = site.id();
        let req = site.stream(0, "/log/a", LONG, &id);
        let answer = req.header("X-Token-Usage", "500,20").send().await.unwrap();
        let leaving = site.engine_of(&id).await;
        let record = site.engines[leaving].registration("models", "draining");
        site.store.put("servers", &site.engines[leaving].instance(), &record);
        until("the notice", || async { site.log(0).contains("event=upstream_leaves") }).await;
        site.engines[leaving].kill();
        let addr = site.engines[leaving].addr();
        let taker = loop {
            let start = Engine::start(EngineKind::Plain, "p-9", addr, site.record.clone());
            if let Ok(taker) = start.await {
                break taker;
            }
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        };
        let _ = answer.text().await;
        until("the question", || async { site.log(0).contains("event=departure_unknown") }).await;
        let foreign = site.record.runs().into_iter().find(|r| r.instance == "p-9");
        assert!(foreign.is_none(), "{foreign:?}");
        drop(taker);
    }

    second_answer_to_a_move_is_no_answer_to_a_request(site: 1) {
        leave_amid_second_answers(&mut site, false).await;
        for _ in 0..20 {
            let id = site.id();
            let answer = site.stream(0, "/log/a", 5, &id).send().await.unwrap();
            assert_eq!(answer.status(), 200, "{}", site.log(0));
            assert_eq!(answer.text().await.unwrap(), whole_stream(&id, 5));
        }
    }
}
