//! Oracle of the guarantees, based on the records of callers and upstreams.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::time::{Duration, Instant};

use super::ends::Disturbance;
use super::record::{Run, RunEnd};
use super::versions::{last_event, versions_of, without_versions};

/// Longest allowed overlap of two runs of one request; set by the users.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Time after its leave notice in which an upstream may get new work; set by the users.
const NOTICE_GRACE: Duration = Duration::from_secs(2);

/// Time after a foreign overwrite of its record in which an upstream may get new work.
const OVERWRITE_GRACE: Duration = Duration::from_secs(3);

/// Time in which an upstream's answer reaches an entry and its contents reach all other entries.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Taken-up streams from which their share is judged; set by the users.
const MIN_TAKE_UPS: usize = 12;

/// Engines of its version that must serve for a taken-up stream to be judged; set by the users.
const MIN_SERVING: usize = 2;

/// Window in which requests to a rate-limited upstream are counted; set by the users.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Kinds of requests by their guarantees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// Call that may run more than once.
    Fetch,
    /// Call that runs at most once.
    File,
    /// Stream that runs at most once.
    Log,
    /// Stream that may run again after the last event.
    Grade,
}

impl RequestKind {
    const fn is_retryable(self) -> bool {
        matches!(self, Self::Fetch | Self::Grade)
    }
}

/// Result of an attempt, as received by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Success with this complete body.
    Complete(String),
    /// Success whose body broke off after this part.
    Truncated(String),
    /// Status that guarantees that the request wasn't run.
    NotRun(u16),
    /// Any other status.
    Failed(u16),
    /// No answer or no connection.
    NoAnswer,
}

/// An attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the request.
    pub id: String,
    /// First attempt of the stream that it takes up.
    pub resumes: Option<String>,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Parts of its prompt that other requests share.
    pub shared_parts: Vec<String>,
    /// Entry that it was sent to.
    pub entry: usize,
    /// Start time.
    pub began: Instant,
    /// Time of its result.
    pub ended: Instant,
    /// Time that the caller waits for it.
    pub patience: Duration,
    /// Complete body that the caller expects.
    pub expected_body: String,
    /// Result of the attempt.
    pub outcome: Outcome,
}

impl Attempt {
    /// Returns the first attempt of its stream.
    fn stream(&self) -> &str {
        self.resumes.as_deref().unwrap_or(&self.id)
    }

    /// Returns the body that the caller received of a stream.
    fn events(&self) -> Option<&str> {
        let is_stream = matches!(self.kind, RequestKind::Log | RequestKind::Grade);
        match &self.outcome {
            Outcome::Complete(body) | Outcome::Truncated(body) if is_stream => Some(body),
            _ => None,
        }
    }

    /// Returns whether it brought the whole rest of its stream, or at least an event.
    pub(super) fn goes_on(&self) -> bool {
        match &self.outcome {
            Outcome::Complete(_) => true,
            Outcome::Truncated(body) => last_event(body).is_some(),
            Outcome::NotRun(_) | Outcome::Failed(_) | Outcome::NoAnswer => false,
        }
    }
}

/// A violated guarantee, with the id of the request or upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// A body of another request, or a partial body that looked complete.
    WrongBody(String),
    /// More than one run of a request that may run at most once.
    RanMoreThanOnce(String),
    /// A run of a request that was reported as not run.
    RefusedButRan(String),
    /// Simultaneous runs of one request.
    OverlappingRuns(String),
    /// New work on an upstream after its leave notice.
    AfterNotice(String),
    /// More new work on an upstream than its announced rate allows.
    RateExceeded(String),
    /// New work on an upstream whose record was overwritten by another one.
    OverwrittenRecord(String),
    /// A request that was resumed from the memory of another one.
    ForeignMemory(String),
    /// A run still in progress without a waiting caller.
    LeftRunning(String),
    /// Events of several software versions in one stream, in one answer or over a caller's attempts.
    MixedVersions(String),
    /// Too many requests with a part of their prompts that is known to crash upstreams reached upstreams.
    PartServed(String),
    /// A request that is known to crash upstreams reached upstreams too often; with its path.
    RequestServed(String),
    /// Too few sound requests begin that share the other parts of those; with their share and that before.
    LostBeside(String),
    /// An answer cut off though nothing but planned work went on.
    CutByPlannedWork(String),
    /// Too few of the streams that callers take up go on; with their share and that of new streams.
    LostStreams(String),
    /// A stream whose run ended by itself that was cut or run again, though nothing kept its end back.
    EndedButBroken(String),
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A rate limit that an upstream announced in its answers for some time.
#[derive(Clone, Debug)]
pub struct AnnouncedRate {
    /// Id of the upstream.
    pub instance: String,
    /// Requests per second.
    pub per_second: u32,
    /// Start and end of the announcement.
    pub span: (Instant, Instant),
}

