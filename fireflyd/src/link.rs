//! Sending side of the mailbox: one queue and one `nng` push socket for each peer.
//!
//! A peer has no task of its own. `nng` holds at most one of its frames, and the completion of
//! that send starts the next.
//!
//! The push socket of this `nng` release has two use-after-free faults, which this code avoids:
//!
//! - A connection that ends just as a send completes may stay in the socket's list of ready
//!   connections after it is freed. So a socket serves one connection only: the pipe event before
//!   the connection is freed retires the socket and closes the dialer.
//! - A send that starts while the socket is closing is forgotten until its timeout, which then
//!   accesses the freed socket. So a send starts only under the lock that holds the socket, and a
//!   retired socket is closed only after its operation has been cancelled and freed.
//!
//! Closing waits for callbacks, so no callback may do it: a thread of the mailbox does, see
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

/// Initial delay before a refused connection is dialled again.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
/// Longest delay before a refused connection is dialled again.
const RECONNECT_MAX: Duration = Duration::from_secs(1);
/// Delay before an ended connection is replaced.
const REPLACE_DELAY: Duration = Duration::from_millis(50);

/// A retired link, to be closed and replaced by the janitor.
pub(crate) struct RetiredLink {
    peer: Weak<Peer>,
    link: Option<Link>,
}

/// A destination address with its queued frames and link.
pub(crate) struct Peer {
    to: SocketAddr,
    limits: Limits,
    metrics: MailboxMetrics,
    retired: Sender<RetiredLink>,
    state: Mutex<State>,
}

struct State {
    frames: VecDeque<QueuedFrame>,
    /// Total length of the queued frames in bytes.
    bytes: usize,
    /// Length in bytes of the frame being sent by `nng`, if any.
    in_flight: Option<usize>,
    last_push: Instant,
    link: Option<Link>,
    /// Serial number of the newest link.
    serial: u64,
    /// Whether a new link waits for the janitor.
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

    /// Queues a frame, or drops it if the queue is full.
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

    /// Returns whether nothing is queued and no frame was pushed for [`Limits::idle`].
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

    /// Dials a new link if frames are queued.
    fn reconnect(self: &Arc<Self>) {
        let mut state = self.state();
        state.reconnecting = false;
        if !state.frames.is_empty() {
            self.advance(&mut state);
        }
    }

    /// Sends the next frame, on a new link if there is none.
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

    /// Starts sending the next frame that is within [`Limits::max_age`].
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

    /// Handles the completion of a send on link `serial`.
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

    /// Handles the end of the connection of link `serial`, before it is freed.
    fn on_pipe_removed(self: &Arc<Self>, serial: u64, pipe: Pipe) {
        let mut state = self.state();
        if !state.is_current(serial) {
            // The socket is being closed together with its dialer.
            return;
        }
        let link = self.retire_link(&mut state);
        // Closing a dialer takes a socket lock that callbacks hold while they wait for this one.
        drop(state);
        if let Some(dialer) = pipe.dialer() {
            dialer.close();
        }
        self.dispose(link);
    }

    /// Removes the link; no new one is dialled until the janitor calls [`Self::reconnect`].
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
        // The janitor has stopped. This may be a callback, which must not close a socket.
        std::thread::spawn(move || drop(refused));
    }
}

/// A socket for one connection; dropping it closes it, which no callback may do.
struct Link {
    serial: u64,
    socket: Socket,
    /// `Some` until the drop.
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

/// Cancels the operation of `aio`, frees it, and only then closes its socket.
///
/// Waits for callbacks, so it must not be called from one; no further operation may start.
fn stop(aio: Aio, socket: &Socket) {
    aio.cancel();
    aio.wait();
    // Freeing waits for a timeout that is being handled.
    drop(aio);
    socket.close();
}

/// Closes retired links, reconnects their peers, and calls `sweep` once every `period`.
///
/// Runs until every sender of `rx` is dropped.
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
