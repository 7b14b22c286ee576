//! An upstream of the site: a model engine with memory to move, or a plain service.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use super::http::{Headers, Request, read_request, reset, until_closed, write_answer};
use super::record::{CopyKey, Record, RunEnd};
use super::runs::{ActiveRun, answer_plain, migrate_run, send_report, stream_generation};
use super::start::{bind_with_retries, close_port, unix_millis};
use crate::sync::lock;

/// What an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineKind {
    /// It streams generations.
    Model,
    /// It answers calls as a whole.
    Plain,
}

/// How an upstream spoils the requests to come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerFault {
    /// It doesn't.
    #[default]
    None,
    /// It turns them away as not run.
    Reject,
    /// It runs them and answers 500.
    Error,
    /// It runs them and resets the connection.
    DropAnswer,
    /// It breaks off in the middle of the fifth event, or of the body.
    Truncate,
    /// It sends another request's answer after each one.
    Duplicate,
    /// It crashes when it begins to run them.
    Crash,
    /// It never answers.
    Hang,
    /// It reads prompts for a second before it answers.
    Slow,
}

/// A running upstream; dropping it ends it.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
}

#[derive(Debug)]
pub(super) struct Shared {
    kind: EngineKind,
    instance: Mutex<String>,
    /// Unix milliseconds of the start.
    pub(super) born: u64,
    addr: SocketAddr,
    /// Address under which others know it: a proxy's, if there is one.
    pub(super) advertised_addr: Mutex<SocketAddr>,
    pub(super) record: Record,
    fault: Mutex<AnswerFault>,
    /// Requests that it turned away.
    rejected: AtomicUsize,
    /// Headers that all its answers carry beside their own, by name.
    extra_headers: Mutex<HashMap<String, String>>,
    /// Milliseconds until it is gone, as its report says.
    pub(super) leaves_ms: Mutex<Option<u32>>,
    /// Runs that are to stop for a move, by request.
    pub(super) stop_signals: Mutex<HashMap<String, Arc<Notify>>>,
    crash: Notify,
    /// Handles given out in this life.
    pub(super) next_handle: AtomicU64,
}

impl Shared {
    fn new(kind: EngineKind, instance: &str, addr: SocketAddr, record: Record, born: u64) -> Self {
        Self {
            kind,
            instance: Mutex::new(instance.to_owned()),
            born,
            addr,
            advertised_addr: Mutex::new(addr),
            record,
            fault: Mutex::default(),
            rejected: AtomicUsize::new(0),
            extra_headers: Mutex::default(),
            leaves_ms: Mutex::default(),
            stop_signals: Mutex::default(),
            crash: Notify::new(),
            next_handle: AtomicU64::new(0),
        }
    }

    /// These headers, and those that all answers carry.
    pub(super) fn with_extra_headers(&self, own: &[(&str, &str)]) -> Headers {
        let owned = |(name, value): (&str, &str)| (name.to_owned(), value.to_owned());
        let own = own.iter().copied().map(owned);
        let extra_headers = lock(&self.extra_headers);
        let extra_headers = extra_headers.iter().map(|(n, v)| owned((n, v)));
        own.chain(extra_headers).collect()
    }

    /// Writes a whole answer to a request.
    pub(super) async fn answer(
        &self,
        stream: &mut TcpStream,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        write_answer(stream, status, &self.with_extra_headers(headers), body).await
    }
}

impl Engine {
    /// Starts an upstream at `addr`, whose port may be zero.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub async fn start(
        kind: EngineKind,
        instance: &str,
        addr: SocketAddr,
        record: Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        Ok(Self::run(
            listener,
            Shared::new(kind, instance, addr, record, unix_millis()),
        ))
    }

    fn run(listener: TcpListener, shared: Shared) -> Self {
        let shared = Arc::new(shared);
        let (stop, stopped) = watch::channel(false);
        tokio::spawn(accept(listener, shared.clone(), stopped));
        Self { shared, stop }
    }

    /// Ends it and starts it again at once, under the same id and address: it knows nothing of
    /// before.
    ///
    /// # Errors
    ///
    /// When the address isn't free within a few seconds.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let old = &self.shared;
        let listener = bind_with_retries(old.addr).await?;
        let born = unix_millis().max(old.born + 1);
        let record = old.record.clone();
        let shared = Shared::new(old.kind, &self.instance(), old.addr, record, born);
        *lock(&shared.advertised_addr) = *lock(&old.advertised_addr);
        *self = Self::run(listener, shared);
        Ok(())
    }

    /// When it started, in Unix milliseconds.
    #[must_use]
    pub fn born(&self) -> u64 {
        self.shared.born
    }

    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Its id.
    #[must_use]
    pub fn instance(&self) -> String {
        lock(&self.shared.instance).clone()
    }

    /// The entry that it keeps of itself in the store.
    #[must_use]
    pub fn registration(&self, service: &str, state: &str) -> Value {
        json!({"service": service, "address": self.addr().to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1,
            "born": self.born()})
    }

    /// Spoils the requests to come.
    pub fn set_fault(&self, fault: AnswerFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Requests that it has turned away since its start.
    #[must_use]
    pub fn rejected(&self) -> usize {
        self.shared.rejected.load(Ordering::Relaxed)
    }

    /// Says so in a header of all answers to requests, or no longer.
    pub fn set_header(&self, name: &str, value: Option<&str>) {
        let mut extra_headers = lock(&self.shared.extra_headers);
        match value {
            Some(value) => extra_headers.insert(name.to_owned(), value.to_owned()),
            None => extra_headers.remove(name),
        };
    }

    /// Says in its report that it is gone after so many milliseconds.
    pub fn report_leaving(&self, after_ms: u32) {
        *lock(&self.shared.leaves_ms) = Some(after_ms);
    }

    /// Others know it by this address from now on.
    pub fn set_advertised_addr(&self, addr: SocketAddr) {
        *lock(&self.shared.advertised_addr) = addr;
    }

    /// Gives the address to another instance, as after a restart.
    pub fn set_instance(&self, instance: &str) {
        instance.clone_into(&mut lock(&self.shared.instance));
    }

    /// Ends it at once: connections are reset, the port is closed.
    pub fn kill(&self) {
        // It may have crashed already.
        let _ = self.stop.send(true);
        let advertised_addr = lock(&self.shared.advertised_addr).to_string();
        self.shared.record.drop_copies_at(&advertised_addr);
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, mut stopped: watch::Receiver<bool>) {
    // Connections are reset once the port is closed, so that nobody who sees it can connect again.
    let (closing, closed) = watch::channel(false);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                connections.spawn(serve_connection(stream, shared.clone(), closed.clone()));
            }
            () = shared.crash.notified() => break,
            _ = stopped.wait_for(|s| *s) => break,
        }
    }
    close_port(listener);
    closing.send_replace(true);
    connections.shutdown().await;
}

