//! Tests that the soak's oracle finds each violated guarantee, and none where all hold.

use standins::site::{
    AnnouncedRate, Attempt, Breach, Disturbance, EndedStreams, Evidence, Outcome, RequestKind, Run,
    RunEnd, ServingSpan,
};
use std::time::{Duration, Instant};

/// Time that callers wait.
const PATIENCE: Duration = Duration::from_secs(8);

macro_rules! cases {
    ($($name:ident => $body:expr;)+) => {
        $(
            #[test]
            fn $name() {
                $body
            }
        )+
    };
}

cases! {
    sound_evidence_has_no_breach => assert_eq!(evidence(RequestKind::Log, complete(), vec![run(0, 9)]).find_breaches(), []);
    foreign_body_is_found => assert_breach(&evidence(RequestKind::Fetch, Outcome::Complete("other".into()), vec![]), Breach::WrongBody);
    body_that_only_looks_whole_is_found => assert_breach(&evidence(RequestKind::Log, Outcome::Complete("ow".into()), vec![]), Breach::WrongBody);
    stopped_stream_that_looks_whole_without_its_last_events_is_found => assert_breach(&stopped_early(), Breach::WrongBody);
    wrong_part_is_found => assert_breach(&evidence(RequestKind::Log, Outcome::Truncated("we".into()), vec![]), Breach::WrongBody);
    part_of_the_body_is_allowed => assert_eq!(evidence(RequestKind::Log, Outcome::Truncated("ow".into()), vec![]).find_breaches(), []);
    second_run_is_found => assert_breach(&evidence(RequestKind::File, complete(), vec![run(0, 1), run(2, 3)]), Breach::RanMoreThanOnce);
    second_run_of_what_may_run_again_is_allowed =>
        assert_eq!(evidence(RequestKind::Fetch, complete(), vec![run(0, 1), run(2, 3)]).find_breaches(), []);
    run_that_goes_on_from_memory_is_allowed =>
        assert_eq!(evidence(RequestKind::Log, complete(), vec![run(0, 1), from_memory(run(2, 3))]).find_breaches(), []);
    refusal_of_what_ran_is_found => assert_breach(&evidence(RequestKind::File, Outcome::NotRun(503), vec![run(0, 1)]), Breach::RefusedButRan);
    two_runs_at_once_are_found => assert_breach(&evidence(RequestKind::Log, complete(), vec![run(0, 3), from_memory(run(1, 4))]), Breach::OverlappingRuns);
    work_after_notice_is_found => assert_breach(&after_notice(), Breach::AfterNotice);
    work_after_notice_of_a_paused_entry_is_excused => assert_paused_entry_excused();
    memory_of_another_request_is_found => assert_breach(&foreign_memory(), Breach::ForeignMemory);
    work_by_a_strangers_record_is_found => assert_breach(&overwritten(run(5, 6)), Breach::OverwrittenRecord);
    work_just_after_the_record_was_overwritten_is_allowed => assert_eq!(overwritten(run(2, 3)).find_breaches(), []);
    work_after_its_own_record_is_back_is_allowed => assert_eq!(overwritten(run(9, 10)).find_breaches(), []);
    work_after_an_answer_said_that_it_leaves_is_found => assert_breach(&departing(8), Breach::AfterNotice);
    work_soon_after_such_an_answer_is_allowed => assert_eq!(departing(4).find_breaches(), []);
    more_than_the_named_rate_is_found => {
        assert_eq!(rate_limited(12).find_breaches(), [Breach::RateExceeded("i".to_owned())]);
    };
    named_rate_and_what_the_rule_adds_is_allowed => assert_eq!(rate_limited(11).find_breaches(), []);
    events_of_two_versions_in_one_answer_are_found =>
        assert_mixed(&[("r", None, "id: 1\ndata: r 1\n\nid: 2\ndata: r 2 v2\n\n")]);
    events_of_two_versions_over_two_attempts_are_found =>
        assert_mixed(&[("r", None, "id: 1\ndata: r 1 v2\n\n"), ("s", Some("r"), "id: 2\ndata: s 2 v3\n\n")]);
    events_of_one_version_over_two_attempts_are_allowed =>
        assert_eq!(streams(&[("r", None, "id: 1\ndata: r 1 v2\n\n"), ("s", Some("r"), "id: 2\ndata: s 2 v2\n\n")]).find_breaches(), []);
    taken_up_streams_that_go_on_less_than_half_as_often_are_found => {
        assert_eq!(taken_up(5, 12, 2).find_breaches(), [Breach::LostStreams("5/12 12/12".to_owned())]);
    };
    half_of_the_taken_up_streams_is_enough => assert_eq!(taken_up(6, 12, 2).find_breaches(), []);
    few_taken_up_streams_are_not_judged => assert_eq!(taken_up(0, 11, 2).find_breaches(), []);
    streams_of_a_version_with_one_engine_are_not_judged => assert_eq!(taken_up(0, 12, 1).find_breaches(), []);
    requests_with_a_part_known_to_crash_upstreams_are_found => {
        assert_eq!(crashing(&[9, 10, 11, 12]).find_breaches(), [Breach::PartServed("bad".to_owned())]);
    };
    three_late_requests_with_such_a_part_are_allowed => assert_eq!(crashing(&[9, 10, 11]).find_breaches(), []);
    requests_soon_after_the_fifth_crash_are_allowed => assert_eq!(crashing(&[7, 7, 7, 7, 8]).find_breaches(), []);
    request_that_comes_again_after_its_third_crash_is_found => {
        let evidence = crashing_request(&[7, 7, 8, 9]);
        assert_eq!(evidence.find_breaches(), [Breach::RequestServed("/bad".to_owned())]);
    };
    three_late_arrivals_of_it_are_allowed => assert_eq!(crashing_request(&[6, 6, 6, 7, 8, 9]).find_breaches(), []);
    late_arrivals_of_it_from_an_entry_that_has_just_started_are_allowed => {
        let started = Evidence { restarts: vec![(0, at(6))], ..crashing_request(&[7, 7, 8, 8]) };
        assert_eq!(started.find_breaches(), []);
    };
    late_arrivals_of_it_from_an_entry_that_has_run_for_the_stable_window_are_found => {
        let started = Evidence { restarts: vec![(0, at(6))], ..crashing_request(&[9, 9, 10, 11]) };
        assert_eq!(started.find_breaches(), [Breach::RequestServed("/bad".to_owned())]);
    };
    late_arrivals_of_it_beside_another_entry_that_has_just_started_are_found => {
        let started = Evidence { restarts: vec![(1, at(6))], ..crashing_request(&[7, 7, 8, 8]) };
        assert_eq!(started.find_breaches(), [Breach::RequestServed("/bad".to_owned())]);
    };
    late_requests_at_a_paused_entry_are_excused => {
        let excused = Evidence { excused: vec![(at(8), at(13))], ..crashing(&[9, 10, 11, 12]) };
        assert_eq!(excused.find_breaches(), []);
    };
    sound_requests_beside_such_a_part_that_begin_less_than_half_as_often_are_found => {
        assert_eq!(beside(9).find_breaches(), [Breach::LostBeside("bad: 9/20 20/20".to_owned())]);
    };
    half_of_the_sound_requests_beside_it_is_enough => assert_eq!(beside(10).find_breaches(), []);
    answer_cut_by_planned_work_is_found =>
        assert_breach(&planned(Outcome::Truncated("ow".into()), vec![run(0, 1)]), Breach::CutByPlannedWork);
    run_without_an_answer_in_planned_work_is_found =>
        assert_breach(&planned(Outcome::NoAnswer, vec![run(0, 1)]), Breach::CutByPlannedWork);
    request_that_crossed_the_close_in_planned_work_is_allowed =>
        assert_eq!(planned(Outcome::NoAnswer, vec![]).find_breaches(), []);
    cut_stream_whose_run_ended_by_itself_is_found => assert_breach(&ended(part(), vec![run(0, 3)]), Breach::EndedButBroken);
    unanswered_stream_whose_run_ended_by_itself_is_found =>
        assert_breach(&ended(Outcome::NoAnswer, vec![run(0, 3)]), Breach::EndedButBroken);
    new_run_after_one_that_ended_by_itself_is_found =>
        assert_breach(&ended(complete(), vec![run(0, 3), run(4, 5)]), Breach::EndedButBroken);
    run_from_a_copy_of_one_that_ended_by_itself_is_found =>
        assert_breach(&copied(1, vec![run(0, 3), from_memory(run(4, 5))]), Breach::EndedButBroken);
    run_from_a_copy_made_at_its_end_is_allowed =>
        assert_eq!(copied(3, vec![run(0, 3), from_memory(run(4, 5))]).find_breaches(), []);
    new_run_after_a_stopped_one_is_allowed => assert_eq!(ended(complete(), vec![stopped(0, 3), run(4, 5)]).find_breaches(), []);
    cut_stream_of_a_stopped_run_is_allowed => assert_eq!(ended(part(), vec![stopped(0, 3)]).find_breaches(), []);
    cut_stream_whose_upstream_lost_answers_is_excused => assert_eq!(disturbed("i", (2, 4)).find_breaches(), []);
    cut_stream_whose_upstream_lost_answers_before_is_found => assert_breach(&disturbed("i", (0, 0)), Breach::EndedButBroken);
    cut_stream_whose_upstream_loses_answers_later_is_found => assert_breach(&disturbed("i", (9, 9)), Breach::EndedButBroken);
    cut_stream_beside_an_upstream_that_lost_answers_is_found => assert_breach(&disturbed("j", (2, 4)), Breach::EndedButBroken);
    cut_stream_of_a_paused_entry_is_excused => {
        let paused = Evidence { excused: vec![(at(4), at(9))], ..ended(part(), vec![run(1, 3)]) };
        assert_eq!(paused.find_breaches(), []);
    };
    run_that_ends_as_its_caller_gives_up_is_excused => assert_eq!(ended(Outcome::NoAnswer, vec![run(0, 7)]).find_breaches(), []);
    end_withheld_until_its_caller_gives_up_is_found => assert_breach(&ended(Outcome::NoAnswer, vec![run(0, 6)]), Breach::EndedButBroken);
    run_again_after_one_that_ends_late_is_found => {
        let mut late = ended(complete(), vec![run(0, 7), run(7, 8)]);
        late.attempts[0].ended = at(9);
        assert_breach(&late, Breach::EndedButBroken);
    };
    cut_call_is_not_judged_as_a_stream => {
        let mut call = ended(part(), vec![run(0, 3)]);
        call.attempts[0].kind = RequestKind::Fetch;
        assert_eq!(call.find_breaches(), []);
    };
    stream_that_its_caller_breaks_off_is_not_judged => {
        let left = Evidence { are_read_to_the_end: false, ..ended(part(), vec![run(0, 3)]) };
        assert_eq!(left.find_breaches(), []);
    };
    ended_streams_are_counted => {
        let mut all = ended(complete(), vec![run(0, 3)]);
        all.attempts.extend(disturbed("i", (2, 4)).attempts);
        all.attempts[1].id = "s".to_owned();
        all.runs.push(Run { request_id: "s".to_owned(), ..run(0, 3) });
        let found = |excused, broken: &[&str]| EndedStreams { whole: 1, excused, broken: broken.iter().map(|id| (*id).to_owned()).collect() };
        assert_eq!(all.ended_streams(), found(0, &["s"]));
        all.disturbances = disturbed("i", (2, 4)).disturbances;
        assert_eq!(all.ended_streams(), found(1, &[]));
    };
    run_left_behind_is_found => assert_breach(&evidence(RequestKind::Log, complete(), vec![left_running()]), Breach::LeftRunning);
}

