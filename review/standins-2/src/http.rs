//! Plain HTTP/1.1 on blocking sockets: a server with a thread for each connection, and a client.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request as a server read it.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
}

impl Request {
    /// Returns the first value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n == name);
    found.map(|(_, v)| v.as_str())
}

/// What a handler wants to be done with the connection.
#[derive(PartialEq, Eq)]
pub enum After {
    Keep,
    Close,
}

type Handler = dyn Fn(&Request, &mut TcpStream) -> io::Result<After> + Send + Sync;

/// A server; stopping it closes the port, then all connections.
pub struct Server {
    pub addr: SocketAddr,
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Listens on an address and answers with `handler`.
    pub fn start(
        addr: SocketAddr,
        handler: impl Fn(&Request, &mut TcpStream) -> io::Result<After> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = bind(addr)?;
        let addr = listener.local_addr()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let open = Arc::new(Mutex::new(Vec::new()));
        let handler: Arc<Handler> = Arc::new(handler);
        let (is_stopped, connections) = (stopped.clone(), open.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || {
                    let _ = serve(stream, &*handler);
                });
            }
        });
        Ok(Self {
            addr,
            stopped,
            open,
        })
    }

    /// Closes the port, so that new connections are refused, and then the connections.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the listener, which ends and closes its port.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
        thread::sleep(Duration::from_millis(5));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let end = Instant::now() + Duration::from_secs(5);
    loop {
        match TcpListener::bind(addr) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < end => {
                thread::sleep(Duration::from_millis(50));
            }
            other => return other,
        }
    }
}

fn serve(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    let mut buf = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buf)? {
        if handler(&request, &mut stream)? == After::Close {
            let _ = stream.shutdown(Shutdown::Both);
            return Ok(());
        }
    }
    Ok(())
}

fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some(head) = read_head(stream, buf)? else {
        return Ok(None);
    };
    let (start, headers) = parse_head(&head);
    let length = find(&headers, "content-length").and_then(|l| l.parse().ok());
    read_exact(stream, buf, length.unwrap_or(0))?;
    Ok(Some(Request {
        path: start.split(' ').nth(1).unwrap_or_default().to_owned(),
        headers,
    }))
}

fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = buf.drain(..at + 4).collect();
            return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
        }
        if !read_more(stream, buf)? {
            return Ok(None);
        }
    }
}

fn read_exact(stream: &mut TcpStream, buf: &mut Vec<u8>, length: usize) -> io::Result<Vec<u8>> {
    while buf.len() < length {
        if !read_more(stream, buf)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(buf.drain(..length).collect())
}

fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<bool> {
    let mut space = [0; 8192];
    let read = stream.read(&mut space)?;
    buf.extend_from_slice(&space[..read]);
    Ok(read > 0)
}

fn parse_head(head: &str) -> (String, Vec<(String, String)>) {
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let header = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_owned()))
    };
    (start, lines.filter_map(header).collect())
}

/// Writes a complete answer.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = head(status, headers);
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Writes the head of an answer in chunks.
pub fn begin_chunks(stream: &mut TcpStream, headers: &[(&str, &str)]) -> io::Result<()> {
    let mut bytes = head(200, headers);
    bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
    stream.write_all(&bytes)
}

/// Writes one chunk; an empty one ends the answer.
pub fn chunk(stream: &mut TcpStream, data: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes)
}

fn head(status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.into_bytes()
}

/// What a client got.
pub struct Reply {
    /// Zero if no answer came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer ended in order.
    pub is_whole: bool,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends a request on a new connection and reads the answer as far as it comes.
pub fn request(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
    timeout: Duration,
) -> Reply {
    let mut reply = Reply {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        is_whole: false,
    };
    // An error leaves the answer as far as it came.
    let _ = exchange(to, method, path, headers, body, timeout, &mut reply);
    reply
}

fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
    timeout: Duration,
    reply: &mut Reply,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut buf = Vec::new();
    let Some(head) = read_head(&mut stream, &mut buf)? else {
        return Ok(());
    };
    let (start, headers) = parse_head(&head);
    reply.status = start
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    reply.headers = headers;
    if reply.header("transfer-encoding").is_some() {
        read_chunks(&mut stream, &mut buf, reply)
    } else {
        let length = reply.header("content-length").and_then(|l| l.parse().ok());
        reply.body = read_exact(&mut stream, &mut buf, length.unwrap_or(0))?;
        reply.is_whole = true;
        Ok(())
    }
}

fn read_chunks(stream: &mut TcpStream, buf: &mut Vec<u8>, reply: &mut Reply) -> io::Result<()> {
    loop {
        let end = loop {
            if let Some(at) = buf.windows(2).position(|w| w == b"\r\n") {
                break at;
            }
            if !read_more(stream, buf)? {
                return Ok(());
            }
        };
        let size = String::from_utf8_lossy(&buf[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return Ok(());
        };
        buf.drain(..end + 2);
        let data = read_exact(stream, buf, size + 2)?;
        reply.body.extend_from_slice(&data[..size]);
        if size == 0 {
            reply.is_whole = true;
            return Ok(());
        }
    }
}
