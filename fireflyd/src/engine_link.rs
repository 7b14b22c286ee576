//! Connections to a model engine that each carry one answer, for calls whose wait for the head has no timeout.
//!
//! The head is read within a bound of bytes: otherwise interim responses without end would hold a thread of the
//! process. What comes after it is read as the caller takes it. Keep-alive and timeouts are those of the HTTP client that
//! sends all other calls.

use std::error::Error;
use std::io;
use std::time::Duration;

use fireflynet::{BoundedHead, HeadArrival};
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header::{ACCEPT, HOST, HeaderValue};
use hyper_util::rt::TokioIo;
use reqwest::{Body, RequestBuilder, Response, Url};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::upstream::{Result, UpstreamError, never_sent, transport_error};

/// Idle time before the first keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(15);
/// Unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 3;
/// Timeout for the acknowledgement of sent bytes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a call over a connection of its own.
///
/// # Errors
///
/// [`UpstreamError`] if no head of an answer came.
pub(crate) async fn send(call: RequestBuilder, connect_timeout: Duration) -> Result<Response> {
    let req = call.build().map_err(|e| transport_error(&e))?;
    let addr = authority(req.url())?;
    let req = origin_form(req, &addr)?;
    let connecting = tokio::time::timeout(connect_timeout, connect(&addr));
    let stream = connecting.await.map_err(never_sent)?.map_err(never_sent)?;
    let (reader, writer) = stream.into_split();
    let arrival = HeadArrival::default();
    let reader = BoundedHead::new(reader, arrival.clone());
    let io = TokioIo::new(tokio::io::join(reader, writer));
    let (mut sender, conn) = http1::handshake(io).await.map_err(never_sent)?;
    // The call gets the connection's error as well.
    tokio::spawn(async move { conn.await.ok() });
    let res = sender.send_request(req).await.map_err(|e| broken(&e))?;
    arrival.record();
    Ok(Response::from(res.map(Body::wrap)))
}

async fn connect(addr: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    Ok(stream)
}

/// Returns the host and port of a URL.
fn authority(url: &Url) -> Result<String> {
    let host = url.host_str().zip(url.port_or_known_default());
    let (host, port) = host.ok_or_else(|| never_sent(format!("{url} names no host")))?;
    Ok(format!("{host}:{port}"))
}

/// Returns a request with the headers and form in which one goes over a connection to its server.
fn origin_form(req: reqwest::Request, addr: &str) -> Result<Request<Body>> {
    let mut req: Request<Body> = req.try_into().map_err(|e| transport_error(&e))?;
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    *req.uri_mut() = path.parse().map_err(never_sent)?;
    let host = HeaderValue::from_str(addr).map_err(never_sent)?;
    req.headers_mut().insert(HOST, host);
    let any = HeaderValue::from_static("*/*");
    req.headers_mut().entry(ACCEPT).or_insert(any);
    Ok(req)
}

/// Returns the error of a call whose connection failed after it may have been sent.
fn broken(e: &hyper::Error) -> UpstreamError {
    let io = e.source().and_then(|e| e.downcast_ref::<io::Error>());
    let is_odd = io.is_some_and(|e| e.kind() == io::ErrorKind::InvalidData);
    let why = match io {
        Some(io) => format!("{e}: {io}"),
        None => e.to_string(),
    };
    if e.is_parse() || is_odd {
        UpstreamError::NoAnswer(why)
    } else {
        UpstreamError::Broken(why)
    }
}
