//! Hand-written HTTP reading and writing, since faults need truncated answers.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Interval of checks for a connection closed by the caller.
const CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Names and values of an answer's headers.
pub(super) type Headers = Vec<(String, String)>;

/// An HTTP request.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    pub(super) method: String,
    pub(super) path: String,
    headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header; `name` is in lower case.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the request as it is sent.
    pub(super) fn to_bytes(&self) -> Vec<u8> {
        let lines = self.headers.iter().map(|(n, v)| format!("{n}: {v}\r\n"));
        let start_line = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        let head: String = std::iter::once(start_line).chain(lines).collect();
        [head.as_bytes(), b"\r\n", &self.body].concat()
    }

    /// Returns the ids of the prompt's parts but the last.
    pub(super) fn shared_parts(&self) -> Vec<String> {
        let list = self.header("x-prompt-prefix").unwrap_or_default();
        let id = |entry: &str| {
            entry
                .split(':')
                .next()
                .unwrap_or_default()
                .trim()
                .to_owned()
        };
        let mut ids: Vec<String> = list.split(',').map(id).collect();
        ids.pop();
        ids
    }

    /// Returns the value of a query parameter.
    pub(super) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    }
}

/// Reads the next request of a connection. Returns `None` at the end of the connection or when
/// the head is too long.
pub(super) async fn read_request(
    stream: &mut (impl AsyncRead + Unpin),
    buf: &mut Vec<u8>,
) -> io::Result<Option<Request>> {
    let head_len = loop {
        if let Some(at) = find_subslice(buf, b"\r\n\r\n") {
            break at + 4;
        }
        if buf.len() > MAX_HEAD_BYTES || read_more(stream, buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_len]).into_owned();
    buf.drain(..head_len);
    let mut req = parse_head(&head);
    let len = req.header("content-length").and_then(|l| l.parse().ok());
    let len: usize = len.unwrap_or(0);
    while buf.len() < len {
        if read_more(stream, buf).await? == 0 {
            return Ok(None);
        }
    }
    req.body = buf.drain(..len).collect();
    Ok(Some(req))
}

fn parse_head(head: &str) -> Request {
    let mut lines = head.split("\r\n");
    let mut start_line = lines.next().unwrap_or_default().split(' ');
    let header = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_owned()))
    };
    Request {
        method: start_line.next().unwrap_or_default().to_owned(),
        path: start_line.next().unwrap_or_default().to_owned(),
        headers: lines.filter_map(header).collect(),
        body: Vec::new(),
    }
}

async fn read_more(stream: &mut (impl AsyncRead + Unpin), buf: &mut Vec<u8>) -> io::Result<usize> {
    stream.read_buf(buf).await
}

fn find_subslice(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|w| w == pattern)
}

/// Writes a complete answer.
pub(super) async fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(impl AsRef<str>, impl AsRef<str>)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = head(status, headers);
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).await
}

/// Returns the status line and these headers, without the empty line.
pub(super) fn head(status: u16, headers: &[(impl AsRef<str>, impl AsRef<str>)]) -> Vec<u8> {
    let lines = headers
        .iter()
        .map(|(name, value)| format!("{}: {}\r\n", name.as_ref(), value.as_ref()));
    let start_line = format!("HTTP/1.1 {status} Status\r\n");
    start_line
        .into_bytes()
        .into_iter()
        .chain(lines.flat_map(String::into_bytes))
        .collect()
}

/// Closes the connection with a reset.
pub(super) fn reset(stream: TcpStream) {
    // If the option can't be set, the socket is closed in the ordinary way.
    let _ = stream.set_zero_linger();
    drop(stream);
}

/// Waits until the caller has closed the connection.
pub(super) async fn until_closed(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => tokio::time::sleep(CLOSED_CHECK_INTERVAL).await,
        }
    }
}
