//! The platform's store: versioned objects with watches, and its faults.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};

use super::http::{Request, read_request, reset, until_closed, write_answer};
use crate::sync::lock;

/// How the store treats calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers.
    #[default]
    Up,
    /// It resets every connection.
    Reset,
    /// It takes calls and never answers.
    Silent,
    /// It takes calls of these callers and never answers them.
    SilentTo(Vec<IpAddr>),
    /// It turns these callers away with 503.
    Deny(Vec<IpAddr>),
    /// It never answers the next so many calls, nor anything on their connections, and answers all
    /// others.
    HangNext(u32),
    /// Its answers come so much later.
    Delay(Duration),
    /// Reads show what was there when this began, and watches hear nothing; the history of that
    /// time is dropped at its end.
    Stale,
}

impl StoreMode {
    const fn delay(&self) -> Duration {
        match self {
            Self::Delay(delay) => *delay,
            _ => Duration::ZERO,
        }
    }
}

#[derive(Clone, Debug)]
struct Event {
    kind: String,
    revision: u64,
    object: Value,
    removed: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    events: Vec<Event>,
    compacted_below: u64,
    mode: StoreMode,
    calls: u64,
    calls_by: BTreeMap<IpAddr, u64>,
    /// Kinds of the calls that hang and whose callers still wait.
    hanging: Vec<String>,
    overlapping_calls: u64,
    /// What reads show while they are stale.
    stale_view: Option<Snapshot>,
    /// Times that it came back from a copy.
    era: u64,
}

/// A copy of what the store held at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
}

/// The store; dropping it ends it.
#[derive(Debug)]
pub struct Store {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
    extra_listeners: JoinSet<()>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

impl Drop for Store {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Store {
    /// An empty store on `ip`.
    ///
    /// # Errors
    ///
    /// When no port can be bound there.
    pub async fn start(ip: IpAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let task = tokio::spawn(accept(listener, None, shared.clone()));
        Ok(Self {
            addr,
            shared,
            task,
            extra_listeners: JoinSet::new(),
        })
    }

    /// One more address at which it listens, whose callers all count as `caller`.
    ///
    /// On loopback callers show no address of their own.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn add_listener(&mut self, caller: IpAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((self.addr.ip(), 0)).await?;
        let addr = listener.local_addr()?;
        let task = accept(listener, Some(caller), self.shared.clone());
        self.extra_listeners.spawn(task);
        Ok(addr)
    }

    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes an object as its owner does.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        let mut state = lock(&self.shared.state);
        state.revision += 1;
        let revision = state.revision;
        let object = json!({
            "metadata": {"name": name, "revision": revision, "created": 1, "finalizers": [],
                "deleting": false},
            "spec": spec,
        });
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, object.clone());
        state.events.push(Event {
            kind: kind.to_owned(),
            revision,
            object,
            removed: false,
        });
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = lock(&self.shared.state);
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = state.objects.remove(&key) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        object["metadata"]["revision"] = json!(revision);
        state.events.push(Event {
            kind: kind.to_owned(),
            revision,
            object,
            removed: true,
        });
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Removes an object without an event, as when its lease lapsed in an outage.
    pub fn expire(&self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        lock(&self.shared.state).objects.remove(&key);
    }

    /// Drops the history, so that watches have to list again.
    pub fn compact(&self) {
        let mut state = lock(&self.shared.state);
        state.events.clear();
        state.revision += 1;
        state.compacted_below = state.revision;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// A copy of what it holds now.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        lock(&self.shared.state).snapshot()
    }

    /// Comes back from a copy: what was written since is gone, its revisions are given out again, and
    /// a watch from one of them has to list.
    pub fn restore(&self, snapshot: Snapshot) {
        let mut state = lock(&self.shared.state);
        state.era += 1;
        state.revision = snapshot.revision;
        state.objects = snapshot.objects;
        state.events.clear();
        state.compacted_below = snapshot.revision;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Treats calls like this from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        let mut state = lock(&self.shared.state);
        let was_stale = state.stale_view.take().is_some();
        if mode == StoreMode::Stale {
            state.stale_view = Some(state.snapshot());
        }
        state.mode = mode;
        drop(state);
        if was_stale {
            self.compact();
        }
        self.shared.changed.notify_waiters();
    }

    /// Calls so far, refused ones included.
    #[must_use]
    pub fn calls(&self) -> u64 {
        lock(&self.shared.state).calls
    }

    /// Calls that came while another one of the same kind hung and its caller still waited.
    #[must_use]
    pub fn overlapping_calls(&self) -> u64 {
        lock(&self.shared.state).overlapping_calls
    }

    /// Callers so far, with the number of their calls.
    #[must_use]
    pub fn calls_by(&self) -> BTreeMap<IpAddr, u64> {
        lock(&self.shared.state).calls_by.clone()
    }
}

impl State {
    fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            objects: self.objects.clone(),
        }
    }
}

async fn accept(listener: TcpListener, caller: Option<IpAddr>, shared: Arc<Shared>) {
    while let Ok((stream, peer)) = listener.accept().await {
        let caller = caller.unwrap_or(peer.ip());
        tokio::spawn(serve_connection(stream, caller, shared.clone()));
    }
}

