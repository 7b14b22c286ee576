//! Which connections of callers stay open as memory or descriptors run short.
//!
//! The load is clients that no limit binds: many large bodies that stop just short of their end, heads without an end,
//! answers that nobody reads, connections that send nothing. A server that only turned newcomers away would be closed
//! to ordinary callers for as long as such clients stay, so those who hold most for longest give way first:
//!
//! - for memory, the connection with the largest product of bytes and time, among those that nothing runs for; a caller
//!   who sends a body without pause has held it for the shortest time;
//! - for descriptors, the longest idle connection, then the longest in its head, then the longest whose answer isn't
//!   read, then the longest in its body.
//!
//! What a connection holds is what its buffers cost, not what they carry. A request that is being served is never
//! given up, unless its caller doesn't read the answer.

use crate::connection_limits::{CONNECTION_BYTES, ConnectionLimits, Purpose};
use crate::time::{Time, whole_millis};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of a connection, unique in its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a connection does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Between two requests.
    Idle,
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving; nothing has been decided about it.
    Body,
    /// A request is being served.
    Busy,
}

/// Connection that gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The connection.
    pub id: ConnectionId,
    /// What it did.
    pub phase: Phase,
    /// Bytes that it held.
    pub bytes: u64,
    /// Time for which it did that.
    pub age: Duration,
}

/// Outcome of a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Whether the bytes are reserved.
    pub is_granted: bool,
    /// Connections that have to give way; their bytes count as released.
    pub evictions: Vec<Eviction>,
}

/// Outcome of an attempt to open a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opening {
    /// The new connection; `None` if it has to be closed at once.
    pub id: Option<ConnectionId>,
    /// Connections that have to be closed for it.
    pub evictions: Vec<Eviction>,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    /// Beginning of the phase.
    since: Time,
    /// Time since which its caller takes nothing of what is to be written.
    blocked_since: Option<Time>,
    bytes: u64,
    is_evicted: bool,
}

impl Connection {
    /// Returns the time since which it keeps others from what it holds; `None` while a request is served.
    fn evictable_since(&self) -> Option<Time> {
        match self.phase {
            _ if self.is_evicted => None,
            Phase::Idle | Phase::Head | Phase::Body => Some(self.since),
            Phase::Busy => self.blocked_since,
        }
    }

    /// Returns bytes times milliseconds, were it to hold `bytes`.
    fn cost(since: Time, now: Time, bytes: u64) -> u128 {
        let held_for = u128::from(whole_millis(now.since(since))) + 1;
        u128::from(bytes) * held_for
    }

    /// Returns the order in which connections are closed for their descriptors: by rank, then by age.
    fn closing_order(&self) -> Option<(u8, Time)> {
        let since = self.evictable_since()?;
        let rank = match (self.phase, self.blocked_since) {
            (Phase::Idle, None) => 0,
            (Phase::Head, _) => 1,
            (_, Some(_)) => 2,
            (Phase::Body | Phase::Busy, None) => 3,
        };
        Some((rank, self.blocked_since.unwrap_or(since)))
    }
}

/// Open connections of one server, and what they hold.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Bytes held by connections that aren't evicted.
    held: u64,
    /// Number of evicted connections that aren't closed yet.
    evicted: usize,
    last_id: u64,
}

