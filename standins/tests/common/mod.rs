//! Shared test helpers: case declarations, HTTP calls and stream readers.

#![allow(dead_code, reason = "each test file uses a subset")]

use std::future::Future;
use std::time::Duration;

use futures_util::StreamExt;
use reqwest::{Client, Response};
use serde_json::Value;
use tokio::net::TcpListener;

/// Timeout of every expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Declares named test cases, each with its check function and arguments.
#[macro_export]
macro_rules! cases {
    ($($name:ident => $check:ident($($arg:expr),* $(,)?);)*) => {
        mod cases {
            #[allow(unused_imports, reason = "some cases have no arguments")]
            use super::*;

            $(
                #[tokio::test]
                async fn $name() {
                    super::$check($($arg),*).await;
                }
            )*
        }
    };
}

/// Binds a listener to a free port.
pub(crate) async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Awaits an expected event; panics after [`EVENT_TIMEOUT`].
pub(crate) async fn within_timeout<T>(wait: impl Future<Output = T>) -> T {
    tokio::time::timeout(EVENT_TIMEOUT, wait)
        .await
        .expect("timed out")
}

/// Polls `check` until it returns true.
pub(crate) async fn wait_until<F>(mut check: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    within_timeout(async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
}

/// Sends a GET request; returns the status and JSON body.
pub(crate) async fn get(url: impl AsRef<str>) -> (u16, Value) {
    json(Client::new().get(url.as_ref()).send().await.unwrap()).await
}

/// Posts JSON; returns the status and JSON body.
pub(crate) async fn post(url: impl AsRef<str>, body: &Value) -> (u16, Value) {
    json(
        Client::new()
            .post(url.as_ref())
            .json(body)
            .send()
            .await
            .unwrap(),
    )
    .await
}

/// Returns the status and JSON body of a response.
pub(crate) async fn json(res: Response) -> (u16, Value) {
    let status = res.status().as_u16();
    (status, res.json().await.unwrap_or(Value::Null))
}

/// Reader of server-sent events.
pub(crate) struct Events {
    res: std::pin::Pin<Box<dyn futures_util::Stream<Item = Option<Vec<u8>>> + Send>>,
    buf: Vec<u8>,
}

/// Event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Event {
    /// JSON event.
    Data(Value),
    /// `[DONE]` end marker.
    Done,
    /// Connection broken or closed.
    Disconnected,
}

impl Events {
    /// Creates a reader of the body of `res`.
    pub(crate) fn new(res: Response) -> Self {
        assert_eq!(res.status(), 200);
        Self {
            res: Box::pin(res.bytes_stream().map(|chunk| Some(chunk.ok()?.to_vec()))),
            buf: Vec::new(),
        }
    }

    /// Returns the next event.
    pub(crate) async fn next(&mut self) -> Event {
        loop {
            if let Some(event) = self.pop_event() {
                return event;
            }
            match within_timeout(self.res.next()).await {
                Some(Some(chunk)) => self.buf.extend(chunk),
                Some(None) | None => return Event::Disconnected,
            }
        }
    }

    /// Returns the next JSON event; panics on anything else.
    pub(crate) async fn token(&mut self) -> Value {
        match self.next().await {
            Event::Data(value) => value,
            other => panic!("expected a token, received {other:?}"),
        }
    }

    /// Returns the remaining JSON events; panics if the end marker is missing.
    pub(crate) async fn rest(&mut self) -> Vec<Value> {
        let mut values = Vec::new();
        loop {
            match self.next().await {
                Event::Data(value) => values.push(value),
                Event::Done => return values,
                Event::Disconnected => panic!("cut after {} events", values.len()),
            }
        }
    }

    fn pop_event(&mut self) -> Option<Event> {
        let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
        let block: Vec<u8> = self.buf.drain(..end + 2).collect();
        let text = String::from_utf8(block).unwrap();
        let data = text.lines().find_map(|line| line.strip_prefix("data: "));
        Some(match data.unwrap() {
            "[DONE]" => Event::Done,
            data => Event::Data(serde_json::from_str(data).unwrap()),
        })
    }
}

/// Returns the text of a token event.
pub(crate) fn content(event: &Value) -> &str {
    event["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap_or("")
}
