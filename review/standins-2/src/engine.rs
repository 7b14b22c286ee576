//! Model engines: they stream events, may break an answer off, and crash under one request.

use crate::http::{After, Request, Server, answer, begin_chunks, chunk};
use crate::store::Store;
use std::collections::HashSet;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval at which an engine writes its record.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Heartbeats of silence after which the store removes a record.
const SILENT_HEARTBEATS: u32 = 3;

/// Time for which a crashed engine is down.
const DOWN_FOR: Duration = Duration::from_secs(3);

/// How an engine's run of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Running,
    Whole,
    BrokenOff,
    Crashed,
    CallerLeft,
    /// The request was run to its end, and its answer was lost on the way.
    AnswerLost,
}

/// A request that an engine began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub path: String,
    pub instance: String,
    pub after: Option<u64>,
    /// Copy of the run's memory from which it goes on.
    pub from_copy: Option<String>,
    pub end: End,
    pub ended: Instant,
}

/// Runs of all engines of a case, and the copies of their memory by holder's address and request id.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>, Arc<Mutex<HashSet<(String, String)>>>);

impl Runs {
    fn begin(&self, req: &Request, id: &str, instance: &str) -> usize {
        let mut runs = self.0.lock().unwrap();
        let now = Instant::now();
        runs.push(Run {
            at: now,
            id: id.to_owned(),
            path: req.path.clone(),
            instance: instance.to_owned(),
            after: req.header("last-event-id").and_then(|l| l.parse().ok()),
            from_copy: req.header("kv-from").map(str::to_owned),
            end: End::Running,
            ended: now,
        });
        runs.len() - 1
    }

    fn end(&self, at: usize, end: End) {
        let mut runs = self.0.lock().unwrap();
        runs[at].end = end;
        runs[at].ended = Instant::now();
    }

    /// Keeps a copy of a run's memory at a holder.
    fn copy(&self, holder: &str, id: &str) {
        self.1
            .lock()
            .unwrap()
            .insert((holder.to_owned(), id.to_owned()));
    }

    /// Uses a copy, `HOLDER/ID`; false if there is none. A copy can be used once.
    fn use_copy(&self, name: &str) -> bool {
        let Some((holder, id)) = name.split_once('/') else {
            return false;
        };
        self.1
            .lock()
            .unwrap()
            .remove(&(holder.to_owned(), id.to_owned()))
    }

    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
}

/// What the engines of a case do.
#[derive(Clone)]
pub struct Behaviour {
    /// Path of the request that crashes an engine, and the event of its answer in whose place it does.
    pub crashes_on: Option<(String, u64)>,
    /// Share of its answers that an engine breaks off.
    pub breaks_off: f64,
    /// Share of its answers that an engine loses on their way, by a reset, while it runs the request to its end.
    pub loses: f64,
    /// Whether answers are broken off and lost now.
    pub is_active: Arc<AtomicBool>,
    /// Time between two events.
    pub gap: Duration,
    /// Whether it states its start, `born`.
    pub states_born: bool,
    /// Whether it has to leave, and whether it has to exit now, for good.
    pub leaves: Arc<AtomicBool>,
    pub exits: Arc<AtomicBool>,
    /// Time for which it is cold after its start, as its records say.
    pub cold_for: Duration,
    pub seed: u64,
}

struct Life {
    instance: String,
    born: u64,
    started: Instant,
    behaviour: Behaviour,
    runs: Runs,
    random: Mutex<u64>,
    crashed: Mutex<bool>,
    /// Answers while some are lost.
    counted: AtomicU64,
}

/// Engines; each keeps its record in the store up to date, and comes back after a crash.
pub struct Engine;

impl Engine {
    /// Starts an engine; its first id is `name`-1.
    pub fn start(
        addr: SocketAddr,
        name: &str,
        store: &Arc<Store>,
        behaviour: &Behaviour,
        runs: &Runs,
    ) -> io::Result<()> {
        let (store, runs) = (store.clone(), runs.clone());
        let (name, behaviour) = (name.to_owned(), behaviour.clone());
        let (life, server) = begin(addr, &name, 1, &behaviour, &runs)?;
        let addr = server.addr;
        thread::spawn(move || {
            let (mut life, mut server, mut number) = (life, server, 1);
            loop {
                live(&life, addr, &store);
                server.stop();
                let removed = life.instance.clone();
                if behaviour.exits.load(Ordering::SeqCst) {
                    store.remove("servers", &removed);
                    return;
                }
                let from = store.clone();
                thread::spawn(move || {
                    thread::sleep(HEARTBEAT * SILENT_HEARTBEATS);
                    from.remove("servers", &removed);
                });
                thread::sleep(DOWN_FOR);
                number += 1;
                match begin(addr, &name, number, &behaviour, &runs) {
                    Ok(again) => (life, server) = again,
                    Err(e) => {
                        eprintln!("an engine can't start again: {e}");
                        std::process::exit(2);
                    }
                }
            }
        });
        Ok(())
    }
}

