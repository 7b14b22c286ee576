//! Short calls of the platform's store and of other entries, over one connection that is kept.

use crate::links::{Link, call_whole, open};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use std::net::SocketAddr;
use std::time::Duration;

/// A client of one address; one call at a time.
pub struct Client {
    addr: SocketAddr,
    link: Option<Link>,
}

impl Client {
    /// A client that isn't connected yet.
    #[must_use]
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr, link: None }
    }

    /// Reads `path` within `limit`: status and body.
    ///
    /// # Errors
    ///
    /// When no whole answer came; the connection is dropped then.
    pub async fn get(&mut self, path: &str, limit: Duration) -> anyhow::Result<(u16, Bytes)> {
        let req = Request::get(path)
            .header(HOST, self.addr.to_string())
            .body(Full::default())?;
        self.call(req, limit).await
    }

    /// Sends `body` to `path` within `limit`: status and body.
    ///
    /// # Errors
    ///
    /// When no whole answer came; the call may have taken effect all the same.
    pub async fn post(
        &mut self,
        path: &str,
        body: String,
        limit: Duration,
    ) -> anyhow::Result<(u16, Bytes)> {
        let req = Request::post(path)
            .header(HOST, self.addr.to_string())
            .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
            .body(Full::new(Bytes::from(body)))?;
        self.call(req, limit).await
    }

    async fn call(
        &mut self,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> anyhow::Result<(u16, Bytes)> {
        let link = self.link.take();
        let (link, status, bytes) =
            tokio::time::timeout(limit, exchange(self.addr, link, req)).await??;
        self.link = Some(link);
        Ok((status, bytes))
    }
}

async fn exchange(
    addr: SocketAddr,
    link: Option<Link>,
    req: Request<Full<Bytes>>,
) -> anyhow::Result<(Link, u16, Bytes)> {
    let mut link = match link.filter(|l| !l.sender.is_closed()) {
        Some(link) => link,
        None => open(addr).await?,
    };
    let (status, bytes) = call_whole(&mut link, req).await?;
    Ok((link, status, bytes))
}
