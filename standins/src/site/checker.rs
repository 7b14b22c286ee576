//! Oracle of the guarantees, based on the records of callers and upstreams.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use super::record::{Run, RunEnd};

/// Longest allowed overlap of two runs of one request; set by the users.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Time after its leave notice in which an upstream may get new work; set by the users.
const NOTICE_GRACE: Duration = Duration::from_secs(2);

/// Time after a foreign overwrite of its record in which an upstream may get new work.
const OVERWRITE_GRACE: Duration = Duration::from_secs(3);

/// Time in which an upstream's answer reaches an entry and its contents reach all other entries.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

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
    /// Kind of the request.
    pub kind: RequestKind,
    /// Complete body that the caller expects.
    pub expected_body: String,
    /// Result of the attempt.
    pub outcome: Outcome,
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
    /// Restarts of entries, which have to receive rates again.
    pub restarts: Vec<Instant>,
    /// Periods in which an entry couldn't receive or act, because it was paused or disconnected.
    pub excused: Vec<(Instant, Instant)>,
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
        breaches
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
        restarts.any(|r| *r <= at && at < *r + 2 * PROPAGATION_TIME)
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

    fn is_excused(&self, at: Instant) -> bool {
        self.excused
            .iter()
            .any(|(from, to)| *from <= at && at <= *to)
    }
}

fn check_answer(attempt: &Attempt) -> Option<Breach> {
    let is_valid = match &attempt.outcome {
        Outcome::Complete(body) => *body == attempt.expected_body,
        Outcome::Truncated(body) => attempt.expected_body.starts_with(body.as_str()),
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
