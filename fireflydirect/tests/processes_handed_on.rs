//! Entry processes that learn of changes from the others, beside odd objects in the store and entries
//! that hand nothing out.

mod support;

use serde_json::{Value, json};
use support::{KEY, OtherBuild, Site, cases, outcome, until};

/// Entries of a site of which the first three watch the store.
const IDLE: [usize; 2] = [3, 4];

/// Text that is longer than any name that entries tell each other.
fn long_text() -> String {
    "1234567890".repeat(200)
}

/// Text that makes whatever holds it longer than any datagram.
fn huge_text() -> String {
    "1234567890".repeat(9_000)
}

/// Returns a record of an upstream that nobody knows, with one member replaced.
fn record_with(member: &str, value: Value) -> Value {
    let mut record = json!({"service": "records", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 1,
        "state": "ready", "born": 1});
    record[member] = value;
    record
}

/// Waits until an entry has logged something.
async fn until_logged(site: &Site, entry: usize, line: &str) {
    until(line, || async { site.log(entry).contains(line) }).await;
}

/// Waits until all entries know each other.
async fn until_met(site: &Site) {
    let all = format!("firefly_direct_peers {}", site.entries.len() - 1);
    for entry in 0..site.entries.len() {
        until("the other entries", || async {
            site.metrics(entry).await.contains(&all)
        })
        .await;
    }
}

/// Publishes a route and checks that the entries that don't watch learn of it from the others, as always.
async fn check_handed_on(site: &mut Site) {
    site.publish_routes(&[KEY], &[("new", "/new/")]);
    for entry in IDLE {
        until_logged(site, entry, " version=2 ").await;
        let log = site.log(entry);
        let adopted = log
            .lines()
            .find(|l| l.contains("config_adopted") && l.contains(" version=2 "));
        assert!(adopted.is_some_and(|l| l.contains("source=peer")), "{log}");
    }
    for entry in 0..site.entries.len() {
        let log = site.log(entry);
        assert!(!log.contains("datagram_unreadable"), "{log}");
        assert!(!log.contains("datagram_unsent"), "{log}");
    }
}

/// Writes a record of a stranger and checks that the next configuration reaches all entries beside it.
async fn check_beside_record(site: &mut Site, name: &str, record: &Value) {
    until_met(site).await;
    site.store.put("servers", name, record);
    site.add_plain(2).await;
    for entry in 0..3 {
        until_logged(site, entry, "instance=p-2").await;
    }
    check_handed_on(site).await;
}

/// Adds an entry beside others that watch the store, so that it doesn't.
async fn add_idle_entry(site: &mut Site) {
    site.add_entry(4).await;
    site.until_ready(0).await;
    assert!(!site.log(0).contains("watching=true"), "{}", site.log(0));
}

/// Waits until the only entry serves the route added last.
async fn until_new_route_is_served(site: &Site) {
    until("an answer", || async {
        let answer = site
            .call(0, "GET", "/new/a", &site.id())
            .send()
            .await
            .unwrap();
        outcome(&answer).0 == 200
    })
    .await;
}

