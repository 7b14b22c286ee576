//! Receiving side of the mailbox: reads the frames of other processes' `nng` push sockets.
//!
//! `nng`'s own listener accepts whatever comes and tells of a connection only after its handshake, so that clients which
//! never complete one hold descriptors without a bound. So this module accepts, and speaks the TCP mapping of the
//! scalability protocols: each side sends a header of eight bytes, then a frame is its length as a big-endian number of
//! eight bytes and its content.
//!
//! A connection is a stranger's until it has brought a frame with the fleet's seal. Strangers have accounts, which bound
//! their descriptors and memory: as either runs short, the longest silent is closed for a newcomer. Members never give
//! way to strangers.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::Arc;
use std::time::Duration;

use fireflycroft::{Phase, Purpose};
use fireflynet::{Account, Callers};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::timeout;

use crate::http_server::{ACCEPT_RETRY_DELAY, log_panic};
use crate::keyring::SharedKeyRing;
use crate::mailbox::MAX_FRAME_BYTES;
use crate::metrics::MailboxMetrics;

/// Header of a pull socket.
const PULL_HEADER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];
/// Header of a push socket.
const PUSH_HEADER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
/// Time for a header to arrive.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
/// Size in bytes of a connection's read buffer; longer frames are read past it.
const READ_BUFFER_BYTES: usize = 1 << 10;
/// Receive limit in bytes beyond which a connection is closed.
///
/// It is above [`MAX_FRAME_BYTES`], so that a slightly longer frame is counted and doesn't cost
/// its sender the connection.
const DISCONNECT_FRAME_BYTES: usize = 2 * MAX_FRAME_BYTES;

/// Listening socket with its connections; dropping it closes them.
pub(crate) struct Inbox {
    local: SocketAddr,
    task: JoinHandle<()>,
}

/// What the connections of an inbox share.
pub(crate) struct Receiver {
    pub(crate) keys: SharedKeyRing,
    pub(crate) metrics: MailboxMetrics,
    /// Accounts of the connections that have brought no sealed frame.
    pub(crate) strangers: Callers,
    /// Time without a frame after which a connection is closed.
    pub(crate) idle: Duration,
    /// Queue of the payloads.
    pub(crate) tx: mpsc::Sender<Vec<u8>>,
}

impl Inbox {
    pub(crate) fn listen(addr: SocketAddr, receiver: Receiver) -> io::Result<Self> {
        let listener = StdListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        Ok(Self {
            local: listener.local_addr()?,
            task: tokio::spawn(accept_all(listener, Arc::new(receiver))),
        })
    }

    /// Returns the listening address with the actual port.
    pub(crate) const fn local_addr(&self) -> SocketAddr {
        self.local
    }
}

impl Drop for Inbox {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(listener: TcpListener, receiver: Arc<Receiver>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            Some(ended) = connections.join_next() => {
                log_panic(ended);
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                if let Some(account) = receiver.strangers.open(peer) {
                    connections.spawn(serve(receiver.clone(), stream, peer, account));
                }
            }
            Err(e) => {
                log::warn!(event = "accept_failed", error:% = e; "");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads a connection until it ends, breaks the protocol, is silent for too long, or gives way.
async fn serve(receiver: Arc<Receiver>, stream: TcpStream, peer: SocketAddr, account: Account) {
    if let Err(e) = receiver.read(stream, account).await {
        log::debug!(event = "mailbox_connection_ended", peer:% = peer, cause:% = e; "");
    }
}

impl Receiver {
    async fn read(&self, mut stream: TcpStream, account: Account) -> io::Result<()> {
        tokio::select! {
            () = account.until_closed() => return Ok(()),
            introduced = self.introduce(&mut stream, &account) => introduced?,
        }
        drop(account);
        self.read_member(stream).await
    }

    /// Shakes hands with a stranger and reads until a frame bears the seal.
    async fn introduce(&self, stream: &mut TcpStream, account: &Account) -> io::Result<()> {
        timeout(HANDSHAKE_TIMEOUT, shake_hands(stream)).await??;
        account.set_phase(Phase::Head);
        loop {
            let read = async {
                let len = read_len(stream).await?;
                // A stranger who announces what there is no memory for is closed.
                let charge = account.reserve(len as u64, Purpose::Input);
                let charge = charge.ok_or(io::ErrorKind::OutOfMemory)?;
                io::Result::Ok((read_content(stream, len).await?, charge))
            };
            let (frame, _charge) = timeout(self.idle, read).await??;
            if self.on_frame(frame) {
                return Ok(());
            }
        }
    }

    async fn read_member(&self, stream: TcpStream) -> io::Result<()> {
        let mut stream = BufReader::with_capacity(READ_BUFFER_BYTES, stream);
        loop {
            let read = async {
                let len = read_len(&mut stream).await?;
                read_content(&mut stream, len).await
            };
            self.on_frame(timeout(self.idle, read).await??);
        }
    }

    /// Opens a frame and queues its payload; returns whether it bears the seal.
    fn on_frame(&self, mut frame: Vec<u8>) -> bool {
        if frame.len() > MAX_FRAME_BYTES {
            self.count_drop("too_long");
            return false;
        }
        let frame_len = frame.len();
        let Ok(payload_len) = self.keys.get().open(&frame).map(<[u8]>::len) else {
            self.metrics.refused_seal.inc();
            return false;
        };
        frame.truncate(payload_len);
        self.metrics.received.inc();
        self.metrics.received_bytes.inc_by(frame_len as u64);
        if self.tx.try_send(frame).is_err() {
            self.count_drop("inbox_full");
        }
        true
    }

    fn count_drop(&self, cause: &str) {
        self.metrics.dropped.with_label_values(&[cause]).inc();
    }
}

async fn shake_hands(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&PULL_HEADER).await?;
    let mut header = [0; PUSH_HEADER.len()];
    stream.read_exact(&mut header).await?;
    if header == PUSH_HEADER {
        Ok(())
    } else {
        Err(io::Error::new(io::ErrorKind::InvalidData, "no push socket"))
    }
}

/// Reads the length of a frame.
async fn read_len(stream: &mut (impl AsyncReadExt + Unpin)) -> io::Result<usize> {
    let len = usize::try_from(stream.read_u64().await?).unwrap_or(usize::MAX);
    if len > DISCONNECT_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    Ok(len)
}

async fn read_content(stream: &mut (impl AsyncReadExt + Unpin), len: usize) -> io::Result<Vec<u8>> {
    let mut frame = vec![0; len];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}
