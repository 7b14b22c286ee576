//! Event streams relayed complete, in order and without duplicates, across several runs.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{EventRelay, MAX_EVENT_BYTES, RelayFault};
use proptest::prelude::*;

cases! {
    event_is_held_until_it_is_whole => held_until_whole();
    broken_event_is_not_relayed => broken_is_not_relayed();
    overlap_is_dropped => drops_overlap();
    gap_ends_the_stream => gap_ends();
    events_without_ids_pass => without_ids_pass();
    stream_without_ids_cannot_go_on => assert!(!relayed("data: x\n\n").can_resume());
    stream_with_ids_can_go_on => assert!(relayed("id: 1\ndata: x\n\n").can_resume());
    lines_may_end_with_carriage_return => assert_eq!(relayed("id: 7\r\ndata: x\r\n\r\n").last_id(), Some(7));
    caller_that_comes_back_gets_the_rest => caller_resumes();
    endless_event_is_a_fault => endless_is_a_fault();
    rest_after_a_proper_end_is_relayed => rest_is_relayed();
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn relayed(text: &str) -> EventRelay {
    let mut relay = EventRelay::default();
    relay.push(text.as_bytes()).unwrap();
    relay
}

fn held_until_whole() {
    let mut relay = EventRelay::default();
    assert!(relay.push(b"id: 1\nda").unwrap().is_empty());
    assert!(relay.is_mid_event());
    assert_eq!(relay.push(b"ta: x\n\n").unwrap(), b"id: 1\ndata: x\n\n");
    assert!(!relay.is_mid_event());
}

fn broken_is_not_relayed() {
    let mut relay = relayed(&event(1));
    assert!(relay.push(b"id: 2\ndata: hal").unwrap().is_empty());
    relay.discard_partial();
    assert_eq!(
        relay.push(event(2).as_bytes()).unwrap(),
        event(2).as_bytes()
    );
}

fn drops_overlap() {
    let mut relay = relayed(&(event(1) + &event(2)));
    let again = event(2) + &event(3);
    assert_eq!(relay.push(again.as_bytes()).unwrap(), event(3).as_bytes());
}

fn gap_ends() {
    let mut relay = relayed(&event(1));
    let fault = relay.push(event(3).as_bytes()).unwrap_err();
    assert_eq!(fault, RelayFault::Gap { last: 1, next: 3 });
}

fn without_ids_pass() {
    let mut relay = EventRelay::default();
    let text = b"data: a\n\ndata: b\n\n";
    assert_eq!(relay.push(text).unwrap(), text);
    assert_eq!(relay.relayed(), 2);
}

fn caller_resumes() {
    let mut relay = EventRelay::default();
    relay.resume_after(4);
    let text = event(4) + &event(5);
    assert_eq!(relay.push(text.as_bytes()).unwrap(), event(5).as_bytes());
}

fn endless_is_a_fault() {
    let mut relay = EventRelay::default();
    let endless = vec![b'x'; MAX_EVENT_BYTES + 1];
    assert_eq!(relay.push(&endless), Err(RelayFault::TooLong));
}

fn rest_is_relayed() {
    let mut relay = EventRelay::default();
    relay.push(b"id: 1\ndata: no blank line\n").unwrap();
    assert_eq!(relay.finish(), b"id: 1\ndata: no blank line\n");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Wherever the runs are split into pieces and interrupted, the caller gets each event once, in
    /// order, and nothing else.
    #[test]
    fn any_cuts_and_breaks_give_one_stream(
        total in 1_u64..30,
        breaks in prop::collection::vec((0_usize..400, 0_u64..4), 0..4),
        piece in 1_usize..40,
    ) {
        let mut relay = EventRelay::default();
        let mut got = Vec::new();
        let runs = breaks.iter().map(|(cut, overlap)| (Some(*cut), *overlap));
        for (cut, overlap) in runs.chain([(None, 0)]) {
            let from = relay.last_id().unwrap_or(0).saturating_sub(overlap) + 1;
            let text: String = (from..=total).map(event).collect();
            let cut = cut.map_or(text.len(), |c| c.min(text.len()));
            for part in text.as_bytes()[..cut].chunks(piece) {
                got.extend(relay.push(part).unwrap());
            }
            relay.discard_partial();
        }
        let all: String = (1..=total).map(event).collect();
        prop_assert_eq!(String::from_utf8(got).unwrap(), all);
    }
}
