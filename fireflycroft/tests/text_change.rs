//! Text changes as entries send them to each other.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::TextChange;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

cases! {
    change_of_one_key_is_small => one_key();
    change_in_several_places_is_small => several_places();
    change_of_all_is_none => change_of_all();
    much_longer_text_gives_no_change => much_longer();
    change_of_another_text_is_refused => another_text();
    many_similar_additions_give_no_change => similar_additions();
    characters_of_several_bytes_are_kept => wide_characters();
    change_to_nothing_gives_nothing => to_nothing();
}

/// Maximum bytes of a change of one key in the largest target configuration.
const SMALL: usize = 1_000;

/// Creates a configuration with this number of keys.
fn text(keys: u32) -> String {
    let key = |i: u32| format!("{{\"name\":\"w-{i}\",\"api_keys\":[\"{:x}\"]}},", key_of(i));
    (0..keys).map(key).collect()
}

fn key_of(number: u32) -> u64 {
    u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn bytes_of(change: &TextChange) -> usize {
    serde_json::to_vec(change).unwrap().len()
}

fn one_key() {
    let old = text(5_000);
    let new = old.replace(&format!("{:x}", key_of(2_500)), "another");
    let change = TextChange::between(&old, &new).unwrap();
    assert!(bytes_of(&change) < SMALL, "{change:?}");
    assert_eq!(change.apply(&old), Some(new));
}

fn several_places() {
    let old = format!("{{\"version\":17,{}}}", text(2_000));
    let gone = format!("{:x}", key_of(1_999));
    let new = old.replace("\"version\":17", "\"version\":29");
    let new = new.replace("w-700\"", "w-700\",\"priority\":3");
    let new = new.replace(&gone, "");
    let change = TextChange::between(&old, &new).unwrap();
    assert!(bytes_of(&change) < SMALL, "{change:?}");
    assert_eq!(change.apply(&old), Some(new));
}

fn change_of_all() {
    let old = "a".repeat(10_000);
    let new = "b".repeat(10_000);
    assert_eq!(TextChange::between(&old, &new), None);
}

fn much_longer() {
    assert_eq!(TextChange::between(&text(10), &text(1_000)), None);
}

fn similar_additions() {
    let route = |i: u32| {
        format!(
            "{{\"name\":\"n{i}\",\"path_prefix\":\"/n{i}/\",\"kind\":\"safe\",\"service\":\"records\",\"timeout_ms\":20000,\"public\":false,\"max_attempts\":2}},"
        )
    };
    let routes = |count: u32| -> String { (0..count).map(route).collect() };
    assert_eq!(TextChange::between(&routes(4), &routes(604)), None);
}

fn another_text() {
    let (old, new) = (text(500), text(510));
    let change = TextChange::between(&old, &new).unwrap();
    assert_eq!(change.apply(&old.replace("w-3", "w-4")), None);
    assert_eq!(change.apply(""), None);
}

fn to_nothing() {
    let change = TextChange::between("old", "").unwrap();
    assert_eq!(change.apply("old"), Some(String::new()));
    assert_eq!(TextChange::between("", "new"), None);
}

fn wide_characters() {
    let old = "žščć".repeat(300);
    let new = format!("{}đ{}", &old[..600], &old[600..]);
    if let Some(change) = TextChange::between(&old, &new) {
        assert_eq!(change.apply(&old), Some(new));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn change_leads_to_the_new_text(
        old in "[ab,ž]{0,600}",
        cut in 0..600_usize,
        len in 0..200_usize,
        more in "[abc]{0,40}",
    ) {
        let chars: Vec<char> = old.chars().collect();
        let from = cut.min(chars.len());
        let to = (from + len).min(chars.len());
        let new: String = chars[..from].iter().copied().chain(more.chars())
            .chain(chars[to..].iter().copied()).collect();
        if let Some(change) = TextChange::between(&old, &new) {
            prop_assert_eq!(change.apply(&old), Some(new));
        }
    }
}
