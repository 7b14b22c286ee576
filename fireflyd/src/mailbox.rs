//! Messages between the fleet's processes, over the push and pull sockets of `nng` on TCP.
//!
//! Each process listens at one address, its mailbox, as a pull socket does, and dials one push
//! socket for each destination. Nothing here waits or retries: a message is dropped and counted
//! when its queue is full or when it isn't sent within [`Limits::max_age`], and the layers above
//! recover from the loss. A message may also be lost with its connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::{Arc, PoisonError, RwLock, Weak};
use std::time::{Duration, Instant};

use anyhow::Context;
use fireflynet::Callers;
use tokio::sync::mpsc;

use crate::inbox::{Inbox, Receiver};
use crate::keyring::{SEAL_LEN, SharedKeyRing};
use crate::link::{Peer, RetiredLink, run_janitor};
use crate::metrics::MailboxMetrics;

/// Largest payload of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Largest sealed message in bytes; longer ones are dropped and counted.
pub const MAX_FRAME_BYTES: usize = MAX_MESSAGE_BYTES + SEAL_LEN;
/// Multiple of [`Limits::idle`] after which a receiver closes a silent connection; its sender has
/// closed it by then.
const RECEIVE_IDLE_FACTOR: u32 = 2;

/// Limits of a mailbox.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most received messages queued for the reader.
    pub inbox: usize,
    /// Most messages queued for one peer.
    pub peer_messages: usize,
    /// Most bytes queued for one peer.
    pub peer_bytes: usize,
    /// Most peers with an open link.
    pub peers: usize,
    /// Age at which an unsent message is dropped.
    pub max_age: Duration,
    /// Time without a message to a peer after which its link is closed.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            inbox: 8192,
            peer_messages: 4096,
            peer_bytes: 8 << 20,
            peers: 2048,
            max_age: Duration::from_secs(2),
            idle: Duration::from_mins(1),
        }
    }
}

/// Sends and receives messages; clones share the sockets, and the last drop closes them.
#[derive(Clone)]
pub struct Mailbox {
    shared: Arc<Shared>,
}

struct Shared {
    inbox: Inbox,
    keys: SharedKeyRing,
    limits: Limits,
    metrics: MailboxMetrics,
    peers: RwLock<HashMap<SocketAddr, Arc<Peer>>>,
    retired: Sender<RetiredLink>,
}

impl Mailbox {
    /// Listens at `listen` (port 0 lets the system choose) and returns the mailbox with the
    /// receiver of its opened messages; `strangers` are the accounts of connections that have
    /// brought no message of the fleet. Receives on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address when it can't be listened on.
    pub fn open(
        listen: SocketAddr,
        keys: SharedKeyRing,
        limits: Limits,
        metrics: MailboxMetrics,
        strangers: Callers,
    ) -> anyhow::Result<(Self, mpsc::Receiver<Vec<u8>>)> {
        let (tx, rx) = mpsc::channel(limits.inbox);
        let receiver = Receiver {
            keys: keys.clone(),
            metrics: metrics.clone(),
            strangers,
            idle: RECEIVE_IDLE_FACTOR * limits.idle,
            tx,
        };
        let inbox = Inbox::listen(listen, receiver).with_context(|| format!("mailbox {listen}"))?;
        let (retired, retired_rx) = std::sync::mpsc::channel();
        let shared = Arc::new(Shared {
            inbox,
            keys,
            limits,
            metrics,
            peers: RwLock::default(),
            retired,
        });
        let weak = Arc::downgrade(&shared);
        std::thread::Builder::new()
            .name("mailbox-janitor".to_owned())
            .spawn(move || run_janitor(&retired_rx, sweep_period(limits), || close_idle(&weak)))?;
        Ok((Self { shared }, rx))
    }

    /// Returns the listening address with the actual port.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.shared.inbox.local_addr()
    }

    /// Queues `payload` for the mailbox at `to` without waiting.
    ///
    /// Drops and counts it when a limit is reached.
    pub fn send(&self, to: SocketAddr, mut payload: Vec<u8>) {
        if payload.len() > MAX_MESSAGE_BYTES {
            self.shared.count_drop("too_long");
            return;
        }
        self.shared.keys.get().seal(&mut payload);
        match self.shared.peer(to) {
            Some(peer) => peer.push(payload),
            None => self.shared.count_drop("too_many_peers"),
        }
    }
}

impl Shared {
    fn count_drop(&self, cause: &str) {
        self.metrics.dropped.with_label_values(&[cause]).inc();
    }

    /// Returns the peer at `to`, created if new; `None` when there are too many.
    fn peer(&self, to: SocketAddr) -> Option<Arc<Peer>> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peers.get(&to) {
            return Some(Arc::clone(peer));
        }
        drop(peers);
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        if peers.len() >= self.limits.peers && !peers.contains_key(&to) {
            return None;
        }
        let peer = peers
            .entry(to)
            .or_insert_with(|| Arc::new(self.new_peer(to)));
        Some(Arc::clone(peer))
    }

    fn new_peer(&self, to: SocketAddr) -> Peer {
        Peer::new(to, self.limits, self.metrics.clone(), self.retired.clone())
    }

    /// Removes the peers that have been idle for [`Limits::idle`].
    fn close_idle(&self, now: Instant) {
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|_, peer| !peer.is_idle(now));
    }
}

fn sweep_period(limits: Limits) -> Duration {
    (limits.idle / 4).max(Duration::from_millis(10))
}

fn close_idle(shared: &Weak<Shared>) {
    if let Some(shared) = shared.upgrade() {
        shared.close_idle(Instant::now());
    }
}