impl AnnouncedRate {
    /// Returns the runs allowed by the users' rule in any [`RATE_WINDOW`].
    fn allowed(&self) -> usize {
        let seconds = usize::try_from(RATE_WINDOW.as_secs()).unwrap_or(usize::MAX);
        let announced = usize::try_from(self.per_second).unwrap_or(usize::MAX);
        announced.saturating_mul(seconds) * 3 / 2 + 5
    }
}

/// A time in which a model engine served.
#[derive(Clone, Debug)]
pub struct ServingSpan {
    /// Version of its software.
    pub version: String,
    /// Start and end.
    pub span: (Instant, Instant),
}

/// Records of one test.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Attempts of callers.
    pub attempts: Vec<Attempt>,
    /// Runs of upstreams.
    pub runs: Vec<Run>,
    /// Requests that were resumed from the memory of another one.
    pub foreign_memory: Vec<String>,
    /// Times of leave notices in the store, by upstream.
    pub notices: HashMap<String, Instant>,
    /// Times from which answers carried a leave notice, by upstream.
    pub departing: HashMap<String, Instant>,
    /// Rates announced by upstreams.
    pub rates: Vec<AnnouncedRate>,
    /// Upstreams with overwritten records, with start and end.
    pub overwritten: Vec<(String, Instant, Instant)>,
    /// Entries that were started again, which have to learn rates and crashes anew, with the times.
    pub restarts: Vec<(usize, Instant)>,
    /// Periods in which an entry couldn't receive or act, because it was paused or disconnected.
    pub excused: Vec<(Instant, Instant)>,
    /// Times in which model engines served.
    pub serving: Vec<ServingSpan>,
    /// Parts of prompts that crash upstreams.
    pub crashing_parts: Vec<String>,
    /// Paths of requests that crash upstreams.
    pub crashing_paths: Vec<String>,
    /// Whether nothing but planned work went on.
    pub is_planned: bool,
    /// Times in which answers of upstreams were faulty, could be lost, or came late.
    pub disturbances: Vec<Disturbance>,
    /// Requests of which copies of memory were made, with the times.
    pub copies: Vec<(String, Instant)>,
    /// Whether callers read streams to their ends, so that broken ones are judged.
    pub are_read_to_the_end: bool,
}

impl Evidence {
    /// Returns all violated guarantees.
    #[must_use]
    pub fn find_breaches(&self) -> Vec<Breach> {
        let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in &self.runs {
            by_id.entry(&run.request_id).or_default().push(run);
        }
        let mut breaches = Vec::new();
        for attempt in &self.attempts {
            let runs = by_id.remove(attempt.id.as_str()).unwrap_or_default();
            breaches.extend(check_answer(attempt));
            breaches.extend(check_runs(attempt, &runs));
            breaches.extend(self.check_overlap(attempt, &runs));
            let cut = self.is_planned && is_cut(attempt, &runs);
            breaches.extend(cut.then(|| Breach::CutByPlannedWork(attempt.id.clone())));
        }
        let foreign = self.foreign_memory.iter().cloned();
        breaches.extend(foreign.map(Breach::ForeignMemory));
        let late = self.runs.iter().filter(|run| self.is_after_notice(run));
        breaches.extend(late.map(|r| Breach::AfterNotice(r.request_id.clone())));
        let exceeded = self.rates.iter().filter(|rate| self.exceeds_rate(rate));
        breaches.extend(exceeded.map(|rate| Breach::RateExceeded(rate.instance.clone())));
        let on_overwritten = self
            .runs
            .iter()
            .filter(|run| self.is_on_overwritten_record(run));
        breaches.extend(on_overwritten.map(|r| Breach::OverwrittenRecord(r.request_id.clone())));
        let left_running = self.runs.iter().filter(|r| r.end.0 == RunEnd::Running);
        breaches.extend(left_running.map(|r| Breach::LeftRunning(r.request_id.clone())));
        breaches.extend(self.mixed_streams().map(Breach::MixedVersions));
        breaches.extend(self.lost_streams().map(Breach::LostStreams));
        breaches.extend(self.crash_breaches());
        breaches.extend(self.end_breaches());
        breaches
    }