async fn serve_connection(
    mut stream: TcpStream,
    shared: Arc<Shared>,
    mut closed: watch::Receiver<bool>,
) {
    let mut buf = Vec::new();
    loop {
        let read = tokio::select! {
            read = read_request(&mut stream, &mut buf) => read,
            _ = closed.wait_for(|c| *c) => return reset(stream),
        };
        let Ok(Some(req)) = read else { return };
        match answer(&mut stream, &shared, &req).await {
            Ok(ConnectionAction::Keep) => {}
            Ok(ConnectionAction::Reset) => return reset(stream),
            Err(_) => return,
        }
    }
}

/// What becomes of a connection after a request.
pub(super) enum ConnectionAction {
    Keep,
    Reset,
}

async fn answer(
    stream: &mut TcpStream,
    shared: &Shared,
    req: &Request,
) -> io::Result<ConnectionAction> {
    if req.path == "/v1/kv-move" {
        return migrate_run(stream, shared, req).await;
    }
    if req.path == "/v1/report" {
        return send_report(stream, shared).await;
    }
    let instance = lock(&shared.instance).clone();
    if req
        .header("x-expect-instance")
        .is_some_and(|i| i != instance)
    {
        let headers = [("X-Instance-Id", instance.as_str())];
        shared.answer(stream, 421, &headers, b"").await?;
        return Ok(ConnectionAction::Keep);
    }
    let Some(id) = req.header("x-request-id") else {
        shared
            .answer(stream, 400, &[("X-Not-Executed", "1")], b"")
            .await?;
        return Ok(ConnectionAction::Keep);
    };
    let fault = *lock(&shared.fault);
    if fault == AnswerFault::Reject {
        shared.rejected.fetch_add(1, Ordering::Relaxed);
        shared
            .answer(stream, 503, &[("X-Not-Executed", "1")], b"")
            .await?;
        return Ok(ConnectionAction::Keep);
    }
    let from_memory = req.header("kv-from").is_some();
    if from_memory && !take_matching_copy(shared, req, id) {
        shared
            .answer(stream, 503, &[("X-Not-Executed", "1")], b"")
            .await?;
        return Ok(ConnectionAction::Keep);
    }
    let run = ActiveRun::begin(shared, req, id, &instance);
    match fault {
        AnswerFault::Crash => {
            shared.crash.notify_one();
            std::future::pending().await
        }
        AnswerFault::Hang => {
            until_closed(stream).await;
            Ok(ConnectionAction::Reset)
        }
        AnswerFault::DropAnswer => {
            run.end(RunEnd::Broken);
            Ok(ConnectionAction::Reset)
        }
        AnswerFault::Error => {
            let headers = [("X-Request-Id", id), ("X-Response-Seal", "seal")];
            shared.answer(stream, 500, &headers, b"failed").await?;
            run.end(RunEnd::Complete);
            Ok(ConnectionAction::Keep)
        }
        _ if shared.kind == EngineKind::Plain => {
            answer_plain(stream, shared, req, id, fault, &run).await
        }
        _ => stream_generation(stream, shared, req, id, fault, &run).await,
    }
}

/// Takes the copy that a request names, if it lies here and is its own.
fn take_matching_copy(shared: &Shared, req: &Request, id: &str) -> bool {
    let Some((issuer, handle)) = req.header("kv-from").and_then(|from| from.split_once('/')) else {
        return false;
    };
    let owner = shared.record.take_copy(&CopyKey {
        holder: lock(&shared.advertised_addr).to_string(),
        issuer: issuer.to_owned(),
        handle: handle.to_owned(),
    });
    if owner.as_deref().is_some_and(|of| of != id) {
        // The real engine doesn't compare, and would go on from the other's memory.
        shared.record.record_foreign_memory(id);
    }
    owner.is_some_and(|of| of == id)
}
