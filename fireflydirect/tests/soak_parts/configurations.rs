//! Configurations of a soak: each adds a route, on which every entry is asked once it has to be in force there.

use crate::soak_parts::faults::{Soak, Undo};
use crate::support::KEY;
use crate::support::strangers::{OTHER_VERSION, nested_text, without_routes};
use reqwest::Client;
use serde_json::json;
use std::time::{Duration, Instant};

/// Time within which a configuration has to be in force at all entries in touch; set by the users.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time for which an entry has to run undisturbed before the rules with a time bound hold for it; set by the users.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time within which an entry refuses a request for want of its route.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests on routes of configurations that had to be in force.
#[derive(Debug, Default)]
pub(crate) struct Asked {
    /// Routes added so far: name, prefix and time.
    routes: Vec<(String, String, Instant)>,
    /// Times at which strangers have written objects.
    strangers: u64,
    /// Requests that were judged.
    pub(crate) judged: usize,
    /// Refusals for want of a route: entry and route.
    pub(crate) refused: Vec<(usize, String)>,
}

impl Soak {
    /// Publishes the next configuration, with a route of its own and additional ones, beside strangers' objects.
    pub(super) fn publish_among_strangers(&mut self, more: &[(&str, &str)]) {
        self.put_strangers_objects();
        let number = self.asked.routes.len();
        let (name, prefix) = (format!("added-{number}"), format!("/added-{number}/"));
        let added = self.asked.routes.iter();
        let added = added.map(|(name, prefix, _)| (name.as_str(), prefix.as_str()));
        let new = [(name.as_str(), prefix.as_str())];
        let routes: Vec<(&str, &str)> = added.chain(new).chain(more.iter().copied()).collect();
        self.site.publish_routes(&[KEY], &routes);
        let published_at = Instant::now();
        self.asked.routes.push((name, prefix, published_at));
        let due = published_at + APPLY_TIME;
        self.pending_undos.push((due, Undo::AskOnRoute(number)));
    }

    /// Writes a configuration that no entry may adopt, and a record and an evacuation that no entry can tell another.
    fn put_strangers_objects(&mut self) {
        self.asked.strangers += 1;
        let number = self.asked.strangers;
        let config = without_routes(OTHER_VERSION + number);
        let store = &self.site.store;
        store.put("config", "archive", &config);
        let text = "1234567890".repeat(if number % 4 == 1 { 9_000 } else { 200 });
        store.put("evacuations", &text[..2_000], &json!({}));
        if number.is_multiple_of(4) {
            store.put_text("servers", "stranger", &nested_text());
            return;
        }
        let mut record = json!({"service": "records", "address": "127.0.0.1:9", "zone": "a", "state": "ready",
            "version": "v1", "born": number});
        let member = ["service", "zone", "version"][usize::try_from(number % 3).unwrap()];
        record[member] = json!(text);
        // A version that can't be told is unknown, so the record counts otherwise.
        record["service"] = json!(format!(
            "{} of strangers",
            record["service"].as_str().unwrap()
        ));
        store.put("servers", "stranger", &record);
    }

    /// Asks all entries in touch on an added route; a request that is refused for want of it breaks the rule.
    pub(super) async fn ask_on_route(&mut self, number: usize) {
        let now = Instant::now();
        let is_excused =
            |(from, to): &(Instant, Instant)| *from <= now && now <= *to + STABLE_WINDOW;
        let (_, prefix, published_at) = self.asked.routes[number].clone();
        let is_early = now - published_at < APPLY_TIME;
        if is_early || self.evidence.excused.iter().any(is_excused) {
            return;
        }
        for entry in 0..self.site.entries.len() {
            let started = self.evidence.restarts.iter();
            let mut started = started.filter(|(of, _)| *of == entry);
            let is_new = started.any(|(_, at)| now - *at < STABLE_WINDOW + APPLY_TIME);
            if is_new || !self.site.entries[entry].is_running() {
                continue;
            }
            let id = format!("added{}", self.site.id());
            let url = format!("http://{}{prefix}a", self.site.callers_of(entry));
            let call = Client::new().get(url).header("Host", "site.example");
            let call = call.header("X-Request-Id", &id).header("X-Credential", KEY);
            let answer = call.timeout(REFUSAL_TIMEOUT).send().await;
            self.asked.judged += 1;
            if answer.is_ok_and(|a| a.status() == 404) {
                self.asked.refused.push((entry, prefix.clone()));
            }
        }
    }
}
