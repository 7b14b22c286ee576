//! An upstream of the site: a model engine whose runs can migrate, or a plain service.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

use super::connections::{ConnectionAction, accept};
use super::faults::AnswerFault;
use super::framing::Framing;
use super::http::{Headers, Request, until_closed, write_answer};
use super::moves::Moves;
use super::record::{Record, RunEnd};
use super::runs::{
    ActiveRun, OwnAnswer, answer_plain, report, stream_generation, take_matching_copy,
};
use super::start::{bind_with_retries, unix_millis};
use crate::sync::lock;

/// Kinds of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineKind {
    /// Streams generations.
    Model,
    /// Answers calls without streaming.
    Plain,
}

/// Software version of an upstream that was given no other; its events don't name it.
pub const FIRST_VERSION: &str = "v1";

/// Step of a clock that is set back, in milliseconds.
const CLOCK_STEP_MS: u64 = 4_000;

/// A running upstream; dropping it stops it.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
}

#[derive(Debug)]
pub(super) struct Shared {
    kind: EngineKind,
    instance: Mutex<String>,
    /// Start time, in Unix milliseconds.
    pub(super) born: u64,
    addr: SocketAddr,
    /// Version of its software.
    pub(super) version: Mutex<String>,
    /// Address that others use: the proxy's, if there is one.
    pub(super) advertised_addr: Mutex<SocketAddr>,
    pub(super) record: Record,
    fault: Mutex<AnswerFault>,
    /// Number of rejected requests.
    rejected: AtomicUsize,
    /// Headers added to all answers to requests, by name.
    extra_headers: Mutex<HashMap<String, String>>,
    /// Milliseconds until it leaves, as reported.
    pub(super) leaves_ms: Mutex<Option<u32>>,
    /// Whether it closes the connection after each report, as one that leaves does.
    pub(super) closes: AtomicBool,
    /// Whether answers end with their connection, with neither a length nor chunks.
    pub(super) ends_with_connection: AtomicBool,
    /// Whether it sends each answer about a run's memory once more where the next one is expected.
    repeats_move_answers: AtomicBool,
    /// Whether answers to such calls don't bear their ids.
    is_silent_about_ids: AtomicBool,
    /// Whether its clock is set back before its next start.
    is_clock_set_back: AtomicBool,
    /// Whether what it says of itself states no start.
    omits_start: AtomicBool,
    /// Whether it closes its port, and the connections of calls, once it has copied the memory of a run that goes on.
    refuses_after_copies: AtomicBool,
    /// Framing of its reports, which break off in their middle.
    pub(super) cut_reports: Mutex<Option<Framing>>,
    pub(super) refuse: Notify,
    /// Whether a request has crashed it.
    pub(super) has_crashed: AtomicBool,
    /// Runs that can be moved.
    pub(super) moves: Moves,
    pub(super) crash: Notify,
}

impl Shared {
    fn new(kind: EngineKind, instance: &str, addr: SocketAddr, record: Record, born: u64) -> Self {
        Self {
            kind,
            instance: Mutex::new(instance.to_owned()),
            born,
            addr,
            version: Mutex::new(FIRST_VERSION.to_owned()),
            advertised_addr: Mutex::new(addr),
            record,
            fault: Mutex::default(),
            rejected: AtomicUsize::new(0),
            extra_headers: Mutex::default(),
            leaves_ms: Mutex::default(),
            closes: AtomicBool::new(false),
            ends_with_connection: AtomicBool::new(false),
            repeats_move_answers: AtomicBool::new(false),
            is_silent_about_ids: AtomicBool::new(false),
            is_clock_set_back: AtomicBool::new(false),
            omits_start: AtomicBool::new(false),
            refuses_after_copies: AtomicBool::new(false),
            cut_reports: Mutex::default(),
            refuse: Notify::new(),
            has_crashed: AtomicBool::new(false),
            moves: Moves::default(),
            crash: Notify::new(),
        }
    }

    /// Returns what it says of itself, with its start unless it states none.
    pub(super) fn with_start(&self, mut said: Value) -> Value {
        if !self.omits_start.load(Ordering::Relaxed) {
            said["born"] = json!(self.born);
        }
        said
    }

