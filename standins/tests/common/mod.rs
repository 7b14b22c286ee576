//! What the tests share: naming cases, calling, and reading streams.

#![allow(dead_code, reason = "each test file uses a part")]

use std::future::Future;
use std::time::Duration;

use futures_util::StreamExt;
use reqwest::{Client, Response};
use serde_json::Value;
use tokio::net::TcpListener;

/// Longest wait for anything that must come.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Names each case and gives it the call that checks it.
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

/// A listener on a port of the system's choice.
pub(crate) async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Waits for something that must come.
pub(crate) async fn within_timeout<T>(wait: impl Future<Output = T>) -> T {
    tokio::time::timeout(EVENT_TIMEOUT, wait)
        .await
        .expect("came too late")
}

/// Asks again until `check` holds.
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

/// Gets JSON with its status.
pub(crate) async fn get(url: impl AsRef<str>) -> (u16, Value) {
    json(Client::new().get(url.as_ref()).send().await.unwrap()).await
}

/// Posts JSON and gets JSON with its status.
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

/// The status and JSON body of a response.
pub(crate) async fn json(res: Response) -> (u16, Value) {
    let status = res.status().as_u16();
    (status, res.json().await.unwrap_or(Value::Null))
}

/// Server-sent events as they come.
pub(crate) struct Events {
    res: std::pin::Pin<Box<dyn futures_util::Stream<Item = Option<Vec<u8>>> + Send>>,
    buf: Vec<u8>,
}

/// One event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Event {
    /// A JSON event.
    Data(Value),
    /// The mark at the end.
    Done,
    /// The connection broke or ended.
    Disconnected,
}

impl Events {
    /// Reads the body of `res`.
    pub(crate) fn new(res: Response) -> Self {
        assert_eq!(res.status(), 200);
        Self {
            res: Box::pin(res.bytes_stream().map(|chunk| Some(chunk.ok()?.to_vec()))),
            buf: Vec::new(),
        }
    }

    /// The next event.
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

    /// The next token with its index.
    pub(crate) async fn token(&mut self) -> Value {
        match self.next().await {
            Event::Data(value) => value,
            other => panic!("no token but {other:?}"),
        }
    }

    /// All JSON events up to the end mark.
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

/// The text of a token event.
pub(crate) fn content(event: &Value) -> &str {
    event["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap_or("")
}
