//! Answers of upstreams, byte by byte, and a server that gives one.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::Ipv4Addr;
use std::time::Duration;

use fireflyd::upstream::GenerateRequest;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Timeout of calls that must end with a response.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) const END: &str = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\
    \"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2,\"preemptions\":1}}\n\ndata: [DONE]\n\n";

pub(crate) fn choice(text: &str) -> String {
    format!(
        "data: {}\n\n",
        json!({"choices": [{"delta": {"content": text}}]})
    )
}

pub(crate) fn numbered(id: u64) -> String {
    format!("id: {id}\n{}", choice("a"))
}

/// Returns whether `seen` holds a request with its whole body, so that a close after it is no reset.
fn is_whole_request(seen: &[u8]) -> bool {
    let Some(head) = seen.windows(4).position(|end| end == b"\r\n\r\n") else {
        return false;
    };
    let lines = String::from_utf8_lossy(&seen[..head]).to_lowercase();
    let len = lines
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let len: usize = len.map_or(0, |len| len.parse().unwrap());
    seen.len() >= head + 4 + len
}

/// Serves one connection: sends `answer` after the request, then closes.
pub(crate) async fn serve_once(answer: String) -> (String, tokio::task::JoinHandle<String>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let served = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut seen = Vec::new();
        while !is_whole_request(&seen) {
            socket.read_buf(&mut seen).await.unwrap();
        }
        socket.write_all(answer.as_bytes()).await.unwrap();
        String::from_utf8_lossy(&seen).into_owned()
    });
    (url, served)
}

pub(crate) fn head(status: &str, len: usize) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-type: text/plain\r\ncontent-length: {len}\r\n\r\n")
}

pub(crate) fn full_response(status: &str, body: &str) -> String {
    head(status, body.len()) + body
}

pub(crate) fn request() -> GenerateRequest {
    GenerateRequest {
        model: "m".into(),
        messages: json!([{"role": "user", "content": "x"}]),
        max_tokens: 8,
        priority: 0,
        stream_id: "s1".into(),
        request_id: Some("r1".into()),
    }
}
