//! FNV-1a, for digests that are stable across runs.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// Returns the 64-bit FNV-1a digest of `bytes`.
pub(crate) fn fnv(bytes: &[u8]) -> u64 {
    extend(OFFSET, bytes)
}

/// Extends the digest `state` with `bytes`.
pub(crate) fn extend(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |state, byte| {
        (state ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}
