//! Networks and ports that no other test uses.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use tokio::net::TcpSocket;

/// Networks of tests, so that none meets another's addresses.
static NETS: AtomicU8 = AtomicU8::new(1);

/// Port that a test holds on the last address of its network for as long as it uses the network:
/// below those that the system gives out, so that it can only be held by another test.
const CLAIM_PORT: u16 = 7_199;

/// A network that no other test of this machine uses, and the listener that holds it.
pub(super) fn claim_net() -> ([u8; 2], TcpListener) {
    let pid = std::process::id().to_le_bytes()[0] % 100;
    loop {
        let net = [100 + pid, NETS.fetch_add(1, Ordering::Relaxed)];
        let last = IpAddr::from([127, net[0], net[1], 254]);
        if let Ok(claim) = TcpListener::bind((last, CLAIM_PORT)) {
            return (net, claim);
        }
    }
}

/// Ports of an address that the system gives to nobody else until this is dropped.
///
/// Each is bound by a socket that never listens, beside which a process may bind and listen: both
/// allow the address to be used again. A listener that is let go may live on in another process that
/// is just being started, and the system may give its port to whoever asks.
pub(crate) struct ReservedPorts<const N: usize> {
    /// The ports, all different.
    pub(crate) numbers: [u16; N],
    _sockets: Vec<TcpSocket>,
}

/// Free ports of an address, none of them in `taken`.
pub(crate) fn free_ports<const N: usize>(ip: IpAddr, taken: &[u16]) -> ReservedPorts<N> {
    let mut sockets = Vec::new();
    let mut numbers = Vec::new();
    while numbers.len() < N {
        let socket = reserve(ip, 0);
        let port = socket.local_addr().unwrap().port();
        sockets.push(socket);
        if !taken.contains(&port) {
            numbers.push(port);
        }
    }
    ReservedPorts {
        numbers: numbers.try_into().unwrap(),
        _sockets: sockets,
    }
}

/// Holds a port of an address for one that will listen there; zero for any that is free.
pub(super) fn reserve(ip: IpAddr, port: u16) -> TcpSocket {
    let socket = match ip {
        IpAddr::V4(_) => TcpSocket::new_v4(),
        IpAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(SocketAddr::from((ip, port))).unwrap();
    socket
}
