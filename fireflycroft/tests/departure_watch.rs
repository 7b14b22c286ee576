//! Departures while the store is silent: who finds them, when, and what streams get.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{
    CLOSES_OF_LEAVING, DepartureWatch, Incarnation, MAX_REPORT_AGE, Name, OwnerRank, Pool,
    ReportMeaning, StoreContact, Time, UpstreamIx, UpstreamRecord, UpstreamState, judge_report,
};
use std::time::Duration;

cases! {
    streams_go_on_through_an_outage => assert_eq!(cut_streams(Case::Sound), 0);
    nearly_all_are_cut_without_queries => assert!(cut_streams(Case::NobodyAsks) >= 30);
    dead_owner_costs_no_stream => assert_eq!(cut_streams(Case::FirstOwnerDead), 0);
    cut_link_of_one_owner_costs_no_stream => assert_eq!(cut_streams(Case::FirstOwnerCutOff), 0);
    reports_alone_save_most => assert!(cut_streams(Case::EnginesReportOnly) <= 6);
    queries_do_not_grow_with_entries => assert!(queries_a_second() <= 6.5);
    healthy_store_needs_no_query => assert!(!silent(&CONTACT, 300));
    store_that_answers_another_entry_is_not_silent => assert!(!silent(&StoreContact { answered_at: Some(at(9_500)), ..CONTACT }, 0));
    store_that_answers_nobody_is_silent => assert!(silent(&StoreContact { is_watched: false, ..CONTACT }, 0));
    store_whose_watches_hang_is_silent => assert!(silent(&CONTACT, 1_100));
    unsettled_list_hides_departures => assert!(silent(&StoreContact { confirms_removals: false, ..CONTACT }, 0));
    entry_that_has_just_started_is_quiet => assert!(!silent(&StoreContact { is_watched: false, answered_at: None, confirms_removals: true }, 0));
    engine_under_its_old_id_is_not_marked => assert_eq!(judge(7, 8, true, Some(900)), ReportMeaning::OtherIncarnation);
    engine_that_stays_is_not_marked => assert_eq!(judge(7, 7, false, None), ReportMeaning::Stays);
    time_to_the_end_counts_from_the_report => assert_eq!(judge(7, 7, true, Some(1_700)), ReportMeaning::Leaves(Some(at(11_100))));
    late_report_never_ends_in_the_past => assert_eq!(judge(7, 7, true, Some(200)), ReportMeaning::Leaves(Some(at(10_000))));
    some_closes_are_no_notice => closes_in_row(&[true, true, false, true, true], false);
    closes_in_a_row_are_a_notice => closes_in_row(&[false, true, true, true], true);
    hint_is_queried_at_once_while_the_store_is_silent => hinted();
}

const CONTACT: StoreContact = StoreContact {
    is_watched: true,
    answered_at: Some(Time::from_millis(10_000)),
    confirms_removals: true,
};

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn silent(contact: &StoreContact, after_ms: u64) -> bool {
    contact.is_silent(at(10_000 + after_ms))
}

fn judge(expected: u64, reported: u64, drains: bool, leaves_ms: Option<u64>) -> ReportMeaning {
    let leaves_in = leaves_ms.map(Duration::from_millis);
    let (expected, reported) = (Incarnation(expected), Incarnation(reported));
    judge_report(at(10_000), expected, reported, drains, leaves_in)
}

/// Returns a watch of a silent store.
fn watch() -> DepartureWatch {
    let mut watch = DepartureWatch::default();
    let contact = StoreContact {
        is_watched: false,
        answered_at: Some(at(0)),
        confirms_removals: false,
    };
    assert!(watch.update(at(0), &contact));
    watch
}

fn engines(count: u64) -> Vec<UpstreamIx> {
    let mut pool = Pool::new(Name::from("dc"));
    for i in 0..count {
        let record = UpstreamRecord {
            incarnation: Incarnation::default(),
            instance: Name::from(format!("i{i}")),
            service: Name::from("models"),
            addr: "127.0.0.1:1".parse().unwrap(),
            data_centre: Name::from("dc"),
            software_version: Some(Name::from("v1")),
            slots: 8,
            state: UpstreamState::Serving,
            cold_for: Duration::ZERO,
            revision: i + 1,
        };
        pool.upsert(at(0), record);
    }
    pool.indices()
}

