//! Counters, records, burn rates and reports.

mod support;

use fireflycroft::{Objective, Priority, Rules};
use fireflyctl::{
    Alert, Goal, GoalReport, GoalTally, Interval, Recorder, Tallies, Tally, burn_rate,
    parse_metrics, report,
};
use serde_json::Value;
use support::{FakeNode, example_path, run, write_file};

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

fn goal(brand: &str) -> Goal {
    Goal {
        brand: brand.to_owned(),
        priority: Priority::Interactive,
    }
}

fn tally(met: u64, missed: u64) -> Tally {
    Tally {
        met,
        missed,
        ..Tally::default()
    }
}

fn objective(per_mille: u32) -> Objective {
    Objective {
        brand: None,
        priority: Priority::Interactive,
        first_token_ms: 500,
        between_tokens_ms: 100,
        per_mille,
    }
}

fn rules(per_mille: u32) -> Rules {
    Rules {
        objectives: vec![objective(per_mille)],
        ..Rules::default()
    }
}

fn counter_line(name: &str, labels: &str, value: u64) -> String {
    format!("firefly_{name}{{{labels}}} {value}\n")
}

fn metrics(met: u64, missed: u64, overloaded: u64) -> String {
    let goal = "brand=\"harbour\",priority=\"interactive\"";
    [
        counter_line("objective_total", &format!("{goal},met=\"true\""), met),
        counter_line("objective_total", &format!("{goal},met=\"false\""), missed),
        counter_line("requests_total", &format!("{goal},code=\"3000\""), met),
        counter_line(
            "requests_total",
            &format!("{goal},code=\"2011\""),
            overloaded,
        ),
    ]
    .concat()
}

cases! {
    counters_are_read => {
        let text = format!("# HELP x y\nother_total{{a=\"b\"}} 3\n{}", metrics(90, 10, 4));
        let tallies = parse_metrics(&text);
        assert_eq!(tallies.len(), 1);
        let tally = &tallies[&goal("harbour")];
        assert_eq!((tally.met, tally.missed, tally.total()), (90, 10, 100));
        assert_eq!(tally.by_code.clone().into_iter().collect::<Vec<_>>(), [(2011, 4), (3000, 90)]);
    };
    labels_may_stand_in_any_order_with_escapes_and_time => {
        let text = "firefly_objective_total{met=\"false\", priority=\"interactive\",brand=\"a\\\"},b\\\\\",} 7 1700000000\n";
        assert_eq!(parse_metrics(text)[&goal("a\"},b\\")], tally(0, 7));
    };
    other_series_of_a_goal_are_summed => {
        let line = "firefly_objective_total{brand=\"b\",priority=\"interactive\",met=\"true\",entry=\"E\"} 2\n";
        let text = format!("{}{}", line.replace('E', "1"), line.replace('E', "2"));
        assert_eq!(parse_metrics(&text)[&goal("b")], tally(4, 0));
    };
    lines_that_are_no_counters_are_passed_over => {
        for text in [
            "",
            "firefly_objective_total 3",
            "firefly_objective_total{",
            "firefly_objective_total{brand=\"b}",
            "firefly_objective_total{brand=\"b\"} 1",
            "firefly_objective_total{brand=\"b\",priority=\"other\",met=\"true\"} 1",
            "firefly_objective_total{brand=\"b\",priority=\"batch\",met=\"true\"} NaN",
            "firefly_objective_total{brand=\"b\",priority=\"batch\",met=\"true\"} -1",
            "firefly_requests_total{brand=\"b\",priority=\"batch\",code=\"x\"} 1",
        ] {
            assert!(parse_metrics(text).is_empty(), "{text}");
        }
    };
    growth_is_the_difference => assert_eq!(tally(9, 5).growth_since(&tally(4, 5)), tally(5, 0));
    counter_that_fell_was_reset => assert_eq!(tally(3, 2).growth_since(&tally(100, 1)), tally(3, 1));
    burn_is_missed_over_allowed => {
        assert_eq!(burn_rate(&tally(990, 10), &objective(990)), Some(1.0));
        assert_eq!(burn_rate(&tally(900, 100), &objective(990)), Some(10.0));
        assert_eq!(burn_rate(&tally(10, 0), &objective(1_000)), Some(0.0));
        assert_eq!(burn_rate(&tally(10, 1), &objective(1_000)), Some(f64::INFINITY));
        assert_eq!(burn_rate(&tally(0, 0), &objective(990)), None);
    };
}