    /// Returns the fault of requests that come now.
    pub(super) fn fault(&self) -> AnswerFault {
        *lock(&self.fault)
    }

    /// Returns how answers that are written in pieces end.
    pub(super) fn framing(&self) -> Framing {
        if self.ends_with_connection.load(Ordering::Relaxed) {
            Framing::UntilClose
        } else {
            Framing::Chunked
        }
    }

    /// Returns these headers and the extra headers.
    pub(super) fn with_extra_headers(&self, own: &[(&str, &str)]) -> Headers {
        let owned = |(name, value): (&str, &str)| (name.to_owned(), value.to_owned());
        let own = own.iter().copied().map(owned);
        let extra_headers = lock(&self.extra_headers);
        let extra_headers = extra_headers.iter().map(|(n, v)| owned((n, v)));
        own.chain(extra_headers).collect()
    }

    /// Writes a complete answer to a request.
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
    /// Returns an error when the address can't be bound.
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

    /// Kills and restarts the upstream under the same id and address, without its previous state.
    ///
    /// # Errors
    ///
    /// Returns an error when the address isn't free within a few seconds.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let old = &self.shared;
        let listener = bind_with_retries(old.addr).await?;
        let born = if old.is_clock_set_back.load(Ordering::Relaxed) {
            old.born - CLOCK_STEP_MS
        } else {
            unix_millis().max(old.born + 1)
        };
        let record = old.record.clone();
        let shared = Shared::new(old.kind, &self.instance(), old.addr, record, born);
        *lock(&shared.advertised_addr) = *lock(&old.advertised_addr);
        *lock(&shared.version) = self.version();
        *self = Self::run(listener, shared);
        Ok(())
    }

    /// Sets the clock of its VM back, so that its next start is earlier than this one.
    pub fn set_clock_back(&self) {
        self.shared.is_clock_set_back.store(true, Ordering::Relaxed);
    }

    /// Makes it state no start from now on.
    pub fn omit_start(&self) {
        self.shared.omits_start.store(true, Ordering::Relaxed);
    }

    /// Returns the version of its software.
    #[must_use]
    pub fn version(&self) -> String {
        lock(&self.shared.version).clone()
    }

    /// Sets the version of its software, before its first request or a restart.
    pub fn set_version(&self, version: &str) {
        version.clone_into(&mut lock(&self.shared.version));
    }

    /// Returns the start time, in Unix milliseconds.
    #[must_use]
    pub fn born(&self) -> u64 {
        self.shared.born
    }

    /// Returns the listening address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Returns the id.
    #[must_use]
    pub fn instance(&self) -> String {
        lock(&self.shared.instance).clone()
    }

    /// Returns the record with which the upstream registers in the store.
    #[must_use]
    pub fn registration(&self, service: &str, state: &str) -> Value {
        let said = json!({"service": service, "address": self.addr().to_string(), "zone": "a",
            "version": self.version(), "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1});
        self.shared.with_start(said)
    }

    /// Sets the fault for subsequent requests.
    pub fn set_fault(&self, fault: AnswerFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Returns the fault for requests that come now.
    #[must_use]
    pub fn fault(&self) -> AnswerFault {
        self.shared.fault()
    }

    /// Returns the number of requests rejected since the start.
    #[must_use]
    pub fn rejected(&self) -> usize {
        self.shared.rejected.load(Ordering::Relaxed)
    }

    /// Sets a header of all answers to requests, or removes it.
    pub fn set_header(&self, name: &str, value: Option<&str>) {
        let mut extra_headers = lock(&self.shared.extra_headers);
        match value {
            Some(value) => extra_headers.insert(name.to_owned(), value.to_owned()),
            None => extra_headers.remove(name),
        };
    }

    /// Makes the report announce that it leaves in `after_ms`.
    pub fn report_leaving(&self, after_ms: u32) {
        *lock(&self.shared.leaves_ms) = Some(after_ms);
    }

    /// Makes it close the connection after each report, as one that leaves does at once.
    pub fn close_connections(&self) {
        self.shared.closes.store(true, Ordering::Relaxed);
    }

    /// Makes its reports break off in their middle.
    pub fn cut_reports(&self, framing: Framing) {
        *lock(&self.shared.cut_reports) = Some(framing);
    }

    /// Makes it refuse connections, and close those of calls, once it has copied the memory of a run that goes on.
    pub fn refuse_after_copies(&self) {
        self.shared
            .refuses_after_copies
            .store(true, Ordering::Relaxed);
    }

    /// Makes its answers end with their connection, with neither a length nor chunks.
    pub fn end_answers_with_connection(&self) {
        self.shared
            .ends_with_connection
            .store(true, Ordering::Relaxed);
    }

    /// Makes it send each answer about a run's memory once more where the next one on the connection is expected; answers to
    /// calls of an entry's own bear their ids or not.
    pub fn repeat_move_answers(&self, with_ids: bool) {
        let shared = &self.shared;
        shared.repeats_move_answers.store(true, Ordering::Relaxed);
        shared
            .is_silent_about_ids
            .store(!with_ids, Ordering::Relaxed);
    }

    /// Returns its behaviour on moves of runs.
    #[must_use]
    pub fn moves(&self) -> &Moves {
        &self.shared.moves
    }

    /// Returns whether a request has crashed it since its start.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.shared.has_crashed.load(Ordering::Relaxed)
    }

    /// Sets the address that others use.
    pub fn set_advertised_addr(&self, addr: SocketAddr) {
        *lock(&self.shared.advertised_addr) = addr;
    }

    /// Replaces the instance id at this address, as after a restart.
    pub fn set_instance(&self, instance: &str) {
        instance.clone_into(&mut lock(&self.shared.instance));
    }

    /// Stops it at once: closes the port and resets the connections.
    pub fn kill(&self) {
        // Fails when the upstream has crashed already.
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

/// Returns the answer to a call of an entry's own; `None` for a request.
fn answer_own(shared: &Shared, req: &Request) -> Option<OwnAnswer> {
    if let Some(handle) = req.path.strip_prefix("/v1/kv-handle/") {
        let addr = lock(&shared.advertised_addr).to_string();
        shared.record.drop_copy(&addr, handle);
        return Some(OwnAnswer::new(200, "{}".to_owned()));
    }
    match req.path.as_str() {
        "/v1/report" => Some(report(shared)),
        _ => None,
    }
}

/// Answers a request; `second` is an earlier answer on the connection that is sent once more, first.
pub(super) async fn answer<'a>(
    stream: &mut TcpStream,
    shared: &'a Shared,
    req: &Request,
    second: &mut Option<OwnAnswer>,
) -> io::Result<ConnectionAction<'a>> {
    if let Some(second) = second.take() {
        second.write(stream).await?;
    }
    let is_model = shared.kind == EngineKind::Model;
    let is_move = is_model && req.path == "/v1/kv-move";
    let own = if is_move {
        let addr = lock(&shared.advertised_addr).to_string();
        let answer = shared.moves.answer(addr, &shared.record, &req.body);
        let Some(own) = answer.await else {
            return Ok(ConnectionAction::Reset);
        };
        Some(own)
    } else {
        answer_own(shared, req).filter(|_| is_model)
    };
    if let Some(mut own) = own {
        let id = req.header("x-request-id");
        if let Some(id) = id.filter(|_| !shared.is_silent_about_ids.load(Ordering::Relaxed)) {
            own.headers.push(("X-Request-Id".to_owned(), id.to_owned()));
        }
        own.write(stream).await?;
        if is_move && shared.refuses_after_copies.load(Ordering::Relaxed) {
            shared.refuse.notify_one();
            return Ok(ConnectionAction::Close);
        }
        if shared.closes.load(Ordering::Relaxed) && req.path == "/v1/report" {
            stream.shutdown().await?;
        }
        let repeats = shared.repeats_move_answers.load(Ordering::Relaxed);
        let is_repeated = repeats && req.path.starts_with("/v1/kv-");
        *second = is_repeated.then_some(own);
        return Ok(ConnectionAction::Keep);
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
    let fault = shared.fault();
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
        _ if shared.kind == EngineKind::Plain && run.crash_point.is_some() => run.crash().await,
        _ if shared.kind == EngineKind::Plain => {
            answer_plain(stream, shared, req, id, fault, &run).await
        }
        _ => stream_generation(stream, shared, req, id, fault, run).await,
    }
}
