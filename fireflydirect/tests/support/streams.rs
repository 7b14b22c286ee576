//! Streams of engines of several software versions, and callers who take them up.

use super::{KEY, Site, until};
use reqwest::RequestBuilder;
use standins::site::last_event;
use std::collections::BTreeSet;

/// Events of a stream that callers take up.
pub(crate) const SHORT: u64 = 40;

/// Starts a site with one model engine of each of `versions` and `entries` entries.
pub(crate) async fn site_of(versions: &[&str], entries: u8) -> Site {
    let mut site = Site::without_entries().await;
    for (number, version) in versions.iter().enumerate() {
        if number >= site.engines.len() {
            site.start_engine(u8::try_from(number).unwrap()).await;
        }
        site.engines[number].set_version(version);
        list(&site, number, "ready");
    }
    site.publish(&[KEY]);
    for entry in 0..entries {
        site.add_entry(entry + 1).await;
    }
    for entry in 0..usize::from(entries) {
        site.until_ready(entry).await;
        until("all engines", || async {
            site.log(entry).matches("event=upstream_came").count()
                >= versions.len() + site.plains.len()
        })
        .await;
        let others = format!("firefly_direct_peers {}", entries - 1);
        until("the other entries", || async {
            site.metrics(entry).await.contains(&others)
        })
        .await;
    }
    site
}

/// Writes the record of a model engine.
pub(crate) fn list(site: &Site, engine: usize, state: &str) {
    let engine = &site.engines[engine];
    let record = engine.registration("models", state);
    site.store.put("servers", &engine.instance(), &record);
}

/// Reads a stream until `events` have come, or it ends or breaks off.
pub(crate) async fn read(req: RequestBuilder, events: u64) -> String {
    let mut body = String::new();
    let Ok(mut answer) = req.send().await else {
        return body;
    };
    while last_event(&body).unwrap_or(0) < events {
        match answer.chunk().await {
            Ok(Some(chunk)) => body.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) | Err(_) => break,
        }
    }
    body
}

/// Returns the versions that the events of some bodies name.
pub(crate) fn versions(bodies: &[&str]) -> BTreeSet<String> {
    let lines = bodies.iter().flat_map(|b| b.lines());
    let events = lines.filter_map(|l| l.strip_prefix("data: "));
    events
        .map(|e| e.split(' ').nth(2).unwrap_or("v1").to_owned())
        .collect()
}

/// Takes a stream up after the events in `begun`, naming its first attempt.
pub(crate) fn take_up(
    site: &Site,
    entry: usize,
    id: &str,
    first: Option<&str>,
    begun: &str,
) -> RequestBuilder {
    let last = last_event(begun).unwrap().to_string();
    let req = site.stream(entry, "/grade/a", SHORT, id);
    let req = req.header("Last-Event-Id", last);
    match first {
        Some(first) => req.header("Resumes", first),
        None => req,
    }
}
