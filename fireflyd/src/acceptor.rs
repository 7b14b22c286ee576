//! TCP acceptor of HTTP connections.

use std::io;
use std::time::Duration;

use fireflynet::{CallerStream, Callers, HeadLimits};
use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};

/// Limits on a request head: four times the headers that are allowed, and more time than a slow link needs for them.
pub(crate) const HEAD_LIMITS: HeadLimits = HeadLimits {
    bytes: 64 << 10,
    time: Duration::from_secs(30),
};

/// Accepts TCP connections with `TCP_NODELAY` set, which have accounts and linger until their callers have read the
/// last answer.
///
/// A token is a small write: Nagle's algorithm with delayed acknowledgements
/// may delay it by 40 ms.
pub(crate) struct CallerAcceptor {
    pub(crate) listener: TcpAcceptor,
    pub(crate) callers: Callers,
}

impl Acceptor for CallerAcceptor {
    type Io = CallerStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.listener.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(CallerStream, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, local, remote, scheme) = self.listener.accept().await?;
            let peer = stream.peer_addr();
            let Some(account) = peer.ok().and_then(|peer| self.callers.open(peer)) else {
                continue;
            };
            // A connection already closed fails at its first read.
            let _ = stream.set_nodelay(true);
            let stream = CallerStream::new(stream, account, HEAD_LIMITS);
            return Ok((stream, local, remote, scheme));
        }
    }
}
