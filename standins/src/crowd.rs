//! Clients that send, keep open and leave unread what they like, many at a time, and what a process under them holds.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Longest time for which a crowd is waited for; clients that are still blocked then stay as they are.
const PATIENCE: Duration = Duration::from_secs(30);

/// Receive buffer of a client, in bytes: small, so that little of an unread answer leaves the server.
const RECEIVE_BUFFER: u32 = 6_000;

/// Time between two counts of a process's descriptors.
const COUNT_INTERVAL: Duration = Duration::from_millis(20);

/// What one client of a crowd does on its connection, which it then keeps open.
#[derive(Clone, Debug, Default)]
pub struct Client {
    /// Bytes sent first; `{id}` stands for the client's own request id.
    pub head: String,
    /// Bytes sent after them, `pieces` times.
    pub piece: Vec<u8>,
    /// Number of such pieces.
    pub pieces: usize,
    /// Whether it waits for the beginning of an answer, and reads no more of it.
    pub awaits_answer: bool,
}

/// Clients of which each keeps its connection until the crowd is dismissed.
#[derive(Debug)]
pub struct Crowd {
    clients: JoinSet<()>,
    leave: watch::Sender<bool>,
}

impl Crowd {
    /// Lets `count` clients connect at once, and waits until each has sent everything or was cut off.
    pub async fn gather(addr: SocketAddr, count: usize, client: Client) -> Self {
        let (leave, _) = watch::channel(false);
        let (done, mut all_done) = watch::channel(0);
        let done = Arc::new(done);
        let mut clients = JoinSet::new();
        for number in 0..count {
            let mut left = leave.subscribe();
            let done = done.clone();
            let client = client.clone();
            clients.spawn(async move {
                let mut stream = None;
                let playing = play(addr, &client, number, &mut stream);
                tokio::select! {
                    // A client that was cut off has nothing more to send.
                    _ = playing => {}
                    _ = left.wait_for(|left| *left) => return,
                }
                done.send_modify(|count| *count += 1);
                // Dismissed, or the crowd is gone.
                let _ = left.wait_for(|left| *left).await;
            });
        }
        let gathered = all_done.wait_for(|done| *done == count);
        // Clients whose bytes aren't read stay blocked, as part of the crowd.
        let _ = tokio::time::timeout(PATIENCE, gathered).await;
        Self { clients, leave }
    }

    /// Closes all connections.
    ///
    /// # Panics
    ///
    /// Panics if a client has panicked.
    pub async fn dismiss(mut self) {
        self.leave.send_replace(true);
        while let Some(ended) = self.clients.join_next().await {
            ended.unwrap();
        }
    }
}

/// Connects and sends; leaves the connection in `kept`.
async fn play(
    addr: SocketAddr,
    client: &Client,
    number: usize,
    kept: &mut Option<TcpStream>,
) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    let stream = kept.insert(socket.connect(addr).await?);
    let head = client.head.replace("{id}", &format!("crowd-{number}"));
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..client.pieces {
        stream.write_all(&client.piece).await?;
    }
    if client.awaits_answer {
        stream.read_u8().await?;
    }
    Ok(())
}

/// Returns a chunk of a body.
#[must_use]
pub fn chunk(len: usize) -> Vec<u8> {
    let mut chunk = format!("{len:x}\r\n").into_bytes();
    chunk.extend(std::iter::repeat_n(b'b', len));
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Returns headers of some `len` bytes, few enough for any server.
#[must_use]
pub fn long_headers(len: usize) -> String {
    const LINES: usize = 20;
    let value = "h".repeat(len / LINES);
    let lines: Vec<String> = (0..LINES).map(|n| format!("X-H{n}: {value}\r\n")).collect();
    lines.concat()
}

/// What a process held at most.
#[derive(Clone, Copy, Debug)]
pub struct Peak {
    /// Memory since its start, in bytes.
    pub memory: u64,
    /// Open descriptors while it was watched.
    pub descriptors: usize,
}

/// Watch over the process with some id.
#[derive(Debug)]
pub struct Watch {
    id: u32,
    most: Arc<watch::Sender<usize>>,
    task: JoinHandle<()>,
}

impl Watch {
    /// Begins to count the descriptors of a process.
    #[must_use]
    pub fn start(id: u32) -> Self {
        let most = Arc::new(watch::Sender::new(0));
        let counted = most.clone();
        let task = tokio::spawn(async move {
            loop {
                let open = std::fs::read_dir(proc_path(id, "fd")).map_or(0, Iterator::count);
                counted.send_modify(|most| *most = open.max(*most));
                tokio::time::sleep(COUNT_INTERVAL).await;
            }
        });
        Self { id, most, task }
    }

    /// Returns what it held; `None` if it has ended.
    #[must_use]
    pub fn end(self) -> Option<Peak> {
        self.task.abort();
        let status = std::fs::read_to_string(proc_path(self.id, "status")).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmHWM:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(Peak {
            memory: kb << 10,
            descriptors: *self.most.borrow(),
        })
    }
}

/// Returns the bytes that the kernel holds for the connections of an address, since nobody has read them.
///
/// # Panics
///
/// Panics if the kernel lists no connections.
#[must_use]
pub fn unread_bytes(addr: SocketAddr) -> u64 {
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port = format!(":{:04X}", addr.port());
    let unread = sockets.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, unread) = fields[4].split_once(':')?;
        fields[1].ends_with(&port).then_some(())?;
        u64::from_str_radix(unread, 16).ok()
    });
    unread.sum()
}

fn proc_path(id: u32, name: &str) -> PathBuf {
    ["/proc", &id.to_string(), name].iter().collect()
}
