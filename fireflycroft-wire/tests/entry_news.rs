//! News of direct entries to bytes and back, and bytes that are none.

use fireflycroft::{
    CrashCount, Digest, EntryNews, Incarnation, ListChange, Name, Pace, Placed, PlacedAt, Refusal,
    RepeatCount, UpstreamRecord, UpstreamState,
};
use fireflycroft_wire::{MAX_DATAGRAM_BYTES, WireError, decode_news, encode_news};
use proptest::prelude::*;
use std::net::Ipv4Addr;
use std::time::Duration;

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
    news_come_back_as_they_were => assert_eq!(decode_news(&encode_news(&news())), Ok(news()));
    empty_news_come_back => assert_eq!(decode_news(&encode_news(&EntryNews::default())), Ok(EntryNews::default()));
    endless_datagram_is_refused => refuses_endless();
    crash_count_out_of_range_is_refused => refuses_count();
}

fn news() -> EntryNews {
    EntryNews {
        name: Name::from("front-a-1"),
        incarnation: Incarnation(5),
        config: 7,
        config_bytes: 90_000,
        upstreams: 31,
        upstreams_digest: u64::MAX,
        watches: true,
        store_age: Some(Duration::from_millis(640)),
        list_changes: vec![
            ListChange::Listed(UpstreamRecord {
                instance: Name::from("i-1"),
                incarnation: Incarnation(1_790_000_000_123),
                service: Name::from("s"),
                addr: "127.0.0.1:80".parse().unwrap(),
                data_centre: Name::from("a"),
                slots: 24,
                state: UpstreamState::Leaving,
                cold_for: Duration::from_millis(250),
                revision: 30,
            }),
            ListChange::Removed {
                instance: Name::from("i-2"),
                revision: 31,
            },
        ],
        changes_only: true,
        placed: vec![PlacedAt {
            instance: Name::from("i-1"),
            incarnation: Incarnation(1_790_000_000_123),
            placed: Placed {
                running: 3,
                tokens: 9_000,
                unread: 2_000,
                copies: 700,
            },
            pace: Pace {
                tokens: 900,
                micros: 8_100_000,
            },
        }],
        repeats: vec![RepeatCount {
            service: Name::from("s"),
            requests: 40,
            repeats: 2,
        }],
        crashes: vec![CrashCount {
            content: Digest(9),
            count: 2,
        }],
        refused: vec![Refusal {
            content: Digest(11),
            age: Duration::from_millis(120),
        }],
        peers: vec![Ipv4Addr::new(127, 0, 0, 3)],
        leaving: true,
    }
}

fn refuses_endless() {
    let bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
    assert!(matches!(decode_news(&bytes), Err(WireError::TooLong(_))));
}

fn refuses_count() {
    // Field 7, a crash count: sixteen bytes of content, then a count of 300.
    let mut crash = vec![0x0a, 16];
    crash.extend([0; 16]);
    crash.extend([0x10, 0xac, 0x02]);
    let mut bytes = vec![0x3a, u8::try_from(crash.len()).unwrap()];
    bytes.extend(crash);
    assert!(matches!(decode_news(&bytes), Err(WireError::BadValue(_))));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Any bytes give news or an error, never a panic.
    #[test]
    fn any_bytes_are_borne(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_news(&bytes);
    }

    /// A datagram that lost bytes on the way or had some changed is borne as well.
    #[test]
    fn torn_news_are_borne(len in 0_usize..200, at in 0_usize..200, byte: u8) {
        let mut bytes = encode_news(&news());
        bytes.truncate(len);
        if let Some(b) = bytes.get_mut(at) {
            *b = byte;
        }
        let _ = decode_news(&bytes);
    }
}
