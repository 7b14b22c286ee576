//! Messages between the fleet's own processes, over `nng` push and pull sockets on TCP.
//!
//! Each process has one listening pull socket, its mailbox, and dials one push socket for each
//! address it sends to. Nothing here waits or retries: a message that finds its queue full, or
//! that no link has taken within [`Limits::max_age`], is dropped and counted, and the layers above
//! recover from the loss. A message may also be lost with the connection that carried it.
//!
//! No task stands behind a peer. The queue of a peer has at most one message in the hands of
//! `nng`, and the completion of that one hands over the next.
//!
//! Sockets are closed in a fixed order, see [`stop`]: this `nng` accepts an operation on a socket
//! that is being closed, forgets it, and later touches the freed socket when its timeout comes.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak};
use std::time::{Duration, Instant};

use anyhow::Context;
use nng::options::transport::tcp::BoundPort;
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize};
use nng::{Aio, AioResult, Listener, Protocol, Socket};
use tokio::sync::mpsc;

use crate::keyring::{SEAL_LEN, SharedKeyRing};
use crate::metrics::MailboxMetrics;

/// Largest payload of a message in bytes.
pub const MAX_MESSAGE: usize = 1 << 20;
/// Largest sealed message in bytes; a longer one is dropped and counted.
pub const MAX_FRAME: usize = MAX_MESSAGE + SEAL_LEN;
/// Length in bytes from which `nng` cuts the connection instead of reading on.
///
/// It lies above [`MAX_FRAME`], so that a slightly longer frame is counted and costs its sender
/// no connection.
const CUT_FRAME: usize = 2 * MAX_FRAME;
/// First wait before a lost connection is dialled again.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
/// Longest wait before a lost connection is dialled again.
const RECONNECT_MAX: Duration = Duration::from_secs(1);

/// Bounds of a mailbox.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Received messages waiting for the reader.
    pub inbox: usize,
    /// Messages waiting for one peer.
    pub peer_messages: usize,
    /// Bytes waiting for one peer.
    pub peer_bytes: usize,
    /// Peers with an open link.
    pub peers: usize,
    /// Age at which a message that no link has taken is dropped.
    pub max_age: Duration,
    /// Time without a send after which a peer's link is closed.
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

/// The process's end of all links; cloning shares it, the last drop closes every link.
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
    _inbox: Inbox,
}

impl Mailbox {
    /// Listens at `listen` (port 0 lets the system choose) and gives the opened messages.
    ///
    /// Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// An error that names the address when it can't be listened on.
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
        let shared = Arc::new(Shared {
            local: SocketAddr::new(listen.ip(), port),
            keys,
            limits,
            metrics,
            peers: RwLock::default(),
            _inbox: inbox,
        });
        tokio::spawn(close_idle_peers(Arc::downgrade(&shared), limits.idle));
        Ok((Self { shared }, rx))
    }

    /// The address listened on, with the port in force.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.shared.local
    }

    /// Queues `payload` for the mailbox at `to`; never waits.
    ///
    /// Drops and counts it when a bound is met.
    pub fn send(&self, to: SocketAddr, mut payload: Vec<u8>) {
        if payload.len() > MAX_MESSAGE {
            self.shared.count_drop("too_long");
            return;
        }
        self.shared.keys.get().seal(&mut payload);
        match self.shared.peer(to) {
            Ok(Some(peer)) => peer.push(payload),
            Ok(None) => self.shared.count_drop("too_many_peers"),
            Err(e) => {
                log::warn!(event = "mailbox_dial_failed", peer:% = to, cause:% = e; "");
                self.shared.count_drop("link");
            }
        }
    }
}

impl Shared {
    fn count_drop(&self, cause: &str) {
        self.metrics.dropped.with_label_values(&[cause]).inc();
    }

    /// The peer at `to`, dialled when new; `None` when there are too many.
    fn peer(&self, to: SocketAddr) -> nng::Result<Option<Arc<Peer>>> {
        let peers = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peers.get(&to) {
            return Ok(Some(Arc::clone(peer)));
        }
        drop(peers);
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peers.get(&to) {
            return Ok(Some(Arc::clone(peer)));
        }
        if peers.len() >= self.limits.peers {
            return Ok(None);
        }
        let peer = Arc::new(Peer::dial(to, self.limits, self.metrics.clone())?);
        peers.insert(to, Arc::clone(&peer));
        Ok(Some(peer))
    }

