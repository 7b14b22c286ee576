//! Round trips of messages between direct entries, and rejection of invalid bytes.

use fireflycroft::{
    ContentId, CrashId, CrashNews, CrashReport, Digest, EntryAnnouncement, EntryMessage,
    Evacuations, Incarnation, ListChange, MAX_SHARED_PARTS, Name, OwnedLoad, OwnerQuery,
    OwnerQueryBody, OwnerReply, OwnerReplyBody, OwnerReport, Pace, PartId, PauseCounts, Placed,
    PlacedAt, RateLimit, Reach, Refusal, RefusedSuspect, RetryCount, ServiceDemand, SoundSuspect,
    StreamOrigin, StreamStart, Survivor, Suspect, ToldRate, UpstreamIncarnation, UpstreamRecord,
    UpstreamState,
};
use fireflycroft_wire::{
    MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, WireError, decode_datagram, encode_datagram,
};
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
    announcement_round_trip => round_trips(announcement_message(announcement()));
    evidence_takes_few_bytes => evidence_size();
    crash_of_too_many_parts_is_an_error => refuses_parts();
    empty_announcement_round_trip => round_trips(announcement_message(EntryAnnouncement::default()));
    report_round_trip => round_trips(EntryMessage::Report(report()));
    empty_report_round_trip => round_trips(EntryMessage::Report(OwnerReport::default()));
    query_round_trip => queries().into_iter().for_each(round_trips);
    reply_round_trip => replies().into_iter().for_each(round_trips);
    what_no_receiver_can_read_is_left_out => leaves_out_unreadable();
    oversized_datagram_is_refused => refuses_oversized();
    crash_count_out_of_range_is_refused => refuses_count();
    load_that_would_overflow_a_sum_is_refused => refuses_huge_load();
    datagram_without_a_message_is_refused => assert_eq!(decode_datagram(&[]), Err(WireError::Missing("datagram.message")));
}

fn round_trips(message: EntryMessage) {
    assert_eq!(decode_datagram(&encode_datagram(&message)), Ok(message));
}

fn announcement_message(announcement: EntryAnnouncement) -> EntryMessage {
    EntryMessage::Announcement(Box::new(announcement))
}

fn placed() -> PlacedAt {
    PlacedAt {
        instance: Name::from("i-1"),
        incarnation: Incarnation(1_790_000_000_123),
        placed: Placed {
            running: 3,
            tokens: 9_000,
            unread: 2_000,
            copies: 700,
            long: 2,
            slowed: 1,
        },
        pace: Pace {
            tokens: 900,
            micros: 8_100_000,
            usual_micros: 8_600,
            gaps: 16,
        },
    }
}

fn report() -> OwnerReport {
    OwnerReport {
        entry: Name::from("front-a-1"),
        is_whole: true,
        placed: vec![placed()],
        refused: vec![Refusal {
            content: Digest(11),
            age: Duration::from_millis(120),
            waited: Duration::from_millis(2_900),
            expected_in: Duration::from_millis(1_250),
        }],
        unreachable: vec![life()],
        streams: vec![stream_start()],
    }
}

fn stream_start() -> StreamStart {
    StreamStart {
        stream: Digest(13),
        origin: StreamOrigin {
            service: Name::from("models"),
            software_version: Name::from("v1.2"),
        },
        keep_for: Duration::from_millis(11_900),
    }
}

fn life() -> UpstreamIncarnation {
    UpstreamIncarnation {
        instance: Name::from("i-1"),
        incarnation: Incarnation(1_790_000_000_123),
    }
}

fn queries() -> [EntryMessage; 4] {
    let bodies = [
        OwnerQueryBody::Loads(vec![life()]),
        OwnerQueryBody::Retry(Name::from("s")),
        OwnerQueryBody::Refused(Digest(u128::MAX)),
        OwnerQueryBody::Stream(Digest(u128::MAX)),
    ];
    bodies.map(|body| {
        EntryMessage::Query(OwnerQuery {
            entry: Name::from("front-a-1"),
            id: u64::MAX,
            body,
        })
    })
}

