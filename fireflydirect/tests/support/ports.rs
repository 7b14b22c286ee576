//! Loopback networks and ports that are unique to a test.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use tokio::net::TcpSocket;

/// Next network number, so that the tests of a process use different addresses.
static NETS: AtomicU8 = AtomicU8::new(1);

/// Port that a test holds on the last address of its network while it uses the network.
///
/// It is below the system's ephemeral ports, so only another test can hold it.
const CLAIM_PORT: u16 = 7_199;

/// Claims a network that no other test on this machine uses; returns it and the listener that holds
/// it.
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

/// Ports of an address, reserved until dropped.
///
/// Each is bound by a socket that never listens; another process may bind and listen on it, since
/// both sockets allow address reuse. A closed listener, in contrast, may stay open in a process that
/// is being started, and the system may assign its port to any other socket.
pub(crate) struct ReservedPorts<const N: usize> {
    /// The ports, all different.
    pub(crate) numbers: [u16; N],
    _sockets: Vec<TcpSocket>,
}

/// Reserves free ports of an address, none of them in `taken`.
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

/// Reserves a port of an address for a later listener; zero for any free port.
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
