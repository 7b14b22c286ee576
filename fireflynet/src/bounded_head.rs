//! A reader whose bytes have a bound until the head of an answer has come.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, ReadBuf};

/// Most bytes up to the end of a head: more than the HTTP library takes for the head itself.
const MAX_BYTES: usize = 1 << 20;

/// Whether the head of the answer on a connection has come.
#[derive(Clone, Debug, Default)]
pub struct HeadArrival(Arc<AtomicBool>);

impl HeadArrival {
    /// Records that the head has come, so that the rest has no bound.
    pub fn record(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Reader of one answer, which fails at too many bytes before its head has come.
///
/// The HTTP library drops interim responses as long as more are there to read, and nothing else runs on its thread
/// meanwhile.
#[derive(Debug)]
pub struct BoundedHead<R> {
    reader: R,
    arrival: HeadArrival,
    bytes: usize,
}

impl<R> BoundedHead<R> {
    /// Bounds the bytes of a reader until the head of the answer has come.
    pub const fn new(reader: R, arrival: HeadArrival) -> Self {
        Self {
            reader,
            arrival,
            bytes: 0,
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for BoundedHead<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.reader).poll_read(cx, buf))?;
        if self.arrival.0.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        self.bytes += buf.filled().len() - before;
        if self.bytes > MAX_BYTES {
            let why = format!("no head of an answer in {MAX_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, why)));
        }
        Poll::Ready(Ok(()))
    }
}
