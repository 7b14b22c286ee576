//! A TCP acceptor that disables Nagle's algorithm.

use std::io;

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::net::TcpStream;

/// Accepts TCP connections with `TCP_NODELAY` set.
///
/// Tokens are small writes: Nagle's algorithm holds each back until the previous
/// one is acknowledged, up to 40 ms.
pub(crate) struct NoDelayAcceptor(pub(crate) TcpAcceptor);

impl Acceptor for NoDelayAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.0.accept().await?;
        // On a closed connection this fails, and so does its first read.
        let _ = accepted.0.set_nodelay(true);
        Ok(accepted)
    }
}
