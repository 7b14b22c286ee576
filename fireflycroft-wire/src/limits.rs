//! Bounds of what is read; the writer keeps to them on its own account.

/// Bytes of one packet.
pub const MAX_PACKET_BYTES: usize = 16 * 1024 * 1024;

/// Messages of one packet.
pub const MAX_BODIES: usize = 4_096;

/// Bytes of a name: process, data centre, brand, workspace, model, service.
pub const MAX_NAME_BYTES: usize = 1_024;

/// Bytes of a text that a caller or an upstream gave: path, header, reason.
pub const MAX_TEXT_BYTES: usize = 64 * 1024;

/// Tokens of one chunk.
pub const MAX_CHUNK_TOKENS: usize = 64 * 1024;

/// Parts of one table of members.
pub const MAX_PARTS: usize = 256;

/// Hashes of records in one message.
pub const MAX_HASHES: usize = 4_096;

/// Member records of one message.
pub const MAX_RECORDS: usize = 256;

/// Models or plain services of one member.
pub const MAX_SERVES: usize = 256;

/// Bytes of one datagram between direct entries.
pub const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
