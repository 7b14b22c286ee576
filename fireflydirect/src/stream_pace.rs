//! Pace of an upstream and pauses of its service, as the events of one stream show them.

use crate::assignment::AssignmentGuard;
use crate::job::Job;
use fireflycroft::{Gap, PausePeak, Time};

/// Tokens per measurement of an upstream's pace: about half a second.
const PACE_WINDOW_TOKENS: u64 = 64;

/// Measures a stream for as long as it comes from one upstream.
#[derive(Default)]
pub struct StreamPace {
    window: Option<PaceWindow>,
    last_event: Option<LastEvent>,
}

/// Start of a window over which an upstream's pace is measured.
#[derive(Clone, Copy)]
struct PaceWindow {
    since: Time,
    produced: u64,
}

/// Last event of an unbroken span on one upstream, and the pauses since.
#[derive(Clone, Copy)]
struct LastEvent {
    at: Time,
    produced: u64,
    peak: PausePeak,
}

/// Returns the tokens that an event of a request's answer has.
#[must_use]
pub fn tokens_per_event(job: &Job) -> u32 {
    job.engine.map_or(1, |e| e.tokens_per_event)
}

impl StreamPace {
    /// Records that `produced` tokens of the answer have come.
    pub fn record(&mut self, job: &Job, assignment: &mut AssignmentGuard, produced: u64) {
        self.record_pace(job, assignment, produced);
        self.record_gap(job, assignment, produced);
    }

    /// Measures the upstream's pace over windows of [`PACE_WINDOW_TOKENS`] tokens.
    fn record_pace(&mut self, job: &Job, assignment: &AssignmentGuard, produced: u64) {
        let now = job.now();
        let since = *self.window.get_or_insert(PaceWindow {
            since: now,
            produced,
        });
        let tokens = produced - since.produced;
        if tokens >= PACE_WINDOW_TOKENS {
            let mut pool = job.node.pool.borrow_mut();
            pool.record_pace(assignment.ix, tokens, now.since(since.since));
            self.window = None;
        }
    }

    /// Records the gap since the last event, for the speed of the upstream and the pauses of its service.
    fn record_gap(&mut self, job: &Job, assignment: &mut AssignmentGuard, produced: u64) {
        let now = job.now();
        let mut peak = PausePeak::default();
        if self.last_event.is_some_and(|e| e.produced == produced) {
            return;
        }
        if let Some(last) = self.last_event {
            peak = last.peak;
            let gap = Gap {
                tokens: produced - last.produced,
                span: now.since(last.at),
                event_tokens: tokens_per_event(job),
                objective: job.route.gap_objective,
            };
            let ix = assignment.ix;
            let is_news = job.node.pool.borrow_mut().record_gap(ix, &gap, &mut peak);
            if is_news {
                job.node.record_load_change(ix);
            }
            assignment.set_slowed(peak.is_slowed());
        }
        self.last_event = Some(LastEvent {
            at: now,
            produced,
            peak,
        });
    }
}
