//! Limits enforced by the decoder; the encoder's callers keep to them themselves.

/// Maximum size of a packet in bytes.
pub const MAX_PACKET_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of messages in a packet.
pub const MAX_BODIES: usize = 4_096;

pub use fireflycroft::MAX_NAME_BYTES;

/// Maximum size in bytes of a text given by a caller or an upstream: path, header, reason.
pub const MAX_TEXT_BYTES: usize = 64 * 1024;

/// Maximum number of tokens in a chunk.
pub const MAX_CHUNK_TOKENS: usize = 64 * 1024;

/// Maximum number of parts of a member table.
pub const MAX_PARTS: usize = 256;

/// Maximum number of record hashes in a message.
pub const MAX_HASHES: usize = 4_096;

/// Maximum number of member records in a message, and of items in an owner's message.
pub const MAX_RECORDS: usize = 256;

/// Maximum number of models or plain services of a member.
pub const MAX_SERVES: usize = 256;

/// Maximum size in bytes of a datagram between direct entries, as much as one over IPv4 holds.
pub const MAX_DATAGRAM_BYTES: usize = 65_507;