fn scrape(node: &str, met: u64, missed: u64) -> (String, Tallies) {
    let tallies = Tallies::from([(goal("harbour"), tally(met, missed))]);
    (node.to_owned(), tallies)
}

fn total_growth(interval: Option<Interval>) -> Tally {
    let interval = interval.unwrap();
    interval
        .goals
        .first()
        .map_or_else(Tally::default, |g| g.tally.clone())
}

cases! {
    nodes_are_summed_from_the_second_scrape_on => {
        let mut recorder = Recorder::default();
        assert_eq!(recorder.add_scrape(1_000, [scrape("a", 100, 1), scrape("b", 50, 0)], 0), None);
        let interval = recorder.add_scrape(2_000, [scrape("a", 110, 2), scrape("b", 55, 0)], 0);
        assert_eq!(interval.as_ref().map(|i| (i.from_ms, i.to_ms, i.nodes)), Some((1_000, 2_000, 2)));
        assert_eq!(total_growth(interval), tally(15, 1));
    };
    silent_node_is_caught_up_with => {
        let mut recorder = Recorder::default();
        recorder.add_scrape(1_000, [scrape("a", 100, 0), scrape("b", 10, 0)], 0);
        let interval = recorder.add_scrape(2_000, [scrape("b", 11, 0)], 1);
        assert_eq!(interval.as_ref().map(|i| i.silent), Some(1));
        assert_eq!(total_growth(interval), tally(1, 0));
        let interval = recorder.add_scrape(3_000, [scrape("a", 130, 0), scrape("b", 11, 0)], 0);
        assert_eq!(total_growth(interval), tally(30, 0));
    };
    new_node_counts_from_when_it_is_seen => {
        let mut recorder = Recorder::default();
        recorder.add_scrape(1_000, [scrape("a", 1, 0)], 0);
        let interval = recorder.add_scrape(2_000, [scrape("a", 1, 0), scrape("new", 500, 9)], 0);
        assert_eq!(total_growth(interval), tally(0, 0));
        let interval = recorder.add_scrape(3_000, [scrape("a", 1, 0), scrape("new", 501, 9)], 0);
        assert_eq!(total_growth(interval), tally(1, 0));
    };
    restarted_node_counts_from_zero => {
        let mut recorder = Recorder::default();
        recorder.add_scrape(1_000, [scrape("a", 100, 5)], 0);
        assert_eq!(total_growth(recorder.add_scrape(2_000, [scrape("a", 7, 1)], 0)), tally(7, 1));
    };
}

/// Builds a record of one-minute intervals with counts of met and missed requests.
fn record(minutes: &[(u64, u64)]) -> Vec<Interval> {
    let interval = |(i, (met, missed)): (u64, &(u64, u64))| Interval {
        from_ms: i * 60_000,
        to_ms: (i + 1) * 60_000,
        nodes: 2,
        silent: 0,
        goals: vec![GoalTally {
            goal: goal("harbour"),
            tally: tally(*met, *missed),
        }],
    };
    (0..).zip(minutes).map(interval).collect()
}

fn report_of(minutes: &[(u64, u64)], per_mille: u32) -> GoalReport {
    let report = report(&record(minutes), &rules(per_mille)).unwrap();
    assert_eq!(report.goals.len(), 1);
    report.goals[0].clone()
}

