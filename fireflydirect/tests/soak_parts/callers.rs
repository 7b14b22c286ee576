//! Callers of a soak: they ask, keep their connections, and note what they got.

use crate::support::{KEY, whole_stream};
use reqwest::Client;
use standins::site::{Attempt, Outcome, RequestKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest time that a caller waits for a whole answer.
const PATIENCE: Duration = Duration::from_secs(8);

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(15);

/// Events of a stream that takes long; shorter ones take turns with it.
const LONG_STREAM: u64 = 120;

/// What callers share.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    entries: Arc<Vec<SocketAddr>>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    over: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
}

impl Callers {
    /// Callers of those entries.
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            entries: Arc::new(entries),
            attempts: Arc::default(),
            over: Arc::default(),
            next: Arc::default(),
        }
    }

    /// Attempts that have ended.
    pub(crate) fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().unwrap().clone()
    }

    /// Lets all callers end after the request at hand.
    pub(crate) fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// One caller, with connections of its own.
    pub(crate) async fn ask(self, client: Client) {
        while !self.over.load(Ordering::Relaxed) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let attempt = self.attempt(&client, number).await;
            self.attempts.lock().unwrap().push(attempt);
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn attempt(&self, client: &Client, number: u64) -> Attempt {
        let id = format!("s{number}");
        let kind = match number % 4 {
            0 => RequestKind::Fetch,
            1 => RequestKind::File,
            2 => RequestKind::Log,
            _ => RequestKind::Grade,
        };
        let events = 2 + number * 7 % LONG_STREAM;
        let (method, path, expected_body) = match kind {
            RequestKind::Fetch => (
                "GET",
                "/fetch/a".to_owned(),
                format!("GET /fetch/a for {id}"),
            ),
            RequestKind::File => (
                "POST",
                "/file/a".to_owned(),
                format!("POST /file/a for {id}"),
            ),
            RequestKind::Log => (
                "POST",
                format!("/log/a?events={events}"),
                whole_stream(&id, events),
            ),
            RequestKind::Grade => (
                "POST",
                format!("/grade/a?events={events}"),
                whole_stream(&id, events),
            ),
        };
        // Callers come to entries unevenly, as through a balancer.
        let entry = usize::try_from(number * number).unwrap_or(0) % self.entries.len();
        let mut req = client
            .request(
                method.parse().unwrap(),
                format!("http://{}{path}", self.entries[entry]),
            )
            .header("Host", "site.example")
            .header("X-Request-Id", &id)
            .header("X-Deadline-Ms", PATIENCE.as_millis().to_string())
            .header("X-Credential", KEY);
        if matches!(kind, RequestKind::Log | RequestKind::Grade) {
            req = req
                .header("X-Token-Usage", "500,2000")
                .header("X-Length-Hint", (events * 4).to_string())
                .body(format!("prompt {number}"));
        }
        let outcome = match tokio::time::timeout(PATIENCE, read(req)).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::NoAnswer,
        };
        Attempt {
            id,
            kind,
            expected_body,
            outcome,
        }
    }
}

async fn read(req: reqwest::RequestBuilder) -> Outcome {
    let Ok(mut answer) = req.send().await else {
        return Outcome::NoAnswer;
    };
    let status = answer.status().as_u16();
    match status {
        200 => {}
        408 | 421 | 429 | 503 => return Outcome::NotRun(status),
        _ => return Outcome::Failed(status),
    }
    let mut body = Vec::new();
    loop {
        match answer.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => return Outcome::Complete(String::from_utf8_lossy(&body).into_owned()),
            Err(_) => return Outcome::Truncated(String::from_utf8_lossy(&body).into_owned()),
        }
    }
}
