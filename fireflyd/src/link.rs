//! The sending side of the mailbox: one queue and one `nng` push socket for each peer.
//!
//! No task stands behind a peer. At most one frame is in the hands of `nng`, and the completion of
//! that one hands over the next.
//!
//! The push socket of this `nng` release has two faults that would touch freed memory, and the
//! code is laid out to stay clear of them:
//!
//! - A connection that ends just as a send completes may stay in the socket's list of ready
//!   connections after it is freed. So a socket serves one connection only: the notice of its end,
//!   which comes before it is freed, takes the socket out of use and closes the dialer.
//! - A send that begins while the socket is closed is forgotten, until its timeout finds the
//!   socket gone. So a send begins only under the lock that holds the socket, and a socket that
//!   was taken out is closed only when its operation has been cancelled and freed.
//!
//! Closing waits for callbacks, so it is never done in one: a thread of the mailbox does it, see
//! [`run_janitor`].

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime};
use nng::{Aio, AioResult, Pipe, PipeEvent, Protocol, Socket};

use crate::mailbox::Limits;
use crate::metrics::MailboxMetrics;

/// First wait before a refused connection is dialled again.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
/// Longest wait before a refused connection is dialled again.
const RECONNECT_MAX: Duration = Duration::from_secs(1);
/// Wait before a connection that ended is replaced.
const REPLACE_DELAY: Duration = Duration::from_millis(50);

/// A link taken out of use, for the janitor.
pub(crate) struct RetiredLink {
    peer: Weak<Peer>,
    link: Option<Link>,
}

/// An address sent to, with the frames that wait for it.
pub(crate) struct Peer {
    to: SocketAddr,
    limits: Limits,
    metrics: MailboxMetrics,
    retired: Sender<RetiredLink>,
    state: Mutex<State>,
}

struct State {
    frames: VecDeque<QueuedFrame>,
    /// Length of all waiting frames.
    bytes: usize,
    /// Length of the frame in the hands of `nng`, if there is one.
    in_flight: Option<usize>,
    last_push: Instant,
    link: Option<Link>,
    /// Number of the newest link.
    serial: u64,
    /// Whether the janitor is to look for a new link.
    reconnecting: bool,
}

struct QueuedFrame {
    queued_at: Instant,
    frame: Vec<u8>,
}

impl State {
    fn pop(&mut self) -> Option<QueuedFrame> {
        let next = self.frames.pop_front()?;
        self.bytes -= next.frame.len();
        Some(next)
    }

    fn is_current(&self, serial: u64) -> bool {
        self.link.as_ref().is_some_and(|link| link.serial == serial)
    }
}

impl Peer {
    pub(crate) fn new(
        to: SocketAddr,
        limits: Limits,
        metrics: MailboxMetrics,
        retired: Sender<RetiredLink>,
    ) -> Self {
        metrics.peers.inc();
        Self {
            to,
            limits,
            metrics,
            retired,
            state: Mutex::new(State {
                frames: VecDeque::new(),
                bytes: 0,
                in_flight: None,
                last_push: Instant::now(),
                link: None,
                serial: 0,
                reconnecting: false,
            }),
        }
    }

    /// Queues a frame, or drops it when the queue is full.
    pub(crate) fn push(self: &Arc<Self>, frame: Vec<u8>) {
        let mut state = self.state();
        let queued_at = Instant::now();
        state.last_push = queued_at;
        let full = state.frames.len() >= self.limits.peer_messages
            || state.bytes + frame.len() > self.limits.peer_bytes;
        if full {
            self.count_drop("queue_full");
            return;
        }
        state.bytes += frame.len();
        state.frames.push_back(QueuedFrame { queued_at, frame });
        self.advance(&mut state);
    }

    /// Whether nothing was queued for the idle time.
    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        let state = self.state();
        let is_drained = state.in_flight.is_none() && state.frames.is_empty();
        is_drained && now.duration_since(state.last_push) >= self.limits.idle
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_drop(&self, cause: &str) {
        self.metrics.dropped.with_label_values(&[cause]).inc();
    }

    /// Looks for a new link when frames wait for one.
    fn reconnect(self: &Arc<Self>) {
        let mut state = self.state();
        state.reconnecting = false;
        if !state.frames.is_empty() {
            self.advance(&mut state);
        }
    }

    /// Hands over the next frame, over a new link if there is none.
    fn advance(self: &Arc<Self>, state: &mut State) {
        if state.reconnecting {
            return;
        }
        if state.link.is_none() {
            state.serial += 1;
            match Link::dial(self, state.serial) {
                Ok(link) => state.link = Some(link),
                Err(e) => {
                    log::warn!(event = "mailbox_dial_failed", peer:% = self.to, cause:% = e; "");
                    let link = self.retire_link(state);
                    self.dispose(link);
                    return;
                }
            }
        }
        self.send_next(state);
    }

    /// Gives the next frame that is young enough to the link.
    fn send_next(&self, state: &mut State) {
        while state.in_flight.is_none() {
            let Some(next) = state.pop() else {
                return;
            };
            let remaining = self.limits.max_age.saturating_sub(next.queued_at.elapsed());
            if remaining.is_zero() {
                self.count_drop("too_old");
                continue;
            }
            let sent = state
                .link
                .as_ref()
                .is_some_and(|link| link.start_send(&next.frame, remaining).is_ok());
            if sent {
                state.in_flight = Some(next.frame.len());
            } else {
                self.count_drop("link");
            }
        }
    }

