//! Requests of a site's callers.

use super::{KEY, Site};
use reqwest::RequestBuilder;
use std::sync::atomic::Ordering;

impl Site {
    /// Returns a new request id.
    pub(crate) fn id(&self) -> String {
        format!("r{}", self.ids.fetch_add(1, Ordering::Relaxed))
    }

    /// Builds a plain call with the key of `brand-a`.
    pub(crate) fn call(&self, entry: usize, method: &str, path: &str, id: &str) -> RequestBuilder {
        let method = method.parse().unwrap();
        let url = format!("http://{}{path}", self.entries[entry].callers);
        self.client
            .request(method, url)
            .header("Host", "site.example")
            .header("X-Request-Id", id)
            .header("X-Deadline-Ms", "20000")
            .header("X-Credential", KEY)
    }

    /// Builds a generation of `events` events.
    pub(crate) fn generation(
        &self,
        entry: usize,
        path: &str,
        events: u64,
        id: &str,
    ) -> RequestBuilder {
        self.stream(entry, path, events, id)
            .header("X-Token-Usage", "500,2000")
            .header("X-Length-Hint", "400")
            .header("X-Prompt-Prefix", "a1:80,b2:420")
    }

    /// Builds a generation whose prompt fills two fifths of an engine.
    ///
    /// Its expected answer is too short for a backup, which would load the other engine as much.
    pub(crate) fn large_prompt(
        &self,
        entry: usize,
        path: &str,
        events: u64,
        id: &str,
    ) -> RequestBuilder {
        self.stream(entry, path, events, id)
            .header("X-Token-Usage", "8000,60")
            .header("X-Prompt-Prefix", "c3:8000")
    }

    /// Builds a request for a stream without its size.
    pub(crate) fn stream(&self, entry: usize, path: &str, events: u64, id: &str) -> RequestBuilder {
        self.call(entry, "POST", &format!("{path}?events={events}"), id)
            .header("X-Model", "m")
            .body("prompt")
    }
}
