//! Messages between the processes of the fleet, as bytes.
//!
//! The schema is `proto/fleet.proto`; the types that `wiregen` makes of it
//! stay inside this crate, and what comes out are the core's own. One packet
//! holds the header of one sender and any number of messages. Whatever bytes
//! come in, reading them gives a value or a [`WireError`] and never panics.

mod decode;
mod encode;
mod entry_announcement;
mod entry_message;
mod error;
mod field;
#[rustfmt::skip]
#[allow(missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
mod generated;
mod limits;
mod owner_messages;

pub use decode::{Header, decode, decode_all};
pub use encode::{encode, encode_all, encode_into};
pub use entry_message::{decode_datagram, encode_datagram};
pub use error::WireError;
pub use limits::*;