/// Returns evidence of a stream beside planned work.
fn planned(outcome: Outcome, runs: Vec<Run>) -> Evidence {
    Evidence {
        is_planned: true,
        ..evidence(RequestKind::Log, outcome, runs)
    }
}

/// Returns evidence of a stream that its caller takes for whole though its run was stopped before its last event.
fn stopped_early() -> Evidence {
    let mut evidence = streams(&[("r", None, "id: 1\ndata: r 1\n\n")]);
    let attempt = &mut evidence.attempts[0];
    attempt.outcome = Outcome::Complete(attempt.expected_body.clone());
    attempt.expected_body.push_str("id: 2\ndata: r 2\n\n");
    evidence.runs = vec![stopped(0, 1)];
    evidence
}

/// Returns evidence of a stream that its caller reads to the end, till second 8.
fn ended(outcome: Outcome, runs: Vec<Run>) -> Evidence {
    Evidence {
        are_read_to_the_end: true,
        ..evidence(RequestKind::Grade, outcome, runs)
    }
}

/// Returns evidence of a stream that is cut after its run from second 1 to 3, and of an upstream that lost answers.
fn disturbed(instance: &str, span: (u64, u64)) -> Evidence {
    let disturbance = Disturbance {
        instance: instance.to_owned(),
        span: (at(span.0), at(span.1)),
    };
    Evidence {
        disturbances: vec![disturbance],
        ..ended(part(), vec![run(1, 3)])
    }
}

