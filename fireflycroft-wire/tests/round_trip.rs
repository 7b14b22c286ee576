//! Decoding restores the encoded value; other bytes give errors, never panics.

mod support;

use fireflycroft::Code;
use fireflycroft_wire::{Header, WireError, decode, decode_all, encode, encode_all, encode_into};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use support::{config, envelope, load, message, peer};

const CASES: u32 = 1_024;
const MAX_NOISE_BYTES: usize = 512;

proptest! {
    #![proptest_config(config(CASES))]

    #[test]
    fn single_round_trip(envelope in envelope()) {
        prop_assert_eq!(decode(&encode(&envelope)), Ok(envelope));
    }

    #[test]
    fn appended_round_trip(envelope in envelope(), head in vec(any::<u8>(), 0..8)) {
        let mut buf = head.clone();
        encode_into(&envelope, &mut buf);
        prop_assert_eq!(&buf[..head.len()], &head[..]);
        prop_assert_eq!(decode(&buf[head.len()..]), Ok(envelope));
    }

    #[test]
    fn batch_round_trip(
        from in peer(),
        version in any::<u64>(),
        load in proptest::option::of(load()),
        bodies in vec(message(), 0..6),
    ) {
        let config = fireflycroft::ConfigVersion(version);
        let bytes = encode_all(&from, config, load.as_ref(), &bodies);
        let header = Header { from, config, load };
        prop_assert_eq!(decode_all(&bytes), Ok((header, bodies)));
    }

    #[test]
    fn single_reads_one_message_only(envelope in envelope(), copies in 0..4_usize) {
        let bodies = vec![envelope.body.clone(); copies];
        let bytes = encode_all(&envelope.from, envelope.config, envelope.load.as_ref(), &bodies);
        let wanted = if copies == 1 { Ok(envelope) } else { Err(WireError::NotSingle(copies)) };
        prop_assert_eq!(decode(&bytes), wanted);
    }

    #[test]
    fn noise_never_panics(bytes in vec(any::<u8>(), 0..MAX_NOISE_BYTES)) {
        if let Err(e) = decode_all(&bytes) {
            prop_assert!(matches!(e.code(), Code::MessageMalformed | Code::MessageTooLong));
        }
    }

    #[test]
    fn damage_never_panics(
        envelope in envelope(),
        flips in vec((any::<Index>(), any::<u8>()), 1..4),
        cut in any::<Index>(),
    ) {
        let mut bytes = encode(&envelope);
        for (at, mask) in flips {
            let at = at.index(bytes.len());
            bytes[at] ^= mask;
        }
        bytes.truncate(cut.index(bytes.len() + 1));
        // A damaged packet that still decodes must survive another round trip.
        if let Ok(damaged) = decode(&bytes) {
            prop_assert_eq!(decode(&encode(&damaged)), Ok(damaged));
        }
    }
}
