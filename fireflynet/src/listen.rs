//! Listeners for whose connections the kernel holds few bytes that nobody has read.

use fireflycroft::{RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds a listener whose connections have buffers of [`RECEIVE_BUFFER_BYTES`] and [`SEND_BUFFER_BYTES`]; the kernel
/// would let them grow to megabytes.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Inherited by accepted connections; a buffer set later would not bound the window that was announced.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