/// Returns evidence of a whole stream of whose memory a copy was made.
fn copied(second: u64, runs: Vec<Run>) -> Evidence {
    Evidence {
        copies: vec![("r".to_owned(), at(second))],
        ..ended(complete(), runs)
    }
}

fn part() -> Outcome {
    Outcome::Truncated("ow".to_owned())
}

fn stopped(from: u64, to: u64) -> Run {
    Run {
        end: (RunEnd::Migrated, at(to)),
        ..run(from, to)
    }
}

/// Returns runs of an upstream whose answers carry a leave notice from second 1 on: one at second
/// 2 and one at `second_start`.
fn departing(second_start: u64) -> Evidence {
    let runs = vec![run(2, 3), run(second_start, second_start + 1)];
    let mut evidence = evidence(RequestKind::Fetch, complete(), runs);
    evidence.departing.insert("i".to_owned(), at(1));
    evidence
}

/// Returns five runs that a part crashed in the seconds up to 5, and runs with it that begin at the given times.
fn crashing(later: &[u64]) -> Evidence {
    let with_part = |run: Run| Run {
        shared_parts: vec!["bad".to_owned()],
        ..run
    };
    let crashed = |second| Run {
        end: (RunEnd::Crashed, at(second)),
        ..run(second, second)
    };
    let runs = (1..=5).map(crashed);
    let runs = runs.chain(later.iter().map(|second| run(*second, *second)));
    Evidence {
        crashing_parts: vec!["bad".to_owned()],
        ..evidence(
            RequestKind::Grade,
            complete(),
            runs.map(with_part).collect(),
        )
    }
}

