//! Callers' connections that are read slowly, with small windows, so that the kernel buffers little for them.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Receive buffer and segments, in bytes.
const RECEIVE_BUFFER: usize = 6_000;
const SEGMENT: u32 = 500;

/// Last bytes of an answer in chunks.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// Bytes read at a time, and the pause between two reads.
#[derive(Clone, Copy)]
pub(crate) struct Pace {
    pub(crate) bytes: usize,
    pub(crate) pause: Duration,
}

/// Connects with a small window.
pub(crate) fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.set_tcp_mss(SEGMENT)?;
    socket.connect(&addr.into())?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

/// Reads an answer in chunks slowly, until it or its connection has ended.
pub(crate) async fn read_slowly(stream: &mut TcpStream, pace: Pace) -> Vec<u8> {
    let mut buf = vec![0; pace.bytes];
    let mut answer = Vec::new();
    while let Ok(len @ 1..) = stream.read(&mut buf).await {
        answer.extend_from_slice(&buf[..len]);
        if is_whole(&answer) {
            break;
        }
        tokio::time::sleep(pace.pause).await;
    }
    answer
}

/// Returns whether an answer in chunks has come to its end.
pub(crate) fn is_whole(answer: &[u8]) -> bool {
    answer.ends_with(LAST_CHUNK)
}

/// Returns the status of an answer and what has come of its body in chunks.
pub(crate) fn decode(answer: &[u8]) -> Option<(u16, Vec<u8>)> {
    let text = String::from_utf8_lossy(answer);
    let (head, mut rest) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut body = Vec::new();
    while let Some((len, chunk)) = rest.split_once("\r\n") {
        let Ok(len) = usize::from_str_radix(len, 16) else {
            break;
        };
        body.extend_from_slice(&chunk.as_bytes()[..len.min(chunk.len())]);
        rest = chunk.get(len + 2..).unwrap_or_default();
    }
    Some((status, body))
}
