//! Format of log lines: order, quoting, time, and request id.

use std::time::{Duration, UNIX_EPOCH};

use fireflylog::{LineLayout, MAX_VALUE_BYTES, in_request, in_request_sync, utc};
use logforth::Layout;
use logforth::kv::{Key, Value};
use logforth::record::{Level, Record};

/// Formats an event and returns the line without its time.
fn line(level: Level, pairs: &[(&'static str, Value<'_>)], message: &str) -> String {
    let pairs: Vec<(Key<'_>, Value<'_>)> = pairs
        .iter()
        .map(|(key, value)| (Key::new(key), value.clone()))
        .collect();
    let record = Record::builder()
        .level(level)
        .target("lib")
        .key_values(&pairs[..]);
    let formatted = LineLayout.format(&record.payload(format_args!("{message}")).build(), &[]);
    let line = String::from_utf8(formatted.unwrap()).unwrap();
    let (time, rest) = line.split_once(' ').unwrap();
    assert_eq!(time.len(), "time=2026-01-31T08:15:00.250Z".len(), "{time}");
    assert!(time.starts_with("time=2") && time.ends_with('Z'), "{time}");
    rest.to_owned()
}

macro_rules! line_cases {
    ($($name:ident: $level:ident, $pairs:expr, $message:expr => $want:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(line(Level::$level, &$pairs, $message), $want);
        }
    )*};
}

line_cases! {
    an_event_goes_first: Info, [("n", Value::u64(3)), ("event", Value::str("began"))], ""
        => "level=info event=began n=3";
    the_request_follows_the_event: Warn, [("a", Value::bool(true)), ("req", Value::str("r1")), ("event", Value::str("e"))], ""
        => "level=warn event=e req=r1 a=true";
    a_line_of_a_library: Error, [], "it broke"
        => "level=error event=log target=lib message=\"it broke\"";
    a_blank_is_quoted: Info, [("event", Value::str("e")), ("v", Value::str("a b"))], ""
        => "level=info event=e v=\"a b\"";
    an_empty_value_is_quoted: Info, [("event", Value::str("e")), ("v", Value::str(""))], ""
        => "level=info event=e v=\"\"";
    quotes_are_escaped: Info, [("event", Value::str("e")), ("v", Value::str("a\"b\\"))], ""
        => "level=info event=e v=\"a\\\"b\\\\\"";
    a_line_feed_does_not_end_the_line: Info, [("event", Value::str("e")), ("v", Value::str("a\nb=c"))], ""
        => "level=info event=e v=\"a\\nb=c\"";
    an_equals_sign_is_quoted: Info, [("event", Value::str("e")), ("v", Value::str("a=b"))], ""
        => "level=info event=e v=\"a=b\"";
    other_scripts_are_kept: Info, [("event", Value::str("e")), ("v", Value::str("Čelje"))], ""
        => "level=info event=e v=\"Čelje\"";
    a_value_of_the_longest_length_is_kept: Info, [("event", Value::str("e")), ("v", Value::str(&"a".repeat(MAX_VALUE_BYTES)))], ""
        => format!("level=info event=e v={}", "a".repeat(MAX_VALUE_BYTES));
    a_longer_value_is_cut: Info, [("event", Value::str("e")), ("v", Value::str(&"a".repeat(1_000_000)))], ""
        => format!("level=info event=e v=\"{}... 1000000 bytes\"", "a".repeat(MAX_VALUE_BYTES));
    a_longer_message_is_cut_between_characters: Info, [("event", Value::str("e"))], &format!("a{}", "č".repeat(MAX_VALUE_BYTES))
        => format!("level=info event=e message=\"a{}... {} bytes\"", "č".repeat(MAX_VALUE_BYTES / 2 - 1), 2 * MAX_VALUE_BYTES + 1);
    a_key_stays_one_word: Info, [("event", Value::str("e")), ("a b=", Value::u64(1))], ""
        => "level=info event=e a_b_=1";
}

#[tokio::test]
async fn lines_within_a_request_carry_its_id() {
    let within = in_request("r7", async {
        tokio::task::yield_now().await;
        line(Level::Info, &[("event", Value::str("e"))], "")
    });
    assert_eq!(within.await, "level=info event=e req=r7");
    let own = in_request_sync("r7", || {
        line(
            Level::Info,
            &[("event", Value::str("e")), ("req", Value::str("r8"))],
            "",
        )
    });
    assert_eq!(own, "level=info event=e req=r8");
    let without = line(Level::Info, &[("event", Value::str("e"))], "");
    assert_eq!(without, "level=info event=e");
}

macro_rules! time_cases {
    ($($name:ident: $millis:expr => $want:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(utc(UNIX_EPOCH + Duration::from_millis($millis)), $want);
        }
    )*};
}

time_cases! {
    the_first_moment: 0 => "1970-01-01T00:00:00.000Z";
    the_last_millisecond_of_a_day: 86_399_999 => "1970-01-01T23:59:59.999Z";
    a_leap_day_of_a_century: 951_782_400_000 => "2000-02-29T00:00:00.000Z";
    a_leap_day: 1_709_164_800_000 => "2024-02-29T00:00:00.000Z";
    the_day_after_it: 1_709_251_200_000 => "2024-03-01T00:00:00.000Z";
    the_end_of_a_year: 1_798_761_599_250 => "2026-12-31T23:59:59.250Z";
    no_leap_day_in_2100: 4_107_542_400_000 => "2100-03-01T00:00:00.000Z";
}
