//! Real entries that ask the owners of upstreams, services and requests.

mod support;

use serde_json::Value;
use support::{KEY, Site, cases, until};

/// Sum of the samples of a counter whose line contains `part`.
async fn counted(site: &Site, entry: usize, part: &str) -> usize {
    let text = site.metrics(entry).await;
    let samples = text
        .lines()
        .filter(|l| !l.starts_with('#') && l.contains(part));
    samples
        .filter_map(|l| l.rsplit(' ').next()?.parse::<usize>().ok())
        .sum()
}

/// Every entry knows the others and hears them.
async fn until_all_are_heard(site: &Site) {
    let others = site.entries.len() - 1;
    for entry in 0..site.entries.len() {
        until("the other entries", || async {
            counted(site, entry, "firefly_direct_peers ").await >= others
        })
        .await;
    }
}

/// What an entry shows operators of an engine.
async fn shown_of(site: &Site, entry: usize, engine: usize) -> Value {
    let instance = site.engines[engine].instance();
    let (_, shown) = site
        .operate(entry, &["entries", "upstreams", "--json"])
        .await;
    let shown: Value = serde_json::from_str(&shown).unwrap();
    let all = shown[0]["upstreams"].as_array().unwrap();
    let of_engine = all.iter().find(|u| u["instance"] == instance.as_str());
    of_engine.unwrap().clone()
}

/// Whether an entry is among the owners that an engine is shown with.
fn is_owner(site: &Site, entry: usize, of_engine: &Value) -> bool {
    let owners = of_engine["owners"].as_array().unwrap();
    let ip = site.entries[entry].ip.to_string();
    owners.iter().any(|owner| owner == &ip)
}

/// Whether all owners of an engine know of work there.
async fn owners_know(site: &Site, engine: usize) -> bool {
    for entry in 0..site.entries.len() {
        let of_engine = shown_of(site, entry, engine).await;
        if is_owner(site, entry, &of_engine) && of_engine["running"] == 0 {
            return false;
        }
    }
    true
}

/// The engine of a generation whose choice had the replies of all owners; on a busy machine a reply
/// may come too late for one.
async fn choose_by_replies(site: &Site, entry: usize) -> usize {
    loop {
        let late = counted(site, entry, "questions_total{end=\"timed_out\"}").await;
        let id = site.id();
        let answer = site
            .generation(entry, "/log/b", 5, &id)
            .send()
            .await
            .unwrap();
        let engine = site.engine_of(&id).await;
        answer.text().await.unwrap();
        let replied = counted(site, entry, "questions_total{end=\"replied\"}").await;
        if counted(site, entry, "questions_total{end=\"timed_out\"}").await == late {
            assert!(replied >= 1, "nobody was asked");
            return engine;
        }
    }
}

cases! {
    what_one_entry_placed_is_known_to_the_choice_of_another(site: 5) {
        until_all_are_heard(&site).await;
        for pair in 0..4 {
            let (one, other) = (pair, pair + 1);
            let first = site.id();
            let running = site.large_prompt(one, "/log/a", 400, &first).send().await.unwrap();
            let taken = site.engine_of(&first).await;
            until("its owners to know", || owners_know(&site, taken)).await;
            let beside = choose_by_replies(&site, other).await;
            assert_ne!(beside, taken, "both on one engine");
            drop(running);
            until("the end", || async { site.record.running_count() == 0 }).await;
        }
    }

    dead_owner_holds_no_choice_up(site: 4) {
        until_all_are_heard(&site).await;
        let of_engine = shown_of(&site, 0, 0).await;
        let dead = (0..4).find(|entry| is_owner(&site, *entry, &of_engine)).unwrap();
        let living: Vec<usize> = (0..4).filter(|entry| *entry != dead).collect();
        site.entries[dead].kill();
        for entry in living.iter().chain(&living) {
            let id = site.id();
            let answer = site.generation(*entry, "/log/a", 3, &id).send().await.unwrap();
            assert_eq!(answer.status(), 200);
            answer.text().await.unwrap();
        }
        // Once it is known to be silent it owns nothing, and is asked nothing.
        for entry in &living {
            until("its end to be known", || async {
                counted(&site, *entry, "firefly_direct_peers ").await < 3
            })
            .await;
        }
        let (_, upstreams) = site.operate(living[0], &["entries", "upstreams", "--json"]).await;
        // In quotes, since it may begin the address of an upstream.
        let dead = format!("\"{}\"", site.entries[dead].ip);
        assert!(!upstreams.contains(&dead), "{upstreams}");
    }

    entry_that_starts_waits_for_its_own_calls(site: 0) {
        // Three entries of a fleet of 300 sent the whole list of 3,000 upstreams to all that started.
        let mut site = Site::without_entries().await;
        site.publish(&[KEY]);
        for last in 1..=6 {
            site.add_entry(last).await;
        }
        for entry in 0..6 {
            site.until_ready(entry).await;
        }
        until_all_are_heard(&site).await;
        for entry in 0..6 {
            assert!(counted(&site, entry, "fetches_total").await < 1, "{}", site.log(entry));
        }
    }
}
