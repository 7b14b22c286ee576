//! Starting an upstream, also where another one has just ended.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use socket2::SockRef;
use tokio::net::TcpListener;

/// Tries to bind an address again, one each [`BIND_PAUSE`].
const BIND_ATTEMPTS: u32 = 500;

/// Time between two of them.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Binds an address that its former owner is about to give up.
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

/// Time of day, in Unix milliseconds.
pub(super) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |t| u64::try_from(t.as_millis()).unwrap_or(u64::MAX))
}

/// Closes a port for new connections at once.
///
/// A process that is just being started holds a copy of every descriptor until it runs its program,
/// and a listener that is only dropped would take connections meanwhile.
pub(super) fn close_port(listener: TcpListener) {
    // One that is no longer there is closed already.
    let _ = SockRef::from(&listener).shutdown(Shutdown::Both);
    drop(listener);
}
