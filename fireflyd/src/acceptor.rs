//! TCP acceptor of callers' connections.

use std::io;

use fireflynet::LingeringStream;
use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};

/// Accepts TCP connections with `TCP_NODELAY` set, which linger until their callers have read the last answer.
///
/// A token is a small write: Nagle's algorithm with delayed acknowledgements
/// may delay it by 40 ms.
pub(crate) struct CallerAcceptor(pub(crate) TcpAcceptor);

impl Acceptor for CallerAcceptor {
    type Io = LingeringStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(LingeringStream, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, local, remote, scheme) = self.0.accept().await?;
        // A connection already closed fails at its first read.
        let _ = stream.set_nodelay(true);
        Ok((LingeringStream::new(stream), local, remote, scheme))
    }
}
