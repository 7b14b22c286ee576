//! The platform's store: lists, single objects and watches, as far as an entry calls them.

use crate::http::{After, Request, Server, answer};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Objects in one page of a list.
const PAGE: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, name, content, whether the object was removed.
    events: Vec<(u64, String, String, String, bool)>,
    /// Number of times that it came back from a copy.
    era: u64,
    /// Whether it answers nobody now.
    is_away: bool,
}

/// A copy of the store.
pub struct Snapshot {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store.
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
    _server: Server,
}

impl Store {
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        shared.state.lock().unwrap().revision = 100;
        shared.state.lock().unwrap().era = 1;
        let state = shared.clone();
        let server = Server::start(addr, move |req, stream| handle(&state, req, stream))?;
        Ok(Self {
            addr: server.addr,
            shared,
            _server: server,
        })
    }

    /// Writes an object; `content` is JSON. Returns whether the store acknowledges it.
    pub fn put(&self, kind: &str, name: &str, content: &str) -> bool {
        let mut state = self.shared.state.lock().unwrap();
        if state.is_away {
            return false;
        }
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (revision, content.to_owned()));
        let event = (
            revision,
            kind.to_owned(),
            name.to_owned(),
            content.to_owned(),
            false,
        );
        state.events.push(event);
        self.shared.changed.notify_all();
        true
    }

    pub fn era(&self) -> u64 {
        self.shared.state.lock().unwrap().era
    }

    pub fn snapshot(&self) -> Snapshot {
        let state = self.shared.state.lock().unwrap();
        Snapshot {
            revision: state.revision,
            objects: state.objects.clone(),
        }
    }

    /// Answers nobody from now on, and cuts off watches.
    pub fn go_away(&self) {
        self.shared.state.lock().unwrap().is_away = true;
        self.shared.changed.notify_all();
    }

    /// Comes back from a copy: what was written since is gone, and revisions go back.
    pub fn come_back_from(&self, copy: Snapshot) {
        let mut state = self.shared.state.lock().unwrap();
        state.events.retain(|(r, ..)| *r <= copy.revision);
        state.revision = copy.revision;
        state.objects = copy.objects;
        state.era += 1;
        state.is_away = false;
    }

    /// Removes an object, if it is there.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.state.lock().unwrap();
        let Some((_, content)) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        let event = (
            state.revision,
            kind.to_owned(),
            name.to_owned(),
            content,
            true,
        );
        state.events.push(event);
        self.shared.changed.notify_all();
    }
}

fn object(name: &str, revision: u64, content: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{content},\"status\":null}}"
    )
}

fn handle(shared: &Shared, req: &Request, stream: &mut TcpStream) -> io::Result<After> {
    let path = req.path.split('?').next().unwrap_or_default();
    let Some(rest) = path.strip_prefix("/v1/objects/") else {
        answer(stream, 404, &[], b"")?;
        return Ok(After::Keep);
    };
    if shared.state.lock().unwrap().is_away {
        return Ok(After::Close);
    }
    let (status, body) = match rest.split_once('/') {
        Some((kind, name)) => one(shared, kind, name),
        None => match req.query("watch").and_then(|w| w.parse().ok()) {
            Some(from) => {
                let wait = req.query("wait_ms").and_then(|w| w.parse().ok());
                match watch(shared, rest, from, Duration::from_millis(wait.unwrap_or(0))) {
                    Some(answer) => answer,
                    None => return Ok(After::Close),
                }
            }
            None => list(shared, rest, req.query("after").unwrap_or_default()),
        },
    };
    let era = shared.state.lock().unwrap().era.to_string();
    let headers = [
        ("Content-Type", "application/json"),
        ("Store-Era", era.as_str()),
    ];
    answer(stream, status, &headers, body.as_bytes())?;
    Ok(After::Keep)
}

fn one(shared: &Shared, kind: &str, name: &str) -> (u16, String) {
    let state = shared.state.lock().unwrap();
    match state.objects.get(&(kind.to_owned(), name.to_owned())) {
        Some((revision, content)) => (200, object(name, *revision, content)),
        None => (404, "{}".to_owned()),
    }
}

fn list(shared: &Shared, kind: &str, after: &str) -> (u16, String) {
    let state = shared.state.lock().unwrap();
    let of_kind = state
        .objects
        .iter()
        .filter(|((k, n), _)| k == kind && n.as_str() > after);
    let all: Vec<String> = of_kind.map(|((_, n), (r, c))| object(n, *r, c)).collect();
    let more = all.len() > PAGE;
    let items = all[..all.len().min(PAGE)].join(",");
    let revision = state.revision;
    let body = format!("{{\"items\":[{items}],\"more\":{more},\"store_revision\":{revision}}}");
    (200, body)
}

/// Returns the answer to a watch; none if it is cut off.
fn watch(shared: &Shared, kind: &str, from: u64, wait: Duration) -> Option<(u16, String)> {
    let until = Instant::now() + wait;
    let mut state = shared.state.lock().unwrap();
    let era = state.era;
    loop {
        if state.is_away || state.era != era {
            return None;
        }
        if from > state.revision {
            return Some((410, "{}".to_owned()));
        }
        let news = state
            .events
            .iter()
            .filter(|(r, k, ..)| *r > from && k == kind);
        let news: Vec<String> = news
            .map(|(r, _, n, c, gone)| {
                format!("{{\"tombstone\":{gone},\"object\":{}}}", object(n, *r, c))
            })
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !news.is_empty() || left.is_zero() {
            let events = news.join(",");
            let revision = state.revision;
            let body = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
            return Some((200, body));
        }
        state = shared.changed.wait_timeout(state, left).unwrap().0;
    }
}
