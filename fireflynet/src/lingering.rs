//! A stream whose shutdown waits for its peer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// Longest time without input after the last write or read: enough to read what the kernel holds, while a peer that
/// never closes ties up a descriptor only briefly.
const QUIET_LIMIT: Duration = Duration::from_secs(5);

/// Longest time in all for a peer that goes on sending.
const TOTAL_LIMIT: Duration = Duration::from_secs(30);

/// Size of the buffer for dropped input, in bytes.
const DROP_BUFFER_BYTES: usize = 16 << 10;

/// TCP stream whose shutdown ends its own side, then drops input until the peer closes or a time limit is reached.
#[derive(Debug)]
pub struct LingeringStream {
    stream: TcpStream,
    /// Time of the last write or of the last read with data.
    active_at: Instant,
    has_peer_closed: bool,
    closing: Option<Closing>,
}

/// State of a shutdown whose own side has ended.
#[derive(Debug)]
struct Closing {
    gives_up_at: Instant,
    timer: Pin<Box<Sleep>>,
}

impl LingeringStream {
    /// Wraps a connected stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            active_at: Instant::now(),
            has_peer_closed: false,
            closing: None,
        }
    }

    /// Makes the connection end with a reset or in order when this is dropped or the process ends.
    pub(crate) fn set_reset_on_close(&self, resets: bool) {
        // A socket that rejects the option is closed already.
        let _ = if resets {
            self.stream.set_zero_linger()
        } else {
            #[expect(deprecated, reason = "only a time to linger blocks the thread")]
            self.stream.set_linger(None)
        };
    }

    /// Ends the own side once; returns when lingering ends without input.
    fn poll_end_own_side(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.closing.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.closing = Some(Closing {
                gives_up_at: Instant::now() + TOTAL_LIMIT,
                timer: Box::pin(sleep_until(self.active_at + QUIET_LIMIT)),
            });
        }
        Poll::Ready(Ok(()))
    }

    /// Drops input until the peer has closed; pending while more may come.
    fn poll_drop_input(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; DROP_BUFFER_BYTES];
        while !self.has_peer_closed {
            let mut buf = ReadBuf::new(&mut space);
            // A connection that fails is closed as well.
            if ready!(Pin::new(&mut *self).poll_read(cx, &mut buf)).is_err() {
                break;
            }
        }
        Poll::Ready(())
    }

    /// Waits for the time limit, which input puts off.
    fn poll_time_limit(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(closing) = &mut self.closing else {
            return Poll::Pending;
        };
        let until = closing.gives_up_at.min(self.active_at + QUIET_LIMIT);
        if closing.timer.deadline() != until {
            closing.timer.as_mut().reset(until);
        }
        closing.timer.as_mut().poll(cx)
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.remaining();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.remaining() < before {
            self.active_at = Instant::now();
        } else if before > 0 {
            self.has_peer_closed = true;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.active_at = Instant::now();
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.active_at = Instant::now();
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_end_own_side(cx))?;
        if self.poll_drop_input(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        self.poll_time_limit(cx).map(Ok)
    }
}
