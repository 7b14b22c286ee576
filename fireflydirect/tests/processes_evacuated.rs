//! Entry processes while the operator evacuates a data centre and reinstates it.
//!
//! Guards against requests that reach engines of an evacuated data centre later than allowed, with
//! the store healthy, unreachable or changed meanwhile.

mod support;

use serde_json::{Value, json};
use standins::site::StoreMode;
use std::net::IpAddr;
use support::{Site, cases, until, whole_stream};

fn evacuate(site: &Site, data_centre: &str) {
    site.store.put("evacuations", data_centre, &json!({}));
}

/// Waits until an entry has applied the evacuation of exactly these data centres.
async fn until_evacuated(site: &Site, entry: usize, data_centres: Value) {
    until("the evacuation", || async {
        site.status(entry).await["evacuated"] == data_centres
    })
    .await;
}

/// Sends calls and generations, none of which may run on the upstreams in `b`.
async fn check_no_new_runs_in_b(site: &Site, entry: usize) {
    for n in 0..6 {
        let (call, generation) = (site.id(), site.id());
        let answer = site.call(entry, "GET", &format!("/fetch/{n}"), &call);
        assert_eq!(answer.send().await.unwrap().status(), 200);
        let answer = site.generation(entry, "/log/a", 3, &generation);
        assert_eq!(answer.send().await.unwrap().status(), 200);
        for id in [call, generation] {
            let runs = site.record.runs_of(&id);
            assert!(
                runs.iter().all(|run| run.instance.ends_with("-0")),
                "{runs:?}"
            );
        }
    }
}

cases! {
    evacuated_data_centre_gets_nothing_new_and_ends_what_runs(site: 2) {
        site.split_data_centres().await;
        evacuate(&site, "a");
        until_evacuated(&site, 0, json!(["a"])).await;
        let id = site.id();
        let running = site.generation(0, "/log/a", 150, &id).send().await.unwrap();
        assert_eq!(site.engine_of(&id).await, 1);
        site.store.remove("evacuations", "a");
        evacuate(&site, "b");
        for entry in 0..2 {
            until_evacuated(&site, entry, json!(["b"])).await;
            check_no_new_runs_in_b(&site, entry).await;
        }
        assert_eq!(running.text().await.unwrap(), whole_stream(&id, 150));
        assert_eq!(site.record.runs_of(&id).len(), 1, "the run was migrated");
    }

    data_centre_that_is_taken_back_serves_again(site: 1) {
        site.split_data_centres().await;
        evacuate(&site, "a");
        evacuate(&site, "b");
        until_evacuated(&site, 0, json!(["a", "b"])).await;
        let refused = site.call(0, "GET", "/fetch/a", &site.id()).send().await.unwrap();
        assert_eq!(refused.status(), 503);
        assert!(refused.headers().contains_key("retry-after"));
        site.store.remove("evacuations", "b");
        until("service", || async {
            let answer = site.call(0, "GET", "/fetch/a", &site.id()).send().await.unwrap();
            answer.status() == 200
        })
        .await;
    }

    entry_cut_off_from_the_store_hears_of_an_evacuation(site: 3) {
        site.split_data_centres().await;
        let denied = site.entries.iter().take(2).map(|e| IpAddr::V4(e.ip));
        site.store.set_mode(StoreMode::Deny(denied.collect()));
        evacuate(&site, "b");
        for entry in 0..3 {
            until_evacuated(&site, entry, json!(["b"])).await;
            check_no_new_runs_in_b(&site, entry).await;
        }
    }

    entry_that_starts_in_an_outage_hears_of_an_evacuation(site: 1) {
        site.split_data_centres().await;
        evacuate(&site, "b");
        until_evacuated(&site, 0, json!(["b"])).await;
        site.store.set_mode(StoreMode::Reset);
        site.add_entry(2).await;
        site.until_ready(1).await;
        until_evacuated(&site, 1, json!(["b"])).await;
        check_no_new_runs_in_b(&site, 1).await;
    }

    evacuation_that_no_watch_saw_is_found(site: 2) {
        site.split_data_centres().await;
        site.store.set_mode(StoreMode::Stale);
        evacuate(&site, "b");
        // The store's history of that time is dropped.
        site.store.set_mode(StoreMode::Up);
        for entry in 0..2 {
            until_evacuated(&site, entry, json!(["b"])).await;
            check_no_new_runs_in_b(&site, entry).await;
        }
    }
}
