//! Connections of callers.

use crate::node::{Node, Stage};
use crate::serve::serve;
use fireflycroft::Time;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Idle time of a connection while no configuration states one.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Wait after a failed accept: descriptors run out for moments only.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bytes of a head that are read at most, the connection's buffer.
const HEAD_BUFFER: usize = 64 << 10;

/// Headers of a head that are read at most.
const MAX_HEADERS: usize = 128;

/// What a connection is doing.
struct Activity {
    calls: Cell<usize>,
    since: Cell<Time>,
}

/// One call of a connection under way; ends when dropped.
struct Calling {
    node: Rc<Node>,
    activity: Rc<Activity>,
}

impl Calling {
    fn begin(node: &Rc<Node>, activity: &Rc<Activity>) -> Self {
        node.calls_in_flight.set(node.calls_in_flight.get() + 1);
        activity.calls.set(activity.calls.get() + 1);
        Self {
            node: node.clone(),
            activity: activity.clone(),
        }
    }
}

impl Drop for Calling {
    fn drop(&mut self) {
        self.node
            .calls_in_flight
            .set(self.node.calls_in_flight.get() - 1);
        self.activity.calls.set(self.activity.calls.get() - 1);
        self.activity.since.set(self.node.now());
    }
}

/// Accepts callers for as long as the process lives.
pub async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(talk(node.clone(), stream));
            }
            Err(e) => {
                log::warn!(event = "accept_failed", error = e.to_string(); "");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn talk(node: Rc<Node>, stream: TcpStream) {
    // A socket that takes no option is gone already; the first read tells.
    let _ = stream.set_nodelay(true);
    let activity = Rc::new(Activity {
        calls: Cell::new(0),
        since: Cell::new(node.now()),
    });
    let service = service_fn(|req| {
        let calling = Calling::begin(&node, &activity);
        let node = node.clone();
        async move {
            let answer = serve(node, req).await;
            Ok::<_, Infallible>(answer.map(|body| crate::answer::guarded(body, calling)))
        }
    });
    let conn = http1::Builder::new()
        .max_buf_size(HEAD_BUFFER)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = pin!(conn);
    let mut closing = false;
    loop {
        tokio::select! {
            // A caller that breaks its own connection is no event worth a line.
            _ = conn.as_mut() => return,
            () = until_over(&node, &activity), if !closing => {
                closing = true;
                conn.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Ends when the process closes or the connection has been idle for too long.
async fn until_over(node: &Node, activity: &Activity) {
    let mut stage = node.subscribe_stage();
    let closing = async {
        // The sender lives as long as the node.
        let _ = stage.wait_for(|s| *s == Stage::Closing).await;
    };
    tokio::select! {
        () = closing => {}
        () = until_idle(node, activity) => {}
    }
}

async fn until_idle(node: &Node, activity: &Activity) {
    loop {
        let limit = idle_limit(node);
        let until = activity.since.get() + limit;
        let busy = activity.calls.get() > 0;
        if !busy && node.now() >= until {
            return;
        }
        let wake = if busy { node.now() + limit } else { until };
        tokio::time::sleep_until(node.clock.instant(wake)).await;
    }
}

fn idle_limit(node: &Node) -> Duration {
    let catalog = node.catalog.borrow();
    let limit = catalog.as_ref().map(|c| c.limits().idle_timeout);
    limit.unwrap_or(DEFAULT_IDLE)
}
