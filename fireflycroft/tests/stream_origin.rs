//! Origins of streams: who knows them, for how long, and what contradicts them.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;
#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{
    Digest, Name, OwnedKey, STREAM_OWNERS, STREAM_OWNERS_ASKED, StreamOrigin, StreamOrigins,
    StreamStart, highest_ranked, stream_digest,
};
use pools::at;
use std::net::Ipv4Addr;
use std::time::Duration;

cases! {
    origin_of_an_own_stream_is_known => assert_eq!(own().origin(at(11_999), STREAM), Some(&origin("v1")));
    origin_is_forgotten_when_no_caller_can_return => assert_eq!(own().origin(at(12_000), STREAM), None);
    origin_of_another_stream_is_unknown => assert_eq!(own().origin(at(0), Digest(8)), None);
    reported_origin_is_known => assert_eq!(reported(&["v1", "v1"]).origin(at(0), STREAM), Some(&origin("v1")));
    contradicting_reports_leave_it_unknown => assert_eq!(reported(&["v1", "v2", "v1"]).origin(at(0), STREAM), None);
    what_is_told_lasts_no_longer_than_what_was_heard => tells_the_rest();
    new_stream_is_reported_again => assert_eq!(own().due(at(500)).len(), 1);
    stream_that_lasts_is_reported_now_and_then => repeats();
    ended_stream_is_reported_no_more => assert_eq!(ended().due(at(2_500)), []);
    known_origins_are_bounded => bounds_known();
    expired_origins_make_room => makes_room();
    origins_of_others_are_not_reported => assert_eq!(reported(&["v1"]).due(at(100)), []);
    attempts_of_different_callers_are_different_streams => assert_ne!(stream_digest("a"), stream_digest("b"));
    owners_of_a_stream_outlast_two_of_them => outlasts();
    each_owner_that_was_told_is_asked => told_are_asked();
}

const STREAM: Digest = Digest(7);

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: Name::from("models"),
        software_version: Name::from(version),
    }
}

fn start(version: &str) -> StreamStart {
    StreamStart {
        stream: STREAM,
        origin: origin(version),
        keep_for: Duration::from_secs(12),
    }
}

/// Returns the origins of an entry that began the stream at time zero.
fn own() -> StreamOrigins {
    let mut origins = StreamOrigins::default();
    origins.begin(at(0), start("v1"));
    origins
}

fn ended() -> StreamOrigins {
    let mut origins = own();
    origins.end(STREAM);
    origins
}

/// Returns the origins of an owner that was told of the stream at time zero, once with each version.
fn reported(versions: &[&str]) -> StreamOrigins {
    let mut origins = StreamOrigins::default();
    for version in versions {
        origins.apply(at(0), start(version));
    }
    origins
}

fn tells_the_rest() {
    let told = reported(&["v1"]).start(at(5_000), STREAM).unwrap();
    assert_eq!(told.keep_for, Duration::from_secs(7));
}

fn repeats() {
    let mut origins = own();
    assert_eq!(origins.due(at(1_500)), []);
    assert_eq!(origins.due(at(2_000)).len(), 1);
    assert_eq!(origins.due(at(2_500)), []);
    assert_eq!(origins.due(at(4_000)).len(), 1);
}

fn fill(origins: &mut StreamOrigins, millis: u64, streams: std::ops::Range<u128>) {
    for stream in streams {
        let start = StreamStart {
            stream: Digest(stream),
            ..start("v1")
        };
        origins.apply(at(millis), start);
    }
}

fn bounds_known() {
    let mut origins = StreamOrigins::default();
    fill(&mut origins, 0, 0..20_000);
    assert_eq!(origins.origin(at(0), Digest(19_999)), None);
    origins.apply(at(0), start("v2"));
    assert_eq!(origins.origin(at(0), STREAM), None, "contradicted");
}

fn makes_room() {
    let mut origins = StreamOrigins::default();
    fill(&mut origins, 0, 0..20_000);
    fill(&mut origins, 12_000, 20_000..20_001);
    assert!(origins.origin(at(12_000), Digest(20_000)).is_some());
}

/// Owners that are left find a stream when two of the former ones are gone, in any fleet.
fn outlasts() {
    let entries: Vec<Ipv4Addr> = (1..=9).map(|i| Ipv4Addr::new(10, 0, 0, i)).collect();
    for stream in 0..100 {
        let key = OwnedKey::of_stream(Digest(stream));
        let owners: Vec<_> =
            highest_ranked::<STREAM_OWNERS>(key, entries.iter().copied()).collect();
        assert_eq!(owners.len(), STREAM_OWNERS);
        let left = entries.iter().copied().filter(|e| !owners[..2].contains(e));
        let queried: Vec<_> = highest_ranked::<STREAM_OWNERS>(key, left).collect();
        assert_eq!(queried[0], owners[2]);
    }
}

/// Whoever began a stream and whoever asks leave themselves out; all that were told are asked, or ask.
fn told_are_asked() {
    let entries: Vec<Ipv4Addr> = (1..=9).map(|i| Ipv4Addr::new(10, 0, 0, i)).collect();
    for stream in 0..100 {
        let key = OwnedKey::of_stream(Digest(stream));
        let others = |of: Ipv4Addr| entries.iter().copied().filter(move |e| *e != of);
        for (relays, asks) in (0..9).flat_map(|a| (0..9).map(move |b| (a, b))) {
            let (relays, asks) = (entries[relays], entries[asks]);
            let mut told = highest_ranked::<STREAM_OWNERS>(key, others(relays));
            let asked: Vec<_> = highest_ranked::<STREAM_OWNERS_ASKED>(key, others(asks)).collect();
            assert!(
                told.all(|e| e == asks || asked.contains(&e)),
                "{relays} {asks}"
            );
        }
    }
}
