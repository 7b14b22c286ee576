//! Share of a VM's memory and descriptors that callers' connections may use.
//!
//! The rest belongs to what serves them: connections to upstreams, the store and peers, and the state of the fleet.

/// Size in bytes of the kernel's receive buffer of a connection, which doubles it; it counts as memory of the VM.
pub const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Size in bytes of the kernel's send buffer of a connection: small enough that a caller who reads nothing soon shows.
pub const SEND_BUFFER_BYTES: u32 = 64 << 10;

/// Size in bytes of a connection's read buffer before it grows.
pub const READ_BUFFER_BYTES: u64 = 8 << 10;

/// Size in bytes of an idle connection: its read buffer, as much again for writing, and the kernel's receive buffer.
pub const CONNECTION_BYTES: u64 = 2 * (READ_BUFFER_BYTES + RECEIVE_BUFFER_BYTES as u64);

/// Size in bytes of a request in service besides its body: what waits to be written, and its connection to an upstream.
pub const CALL_BYTES: u64 = 48 << 10;

/// Largest request body or answer that counts as small, in bytes.
pub const SMALL_BYTES: u64 = 64 << 10;

/// Memory of a VM that isn't known, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 256 << 20;

/// Descriptors of a VM that aren't known.
const DEFAULT_DESCRIPTORS: usize = 4_096;

/// Descriptors of a VM that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;

/// Divisor of the VM's memory that gives the part for callers.
const CALLER_MEMORY_DIVISOR: u64 = 2;

/// Divisors of the VM's memory and sockets that give the parts for a server of pages.
const PAGE_MEMORY_DIVISOR: u64 = 8;
const PAGE_SOCKET_DIVISOR: usize = 16;

/// Fewest connections of any server.
const MIN_CONNECTIONS: usize = 16;

/// Divisor of the VM's memory that gives the largest answer of the store or of another entry.
const FLEET_ANSWER_DIVISOR: u64 = 8;

/// Least bound of such an answer, in bytes: some pages of a list.
const MIN_FLEET_ANSWER_BYTES: u64 = 4 << 20;

/// Largest answer of an upstream to an entry's own call, in bytes: a report names hundreds of runs.
pub const MAX_OWN_ANSWER_BYTES: usize = 1 << 20;

/// Returns the size in bytes of the largest answer of the store or of another entry that a VM with so much memory reads.
#[must_use]
pub fn max_fleet_answer(memory: Option<u64>) -> usize {
    let share = memory.unwrap_or(DEFAULT_MEMORY_BYTES) / FLEET_ANSWER_DIVISOR;
    usize::try_from(share.max(MIN_FLEET_ANSWER_BYTES)).unwrap_or(usize::MAX)
}

/// What the connections of one server may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Memory in bytes.
    pub memory: u64,
    /// Connections.
    pub connections: usize,
}

/// What a reservation of memory is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Bytes that a caller sends; refused first as memory runs short.
    Input,
    /// An answer, whose request has run.
    Answer,
}

impl ConnectionLimits {
    /// Returns the limits for callers on a VM with so much memory in bytes and so many descriptors, if they are known.
    #[must_use]
    pub fn for_callers(memory: Option<u64>, descriptors: Option<usize>) -> Self {
        let sockets = sockets(descriptors);
        Self {
            memory: memory.unwrap_or(DEFAULT_MEMORY_BYTES) / CALLER_MEMORY_DIVISOR,
            connections: (sockets / 8 * 5).max(MIN_CONNECTIONS),
        }
    }

    /// Returns the limits for a server of pages for operators, peers or the balancer on such a VM.
    #[must_use]
    pub fn for_pages(memory: Option<u64>, descriptors: Option<usize>) -> Self {
        Self {
            memory: memory.unwrap_or(DEFAULT_MEMORY_BYTES) / PAGE_MEMORY_DIVISOR,
            connections: (sockets(descriptors) / PAGE_SOCKET_DIVISOR).max(MIN_CONNECTIONS),
        }
    }

    /// Returns the memory up to which a reservation is granted to a connection that then holds `held` bytes.
    ///
    /// Large bodies get half, so that small ones always find room, and all input less than answers do.
    #[must_use]
    pub const fn memory_for(&self, purpose: Purpose, held: u64) -> u64 {
        let is_small = held <= CONNECTION_BYTES + CALL_BYTES + SMALL_BYTES;
        match purpose {
            Purpose::Input if is_small => self.memory / 4 * 3,
            Purpose::Input => self.memory / 2,
            Purpose::Answer if is_small => self.memory,
            Purpose::Answer => self.memory / 8 * 7,
        }
    }
}

fn sockets(descriptors: Option<usize>) -> usize {
    let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
    descriptors.saturating_sub(FILE_DESCRIPTORS)
}