fn closes_in_row(answers: &[bool], is_notice: bool) {
    let (mut watch, ix) = (watch(), engines(1)[0]);
    let counts = answers
        .iter()
        .map(|closes| watch.record_answer(at(0), ix, *closes));
    let most = counts.max().unwrap();
    assert_eq!(most >= CLOSES_OF_LEAVING, is_notice);
}

fn hinted() {
    let (mut watch, ix) = (watch(), engines(1)[0]);
    assert!(watch.is_due(at(0), ix, OwnerRank::Second));
    assert!(watch.record_hint(at(0), ix) && !watch.record_hint(at(50), ix));
    assert!(watch.is_due(at(100), ix, OwnerRank::Second));
    assert!(!watch.is_due(at(750), ix, OwnerRank::Second));
    let mut idle = DepartureWatch::default();
    assert!(!idle.record_hint(at(0), ix) && !idle.is_due(at(0), ix, OwnerRank::First));
}

/// Queries an engine for ten seconds as both of its owners; returns their rate.
fn queries_a_second() -> f64 {
    let (mut first, mut second, ix) = (watch(), watch(), engines(1)[0]);
    let ticks = (0..200).map(|tick| at(tick * 50));
    let due = |now| {
        let first = first.is_due(now, ix, OwnerRank::First);
        u32::from(first) + u32::from(second.is_due(now, ix, OwnerRank::Second))
    };
    f64::from(ticks.map(due).sum::<u32>()) / 10.0
}

/// What is the matter in an outage of the store in which a sixth of 54 engines leaves every 3.3 s.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Case {
    Sound,
    NobodyAsks,
    FirstOwnerDead,
    /// The queries of the first owner get no answer.
    FirstOwnerCutOff,
    /// Engines that leave close no connections, and their reports are late.
    EnginesReportOnly,
}

/// Notice of an engine that leaves.
const NOTICE: Duration = Duration::from_millis(1_700);

/// Runs of an engine.
const RUNS: u32 = 3;

/// Time to copy one of them over the engine's link, to the same or another data centre.
const COPY_TIME: Duration = Duration::from_millis(250);

/// Returns the streams that are cut because their engine ended before they were copied.
fn cut_streams(case: Case) -> u32 {
    let engines = engines(54);
    let mut owners = [watch(), watch()];
    let notice_at = |i: usize| (i < 27).then(|| at(700 + (i as u64 / 9) * 3_300 + i as u64 * 7));
    let mut found_at = vec![None; engines.len()];
    for now in (0..240).map(|tick| at(tick * 50)) {
        for (rank, owner) in owners.iter_mut().enumerate() {
            let is_first = rank == 0;
            if case == Case::NobodyAsks || (is_first && case == Case::FirstOwnerDead) {
                continue;
            }
            let ranks = [OwnerRank::First, OwnerRank::Second];
            for (i, ix) in engines.iter().enumerate() {
                let is_due = found_at[i].is_none() && owner.is_due(now, *ix, ranks[rank]);
                if !is_due || (is_first && case == Case::FirstOwnerCutOff) {
                    continue;
                }
                let left_for = notice_at(i).filter(|at| now >= *at).map(|at| now.since(at));
                let reports = left_for.is_some_and(|left_for| left_for >= MAX_REPORT_AGE);
                let closes = case != Case::EnginesReportOnly && left_for.is_some();
                // Closed connections are queried again at once.
                let closes = (0..CLOSES_OF_LEAVING).map(|_| owner.record_answer(now, *ix, closes));
                let is_notice = closes.last() >= Some(CLOSES_OF_LEAVING);
                if reports || is_notice {
                    found_at[i] = Some(now);
                }
            }
        }
    }
    let cut_at = |i: usize| {
        let end = notice_at(i)? + NOTICE;
        let time = found_at[i].map_or(Duration::ZERO, |found| end.since(found));
        let copied = u32::try_from(time.as_millis() / COPY_TIME.as_millis()).unwrap();
        Some(RUNS.saturating_sub(copied))
    };
    (0..engines.len()).filter_map(cut_at).sum()
}