    /// Returns the attempts of each stream, by its first one.
    fn streams(&self) -> HashMap<&str, Vec<&Attempt>> {
        let mut streams: HashMap<&str, Vec<&Attempt>> = HashMap::new();
        for attempt in &self.attempts {
            streams.entry(attempt.stream()).or_default().push(attempt);
        }
        streams
    }

    /// Returns the streams with events of several software versions.
    fn mixed_streams(&self) -> impl Iterator<Item = String> {
        let versions = |attempts: &[&Attempt]| {
            let events = attempts.iter().filter_map(|a| a.events());
            let versions: BTreeSet<&str> = events.flat_map(versions_of).collect();
            versions.len()
        };
        let mixed = self.streams().into_iter();
        let mixed = mixed.filter(move |(_, attempts)| versions(attempts) > 1);
        mixed.map(|(stream, _)| stream.to_owned())
    }

    /// Returns the shares of taken-up and of new streams that go on, if the first is under half of the
    /// second.
    fn lost_streams(&self) -> Option<String> {
        let judged = |a: &&Attempt| a.kind == RequestKind::Grade && !self.is_excused(a.began);
        let judged = self.attempts.iter().filter(judged);
        let (taken_up, new): (Vec<_>, Vec<_>) = judged.partition(|a| a.resumes.is_some());
        let taken_up: Vec<&Attempt> = taken_up
            .into_iter()
            .filter(|a| self.is_version_served(a))
            .collect();
        if taken_up.len() < MIN_TAKE_UPS {
            return None;
        }
        let going_on = |attempts: &[&Attempt]| attempts.iter().filter(|a| a.goes_on()).count();
        let (going, begun) = (going_on(&taken_up), going_on(&new));
        let is_lost = going * 2 * new.len() < begun * taken_up.len();
        let text = format!("{going}/{} {begun}/{}", taken_up.len(), new.len());
        is_lost.then_some(text)
    }

    /// Returns whether enough engines of a taken-up stream's version served as the attempt began.
    fn is_version_served(&self, attempt: &Attempt) -> bool {
        let mut before = self.attempts.iter();
        let before = before.find(|a| a.id == attempt.stream());
        let first = before.and_then(Attempt::events);
        let Some(version) = first.and_then(|events| versions_of(events).next()) else {
            return false;
        };
        let at = attempt.began;
        let serves = |s: &&ServingSpan| s.version == version && s.span.0 <= at && at < s.span.1;
        self.serving.iter().filter(serves).count() >= MIN_SERVING
    }

    fn check_overlap(&self, attempt: &Attempt, runs: &[&Run]) -> Option<Breach> {
        if attempt.kind == RequestKind::Fetch {
            return None;
        }
        let overlaps = runs.windows(2).any(|pair| {
            let overlap = pair[0].end.1.saturating_duration_since(pair[1].began);
            overlap > MAX_OVERLAP && !self.is_excused(pair[1].began)
        });
        overlaps.then(|| Breach::OverlappingRuns(attempt.id.clone()))
    }

