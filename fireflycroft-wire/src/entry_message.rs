//! Encoding and decoding of messages between direct entries, one per datagram.

use crate::entry_announcement::{announcement, read_announcement};
use crate::error::WireError;
use crate::field::check_count;
use crate::generated as pb;
use crate::limits::MAX_DATAGRAM_BYTES;
use crate::owner_messages::{query, read_query, read_reply, read_report, reply, report};
use fireflycroft::EntryMessage;
use pb::entry_message::Message as Body;
use prost::Message as _;

/// Encodes a message as one datagram.
#[must_use]
pub fn encode_datagram(message: &EntryMessage) -> Vec<u8> {
    let body = match message {
        EntryMessage::Announcement(it) => Body::News(announcement(it)),
        EntryMessage::Report(it) => Body::Report(report(it)),
        EntryMessage::Query(it) => Body::Query(query(it)),
        EntryMessage::Reply(it) => Body::Reply(reply(it)),
    };
    pb::EntryMessage {
        message: Some(body),
    }
    .encode_to_vec()
}

/// Decodes the message of one datagram.
///
/// # Errors
///
/// Fails if the bytes are no valid message.
pub fn decode_datagram(bytes: &[u8]) -> Result<EntryMessage, WireError> {
    check_count(bytes.len(), MAX_DATAGRAM_BYTES, "datagram")?;
    let message = pb::EntryMessage::decode(bytes)?;
    Ok(match message.message {
        Some(Body::News(it)) => EntryMessage::Announcement(Box::new(read_announcement(&it)?)),
        Some(Body::Report(it)) => EntryMessage::Report(read_report(&it)?),
        Some(Body::Query(it)) => EntryMessage::Query(read_query(&it)?),
        Some(Body::Reply(it)) => EntryMessage::Reply(read_reply(&it)?),
        None => return Err(WireError::Missing("datagram.message")),
    })
}