    /// Takes out the peers without a send for the idle time; closing them may block.
    fn take_idle(&self, now: Instant) -> Vec<Arc<Peer>> {
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers
            .extract_if(|_, peer| peer.outbox.is_idle(now))
            .map(|(_, peer)| peer)
            .collect()
    }
}

async fn close_idle_peers(shared: Weak<Shared>, idle: Duration) {
    let mut ticks = tokio::time::interval((idle / 4).max(Duration::from_millis(10)));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let idle = shared.take_idle(Instant::now());
        // Closing a socket waits for its callbacks, and so does the last mailbox's drop.
        let closed = tokio::task::spawn_blocking(move || drop((idle, shared))).await;
        if closed.is_err() {
            return;
        }
    }
}

/// What becomes of a received frame.
struct Reader {
    keys: SharedKeyRing,
    metrics: MailboxMetrics,
    tx: mpsc::Sender<Vec<u8>>,
}

impl Reader {
    fn take(&self, frame: &[u8]) {
        if frame.len() > MAX_FRAME {
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

/// Lets operations on a socket begin until it is shut.
struct Gate {
    open: Mutex<bool>,
}

impl Gate {
    fn new() -> Self {
        Self {
            open: Mutex::new(true),
        }
    }

    /// Begins an operation, or answers as a closed socket does.
    fn begin(&self, start: impl FnOnce() -> nng::Result<()>) -> nng::Result<()> {
        // Held until the operation can be cancelled.
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if *open {
            start()
        } else {
            Err(nng::Error::Closed)
        }
    }

    fn shut(&self) {
        *self.open.lock().unwrap_or_else(PoisonError::into_inner) = false;
    }
}

/// Ends the operations of `aio`, frees it, and only then closes its socket.
///
/// Waits for the callback, so it must not be called from one.
fn stop(gate: &Gate, aio: Option<Aio>, socket: &Socket) {
    gate.shut();
    if let Some(aio) = aio {
        aio.cancel();
        aio.wait();
        // Freeing waits for a timeout that is just being dealt with.
        drop(aio);
    }
    socket.close();
}

/// The listening socket; its drop closes it and waits for the callback.
struct Inbox {
    source: Arc<Source>,
    /// Present until the drop.
    aio: Option<Aio>,
    listener: Listener,
}

/// What the callback of the inbox works on.
struct Source {
    socket: Socket,
    gate: Gate,
    reader: Reader,
}

impl Inbox {
    fn listen(addr: SocketAddr, reader: Reader) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Pull0)?;
        socket.set_opt::<RecvMaxSize>(CUT_FRAME)?;
        let source = Arc::new(Source {
            socket,
            gate: Gate::new(),
            reader,
        });
        let weak = Arc::downgrade(&source);
        let aio = Aio::new(move |aio, res| {
            if let Some(source) = weak.upgrade() {
                source.on_received(&aio, &res);
            }
        })?;
        let listener = Listener::new(&source.socket, &url(addr))?;
        source.receive(&aio)?;
        Ok(Self {
            source,
            aio: Some(aio),
            listener,
        })
    }
}

impl Drop for Inbox {
    fn drop(&mut self) {
        stop(&self.source.gate, self.aio.take(), &self.source.socket);
    }
}

impl Source {
    fn receive(&self, aio: &Aio) -> nng::Result<()> {
        self.gate.begin(|| self.socket.recv_async(aio))
    }

