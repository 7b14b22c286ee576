//! Accepts and serves callers' connections.

use crate::answer::{marked_until_whole, with_guard};
use crate::node::{Node, Stage};
use crate::serve::serve;
use fireflycroft::{CallerLimits, Time};
use fireflynet::{Account, CallGuard, CallerStream, HeadLimits};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Version};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::pending;
use std::ops::RangeInclusive;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Idle timeout of a connection while there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay after a failed accept: shortages of descriptors are brief.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Bounds of the size of a connection's buffer in bytes, which the largest request head has to fit into.
const BUFFER_BYTES: RangeInclusive<usize> = 16 << 10..=64 << 10;

/// Timeout of a request head while there is no configuration.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(15);

/// Multiple of the configured limits on a request head that is enforced: callers count the size of the headers alone,
/// and the network adds to the time that they take.
const HEAD_SLACK: u32 = 2;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 128;

/// Calls in progress on a connection, and the time since which it is idle.
struct Activity {
    node: Rc<Node>,
    calls: Cell<usize>,
    since: Cell<Time>,
    /// Whether it has brought a call, so that the process waits for it to close.
    has_answers: Cell<bool>,
}

impl Activity {
    fn new(node: &Rc<Node>) -> Self {
        Self {
            node: node.clone(),
            calls: Cell::new(0),
            since: Cell::new(node.now()),
            has_answers: Cell::new(false),
        }
    }

    fn record_answer(&self) {
        if !self.has_answers.replace(true) {
            let connections = &self.node.answering_connections;
            connections.set(connections.get() + 1);
        }
    }
}

impl Drop for Activity {
    fn drop(&mut self) {
        if self.has_answers.get() {
            let connections = &self.node.answering_connections;
            connections.set(connections.get() - 1);
        }
    }
}

/// Guard that counts a call in progress until dropped.
struct ActiveCall {
    node: Rc<Node>,
    activity: Rc<Activity>,
    _call: CallGuard,
}

impl ActiveCall {
    fn begin(node: &Rc<Node>, activity: &Rc<Activity>, account: &Account) -> Self {
        node.calls_in_flight.set(node.calls_in_flight.get() + 1);
        activity.calls.set(activity.calls.get() + 1);
        activity.record_answer();
        Self {
            node: node.clone(),
            activity: activity.clone(),
            _call: account.begin_call(),
        }
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.node
            .calls_in_flight
            .set(self.node.calls_in_flight.get() - 1);
        self.activity.calls.set(self.activity.calls.get() - 1);
        self.activity.since.set(self.node.now());
    }
}

/// Accepts connections until the process ends.
pub async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if let Some(account) = node.callers.open(peer) {
                    tokio::task::spawn_local(serve_connection(node.clone(), stream, account));
                }
                // Connections that give way to it close before the next one comes.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                log::warn!(event = "accept_failed", error = e.to_string(); "");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream, account: Account) {
    // A socket that rejects the option is closed already, which the first read reports.
    let _ = stream.set_nodelay(true);
    let activity = Rc::new(Activity::new(&node));
    let limits = head_limits(node.catalog.borrow().as_ref().map(|c| c.limits()));
    let stream = CallerStream::new(stream, account.clone(), limits);
    let unfinished = stream.unfinished();
    let service = service_fn(|req: Request<Incoming>| {
        let active_call = ActiveCall::begin(&node, &activity, &account);
        let node = node.clone();
        let account = account.clone();
        // A caller of this version knows no chunks.
        let unfinished = (req.version() == Version::HTTP_10).then(|| unfinished.clone());
        async move {
            let answer = serve(node, account, req).await;
            Ok::<_, Infallible>(answer.map(|body| {
                let body = match unfinished {
                    Some(mark) => marked_until_whole(body, mark),
                    None => body,
                };
                with_guard(body, active_call)
            }))
        }
    });
    let conn = http1::Builder::new()
        .max_buf_size(limits.bytes)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = pin!(conn);
    let mut closing = false;
    loop {
        tokio::select! {
            // A connection broken by its caller isn't logged.
            _ = conn.as_mut() => return,
            () = until_close_due(&node, &activity), if !closing => {
                closing = true;
                conn.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Waits until the process is closing or the connection exceeds its idle timeout.
///
/// A request may be on its way on a connection that has brought none, and gets a refusal.
async fn until_close_due(node: &Node, activity: &Activity) {
    let mut stage = node.subscribe_stage();
    let closing = async {
        // Can't fail, since the node owns the sender.
        let _ = stage.wait_for(|s| *s == Stage::Closing).await;
        if !activity.has_answers.get() {
            pending::<()>().await;
        }
    };
    tokio::select! {
        () = closing => {}
        () = until_idle(node, activity) => {}
    }
}

async fn until_idle(node: &Node, activity: &Activity) {
    loop {
        let limit = idle_timeout(node);
        let until = activity.since.get() + limit;
        let busy = activity.calls.get() > 0;
        if !busy && node.now() >= until {
            return;
        }
        let wake = if busy { node.now() + limit } else { until };
        tokio::time::sleep_until(node.clock.instant(wake)).await;
    }
}

/// Returns the limits on a request head that apply under a configuration, if there is one.
fn head_limits(configured: Option<&CallerLimits>) -> HeadLimits {
    let (bytes, time) = configured.map_or((usize::MAX, DEFAULT_HEADER_TIMEOUT), |limits| {
        (limits.header_bytes, limits.header_timeout)
    });
    let bytes = bytes.saturating_mul(HEAD_SLACK as usize);
    HeadLimits {
        bytes: bytes.clamp(*BUFFER_BYTES.start(), *BUFFER_BYTES.end()),
        time: time * HEAD_SLACK,
    }
}

fn idle_timeout(node: &Node) -> Duration {
    let catalog = node.catalog.borrow();
    let limit = catalog.as_ref().map(|c| c.limits().idle_timeout);
    limit.unwrap_or(DEFAULT_IDLE_TIMEOUT)
}