/// Test cases: a record in minutes and its windows (name, seconds covered, requests, missed).
macro_rules! windows {
    ($($name:ident: $minutes:expr => [$($window:expr),+ $(,)?];)+) => {
        $(
            #[test]
            fn $name() {
                let report = report_of(&$minutes, 990);
                let found: Vec<_> = report
                    .windows
                    .iter()
                    .map(|w| (w.window, w.covered_seconds, w.requests, w.missed))
                    .collect();
                assert_eq!(found, [$($window),+]);
            }
        )+
    };
}

windows! {
    record_of_two_minutes_has_one_window: [(9, 1), (10, 0)] => [("5m", 120, 20, 1)];
    record_of_five_minutes_fills_the_shortest: [(10, 0); 5] => [("5m", 300, 50, 0)];
    record_of_ten_minutes_has_two: [(10, 0); 10] => [("5m", 300, 50, 0), ("1h", 600, 100, 0)];
    record_of_two_hours_has_three: [(1, 0); 120] => [
        ("5m", 300, 5, 0),
        ("1h", 3_600, 60, 0),
        ("6h", 7_200, 120, 0),
    ];
    record_of_four_days_has_all: vec![(1, 0); 4 * 24 * 60] => [
        ("5m", 300, 5, 0),
        ("1h", 3_600, 60, 0),
        ("6h", 21_600, 360, 0),
        ("3d", 259_200, 4_320, 0),
    ];
}

cases! {
    budget_left_is_of_the_longest_window => {
        let report = report_of(&[(995, 5), (995, 5)], 990);
        assert_eq!(report.budget_left, Some(0.5));
        assert_eq!(report_of(&[(980, 20)], 990).budget_left, Some(-1.0));
        assert_eq!(report_of(&[(980, 20)], 1_000).budget_left, None);
    };
    continuing_fast_burn_is_a_page => {
        assert_eq!(report_of(&[(80, 20); 60], 990).alert, Alert::Page);
    };
    fast_burn_that_is_over_is_none => {
        let mut minutes = vec![(80, 20); 50];
        minutes.extend([(100, 0); 10]);
        assert_eq!(report_of(&minutes, 990).alert, Alert::None);
    };
    slow_burn_is_a_ticket => {
        assert_eq!(report_of(&vec![(98, 2); 7 * 60], 990).alert, Alert::Ticket);
    };
    burn_within_the_budget_is_none => {
        assert_eq!(report_of(&vec![(995, 5); 7 * 60], 990).alert, Alert::None);
    };
    goal_without_objective_has_no_burn => {
        let report = report(&record(&[(9, 1)]), &Rules::default()).unwrap();
        assert_eq!(report.goals[0].windows[0].burn, None);
        assert_eq!(report.goals[0].budget_left, None);
    };
    own_objective_is_shown_without_requests => {
        let mut rules = rules(990);
        rules.objectives[0].brand = Some("quiet".into());
        let report = report(&record(&[(9, 1)]), &rules).unwrap();
        let quiet = report.goals.iter().find(|g| g.goal.brand == "quiet").unwrap();
        assert_eq!((quiet.windows[0].requests, quiet.windows[0].burn), (0, None));
    };
    empty_record_has_no_report => assert!(report(&[], &rules(990)).is_none());
    worst_causes_come_first => {
        let mut record = record(&[(80, 40)]);
        record[0].goals[0].tally.by_code =
            [(2011, 7), (3000, 100), (3001, 20), (9999, 1), (2012, 0)].into();
        let report = report(&record, &rules(990)).unwrap();
        let causes = &report.goals[0].causes;
        let found: Vec<_> = causes.iter().map(|c| (c.code, c.count)).collect();
        assert_eq!(found, [(3001, 20), (2011, 7), (9999, 1)]);
        assert_eq!(causes[0].phrase, "the upstream failed after the request began");
        assert_eq!(report.goals[0].late, 12);
    };
}

