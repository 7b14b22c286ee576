//! FNV-1a, for digests that stay the same from one run to the next.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// 64-bit FNV-1a of `bytes`.
pub(crate) fn fnv(bytes: &[u8]) -> u64 {
    extend(OFFSET, bytes)
}

/// Goes on from the digest `state` with more `bytes`.
pub(crate) fn extend(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |state, byte| {
        (state ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}
