//! Callers of a soak: they send requests over persistent connections and record the outcomes.

use crate::support::slow_reader::{self, Pace};
use crate::support::{KEY, rest_of_stream};
use reqwest::Client;
use standins::site::{Attempt, Outcome, RequestKind, last_event};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;

/// Timeout of a caller for a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Delay between two requests of a caller.
const REQUEST_DELAY: Duration = Duration::from_millis(15);

/// Number of different stream lengths, which alternate from 2 events upwards.
const EVENT_COUNT_RANGE: u64 = 120;

/// The same where some streams outlast the notice of their engines.
const LONG_EVENT_COUNT_RANGE: u64 = 240;

/// Prompt and maximum answer of which an engine holds one.
const CROWD_SIZE: &str = "16000,500";

/// One caller in so many leaves after `SHORT_PATIENCE`.
const LEAVING_CALLERS: u64 = 6;

/// Time after which callers leave who may be held by then.
const SHORT_PATIENCE: Duration = Duration::from_millis(400);

/// One caller in so many breaks its stream off and takes it up.
const BREAKING_CALLERS: u64 = 8;

/// Events after which such a caller breaks off.
const EVENTS_BEFORE_BREAK: u64 = 5;

/// Times that a caller takes its stream up.
const MAX_TAKE_UPS: u64 = 3;

/// Time from a break to the next attempt.
const TAKE_UP_DELAY: Duration = Duration::from_millis(40);

/// The same for a caller that comes back late: longer than twice the shortest timeout of its route.
const LATE_TAKE_UP_DELAY: Duration = Duration::from_millis(3_500);

/// Requests whose callers come back late: divisor and remainder of their numbers.
const LATE: (u64, u64) = (16, 7);

/// Requests whose callers don't name the first attempt, in the same way.
const UNNAMED: (u64, u64) = (32, 15);

/// Part of prompts that crashes engines.
pub(crate) const BAD_PART: &str = "bad1";

/// Requests before the first with [`BAD_PART`].
const SOUND_REQUESTS: u64 = 150;

/// One stream in so many has [`BAD_PART`].
const BAD_STREAMS: u64 = 5;

/// Path of the request that crashes engines.
pub(crate) const BAD_PATH: &str = "/log/bad";

/// Requests before the first on that path.
const FIRST_REPEAT: u64 = 30;

/// Events that a stream on that path would have.
const BAD_EVENTS: u64 = 40;

/// Padding of each event of a stream that is read slowly, in bytes.
const PADDING: usize = 1_000;

/// Pace at which the longest of these takes a third of its caller's timeout.
const SLOW_PACE: Pace = Pace {
    bytes: 800,
    pause: Duration::from_millis(16),
};

/// Different first and second parts of prompts.
const FIRST_PARTS: u64 = 3;
const SECOND_PARTS: u64 = 7;

/// Stream that a caller takes up.
struct Held {
    /// Its first attempt.
    first: String,
    /// Last event that has come.
    last: u64,
    /// Attempts to take it up, this one included.
    attempts: u64,
}

/// State shared by all callers.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    entries: Arc<Vec<SocketAddr>>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    ended: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
    /// Whether streams need most of an engine's memory, and some callers leave soon.
    crowd: bool,
    /// Whether some callers break their streams off to take them up elsewhere, and who comes back late.
    breaks: BreaksOff,
    /// Whether every second stream is large and read slowly.
    reads_slowly: bool,
    /// Number of different stream lengths.
    event_counts: u64,
    /// What crashes engines.
    cause: CrashCause,
}

/// Whether callers break streams off, and which of those whose streams break come back late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreaksOff {
    Never,
    SomeLate,
    AllLate,
}

/// What some streams have that crashes engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CrashCause {
    Nothing,
    /// A part of their prompts; no two of them are alike.
    Part,
    /// They are one request, which comes again and again.
    Request,
}

