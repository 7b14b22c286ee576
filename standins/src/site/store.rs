//! Stand-in for the platform's store: versioned objects, watches and faults.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};

use super::http::{Request, read_request, reset, until_closed, write_answer};
use super::store_mode::StoreMode;
use crate::sync::lock;

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
    /// Object kinds of the hanging calls whose callers still wait.
    hanging: Vec<String>,
    overlapping_calls: u64,
    /// State that reads see in [`StoreMode::Stale`].
    stale_view: Option<Snapshot>,
    /// Number of restores from a snapshot.
    era: u64,
    /// Most objects in a page of a list.
    page_size: Option<usize>,
    /// Contents that are sent as they are, by the texts that stand for them.
    raw: BTreeMap<String, String>,
}

/// Copy of the store's contents.
#[derive(Clone, Debug)]
pub struct Snapshot {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
}

/// The store; dropping it stops it.
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
    /// Starts an empty store on `ip`.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound there.
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

    /// Listens at one more address; its callers are all treated as `caller`.
    ///
    /// Callers on loopback can't be told apart by their addresses.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub async fn add_listener(&mut self, caller: IpAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((self.addr.ip(), 0)).await?;
        let addr = listener.local_addr()?;
        let task = accept(listener, Some(caller), self.shared.clone());
        self.extra_listeners.spawn(task);
        Ok(addr)
    }

    /// Returns the listening address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes an object, as its owner would.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        lock(&self.shared.state).put(kind, name, spec);
        self.shared.changed.notify_waiters();
    }

    /// Writes an object whose content is sent as this text, which no parser has seen.
    pub fn put_text(&self, kind: &str, name: &str, spec: &str) {
        let stand_in = {
            let raw = &mut lock(&self.shared.state).raw;
            let stand_in = format!("@raw-{}@", raw.len());
            raw.insert(stand_in.clone(), spec.to_owned());
            stand_in
        };
        self.put(kind, name, &json!(stand_in));
    }

    /// Removes an object with an event.
    pub fn remove(&self, kind: &str, name: &str) {
        lock(&self.shared.state).remove(kind, name);
        self.shared.changed.notify_waiters();
    }

    /// Removes an object without an event, as when its lease expires in an outage.
    pub fn expire(&self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        lock(&self.shared.state).objects.remove(&key);
    }

    /// Drops the event history, so that watches have to list again.
    pub fn compact(&self) {
        let mut state = lock(&self.shared.state);
        state.events.clear();
        state.revision += 1;
        state.compacted_below = state.revision;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns a snapshot of the contents.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        lock(&self.shared.state).snapshot()
    }

    /// Restores a snapshot: later writes are lost, their revisions are assigned again, and a watch
    /// from one of them has to list.
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

    /// Sets the treatment of calls.
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

    /// Sets the most objects in a page of a list.
    pub fn set_page_size(&self, objects: usize) {
        lock(&self.shared.state).page_size = Some(objects);
    }

    /// Returns the number of calls, including rejected ones.
    #[must_use]
    pub fn calls(&self) -> u64 {
        lock(&self.shared.state).calls
    }

    /// Returns the number of calls that arrived while another one for the same kind hung and its
    /// caller still waited.
    #[must_use]
    pub fn overlapping_calls(&self) -> u64 {
        lock(&self.shared.state).overlapping_calls
    }

    /// Returns the number of calls by caller.
    #[must_use]
    pub fn calls_by(&self) -> BTreeMap<IpAddr, u64> {
        lock(&self.shared.state).calls_by.clone()
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &Value) -> Value {
        self.revision += 1;
        let object = json!({
            "metadata": {"name": name, "revision": self.revision, "created": 1, "finalizers": [],
                "deleting": false},
            "spec": spec,
        });
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, object.clone());
        self.record(kind, object.clone(), false);
        object
    }

    /// Removes an object; returns whether there was one.
    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = self.objects.remove(&key) else {
            return false;
        };
        self.revision += 1;
        object["metadata"]["revision"] = json!(self.revision);
        self.record(kind, object, true);
        true
    }

    fn record(&mut self, kind: &str, object: Value, removed: bool) {
        self.events.push(Event {
            kind: kind.to_owned(),
            revision: self.revision,
            object,
            removed,
        });
    }

    /// Returns the objects that reads see.
    fn visible_objects(&self) -> &BTreeMap<(String, String), Value> {
        let stale_view = self.stale_view.as_ref();
        stale_view.map_or(&self.objects, |s| &s.objects)
    }

    /// Returns an answer's text, with the contents that are sent as they are.
    fn text_of(&self, body: &Value) -> String {
        let raw = self.raw.iter();
        raw.fold(body.to_string(), |text, (stand_in, spec)| {
            text.replace(&json!(stand_in).to_string(), spec)
        })
    }

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
                let (era, body) = {
                    let state = lock(&shared.state);
                    (state.era.to_string(), state.text_of(&body))
                };
                let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
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

