//! Door to a stand-in in trouble: requests of some kind get bytes that are no answer, all others are passed on.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::sync::lock;

/// What a request gets whose head begins with `to`.
#[derive(Clone, Debug, Default)]
pub struct Trouble {
    /// Beginning of the request's head.
    pub to: &'static str,
    /// First bytes of the answer.
    pub first: Vec<u8>,
    /// Bytes that follow again and again until the caller closes; without any, the door closes.
    pub piece: Vec<u8>,
    /// Pause between two pieces.
    pub pause: Duration,
}

/// The door; dropping it closes it.
#[derive(Debug)]
pub struct Door {
    addr: SocketAddr,
    trouble: Arc<Mutex<Trouble>>,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Counts {
    begun: AtomicUsize,
    ended: AtomicUsize,
}

impl Door {
    /// Opens a door to the stand-in at `to`.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn open(to: SocketAddr, trouble: Trouble) -> io::Result<Self> {
        let listener = TcpListener::bind((to.ip(), 0)).await?;
        let addr = listener.local_addr()?;
        let counts = Arc::<Counts>::default();
        let counted = counts.clone();
        let trouble = Arc::new(Mutex::new(trouble));
        let set = trouble.clone();
        let task = tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let (trouble, counts) = (lock(&set).clone(), counted.clone());
                // What a caller that has gone still sends concerns nobody.
                tokio::spawn(async move { serve(caller, to, &trouble, &counts).await.ok() });
            }
        });
        Ok(Self {
            addr,
            trouble,
            counts,
            task,
        })
    }

    /// Replaces the trouble of connections to come.
    pub fn set(&self, trouble: Trouble) {
        *lock(&self.trouble) = trouble;
    }

    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Returns the number of answers in trouble that have begun.
    #[must_use]
    pub fn begun(&self) -> usize {
        self.counts.begun.load(Ordering::Relaxed)
    }

    /// Returns the number of answers in trouble whose connections have ended.
    #[must_use]
    pub fn ended(&self) -> usize {
        self.counts.ended.load(Ordering::Relaxed)
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut caller: TcpStream,
    to: SocketAddr,
    trouble: &Trouble,
    counts: &Counts,
) -> io::Result<()> {
    let mut buf = Vec::new();
    while !buf.windows(4).any(|end| end == b"\r\n\r\n") {
        if caller.read_buf(&mut buf).await? == 0 {
            return Ok(());
        }
    }
    if !buf.starts_with(trouble.to.as_bytes()) {
        return pass_on(caller, to, &buf).await;
    }
    counts.begun.fetch_add(1, Ordering::Relaxed);
    let told = answer(&mut caller, trouble).await;
    counts.ended.fetch_add(1, Ordering::Relaxed);
    told
}

async fn answer(caller: &mut TcpStream, trouble: &Trouble) -> io::Result<()> {
    caller.write_all(&trouble.first).await?;
    while !trouble.piece.is_empty() {
        caller.write_all(&trouble.piece).await?;
        tokio::time::sleep(trouble.pause).await;
    }
    caller.shutdown().await
}

/// Passes one request on, on a connection that both sides close after its answer.
async fn pass_on(mut caller: TcpStream, to: SocketAddr, begun: &[u8]) -> io::Result<()> {
    let mut far = TcpStream::connect(to).await?;
    let (line, rest) = split_line(begun);
    far.write_all(line).await?;
    far.write_all(b"connection: close\r\n").await?;
    far.write_all(rest).await?;
    let (mut near_reads, mut near_writes) = caller.split();
    let (mut far_reads, mut far_writes) = far.split();
    tokio::select! {
        answered = copy(&mut far_reads, &mut near_writes) => answered?,
        Err(e) = copy(&mut near_reads, &mut far_writes) => return Err(e),
    };
    caller.shutdown().await
}

/// Returns the request line with its ending and the rest.
fn split_line(buf: &[u8]) -> (&[u8], &[u8]) {
    let end = buf.iter().position(|byte| *byte == b'\n').unwrap_or(0);
    buf.split_at(end + 1)
}
