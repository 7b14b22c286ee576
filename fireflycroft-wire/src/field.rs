//! Conversion of the core's simple types to fields of the schema and back.

use crate::error::WireError;
use crate::generated as pb;
use crate::limits::{MAX_NAME_BYTES, MAX_TEXT_BYTES};
use fireflycroft::{
    Code, Digest, GenerationId, Incarnation, MemberState, Name, Priority, RequestId, Role, Standing,
};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;

const ID_BYTES: usize = 16;
const V4_BYTES: usize = 4;
const V6_BYTES: usize = 16;
const PORT_BYTES: usize = 2;

/// Returns the whole microseconds of `duration`, limited to the field's range.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the whole milliseconds of `duration`, limited to the field's range.
pub(crate) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the bytes of an identifier or digest.
pub(crate) fn id_bytes(id: u128) -> Vec<u8> {
    id.to_be_bytes().to_vec()
}

/// Returns the bytes of an address, without the scope and flow label of IPv6.
pub(crate) fn addr_bytes(addr: SocketAddr) -> Vec<u8> {
    let mut buf = Vec::with_capacity(V6_BYTES + PORT_BYTES);
    match addr.ip() {
        IpAddr::V4(ip) => buf.extend_from_slice(&ip.octets()),
        IpAddr::V6(ip) => buf.extend_from_slice(&ip.octets()),
    }
    buf.extend_from_slice(&addr.port().to_be_bytes());
    buf
}

/// Reads an address written by `addr_bytes`.
pub(crate) fn read_addr(bytes: &[u8]) -> Result<SocketAddr, WireError> {
    let (host, port) = bytes
        .split_last_chunk::<PORT_BYTES>()
        .ok_or(WireError::BadAddress)?;
    let ip = if let Ok(octets) = <[u8; V4_BYTES]>::try_from(host) {
        IpAddr::V4(Ipv4Addr::from(octets))
    } else if let Ok(octets) = <[u8; V6_BYTES]>::try_from(host) {
        IpAddr::V6(Ipv6Addr::from(octets))
    } else {
        return Err(WireError::BadAddress);
    };
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

pub(crate) fn read_request(bytes: &[u8], field: &'static str) -> Result<RequestId, WireError> {
    read_id(bytes, field).map(RequestId)
}

pub(crate) fn read_digest(bytes: &[u8], field: &'static str) -> Result<Digest, WireError> {
    read_id(bytes, field).map(Digest)
}

fn read_id(bytes: &[u8], field: &'static str) -> Result<u128, WireError> {
    let bytes = <[u8; ID_BYTES]>::try_from(bytes).map_err(|_| WireError::BadId(field))?;
    Ok(u128::from_be_bytes(bytes))
}

/// Reads a name used within the fleet, limited to `MAX_NAME_BYTES`.
pub(crate) fn read_name(text: &str, field: &'static str) -> Result<Name, WireError> {
    bounded(text, MAX_NAME_BYTES, field)
}

/// Reads a text given by a caller or an upstream, limited to `MAX_TEXT_BYTES`.
pub(crate) fn read_text(text: &str, field: &'static str) -> Result<Name, WireError> {
    bounded(text, MAX_TEXT_BYTES, field)
}

fn bounded(text: &str, max: usize, field: &'static str) -> Result<Name, WireError> {
    if text.len() > max {
        return Err(WireError::TooLong(field));
    }
    Ok(text.into())
}

/// Fails if `count` exceeds `max`.
pub(crate) const fn check_count(
    count: usize,
    max: usize,
    field: &'static str,
) -> Result<(), WireError> {
    if count > max {
        return Err(WireError::TooLong(field));
    }
    Ok(())
}

/// Reads every element of a list.
pub(crate) fn read_all<T, U>(
    all: &[T],
    read: impl Fn(&T) -> Result<U, WireError>,
) -> Result<Vec<U>, WireError> {
    all.iter().map(read).collect()
}

/// Reads a number into a narrower type.
pub(crate) fn read_narrow<T: TryFrom<u32>>(
    number: u32,
    field: &'static str,
) -> Result<T, WireError> {
    T::try_from(number).map_err(|_| WireError::BadValue(field))
}

pub(crate) fn read_code(number: u32) -> Result<Code, WireError> {
    Code::from_number(number).ok_or(WireError::BadValue("code"))
}

pub(crate) const fn generation(id: GenerationId) -> pb::Generation {
    pb::Generation {
        incarnation: id.incarnation.0,
        serial: id.serial,
    }
}

pub(crate) fn read_generation(id: Option<pb::Generation>) -> Result<GenerationId, WireError> {
    let id = id.ok_or(WireError::Missing("generation"))?;
    Ok(GenerationId {
        incarnation: Incarnation(id.incarnation),
        serial: id.serial,
    })
}

/// Defines the conversions of an enum in both directions.
macro_rules! enumeration {
    ($write:ident, $read:ident, $field:literal, $core:ident { $($variant:ident),+ }) => {
        pub(crate) const fn $write(value: $core) -> i32 {
            match value { $($core::$variant => pb::$core::$variant as i32,)+ }
        }

        pub(crate) fn $read(number: i32) -> Result<$core, WireError> {
            match pb::$core::try_from(number) {
                $(Ok(pb::$core::$variant) => Ok($core::$variant),)+
                Ok(pb::$core::Unspecified) | Err(_) => Err(WireError::BadValue($field)),
            }
        }
    };
}

enumeration!(role, read_role, "role", Role { Entry, Agent });
enumeration!(
    priority,
    read_priority,
    "priority",
    Priority { Batch, Interactive }
);
enumeration!(
    member_state,
    read_member_state,
    "state",
    MemberState {
        Alive,
        Suspect,
        Leaving,
        Dead
    }
);
enumeration!(
    standing,
    read_standing,
    "standing",
    Standing {
        Reserved,
        NeverStarted,
        Unknown,
        PartGone,
        Crowded
    }
);
