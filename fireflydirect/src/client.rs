//! HTTP client for short calls to the platform's store and to other entries, over one kept
//! connection.
//!
//! A call that makes no progress is hedged by a second attempt on a connection of its own, as
//! [`fireflycroft::HedgedCall`] decides.

use crate::clock::Clock;
use crate::links::{CallResponse, Link, call_with_progress, open};
use crate::node::Node;
use bytes::Bytes;
use fireflycroft::{AttemptId, HedgeStep, HedgedCall, max_fleet_answer};
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::{AbortHandle, JoinSet};

/// Outcome of one attempt.
type AttemptOutcome = (AttemptId, anyhow::Result<(Link, CallResponse)>);

/// Client for one address; runs one call at a time.
pub struct Client {
    addr: SocketAddr,
    clock: Clock,
    max_bytes: usize,
    link: Option<Link>,
}

/// The running attempts of one call.
struct RunningAttempts {
    hedged_call: Rc<RefCell<HedgedCall>>,
    tasks: JoinSet<AttemptOutcome>,
    handles: HashMap<AttemptId, AbortHandle>,
}

impl Client {
    /// Creates a client of a process without a connection.
    #[must_use]
    pub fn new(addr: SocketAddr, node: &Node) -> Self {
        Self {
            addr,
            clock: node.clock,
            max_bytes: max_fleet_answer(node.place.memory),
            link: None,
        }
    }

    /// Sends a GET request for `path` in the attempts that `hedged_call` allows.
    ///
    /// `on_hang` is called when an attempt hangs and another one begins beside it.
    ///
    /// # Errors
    ///
    /// Returns an error if all attempts failed, or the only one made no progress; their
    /// connections are dropped.
    pub async fn get(
        &mut self,
        path: &str,
        hedged_call: HedgedCall,
        on_hang: impl Fn(),
    ) -> anyhow::Result<CallResponse> {
        let mut running = RunningAttempts {
            hedged_call: Rc::new(RefCell::new(hedged_call)),
            tasks: JoinSet::new(),
            handles: HashMap::new(),
        };
        loop {
            let step = running.hedged_call.borrow_mut().next(self.clock.now());
            match step {
                HedgeStep::Start(id) => {
                    if running.hedged_call.borrow().started() > 1 {
                        on_hang();
                    }
                    self.start(&mut running, id, path)?;
                }
                HedgeStep::Abandon(id) => running.abandon(id),
                HedgeStep::GiveUp => anyhow::bail!("no progress"),
                HedgeStep::Wait(until) => {
                    let until = tokio::time::sleep_until(self.clock.instant(until));
                    let ended = tokio::select! {
                        ended = running.tasks.join_next() => ended,
                        () = until => continue,
                    };
                    if let Some((link, answered)) = running.handle_ended(ended)? {
                        self.link = Some(link);
                        return Ok(answered);
                    }
                }
            }
        }
    }

    fn start(
        &mut self,
        running: &mut RunningAttempts,
        id: AttemptId,
        path: &str,
    ) -> anyhow::Result<()> {
        let req = Request::get(path)
            .header(HOST, self.addr.to_string())
            .body(Full::default())?;
        let (addr, clock, link) = (self.addr, self.clock, self.link.take());
        let max_bytes = self.max_bytes;
        let hedged_call = running.hedged_call.clone();
        let handle = running.tasks.spawn_local(async move {
            let record_progress = || hedged_call.borrow_mut().record_progress(clock.now(), id);
            (
                id,
                exchange(addr, link, req, max_bytes, record_progress).await,
            )
        });
        running.handles.insert(id, handle);
        Ok(())
    }
}

impl RunningAttempts {
    fn abandon(&mut self, id: AttemptId) {
        if let Some(handle) = self.handles.remove(&id) {
            handle.abort();
        }
    }

    /// Handles the end of a task: a response, a failed attempt, or the end of the call.
    fn handle_ended(
        &mut self,
        ended: Option<Result<AttemptOutcome, tokio::task::JoinError>>,
    ) -> anyhow::Result<Option<(Link, CallResponse)>> {
        match ended {
            Some(Ok((_, Ok(answer)))) => Ok(Some(answer)),
            Some(Ok((id, Err(e)))) => {
                let was_last = self.hedged_call.borrow_mut().record_failure(id);
                if was_last { Err(e) } else { Ok(None) }
            }
            // An aborted attempt has no result.
            Some(Err(e)) if e.is_cancelled() => Ok(None),
            Some(Err(e)) => Err(e.into()),
            None => anyhow::bail!("no attempt is running"),
        }
    }
}

async fn exchange(
    addr: SocketAddr,
    link: Option<Link>,
    req: Request<Full<Bytes>>,
    max_bytes: usize,
    on_progress: impl Fn(),
) -> anyhow::Result<(Link, CallResponse)> {
    let mut link = match link.filter(|l| !l.sender.is_closed()) {
        Some(link) => link,
        None => open(addr).await?,
    };
    let answered = call_with_progress(&mut link, req, max_bytes, on_progress).await?;
    Ok((link, answered))
}