    fn is_after_notice(&self, run: &Run) -> bool {
        let is_late = |notice: Instant| run.began.saturating_duration_since(notice) > NOTICE_GRACE;
        let listed = self.notices.get(&run.instance).copied();
        let answered = self.first_leave_notice(&run.instance);
        let late = listed.is_some_and(is_late) || answered.is_some_and(is_late);
        late && !self.is_excused(run.began)
    }

    /// Returns when all entries know of an upstream's first leave notice in an answer.
    fn first_leave_notice(&self, instance: &str) -> Option<Instant> {
        let since = self.departing.get(instance)?;
        let runs = self.runs.iter().filter(|r| r.instance == instance);
        let first = runs.map(|r| r.began).filter(|began| began > since).min();
        first.map(|began| began + PROPAGATION_TIME)
    }

    /// Returns whether more runs began in some [`RATE_WINDOW`] than an upstream's rate allows. Runs
    /// count from the time when all entries know of the first answer with the rate.
    fn exceeds_rate(&self, rate: &AnnouncedRate) -> bool {
        let (from, to) = rate.span;
        let runs = self.runs.iter().filter(|r| r.instance == rate.instance);
        let in_period = runs.map(|r| r.began).filter(|b| from < *b && *b < to);
        let mut began: Vec<Instant> = in_period.collect();
        began.sort_unstable();
        let Some(known_from) = began.first().map(|first| *first + PROPAGATION_TIME) else {
            return false;
        };
        began.retain(|b| *b > known_from);
        began.iter().enumerate().any(|(i, first)| {
            let in_span = began[i..].iter().take_while(|b| **b < *first + RATE_WINDOW);
            let in_span: Vec<&Instant> = in_span.collect();
            let mut all = in_span.iter();
            let is_excused = all.any(|b| self.is_excused(**b) || self.has_just_restarted(**b));
            in_span.len() > rate.allowed() && !is_excused
        })
    }

    fn has_just_restarted(&self, at: Instant) -> bool {
        let mut restarts = self.restarts.iter();
        restarts.any(|(_, r)| *r <= at && at < *r + 2 * PROPAGATION_TIME)
    }

    fn is_on_overwritten_record(&self, run: &Run) -> bool {
        let periods = self
            .overwritten
            .iter()
            .filter(|(i, _, _)| *i == run.instance);
        let began = run.began;
        let mut late = periods.map(|(_, from, to)| *from + OVERWRITE_GRACE < began && began < *to);
        late.any(|late| late) && !run.from_memory && !self.is_excused(began)
    }

    pub(super) fn is_excused(&self, at: Instant) -> bool {
        self.excused
            .iter()
            .any(|(from, to)| *from <= at && at <= *to)
    }
}

/// Returns whether a request that has run got no complete answer.
fn is_cut(attempt: &Attempt, runs: &[&Run]) -> bool {
    match attempt.outcome {
        Outcome::Truncated(_) => true,
        Outcome::NoAnswer | Outcome::Failed(_) => !runs.is_empty(),
        Outcome::Complete(_) | Outcome::NotRun(_) => false,
    }
}

fn check_answer(attempt: &Attempt) -> Option<Breach> {
    let is_valid = match &attempt.outcome {
        Outcome::Complete(body) => without_versions(body) == attempt.expected_body,
        Outcome::Truncated(body) => attempt.expected_body.starts_with(&without_versions(body)),
        Outcome::NotRun(_) | Outcome::Failed(_) | Outcome::NoAnswer => true,
    };
    (!is_valid).then(|| Breach::WrongBody(attempt.id.clone()))
}

fn check_runs(attempt: &Attempt, runs: &[&Run]) -> Option<Breach> {
    if attempt.kind.is_retryable() {
        return None;
    }
    if matches!(attempt.outcome, Outcome::NotRun(_)) && !runs.is_empty() {
        return Some(Breach::RefusedButRan(attempt.id.clone()));
    }
    let fresh_runs = runs.iter().filter(|r| !r.from_memory).count();
    (fresh_runs > 1).then(|| Breach::RanMoreThanOnce(attempt.id.clone()))
}