/// Returns three runs in which a request crashed upstreams up to second 3, and later ones that begin at the given times.
fn crashing_request(later: &[u64]) -> Evidence {
    let on_path = |run: Run| Run {
        path: "/bad".to_owned(),
        ..run
    };
    let crashed = |second| Run {
        end: (RunEnd::Crashed, at(second)),
        ..run(second, second)
    };
    let runs = (1..=3).map(crashed);
    let runs = runs.chain(later.iter().map(|second| run(*second, *second)));
    Evidence {
        crashing_paths: vec!["/bad".to_owned()],
        ..evidence(RequestKind::Grade, complete(), runs.map(on_path).collect())
    }
}

/// Returns twenty sound attempts before the crashes of a part, and twenty after them of which `begun` go on.
fn beside(begun: usize) -> Evidence {
    let attempt = |parts: &[&str], second, is_begun: bool| Attempt {
        id: "s".to_owned(),
        resumes: None,
        kind: RequestKind::Grade,
        shared_parts: parts.iter().map(|p| (*p).to_owned()).collect(),
        entry: 0,
        began: at(second),
        ended: at(second),
        patience: PATIENCE,
        expected_body: "owed".to_owned(),
        outcome: if is_begun {
            complete()
        } else {
            Outcome::NotRun(503)
        },
    };
    let mut evidence = crashing(&[]);
    evidence.attempts = vec![attempt(&["first", "bad"], 1, false)];
    let before = (0..20).map(|_| attempt(&["first"], 0, true));
    let after = (0..20).map(|n| attempt(&["first"], 12, n < begun));
    evidence.attempts.extend(before.chain(after));
    evidence
}

/// Returns runs of an upstream that announces one request per second: one run, then `concurrent`
/// runs at once.
fn rate_limited(concurrent: usize) -> Evidence {
    let mut runs = vec![run(2, 3)];
    runs.extend((0..concurrent).map(|_| run(4, 5)));
    let mut evidence = evidence(RequestKind::Fetch, complete(), runs);
    evidence.rates.push(AnnouncedRate {
        instance: "i".to_owned(),
        per_second: 1,
        span: (at(1), at(20)),
    });
    evidence
}

/// Returns the common start time of all tests.
fn start_time() -> Instant {
    use std::sync::OnceLock;
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now)
}

