//! Oracle of streams whose runs ended by themselves: callers get their ends, and no further run is spent on them.

use std::time::{Duration, Instant};

use super::checker::{Attempt, Breach, Evidence, Outcome, RequestKind};
use super::record::{Run, RunEnd};

/// Time before the end of a run in which an order may be carried out though the run ends by itself: an interval of its events,
/// on a busy machine.
const LAST_INTERVAL: Duration = Duration::from_millis(100);

/// Time before a caller gives up in which the end of a run may not reach it any more, on a busy machine.
const LAST_DELIVERY: Duration = Duration::from_secs(1);

/// A time in which answers of an upstream were faulty, could be lost, or came too late to be waited for.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// Id of the upstream.
    pub instance: String,
    /// Start and end.
    pub span: (Instant, Instant),
}

/// Streams whose runs ended by themselves, by what became of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndedStreams {
    /// Whole ones.
    pub whole: usize,
    /// Those that were cut or run again since their ends may not have come, or not been proven.
    pub excused: usize,
    /// Requests that were cut or run again for no such reason.
    pub broken: Vec<String>,
}

/// Fate of a run that ended by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Whole,
    Excused,
    Broken,
}

impl Evidence {
    /// Returns the streams whose runs ended by themselves.
    #[must_use]
    pub fn ended_streams(&self) -> EndedStreams {
        let mut ended = EndedStreams::default();
        for attempt in &self.attempts {
            if !matches!(attempt.kind, RequestKind::Log | RequestKind::Grade) {
                continue;
            }
            let runs = self.runs.iter().filter(|r| r.request_id == attempt.id);
            let runs: Vec<&Run> = runs.collect();
            for number in 0..runs.len() {
                match self.fate(attempt, &runs, number) {
                    Some(Fate::Whole) => ended.whole += 1,
                    Some(Fate::Excused) => ended.excused += 1,
                    Some(Fate::Broken) => ended.broken.push(attempt.id.clone()),
                    None => {}
                }
            }
        }
        ended
    }

    /// Returns the violated guarantees, unless callers break streams off themselves.
    pub(super) fn end_breaches(&self) -> Vec<Breach> {
        if !self.are_read_to_the_end {
            return Vec::new();
        }
        let broken = self.ended_streams().broken.into_iter();
        broken.map(Breach::EndedButBroken).collect()
    }

    /// Returns the fate of a run among those of its attempt, if it ended by itself while no other was in progress.
    fn fate(&self, attempt: &Attempt, runs: &[&Run], number: usize) -> Option<Fate> {
        let run = runs[number];
        let (RunEnd::Complete, ended) = run.end else {
            return None;
        };
        let next = runs.get(number + 1);
        if next.is_some_and(|next| next.began < ended) {
            return None;
        }
        if next.is_none() && matches!(attempt.outcome, Outcome::Complete(_)) {
            return Some(Fate::Whole);
        }
        let decided = next.map_or(attempt.ended, |next| next.began);
        let first = runs.iter().find(|r| r.instance == run.instance);
        let since = first.map_or(run.began, |first| first.began);
        let meets = |span: &(Instant, Instant), from: Instant| span.0 <= decided && from <= span.1;
        let is_disturbed = self.disturbances.iter();
        let mut is_disturbed = is_disturbed.filter(|d| d.instance == run.instance);
        // The upstream says of a run that an order reaches as it ends that it was stopped.
        let mut copies = self.copies.iter().filter(|(id, _)| *id == attempt.id);
        let limit = attempt.began + attempt.patience;
        let is_at_limit = limit <= decided && limit <= ended + LAST_DELIVERY;
        let is_excused = is_at_limit
            || is_disturbed.any(|d| meets(&d.span, since))
            || self.excused.iter().any(|span| meets(span, ended))
            || copies.any(|(_, at)| ended <= *at + LAST_INTERVAL && *at < decided);
        Some(if is_excused {
            Fate::Excused
        } else {
            Fate::Broken
        })
    }
}
