//! Event identifiers that locate the position of a caller in a stream.
//!
//! An identifier has the form `request.incarnation.serial.next.agent`. Its request part makes it
//! unguessable, and it is useless to another workspace, because the agent compares the workspaces.

use crate::entry_io::ResumePoint;
use crate::ids::{Name, parse_generation_id, parse_request_id};

/// Maximum length of an event identifier in bytes.
pub const MAX_EVENT_ID_BYTES: usize = 256;

/// Formats the identifier of the event that precedes `next`.
#[must_use]
pub fn event_id(point: &ResumePoint, next: u64) -> String {
    format!(
        "{}.{}.{next}.{}",
        point.request, point.generation, point.agent
    )
}

/// Parses an identifier written by [`event_id`].
#[must_use]
pub fn parse_event_id(text: &str) -> Option<ResumePoint> {
    if text.len() > MAX_EVENT_ID_BYTES {
        return None;
    }
    let (request, rest) = text.split_once('.')?;
    let (incarnation, rest) = rest.split_once('.')?;
    let (serial, rest) = rest.split_once('.')?;
    let (next, agent) = rest.split_once('.')?;
    Some(ResumePoint {
        request: parse_request_id(request)?,
        generation: parse_generation_id(&format!("{incarnation}.{serial}"))?,
        agent: Name::from(agent),
        next: next.parse().ok()?,
    })
}
