//! A caller's connection that closes when its account has to give way.

use crate::callers::Account;
use crate::lingering::LingeringStream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// TCP stream of a caller, which fails once its account has to give way; it closes like a [`LingeringStream`] otherwise.
#[derive(Debug)]
pub struct CallerStream {
    stream: LingeringStream,
    account: Account,
}

fn evicted() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "it gave way to others")
}

impl CallerStream {
    /// Wraps an accepted stream.
    #[must_use]
    pub fn new(stream: TcpStream, account: Account) -> Self {
        Self {
            stream: LingeringStream::new(stream),
            account,
        }
    }

    /// Fails if the connection has to give way.
    fn check(&self, cx: &Context<'_>) -> io::Result<()> {
        if self.account.poll_has_to_close(cx) {
            return Err(evicted());
        }
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(cx)?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.account.poll_has_to_close(cx) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
