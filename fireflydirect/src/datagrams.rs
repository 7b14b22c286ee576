//! Sending and counting of datagrams to the other entries.

use crate::metrics::Metrics;
use fireflycroft::EntryMessage;
use fireflycroft_wire::encode_datagram;
use std::cell::{Cell, OnceCell};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Socket for datagrams to the other entries.
pub struct Datagrams {
    socket: OnceCell<Rc<UdpSocket>>,
    port: u16,
    metrics: Metrics,
    /// Whether the last datagram could be sent; its failure is logged once.
    is_sent: Cell<bool>,
}

impl Datagrams {
    /// Creates a sender without a socket, which sends nothing.
    #[must_use]
    pub const fn new(port: u16, metrics: Metrics) -> Self {
        Self {
            socket: OnceCell::new(),
            port,
            metrics,
            is_sent: Cell::new(true),
        }
    }

    /// Sets the socket to send from.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // A process binds a single socket, so it is set once only.
        let _ = self.socket.set(socket);
    }

    /// Sends a message to several entries.
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
            // A datagram that can't be sent is treated like one lost on the network.
            let sent = socket
                .send_to(&bytes, SocketAddr::from((ip, self.port)))
                .await;
            self.log_failure(sent.err(), message.kind(), bytes.len());
        }
    }

    /// Logs the first of several failures in a row.
    fn log_failure(&self, failure: Option<io::Error>, kind: &str, bytes: usize) {
        let was_sent = self.is_sent.replace(failure.is_none());
        if let Some(e) = failure.filter(|_| was_sent) {
            log::warn!(event = "datagram_unsent", kind = kind, bytes = bytes, error = e.to_string(); "");
        }
    }
}
