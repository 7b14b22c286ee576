//! TLS towards callers, who speak HTTP/1.1 over it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use anyhow::Context as _;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::crypto::aws_lc_rs;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::{Accept, TlsAcceptor, server};

use crate::frontend::Tls;

/// Application protocol that is offered. HTTP/2 isn't: one connection would carry any number of requests.
const PROTOCOL: &[u8] = b"http/1.1";

/// Accepts TLS on the connections of another acceptor.
pub(crate) struct TlsConnections<A> {
    inner: A,
    acceptor: TlsAcceptor,
}

impl<A> TlsConnections<A> {
    /// Reads the certificate chain and its key.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them can't be read, or they don't belong together.
    pub(crate) fn new(inner: A, tls: &Tls) -> anyhow::Result<Self> {
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&tls.cert).collect();
        let chain = chain.context("TLS certificate")?;
        let key = PrivateKeyDer::from_pem_slice(&tls.key).context("TLS key")?;
        let config = ServerConfig::builder_with_provider(Arc::new(aws_lc_rs::default_provider()))
            .with_safe_default_protocol_versions()
            .context("TLS versions")?;
        let config = config.with_no_client_auth().with_single_cert(chain, key);
        let mut config = config.context("TLS certificate and key")?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(Self {
            inner,
            acceptor: TlsAcceptor::from(Arc::new(config)),
        })
    }
}

impl<A: Acceptor> Acceptor for TlsConnections<A> {
    type Io = TlsStream<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, local, remote, _) = self.inner.accept().await?;
        let accept = self.acceptor.accept(stream);
        let stream = TlsStream::Handshaking(Box::new(accept));
        Ok((stream, local, remote, Scheme::HTTPS))
    }
}

/// Stream whose handshake is part of its first read or write.
pub(crate) enum TlsStream<S> {
    Handshaking(Box<Accept<S>>),
    Open(Box<server::TlsStream<S>>),
    Failed,
}

impl<S: AsyncRead + AsyncWrite + Unpin> TlsStream<S> {
    fn poll_open(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<&mut server::TlsStream<S>>> {
        if let Self::Handshaking(accept) = self {
            let opened = ready!(Pin::new(accept.as_mut()).poll(cx));
            *self = Self::Failed;
            *self = Self::Open(Box::new(opened?));
        }
        Poll::Ready(match self {
            Self::Open(stream) => Ok(stream),
            _ => Err(io::ErrorKind::NotConnected.into()),
        })
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for TlsStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = ready!(self.poll_open(cx))?;
        Pin::new(stream).poll_read(cx, buf)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for TlsStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = ready!(self.poll_open(cx))?;
        Pin::new(stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = ready!(self.poll_open(cx))?;
        Pin::new(stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stream = ready!(self.poll_open(cx))?;
        Pin::new(stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Open(stream) => Pin::new(stream.as_mut()).poll_shutdown(cx),
            Self::Handshaking(_) | Self::Failed => Poll::Ready(Ok(())),
        }
    }
}
