//! Revisions of the platform's store, ordered across its eras.
//!
//! A store restored from a backup has lost its newest changes and reuses their revision numbers;
//! its era rises by one then. Revisions in this project carry the era in their upper bits, so that
//! everything read in a later era is newer than everything read before.

/// Bits for the number of a change within its era.
const NUMBER_BITS: u32 = 44;

/// Returns the revision of change `number` in `era`.
#[must_use]
pub const fn revision_in(era: u64, number: u64) -> u64 {
    (era << NUMBER_BITS) | (number & ((1 << NUMBER_BITS) - 1))
}

/// Returns the era of a revision.
#[must_use]
pub const fn era_of(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Returns the number of the change within its era, as used by the store.
#[must_use]
pub const fn number_of(revision: u64) -> u64 {
    revision & ((1 << NUMBER_BITS) - 1)
}