impl ConnectionTable {
    /// Creates a table without connections.
    #[must_use]
    pub const fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            held: 0,
            evicted: 0,
            last_id: 0,
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Returns the bytes held, without those of evicted connections.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    /// Opens a connection, for which others may have to be closed.
    pub fn open(&mut self, now: Time) -> Opening {
        let mut evictions = Vec::new();
        if self.connections.len() - self.evicted >= self.limits.connections {
            let Some(eviction) = self.evict_for_descriptor(now) else {
                return Opening {
                    id: None,
                    evictions,
                };
            };
            evictions.push(eviction);
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let connection = Connection {
            phase: Phase::Idle,
            since: now,
            blocked_since: None,
            bytes: 0,
            is_evicted: false,
        };
        self.connections.insert(id, connection);
        let reserved = self.reserve(now, id, CONNECTION_BYTES, Purpose::Input);
        evictions.extend(reserved.evictions);
        if !reserved.is_granted {
            self.close(id);
        }
        Opening {
            id: reserved.is_granted.then_some(id),
            evictions,
        }
    }

    /// Removes a closed connection.
    pub fn close(&mut self, id: ConnectionId) {
        match self.connections.remove(&id) {
            Some(connection) if connection.is_evicted => self.evicted -= 1,
            Some(connection) => self.held -= connection.bytes,
            None => {}
        }
    }

    /// Records that a connection begins something else.
    pub fn set_phase(&mut self, now: Time, id: ConnectionId, phase: Phase) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.phase = phase;
            connection.since = now;
        }
    }

    /// Records whether the caller takes what is to be written.
    pub fn set_blocked(&mut self, now: Time, id: ConnectionId, is_blocked: bool) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.blocked_since = is_blocked.then_some(now);
        }
    }

    /// Counts an evicted connection again, whose request was refused instead.
    pub fn readmit(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id)
            && connection.is_evicted
        {
            connection.is_evicted = false;
            self.evicted -= 1;
            self.held += connection.bytes;
        }
    }

    /// Reserves bytes for a connection, for which others may have to give way.
    ///
    /// A connection whose own cost would be the greatest gets nothing.
    pub fn reserve(
        &mut self,
        now: Time,
        id: ConnectionId,
        bytes: u64,
        purpose: Purpose,
    ) -> Reservation {
        let mut evictions = Vec::new();
        let Some(connection) = self.connections.get(&id).filter(|c| !c.is_evicted) else {
            return Reservation {
                is_granted: false,
                evictions,
            };
        };
        let with_bytes = connection.bytes + bytes;
        let own_cost = connection
            .evictable_since()
            .map(|since| Connection::cost(since, now, with_bytes));
        let limit = self.limits.memory_for(purpose, with_bytes);
        while self.held + bytes > limit {
            let Some(eviction) = self.evict_for_memory(now, id, own_cost) else {
                break;
            };
            evictions.push(eviction);
        }
        let is_granted = self.held + bytes <= limit;
        if is_granted && let Some(connection) = self.connections.get_mut(&id) {
            connection.bytes = with_bytes;
            self.held += bytes;
        }
        Reservation {
            is_granted,
            evictions,
        }
    }

    /// Returns reserved bytes.
    pub fn release(&mut self, id: ConnectionId, bytes: u64) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.bytes -= bytes;
        if !connection.is_evicted {
            self.held -= bytes;
        }
    }

    /// Evicts the connection with the greatest cost, other than `id`, if it is above `own_cost`.
    fn evict_for_memory(
        &mut self,
        now: Time,
        id: ConnectionId,
        own_cost: Option<u128>,
    ) -> Option<Eviction> {
        let costs = self.connections.iter().filter_map(|(other, connection)| {
            let since = connection.evictable_since()?;
            Some((Connection::cost(since, now, connection.bytes), *other))
        });
        let (cost, victim) = costs.filter(|(_, other)| *other != id).max()?;
        if own_cost.is_some_and(|own| own >= cost) {
            return None;
        }
        self.evict(now, victim)
    }

    fn evict_for_descriptor(&mut self, now: Time) -> Option<Eviction> {
        let orders = self.connections.iter();
        let orders = orders.filter_map(|(id, connection)| Some((connection.closing_order()?, *id)));
        let (_, victim) = orders.min()?;
        self.evict(now, victim)
    }

    fn evict(&mut self, now: Time, id: ConnectionId) -> Option<Eviction> {
        let connection = self.connections.get_mut(&id)?;
        connection.is_evicted = true;
        self.evicted += 1;
        self.held -= connection.bytes;
        let since = connection.blocked_since.unwrap_or(connection.since);
        Some(Eviction {
            id,
            phase: connection.phase,
            bytes: connection.bytes,
            age: now.since(since),
        })
    }
}
