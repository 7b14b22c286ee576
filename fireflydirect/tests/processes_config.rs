//! Entry processes whose store holds more than the operator's configuration.

mod support;

use serde_json::{Value, json};
use support::strangers::{OTHER_VERSION, without_routes};
use support::{KEY, OtherBuild, Site, cases, outcome, until};

/// Objects of somebody else beside the configuration.
const MANY: u64 = 200;

/// Waits until all entries serve a path.
async fn until_served(site: &Site, path: &str) {
    for entry in 0..site.entries.len() {
        until("an answer", || async {
            let answer = site
                .call(entry, "GET", path, &site.id())
                .send()
                .await
                .unwrap();
            outcome(&answer).0 == 200
        })
        .await;
    }
}

/// Waits until an entry has read an object of the kind `config`.
async fn until_read(site: &Site, name: &str) {
    let name = format!(" name={name} ");
    until("the object", || async {
        (0..site.entries.len()).any(|e| site.log(e).contains(&name))
    })
    .await;
}

/// Returns another object than the configuration, as an entry hands it out.
fn draft() -> Value {
    let draft = json!({"name": "draft", "revision": 99, "content": without_routes(OTHER_VERSION)});
    json!({"Whole": draft})
}

cases! {
    configuration_beside_the_operators_is_not_adopted_at_the_start(site: 0) {
        let mut site = Site::without_entries().await;
        site.store.put("config", "draft", &without_routes(OTHER_VERSION));
        site.start_entries(3).await;
        site.publish_routes(&[KEY], &[("new", "/new/")]);
        until_served(&site, "/new/a").await;
    }

    configuration_written_beside_the_operators_changes_nothing(site: 3) {
        site.store.put("config", "archive", &without_routes(OTHER_VERSION));
        until_read(&site, "archive").await;
        site.publish_routes(&[KEY], &[("new", "/new/")]);
        until_served(&site, "/new/a").await;
        site.store.remove("config", "archive");
        site.publish_routes(&[KEY], &[("newer", "/newer/")]);
        until_served(&site, "/newer/a").await;
    }

    removed_configuration_stays_in_force_until_the_next(site: 2) {
        site.store.remove("config", "main");
        site.store.compact();
        until_served(&site, "/fetch/a").await;
        site.publish_routes(&[KEY], &[("new", "/new/")]);
        until_served(&site, "/new/a").await;
    }

    configuration_that_another_build_took_for_the_operators_is_fetched_once(site: 1) {
        let other = OtherBuild::start(&site, 9, 1, OTHER_VERSION, &draft()).await;
        until_read(&site, "draft").await;
        let announced = other.announced();
        until("further announcements", || async { other.announced() >= announced + 40 }).await;
        assert!(other.fetched() <= 2, "fetched {} times", other.fetched());
        site.publish_routes(&[KEY], &[("new", "/new/")]);
        until_served(&site, "/new/a").await;
    }

    entry_beside_watchers_that_hold_another_object_learns_of_changes(site: 0) {
        let mut site = Site::without_entries().await;
        site.publish(&[KEY]);
        let mut others = Vec::new();
        for seed in 1..=3 {
            others.push(OtherBuild::start(&site, seed, 4, OTHER_VERSION, &draft()).await);
        }
        site.add_entry(4).await;
        site.until_ready(0).await;
        until_read(&site, "draft").await;
        site.publish_routes(&[KEY], &[("new", "/new/")]);
        until_served(&site, "/new/a").await;
    }

    lists_go_on_after_any_name(site: 0) {
        let mut site = Site::without_entries().await;
        site.put_odd_names(1);
        site.start_entries(2).await;
        until_served(&site, "/fetch/a").await;
    }

    many_objects_before_the_configuration_cost_no_call_each(site: 0) {
        let mut site = Site::without_entries().await;
        site.store.set_page_size(1);
        for number in 0..MANY {
            site.store.put("config", &format!("a{number}"), &json!("of somebody else"));
        }
        site.start_entries(1).await;
        until_served(&site, "/fetch/a").await;
        assert!(site.store.calls() < MANY, "{} calls", site.store.calls());
    }

    large_configuration_behind_other_objects_is_read_from_the_store(site: 6) {
        site.store.set_page_size(1);
        site.store.put("config", "archive", &without_routes(OTHER_VERSION));
        let names: Vec<(String, String)> = (0..600).map(|i| (format!("n{i}"), format!("/n{i}/"))).collect();
        let routes: Vec<(&str, &str)> = names.iter().map(|(n, p)| (n.as_str(), p.as_str())).collect();
        site.publish_routes(&[KEY], &routes);
        until_served(&site, "/n599/a").await;
        for entry in 0..6 {
            let line = || site.log(entry).lines().find(|l| l.contains("config_adopted") && l.contains(" version=2 ")).map(ToOwned::to_owned);
            until("the log line", || async { line().is_some() }).await;
            assert!(line().unwrap().contains("source=store"), "entry {entry} had it sent by another");
        }
    }
}
