//! Event ids that tell where a caller left a stream.
//!
//! An id reads `request.incarnation.serial.next.agent`. It is unguessable by
//! its request, and worth nothing to another workspace: the agent compares.

use crate::entry_io::ResumePoint;
use crate::ids::{Name, scan_generation_id, scan_request_id};

/// Longest event id that is read.
pub const MAX_EVENT_ID_BYTES: usize = 256;

/// Writes the id of the event after which `next` comes.
#[must_use]
pub fn event_id(point: &ResumePoint, next: u64) -> String {
    format!(
        "{}.{}.{next}.{}",
        point.request, point.generation, point.agent
    )
}

/// Reads an id written by [`event_id`].
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
        request: scan_request_id(request)?,
        generation: scan_generation_id(&format!("{incarnation}.{serial}"))?,
        agent: Name::from(agent),
        next: next.parse().ok()?,
    })
}
