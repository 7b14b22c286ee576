//! Messages between the fleet's processes, over `nng` push and pull sockets on TCP.
//!
//! Each process listens on one pull socket, its mailbox, and dials one push socket for each
//! destination. Nothing here waits or retries: a message is dropped and counted when its queue is
//! full or when it isn't sent within [`Limits::max_age`], and the layers above recover from the
//! loss. A message may also be lost with its connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError, RwLock, Weak};
use std::time::{Duration, Instant};

use anyhow::Context;
use nng::options::transport::tcp::BoundPort;
use nng::options::{Options, RecvMaxSize};
use nng::{Aio, AioResult, Listener, Protocol, Socket};
use tokio::sync::mpsc;

use crate::keyring::{SEAL_LEN, SharedKeyRing};
use crate::link::{Peer, RetiredLink, run_janitor, stop};
use crate::metrics::MailboxMetrics;

/// Largest payload of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Largest sealed message in bytes; longer ones are dropped and counted.
pub const MAX_FRAME_BYTES: usize = MAX_MESSAGE_BYTES + SEAL_LEN;
/// Receive limit in bytes beyond which `nng` closes the connection.
///
/// It is above [`MAX_FRAME_BYTES`], so that a slightly longer frame is counted and doesn't cost
/// its sender the connection.
const DISCONNECT_FRAME_BYTES: usize = 2 * MAX_FRAME_BYTES;
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
    local: SocketAddr,
    keys: SharedKeyRing,
    limits: Limits,
    metrics: MailboxMetrics,
    peers: RwLock<HashMap<SocketAddr, Arc<Peer>>>,
    retired: Sender<RetiredLink>,
    _inbox: Inbox,
}

impl Mailbox {
    /// Listens at `listen` (port 0 lets the system choose) and returns the mailbox with the
    /// receiver of its opened messages.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address when it can't be listened on.
    pub fn open(
        listen: SocketAddr,
        keys: SharedKeyRing,
        limits: Limits,
        metrics: MailboxMetrics,
    ) -> anyhow::Result<(Self, mpsc::Receiver<Vec<u8>>)> {
        let (tx, rx) = mpsc::channel(limits.inbox);
        let reader = Reader {
            keys: keys.clone(),
            metrics: metrics.clone(),
            tx,
        };
        let inbox = Inbox::listen(listen, reader).with_context(|| format!("mailbox {listen}"))?;
        let port = inbox.listener.get_opt::<BoundPort>()?;
        let (retired, retired_rx) = std::sync::mpsc::channel();
        let shared = Arc::new(Shared {
            local: SocketAddr::new(listen.ip(), port),
            keys,
            limits,
            metrics,
            peers: RwLock::default(),
            retired,
            _inbox: inbox,
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
        self.shared.local
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

/// Opens received frames and queues their payloads.
struct Reader {
    keys: SharedKeyRing,
    metrics: MailboxMetrics,
    tx: mpsc::Sender<Vec<u8>>,
}

impl Reader {
    fn on_frame(&self, frame: &[u8]) {
        if frame.len() > MAX_FRAME_BYTES {
            self.metrics.dropped.with_label_values(&["too_long"]).inc();
            return;
        }
        let Ok(payload) = self.keys.get().open(frame).map(<[u8]>::to_vec) else {
            self.metrics.refused_seal.inc();
            return;
        };
        self.metrics.received.inc();
        self.metrics.received_bytes.inc_by(frame.len() as u64);
        if self.tx.try_send(payload).is_err() {
            self.metrics
                .dropped
                .with_label_values(&["inbox_full"])
                .inc();
        }
    }
}

/// Guards a socket: no operation starts after it is closed.
struct Gate {
    open: Mutex<bool>,
}

impl Gate {
    fn new() -> Self {
        Self {
            open: Mutex::new(true),
        }
    }

    /// Starts an operation, or fails with `Closed`.
    fn begin(&self, start: impl FnOnce() -> nng::Result<()>) -> nng::Result<()> {
        // The lock is held until the operation can be cancelled.
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if *open {
            start()
        } else {
            Err(nng::Error::Closed)
        }
    }

    fn close(&self) {
        *self.open.lock().unwrap_or_else(PoisonError::into_inner) = false;
    }
}

/// Listening socket; dropping it waits for its callback and closes it.
struct Inbox {
    state: Arc<InboxState>,
    /// `Some` until the drop.
    aio: Option<Aio>,
    listener: Listener,
}

/// State used by the callback of the inbox.
struct InboxState {
    socket: Socket,
    gate: Gate,
    reader: Reader,
}

impl Inbox {
    fn listen(addr: SocketAddr, reader: Reader) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Pull0)?;
        socket.set_opt::<RecvMaxSize>(DISCONNECT_FRAME_BYTES)?;
        let state = Arc::new(InboxState {
            socket,
            gate: Gate::new(),
            reader,
        });
        let weak = Arc::downgrade(&state);
        let aio = Aio::new(move |aio, res| {
            if let Some(state) = weak.upgrade() {
                state.on_received(&aio, &res);
            }
        })?;
        let listener = Listener::new(&state.socket, &url(addr))?;
        state.receive(&aio)?;
        Ok(Self {
            state,
            aio: Some(aio),
            listener,
        })
    }
}

impl Drop for Inbox {
    fn drop(&mut self) {
        self.state.gate.close();
        if let Some(aio) = self.aio.take() {
            stop(aio, &self.state.socket);
        }
    }
}

impl InboxState {
    fn receive(&self, aio: &Aio) -> nng::Result<()> {
        self.gate.begin(|| self.socket.recv_async(aio))
    }

    fn on_received(&self, aio: &Aio, res: &AioResult) {
        match res {
            AioResult::Recv(Ok(msg)) => self.reader.on_frame(msg.as_slice()),
            AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) => return,
            AioResult::Recv(Err(e)) => {
                log::warn!(event = "mailbox_receive_failed", cause:% = e; "");
            }
            AioResult::Send(_) | AioResult::Sleep(_) => {}
        }
        match self.receive(aio) {
            Ok(()) | Err(nng::Error::Closed) => {}
            Err(e) => log::error!(event = "mailbox_receive_ended", cause:% = e; ""),
        }
    }
}

fn url(addr: SocketAddr) -> String {
    format!("tcp://{addr}")
}
