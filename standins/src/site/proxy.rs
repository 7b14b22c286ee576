//! A loopback proxy that harms the connections through it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

/// Bytes passed on at a time.
const PIECE: usize = 4_096;

/// What a proxy does to what passes through it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    #[default]
    None,
    /// Each piece comes so much later.
    Delay(Duration),
    /// Answers are held back; requests pass.
    OneWay,
    /// Nothing passes either way, and nothing says so.
    Silence,
    /// New connections are reset, and open ones at once.
    Reset,
}

/// A proxy before one address; dropping it ends it.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    harm: watch::Sender<Harm>,
    cut: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy at the IP of `to`, on a port of its own.
    ///
    /// # Errors
    ///
    /// When no port can be bound there.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((to.ip(), 0)).await?;
        let addr = listener.local_addr()?;
        let harm = watch::Sender::new(Harm::None);
        let cut = Arc::new(Notify::new());
        let task = tokio::spawn(accept(listener, to, harm.subscribe(), cut.clone()));
        Ok(Self {
            addr,
            harm,
            cut,
            task,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Harms what passes from now on.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
        if harm == Harm::Reset {
            self.cut.notify_waiters();
        }
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    harm: watch::Receiver<Harm>,
    cut: Arc<Notify>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        if *harm.borrow() == Harm::Reset {
            super::http::reset(stream);
            continue;
        }
        tokio::spawn(pass(stream, to, harm.clone(), cut.clone()));
    }
}

async fn pass(stream: TcpStream, to: SocketAddr, harm: watch::Receiver<Harm>, cut: Arc<Notify>) {
    let Ok(upstream) = TcpStream::connect(to).await else {
        return super::http::reset(stream);
    };
    // The harm of a reset is to be seen as one.
    let _ = stream.set_zero_linger();
    let (from_caller, to_caller) = stream.into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    let is_answer = true;
    let there = carry(from_caller, to_upstream, harm.clone(), !is_answer);
    let back = carry(from_upstream, to_caller, harm, is_answer);
    tokio::select! {
        () = there => {}
        () = back => {}
        () = cut.notified() => {}
    }
}

async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut harm: watch::Receiver<Harm>,
    is_answer: bool,
) {
    let mut buf = vec![0; PIECE];
    loop {
        let read = from.read(&mut buf).await;
        let holds = |h: &Harm| match h {
            Harm::Silence => true,
            Harm::OneWay => is_answer,
            Harm::None | Harm::Delay(_) | Harm::Reset => false,
        };
        // The end of a connection is held back like its bytes. The sender lives as long as the proxy.
        let _ = harm.wait_for(|h| !holds(h)).await;
        let Ok(len @ 1..) = read else {
            return;
        };
        let delay = match *harm.borrow() {
            Harm::Delay(delay) => delay,
            _ => Duration::ZERO,
        };
        tokio::time::sleep(delay).await;
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}
