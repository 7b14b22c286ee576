//! A caller's connection that closes when its account has to give way.

use crate::callers::Account;
use crate::lingering::LingeringStream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes of one read, which keeps the HTTP library from growing its buffer under a long body: it doubles the
/// buffer once a read has filled 8 KiB.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

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
        let len = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(len));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        Poll::Ready(Ok(()))
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
