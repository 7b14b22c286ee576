//! Entry processes that are all killed at once: what they know of requests that crash upstreams comes back from the store.

mod support;

use fireflycroft_platform::refusals_path;
use serde_json::{Value, json};
use standins::site::{RunEnd, StoreMode};
use support::crashes::{lines_about, site_of, until_informed};
use support::{Site, until, whole_stream};

/// Path of the stream that crashes its upstreams.
const BAD: &str = "/log/bad";

/// Upstreams that a request may crash before it is known to; set by the users.
const CRASHES: usize = 3;

/// Model engines of a site.
const ENGINES: u8 = 12;

/// Entries of a site.
const ENTRIES: u8 = 3;

/// Events of a short stream.
const SHORT: u64 = 5;

/// Defines test cases, each run on a site of its own.
macro_rules! cases {
    ($($name:ident($site:ident) $body:block)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                #[allow(unused_mut)]
                let mut $site = site_of(ENGINES, ENTRIES).await;
                $site.record.crash_on_path(BAD);
                $body
                $site.check();
            }
        )+
    };
}

/// Kind and name of the object that the entries keep.
fn kept() -> (String, String) {
    let path = refusals_path();
    let mut parts = path.rsplit('/');
    let name = parts.next().unwrap_or_default().to_owned();
    (parts.next().unwrap_or_default().to_owned(), name)
}

/// Returns how many suspects the store keeps.
async fn kept_suspects(site: &Site) -> usize {
    let url = format!("http://{}{}", site.store.addr(), refusals_path());
    let object = reqwest::get(url).await.unwrap().text().await.unwrap();
    let object: Value = serde_json::from_str(&object).unwrap_or_default();
    object["spec"]["refused"].as_array().map_or(0, Vec::len)
}

async fn until_kept(site: &Site, suspects: usize) {
    until("the object", || async {
        kept_suspects(site).await == suspects
    })
    .await;
}

/// Sends a stream that crashes its upstreams; returns whether it was refused for good.
async fn is_refused(site: &Site, entry: usize, path: &str) -> bool {
    let request = site.stream(entry, path, SHORT, &site.id());
    let Ok(answer) = request.send().await else {
        return false;
    };
    let wait = answer.headers().get("retry-after");
    let wait = wait.and_then(|w| w.to_str().ok()?.parse().ok());
    let refused = answer.status() == 503 && wait.is_some_and(|w: f64| w > 60.0);
    // An answer that crashes its upstream breaks off.
    let _ = answer.text().await;
    refused
}

/// Sends it until it is refused.
async fn until_refused(site: &Site) {
    until("the refusal", || is_refused(site, 0, BAD)).await;
    assert_eq!(crashes(site), CRASHES);
}

fn crashes(site: &Site) -> usize {
    let runs = site.record.runs_on(BAD).into_iter();
    runs.filter(|r| r.end.0 == RunEnd::Crashed).count()
}

/// Kills all entries, and starts them again.
async fn kill_all(site: &mut Site) {
    for entry in &mut site.entries {
        entry.kill();
    }
    for entry in &mut site.entries {
        entry.start();
    }
    for entry in 0..site.entries.len() {
        until_informed(site, entry).await;
    }
}

/// Checks that each entry refuses the stream and that no further upstream crashes.
async fn check_refused(site: &Site) {
    for entry in 0..site.entries.len() {
        let refused = is_refused(site, entry, BAD).await;
        assert!(refused, "{}", lines_about(site, entry));
    }
    assert_eq!(crashes(site), CRASHES);
}

/// Checks that each entry serves other streams; those that it sends to engines which have crashed may fail at first.
async fn check_sound(site: &Site) {
    for entry in 0..site.entries.len() {
        until("a sound stream", || async {
            let id = site.id();
            let answer = site.stream(entry, "/grade/sound", SHORT, &id).send().await;
            answer.unwrap().text().await.unwrap() == whole_stream(&id, SHORT)
        })
        .await;
    }
}

cases! {
    request_that_is_refused_stays_so_after_all_entries_were_killed(site) {
        until_refused(&site).await;
        until_kept(&site, 1).await;
        kill_all(&mut site).await;
        check_refused(&site).await;
        check_sound(&site).await;
    }

    request_that_is_refused_stays_so_however_often_all_are_killed(site) {
        until_refused(&site).await;
        until_kept(&site, 1).await;
        for _ in 0..3 {
            kill_all(&mut site).await;
            check_refused(&site).await;
        }
    }

    object_that_is_unreadable_changes_nothing(site) {
        let (kind, name) = kept();
        site.store.put_text(&kind, &name, "[[[");
        kill_all(&mut site).await;
        check_sound(&site).await;
        until_refused(&site).await;
        until_kept(&site, 1).await;
        kill_all(&mut site).await;
        check_refused(&site).await;
    }

    records_that_are_unreadable_are_left_out(site) {
        until_refused(&site).await;
        until_kept(&site, 1).await;
        let (kind, name) = kept();
        let url = format!("http://{}{}", site.store.addr(), refusals_path());
        let object: Value = reqwest::get(url).await.unwrap().json().await.unwrap();
        let mut content = object["spec"].clone();
        let records = content["refused"].as_array_mut().unwrap();
        records.extend([json!(7), json!({"id": "none", "is_content": true})]);
        site.store.put(&kind, &name, &content);
        kill_all(&mut site).await;
        check_refused(&site).await;
    }

    refusal_is_kept_once_a_silent_store_answers(site) {
        site.store.set_mode(StoreMode::Silent);
        until_refused(&site).await;
        check_sound(&site).await;
        site.store.set_mode(StoreMode::Up);
        until_kept(&site, 1).await;
        kill_all(&mut site).await;
        check_refused(&site).await;
    }

    refusal_in_an_object_of_another_writer_is_merged(site) {
        until_refused(&site).await;
        until_kept(&site, 1).await;
        let (kind, name) = kept();
        site.store.put(&kind, &name, &json!({"refused": []}));
        site.record.crash_on_path("/log/other");
        until("the other refusal", || is_refused(&site, 1, "/log/other")).await;
        until_kept(&site, 2).await;
        kill_all(&mut site).await;
        check_refused(&site).await;
    }

    request_that_an_operator_releases_is_kept_no_more(site) {
        until_refused(&site).await;
        until_kept(&site, 1).await;
        let line = site.log(0);
        let line = line.lines().find(|l| l.contains("event=part_refused")).unwrap();
        let id = line.split("content=").nth(1).unwrap().split(' ').next().unwrap().to_owned();
        let (exit, shown) = site.run_fireflyctl(0, &["entries", "release", &id]).await;
        assert_eq!(exit, 0, "{shown}");
        until_kept(&site, 0).await;
    }
}
