//! TCP proxy to one address whose connections a test can break.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::{Fleet, Spec};

/// The proxy; it stops with the test's runtime.
pub struct Link {
    addr: SocketAddr,
    cut: Arc<Notify>,
}

impl Link {
    /// Starts a proxy to `to`.
    pub async fn open(to: SocketAddr) -> Self {
        let listener = TcpListener::bind((to.ip(), 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let cut = Arc::new(Notify::new());
        let notify = cut.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(forward(near, to, notify.clone()));
            }
        });
        Self { addr, cut }
    }

    /// Returns the proxy's address.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes all connections; new ones are accepted.
    pub fn cut(&self) {
        self.cut.notify_waiters();
    }
}

async fn forward(mut near: TcpStream, to: SocketAddr, cut: Arc<Notify>) {
    let Ok(mut far) = TcpStream::connect(to).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => {}
        () = cut.notified() => {}
    }
}

/// Starts a fleet whose only engine is behind a link.
pub async fn linked_fleet(spec: Spec) -> (Fleet, Link) {
    let mut fleet = Fleet::start(Spec { engines: 1, ..spec }).await;
    let link = Link::open(fleet.engines[0].addr).await;
    fleet.agents[0].process.kill();
    fleet.agents[0] = fleet.start_engine_agent(0, &format!("http://{}", link.addr()));
    fleet.await_ready().await;
    (fleet, link)
}
