//! Connections to upstreams: opened, kept for the next request, dropped.
//!
//! A [`Link`] that is dropped closes its connection at once, which is how an
//! upstream learns that nobody waits for the answer any more. Only after a
//! whole answer is a link handed back for reuse.

use crate::clock::Clock;
use bytes::Bytes;
use fireflycroft::{Time, UpstreamIncarnation};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Longest time for a connection to be set up.
///
/// Within a region it takes a few milliseconds; a lost first packet is sent again after a second,
/// which is longer than it takes to ask another upstream.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Silence after which a peer is asked whether it is there, and time between two questions.
///
/// The least that the kernel's keep-alive can be set to.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Questions without an answer that end a connection.
const PROBES: u32 = 2;

/// Time for which sent bytes may go without an acknowledgement: the length of a stall that
/// callers bear without leaving.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// Idle time of a connection when the upstream names none.
const IDLE: Duration = Duration::from_secs(4);

/// Taken off the idle time that an upstream names, so that a request doesn't cross its close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Time for which a connection rests before it is used again, so that bytes that follow an answer
/// without belonging to it are seen first.
const REST: Duration = Duration::from_millis(3);

/// Ends a task when dropped.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection to one upstream; closed when dropped.
#[derive(Debug)]
pub struct Link {
    /// Sends one request at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it has served a request before.
    pub reused: bool,
    _task: AbortOnDrop,
}

struct Idle {
    link: Link,
    from: Time,
    until: Time,
}

/// Connections that wait for their next request, by the life of the upstream that they lead to.
pub struct Links {
    clock: Clock,
    idle: RefCell<HashMap<UpstreamIncarnation, Vec<Idle>>>,
}

impl Links {
    /// No connections yet.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: RefCell::default(),
        }
    }

    /// An open connection to a life of an upstream, idle for `most_idle` at most or new.
    ///
    /// # Errors
    ///
    /// When none could be opened within [`CONNECT_TIMEOUT`].
    pub async fn get(
        &self,
        life: &UpstreamIncarnation,
        addr: SocketAddr,
        most_idle: Duration,
    ) -> io::Result<Link> {
        match self.take_idle(life, most_idle) {
            Some(link) => Ok(link),
            None => open(addr).await,
        }
    }

    /// Keeps a connection for the next request.
    pub fn put_back(
        &self,
        life: &UpstreamIncarnation,
        mut link: Link,
        keep_alive: Option<Duration>,
    ) {
        if link.sender.is_closed() {
            return;
        }
        link.reused = true;
        let idle_for = keep_alive.map_or(IDLE, |t| t.saturating_sub(IDLE_MARGIN));
        let from = self.clock.now() + REST;
        let until = from + idle_for;
        let mut idle = self.idle.borrow_mut();
        let of_life = idle.entry(life.clone()).or_default();
        of_life.push(Idle { link, from, until });
    }

    /// Closes connections that have been idle for too long.
    pub fn tidy(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|i| i.until > now && !i.link.sender.is_closed());
        }
        idle.retain(|_, links| !links.is_empty());
    }

    /// Closes the idle connections to a life that has ended.
    pub fn drop_idle(&self, life: &UpstreamIncarnation) {
        self.idle.borrow_mut().remove(life);
    }

    fn take_idle(&self, life: &UpstreamIncarnation, most_idle: Duration) -> Option<Link> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(life)?;
        links.retain(|i| i.until > now && !i.link.sender.is_closed());
        let usable = |i: &Idle| i.from <= now && now.since(i.from) <= most_idle;
        let at = links.iter().rposition(usable)?;
        Some(links.swap_remove(at).link)
    }
}

/// A whole answer to a short call.
#[derive(Debug)]
pub struct Answered {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Opens a connection.
///
/// # Errors
///
/// When it isn't set up within [`CONNECT_TIMEOUT`].
pub async fn open(addr: SocketAddr) -> io::Result<Link> {
    let stream = connect(addr).await?;
    let (sender, conn) = handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // The request on the connection gets the error as well; an idle one has nobody to tell.
        let _ = conn.await;
    });
    Ok(Link {
        sender,
        reused: false,
        _task: AbortOnDrop(task.abort_handle()),
    })
}

/// Sends a short call over a link.
///
/// # Errors
///
/// When the connection breaks before the answer is whole.
pub async fn call_whole(link: &mut Link, req: Request<Full<Bytes>>) -> anyhow::Result<Answered> {
    call_watched(link, req, || ()).await
}

/// The same, with a call of `on_progress` for the head and each part of the body that comes.
///
/// # Errors
///
/// When the connection breaks before the answer is whole.
pub async fn call_watched(
    link: &mut Link,
    req: Request<Full<Bytes>>,
    on_progress: impl Fn(),
) -> anyhow::Result<Answered> {
    link.sender.ready().await?;
    let response = link.sender.send_request(req).await?;
    on_progress();
    let (parts, body) = response.into_parts();
    let body = body.map_frame(|frame| {
        on_progress();
        frame
    });
    Ok(Answered {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: body.collect().await?.to_bytes(),
    })
}

async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    watch_over(&stream)?;
    Ok(stream)
}

/// Makes the kernel end a connection whose peer has gone silent.
///
/// # Errors
///
/// When the socket refuses an option.
pub fn watch_over(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