    /// The frame in the hands of link `serial` has gone its way.
    fn on_sent(&self, serial: u64, res: &AioResult) {
        let mut state = self.state();
        if !state.is_current(serial) {
            return;
        }
        let len = state.in_flight.take().unwrap_or_default();
        match res {
            AioResult::Send(Ok(())) => {
                self.metrics.sent.inc();
                self.metrics.sent_bytes.inc_by(len as u64);
            }
            AioResult::Send(Err((_, nng::Error::TimedOut))) => self.count_drop("too_old"),
            _ => self.count_drop("link"),
        }
        self.send_next(&mut state);
    }

    /// The connection of link `serial` has ended and is about to be freed.
    fn on_pipe_removed(self: &Arc<Self>, serial: u64, pipe: Pipe) {
        let mut state = self.state();
        if !state.is_current(serial) {
            // The socket is being closed, and its dialer with it.
            return;
        }
        let link = self.retire_link(&mut state);
        // Closing a dialer takes a lock of the socket that callbacks hold while they wait for ours.
        drop(state);
        if let Some(dialer) = pipe.dialer() {
            dialer.close();
        }
        self.dispose(link);
    }

    /// Takes the link out of use until the janitor has been.
    fn retire_link(&self, state: &mut State) -> Option<Link> {
        if state.in_flight.take().is_some() {
            self.count_drop("link");
        }
        state.reconnecting = true;
        state.link.take()
    }

    fn dispose(self: &Arc<Self>, link: Option<Link>) {
        let peer = Arc::downgrade(self);
        send_to_janitor(&self.retired, RetiredLink { peer, link });
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.metrics.peers.dec();
        let link = self.state().link.take();
        let peer = Weak::new();
        send_to_janitor(&self.retired, RetiredLink { peer, link });
    }
}

fn send_to_janitor(retired: &Sender<RetiredLink>, link: RetiredLink) {
    if let Err(refused) = retired.send(link) {
        // The janitor is gone; this may be a callback, which must not close a socket.
        std::thread::spawn(move || drop(refused));
    }
}

/// A socket for one connection; its drop closes it and must not happen in a callback.
struct Link {
    serial: u64,
    socket: Socket,
    /// Present until the drop.
    aio: Option<Aio>,
}

impl Link {
    fn dial(peer: &Arc<Peer>, serial: u64) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        let weak = Arc::downgrade(peer);
        socket.pipe_notify(move |pipe, event| on_pipe_event(&weak, serial, pipe, event))?;
        let weak = Arc::downgrade(peer);
        let aio = Aio::new(move |_, res| {
            if let Some(peer) = weak.upgrade() {
                peer.on_sent(serial, &res);
            }
        })?;
        let link = Self {
            serial,
            socket,
            aio: Some(aio),
        };
        link.socket.dial_async(&format!("tcp://{}", peer.to))?;
        Ok(link)
    }

    fn start_send(&self, frame: &[u8], remaining: Duration) -> nng::Result<()> {
        let aio = self.aio.as_ref().ok_or(nng::Error::Closed)?;
        aio.set_timeout(Some(remaining))?;
        self.socket.send_async(aio, frame).map_err(|(_, e)| e)
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(aio) = self.aio.take() {
            stop(aio, &self.socket);
        }
    }
}

fn on_pipe_event(peer: &Weak<Peer>, serial: u64, pipe: Pipe, event: PipeEvent) {
    if event != PipeEvent::RemovePost {
        return;
    }
    if let Some(peer) = peer.upgrade() {
        peer.on_pipe_removed(serial, pipe);
    }
}

/// Ends the operation of `aio`, frees it, and only then closes its socket.
///
/// Waits for callbacks, so it must not be called from one; no operation may begin any more.
pub(crate) fn stop(aio: Aio, socket: &Socket) {
    aio.cancel();
    aio.wait();
    // Freeing waits for a timeout that is just being dealt with.
    drop(aio);
    socket.close();
}

/// Closes lost links, has their peers look for new ones, and calls `sweep` once every `period`.
///
/// Runs until every sender of `rx` is gone.
pub(crate) fn run_janitor(rx: &Receiver<RetiredLink>, period: Duration, sweep: impl Fn()) {
    let mut reconnects: VecDeque<(Instant, Weak<Peer>)> = VecDeque::new();
    let mut next_sweep = Instant::now() + period;
    loop {
        let now = Instant::now();
        while reconnects.front().is_some_and(|(at, _)| *at <= now) {
            let due = reconnects.pop_front();
            if let Some(peer) = due.and_then(|(_, peer)| peer.upgrade()) {
                peer.reconnect();
            }
        }
        if next_sweep <= now {
            sweep();
            next_sweep = now + period;
        }
        let wake = reconnects
            .front()
            .map_or(next_sweep, |(at, _)| next_sweep.min(*at));
        match rx.recv_timeout(wake.saturating_duration_since(Instant::now())) {
            Ok(RetiredLink { peer, link }) => {
                drop(link);
                reconnects.push_back((Instant::now() + REPLACE_DELAY, peer));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
