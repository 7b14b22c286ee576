//! TCP acceptor that turns Nagle's algorithm off.

use std::io;

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::net::TcpStream;

/// Accepts TCP connections with `TCP_NODELAY` set.
///
/// A token is a small write: Nagle's algorithm with delayed acknowledgements
/// may hold it back for 40 ms.
pub(crate) struct NoDelayAcceptor(pub(crate) TcpAcceptor);

impl Acceptor for NoDelayAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.0.accept().await?;
        // A connection already closed fails at its first read.
        let _ = accepted.0.set_nodelay(true);
        Ok(accepted)
    }
}
