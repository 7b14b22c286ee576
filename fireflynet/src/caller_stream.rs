//! A caller's connection that closes when its account has to give way, or when a head exceeds its limits.

use crate::callers::{Account, Charge};
use crate::lingering::LingeringStream;
use crate::short_reads::ShortReads;
use crate::unfinished::Unfinished;
use fireflycroft::{Phase, Purpose, READ_BUFFER_BYTES};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// What the head of a request may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Size in bytes.
    pub bytes: usize,
    /// Time from its first byte to its last.
    pub time: Duration,
}

/// TCP stream of a caller, which fails once its account has to give way or a head exceeds its limits; it closes like a
/// [`LingeringStream`] otherwise.
#[derive(Debug)]
pub struct CallerStream {
    stream: ShortReads<LingeringStream>,
    account: Account,
    limits: HeadLimits,
    head: Head,
    /// Memory of buffers that have grown with a head; they stay as long as the connection.
    grown: Option<Charge>,
    /// Whether the last write had to wait for the caller to read.
    is_blocked: bool,
    unfinished: Unfinished,
    /// Whether the connection would end with a reset, as it does from the first byte of an unfinished answer until all bytes
    /// of a finished one are written.
    resets: bool,
}

/// Head that is arriving.
#[derive(Debug, Default)]
struct Head {
    /// Requests that had begun before it.
    calls_before: u64,
    bytes: usize,
    /// Timer of the limit; none before its first byte.
    timer: Option<Pin<Box<Sleep>>>,
}

fn evicted() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "it gave way to others")
}

impl CallerStream {
    /// Wraps an accepted stream.
    #[must_use]
    pub fn new(stream: TcpStream, account: Account, limits: HeadLimits) -> Self {
        Self {
            stream: ShortReads(LingeringStream::new(stream)),
            account,
            limits,
            head: Head::default(),
            grown: None,
            is_blocked: false,
            unfinished: Unfinished::default(),
            resets: false,
        }
    }

    /// Returns the mark of an answer that a close would complete; the connection ends with a reset while it is set, also
    /// where the process is killed.
    #[must_use]
    pub fn unfinished(&self) -> Unfinished {
        self.unfinished.clone()
    }

    /// Fails if the connection has to give way.
    fn check(&self, cx: &Context<'_>) -> io::Result<()> {
        if self.account.poll_has_to_close(cx) {
            return Err(evicted());
        }
        Ok(())
    }

    /// Fails if a head that still isn't complete exceeds a limit.
    fn check_head(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let calls = self.account.calls_begun();
        if calls != self.head.calls_before {
            self.head = Head {
                calls_before: calls,
                ..Head::default()
            };
        }
        if self.head.bytes > self.limits.bytes {
            log::warn!(event = "head_too_long", peer:% = self.account.peer(), bytes = self.head.bytes; "");
            return Err(io::ErrorKind::InvalidData.into());
        }
        let Some(timer) = &mut self.head.timer else {
            return Ok(());
        };
        if timer.as_mut().poll(cx).is_ready() {
            log::warn!(event = "head_timed_out", peer:% = self.account.peer(), bytes = self.head.bytes; "");
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Records bytes that came while no request was being served.
    fn record_head(&mut self, bytes: usize) -> io::Result<()> {
        if self.head.timer.is_none() {
            self.account.set_phase(Phase::Head);
            self.head.timer = Some(Box::pin(sleep(self.limits.time)));
        }
        self.head.bytes += bytes;
        // The HTTP library doubles its buffer as the head grows.
        let needed = 2 * (self.head.bytes as u64).saturating_sub(READ_BUFFER_BYTES);
        let is_granted = match &mut self.grown {
            Some(grown) if needed > grown.bytes() => {
                grown.grow(needed - grown.bytes(), Purpose::Input)
            }
            None if needed > 0 => {
                self.grown = self.account.reserve(needed, Purpose::Input);
                self.grown.is_some()
            }
            _ => true,
        };
        if is_granted { Ok(()) } else { Err(evicted()) }
    }

    fn set_reset_on_close(&mut self, resets: bool) {
        if resets != self.resets {
            self.resets = resets;
            self.stream.0.set_reset_on_close(resets);
        }
    }

    /// Fails if the connection has to give way; has it end with a reset if an unfinished answer is to be written.
    fn begin_write(&mut self, cx: &Context<'_>) -> io::Result<()> {
        self.check(cx)?;
        if self.unfinished.get() {
            self.set_reset_on_close(true);
        }
        Ok(())
    }

    /// Records whether a write had to wait.
    fn record_write<T>(&mut self, written: &Poll<T>) {
        if written.is_pending() != self.is_blocked {
            self.is_blocked = written.is_pending();
            self.account.set_blocked(self.is_blocked);
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.unfinished.get() {
            self.set_reset_on_close(true);
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(cx)?;
        self.check_head(cx)?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        if read > 0 && !self.account.is_serving() {
            self.record_head(read)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write(cx)?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write(cx)?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.unfinished.get() {
            return Poll::Ready(Ok(()));
        }
        // All bytes are the kernel's by now.
        self.set_reset_on_close(false);
        if self.account.poll_has_to_close(cx) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
