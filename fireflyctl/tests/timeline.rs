//! Parsing log lines and building the timeline of a request.

use fireflyctl::{LogLine, build_timeline, parse_line};
use proptest::prelude::*;

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
    line_is_read => reads_line();
    prefix_names_the_process => reads_prefix();
    quoted_value_is_read => reads_quoted();
    line_without_event_is_none => assert_eq!(parse_line("p", "time=1 level=info"), None);
    other_text_is_none => assert_eq!(parse_line("p", "thread panicked at x"), None);
    unknown_request_has_no_timeline => assert!(build_timeline(lines(CUT), "r9").is_none());
    lines_are_in_order_of_time => lines_sorted_by_time();
    events_of_used_upstreams_are_shown => events_of_used_upstreams();
    cut_names_the_leaving_upstream => check_cause(CUT, "r1",
        "cut after 9 events by the end of i-1, which had announced its departure; there was no copy of its memory");
    cut_names_the_backup_that_failed => check_cause(REFUSED_BACKUP, "r1",
        "cut after 9 events by the end of i-1, whose connection was lost; its memory backup at i-2 could not be used: 503");
    exhausted_budget_is_named => check_cause(BUDGET, "r1",
        "cut after 9 events by the end of i-1, which crashed; the retry budget was exhausted");
    unknown_outcome_names_the_last_attempt => check_cause(UNKNOWN, "r2",
        "4001 contact was lost; whether the request ran is not known; last attempt at i-3: Lost, connection closed");
    refusal_names_the_code => check_cause(REFUSED, "r3", "refused before it was sent: 2004 the key is missing or unknown");
    full_memory_is_named => check_cause(NO_ROOM, "r4",
        "refused as not run: the best engine's memory was reserved to 0.97");
    pause_is_named => check_cause(LATE, "r5",
        "served in full, late by a pause of 640 ms, after resuming elsewhere 1 times");
    upstreams_own_failure_is_named => check_cause(FAILED, "r6", "the upstream answered 500");
    killed_process_is_named => check_cause(KILLED, "r7", "no final line: the process was killed, or its log is missing");
}

const CUT: &str = r#"
time=2026-01-01T00:00:03.000Z level=info event=stream_cut req=r1 instance=i-1 events=9 why="error reading a body"
time=2026-01-01T00:00:01.000Z level=info event=sent req=r1 instance=i-1 memory=0.50
time=2026-01-01T00:00:02.000Z level=info event=upstream_leaves instance=i-1 source=store
time=2026-01-01T00:00:02.500Z level=info event=upstream_leaves instance=i-8 source=store
time=2026-01-01T00:00:01.500Z level=info event=answered req=r1 code=3000 status=200
"#;

const REFUSED_BACKUP: &str = r"
time=2026-01-01T00:00:01.000Z level=info event=sent req=r1 instance=i-1
time=2026-01-01T00:00:02.000Z level=warn event=go_on_refused req=r1 instance=i-2 why=503
time=2026-01-01T00:00:03.000Z level=info event=stream_cut req=r1 instance=i-1 events=9
";

const BUDGET: &str = r"
time=2026-01-01T00:00:01.000Z level=warn event=upstream_crashed req=r1 instance=i-1 crashes=1
time=2026-01-01T00:00:02.000Z level=info event=budget_spent req=r1 instance=i-1
time=2026-01-01T00:00:03.000Z level=info event=stream_cut req=r1 instance=i-1 events=9
";

const UNKNOWN: &str = r#"
time=2026-01-01T00:00:01.000Z level=warn event=try_failed req=r2 instance=i-3 outcome=Lost why="connection closed"
time=2026-01-01T00:00:01.001Z level=info event=answered req=r2 code=4001 status=502
"#;

const REFUSED: &str = "time=2026-01-01T00:00:01.000Z level=warn event=refused req=r3 code=2004";

const NO_ROOM: &str = r"
time=2026-01-01T00:00:01.000Z level=warn event=no_room req=r4 memory=0.97 retry_after_ms=900
time=2026-01-01T00:00:01.001Z level=info event=answered req=r4 code=2011 status=503
";

const LATE: &str = r"
time=2026-01-01T00:00:01.001Z level=info event=answered req=r5 code=3000 status=200
time=2026-01-01T00:00:09.001Z level=info event=stream_ended req=r5 breaks=1 first_ms=300 longest_pause_ms=640
";

const FAILED: &str =
    "time=2026-01-01T00:00:01.001Z level=info event=answered req=r6 code=3000 status=500";

const KILLED: &str = "time=2026-01-01T00:00:01.001Z level=info event=sent req=r7 instance=i-1";

fn lines(text: &str) -> Vec<LogLine> {
    text.lines()
        .filter_map(|l| parse_line("front-a", l))
        .collect()
}

fn check_cause(text: &str, id: &str, expected: &str) {
    assert_eq!(build_timeline(lines(text), id).unwrap().cause, expected);
}

fn reads_line() {
    let line = parse_line(
        "front-a",
        "time=T1 level=info event=sent req=r1 memory=0.5 empty=\"\"",
    )
    .unwrap();
    assert_eq!(
        (line.process.as_str(), line.time.as_str()),
        ("front-a", "T1")
    );
    assert_eq!(
        (line.event.as_str(), line.req.as_deref()),
        ("sent", Some("r1"))
    );
    assert_eq!(line.get("memory"), Some("0.5"));
    assert_eq!(line.get("empty"), Some(""));
}

fn reads_prefix() {
    let line = parse_line("file", "  4.66 front-b time=T1 level=info event=sent").unwrap();
    assert_eq!(line.process, "front-b");
}

fn reads_quoted() {
    let line = parse_line("p", r#"time=T event=x why="a \"b\" c=d \\" last=1"#).unwrap();
    assert_eq!(line.get("why"), Some(r#"a "b" c=d \"#));
    assert_eq!(line.get("last"), Some("1"));
}

fn lines_sorted_by_time() {
    let timeline = build_timeline(lines(CUT), "r1").unwrap();
    assert!(timeline.lines.is_sorted_by(|a, b| a.time <= b.time));
    assert_eq!(timeline.lines[0].event, "sent");
}

fn events_of_used_upstreams() {
    let timeline = build_timeline(lines(CUT), "r1").unwrap();
    let shown: Vec<&str> = timeline
        .lines
        .iter()
        .filter(|l| !l.own)
        .map(|l| l.pairs["instance"].as_str())
        .collect();
    assert_eq!(shown, ["i-1"]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// No text makes the parser panic.
    #[test]
    fn any_text_is_accepted(text in ".{0,120}") {
        let _ = parse_line("p", &text);
        let _ = parse_line("p", &format!("time=T event=x why=\"{text}"));
    }
}
