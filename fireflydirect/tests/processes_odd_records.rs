//! Entry processes beside one record of an upstream that no writer of ours makes.

mod support;

use standins::site::EngineKind;
use support::{KEY, Site, cases, outcome, until};

/// Levels of a text that is nested more deeply than a stack holds calls.
const LEVELS: usize = 200_000;

fn nested(open: &str, close: &str) -> String {
    format!("{}1{}", open.repeat(LEVELS), close.repeat(LEVELS))
}

/// Returns a record of an upstream with further members.
fn record(members: &str) -> String {
    format!(
        r#"{{"service": "records", "address": "127.0.0.1:9", "zone": "a", "state": "ready", {members}}}"#
    )
}

/// Waits until all entries list an upstream that comes now, and serve a new configuration.
async fn until_followed(site: &mut Site) {
    site.add_plain(2).await;
    site.publish_routes(&[KEY], &[("new", "/new/")]);
    for entry in 0..site.entries.len() {
        until("the upstream", || async {
            site.log(entry).contains("event=upstream_came instance=p-2")
        })
        .await;
        until("an answer", || async {
            let answer = site.call(entry, "GET", "/new/a", &site.id()).send().await;
            answer.is_ok_and(|a| outcome(&a).0 == 200)
        })
        .await;
    }
}

/// Writes an odd record beside running entries, and has one start beside it; all of them live and follow the list.
async fn check_beside(site: &mut Site, name: &str, spec: &str) {
    site.store.put_text("servers", name, spec);
    until_followed(site).await;
    site.add_entry(5).await;
    site.until_ready(4).await;
    until("an answer", || async {
        let answer = site.call(4, "GET", "/fetch/a", &site.id()).send().await;
        answer.is_ok_and(|a| outcome(&a).0 == 200)
    })
    .await;
    site.store.remove("servers", "p-2");
    for entry in 0..site.entries.len() {
        until("the removal", || async {
            site.log(entry)
                .contains("event=upstream_leaves instance=p-2")
        })
        .await;
        assert!(site.entries[entry].is_running(), "{}", site.log_tail(entry));
    }
}

macro_rules! odd_records {
    ($($name:ident => $spec:expr;)+) => {
        cases! {
            $($name(site: 4) {
                let spec: String = $spec;
                check_beside(&mut site, "odd", &spec).await;
            })+
        }
    };
}

odd_records! {
    content_that_is_nested_very_deeply => nested("[", "]");
    content_of_objects_nested_very_deeply => nested(r#"{"a":"#, "}");
    member_that_is_nested_very_deeply => record(&format!(r#""models": {}"#, nested("[", "]")));
    version_that_is_nested_very_deeply => record(&format!(r#""version": {}"#, nested("[", "]")));
    address_that_is_nested_very_deeply => format!(r#"{{"service": "records", "address": {}}}"#, nested("[", "]"));
    time_beyond_any_number => record(r#""cold_remaining_ms": 1e999"#);
    time_beyond_any_duration => record(r#""cold_remaining_ms": 1e300"#);
    time_of_many_centuries => record(r#""cold_remaining_ms": 18446744073709551615"#);
    slots_beyond_any_number => record(r#""slots": 1e999"#);
    slots_of_many_digits => record(&format!(r#""slots": {}"#, "1234567890".repeat(50)));
    start_beyond_any_number => record(r#""born": 123456789012345678901234567890"#);
    start_at_the_last_number => record(r#""born": 18446744073709551615"#);
    version_that_is_a_number_without_bounds => record(r#""version": 1e999"#);
    member_with_half_a_character => record(r#""models": "\ud800""#);
    data_centre_of_half_a_character => r#"{"service": "records", "address": "127.0.0.1:9", "zone": "\ud800", "state": "ready"}"#.to_owned();
    port_out_of_range => r#"{"service": "records", "address": "127.0.0.1:99999", "zone": "a", "state": "ready"}"#.to_owned();
    port_below_zero => r#"{"service": "records", "address": "127.0.0.1:-1", "zone": "a", "state": "ready"}"#.to_owned();
    port_zero => r#"{"service": "records", "address": "127.0.0.1:0", "zone": "a", "state": "ready"}"#.to_owned();
    address_of_everybody => r#"{"service": "records", "address": "255.255.255.255:80", "zone": "a", "state": "ready"}"#.to_owned();
    text_instead_of_a_record => format!("\"{}\"", "1234567890".repeat(100_000));
}

cases! {
    known_upstream_whose_record_becomes_odd_comes_back(site: 4) {
        for spec in [nested("[", "]"), record(r#""slots": 1e999"#)] {
            site.store.put_text("servers", "p-0", &spec);
            for entry in 0..4 {
                until("the odd record", || async { site.log(entry).contains("event=upstream_set_aside instance=p-0") }).await;
            }
            site.register(EngineKind::Plain, 0, "ready").await;
        }
        until_followed(&mut site).await;
    }
}
