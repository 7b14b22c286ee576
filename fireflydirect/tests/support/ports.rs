//! Networks and ports that no other test uses.

use std::net::{IpAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

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

/// Free ports of an address, all different and none of them in `taken`.
///
/// All are held until the last one is drawn. Drawn one after the other, each given back before the
/// next, two of four are the same once in some 2,000 times, and the process ends at its second bind.
pub(crate) fn free_ports<const N: usize>(ip: IpAddr, taken: &[u16]) -> [u16; N] {
    let mut held: Vec<TcpListener> = Vec::new();
    let mut ports = Vec::new();
    while ports.len() < N {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let port = listener.local_addr().unwrap().port();
        held.push(listener);
        if !taken.contains(&port) {
            ports.push(port);
        }
    }
    ports.try_into().unwrap()
}
