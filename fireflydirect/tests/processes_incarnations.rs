//! Entry processes with restarting engines and foreign records.

mod support;

use standins::site::{EngineKind, ProxyFault};
use support::{KEY, Site, cases, check_runs, until, whole_stream};

cases! {
    /// The connection to the engine is silent, so only the list shows the restart.
    engine_that_starts_again_in_silence_ends_its_runs(site: 0) {
        let mut site = Site::without_entries().await;
        site.use_proxies().await;
        site.publish(&[KEY]);
        site.add_entry(1).await;
        site.until_ready(0).await;
        let id = site.id();
        let answer = site.generation(0, "/log/a", 100, &id).send();
        let reading = tokio::spawn(async { answer.await.unwrap().text().await });
        let engine = site.engine_of(&id).await;
        let instance = site.engines[engine].instance();
        site.proxies[&instance].set_fault(ProxyFault::BlockAll);
        site.engines[engine].restart().await.unwrap();
        site.register(EngineKind::Model, engine, "ready").await;
        assert_eq!(reading.await.unwrap().unwrap(), whole_stream(&id, 100));
        check_runs(&site, &id);
        assert!(site.log(0).contains("event=upstream_restarted"));
        assert!(site.log(0).contains("its upstream started again"), "{}", site.log(0));
        let metrics = site.metrics(0).await;
        assert!(metrics.contains("firefly_direct_restarts_total{service=\"models\"} 1"), "{metrics}");
    }

    engine_that_started_again_serves(site: 1) {
        for engine in 0..2 {
            site.engines[engine].restart().await.unwrap();
            let entry = site.engines[engine].registration("models", "ready");
            site.store.put("servers", &site.engines[engine].instance(), &entry);
        }
        until("both restarts", || async { site.log(0).matches("event=upstream_restarted").count() == 2 }).await;
        let id = site.id();
        let stream = site.generation(0, "/log/a", 20, &id).send().await.unwrap();
        assert_eq!(stream.text().await.unwrap(), whole_stream(&id, 20));
    }

    strangers_record_with_a_later_start_ends_no_stream(site: 1) {
        check_later_start(&site, "nowhere").await;
    }

    strangers_record_of_a_known_service_with_a_later_start_ends_no_stream(site: 1) {
        check_later_start(&site, "records").await;
    }

    engine_that_leaves_after_its_clock_was_set_back_gets_no_requests(site: 1) {
        site.engines[0].set_clock_back();
        site.engines[0].restart().await.unwrap();
        let instance = site.engines[0].instance();
        let record = site.engines[0].registration("models", "draining");
        site.store.put("servers", &instance, &record);
        let marked = format!("event=upstream_set_aside instance={instance}");
        until("the leave notice", || async { site.log(0).contains(&marked) }).await;
        for _ in 0..12 {
            let id = site.id();
            let stream = site.stream(0, "/log/a", 3, &id).send().await.unwrap();
            assert_eq!(stream.text().await.unwrap(), whole_stream(&id, 3));
            assert_ne!(site.engine_of(&id).await, 0, "{}", site.log(0));
        }
    }

    /// Foreign records of several kinds overwrite an engine's record; the engine rewrites its own.
    records_of_strangers_name_nobody(site: 1) {
        let other_service = site.engines[0].registration("records", "ready");
        let other_state = site.engines[0].registration("models", "asleep");
        let mut other_start = site.engines[0].registration("models", "ready");
        other_start["born"] = serde_json::json!("yesterday");
        let mut no_start = site.engines[0].registration("models", "ready");
        no_start.as_object_mut().unwrap().remove("born");
        let nothing = serde_json::json!(7);
        let event_count = |site: &Site, event: &str| site.log(0).matches(&format!("event={event} instance=m-0")).count();
        for (round, foreign) in [other_service, other_state, other_start, no_start, nothing].iter().enumerate() {
            site.store.put("servers", "m-0", foreign);
            site.store.put("servers", "stranger", foreign);
            until("the foreign record", || async { event_count(&site, "upstream_set_aside") == round + 1 }).await;
            for _ in 0..4 {
                let id = site.id();
                let stream = site.generation(0, "/log/a", 3, &id).send().await.unwrap();
                assert_eq!(stream.text().await.unwrap(), whole_stream(&id, 3));
                let runs = site.record.runs_of(&id);
                assert_eq!(runs[0].instance, site.engines[1].instance(), "{foreign}");
            }
            let own = site.engines[0].registration("models", "ready");
            site.store.put("servers", "m-0", &own);
            until("its own record", || async { event_count(&site, "upstream_came") == round + 2 }).await;
        }
        assert!(site.metrics(0).await.contains("firefly_direct_unreadable_total{what=\"upstream\"}"));
    }
}

/// Overwrites an engine's record with one of this service and a later start while a stream runs there.
async fn check_later_start(site: &Site, service: &str) {
    let id = site.id();
    let stream = site.generation(0, "/log/a", 150, &id).send().await.unwrap();
    let engine = site.engine_of(&id).await;
    let instance = site.engines[engine].instance();
    let mut foreign = site.engines[engine].registration(service, "ready");
    foreign["born"] = (site.engines[engine].born() + 60_000).into();
    site.store.put("servers", &instance, &foreign);
    let marked = format!("event=upstream_set_aside instance={instance}");
    until("the foreign record", || async {
        site.log(0).contains(&marked)
    })
    .await;
    let own = site.engines[engine].registration("models", "ready");
    site.store.put("servers", &instance, &own);
    assert_eq!(
        stream.text().await.unwrap(),
        whole_stream(&id, 150),
        "{}",
        site.log(0)
    );
    let came = format!("event=upstream_came instance={instance}");
    until("its own record", || async {
        site.log(0).matches(&came).count() == 2
    })
    .await;
    site.store
        .remove("servers", &site.engines[1 - engine].instance());
    until("the new stream", || async {
        let id = site.id();
        let stream = site.generation(0, "/log/a", 3, &id).send().await.unwrap();
        stream.text().await.unwrap() == whole_stream(&id, 3)
    })
    .await;
}
