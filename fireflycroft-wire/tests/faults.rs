//! Each kind of malformed packet gives its own error.

use fireflycroft::{
    Chunk, Code, ConfigVersion, Digest, GenerationId, Incarnation, MemberRecord, MemberState,
    Message, Peer, RequestId, Role, Suspect,
};
use fireflycroft_wire::{
    MAX_BODIES, MAX_CHUNK_TOKENS, MAX_HASHES, MAX_NAME_BYTES, MAX_PACKET_BYTES, MAX_PARTS,
    MAX_RECORDS, MAX_SERVES, WireError, decode_all, encode_all,
};
use prost::Message as _;

/// Copy of the schema's packet that can encode malformed values.
#[derive(Clone, PartialEq, prost::Message)]
struct RawPacket {
    #[prost(message, optional, tag = "1")]
    from: Option<RawPeer>,
    #[prost(message, repeated, tag = "4")]
    bodies: Vec<RawBody>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RawPeer {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bytes = "vec", tag = "2")]
    addr: Vec<u8>,
    #[prost(fixed64, tag = "3")]
    incarnation: u64,
    #[prost(int32, tag = "4")]
    role: i32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RawBody {
    #[prost(message, optional, tag = "4")]
    refuse: Option<RawRefuse>,
    #[prost(message, optional, tag = "13")]
    crashes: Option<RawCrashes>,
    #[prost(message, optional, tag = "6")]
    start: Option<RawStart>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RawRefuse {
    #[prost(bytes = "vec", tag = "1")]
    request: Vec<u8>,
    #[prost(uint32, tag = "3")]
    code: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RawCrashes {
    #[prost(bytes = "vec", tag = "1")]
    content: Vec<u8>,
    #[prost(uint32, tag = "2")]
    count: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RawStart {
    #[prost(bytes = "vec", tag = "1")]
    request: Vec<u8>,
    #[prost(message, optional, tag = "2")]
    generation: Option<RawGeneration>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RawGeneration {
    #[prost(uint64, tag = "2")]
    serial: u64,
}

const UNKNOWN_ROLE: i32 = 77;
const UNKNOWN_CODE: u32 = 9_999;

fn raw_peer() -> RawPeer {
    RawPeer {
        name: "agent-1".to_owned(),
        addr: vec![127, 0, 0, 1, 0, 80],
        incarnation: 1,
        role: 2,
    }
}

fn raw(from: Option<RawPeer>, bodies: Vec<RawBody>) -> Vec<u8> {
    RawPacket { from, bodies }.encode_to_vec()
}

fn raw_body(body: RawBody) -> Vec<u8> {
    raw(Some(raw_peer()), vec![body])
}

fn raw_crashes(content: usize, count: u32) -> Vec<u8> {
    let content = vec![0; content];
    raw_body(RawBody {
        crashes: Some(RawCrashes { content, count }),
        ..RawBody::default()
    })
}

fn peer(name: &str) -> Peer {
    Peer {
        name: name.into(),
        addr: ([127, 0, 0, 1], 80).into(),
        incarnation: Incarnation(1),
        role: Role::Agent,
    }
}

fn packet(bodies: &[Message]) -> Vec<u8> {
    encode_all(&peer("agent-1"), ConfigVersion(0), None, bodies)
}

fn tokens(chunk: Chunk) -> Vec<u8> {
    packet(&[Message::Tokens {
        reader: RequestId(1),
        generation: GenerationId {
            incarnation: Incarnation(1),
            serial: 1,
        },
        chunk,
        finish: None,
    }])
}

fn ping(serves: usize, records: usize) -> Vec<u8> {
    let record = MemberRecord {
        peer: peer("agent-2"),
        data_centre: "north".into(),
        state: MemberState::Alive,
        revision: 0,
        serves: vec!["model".into(); serves],
    };
    packet(&[Message::Ping {
        nonce: 1,
        records: vec![record; records],
        view: 0,
    }])
}

fn view_parts(count: usize) -> Vec<u8> {
    packet(&[Message::ViewParts {
        parts: vec![0; count],
    }])
}

fn view_hashes(count: usize) -> Vec<u8> {
    packet(&[Message::ViewHashes {
        parts: 0,
        hashes: vec![0; count],
        reply: false,
    }])
}

fn chunk(offset: u64, data: &[u8], lens: &[u32]) -> Chunk {
    Chunk {
        offset,
        data: data.to_vec(),
        lens: lens.to_vec(),
    }
}

macro_rules! faults {
    ($($name:ident: $bytes:expr => $error:expr, $code:ident;)+) => {
        $(
            #[test]
            fn $name() {
                let error = decode_all(&$bytes).unwrap_err();
                assert_eq!(error, $error);
                assert_eq!(error.code(), Code::$code);
                assert!(!error.to_string().is_empty());
            }
        )+
    };
}

faults! {
    no_bytes: [] => WireError::Missing("peer"), MessageMalformed;
    noise: [0xff; 16] => WireError::Malformed, MessageMalformed;
    no_sender: raw(None, vec![]) => WireError::Missing("peer"), MessageMalformed;
    empty_body: raw_body(RawBody::default()) => WireError::Missing("body"), MessageMalformed;
    short_address: raw(Some(RawPeer { addr: vec![0; 5], ..raw_peer() }), vec![])
        => WireError::BadAddress, MessageMalformed;
    no_address: raw(Some(RawPeer { addr: vec![], ..raw_peer() }), vec![])
        => WireError::BadAddress, MessageMalformed;
    no_role: raw(Some(RawPeer { role: 0, ..raw_peer() }), vec![])
        => WireError::BadValue("role"), MessageMalformed;
    unknown_role: raw(Some(RawPeer { role: UNKNOWN_ROLE, ..raw_peer() }), vec![])
        => WireError::BadValue("role"), MessageMalformed;
    short_digest: raw_crashes(15, 1) => WireError::BadId("crashes.content"), MessageMalformed;
    count_out_of_range: raw_crashes(16, 256) => WireError::BadValue("crashes.count"), MessageMalformed;
    unknown_code: raw_body(RawBody {
        refuse: Some(RawRefuse { request: vec![0; 16], code: UNKNOWN_CODE }),
        ..RawBody::default()
    }) => WireError::BadValue("code"), MessageMalformed;
    no_generation: raw_body(RawBody {
        start: Some(RawStart { request: vec![0; 16], generation: None }),
        ..RawBody::default()
    }) => WireError::Missing("generation"), MessageMalformed;
    no_work: raw_body(RawBody {
        start: Some(RawStart {
            request: vec![0; 16],
            generation: Some(RawGeneration { serial: 1 }),
        }),
        ..RawBody::default()
    }) => WireError::Missing("work"), MessageMalformed;
    lengths_exceed_data: tokens(chunk(0, b"ab", &[1, 2]))
        => WireError::InconsistentChunk, MessageMalformed;
    lengths_fall_short_of_data: tokens(chunk(0, b"abc", &[1, 1]))
        => WireError::InconsistentChunk, MessageMalformed;
    offset_overflows: tokens(chunk(u64::MAX, b"a", &[1]))
        => WireError::InconsistentChunk, MessageMalformed;
    chunk_of_too_many_tokens: tokens(chunk(0, b"", &vec![0; MAX_CHUNK_TOKENS + 1]))
        => WireError::TooLong("chunk"), MessageTooLong;
    long_name: encode_all(&peer(&"n".repeat(MAX_NAME_BYTES + 1)), ConfigVersion(0), None, &[])
        => WireError::TooLong("peer.name"), MessageTooLong;
    too_many_records: ping(0, MAX_RECORDS + 1) => WireError::TooLong("records"), MessageTooLong;
    too_many_parts: view_parts(MAX_PARTS + 1) => WireError::TooLong("view.parts"), MessageTooLong;
    too_many_hashes: view_hashes(MAX_HASHES + 1)
        => WireError::TooLong("view.hashes"), MessageTooLong;
    too_many_served: ping(MAX_SERVES + 1, 1)
        => WireError::TooLong("record.serves"), MessageTooLong;
    too_many_bodies: packet(&vec![
        Message::Withdraw { request: RequestId(1), attempt: 1 };
        MAX_BODIES + 1
    ]) => WireError::TooLong("bodies"), MessageTooLong;
    long_packet: vec![0; MAX_PACKET_BYTES + 1] => WireError::TooLong("packet"), MessageTooLong;
}

macro_rules! valid {
    ($($name:ident: $bytes:expr;)+) => {
        $(
            #[test]
            fn $name() {
                assert!(decode_all(&$bytes).is_ok());
            }
        )+
    };
}

// The same packets without the fault, so that each case above has exactly one.
valid! {
    header_alone: raw(Some(raw_peer()), vec![]);
    digest_and_count: raw_crashes(16, 255);
    lengths_as_data: tokens(chunk(0, b"ab", &[1, 1]));
    offset_at_the_end: tokens(chunk(u64::MAX - 1, b"a", &[1]));
    chunk_at_the_bound: tokens(chunk(0, b"", &vec![0; MAX_CHUNK_TOKENS]));
    name_at_the_bound: encode_all(&peer(&"n".repeat(MAX_NAME_BYTES)), ConfigVersion(0), None, &[]);
    hashes_at_the_bound: view_hashes(MAX_HASHES);
    parts_at_the_bound: view_parts(MAX_PARTS);
    records_at_the_bound: ping(MAX_SERVES, MAX_RECORDS);
}

/// Counts of builds that know no evidence about contents refuse from the limit on, and say nothing below it.
#[test]
fn crash_counts_of_older_builds_are_read() {
    let refused = |count| match decode_all(&raw_crashes(16, count)).unwrap().1.as_slice() {
        [Message::CrashNews(news)] => news.refused.clone(),
        other => panic!("{other:?}"),
    };
    assert_eq!(refused(1), []);
    assert_eq!(refused(2)[0].suspect, Suspect::of_content(Digest(0)));
}
