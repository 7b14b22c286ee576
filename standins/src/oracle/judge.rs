//! The promises, each as a check on what ran and what callers got.

use std::fmt;

use super::runs::Runs;
use super::tokens::{Flaw, check_tokens};
use crate::caller::{Attempt, End, RequestOutcome, Work};

/// Result codes that say "not run".
const NOT_RUN: std::ops::Range<u32> = 2_000..3_000;

/// A promise that was broken to one caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Tag of the request.
    pub mark: String,
    /// What is wrong.
    pub what: Wrong,
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// The tokens are not the next ones of one generation of this request.
    Tokens(Flaw),
    /// The system says that it gave another number of tokens.
    Delivered {
        /// What the system says.
        said: u64,
        /// What came.
        came: u64,
    },
    /// It ran so many times although the system says that it was not run.
    RanThoughNotRun(usize),
    /// It ran so many times and may run once at most.
    RanAgain(usize),
    /// Two answers to the same key differ.
    Differs,
    /// The answer of a plain service is not of this request.
    NotOwn,
    /// It never ended.
    TimedOut,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {:?}", self.mark, self.what)
    }
}

/// Names every promise that was broken.
#[must_use]
pub fn judge(runs: &Runs, all: &[RequestOutcome]) -> Vec<Breach> {
    let alone = |got: &RequestOutcome| {
        let same = |other: &&RequestOutcome| other.request.mark == got.request.mark;
        all.iter().filter(same).count() == 1
    };
    let mut breaches: Vec<Breach> = all
        .iter()
        .flat_map(|got| judge_one(runs, got, alone(got)))
        .collect();
    for (at, got) in all.iter().enumerate() {
        let differs = all[..at].iter().any(|other| differ(other, got));
        breaches.extend(differs.then(|| breach(&got.request.mark, Wrong::Differs)));
    }
    breaches
}

/// Checks one request; `alone` when no other of them has its mark.
fn judge_one(runs: &Runs, got: &RequestOutcome, alone: bool) -> Vec<Breach> {
    let mut breaches: Vec<Breach> = Vec::new();
    for attempt in &got.attempts {
        let wrong = judge_attempt(runs, got, attempt);
        breaches.extend(wrong.into_iter().map(|w| breach(&attempt.mark, w)));
    }
    let request = &got.request;
    let ran = runs.count(&request.mark);
    if may_run_once(got) && ran > 1 {
        breaches.push(breach(&request.mark, Wrong::RanAgain(ran)));
    }
    let all_refused = got.attempts.iter().all(is_refused);
    if request.keeps_body && alone && all_refused && ran > 0 {
        breaches.push(breach(&request.mark, Wrong::RanThoughNotRun(ran)));
    }
    breaches
}

fn judge_attempt(runs: &Runs, got: &RequestOutcome, attempt: &Attempt) -> Option<Wrong> {
    if matches!(attempt.end, End::TimedOut | End::InProgress) {
        return Some(Wrong::TimedOut);
    }
    if let Some(wrong) = judge_text(runs, got, attempt) {
        return Some(wrong);
    }
    let streamed = matches!(got.request.work, Work::Generate { stream: true, .. });
    if let Some(said) = attempt.delivered.filter(|_| streamed)
        && said != attempt.tokens
    {
        let came = attempt.tokens;
        return Some(Wrong::Delivered { said, came });
    }
    let ran = runs.count(&attempt.mark);
    let own_mark = !got.request.keeps_body;
    (is_refused(attempt) && own_mark && ran > 0).then_some(Wrong::RanThoughNotRun(ran))
}

/// Whether the system said "not run".
fn is_refused(attempt: &Attempt) -> bool {
    matches!(attempt.end, End::Code(code) if NOT_RUN.contains(&code))
}

fn judge_text(runs: &Runs, got: &RequestOutcome, attempt: &Attempt) -> Option<Wrong> {
    let whole = attempt.end == End::Complete;
    match &got.request.work {
        Work::Generate { tokens, .. } => {
            let whole = whole.then_some(*tokens);
            let checked = check_tokens(runs, &attempt.mark, &attempt.text, whole);
            checked.err().map(Wrong::Tokens)
        }
        Work::Call { .. } => {
            let tag = format!("[[mark={}]]", attempt.mark);
            (whole && !attempt.text.contains(&tag)).then_some(Wrong::NotOwn)
        }
    }
}

/// Whether the rules let the request run once at most.
fn may_run_once(got: &RequestOutcome) -> bool {
    let call = matches!(got.request.work, Work::Call { .. });
    got.request.idempotency_key.is_some() || call
}

/// Whether two whole answers to one key differ.
fn differ(one: &RequestOutcome, other: &RequestOutcome) -> bool {
    let (a, b) = (&one.request, &other.request);
    let same_key = a.idempotency_key.is_some()
        && (&a.idempotency_key, &a.key) == (&b.idempotency_key, &b.key)
        && a.mark == b.mark;
    same_key && one.is_complete() && other.is_complete() && one.last().text != other.last().text
}

fn breach(mark: &str, what: Wrong) -> Breach {
    Breach {
        mark: mark.to_owned(),
        what,
    }
}
