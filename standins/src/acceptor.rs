//! Accepting connections that send each write at once.

use std::io;

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::net::TcpStream;

/// Accepts TCP connections without Nagle's delay.
///
/// A token is a small write; held back until the last one is acknowledged, it
/// may come 40 ms late.
pub(crate) struct NoDelayAcceptor(pub(crate) TcpAcceptor);

impl Acceptor for NoDelayAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.0.accept().await?;
        // A connection that is gone already fails at its first read.
        let _ = accepted.0.set_nodelay(true);
        Ok(accepted)
    }
}