fn begin(
    addr: SocketAddr,
    name: &str,
    number: u32,
    behaviour: &Behaviour,
    runs: &Runs,
) -> io::Result<(Arc<Life>, Server)> {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let life = Arc::new(Life {
        instance: format!("{name}-{number}"),
        born: u64::try_from(unix.as_millis()).unwrap_or(0),
        started: Instant::now(),
        behaviour: behaviour.clone(),
        runs: runs.clone(),
        random: Mutex::new(behaviour.seed ^ hash(name) | 1),
        crashed: Mutex::new(false),
        counted: AtomicU64::new(0),
    });
    let of_life = life.clone();
    let server = Server::start(addr, move |req, stream| handle(&of_life, req, stream))?;
    Ok((life, server))
}

/// Writes the engine's record until it crashes or exits, at each status report that brings a change or finds the store come back.
fn live(life: &Life, addr: SocketAddr, store: &Store) {
    let mut sequence = 0;
    let mut due = Instant::now();
    let mut written: Option<(u64, bool)> = None;
    while !*life.crashed.lock().unwrap() && !life.behaviour.exits.load(Ordering::SeqCst) {
        let leaves = life.behaviour.leaves.load(Ordering::SeqCst);
        let begins_to_leave = leaves && written.is_some_and(|(_, left)| !left);
        if Instant::now() >= due || begins_to_leave {
            sequence += 1;
            due = Instant::now() + HEARTBEAT;
            let cold = life
                .behaviour
                .cold_for
                .saturating_sub(life.started.elapsed());
            let now = (store.era(), leaves);
            // An entry of the store changes only if more than the sequence does.
            let is_news = written != Some(now) || !life.behaviour.cold_for.is_zero();
            let record = record(life, addr, cold, sequence, leaves);
            if is_news && store.put("servers", &life.instance, &record) {
                written = Some(now);
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
}

fn record(life: &Life, addr: SocketAddr, cold: Duration, sequence: u32, leaves: bool) -> String {
    let state = if leaves { "draining" } else { "ready" };
    let born = if life.behaviour.states_born {
        format!(",\"born\":{}", life.born)
    } else {
        String::new()
    };
    format!(
        "{{\"service\":\"models\",\"address\":\"{addr}\",\"zone\":\"a\",\"version\":\"v1\",\
         \"slots\":24,\"state\":\"{state}\",\"cold_remaining_ms\":{},\"stage\":\"unified\",\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence}{born}}}",
        cold.as_millis()
    )
}

fn hash(text: &str) -> u64 {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// Returns the next random number from 0 to 1.
fn draw(life: &Life) -> f64 {
    let mut state = life.random.lock().unwrap();
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z ^ (z >> 31)) as f64 / u64::MAX as f64
}

fn handle(life: &Life, req: &Request, stream: &mut TcpStream) -> io::Result<After> {
    let path = req.path.split('?').next().unwrap_or_default();
    let id = req.header("x-request-id").unwrap_or_default().to_owned();
    let expected = req.header("x-expect-instance");
    if expected.is_some_and(|i| i != life.instance) {
        let headers = [
            ("X-Instance-Id", life.instance.as_str()),
            ("X-Request-Id", &id),
        ];
        answer(stream, 421, &headers, b"")?;
        return Ok(After::Keep);
    }
    if path == "/v1/report" {
        let running = life.runs.all();
        let running = running
            .iter()
            .filter(|r| r.instance == life.instance && r.end == End::Running);
        let names: Vec<String> = running.map(|r| format!("[\"{}\",100,1,5]", r.id)).collect();
        let report = format!(
            "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"sequence\":1,\"waiting\":0,\"running\":{},\"kv_used\":0,\
             \"kv_total\":34638,\"handles\":0,\"state\":\"{}\",\"runs\":[{}]{}}}",
            names.len(),
            if life.behaviour.leaves.load(Ordering::SeqCst) {
                "draining"
            } else {
                "ready"
            },
            names.join(","),
            if life.behaviour.states_born {
                format!(",\"born\":{}", life.born)
            } else {
                String::new()
            }
        );
        let headers = [
            ("Content-Type", "application/json"),
            ("X-Request-Id", id.as_str()),
        ];
        answer(stream, 200, &headers, report.as_bytes())?;
        return Ok(After::Keep);
    }
    if path == "/healthz" {
        answer(
            stream,
            200,
            &[("X-Instance-Id", life.instance.as_str())],
            b"",
        )?;
        return Ok(After::Keep);
    }
    if path == "/v1/kv-move" {
        answer(
            stream,
            503,
            &[("X-Not-Executed", "1"), ("X-Request-Id", &id)],
            b"{}",
        )?;
        return Ok(After::Keep);
    }
    if req
        .header("kv-from")
        .is_some_and(|copy| !life.runs.use_copy(copy))
    {
        answer(
            stream,
            503,
            &[("X-Not-Executed", "1"), ("X-Request-Id", &id)],
            b"",
        )?;
        return Ok(After::Keep);
    }
    if id.is_empty() || path.starts_with("/v1/") {
        answer(
            stream,
            400,
            &[("X-Not-Executed", "1"), ("X-Request-Id", &id)],
            b"",
        )?;
        return Ok(After::Keep);
    }
    run(life, req, &id, stream)
}

/// Counts an answer, and returns whether it is the one of so many that is lost.
fn is_turn_to_lose(life: &Life) -> bool {
    if life.behaviour.loses <= 0.0 {
        return false;
    }
    let every = (1.0 / life.behaviour.loses).ceil() as u64;
    life.counted.fetch_add(1, Ordering::SeqCst) % every == every - 1
}

/// Streams the answer to a request.
fn run(life: &Life, req: &Request, id: &str, stream: &mut TcpStream) -> io::Result<After> {
    let events: u64 = req
        .query("events")
        .and_then(|e| e.parse().ok())
        .unwrap_or(4);
    let first = req
        .header("last-event-id")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let at = life.runs.begin(req, id, &life.instance);
    let path = req.path.split('?').next().unwrap_or_default();
    let crashes = life
        .behaviour
        .crashes_on
        .as_ref()
        .filter(|(on, _)| on == path);
    let crashes_at = crashes.map(|(_, event)| first + event);
    let is_active = life.behaviour.is_active.load(Ordering::SeqCst);
    let breaks = is_active && crashes.is_none() && draw(life) < life.behaviour.breaks_off;
    let loses = is_active && !breaks && crashes.is_none() && is_turn_to_lose(life);
    let lost_at = first + (events.saturating_sub(first) / 4).max(1);
    let backup = req.header("x-kv-backup");
    let headers = [
        ("X-Request-Id", id),
        ("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ("Content-Type", "text/event-stream"),
        ("X-Weight-Versions", "1"),
    ];
    let result = (|| -> io::Result<End> {
        begin_chunks(stream, &headers)?;
        for n in first + 1..=events {
            thread::sleep(life.behaviour.gap);
            let event = format!("id: {n}\ndata: {id} {n}\n\n");
            if crashes_at == Some(n) {
                return Ok(End::Crashed);
            }
            if breaks && (n == events || n > first + 1) {
                // In the middle of an event.
                chunk(stream, &event.as_bytes()[..5])?;
                return Ok(End::BrokenOff);
            }
            if loses && n >= lost_at {
                // The channel is reset; the engine works on to the end.
                if n == lost_at {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                if n == events {
                    return Ok(End::AnswerLost);
                }
                continue;
            }
            chunk(stream, event.as_bytes())?;
            if let Some(holder) = backup {
                life.runs.copy(holder, id);
            }
        }
        chunk(stream, b"")?;
        Ok(End::Whole)
    })();
    let end = result.unwrap_or(End::CallerLeft);
    life.runs.end(at, end);
    if end == End::Whole {
        return Ok(After::Keep);
    }
    if end == End::Crashed {
        *life.crashed.lock().unwrap() = true;
        // The whole engine goes down, and with it this connection.
        thread::sleep(Duration::from_millis(50));
    }
    let _ = stream.shutdown(Shutdown::Both);
    Ok(After::Close)
}
