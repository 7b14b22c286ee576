//! Tests that the oracle finds each violated guarantee, and none where all hold.

use standins::caller::{Attempt, End, Request, RequestOutcome};
use standins::load::Violation;
use standins::oracle::{BreachKind, GenerationRun, PlainRun, Runs, TokenBreach, find_breaches};

/// Returns generations with these marks; each nonce is `n` and the index.
fn generations(marks: &[&str]) -> Runs {
    let run = |(i, mark): (usize, &&str)| GenerationRun {
        mark: (*mark).to_owned(),
        nonce: format!("n{i}"),
        log_index: 0,
    };
    Runs {
        generations: marks.iter().enumerate().map(run).collect(),
        ..Runs::default()
    }
}

fn calls(mark: &str, times: u64) -> Runs {
    let call = |number| PlainRun {
        mark: mark.to_owned(),
        path: "/file".to_owned(),
        number,
    };
    Runs {
        calls: (1..=times).map(call).collect(),
        ..Runs::default()
    }
}

fn attempt(text: &str, end: End) -> Attempt {
    Attempt {
        mark: "m".to_owned(),
        text: text.to_owned(),
        tokens: text.split_whitespace().count() as u64,
        end,
        delivered: None,
        retry_after: None,
        reconnects: 0,
    }
}

fn stream() -> Request {
    Request::stream("m", "key", "model", 2)
}

fn keyed_stream() -> Request {
    stream().with_idempotency_key("once")
}

fn plain_call() -> Request {
    Request::call("m", "key", "records", "/file")
}

fn outcome(request: Request, attempt: Attempt) -> RequestOutcome {
    RequestOutcome {
        request,
        attempts: vec![attempt],
    }
}

fn with_delivered(delivered: u64, mut attempt: Attempt) -> Attempt {
    attempt.delivered = Some(delivered);
    attempt
}

macro_rules! breaches {
    ($($name:ident: $runs:expr, [$($outcome:expr),* $(,)?] => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let found: Vec<BreachKind> = find_breaches(&$runs, &[$($outcome),*])
                .into_iter()
                .map(|breach| breach.kind)
                .collect();
            assert_eq!(found, $expected);
        }
    )*};
}

breaches! {
    whole_answer_holds: generations(&["m"]), [
        outcome(stream(), attempt("n0.m.0 n0.m.1 ", End::Complete))
    ] => [];
    honest_end_holds: generations(&["m"]), [
        outcome(stream(), with_delivered(1, attempt("n0.m.0 ", End::Code(3001))))
    ] => [];
    refusal_holds: generations(&[]), [
        outcome(stream(), with_delivered(0, attempt("", End::Code(2011))))
    ] => [];
    token_twice: generations(&["m"]), [
        outcome(stream(), attempt("n0.m.0 n0.m.0 n0.m.1 ", End::Complete))
    ] => [BreachKind::Tokens(TokenBreach::Sequence(Violation::Repeated))];
    token_missing: generations(&["m"]), [outcome(stream(), attempt("n0.m.1 ", End::Code(3001)))]
        => [BreachKind::Tokens(TokenBreach::Sequence(Violation::Gap))];
    end_missing: generations(&["m"]), [outcome(stream(), attempt("n0.m.0 ", End::Complete))]
        => [BreachKind::Tokens(TokenBreach::Sequence(Violation::WrongLength))];
    two_generations: generations(&["m", "m"]), [
        outcome(stream(), attempt("n0.m.0 n1.m.1 ", End::Complete))
    ] => [BreachKind::Tokens(TokenBreach::Sequence(Violation::OtherGeneration))];
    answer_of_another: generations(&["m", "o"]), [
        outcome(stream(), attempt("n1.o.0 n1.o.1 ", End::Complete))
    ] => [BreachKind::Tokens(TokenBreach::Sequence(Violation::OtherRequest))];
    answer_never_made: generations(&[]), [
        outcome(stream(), attempt("n9.m.0 n9.m.1 ", End::Complete))
    ] => [BreachKind::Tokens(TokenBreach::UnknownGeneration)];
    wrong_count: generations(&["m"]), [
        outcome(stream(), with_delivered(2, attempt("n0.m.0 ", End::Code(3001))))
    ] => [BreachKind::WrongCount { reported: 2, received: 1 }];
    ran_though_refused: generations(&["m"]), [outcome(stream(), attempt("", End::Code(2013)))]
        => [BreachKind::RanThoughNotRun(1)];
    keyed_ran_though_refused: generations(&["m"]), [
        outcome(keyed_stream(), attempt("", End::Code(2015)))
    ] => [BreachKind::RanThoughNotRun(1)];
    keyed_ran_twice: generations(&["m", "m"]), [
        outcome(keyed_stream(), attempt("n0.m.0 n0.m.1 ", End::Complete))
    ] => [BreachKind::RanMoreThanOnce(2)];
    keyed_answers_differ: generations(&["m"]), [
        outcome(keyed_stream(), attempt("n0.m.0 n0.m.1 ", End::Complete)),
        outcome(keyed_stream(), attempt("n0.m.0 n0.m.1  ", End::Complete)),
    ] => [BreachKind::AnswersDiffer];
    call_ran_twice: calls("m", 2), [outcome(plain_call(), attempt("[[mark=m]]", End::Complete))]
        => [BreachKind::RanMoreThanOnce(2)];
    call_answered_for_another: calls("m", 1), [
        outcome(plain_call(), attempt("[[mark=o]]", End::Complete))
    ] => [BreachKind::WrongRequest];
    no_end: generations(&["m"]), [outcome(stream(), attempt("n0.m.0 ", End::TimedOut))]
        => [BreachKind::TimedOut];
}
