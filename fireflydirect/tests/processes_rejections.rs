//! An entry that rejects requests while their callers still send them.

mod support;

use std::sync::Arc;
use support::{KEY, Site, cases};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Body of a request in bytes: more than the kernel takes before the entry has answered.
const BODY_BYTES: usize = 6 << 20;

/// Requests of each kind.
const REQUESTS: usize = 8;

/// Sends a whole request, then reads its answer to the end of the connection; an error if either breaks off.
async fn send_then_read(site: &Site, path: &str, key: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(site.callers_of(0)).await?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {}\r\n\
         X-Deadline-Ms: 20000\r\nX-Credential: {key}\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
        site.id()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'b'; BODY_BYTES]).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

async fn check_rejected(site: Site, path: &'static str, key: &'static str, status: u16) -> Site {
    let site = Arc::new(site);
    let callers: Vec<_> = (0..REQUESTS)
        .map(|_| {
            let site = site.clone();
            tokio::spawn(async move { send_then_read(&site, path, key).await })
        })
        .collect();
    for caller in callers {
        let answer = caller.await.unwrap().unwrap();
        let begins = format!("HTTP/1.1 {status} ");
        assert!(answer.starts_with(&begins), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        assert!(answer.ends_with("}}\r\n0\r\n\r\n"), "{answer}");
    }
    Arc::into_inner(site).unwrap()
}

cases! {
    caller_that_still_sends_gets_the_rejection_of_a_long_head(site: 1) {
        for _ in 0..REQUESTS {
            let mut stream = TcpStream::connect(site.callers_of(0)).await.unwrap();
            stream.write_all(b"POST /file/a HTTP/1.1\r\nHost: site.example\r\n").await.unwrap();
            for number in 0..40_000 {
                let line = format!("X-{number}: {}\r\n", "1".repeat(100));
                stream.write_all(line.as_bytes()).await.unwrap();
            }
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.unwrap();
            assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
        }
    }

    caller_that_still_sends_gets_the_rejection_of_an_unknown_route(site: 1) {
        site = check_rejected(site, "/nowhere/a", KEY, 404).await;
    }

    caller_that_still_sends_gets_the_rejection_of_an_unknown_key(site: 1) {
        site = check_rejected(site, "/file/a", "key-of-nobody", 401).await;
    }

    caller_that_still_sends_gets_the_rejection_of_a_large_body(site: 1) {
        site = check_rejected(site, "/file/a", KEY, 413).await;
    }
}
