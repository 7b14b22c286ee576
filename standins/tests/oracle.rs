//! The oracle names each broken promise, and none where all held.

use standins::caller::{Attempt, End, Request, RequestOutcome};
use standins::load::Violation;
use standins::oracle::{Flaw, PlainRun, Run, Runs, Wrong, judge};

/// Runs with generations of these marks; each has the nonce `n` and its place.
fn ran(marks: &[&str]) -> Runs {
    let run = |(i, mark): (usize, &&str)| Run {
        mark: (*mark).to_owned(),
        nonce: format!("n{i}"),
        log: 0,
    };
    Runs {
        generations: marks.iter().enumerate().map(run).collect(),
        ..Runs::default()
    }
}

fn called(mark: &str, times: u64) -> Runs {
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

fn keyed() -> Request {
    stream().with_idempotency_key("once")
}

fn filing() -> Request {
    Request::call("m", "key", "records", "/file")
}

fn got(request: Request, attempt: Attempt) -> RequestOutcome {
    RequestOutcome {
        request,
        attempts: vec![attempt],
    }
}

fn said(delivered: u64, mut attempt: Attempt) -> Attempt {
    attempt.delivered = Some(delivered);
    attempt
}

macro_rules! breaches {
    ($($name:ident: $runs:expr, [$($got:expr),* $(,)?] => $wrong:expr;)*) => {$(
        #[test]
        fn $name() {
            let found: Vec<Wrong> = judge(&$runs, &[$($got),*])
                .into_iter()
                .map(|breach| breach.what)
                .collect();
            assert_eq!(found, $wrong);
        }
    )*};
}

breaches! {
    whole_answer_holds: ran(&["m"]), [got(stream(), attempt("n0.m.0 n0.m.1 ", End::Complete))]
        => [];
    honest_end_holds: ran(&["m"]), [got(stream(), said(1, attempt("n0.m.0 ", End::Code(3001))))]
        => [];
    refusal_holds: ran(&[]), [got(stream(), said(0, attempt("", End::Code(2011))))]
        => [];
    token_twice: ran(&["m"]), [got(stream(), attempt("n0.m.0 n0.m.0 n0.m.1 ", End::Complete))]
        => [Wrong::Tokens(Flaw::Tokens(Violation::Repeated))];
    token_missing: ran(&["m"]), [got(stream(), attempt("n0.m.1 ", End::Code(3001)))]
        => [Wrong::Tokens(Flaw::Tokens(Violation::Gap))];
    end_missing: ran(&["m"]), [got(stream(), attempt("n0.m.0 ", End::Complete))]
        => [Wrong::Tokens(Flaw::Tokens(Violation::WrongLength))];
    two_generations: ran(&["m", "m"]), [got(stream(), attempt("n0.m.0 n1.m.1 ", End::Complete))]
        => [Wrong::Tokens(Flaw::Tokens(Violation::OtherGeneration))];
    answer_of_another: ran(&["m", "o"]), [got(stream(), attempt("n1.o.0 n1.o.1 ", End::Complete))]
        => [Wrong::Tokens(Flaw::Tokens(Violation::OtherRequest))];
    answer_never_made: ran(&[]), [got(stream(), attempt("n9.m.0 n9.m.1 ", End::Complete))]
        => [Wrong::Tokens(Flaw::NeverRan)];
    wrong_count: ran(&["m"]), [got(stream(), said(2, attempt("n0.m.0 ", End::Code(3001))))]
        => [Wrong::Delivered { said: 2, came: 1 }];
    ran_though_refused: ran(&["m"]), [got(stream(), attempt("", End::Code(2013)))]
        => [Wrong::RanThoughNotRun(1)];
    keyed_ran_though_refused: ran(&["m"]), [got(keyed(), attempt("", End::Code(2015)))]
        => [Wrong::RanThoughNotRun(1)];
    keyed_ran_twice: ran(&["m", "m"]), [got(keyed(), attempt("n0.m.0 n0.m.1 ", End::Complete))]
        => [Wrong::RanAgain(2)];
    keyed_answers_differ: ran(&["m"]), [
        got(keyed(), attempt("n0.m.0 n0.m.1 ", End::Complete)),
        got(keyed(), attempt("n0.m.0 n0.m.1  ", End::Complete)),
    ] => [Wrong::Differs];
    call_ran_twice: called("m", 2), [got(filing(), attempt("[[mark=m]]", End::Complete))]
        => [Wrong::RanAgain(2)];
    call_answered_for_another: called("m", 1), [got(filing(), attempt("[[mark=o]]", End::Complete))]
        => [Wrong::NotOwn];
    no_end: ran(&["m"]), [got(stream(), attempt("n0.m.0 ", End::TimedOut))]
        => [Wrong::TimedOut];
}
