//! Connections to upstreams, kept alive between requests.
//!
//! Dropping a [`Link`] closes its connection at once, which shows the upstream
//! that the response is no longer wanted. A link is returned for reuse only
//! after a complete response.

use crate::clock::Clock;
use crate::own_calls::EchoingUpstreams;
use bytes::Bytes;
use fireflycroft::{MAX_OWN_ANSWER_BYTES, Time, UpstreamIncarnation};
use fireflynet::ShortReads;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Largest buffer of a connection in bytes; long answers fill it, and the connection keeps it.
const LINK_BUFFER_BYTES: usize = 64 << 10;

/// Timeout for connection setup.
///
/// Setup takes a few milliseconds within a region; a lost first packet is retransmitted after a
/// second, which is longer than trying another upstream takes.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle time before the first keep-alive probe, and interval between probes.
///
/// The shortest time that the kernel accepts.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Timeout for the acknowledgement of sent bytes: the longest stall that callers tolerate.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle timeout of a connection if the upstream states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Margin subtracted from an upstream's stated idle timeout, so that no request is sent during its
/// close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Delay before a connection is reused, so that surplus bytes after a response are noticed first.
const REUSE_DELAY: Duration = Duration::from_millis(3);

/// Aborts a task when dropped.
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
    /// Sender of one request at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether the connection has served a request before.
    pub reused: bool,
    /// Whether it is known to lead to the incarnation that it was opened for.
    pub confirmed: bool,
    _task: AbortOnDrop,
}

struct Idle {
    link: Link,
    from: Time,
    until: Time,
}

/// Idle connections by incarnation of the upstream.
pub struct Links {
    clock: Clock,
    idle: RefCell<HashMap<UpstreamIncarnation, Vec<Idle>>>,
    /// Upstreams whose answers to this entry's own calls bear ids.
    pub(crate) echoing: EchoingUpstreams,
}

impl Links {
    /// Creates an empty set of connections.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: RefCell::default(),
            echoing: EchoingUpstreams::default(),
        }
    }

    /// Returns a connection to an incarnation of an upstream, idle for `max_idle` at most or new.
    ///
    /// # Errors
    ///
    /// If none could be opened within [`CONNECT_TIMEOUT`].
    pub async fn get(
        &self,
        incarnation: &UpstreamIncarnation,
        addr: SocketAddr,
        max_idle: Duration,
    ) -> io::Result<Link> {
        match self.take_idle(incarnation, max_idle) {
            Some(link) => Ok(link),
            None => open_for_callers(addr).await,
        }
    }

    /// Returns a connection for reuse.
    pub fn put_back(
        &self,
        incarnation: &UpstreamIncarnation,
        mut link: Link,
        keep_alive: Option<Duration>,
    ) {
        if link.sender.is_closed() {
            return;
        }
        link.reused = true;
        let idle_for = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |t| t.saturating_sub(IDLE_MARGIN));
        let from = self.clock.now() + REUSE_DELAY;
        let until = from + idle_for;
        let mut idle = self.idle.borrow_mut();
        let of_incarnation = idle.entry(incarnation.clone()).or_default();
        of_incarnation.push(Idle { link, from, until });
    }

    /// Closes connections past their idle timeout.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|i| i.until > now && !i.link.sender.is_closed());
        }
        idle.retain(|_, links| !links.is_empty());
    }

    /// Closes the idle connections to an incarnation that has ended.
    pub fn close_idle(&self, incarnation: &UpstreamIncarnation) {
        self.idle.borrow_mut().remove(incarnation);
        self.echoing.remove(incarnation);
    }

    fn take_idle(&self, incarnation: &UpstreamIncarnation, max_idle: Duration) -> Option<Link> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(incarnation)?;
        links.retain(|i| i.until > now && !i.link.sender.is_closed());
        let usable = |i: &Idle| i.from <= now && now.since(i.from) <= max_idle;
        let at = links.iter().rposition(usable)?;
        Some(links.swap_remove(at).link)
    }
}

/// A complete response to a short call.
#[derive(Debug)]
pub struct CallResponse {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Opens a connection.
///
/// # Errors
///
/// If it isn't set up within [`CONNECT_TIMEOUT`].
pub async fn open(addr: SocketAddr) -> io::Result<Link> {
    start(connect(addr).await?).await
}

/// Opens a connection for answers that callers may not read as fast as they come.
///
/// # Errors
///
/// If it isn't set up within [`CONNECT_TIMEOUT`].
pub async fn open_for_callers(addr: SocketAddr) -> io::Result<Link> {
    start(ShortReads(connect(addr).await?)).await
}

async fn start(stream: impl AsyncRead + AsyncWrite + Unpin + 'static) -> io::Result<Link> {
    let (sender, conn) = Builder::new()
        .max_buf_size(LINK_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // A request on the connection gets the error as well; an idle connection needs no report.
        let _ = conn.await;
    });
    Ok(Link {
        sender,
        reused: false,
        confirmed: false,
        _task: AbortOnDrop(task.abort_handle()),
    })
}

/// Sends a short call over a link.
///
/// # Errors
///
/// If the connection breaks before the response is complete, or its body is over [`MAX_OWN_ANSWER_BYTES`].
pub async fn call(link: &mut Link, req: Request<Full<Bytes>>) -> anyhow::Result<CallResponse> {
    call_with_progress(link, req, MAX_OWN_ANSWER_BYTES, || ()).await
}

/// Sends a short call, calling `on_progress` for the head and each frame of the body.
///
/// # Errors
///
/// If the connection breaks before the response is complete, or its body is over `max_bytes`.
pub async fn call_with_progress(
    link: &mut Link,
    req: Request<Full<Bytes>>,
    max_bytes: usize,
    on_progress: impl Fn(),
) -> anyhow::Result<CallResponse> {
    link.sender.ready().await?;
    let response = link.sender.send_request(req).await?;
    on_progress();
    let (parts, mut body) = response.into_parts();
    // Frames aren't kept as they come: each may hold a buffer far larger than its bytes.
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        on_progress();
        let data = frame?.into_data().unwrap_or_default();
        anyhow::ensure!(bytes.len() + data.len() <= max_bytes, "answer is too large");
        bytes.extend_from_slice(&data);
    }
    Ok(CallResponse {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: bytes.into(),
    })
}

async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    set_liveness_options(&stream)?;
    Ok(stream)
}

/// Makes the kernel close a connection whose peer is silent.
///
/// # Errors
///
/// If the socket rejects an option.
pub fn set_liveness_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