fn at(seconds: u64) -> Instant {
    start_time() + Duration::from_secs(seconds)
}

fn run(from: u64, to: u64) -> Run {
    Run {
        request_id: "r".to_owned(),
        instance: "i".to_owned(),
        version: "v1".to_owned(),
        workspace: None,
        saw_key: false,
        after: 0,
        from_memory: false,
        path: String::new(),
        shared_parts: Vec::new(),
        began: at(from),
        end: (RunEnd::Complete, at(to)),
    }
}

fn from_memory(run: Run) -> Run {
    Run {
        from_memory: true,
        ..run
    }
}

fn left_running() -> Run {
    Run {
        end: (RunEnd::Running, at(0)),
        ..run(0, 0)
    }
}

/// Returns evidence of a run on an upstream whose record was overwritten from 0 to 8 s.
fn overwritten(run: Run) -> Evidence {
    Evidence {
        overwritten: vec![("i".to_owned(), at(0), at(8))],
        ..evidence(RequestKind::Log, complete(), vec![run])
    }
}

fn foreign_memory() -> Evidence {
    Evidence {
        foreign_memory: vec!["r".to_owned()],
        ..evidence(RequestKind::Log, complete(), vec![run(0, 9)])
    }
}

fn complete() -> Outcome {
    Outcome::Complete("owed".to_owned())
}

fn evidence(kind: RequestKind, outcome: Outcome, runs: Vec<Run>) -> Evidence {
    let attempt = Attempt {
        id: "r".to_owned(),
        resumes: None,
        kind,
        shared_parts: Vec::new(),
        entry: 0,
        began: at(0),
        ended: at(8),
        patience: PATIENCE,
        expected_body: "owed".to_owned(),
        outcome,
    };
    Evidence {
        attempts: vec![attempt],
        runs,
        ..Evidence::default()
    }
}

/// Returns evidence of cut streams, each with its id, the attempt that it takes up and its body.
fn streams(attempts: &[(&str, Option<&str>, &str)]) -> Evidence {
    let attempt = |(id, resumes, body): &(&str, Option<&str>, &str)| Attempt {
        id: (*id).to_owned(),
        resumes: resumes.map(str::to_owned),
        kind: RequestKind::Grade,
        shared_parts: Vec::new(),
        entry: 0,
        expected_body: body.replace(" v2", "").replace(" v3", ""),
        outcome: Outcome::Truncated((*body).to_owned()),
        began: at(1),
        ended: at(2),
        patience: PATIENCE,
    };
    Evidence {
        attempts: attempts.iter().map(attempt).collect(),
        ..Evidence::default()
    }
}

fn assert_mixed(attempts: &[(&str, Option<&str>, &str)]) {
    assert_breach(&streams(attempts), Breach::MixedVersions);
}

/// Returns evidence of streams that were all cut after an event and taken up, of which `going` go on, while
/// `serving` engines of their version serve.
fn taken_up(going: usize, all: usize, serving: usize) -> Evidence {
    let mut evidence = Evidence::default();
    for i in 0..all {
        let (first, second) = (format!("r{i}"), format!("s{i}"));
        let begun = format!("id: 1\ndata: {first} 1\n\n");
        let rest = format!("id: 2\ndata: {second} 2\n\n");
        let rest = if i < going { rest.as_str() } else { "" };
        let attempts = [
            (first.as_str(), None, begun.as_str()),
            (second.as_str(), Some(first.as_str()), rest),
        ];
        evidence.attempts.extend(streams(&attempts).attempts);
    }
    let span = ServingSpan {
        version: "v1".to_owned(),
        span: (at(0), at(9)),
    };
    evidence.serving = vec![span; serving];
    evidence
}

fn after_notice() -> Evidence {
    let mut evidence = evidence(RequestKind::Log, complete(), vec![run(10, 11)]);
    evidence.notices.insert("i".to_owned(), at(1));
    evidence
}

fn assert_paused_entry_excused() {
    let mut evidence = after_notice();
    evidence.excused.push((at(5), at(12)));
    assert_eq!(evidence.find_breaches(), []);
}

fn assert_breach(evidence: &Evidence, breach: fn(String) -> Breach) {
    assert_eq!(evidence.find_breaches(), [breach("r".to_owned())]);
}