async fn serve_connection(mut stream: TcpStream, caller: IpAddr, shared: Arc<Shared>) {
    let mut buf = Vec::new();
    while let Ok(Some(req)) = read_request(&mut stream, &mut buf).await {
        match handle(&shared, caller, &req).await {
            Reply::Answer(status, body) => {
                let era = lock(&shared.state).era.to_string();
                let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
                let body = body.to_string();
                if write_answer(&mut stream, status, &headers, body.as_bytes())
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Reply::Reset => return reset(stream),
            Reply::Hang => return hold_open(&stream, &shared, object_kind(&req)).await,
        }
    }
}

enum Reply {
    Answer(u16, Value),
    Reset,
    Hang,
}

/// Answers nothing until the caller has closed the connection.
async fn hold_open(stream: &TcpStream, shared: &Shared, kind: &str) {
    lock(&shared.state).hanging.push(kind.to_owned());
    until_closed(stream).await;
    let hanging = &mut lock(&shared.state).hanging;
    if let Some(at) = hanging.iter().position(|k| k == kind) {
        hanging.swap_remove(at);
    }
}

/// Kind of the objects that a call is about; empty for what is no such call.
fn object_kind(req: &Request) -> &str {
    let path = req.path.split('?').next().unwrap_or_default();
    path.strip_prefix("/v1/objects/").unwrap_or_default()
}

async fn handle(shared: &Shared, caller: IpAddr, req: &Request) -> Reply {
    {
        let mut state = lock(&shared.state);
        state.calls += 1;
        *state.calls_by.entry(caller).or_default() += 1;
        if state.hanging.iter().any(|k| k == object_kind(req)) {
            state.overlapping_calls += 1;
        }
    }
    loop {
        // Registered before the look, so that no change falls between both.
        let changed = shared.changed.notified();
        match decide(shared, caller, req) {
            Decision::Done(reply) => {
                let delay = lock(&shared.state).mode.delay();
                tokio::time::sleep(delay).await;
                return reply;
            }
            Decision::Wait => changed.await,
            Decision::WaitUpTo(timeout) => {
                if tokio::time::timeout(timeout, changed).await.is_err() {
                    let state = lock(&shared.state);
                    let revision = state
                        .stale_view
                        .as_ref()
                        .map_or(state.revision, |s| s.revision);
                    let body = json!({"events": [], "store_revision": revision});
                    return Reply::Answer(200, body);
                }
            }
        }
    }
}

enum Decision {
    Done(Reply),
    Wait,
    WaitUpTo(Duration),
}

fn decide(shared: &Shared, caller: IpAddr, req: &Request) -> Decision {
    let mut state = lock(&shared.state);
    match &mut state.mode {
        StoreMode::Reset => return Decision::Done(Reply::Reset),
        StoreMode::Silent => return Decision::Wait,
        StoreMode::Deny(ips) if ips.contains(&caller) => {
            return Decision::Done(Reply::Answer(503, json!({})));
        }
        StoreMode::SilentTo(ips) if ips.contains(&caller) => return Decision::Wait,
        StoreMode::HangNext(remaining) if *remaining > 0 => {
            *remaining -= 1;
            return Decision::Done(Reply::Hang);
        }
        StoreMode::Up
        | StoreMode::Deny(_)
        | StoreMode::SilentTo(_)
        | StoreMode::HangNext(_)
        | StoreMode::Delay(_)
        | StoreMode::Stale => {}
    }
    let kind = object_kind(req);
    if kind.is_empty() {
        return Decision::Done(Reply::Answer(404, json!({})));
    }
    match req.query("watch").and_then(|r| r.parse().ok()) {
        Some(revision) => watch(&state, kind, revision, req),
        None => Decision::Done(Reply::Answer(200, list(&state, kind))),
    }
}

fn list(state: &State, kind: &str) -> Value {
    let (objects, revision) = match &state.stale_view {
        Some(stale_view) => (&stale_view.objects, stale_view.revision),
        None => (&state.objects, state.revision),
    };
    let of_kind = objects.iter().filter(|((k, _), _)| k == kind);
    let items: Vec<&Value> = of_kind.map(|(_, object)| object).collect();
    json!({"items": items, "more": false, "store_revision": revision})
}

fn watch(state: &State, kind: &str, revision: u64, req: &Request) -> Decision {
    if revision < state.compacted_below || revision > state.revision {
        return Decision::Done(Reply::Answer(410, json!({})));
    }
    let newer = state.events.iter();
    let newest = state.stale_view.as_ref().map_or(u64::MAX, |s| s.revision);
    let newer = newer.filter(|e| e.kind == kind && e.revision > revision && e.revision <= newest);
    let events: Vec<Value> = newer
        .map(|e| json!({"object": e.object, "tombstone": e.removed}))
        .collect();
    if events.is_empty() {
        let wait = req.query("wait_ms").and_then(|w| w.parse().ok());
        return Decision::WaitUpTo(Duration::from_millis(wait.unwrap_or(0)));
    }
    let body = json!({"events": events, "store_revision": state.revision.min(newest)});
    Decision::Done(Reply::Answer(200, body))
}
