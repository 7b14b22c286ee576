//! Checks of the guarantees against what ran and what callers received.

use std::fmt;

use super::runs::Runs;
use super::tokens::{TokenBreach, check_tokens};
use crate::caller::{Attempt, End, RequestOutcome, Work};

/// Result codes that mean "not run".
const NOT_RUN: std::ops::Range<u32> = 2_000..3_000;

/// A violated guarantee of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Tag of the request.
    pub mark: String,
    /// Violated guarantee.
    pub kind: BreachKind,
}

/// Kinds of violated guarantees.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreachKind {
    /// The tokens aren't consecutive tokens of one generation of this request.
    Tokens(TokenBreach),
    /// The system reported another number of delivered tokens.
    WrongCount {
        /// Tokens reported by the system.
        reported: u64,
        /// Tokens received by the caller.
        received: u64,
    },
    /// Runs of a request that the system reported as not run.
    RanThoughNotRun(usize),
    /// Runs of a request that may run at most once.
    RanMoreThanOnce(usize),
    /// Two answers to the same idempotency key differ.
    AnswersDiffer,
    /// A plain service's answer belongs to another request.
    WrongRequest,
    /// The request didn't end within the caller's timeout.
    TimedOut,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:?}", self.mark, self.kind)
    }
}

/// Returns all violated guarantees.
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

/// Checks one request; `unique_mark` tells whether no other request has its mark.
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

/// Returns whether the system reported the attempt as not run.
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

/// Returns whether the request may run at most once.
fn runs_at_most_once(outcome: &RequestOutcome) -> bool {
    let call = matches!(outcome.request.work, Work::Call { .. });
    outcome.request.idempotency_key.is_some() || call
}

/// Returns whether two complete answers to one idempotency key differ.
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
