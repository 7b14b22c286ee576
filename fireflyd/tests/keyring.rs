//! Key rings: opened and refused seals, and rotation of a key without a stop.

use std::time::Duration;

use fireflyd::keyring::{
    KEY_LEN, KeyFileError, KeyRing, SEAL_LEN, SealError, SharedKeyRing, watch_key_file,
};
use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngAlgorithm, RngSeed};

const OLD: (u8, [u8; KEY_LEN]) = (1, [0x11; KEY_LEN]);
const NEW: (u8, [u8; KEY_LEN]) = (2, [0x22; KEY_LEN]);

fn ring(keys: &[(u8, [u8; KEY_LEN])]) -> KeyRing {
    KeyRing::new(keys.iter().copied()).unwrap()
}

fn line(id: u8, byte: &str) -> String {
    format!("{id}:{}", byte.repeat(KEY_LEN))
}

fn sealed(ring: &KeyRing, payload: &[u8]) -> Vec<u8> {
    let mut buf = payload.to_vec();
    ring.seal(&mut buf);
    buf
}

macro_rules! parse_cases {
    ($($name:ident: $text:expr => $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            let text: String = $text;
            assert_eq!(KeyRing::parse(&text).err(), $fault);
        }
    )*};
}

parse_cases! {
    one_key: line(1, "11") => None;
    comments_and_blanks: format!("# fleet\n\n{} # signs\n", line(1, "11")) => None;
    empty_file: String::new() => Some(KeyFileError::Empty);
    only_comments: "# none".to_owned() => Some(KeyFileError::Empty);
    short_key: "1:1122".to_owned() => Some(KeyFileError::Malformed(1));
    not_hex: line(1, "zz") => Some(KeyFileError::Malformed(1));
    id_over_a_byte: format!("256:{}", "11".repeat(KEY_LEN)) => Some(KeyFileError::Malformed(1));
    repeated_id: format!("{}\n{}", line(1, "11"), line(1, "22")) => Some(KeyFileError::DuplicateId(2));
}

macro_rules! open_cases {
    ($($name:ident: $sealer:expr, $opener:expr => $want:expr;)*) => {$(
        #[test]
        fn $name() {
            let msg = sealed(&ring(&$sealer), b"offer");
            let want: Result<&[u8], SealError> = $want;
            assert_eq!(ring(&$opener).open(&msg), want);
        }
    )*};
}

open_cases! {
    same_key: [OLD], [OLD] => Ok(b"offer");
    new_key_added_behind: [OLD], [OLD, NEW] => Ok(b"offer");
    new_key_signs: [NEW, OLD], [OLD, NEW] => Ok(b"offer");
    old_key_still_signs: [OLD, NEW], [NEW, OLD] => Ok(b"offer");
    old_key_removed: [NEW, OLD], [NEW] => Ok(b"offer");
    key_not_held: [NEW], [OLD] => Err(SealError::UnknownKey(2));
    other_secret_of_same_id: [(1, [9; KEY_LEN])], [OLD] => Err(SealError::BadTag);
}

#[test]
fn text_and_bytes_give_the_same_ring() {
    let msg = sealed(&KeyRing::parse(&line(1, "11")).unwrap(), b"offer");
    assert_eq!(ring(&[OLD]).open(&msg), Ok(&b"offer"[..]));
}

#[test]
fn debug_output_shows_no_secret() {
    assert_eq!(format!("{:?}", ring(&[OLD, NEW])), "[1, 2]");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x5ea1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_payload_comes_back(payload in prop::collection::vec(any::<u8>(), 0..600)) {
        let ring = ring(&[OLD, NEW]);
        let msg = sealed(&ring, &payload);
        prop_assert_eq!(msg.len(), payload.len() + SEAL_LEN);
        prop_assert_eq!(ring.open(&msg), Ok(&payload[..]));
    }

    #[test]
    fn any_flipped_bit_is_refused(
        payload in prop::collection::vec(any::<u8>(), 0..200),
        at in any::<prop::sample::Index>(),
        bit in 0..8_u32,
    ) {
        let ring = ring(&[OLD, NEW]);
        let mut msg = sealed(&ring, &payload);
        let at = at.index(msg.len());
        msg[at] ^= 1 << bit;
        prop_assert!(ring.open(&msg).is_err());
    }

    #[test]
    fn any_bytes_are_refused(msg in prop::collection::vec(any::<u8>(), 0..100)) {
        prop_assert!(ring(&[OLD]).open(&msg).is_err());
    }
}

async fn await_opens(shared: &SharedKeyRing, msg: &[u8], want: bool) {
    let poll = async {
        while shared.get().open(msg).is_ok() != want {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), poll)
        .await
        .expect("the changed key file was not loaded");
}

#[tokio::test]
async fn a_changed_file_is_taken_and_a_broken_one_is_not() {
    let path = std::env::temp_dir().join(format!("firefly-keys-{}", std::process::id()));
    std::fs::write(&path, line(1, "11")).unwrap();
    let shared = SharedKeyRing::new(ring(&[OLD]));
    let watch = tokio::spawn(watch_key_file(
        path.clone(),
        shared.clone(),
        Duration::from_millis(5),
    ));
    let by_new = sealed(&ring(&[NEW]), b"offer");
    await_opens(&shared, &by_new, false).await;
    std::fs::write(&path, format!("{}\n{}", line(1, "11"), line(2, "22"))).unwrap();
    await_opens(&shared, &by_new, true).await;
    std::fs::write(&path, "broken").unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(shared.get().open(&by_new).is_ok());
    std::fs::write(&path, line(1, "11")).unwrap();
    await_opens(&shared, &by_new, false).await;
    watch.abort();
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn a_seal_leaves_a_message_without_spare_memory() {
    let buf = sealed(&ring(&[OLD]), &b"offer".repeat(100_000));
    assert_eq!(buf.capacity(), buf.len());
}