    fn on_received(&self, aio: &Aio, res: &AioResult) {
        match res {
            AioResult::Recv(Ok(msg)) => self.reader.take(msg.as_slice()),
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

/// The link to one peer; its drop closes it and waits for the callback.
struct Peer {
    outbox: Arc<Outbox>,
    /// Present until the drop.
    aio: Option<Aio>,
}

impl Peer {
    fn dial(to: SocketAddr, limits: Limits, metrics: MailboxMetrics) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        socket.dial_async(&url(to))?;
        let outbox = Arc::new(Outbox {
            socket,
            gate: Gate::new(),
            limits,
            metrics,
            in_flight: AtomicUsize::new(0),
            queue: Mutex::new(Queue::new()),
        });
        // A strong reference would keep the outbox, and with it the socket, for ever.
        let weak = Arc::downgrade(&outbox);
        let aio = Aio::new(move |aio, res| {
            if let Some(outbox) = weak.upgrade() {
                outbox.on_sent(&aio, &res);
            }
        })?;
        outbox.metrics.peers.inc();
        Ok(Self {
            outbox,
            aio: Some(aio),
        })
    }

    fn push(&self, frame: Vec<u8>) {
        let must_hand_over = self.outbox.push(frame);
        if let Some(aio) = self.aio.as_ref().filter(|_| must_hand_over) {
            self.outbox.hand_over(aio);
        }
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        stop(&self.outbox.gate, self.aio.take(), &self.outbox.socket);
        self.outbox.metrics.peers.dec();
    }
}

/// A peer's socket and the frames that wait for it.
struct Outbox {
    socket: Socket,
    gate: Gate,
    limits: Limits,
    metrics: MailboxMetrics,
    /// Length of the frame in the hands of `nng`.
    in_flight: AtomicUsize,
    queue: Mutex<Queue>,
}

struct Queue {
    frames: VecDeque<Waiting>,
    bytes: usize,
    /// Whether a frame is in the hands of `nng` or about to be.
    busy: bool,
    last_push: Instant,
}

struct Waiting {
    since: Instant,
    frame: Vec<u8>,
}

impl Queue {
    fn new() -> Self {
        Self {
            frames: VecDeque::new(),
            bytes: 0,
            busy: false,
            last_push: Instant::now(),
        }
    }

    fn pop(&mut self) -> Option<Waiting> {
        let next = self.frames.pop_front();
        self.bytes -= next.as_ref().map_or(0, |w| w.frame.len());
        self.busy = next.is_some();
        next
    }
}

impl Outbox {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_drop(&self, cause: &str) {
        self.metrics.dropped.with_label_values(&[cause]).inc();
    }

    fn is_idle(&self, now: Instant) -> bool {
        let queue = self.queue();
        !queue.busy && now.duration_since(queue.last_push) >= self.limits.idle
    }

    /// Queues a frame; true when the caller must hand it over.
    fn push(&self, frame: Vec<u8>) -> bool {
        let mut queue = self.queue();
        let since = Instant::now();
        queue.last_push = since;
        let full = queue.frames.len() >= self.limits.peer_messages
            || queue.bytes + frame.len() > self.limits.peer_bytes;
        if full {
            drop(queue);
            self.count_drop("queue_full");
            return false;
        }
        queue.bytes += frame.len();
        queue.frames.push_back(Waiting { since, frame });
        !std::mem::replace(&mut queue.busy, true)
    }

    /// Gives the next frame that is young enough to `nng`; the queue lock is not held meanwhile.
    fn hand_over(&self, aio: &Aio) {
        loop {
            let Some(next) = self.queue().pop() else {
                return;
            };
            let left = self.limits.max_age.saturating_sub(next.since.elapsed());
            if left.is_zero() {
                self.count_drop("too_old");
                continue;
            }
            match self.start_send(aio, &next.frame, left) {
                Ok(()) | Err(nng::Error::Closed) => return,
                Err(_) => self.count_drop("link"),
            }
        }
    }

    fn start_send(&self, aio: &Aio, frame: &[u8], left: Duration) -> nng::Result<()> {
        aio.set_timeout(Some(left))?;
        self.in_flight.store(frame.len(), Ordering::Relaxed);
        self.gate
            .begin(|| self.socket.send_async(aio, frame).map_err(|(_, e)| e))
    }

    fn on_sent(&self, aio: &Aio, res: &AioResult) {
        match res {
            AioResult::Send(Ok(())) => {
                let len = self.in_flight.load(Ordering::Relaxed);
                self.metrics.sent.inc();
                self.metrics.sent_bytes.inc_by(len as u64);
            }
            AioResult::Send(Err((_, nng::Error::Closed | nng::Error::Canceled))) => return,
            AioResult::Send(Err((_, nng::Error::TimedOut))) => self.count_drop("too_old"),
            AioResult::Send(Err(_)) => self.count_drop("link"),
            AioResult::Recv(_) | AioResult::Sleep(_) => {}
        }
        self.hand_over(aio);
    }
}

fn url(addr: SocketAddr) -> String {
    format!("tcp://{addr}")
}
