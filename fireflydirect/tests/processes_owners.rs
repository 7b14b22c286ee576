//! Entry processes that query the owners of upstreams, services and requests.

mod support;

use serde_json::Value;
use support::{KEY, Site, cases, until};

/// Returns the sum of a counter's samples whose line contains `part`.
async fn counter_sum(site: &Site, entry: usize, part: &str) -> usize {
    let text = site.metrics(entry).await;
    let samples = text
        .lines()
        .filter(|l| !l.starts_with('#') && l.contains(part));
    samples
        .filter_map(|l| l.rsplit(' ').next()?.parse::<usize>().ok())
        .sum()
}

/// Waits until every entry has heard from all others.
async fn until_all_are_known(site: &Site) {
    let others = site.entries.len() - 1;
    for entry in 0..site.entries.len() {
        until("the other entries", || async {
            counter_sum(site, entry, "firefly_direct_peers ").await >= others
        })
        .await;
    }
}

/// Returns an engine as an entry shows it to operators.
async fn shown_engine(site: &Site, entry: usize, engine: usize) -> Value {
    let instance = site.engines[engine].instance();
    let (_, shown) = site
        .run_fireflyctl(entry, &["entries", "upstreams", "--json"])
        .await;
    let shown: Value = serde_json::from_str(&shown).unwrap();
    let all = shown[0]["upstreams"].as_array().unwrap();
    let found = all.iter().find(|u| u["instance"] == instance.as_str());
    found.unwrap().clone()
}

/// Returns whether an entry is among the owners shown for an engine.
fn is_owner(site: &Site, entry: usize, shown: &Value) -> bool {
    let owners = shown["owners"].as_array().unwrap();
    let ip = site.entries[entry].ip.to_string();
    owners.iter().any(|owner| owner == &ip)
}

/// Returns whether all owners of an engine know of work there.
async fn owners_know(site: &Site, engine: usize) -> bool {
    for entry in 0..site.entries.len() {
        let shown = shown_engine(site, entry, engine).await;
        if is_owner(site, entry, &shown) && shown["running"] == 0 {
            return false;
        }
    }
    true
}

/// Returns the engine of a generation for whose choice all owners replied in time; on a busy
/// machine a reply may be too late for some.
async fn choose_with_replies(site: &Site, entry: usize) -> usize {
    loop {
        let timed_out = counter_sum(site, entry, "questions_total{end=\"timed_out\"}").await;
        let id = site.id();
        let answer = site
            .generation(entry, "/log/b", 5, &id)
            .send()
            .await
            .unwrap();
        let engine = site.engine_of(&id).await;
        answer.text().await.unwrap();
        let replied = counter_sum(site, entry, "questions_total{end=\"replied\"}").await;
        if counter_sum(site, entry, "questions_total{end=\"timed_out\"}").await == timed_out {
            assert!(replied >= 1, "no owner was queried");
            return engine;
        }
    }
}

cases! {
    what_one_entry_placed_is_known_to_the_choice_of_another(site: 5) {
        until_all_are_known(&site).await;
        for pair in 0..4 {
            let (first_entry, second_entry) = (pair, pair + 1);
            let request = site.id();
            let running = site.large_prompt(first_entry, "/log/a", 400, &request).send().await.unwrap();
            let busy_engine = site.engine_of(&request).await;
            until("the owners to know of the work", || owners_know(&site, busy_engine)).await;
            let other_engine = choose_with_replies(&site, second_entry).await;
            assert_ne!(other_engine, busy_engine, "both generations on one engine");
            drop(running);
            until("the end", || async { site.record.running_count() == 0 }).await;
        }
    }

    dead_owner_holds_no_choice_up(site: 4) {
        until_all_are_known(&site).await;
        let shown = shown_engine(&site, 0, 0).await;
        let dead = (0..4).find(|entry| is_owner(&site, *entry, &shown)).unwrap();
        let living: Vec<usize> = (0..4).filter(|entry| *entry != dead).collect();
        site.entries[dead].kill();
        for entry in living.iter().chain(&living) {
            let id = site.id();
            let answer = site.generation(*entry, "/log/a", 3, &id).send().await.unwrap();
            assert_eq!(answer.status(), 200);
            answer.text().await.unwrap();
        }
        // An owner that is known to be silent owns nothing and is not queried.
        for entry in &living {
            until("the silence of the dead entry", || async {
                counter_sum(&site, *entry, "firefly_direct_peers ").await < 3
            })
            .await;
        }
        let (_, upstreams) = site.run_fireflyctl(living[0], &["entries", "upstreams", "--json"]).await;
        // Quoted, since the address may be a prefix of an upstream's.
        let dead = format!("\"{}\"", site.entries[dead].ip);
        assert!(!upstreams.contains(&dead), "{upstreams}");
    }

    entry_that_starts_waits_for_its_own_calls(site: 0) {
        // Without the wait, three entries of a fleet of 300 sent the complete list of 3,000
        // upstreams to every starting entry.
        let mut site = Site::without_entries().await;
        site.publish(&[KEY]);
        for last in 1..=6 {
            site.add_entry(last).await;
        }
        for entry in 0..6 {
            site.until_ready(entry).await;
        }
        until_all_are_known(&site).await;
        for entry in 0..6 {
            assert!(counter_sum(&site, entry, "fetches_total").await < 1, "{}", site.log(entry));
        }
    }
}