impl Callers {
    /// Creates callers of these entries.
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            entries: Arc::new(entries),
            attempts: Arc::default(),
            ended: Arc::default(),
            next: Arc::default(),
            crowd: false,
            breaks: BreaksOff::Never,
            reads_slowly: false,
            event_counts: EVENT_COUNT_RANGE,
            cause: CrashCause::Nothing,
        }
    }

    /// Makes some callers send one request again and again that crashes engines; it shares parts with sound ones.
    pub(crate) fn repeating(self) -> Self {
        Self {
            cause: CrashCause::Request,
            ..self
        }
    }

    /// Returns whether a stream is the request that crashes engines.
    fn is_bad(&self, number: u64) -> bool {
        let comes_again = (number / 4).is_multiple_of(BAD_STREAMS) && number % 4 == 2;
        self.cause == CrashCause::Request && number >= FIRST_REPEAT && comes_again
    }

    /// Makes all streams need most of an engine's memory, on a route whose objective leaves time to wait,
    /// and some of their callers leave soon.
    pub(crate) fn crowding(self) -> Self {
        Self {
            crowd: true,
            ..self
        }
    }

    /// Makes some callers break their streams off and take them up elsewhere.
    pub(crate) fn breaking_off(self) -> Self {
        Self {
            breaks: BreaksOff::SomeLate,
            ..self
        }
    }

    /// Makes some callers break their streams off, and all take them up late.
    pub(crate) fn returning_late(self) -> Self {
        Self {
            breaks: BreaksOff::AllLate,
            ..self
        }
    }

    /// Makes every second stream large, read slowly over a connection of its own.
    pub(crate) fn reading_slowly(self) -> Self {
        Self {
            reads_slowly: true,
            ..self
        }
    }

    /// Makes some streams outlast the notice of their engines.
    pub(crate) fn streaming_long(self) -> Self {
        Self {
            event_counts: LONG_EVENT_COUNT_RANGE,
            ..self
        }
    }

    /// Makes some streams crash engines by a part of their prompts; no two are alike, and sound ones share the
    /// other parts.
    pub(crate) fn crashing(self) -> Self {
        Self {
            cause: CrashCause::Part,
            ..self
        }
    }

    /// Returns the parts of a stream's prompt that others share.
    fn shared_parts(&self, number: u64) -> Vec<String> {
        if self.cause == CrashCause::Nothing {
            return Vec::new();
        }
        let first = format!("f{}", number / 4 % FIRST_PARTS);
        let is_bad = self.cause == CrashCause::Part
            && number >= SOUND_REQUESTS
            && (number / 4).is_multiple_of(BAD_STREAMS);
        let second = if is_bad {
            BAD_PART.to_owned()
        } else {
            format!("c{}", number / 4 % SECOND_PARTS)
        };
        vec![first, second]
    }

    /// Returns the attempts that have ended.
    pub(crate) fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().unwrap().clone()
    }

    /// Makes all callers stop after their current request.
    pub(crate) fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    /// Runs a caller with its own connections.
    pub(crate) async fn run(self, client: Client) {
        while !self.ended.load(Ordering::Relaxed) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let attempt = self.attempt(&client, number, None).await;
            let mut held = held_stream(&attempt, None);
            self.attempts.lock().unwrap().push(attempt);
            while let Some(stream) = held {
                tokio::time::sleep(self.take_up_delay(number, &stream)).await;
                let attempt = self.attempt(&client, number, Some(&stream)).await;
                held = held_stream(&attempt, Some(stream));
                self.attempts.lock().unwrap().push(attempt);
            }
            tokio::time::sleep(REQUEST_DELAY).await;
        }
    }

    /// Returns the time after which a caller takes its stream up.
    fn take_up_delay(&self, number: u64, held: &Held) -> Duration {
        let is_late = self.breaks == BreaksOff::AllLate || number % LATE.0 == LATE.1;
        if is_late && held.attempts == 1 {
            LATE_TAKE_UP_DELAY
        } else {
            TAKE_UP_DELAY
        }
    }

    async fn attempt(&self, client: &Client, number: u64, held: Option<&Held>) -> Attempt {
        let (after, attempts) = held.map_or((0, 0), |h| (h.last, h.attempts));
        let id = if attempts == 0 {
            format!("s{number}")
        } else {
            format!("s{number}-{attempts}")
        };
        let kind = kind_of(number);
        let is_bad = self.is_bad(number);
        let events = if is_bad {
            BAD_EVENTS
        } else {
            2 + number * 7 % self.event_counts
        };
        let (method, path, expected_body) = call_of(kind, &id, after, events);
        let is_stream = matches!(kind, RequestKind::Log | RequestKind::Grade);
        let shared_parts = if is_stream {
            self.shared_parts(number)
        } else {
            Vec::new()
        };
        let crowds = self.crowd && is_stream;
        let path = match (crowds, is_bad) {
            (true, _) => format!("/log/a?events={events}"),
            (_, true) => format!("{BAD_PATH}?events={events}"),
            _ => path,
        };
        // The load on entries is uneven, as behind a load balancer.
        let entry = usize::try_from(number * number + attempts).unwrap_or(0) % self.entries.len();
        let mut req = client
            .request(
                method.parse().unwrap(),
                format!("http://{}{path}", self.entries[entry]),
            )
            .header("Host", "site.example")
            .header("X-Request-Id", &id)
            .header("X-Deadline-Ms", ANSWER_TIMEOUT.as_millis().to_string())
            .header("X-Credential", KEY);
        if is_stream {
            let size = if crowds { CROWD_SIZE } else { "500,2000" };
            req = req
                .header("X-Token-Usage", size)
                .header("X-Length-Hint", (events * 4).to_string())
                .body(if is_bad {
                    "prompt".to_owned()
                } else {
                    format!("prompt {number}")
                });
        }
        if !shared_parts.is_empty() {
            req = req.header("X-Prompt-Prefix", prompt_parts(&shared_parts, number));
        }
        if let Some(held) = held {
            req = req.header("Last-Event-Id", held.last.to_string());
            if number % UNNAMED.0 != UNNAMED.1 {
                req = req.header("Resumes", &held.first);
            }
        }
        let breaks_off =
            self.breaks != BreaksOff::Never && held.is_none() && number % BREAKING_CALLERS == 3;
        let until = if breaks_off {
            EVENTS_BEFORE_BREAK
        } else {
            u64::MAX
        };
        let patience = if crowds && number % LEAVING_CALLERS == 2 {
            SHORT_PATIENCE
        } else {
            ANSWER_TIMEOUT
        };
        let began = Instant::now();
        let is_slow = self.reads_slowly && is_stream && (number / 4).is_multiple_of(2);
        let answer = async {
            if is_slow {
                read_slow_stream(self.entries[entry], &path, &id).await
            } else {
                read(req, until).await
            }
        };
        let outcome = match tokio::time::timeout(patience, answer).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::NoAnswer,
        };
        let ended = Instant::now();
        Attempt {
            id,
            resumes: held.map(|h| h.first.clone()),
            kind: if crowds { RequestKind::Log } else { kind },
            shared_parts,
            entry,
            began,
            ended,
            patience,
            expected_body,
            outcome,
        }
    }
}

