//! Entry processes with a store that is restored from a backup taken shortly before, as in the
//! drills that users announced.
//!
//! Without the store's era an entry compares revisions that were assigned twice: an engine that
//! announces its departure again, at a revision below its known one, keeps getting requests, and
//! one that started after the backup is considered removed.

mod support;

use serde_json::{Value, json};
use standins::site::{EngineKind, StoreMode};
use std::net::IpAddr;
use support::{KEY, Site, cases, until, whole_stream};

/// Waits until an entry knows this era of the store.
async fn until_era(site: &Site, entry: usize, era: u64) {
    until("the era", || async {
        site.status(entry).await["store_era"] == era
    })
    .await;
}

/// Returns whether an entry considers an upstream as serving.
async fn serves(site: &Site, entry: usize, instance: &str) -> bool {
    let (_, shown) = site
        .run_fireflyctl(entry, &["entries", "upstreams", "--json"])
        .await;
    let shown: Value = serde_json::from_str(&shown).unwrap();
    let all = shown[0]["upstreams"].as_array().unwrap();
    let known = all.iter().find(|u| u["instance"] == instance);
    known.is_some_and(|u| u["serves"] == true)
}

fn announce_state(site: &Site, engine: usize, state: &str) {
    let engine = &site.engines[engine];
    let entry = engine.registration("models", state);
    site.store.put("servers", &engine.instance(), &entry);
}

/// Writes enough objects that revisions after the restore stay below those before it for the
/// whole test.
fn write_many_objects(site: &Site) {
    for n in 0..60 {
        site.store.put("others", &format!("o-{n}"), &json!({}));
    }
}

async fn until_leaving(site: &Site, entry: usize, instance: &str) {
    until("the departure", || async {
        !serves(site, entry, instance).await
    })
    .await;
}

cases! {
    leaving_said_again_at_a_lower_revision_holds(site: 2) {
        let copy = site.store.snapshot();
        write_many_objects(&site);
        announce_state(&site, 1, "ready");
        for entry in 0..2 {
            until("the record", || serves(&site, entry, "m-1")).await;
        }
        site.store.restore(copy);
        announce_state(&site, 1, "draining");
        for entry in 0..2 {
            until_leaving(&site, entry, "m-1").await;
        }
        for n in 0..6 {
            let id = site.id();
            let answer = site.generation(n % 2, "/log/a", 3, &id).send().await.unwrap();
            assert_eq!(answer.status(), 200);
            assert_eq!(site.engine_of(&id).await, 0);
        }
    }

    upstream_that_left_is_not_believed_to_serve(site: 2) {
        let copy = site.store.snapshot();
        announce_state(&site, 1, "draining");
        for entry in 0..2 {
            until_leaving(&site, entry, "m-1").await;
        }
        site.store.restore(copy);
        for entry in 0..2 {
            until_era(&site, entry, 1).await;
            assert!(!serves(&site, entry, "m-1").await);
        }
    }

    upstream_without_a_start_that_left_is_not_believed_to_serve(site: 2) {
        site.start_engine(2).await;
        site.engines[2].omit_start();
        announce_state(&site, 2, "ready");
        for entry in 0..2 {
            until("the new engine", || serves(&site, entry, "m-2")).await;
        }
        let copy = site.store.snapshot();
        announce_state(&site, 2, "draining");
        for entry in 0..2 {
            until_leaving(&site, entry, "m-2").await;
        }
        site.store.restore(copy);
        announce_state(&site, 0, "draining");
        for entry in 0..2 {
            until_leaving(&site, entry, "m-0").await;
            assert!(!serves(&site, entry, "m-2").await, "{}", site.log(entry));
        }
    }

    engine_that_started_since_the_copy_goes_on(site: 2) {
        let copy = site.store.snapshot();
        site.add_engine(2).await;
        for entry in 0..2 {
            until("the new engine", || serves(&site, entry, "m-2")).await;
        }
        announce_state(&site, 0, "draining");
        announce_state(&site, 1, "draining");
        for entry in 0..2 {
            until_leaving(&site, entry, "m-0").await;
            until_leaving(&site, entry, "m-1").await;
        }
        let id = site.id();
        let running = site.generation(0, "/log/a", 200, &id).send().await.unwrap();
        assert_eq!(site.engine_of(&id).await, 2);
        site.store.restore(copy);
        for entry in 0..2 {
            until_era(&site, entry, 1).await;
            assert!(serves(&site, entry, "m-2").await, "{}", site.log(entry));
        }
        let engine = &site.engines[2];
        site.store.put("servers", "m-2", &engine.registration("models", "ready"));
        assert_eq!(running.text().await.unwrap(), whole_stream(&id, 200));
        assert_eq!(site.record.runs_of(&id).len(), 1, "the run was migrated");
    }

    configuration_does_not_go_back(site: 2) {
        let copy = site.store.snapshot();
        site.publish_routes(&[KEY], &[("new", "/new/")]);
        for entry in 0..2 {
            until("the new route", || async {
                let answer = site.call(entry, "GET", "/new/a", &site.id()).send().await.unwrap();
                answer.status() == 200
            })
            .await;
        }
        site.store.restore(copy);
        for entry in 0..2 {
            until_era(&site, entry, 1).await;
            let answer = site.call(entry, "GET", "/new/a", &site.id()).send().await.unwrap();
            assert_eq!(answer.status(), 200);
        }
        site.publish_routes(&[KEY], &[("newer", "/newer/")]);
        until("the newer route", || async {
            let answer = site.call(1, "GET", "/newer/a", &site.id()).send().await.unwrap();
            answer.status() == 200
        })
        .await;
    }

    entry_cut_off_hears_of_the_era_from_another(site: 3) {
        let copy = site.store.snapshot();
        write_many_objects(&site);
        announce_state(&site, 1, "ready");
        let denied = IpAddr::V4(site.entries[1].ip);
        site.store.set_mode(StoreMode::Deny(vec![denied]));
        site.store.restore(copy);
        announce_state(&site, 1, "draining");
        until_era(&site, 1, 1).await;
        until_leaving(&site, 1, "m-1").await;
    }

    two_drills_and_an_outage(site: 2) {
        let copy = site.store.snapshot();
        write_many_objects(&site);
        site.store.restore(copy.clone());
        write_many_objects(&site);
        site.store.set_mode(StoreMode::Reset);
        site.store.restore(copy);
        site.store.set_mode(StoreMode::Up);
        site.register(EngineKind::Model, 0, "draining").await;
        for entry in 0..2 {
            until_era(&site, entry, 2).await;
            until_leaving(&site, entry, "m-0").await;
        }
    }
}