#[tokio::test]
async fn two_scrapes_make_a_report() {
    let node = FakeNode::start("entry-a", 1).await;
    node.update_answers(|a| a.metrics = vec![metrics(1_000, 0, 0), metrics(1_090, 10, 8)]);
    let rules = example_path("rules.json");
    let args = [
        "report", "burn", "--nodes", &node.addr, "--rules", &rules, "--every", "1",
    ];
    let output = run(&args).await.exits(0);
    let row = output
        .out
        .lines()
        .find(|l| l.starts_with("harbour"))
        .unwrap();
    let cells: Vec<&str> = row.split_whitespace().collect();
    assert_eq!(cells[..4], ["harbour", "interactive", "ok", "5m"]);
    assert_eq!(cells[cells.len() - 3..], ["100", "10", "20.00"]);
    output
        .prints("-1900 % of the budget")
        .prints("8 × 2011 the upstreams are too loaded")
        .prints("2 × answered, but late");
}

#[tokio::test]
async fn record_is_kept_and_reported_in_every_form() {
    let node = FakeNode::start("entry-a", 1).await;
    node.update_answers(|a| a.metrics = (0..6).map(|i| metrics(100 * i, i, i)).collect());
    let path = write_file("burn-record.jsonl", "");
    let args = [
        "report", "record", "--nodes", &node.addr, "--record", &path, "--every", "1", "--length",
        "3",
    ];
    run(&args).await.exits(0);
    let rules = example_path("rules.json");
    let html = write_file("burn.html", "");
    let args = [
        "report", "burn", "--record", &path, "--rules", &rules, "--json", "--html", &html,
    ];
    let output = run(&args).await.exits(0);
    let json: Value = serde_json::from_str(&output.out).unwrap();
    assert_eq!(json["goals"][0]["brand"], "harbour");
    let window = &json["goals"][0]["windows"][0];
    assert!(window["requests"].as_u64().unwrap() >= 101, "{window}");
    let page = std::fs::read_to_string(html).unwrap();
    assert!(page.contains("<h2>harbour, interactive") && page.contains("<svg"));
    assert!(page.contains("burn rate"));
}

#[tokio::test]
async fn cut_off_line_is_left_out_and_an_invalid_one_is_reported() {
    let line = serde_json::to_string(&record(&[(9, 1)])[0]).unwrap();
    let rules = example_path("rules.json");
    let cut = write_file("burn-cut.jsonl", &format!("{line}\n{}", &line[..20]));
    let args = ["report", "burn", "--record", &cut, "--rules", &rules];
    run(&args).await.exits(0).prints("harbour");
    let broken = write_file("burn-broken.jsonl", &format!("{line}\n{{\n{line}\n"));
    let args = ["report", "burn", "--record", &broken, "--rules", &rules];
    run(&args).await.exits(1).warns("burn-broken.jsonl:2");
}

#[tokio::test]
async fn objectives_must_come_from_somewhere() {
    let record = write_file("burn-no-rules.jsonl", "");
    let output = run(&["report", "burn", "--record", &record]).await;
    output.exits(64).warns("--platform URL or --rules FILE");
}

#[tokio::test]
async fn names_are_escaped_on_the_page() {
    let mut record = record(&[(9, 1)]);
    record[0].goals[0].goal.brand = "<b>&\"".to_owned();
    let line = serde_json::to_string(&record[0]).unwrap();
    let path = write_file("burn-escape.jsonl", &format!("{line}\n"));
    let (rules, html) = (
        example_path("rules.json"),
        write_file("burn-escape.html", ""),
    );
    let args = [
        "report", "burn", "--record", &path, "--rules", &rules, "--html", &html,
    ];
    run(&args).await.exits(0);
    let page = std::fs::read_to_string(html).unwrap();
    assert!(page.contains("&lt;b&gt;&amp;&quot;") && !page.contains("<b>&"));
}
