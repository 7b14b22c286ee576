//! The promises, each as a check on what ran and what callers got.

use std::fmt;

use super::runs::Runs;
use super::tokens::{TokenBreach, check_tokens};
use crate::caller::{Attempt, End, RequestOutcome, Work};

/// Result codes that say "not run".
const NOT_RUN: std::ops::Range<u32> = 2_000..3_000;

/// A promise that was broken to one caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Tag of the request.
    pub mark: String,
    /// What is wrong.
    pub kind: BreachKind,
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreachKind {
    /// The tokens are not the next ones of one generation of this request.
    Tokens(TokenBreach),
    /// The system says that it gave another number of tokens.
    WrongCount {
        /// What the system says.
        reported: u64,
        /// What came.
        received: u64,
    },
    /// It ran so many times although the system says that it was not run.
    RanThoughNotRun(usize),
    /// It ran so many times and may run once at most.
    RanMoreThanOnce(usize),
    /// Two answers to the same key differ.
    AnswersDiffer,
    /// The answer of a plain service is not of this request.
    WrongRequest,
    /// It never ended.
    TimedOut,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:?}", self.mark, self.kind)
    }
}

/// Names every promise that was broken.
#[must_use]
pub fn find_breaches(runs: &Runs, outcomes: &[RequestOutcome]) -> Vec<Breach> {
    let unique_mark = |outcome: &RequestOutcome| {
        let same = |other: &&RequestOutcome| other.request.mark == outcome.request.mark;
        outcomes.iter().filter(same).count() == 1
    };
    let mut breaches: Vec<Breach> = outcomes
        .iter()
        .flat_map(|outcome| check_request(runs, outcome, unique_mark(outcome)))
        .collect();
    for (index, outcome) in outcomes.iter().enumerate() {
        let differs = outcomes[..index]
            .iter()
            .any(|other| answers_differ(other, outcome));
        breaches.extend(differs.then(|| breach(&outcome.request.mark, BreachKind::AnswersDiffer)));
    }
    breaches
}

/// Checks one request; `alone` when no other of them has its mark.
fn check_request(runs: &Runs, outcome: &RequestOutcome, unique_mark: bool) -> Vec<Breach> {
    let mut breaches: Vec<Breach> = Vec::new();
    for attempt in &outcome.attempts {
        let kind = check_attempt(runs, outcome, attempt);
        breaches.extend(kind.into_iter().map(|kind| breach(&attempt.mark, kind)));
    }
    let request = &outcome.request;
    let ran = runs.count(&request.mark);
    if runs_at_most_once(outcome) && ran > 1 {
        breaches.push(breach(&request.mark, BreachKind::RanMoreThanOnce(ran)));
    }
    let all_refused = outcome.attempts.iter().all(is_reported_not_run);
    if request.keeps_body && unique_mark && all_refused && ran > 0 {
        breaches.push(breach(&request.mark, BreachKind::RanThoughNotRun(ran)));
    }
    breaches
}

fn check_attempt(runs: &Runs, outcome: &RequestOutcome, attempt: &Attempt) -> Option<BreachKind> {
    if matches!(attempt.end, End::TimedOut | End::InProgress) {
        return Some(BreachKind::TimedOut);
    }
    if let Some(kind) = check_text(runs, outcome, attempt) {
        return Some(kind);
    }
    let streamed = matches!(outcome.request.work, Work::Generate { stream: true, .. });
    if let Some(reported) = attempt.delivered.filter(|_| streamed)
        && reported != attempt.tokens
    {
        let received = attempt.tokens;
        return Some(BreachKind::WrongCount { reported, received });
    }
    let ran = runs.count(&attempt.mark);
    let own_mark = !outcome.request.keeps_body;
    (is_reported_not_run(attempt) && own_mark && ran > 0)
        .then_some(BreachKind::RanThoughNotRun(ran))
}

/// Whether the system said "not run".
fn is_reported_not_run(attempt: &Attempt) -> bool {
    matches!(attempt.end, End::Code(code) if NOT_RUN.contains(&code))
}

fn check_text(runs: &Runs, outcome: &RequestOutcome, attempt: &Attempt) -> Option<BreachKind> {
    let is_complete = attempt.end == End::Complete;
    match &outcome.request.work {
        Work::Generate { tokens, .. } => {
            let complete_tokens = is_complete.then_some(*tokens);
            let checked = check_tokens(runs, &attempt.mark, &attempt.text, complete_tokens);
            checked.err().map(BreachKind::Tokens)
        }
        Work::Call { .. } => {
            let tag = format!("[[mark={}]]", attempt.mark);
            (is_complete && !attempt.text.contains(&tag)).then_some(BreachKind::WrongRequest)
        }
    }
}

/// Whether the rules let the request run once at most.
fn runs_at_most_once(outcome: &RequestOutcome) -> bool {
    let call = matches!(outcome.request.work, Work::Call { .. });
    outcome.request.idempotency_key.is_some() || call
}

/// Whether two whole answers to one key differ.
fn answers_differ(one: &RequestOutcome, other: &RequestOutcome) -> bool {
    let (a, b) = (&one.request, &other.request);
    let same_key = a.idempotency_key.is_some()
        && (&a.idempotency_key, &a.key) == (&b.idempotency_key, &b.key)
        && a.mark == b.mark;
    same_key && one.is_complete() && other.is_complete() && one.last().text != other.last().text
}

fn breach(mark: &str, kind: BreachKind) -> Breach {
    Breach {
        mark: mark.to_owned(),
        kind,
    }
}
