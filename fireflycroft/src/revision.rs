//! Revisions of the platform's store, in one order across its eras.
//!
//! A store that comes back from a copy has lost its newest changes and gives
//! their revisions out again; its era rises by one then. A revision as the
//! project holds it has the era in its upper bits, so that whatever was read in
//! a later era is newer than all that was read before.

/// Bits of a revision that number the changes of one era.
const NUMBER_BITS: u32 = 44;

/// The revision of the change `number` of an era.
#[must_use]
pub const fn revision_in(era: u64, number: u64) -> u64 {
    (era << NUMBER_BITS) | (number & ((1 << NUMBER_BITS) - 1))
}

/// The era in which a revision was given out.
#[must_use]
pub const fn era_of(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Number of the change within that era, as the store knows it.
#[must_use]
pub const fn number_of(revision: u64) -> u64 {
    revision & ((1 << NUMBER_BITS) - 1)
}
