//! Loopback proxy that injects faults into its connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

/// Most bytes forwarded at a time.
const BUFFER_BYTES: usize = 4_096;

/// Faults of the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// No fault.
    #[default]
    None,
    /// Delays each forwarded piece by this time.
    Delay(Duration),
    /// Holds back answers and forwards requests.
    BlockAnswers,
    /// Holds back both directions and keeps connections open.
    BlockAll,
    /// Resets open connections at once, and new ones on arrival.
    Reset,
    /// Resets new connections on arrival, as an upstream at its limit does.
    ResetNew,
    /// Holds back both directions of the connections that are open, and forwards new ones.
    HoldOld,
}

/// A proxy to one address; dropping it stops it.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    fault: watch::Sender<ProxyFault>,
    reset_signal: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy at the IP of `to`, on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound there.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((to.ip(), 0)).await?;
        let addr = listener.local_addr()?;
        let fault = watch::Sender::new(ProxyFault::None);
        let reset_signal = Arc::new(Notify::new());
        let task = tokio::spawn(accept(
            listener,
            to,
            fault.subscribe(),
            reset_signal.clone(),
        ));
        Ok(Self {
            addr,
            fault,
            reset_signal,
            task,
        })
    }

    /// Returns the listening address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault of all connections.
    pub fn set_fault(&self, fault: ProxyFault) {
        self.fault.send_replace(fault);
        if fault == ProxyFault::Reset {
            self.reset_signal.notify_waiters();
        }
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    fault: watch::Receiver<ProxyFault>,
    reset_signal: Arc<Notify>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        if matches!(*fault.borrow(), ProxyFault::Reset | ProxyFault::ResetNew) {
            super::http::reset(stream);
            continue;
        }
        tokio::spawn(forward(stream, to, fault.clone(), reset_signal.clone()));
    }
}

/// What ended the forwarding on a connection.
enum End {
    Closed,
    Reset,
}

async fn forward(
    mut stream: TcpStream,
    to: SocketAddr,
    fault: watch::Receiver<ProxyFault>,
    reset_signal: Arc<Notify>,
) {
    let is_new = *fault.borrow() == ProxyFault::HoldOld;
    let Ok(mut upstream) = TcpStream::connect(to).await else {
        return super::http::reset(stream);
    };
    let (from_caller, to_caller) = stream.split();
    let (from_upstream, to_upstream) = upstream.split();
    let is_answer = true;
    let requests = copy_one_way(
        from_caller,
        to_upstream,
        fault.clone(),
        [!is_answer, is_new],
    );
    let answers = copy_one_way(from_upstream, to_caller, fault.clone(), [is_answer, is_new]);
    let end = tokio::select! {
        end = requests => end,
        end = answers => end,
        () = reset_signal.notified() => End::Reset,
    };
    // The upstream may have been killed after the fault, which looks like a close.
    let is_reset = matches!(end, End::Reset) || *fault.borrow() == ProxyFault::Reset;
    if is_reset {
        super::http::reset(stream);
    }
}

async fn copy_one_way(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut fault: watch::Receiver<ProxyFault>,
    [is_answer, is_new]: [bool; 2],
) -> End {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buf).await;
        let is_blocked = |fault: &ProxyFault| match fault {
            ProxyFault::BlockAll => true,
            ProxyFault::BlockAnswers => is_answer,
            ProxyFault::HoldOld => !is_new,
            ProxyFault::None | ProxyFault::Delay(_) | ProxyFault::Reset | ProxyFault::ResetNew => {
                false
            }
        };
        // The end of a connection is held back like its bytes. The wait fails only when the proxy
        // is dropped.
        let _ = fault.wait_for(|fault| !is_blocked(fault)).await;
        let len = match read {
            Ok(0) => return End::Closed,
            Ok(len) => len,
            Err(_) => return End::Reset,
        };
        let delay = match *fault.borrow() {
            ProxyFault::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if to.write_all(&buf[..len]).await.is_err() {
            return End::Reset;
        }
    }
}
