//! The next step after each attempt, and that no request is wrongly refused as "not run".

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{AttemptOutcome, Attempts, NextStep, RequestKind};
use proptest::prelude::*;

use AttemptOutcome::{Answered, Failed, Lost, NeverSent, NotRun, WrongInstance};
use NextStep::{RefuseNotRun, Relay, ReportUnknown, Retry};

cases! {
    answer_is_relayed => check(RequestKind::Once, 1, &[Answered], &[Relay]);
    lost_call_of_once_is_unknown => check(RequestKind::Once, 2, &[Lost], &[ReportUnknown]);
    lost_call_of_many_is_tried_again => check(RequestKind::Idempotent, 2, &[Lost, Answered], &[Retry, Relay]);
    failed_call_of_many_is_tried_again => check(RequestKind::Idempotent, 2, &[Failed, Failed], &[Retry, Relay]);
    failed_call_of_once_is_relayed => check(RequestKind::Once, 2, &[Failed], &[Relay]);
    attempts_are_bounded => check(RequestKind::Idempotent, 1, &[Lost], &[ReportUnknown]);
    turned_away_goes_elsewhere => check(RequestKind::Once, 2, &[NotRun, Answered], &[Retry, Relay]);
    turned_away_everywhere_is_refused => check(RequestKind::Once, 2, &[NotRun, NotRun], &[Retry, RefuseNotRun]);
    wrong_instance_costs_no_attempt => check(RequestKind::Once, 1, &[WrongInstance, Answered], &[Retry, Relay]);
    unsent_is_tried_again => check(RequestKind::Once, 1, &[NeverSent, Answered], &[Retry, Relay]);
    unsent_three_times_is_refused => check(RequestKind::Once, 1, &[NeverSent; 3], &[Retry, Retry, RefuseNotRun]);
    lost_then_turned_away_stays_unknown => check(RequestKind::Idempotent, 2, &[Lost, NotRun], &[Retry, ReportUnknown]);
    lost_stream_is_unknown => check(RequestKind::Stream, 2, &[Lost], &[ReportUnknown]);
    lost_resumable_stream_is_tried_again => check(RequestKind::ResumableStream, 2, &[Lost, Answered], &[Retry, Relay]);
    exhausted_budget_ends_the_attempts => exhausted_budget_ends();
}

fn is_sent(outcome: AttemptOutcome) -> bool {
    outcome != NeverSent
}

fn check(kind: RequestKind, max_attempts: u32, outcomes: &[AttemptOutcome], steps: &[NextStep]) {
    let mut attempts = Attempts::new(kind, max_attempts);
    for (outcome, step) in outcomes.iter().zip(steps) {
        if is_sent(*outcome) {
            attempts.record_sent();
        }
        assert_eq!(
            attempts.next_step(*outcome, || true),
            *step,
            "after {outcome:?}"
        );
    }
}

fn exhausted_budget_ends() {
    let mut attempts = Attempts::new(RequestKind::Idempotent, 3);
    attempts.record_sent();
    assert_eq!(attempts.next_step(Lost, || false), ReportUnknown);
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop::sample::select(vec![
        NeverSent,
        NotRun,
        WrongInstance,
        Failed,
        Answered,
        Lost,
    ])
}

fn kind() -> impl Strategy<Value = RequestKind> {
    use RequestKind::{Idempotent, Once, ResumableStream, Stream};
    prop::sample::select(vec![Idempotent, Once, Stream, ResumableStream])
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any outcomes, a request that may have run is never refused as not run, one that may run
    /// only once never runs twice, and the attempts end.
    #[test]
    fn refusals_are_true_and_attempts_end(
        kind in kind(),
        max_attempts in 1_u32..4,
        outcomes in prop::collection::vec(outcome(), 20),
    ) {
        let mut attempts = Attempts::new(kind, max_attempts);
        let mut may_have_run = 0;
        let mut ended = false;
        for outcome in outcomes {
            if is_sent(outcome) {
                attempts.record_sent();
            }
            if matches!(outcome, Failed | Answered | Lost) {
                may_have_run += 1;
            }
            let step = attempts.next_step(outcome, || true);
            prop_assert!(step != RefuseNotRun || may_have_run == 0);
            prop_assert!(may_have_run <= 1 || kind.is_retryable());
            prop_assert!(may_have_run <= max_attempts);
            if step != Retry {
                ended = true;
                break;
            }
        }
        prop_assert!(ended);
    }
}