fn replies() -> [EntryMessage; 6] {
    let load = OwnedLoad {
        upstream: life(),
        serves: true,
        placed: placed().placed,
        pace: placed().pace,
    };
    let refused = |age| OwnerReplyBody::Refused {
        content: Digest(3),
        age,
        waited: Duration::from_millis(1_700),
        expected_in: Duration::from_millis(650),
    };
    let bodies = [
        OwnerReplyBody::Loads(vec![load]),
        OwnerReplyBody::Retry {
            service: Name::from("s"),
            granted: true,
        },
        refused(Some(Duration::from_millis(310))),
        refused(None),
        OwnerReplyBody::Stream(Some(stream_start())),
        OwnerReplyBody::Stream(None),
    ];
    bodies.map(|body| {
        EntryMessage::Reply(OwnerReply {
            entry: Name::from("front-a-2"),
            id: 7,
            body,
        })
    })
}

fn refuses_huge_load() {
    let mut report = report();
    report.placed[0].placed.tokens = u64::MAX;
    let bytes = encode_datagram(&EntryMessage::Report(report));
    assert_eq!(decode_datagram(&bytes), Err(WireError::TooLong("placed")));
}

fn announcement() -> EntryAnnouncement {
    EntryAnnouncement {
        name: Name::from("front-a-1"),
        incarnation: Incarnation(5),
        config: 7,
        entries: 412,
        upstreams: 31,
        upstreams_digest: u64::MAX,
        upstreams_complete: 30,
        data_centre: Name::from("a"),
        watches: true,
        store_age: Some(Duration::from_millis(640)),
        evacuations: Evacuations {
            revision: 29,
            data_centres: [Name::from("a"), Name::from("b")].into(),
        },
        list_changes: vec![
            ListChange::Listed(UpstreamRecord {
                instance: Name::from("i-1"),
                incarnation: Incarnation(1_790_000_000_123),
                service: Name::from("s"),
                addr: "127.0.0.1:80".parse().unwrap(),
                data_centre: Name::from("a"),
                software_version: Some(Name::from("v1.1")),
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
        retries: vec![RetryCount {
            service: Name::from("s"),
            requests: 40,
            retries: 2,
        }],
        departing: vec![life()],
        demands: vec![ServiceDemand {
            service: Name::from("models"),
            tokens: 41_000,
        }],
        pauses: vec![PauseCounts {
            service: Name::from("s"),
            reading_ms: 61_500,
            pauses: vec![7, 0, 2],
        }],
        rate_limits: vec![
            ToldRate {
                upstream: life(),
                limit: RateLimit::new(2.5),
                age: Duration::from_millis(70),
            },
            ToldRate {
                upstream: life(),
                limit: None,
                age: Duration::ZERO,
            },
        ],
        crash_news: CrashNews {
            crashes: vec![CrashReport {
                ended: CrashId(u64::MAX),
                suspects: vec![part(0x5c1e), part(7), content(9)],
                begun: true,
                reach: reach(),
                age: Duration::from_millis(40),
            }],
            sound: [part(7), content(9)]
                .map(|suspect| SoundSuspect {
                    suspect,
                    age: Duration::from_millis(900),
                })
                .to_vec(),
            refused: [part(0x5c1e), content(10)]
                .map(|suspect| RefusedSuspect {
                    suspect,
                    crashes: 3,
                    age: Duration::from_secs(80),
                })
                .to_vec(),
            survivors: vec![Survivor {
                content: content(9),
                at: CrashId(11),
                reach: reach(),
            }],
        },
        peers: vec![Ipv4Addr::new(127, 0, 0, 3)],
        leaving: true,
    }
}

/// Returns how far a long answer gets.
const fn reach() -> Reach {
    Reach {
        lasted: Duration::from_secs(39),
        events: 250,
    }
}

const fn part(id: u64) -> Suspect {
    Suspect::Part(PartId(id))
}

const fn content(id: u64) -> Suspect {
    Suspect::Content(ContentId(id))
}

fn refuses_oversized() {
    let bytes = vec![0; MAX_DATAGRAM_BYTES + 1];
    assert!(matches!(
        decode_datagram(&bytes),
        Err(WireError::TooLong(_))
    ));
}

/// A crash under three parts, a sound one and a refused one, told several times a second while they are news.
fn evidence_size() {
    let size = |announcement| encode_datagram(&announcement_message(announcement)).len();
    let told = EntryAnnouncement {
        crash_news: CrashNews {
            crashes: vec![CrashReport {
                ended: CrashId(u64::MAX),
                suspects: vec![
                    part(u64::MAX),
                    part(u64::MAX),
                    part(u64::MAX),
                    content(u64::MAX),
                ],
                begun: true,
                reach: reach(),
                age: Duration::from_secs(5),
            }],
            sound: vec![SoundSuspect {
                suspect: part(u64::MAX),
                age: Duration::from_secs(5),
            }],
            refused: vec![RefusedSuspect {
                suspect: part(u64::MAX),
                crashes: 5,
                age: Duration::from_hours(1),
            }],
            survivors: Vec::new(),
        },
        ..EntryAnnouncement::default()
    };
    let bytes = size(told) - size(EntryAnnouncement::default());
    println!("{bytes} bytes");
    assert!(bytes <= 100, "{bytes} bytes");
}

fn refuses_parts() {
    let announcement = EntryAnnouncement {
        crash_news: CrashNews {
            crashes: vec![CrashReport {
                ended: CrashId(1),
                suspects: vec![part(2); MAX_SHARED_PARTS + 1],
                begun: true,
                reach: Reach::default(),
                age: Duration::ZERO,
            }],
            ..CrashNews::default()
        },
        ..EntryAnnouncement::default()
    };
    let bytes = encode_datagram(&announcement_message(announcement));
    assert!(matches!(
        decode_datagram(&bytes),
        Err(WireError::TooLong("part_crash.parts"))
    ));
}

fn refuses_count() {
    // Field 7, a crash count: sixteen bytes of content, then a count of 300.
    let mut crash = vec![0x0a, 16];
    crash.extend([0; 16]);
    crash.extend([0x10, 0xac, 0x02]);
    let mut announcement = vec![0x3a, u8::try_from(crash.len()).unwrap()];
    announcement.extend(crash);
    // Field 1 of the datagram: the announcement.
    let mut bytes = vec![0x0a, u8::try_from(announcement.len()).unwrap()];
    bytes.extend(announcement);
    assert!(matches!(
        decode_datagram(&bytes),
        Err(WireError::BadValue(_))
    ));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Decoding arbitrary bytes returns a message or an error.
    #[test]
    fn any_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_datagram(&bytes);
    }

    /// Decoding a truncated datagram with a changed byte doesn't panic either.
    #[test]
    fn damaged_messages_never_panic(index in 0_usize..9, len in 0_usize..200, at in 0_usize..200, byte: u8) {
        let mut all = vec![announcement_message(announcement()), EntryMessage::Report(report())];
        all.extend(queries());
        all.extend(replies());
        let mut bytes = encode_datagram(&all[index]);
        bytes.truncate(len);
        if let Some(b) = bytes.get_mut(at) {
            *b = byte;
        }
        let _ = decode_datagram(&bytes);
    }
}

/// An upstream whose name is too long is left out, and the rest of the announcement arrives.
fn leaves_out_unreadable() {
    let mut told = announcement();
    let sent = told.list_changes.clone();
    told.list_changes.push(ListChange::Removed {
        instance: "i".repeat(MAX_NAME_BYTES + 1).into(),
        revision: 32,
    });
    told.evacuations
        .data_centres
        .insert("z".repeat(MAX_NAME_BYTES + 1).into());
    let EntryMessage::Announcement(read) =
        decode_datagram(&encode_datagram(&announcement_message(told))).unwrap()
    else {
        panic!("no announcement");
    };
    assert_eq!(read.list_changes, sent);
    assert!(
        !read
            .evacuations
            .data_centres
            .iter()
            .any(|z| z.len() > MAX_NAME_BYTES)
    );
}
