//! The oracle: whether what callers and upstreams saw keeps the promises.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use super::record::{Run, RunEnd};

/// Time for which two runs of one request may overlap: the users' bound.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Time after its notice in which an upstream may get new work: the users' bound.
const NOTICE_GRACE: Duration = Duration::from_secs(2);

/// Time after its record was overwritten by a stranger in which an upstream may get new work.
const OVERWRITE_GRACE: Duration = Duration::from_secs(3);

/// Time in which an upstream's answer reaches an entry, and word of it all others.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Span in which requests to a limited upstream are counted: the users' bound.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// What a kind of request promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// A call that may run more than once.
    Fetch,
    /// A call that runs at most once.
    File,
    /// A stream that runs at most once.
    Log,
    /// A stream that may be run anew after the last event.
    Grade,
}

impl RequestKind {
    const fn is_retryable(self) -> bool {
        matches!(self, Self::Fetch | Self::Grade)
    }
}

/// What became of an attempt, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A success, whole, with this body.
    Complete(String),
    /// A success that broke off after this much.
    Truncated(String),
    /// A status that promises that it was not run.
    NotRun(u16),
    /// Another status.
    Failed(u16),
    /// No answer, or no connection.
    NoAnswer,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// What it promises.
    pub kind: RequestKind,
    /// The body that it is owed.
    pub expected_body: String,
    /// What became of it.
    pub outcome: Outcome,
}

/// Something that was promised and not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// A body that is not the request's own, or not whole though it looked so.
    WrongBody(String),
    /// More than one run of a request that may run once.
    RanMoreThanOnce(String),
    /// Told as not run, and run.
    RefusedButRan(String),
    /// Two runs of one generation at the same time.
    OverlappingRuns(String),
    /// New work on an upstream that had announced its leaving.
    AfterNotice(String),
    /// More new work on an upstream than the rate that it named allows.
    RateExceeded(String),
    /// New work on an upstream whose record a stranger had overwritten.
    OverwrittenRecord(String),
    /// A request that was sent to go on from the memory of another one.
    ForeignMemory(String),
    /// A run that goes on though nobody waits for it.
    LeftRunning(String),
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A rate that an upstream named in its answers for a while.
#[derive(Clone, Debug)]
pub struct AnnouncedRate {
    /// The upstream.
    pub instance: String,
    /// Requests a second.
    pub per_second: u32,
    /// From when to when.
    pub span: (Instant, Instant),
}

impl AnnouncedRate {
    /// Runs that the users' rule allows in any [`RATE_WINDOW`].
    fn allowed(&self) -> usize {
        let seconds = usize::try_from(RATE_WINDOW.as_secs()).unwrap_or(usize::MAX);
        let announced = usize::try_from(self.per_second).unwrap_or(usize::MAX);
        announced.saturating_mul(seconds) * 3 / 2 + 5
    }
}

/// What is known of one test.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Attempts of callers.
    pub attempts: Vec<Attempt>,
    /// Runs of upstreams.
    pub runs: Vec<Run>,
    /// Requests that were sent to go on from the memory of another one.
    pub foreign_memory: Vec<String>,
    /// Upstreams that announced their leaving, and when.
    pub notices: HashMap<String, Instant>,
    /// Upstreams whose answers said from some moment on that they leave.
    pub departing: HashMap<String, Instant>,
    /// Rates that upstreams named.
    pub rates: Vec<AnnouncedRate>,
    /// Upstreams whose records a stranger had overwritten, from when to when.
    pub overwritten: Vec<(String, Instant, Instant)>,
    /// When entries were started again: they have to hear of rates anew.
    pub restarts: Vec<Instant>,
    /// Spans in which an entry could not know or act: paused, or cut off.
    pub excused: Vec<(Instant, Instant)>,
}

impl Evidence {
    /// All promises that were not kept.
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

    /// When entries have an answer of an upstream that says that it leaves.
    fn first_leave_notice(&self, instance: &str) -> Option<Instant> {
        let since = self.departing.get(instance)?;
        let runs = self.runs.iter().filter(|r| r.instance == instance);
        let first = runs.map(|r| r.began).filter(|began| began > since).min();
        first.map(|began| began + PROPAGATION_TIME)
    }

    /// Whether more began on an upstream in some span than the rate that it named allows, of what
    /// entries sent once they had an answer that named it.
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
