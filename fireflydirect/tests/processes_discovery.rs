//! Entry processes that no seed answers, and that find each other through the store.

mod support;

use fireflycroft_platform::{Kind, list_path};
use reqwest::Client;
use serde_json::{Value, json};
use standins::site::StoreMode;
use support::crashes::{until_acquainted, until_informed};
use support::{KEY, Site, cases, until};

/// Kind of the objects by which entries are found.
fn kind() -> String {
    let path = list_path(Kind::Entries, None);
    path.rsplit('/').next().unwrap_or_default().to_owned()
}

/// Returns the names of the objects by which entries are found.
async fn registered(site: &Site) -> Vec<String> {
    let path = list_path(Kind::Entries, None);
    let url = format!("http://{}{path}", site.store.addr());
    let page: Value = Client::new()
        .get(url)
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    let items = page["items"].as_array().unwrap().iter();
    items
        .map(|o| o["metadata"]["name"].as_str().unwrap().to_owned())
        .collect()
}

/// Starts entries while the store is silent, and waits until it has been called that often after each has lost it.
async fn start_in_silence(site: &mut Site, entries: u8, calls: u64) {
    site.publish(&[KEY]);
    site.store.set_mode(StoreMode::Silent);
    for last in 1..=entries {
        site.add_entry(last).await;
    }
    for entry in 0..usize::from(entries) {
        let is_lost = || async { site.log(entry).contains("event=store_lost kind=Config") };
        until("loss of the store", is_lost).await;
    }
    let before = site.store.calls();
    until("the probes", || async {
        site.store.calls() >= before + calls
    })
    .await;
}

/// Returns the number of an entry's calls for discovery that failed.
fn failed_calls(site: &Site, entry: usize) -> usize {
    site.log(entry).matches("event=discovery_failed").count()
}

cases! {
    entries_that_no_seed_answers_find_each_other(site: 1) {
        site.add_entries_without_seeds().await;
        until_acquainted(&site, 3).await;
    }

    entries_that_start_at_once_without_a_seed_find_each_other(site: 0) {
        site.seeds = vec![240, 241];
        site.start_entries(3).await;
        for entry in 0..3 {
            until_informed(&site, entry).await;
        }
        until_acquainted(&site, 3).await;
    }

    entries_find_each_other_once_the_store_takes_their_calls(site: 0) {
        site.store.put(&kind(), "no address", &json!({}));
        site.store.put_text(&kind(), "127.0.0.1x", "[[[");
        site.seeds = vec![240, 241];
        site.start_entries(2).await;
        until_acquainted(&site, 2).await;
    }

    entries_whose_objects_are_lost_are_found_again(site: 1) {
        let before = site.store.snapshot();
        until("the first entry's object", || async { !registered(&site).await.is_empty() }).await;
        site.store.restore(before);
        site.add_entries_without_seeds().await;
        until_acquainted(&site, 3).await;
    }

    entry_that_stops_leaves_no_object_behind(site: 1) {
        until("its object", || async { !registered(&site).await.is_empty() }).await;
        site.entries[0].signal("TERM");
        until("its end", || async { registered(&site).await.is_empty() }).await;
    }

    watchers_of_a_silent_store_register_once_it_answers(site: 0) {
        start_in_silence(&mut site, 3, 50).await;
        let failed: Vec<usize> = (0..3).map(|e| failed_calls(&site, e)).collect();
        assert_eq!(failed, [0; 3], "calls to a silent store");
        site.store.set_mode(StoreMode::Up);
        until("their objects", || async { registered(&site).await.len() == 3 }).await;
    }

    entries_without_a_seed_find_each_other_once_the_store_answers(site: 0) {
        site.seeds = vec![240, 241];
        start_in_silence(&mut site, 2, 30).await;
        for entry in 0..2 {
            // They watch it two seconds after their start; a call takes a second to fail.
            let failed = failed_calls(&site, entry);
            assert!(failed <= 2, "{failed} calls to a silent store");
        }
        site.store.set_mode(StoreMode::Up);
        until_acquainted(&site, 2).await;
    }
}
