//! Sending datagrams to the other entries, and counting what they take.

use crate::metrics::Metrics;
use fireflycroft::EntryMessage;
use fireflycroft_wire::encode_datagram;
use std::cell::OnceCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::UdpSocket;

/// The socket by which an entry sends to the others.
pub struct Datagrams {
    socket: OnceCell<Rc<UdpSocket>>,
    port: u16,
    metrics: Metrics,
}

impl Datagrams {
    /// Sends nothing until it has a socket.
    #[must_use]
    pub const fn new(port: u16, metrics: Metrics) -> Self {
        Self {
            socket: OnceCell::new(),
            port,
            metrics,
        }
    }

    /// Sends by this socket from now on.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // The first one stays; a process binds but one.
        let _ = self.socket.set(socket);
    }

    /// Sends a message to some entries.
    pub async fn send_all(
        &self,
        targets: impl IntoIterator<Item = Ipv4Addr>,
        message: &EntryMessage,
    ) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let bytes = encode_datagram(message);
        for ip in targets {
            self.metrics.record_datagram(message.kind(), bytes.len());
            // A datagram that can't be sent counts as one that was lost on the way.
            let _ = socket
                .send_to(&bytes, SocketAddr::from((ip, self.port)))
                .await;
        }
    }
}