cases! {
    configuration_is_handed_on_beside_a_service_with_a_long_name(site: 5) {
        check_beside_record(&mut site, "x", &record_with("service", json!(long_text()))).await;
    }

    configuration_is_handed_on_beside_a_data_centre_with_a_long_name(site: 5) {
        check_beside_record(&mut site, "x", &record_with("zone", json!(long_text()))).await;
    }

    configuration_is_handed_on_beside_a_long_software_version(site: 5) {
        check_beside_record(&mut site, "x", &record_with("version", json!(long_text()))).await;
    }

    configuration_is_handed_on_beside_an_upstream_with_a_long_name(site: 5) {
        check_beside_record(&mut site, &long_text(), &record_with("slots", json!(1))).await;
    }

    configuration_is_handed_on_beside_a_record_larger_than_a_datagram(site: 5) {
        check_beside_record(&mut site, "x", &record_with("zone", json!(huge_text()))).await;
    }

    configuration_is_handed_on_beside_an_evacuation_with_a_long_name(site: 5) {
        until_met(&site).await;
        site.store.put("evacuations", &long_text(), &json!({}));
        site.store.put("evacuations", "b", &json!({}));
        for entry in 0..5 {
            until_logged(&site, entry, "evacuations_changed data_centres=b").await;
        }
        check_handed_on(&mut site).await;
    }

    configuration_is_handed_on_beside_more_evacuations_than_a_datagram_holds(site: 5) {
        until_met(&site).await;
        for number in 0..200 {
            site.store.put("evacuations", &format!("{number}{}", "x".repeat(900)), &json!({}));
        }
        until_logged(&site, 0, "evacuations_changed").await;
        check_handed_on(&mut site).await;
    }

    configuration_that_no_other_entry_hands_out_is_read_from_the_store(site: 0) {
        let mut site = Site::without_entries().await;
        site.publish(&[KEY]);
        let state = json!("nothing that can be read");
        let mut others = Vec::new();
        for seed in 1..=3 {
            others.push(OtherBuild::start(&site, seed, 4, 2, &state).await);
        }
        add_idle_entry(&mut site).await;
        site.publish_routes(&[KEY], &[("new", "/new/")]);
        until_new_route_is_served(&site).await;
        assert!(site.log(0).contains("peer_fetch_failed"), "{}", site.log(0));
    }

    configuration_comes_beside_a_list_that_does_not_end(site: 0) {
        let mut site = Site::without_entries().await;
        site.publish(&[KEY]);
        let mut others = Vec::new();
        for seed in 1..=3 {
            others.push(OtherBuild::with_an_endless_list(&site, seed, 4).await);
        }
        add_idle_entry(&mut site).await;
        until("a fetch of the list", || async { others.iter().any(|o| o.fetched() > 0) }).await;
        site.publish_routes(&[KEY], &[("new", "/new/")]);
        others.push(OtherBuild::start(&site, 5, 4, 2, &site.whole_config()).await);
        until_new_route_is_served(&site).await;
    }

    entry_that_hears_no_announcement_of_a_watcher_reads_the_store(site: 0) {
        let mut site = Site::without_entries().await;
        site.publish(&[KEY]);
        let mut others = Vec::new();
        for seed in 1..=3 {
            others.push(OtherBuild::start(&site, seed, 4, 1, &Value::Null).await);
        }
        add_idle_entry(&mut site).await;
        for other in &others {
            other.stop_announcing();
        }
        site.publish_routes(&[KEY], &[("new", "/new/")]);
        until_new_route_is_served(&site).await;
    }

    configuration_whose_transfer_does_not_end_is_read_from_the_store(site: 0) {
        let mut site = Site::without_entries().await;
        site.publish(&[KEY]);
        let mut others = Vec::new();
        for seed in 1..=3 {
            others.push(OtherBuild::with_an_endless_state(&site, seed, 4, 2).await);
        }
        add_idle_entry(&mut site).await;
        until("a fetch of the state", || async { others.iter().any(|o| o.fetched() > 0) }).await;
        site.publish_routes(&[KEY], &[("new", "/new/")]);
        until_new_route_is_served(&site).await;
    }

    one_list_is_fetched_at_a_time(site: 0) {
        let mut site = Site::without_entries().await;
        site.publish(&[KEY]);
        let mut others = Vec::new();
        for seed in 1..=3 {
            others.push(OtherBuild::with_an_endless_list(&site, seed, 4).await);
        }
        add_idle_entry(&mut site).await;
        let fetched = || others.iter().map(OtherBuild::fetched).sum::<usize>();
        until("a fetch of the list", || async { fetched() > 0 }).await;
        let announced = others[0].announced();
        until("further announcements", || async { others[0].announced() >= announced + 40 }).await;
        // One more may be of the configuration, at the start.
        assert!(fetched() <= 2, "fetched {} times", fetched());
    }
}