/// Returns the parts of a prompt, of which the last is the request's own.
fn prompt_parts(shared: &[String], number: u64) -> String {
    let shared = shared.iter().map(|p| format!("{p}:80"));
    let parts: Vec<String> = shared.chain([format!("ffff{number:x}:200")]).collect();
    parts.join(",")
}

/// Returns the stream that the caller of an ended attempt holds a part of and may take up.
fn held_stream(attempt: &Attempt, held: Option<Held>) -> Option<Held> {
    let attempts = held.as_ref().map_or(0, |h| h.attempts);
    if attempt.kind != RequestKind::Grade || attempts >= MAX_TAKE_UPS {
        return None;
    }
    let received = match &attempt.outcome {
        Outcome::Complete(_) => return None,
        Outcome::Truncated(body) => last_event(body),
        Outcome::NotRun(_) | Outcome::Failed(_) | Outcome::NoAnswer => None,
    };
    let last = received.or(held.as_ref().map(|h| h.last))?;
    Some(Held {
        first: held.map_or_else(|| attempt.id.clone(), |h| h.first),
        last,
        attempts: attempts + 1,
    })
}

/// Reads an answer, until one of its events has come.
async fn read(req: reqwest::RequestBuilder, until: u64) -> Outcome {
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
        let text = String::from_utf8_lossy(&body);
        if last_event(&text) >= Some(until) {
            return Outcome::Truncated(text.into_owned());
        }
        match answer.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => return Outcome::Complete(String::from_utf8_lossy(&body).into_owned()),
            Err(_) => return Outcome::Truncated(String::from_utf8_lossy(&body).into_owned()),
        }
    }
}

/// Sends a request for a stream of padded events and reads it slowly.
async fn read_slow_stream(entry: SocketAddr, path: &str, id: &str) -> Outcome {
    let Ok(mut stream) = slow_reader::connect(entry) else {
        return Outcome::NoAnswer;
    };
    let head = format!(
        "POST {path}&padding={PADDING} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {}\r\nX-Credential: {KEY}\r\nContent-Length: 6\r\n\r\nprompt",
        ANSWER_TIMEOUT.as_millis()
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return Outcome::NoAnswer;
    }
    let answer = slow_reader::read_slowly(&mut stream, SLOW_PACE).await;
    let Some((status, body)) = slow_reader::decode(&answer) else {
        return Outcome::NoAnswer;
    };
    let body = String::from_utf8_lossy(&body);
    let events: String = body
        .split_inclusive('\n')
        .filter(|l| !l.starts_with(':'))
        .collect();
    match status {
        200 if slow_reader::is_whole(&answer) => Outcome::Complete(events),
        200 => Outcome::Truncated(events),
        408 | 421 | 429 | 503 => Outcome::NotRun(status),
        _ => Outcome::Failed(status),
    }
}

const fn kind_of(number: u64) -> RequestKind {
    match number % 4 {
        0 => RequestKind::Fetch,
        1 => RequestKind::File,
        2 => RequestKind::Log,
        _ => RequestKind::Grade,
    }
}

/// Returns method, path and expected body of a request.
fn call_of(kind: RequestKind, id: &str, after: u64, events: u64) -> (&'static str, String, String) {
    match kind {
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
            rest_of_stream(id, after, events),
        ),
        RequestKind::Grade => (
            "POST",
            format!("/grade/a?events={events}"),
            rest_of_stream(id, after, events),
        ),
    }
}