/// Holds the call without an answer until the caller closes the connection.
async fn hold_open(stream: &TcpStream, shared: &Shared, kind: &str) {
    lock(&shared.state).hanging.push(kind.to_owned());
    until_closed(stream).await;
    let hanging = &mut lock(&shared.state).hanging;
    if let Some(at) = hanging.iter().position(|k| k == kind) {
        hanging.swap_remove(at);
    }
}

/// Returns the kind of objects that a call reads; empty for any other call.
fn object_kind(req: &Request) -> &str {
    let path = req.path.split('?').next().unwrap_or_default();
    let kind = path.strip_prefix("/v1/objects/").unwrap_or_default();
    kind.split('/').next().unwrap_or_default()
}

/// Returns the name of the one object that a call reads.
fn object_name(req: &Request) -> Option<String> {
    let path = req.path.split('?').next()?;
    let (_, name) = path.strip_prefix("/v1/objects/")?.split_once('/')?;
    Some(percent_decode_str(name).decode_utf8_lossy().into_owned())
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
        // Register before reading the state, so that no change in between is missed.
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
    if let Some(name) = object_name(req) {
        if req.method == "DELETE" {
            let removed = state.remove(kind, &name);
            shared.changed.notify_waiters();
            return Decision::Done(Reply::Answer(if removed { 200 } else { 404 }, json!({})));
        }
        if req.method == "PUT" {
            shared.changed.notify_waiters();
            return Decision::Done(replace(&mut state, kind, &name, &req.body));
        }
        let key = (kind.to_owned(), name);
        let object = state.visible_objects().get(&key);
        let (status, body) = object.map_or((404, json!({})), |o| (200, o.clone()));
        return Decision::Done(Reply::Answer(status, body));
    }
    if req.method == "POST" {
        shared.changed.notify_waiters();
        return Decision::Done(create(&mut state, kind, &req.body));
    }
    match req.query("watch").and_then(|r| r.parse().ok()) {
        Some(revision) => watch(&state, kind, revision, req),
        None => Decision::Done(Reply::Answer(200, list(&state, kind, &after_of(req)))),
    }
}

/// Creates the object that a call bears, unless there is one of its name.
fn create(state: &mut State, kind: &str, body: &[u8]) -> Reply {
    let call: Value = serde_json::from_slice(body).unwrap_or_default();
    let Some(name) = call["metadata"]["name"].as_str() else {
        return Reply::Answer(400, json!({}));
    };
    let key = (kind.to_owned(), name.to_owned());
    if let Some(object) = state.objects.get(&key) {
        return Reply::Answer(409, object.clone());
    }
    Reply::Answer(200, state.put(kind, name, &call["spec"]))
}

/// Replaces the content of an object, unless it has another revision than the call bears.
fn replace(state: &mut State, kind: &str, name: &str, body: &[u8]) -> Reply {
    let call: Value = serde_json::from_slice(body).unwrap_or_default();
    let key = (kind.to_owned(), name.to_owned());
    let Some(object) = state.objects.get(&key) else {
        return Reply::Answer(404, json!({}));
    };
    let wanted = &call["metadata"]["revision"];
    if !wanted.is_null() && *wanted != object["metadata"]["revision"] {
        return Reply::Answer(409, object.clone());
    }
    if call["spec"] == object["spec"] {
        return Reply::Answer(200, object.clone());
    }
    Reply::Answer(200, state.put(kind, name, &call["spec"]))
}

/// Returns the name after which a list begins; empty for its first page.
fn after_of(req: &Request) -> String {
    let after = req.query("after").unwrap_or_default();
    percent_decode_str(after).decode_utf8_lossy().into_owned()
}

/// Returns the page of a list that follows the name `after`.
fn list(state: &State, kind: &str, after: &str) -> Value {
    let objects = state.visible_objects();
    let revision = state
        .stale_view
        .as_ref()
        .map_or(state.revision, |s| s.revision);
    let of_page = |(k, name): &(String, String)| k == kind && name.as_str() > after;
    let rest = objects.iter().filter(|(key, _)| of_page(key));
    let mut items: Vec<&Value> = rest.map(|(_, object)| object).collect();
    let page_size = state.page_size.unwrap_or(usize::MAX);
    let more = items.len() > page_size;
    items.truncate(page_size);
    json!({"items": items, "more": more, "store_revision": revision})
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
