//! A small deployment: store, engines and entries, and the record of what happened.

use crate::engine::{Behaviour, Engine, Runs};
use crate::fleet::{Entry, Folder, Net};
use crate::http::{self, Reply};
use crate::store::Store;
use std::fs::File;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Key of the only tenant.
const KEY: &str = "key-of-tenant-a";

/// First last octet of the engines' addresses.
const FIRST_ENGINE: u8 = 100;

/// Last octet of the store's address.
const STORE: u8 = 200;

pub struct Site {
    pub entries: Vec<Entry>,
    pub runs: Runs,
    pub began: Instant,
    record: Mutex<File>,
    ids: AtomicU64,
    pub store: Arc<Store>,
    _folder: Folder,
    net: Net,
}

/// One route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    /// `streaming`, or a kind of plain calls; then the service is a plain one.
    pub kind: &'static str,
    pub resumable: bool,
    pub max_attempts: u32,
}

impl Site {
    /// Starts store and engines and writes the settings of the entries, which aren't started yet.
    pub fn new(
        name: &str,
        record: &str,
        entries: u8,
        engines: u8,
        behaviours: impl Fn(u8) -> Behaviour,
        routes: &[Route],
        cold_per_s: u32,
    ) -> io::Result<Self> {
        let net = Net::claim()?;
        let folder = Folder::new(name)?;
        let store = Arc::new(Store::start(net.free(STORE)?)?);
        let config = config(routes, cold_per_s);
        store.put("config", "main", &config);
        let runs = Runs::default();
        let mut of_fleet = Vec::new();
        for number in 1..=entries {
            of_fleet.push(Entry::new(&net, &folder.0, number, &[1, 2, 3], store.addr)?);
        }
        let site = Self {
            entries: of_fleet,
            runs,
            began: Instant::now(),
            record: Mutex::new(File::create(record)?),
            ids: AtomicU64::new(1),
            store,
            _folder: folder,
            net,
        };
        for number in 0..engines {
            site.add_engine(number, &behaviours(number))?;
        }
        site.note(&format!("configuration: {config}"));
        Ok(site)
    }

    /// Starts an engine; the id of its first life is `mNUMBER-1`.
    pub fn add_engine(&self, number: u8, behaviour: &Behaviour) -> io::Result<()> {
        let addr = self.net.free(FIRST_ENGINE + number)?;
        Engine::start(
            addr,
            &format!("m{number}"),
            &self.store,
            behaviour,
            &self.runs,
        )
    }

    /// Starts all entries and waits until they are ready.
    pub fn start_entries(&mut self) -> io::Result<()> {
        for entry in &mut self.entries {
            entry.start()?;
        }
        for entry in &self.entries {
            if !entry.until_ready() {
                return Err(io::Error::other("an entry isn't ready"));
            }
        }
        self.note("all entries are ready");
        Ok(())
    }

    /// Writes a line to the record, with the seconds since the start.
    pub fn note(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        // The exit status doesn't depend on the record.
        let _ = writeln!(self.record.lock().unwrap(), "{at:8.3} {line}");
    }

    pub fn new_id(&self) -> String {
        format!(
            "{:016x}",
            self.ids.fetch_add(1, Ordering::SeqCst) | 0x9c41_0000_0000_0000
        )
    }

    /// Sends a generation and reads its answer as far as it comes.
    pub fn generate(
        &self,
        to: SocketAddr,
        id: &str,
        path: &str,
        parts: &str,
        tokens: &str,
        body: &str,
    ) -> Reply {
        let headers = [
            ("Host", "site.example"),
            ("X-Request-Id", id),
            ("X-Credential", KEY),
            ("X-Deadline-Ms", "39000"),
            ("X-Model", "m"),
            ("X-Token-Usage", tokens),
            ("X-Prompt-Prefix", parts),
            (
                "X-Length-Hint",
                tokens.split(',').nth(1).unwrap_or_default(),
            ),
        ];
        let headers: Vec<(String, String)> = headers
            .iter()
            .map(|(n, v)| ((*n).to_owned(), (*v).to_owned()))
            .collect();
        let sent = self.began.elapsed().as_secs_f64();
        let wait = Duration::from_secs(12);
        let reply = http::request(to, "POST", path, &headers, body.as_bytes(), wait);
        self.note(&format!(
            "sent {id} at {sent:.3} to {to} path {path}; answered {} retry-after {:?}, {} bytes, whole {}",
            reply.status,
            reply.header("retry-after"),
            reply.body.len(),
            reply.is_whole
        ));
        reply
    }

    /// Writes all runs of the engines to the record.
    pub fn note_runs(&self) {
        for run in self.runs.all() {
            let at = run.at.duration_since(self.began).as_secs_f64();
            let ended = run.ended.duration_since(self.began).as_secs_f64();
            self.note(&format!(
                "run at {at:.3} id {} path {} on {} after {:?} from copy {:?} ended {:?} at {ended:.3}",
                run.id, run.path, run.instance, run.after, run.from_copy, run.end
            ));
        }
    }
}

fn config(routes: &[Route], cold_per_s: u32) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"site.example\",\"path_prefix\":\"{}\",\
                 \"kind\":\"{}\",\"timeout_ms\":39000,\"target_latency_ms\":1500,\
                 \"priority\":0,\"service\":\"models\",\"max_attempts\":{},\"public\":false,\
                 \"session_affinity\":true,\"resumable\":{},\"target_gap_ms\":180}}",
                r.name, r.prefix, r.kind, r.max_attempts, r.resumable
            )
        })
        .collect();
    let cold = if cold_per_s > 0 {
        format!("\"cold_per_s\":{cold_per_s},")
    } else {
        String::new()
    };
    let engine = if routes.iter().any(|r| r.contains("streaming")) {
        ",\"engine\":{\"slots\":24,\"kv_capacity_tokens\":34638,\"kv_token_bytes\":18432,\
         \"link_mbps\":2700.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\
         \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_ttl_s\":5.0,\"models\":[{\"name\":\"m\"}]}"
    } else {
        ""
    };
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"models\",{cold}\
         \"health_path\":\"/healthz\",\"max_connections\":442,\"protocol\":\"h1\",\"tls\":false{engine}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}
