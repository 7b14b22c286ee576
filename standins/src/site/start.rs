//! Binding and closing of an upstream's port, also for a restart at the same address.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use socket2::SockRef;
use tokio::net::TcpListener;

/// Retries of binding an address, one per [`BIND_RETRY_INTERVAL`].
const BIND_ATTEMPTS: u32 = 500;

/// Interval between two bind attempts.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Binds an address, retrying while its former owner still uses it.
pub(super) async fn bind_with_retries(addr: SocketAddr) -> io::Result<TcpListener> {
    let mut attempts = 0;
    loop {
        match TcpListener::bind(addr).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && attempts < BIND_ATTEMPTS => {
                attempts += 1;
            }
            result => return result,
        }
        tokio::time::sleep(BIND_RETRY_INTERVAL).await;
    }
}

/// Returns the current time in Unix milliseconds.
pub(super) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |t| u64::try_from(t.as_millis()).unwrap_or(u64::MAX))
}

/// Closes a port and resets its connections: the port first, so that a client that sees the reset can't reconnect, or
/// some time after them.
pub(super) async fn close(
    listener: Option<TcpListener>,
    port_delay: Option<Duration>,
    end_connections: impl Future<Output = ()>,
) {
    match port_delay {
        None => {
            listener.into_iter().for_each(close_port);
            end_connections.await;
        }
        Some(delay) => {
            end_connections.await;
            tokio::time::sleep(delay).await;
            listener.into_iter().for_each(close_port);
        }
    }
}

/// Closes a port for new connections at once.
///
/// Between fork and exec, a child process holds a copy of every descriptor. A listener that is only
/// dropped would accept connections in that time.
pub(super) fn close_port(listener: TcpListener) {
    // Fails only when the socket is closed already.
    let _ = SockRef::from(&listener).shutdown(Shutdown::Both);
    drop(listener);
}
