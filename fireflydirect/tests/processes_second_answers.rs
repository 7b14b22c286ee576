//! Entry processes whose engines send their answers to moves a second time.

mod support;

use futures_util::future::join_all;
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
