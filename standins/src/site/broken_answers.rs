//! Server in trouble: in place of answers it sends bytes that are none, perhaps without end.
//!
//! It stands before an upstream, the store or an entry and passes on what it isn't to break.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

use super::http::{Request, read_request};
use crate::sync::lock;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 64;

/// What it sends in place of an answer.
#[derive(Clone, Debug, Default)]
pub struct BrokenAnswer {
    /// Part of the paths whose answers are broken; the empty one is part of all.
    pub path: &'static str,
    /// Bytes sent first; `{id}` stands for the request's id.
    pub start: String,
    /// Bytes then sent over and over until the caller closes; the connection is closed if there are none.
    pub rest: String,
}

/// A running server; dropping it stops it.
#[derive(Debug)]
pub struct BrokenServer {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    answer: std::sync::Mutex<BrokenAnswer>,
    answered: AtomicUsize,
    open: AtomicUsize,
}

impl Drop for BrokenServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl BrokenServer {
    /// Starts a server at `addr` that passes other requests on to `behind`.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub fn start(addr: SocketAddr, behind: SocketAddr, answer: BrokenAnswer) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        let listener = socket.listen(BACKLOG)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        *lock(&shared.answer) = answer;
        let task = tokio::spawn(accept(listener, behind, shared.clone()));
        Ok(Self { addr, shared, task })
    }

    /// Returns the listening address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets what it sends in place of later answers.
    pub fn set_answer(&self, answer: BrokenAnswer) {
        *lock(&self.shared.answer) = answer;
    }

    /// Returns the number of broken answers begun.
    #[must_use]
    pub fn answered(&self) -> usize {
        self.shared.answered.load(Ordering::Relaxed)
    }

    /// Returns the number of broken answers whose callers haven't closed yet.
    #[must_use]
    pub fn open(&self) -> usize {
        self.shared.open.load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, behind: SocketAddr, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            // A caller that closes ends its connection.
            let _ = serve(stream, behind, &shared).await;
        });
    }
}

async fn serve(stream: TcpStream, behind: SocketAddr, shared: &Shared) -> io::Result<()> {
    let (mut from_caller, to_caller) = stream.into_split();
    let to_caller = Arc::new(Mutex::new(to_caller));
    let mut passed_on: Option<OwnedWriteHalf> = None;
    let mut buf = Vec::new();
    while let Some(req) = read_request(&mut from_caller, &mut buf).await? {
        let answer = lock(&shared.answer).clone();
        if req.path.contains(answer.path) {
            return send(&mut *to_caller.lock().await, &req, &answer, shared).await;
        }
        let to_behind = if let Some(to_behind) = &mut passed_on {
            to_behind
        } else {
            let (from_behind, to_behind) = TcpStream::connect(behind).await?.into_split();
            tokio::spawn(return_answers(from_behind, to_caller.clone()));
            passed_on.insert(to_behind)
        };
        to_behind.write_all(&req.to_bytes()).await?;
    }
    Ok(())
}

/// Returns the answers to requests that were passed on.
async fn return_answers(
    mut from_behind: OwnedReadHalf,
    to_caller: Arc<Mutex<OwnedWriteHalf>>,
) -> io::Result<()> {
    let mut buf = Vec::new();
    while from_behind.read_buf(&mut buf).await? > 0 {
        to_caller.lock().await.write_all(&buf).await?;
        buf.clear();
    }
    to_caller.lock().await.shutdown().await
}

/// Sends a broken answer; without end until the caller closes.
async fn send(
    to_caller: &mut OwnedWriteHalf,
    req: &Request,
    answer: &BrokenAnswer,
    shared: &Shared,
) -> io::Result<()> {
    shared.answered.fetch_add(1, Ordering::Relaxed);
    shared.open.fetch_add(1, Ordering::Relaxed);
    let sent = write(to_caller, req, answer).await;
    shared.open.fetch_sub(1, Ordering::Relaxed);
    sent
}

async fn write(
    to_caller: &mut OwnedWriteHalf,
    req: &Request,
    answer: &BrokenAnswer,
) -> io::Result<()> {
    let id = req.header("x-request-id").unwrap_or_default();
    let start = answer.start.replace("{id}", id);
    to_caller.write_all(start.as_bytes()).await?;
    while !answer.rest.is_empty() {
        to_caller.write_all(answer.rest.as_bytes()).await?;
    }
    to_caller.shutdown().await
}
