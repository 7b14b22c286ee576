//! A caller that speaks HTTP/1.0.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{DOSSIERS, Fleet};

/// Sends a chat request as HTTP/1.0, whose answer may end with its connection; returns all that comes.
pub async fn chat_as_http_1_0(fleet: &Fleet, body: &str) -> String {
    let fields = format!("content-length: {}\r\n", body.len());
    send_as_http_1_0(fleet, "POST /v1/chat/completions", DOSSIERS, &fields, body).await
}

/// Sends a request with these further header lines as HTTP/1.0; returns all that comes.
pub async fn send_as_http_1_0(
    fleet: &Fleet,
    line: &str,
    key: &str,
    fields: &str,
    body: &str,
) -> String {
    let mut caller = TcpStream::connect(fleet.entries[0].callers.unwrap())
        .await
        .unwrap();
    let head = format!(
        "{line} HTTP/1.0\r\nhost: entry\r\nauthorization: Bearer {key}\r\n{fields}\r\n{body}"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    answer
}
