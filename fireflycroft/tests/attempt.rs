//! What follows from each try, and that "not run" is never said wrongly.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{NextStep, Repeat, Tries, TryOutcome};
use proptest::prelude::*;

use NextStep::{RefuseNotRun, Relay, TellUnknown, TryAgain};
use TryOutcome::{Answered, Failed, Lost, NeverSent, NotRun, WrongInstance};

cases! {
    answer_is_relayed => check(Repeat::Once, 1, &[Answered], &[Relay]);
    lost_call_of_once_is_unknown => check(Repeat::Once, 2, &[Lost], &[TellUnknown]);
    lost_call_of_many_is_tried_again => check(Repeat::Idempotent, 2, &[Lost, Answered], &[TryAgain, Relay]);
    failed_call_of_many_is_tried_again => check(Repeat::Idempotent, 2, &[Failed, Failed], &[TryAgain, Relay]);
    failed_call_of_once_is_relayed => check(Repeat::Once, 2, &[Failed], &[Relay]);
    attempts_are_bounded => check(Repeat::Idempotent, 1, &[Lost], &[TellUnknown]);
    turned_away_goes_elsewhere => check(Repeat::Once, 2, &[NotRun, Answered], &[TryAgain, Relay]);
    turned_away_everywhere_is_refused => check(Repeat::Once, 2, &[NotRun, NotRun], &[TryAgain, RefuseNotRun]);
    wrong_instance_costs_no_attempt => check(Repeat::Once, 1, &[WrongInstance, Answered], &[TryAgain, Relay]);
    unsent_is_tried_again => check(Repeat::Once, 1, &[NeverSent, Answered], &[TryAgain, Relay]);
    unsent_three_times_is_refused => check(Repeat::Once, 1, &[NeverSent; 3], &[TryAgain, TryAgain, RefuseNotRun]);
    lost_then_turned_away_stays_unknown => check(Repeat::Idempotent, 2, &[Lost, NotRun], &[TryAgain, TellUnknown]);
    lost_stream_is_unknown => check(Repeat::Stream, 2, &[Lost], &[TellUnknown]);
    lost_resumable_stream_is_tried_again => check(Repeat::ResumableStream, 2, &[Lost, Answered], &[TryAgain, Relay]);
    spent_budget_ends_the_tries => spent_budget_ends();
}

fn is_sent(outcome: TryOutcome) -> bool {
    outcome != NeverSent
}

fn check(repeat: Repeat, most: u32, outcomes: &[TryOutcome], steps: &[NextStep]) {
    let mut tries = Tries::new(repeat, most);
    for (outcome, step) in outcomes.iter().zip(steps) {
        if is_sent(*outcome) {
            tries.note_sent();
        }
        assert_eq!(tries.after(*outcome, || true), *step, "after {outcome:?}");
    }
}

fn spent_budget_ends() {
    let mut tries = Tries::new(Repeat::Idempotent, 3);
    tries.note_sent();
    assert_eq!(tries.after(Lost, || false), TellUnknown);
}

fn outcome() -> impl Strategy<Value = TryOutcome> {
    prop::sample::select(vec![
        NeverSent,
        NotRun,
        WrongInstance,
        Failed,
        Answered,
        Lost,
    ])
}

fn repeat() -> impl Strategy<Value = Repeat> {
    use Repeat::{Idempotent, Once, ResumableStream, Stream};
    prop::sample::select(vec![Idempotent, Once, Stream, ResumableStream])
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens, a request that may have run is never refused as not run, one that may run
    /// only once never runs twice, and the tries end.
    #[test]
    fn refusals_are_true_and_tries_end(
        repeat in repeat(),
        most in 1_u32..4,
        outcomes in prop::collection::vec(outcome(), 20),
    ) {
        let mut tries = Tries::new(repeat, most);
        let mut may_have_run = 0;
        let mut ended = false;
        for outcome in outcomes {
            if is_sent(outcome) {
                tries.note_sent();
            }
            if matches!(outcome, Failed | Answered | Lost) {
                may_have_run += 1;
            }
            let step = tries.after(outcome, || true);
            prop_assert!(step != RefuseNotRun || may_have_run == 0);
            prop_assert!(may_have_run <= 1 || repeat.may_run_again());
            prop_assert!(may_have_run <= most);
            if step != TryAgain {
                ended = true;
                break;
            }
        }
        prop_assert!(ended);
    }
}
