//! Entry processes before clients that keep to no limit: each process stays within its VM's memory and descriptors,
//! and serves the callers beside them.

mod support;

use standins::crowd::{Client, Crowd, Watch, chunk, long_headers, unread_bytes};
use std::sync::OnceLock;
use std::time::Duration;
use support::{KEY, Site, outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};

/// Largest body, in bytes.
const BODY_LIMIT: usize = 4 << 20;

/// Memory of the VM in MB, where a crowd sends bodies or leaves answers unread.
const MEMORY_MB: u64 = 64;

/// Memory of the VM in MB, where a crowd sends heads.
const SMALL_MEMORY_MB: u64 = 40;

/// Descriptors of the VM.
const MAX_FDS: usize = 2_000;

/// Descriptors of the VM, where a crowd keeps connections.
const FEW_FDS: usize = 400;

/// Attempts of a caller beside a crowd, who comes back after a refusal.
const ATTEMPTS: usize = 8;

/// Deadline that no machine's speed reaches, in milliseconds.
const PATIENCE_MS: u64 = 600_000;

/// Where a crowd connects.
#[derive(Clone, Copy)]
enum Port {
    Callers,
    Readiness,
    Operators,
}

/// Waits until no other crowd of this file plays.
async fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: OnceLock<Mutex<()>> = OnceLock::new();
    TURN.get_or_init(Mutex::default).lock().await
}

/// Starts a site of one entry with these limits of its VM.
async fn start_site(memory_mb: u64, max_fds: usize) -> Site {
    let mut site = Site::without_entries().await;
    site.limits = Some((memory_mb, max_fds));
    site.body_limit = BODY_LIMIT;
    site.start_entries(1).await;
    site
}

/// Sends an ordinary request, again after a refusal, as callers do.
async fn is_served(site: &Site) -> bool {
    for _ in 0..ATTEMPTS {
        let id = site.id();
        let call = site.call(0, "POST", "/file/a", &id).body("x");
        let wait = match call.send().await {
            Ok(answer) if outcome(&answer).0 == 200 => {
                return answer.text().await.is_ok_and(|a| a.contains(&id));
            }
            Ok(answer) => {
                let wait = answer.headers().get("retry-after");
                wait.and_then(|w| w.to_str().ok()?.parse().ok())
            }
            Err(_) => None,
        };
        tokio::time::sleep(Duration::from_secs_f64(wait.unwrap_or(0.1))).await;
    }
    false
}

/// Lets a crowd come, stay and leave; checks the entry before and after it has left.
async fn check_survives(memory_mb: u64, max_fds: usize, count: usize, port: Port, client: Client) {
    let _turn = take_turn().await;
    let mut site = start_site(memory_mb, max_fds).await;
    let watch = Watch::start(site.entries[0].id());
    let addr = match port {
        Port::Callers => site.callers_of(0),
        Port::Readiness => site.readiness_of(0),
        Port::Operators => site.operators_of(0),
    };
    let crowd = Crowd::gather(addr, count, client).await;
    let served_beside = is_served(&site).await;
    crowd.dismiss().await;
    let served_after = is_served(&site).await;
    assert!(site.entries[0].is_running(), "{}", site.log_tail(0));
    let peak = watch.end().unwrap();
    let figures = format!(
        "{} KB of {memory_mb} MB, {} descriptors of {max_fds}",
        peak.memory >> 10,
        peak.descriptors
    );
    println!("{figures}");
    assert!(served_beside, "not served beside the crowd; {figures}");
    assert!(served_after, "not served after the crowd; {figures}");
    assert!(peak.memory < memory_mb * 1_000_000, "{figures}");
    assert!(peak.descriptors <= max_fds, "{figures}");
    site.check();
}

macro_rules! crowds {
    ($($name:ident: $memory_mb:expr, $max_fds:expr, $count:literal, $port:ident, $client:expr;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check_survives($memory_mb, $max_fds, $count, Port::$port, $client).await;
            }
        )+
    };
}

crowds! {
    bodies_that_stop_short_of_their_end: MEMORY_MB, MAX_FDS, 40, Callers, Client {
        piece: vec![b'b'; BODY_LIMIT - 1],
        pieces: 1,
        ..announced(BODY_LIMIT)
    };
    bodies_in_pieces_that_stop_short_of_their_end: MEMORY_MB, MAX_FDS, 40, Callers, Client {
        piece: vec![b'b'; 8 << 10],
        pieces: BODY_LIMIT / (8 << 10) - 1,
        ..announced(BODY_LIMIT)
    };
    bodies_that_stop_halfway: MEMORY_MB, MAX_FDS, 60, Callers, Client {
        piece: vec![b'b'; BODY_LIMIT / 2],
        pieces: 1,
        ..announced(BODY_LIMIT)
    };
    bodies_in_large_chunks_that_stop_short_of_their_end: MEMORY_MB, MAX_FDS, 40, Callers, Client {
        piece: chunk(64 << 10),
        pieces: BODY_LIMIT / (64 << 10),
        ..chunked("/file/a", KEY)
    };
    bodies_in_chunks_of_one_byte_that_stop_short_of_their_end: MEMORY_MB, MAX_FDS, 8, Callers, Client {
        piece: chunk(1).repeat(1 << 10),
        pieces: 1 << 10,
        ..chunked("/file/a", KEY)
    };
    small_bodies_that_stop_short_of_their_end: MEMORY_MB, MAX_FDS, 1_200, Callers, Client {
        piece: vec![b'b'; (64 << 10) - 1],
        pieces: 1,
        ..announced(64 << 10)
    };
    bodies_announced_far_over_the_limit: MEMORY_MB, MAX_FDS, 40, Callers, Client {
        piece: vec![b'b'; 64 << 10],
        pieces: 128,
        ..announced(1 << 30)
    };
    bodies_sent_far_over_the_limit: MEMORY_MB, MAX_FDS, 40, Callers, Client {
        piece: chunk(64 << 10),
        pieces: 128,
        ..chunked("/file/a", KEY)
    };
    heads_without_an_end: SMALL_MEMORY_MB, MAX_FDS, 800, Callers, Client {
        head: format!("POST /file/a HTTP/1.1\r\nHost: site.example\r\n{}", long_headers(60_000)),
        ..Client::default()
    };
    long_heads_whose_connections_are_kept: SMALL_MEMORY_MB, MAX_FDS, 800, Callers, Client {
        head: head(
            "POST /file/a",
            KEY,
            &format!("{}Content-Length: 1\r\n\r\nx", long_headers(15_000)),
        ),
        awaits_answer: true,
        ..Client::default()
    };
    answers_that_nobody_reads: MEMORY_MB, MAX_FDS, 150, Callers, Client {
        head: head("GET /fetch/a?answer_bytes=3000000", KEY, "\r\n"),
        awaits_answer: true,
        ..Client::default()
    };
    requests_in_one_go_whose_answers_nobody_reads: MEMORY_MB, MAX_FDS, 40, Callers, Client {
        head: head("GET /fetch/a?answer_bytes=3000000", KEY, "\r\n").repeat(100),
        awaits_answer: true,
        ..Client::default()
    };
    streams_that_nobody_reads: MEMORY_MB, MAX_FDS, 60, Callers, Client {
        head: head("POST /log/a?events=3000&padding=1000", KEY, "X-Model: m\r\nContent-Length: 1\r\n\r\nx"),
        awaits_answer: true,
        ..Client::default()
    };
    chunk_extensions_without_an_end: SMALL_MEMORY_MB, MAX_FDS, 100, Callers, Client {
        head: chunked("/file/a", KEY).head + "1;",
        piece: vec![b'e'; 64 << 10],
        pieces: 16,
        ..Client::default()
    };
    trailers_without_an_end: SMALL_MEMORY_MB, MAX_FDS, 100, Callers, Client {
        head: chunked("/file/a", KEY).head + "0\r\n",
        piece: long_headers(64 << 10).into_bytes(),
        pieces: 16,
        ..Client::default()
    };
    long_ids_and_keys: SMALL_MEMORY_MB, MAX_FDS, 800, Callers, Client {
        head: format!(
            "POST /file/{long} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {{id}}-{long}\r\n\
             X-Credential: {long}\r\nX-Model: {long}\r\nContent-Length: 1\r\n\r\nx",
            long = "l".repeat(3_500),
        ),
        awaits_answer: true,
        ..Client::default()
    };
    connections_that_send_nothing: MEMORY_MB, FEW_FDS, 600, Callers, Client::default();
    connections_that_go_on_sending_after_a_rejection: MEMORY_MB, FEW_FDS, 600, Callers, Client {
        piece: chunk(64 << 10),
        pieces: 32,
        ..chunked("/nowhere/a", "key-of-nobody")
    };
    heads_without_an_end_at_the_readiness_port: SMALL_MEMORY_MB, FEW_FDS, 600, Readiness, Client {
        head: format!("GET /v1/readyz HTTP/1.1\r\n{}", long_headers(300_000)),
        ..Client::default()
    };
    heads_without_an_end_at_the_operators_port: SMALL_MEMORY_MB, FEW_FDS, 600, Operators, Client {
        head: format!("GET /metrics HTTP/1.1\r\n{}", long_headers(300_000)),
        ..Client::default()
    };
}

/// Returns a request's head; `rest` ends it.
fn head(start: &str, key: &str, rest: &str) -> String {
    format!(
        "{start} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {{id}}\r\n\
         X-Deadline-Ms: 20000\r\nX-Credential: {key}\r\n{rest}"
    )
}

/// Returns a request for a stream that is too long for the kernel's buffers.
fn unread_stream() -> Client {
    stream_of("POST /log/a?events=3000&padding=1000")
}

/// Returns a client of a stream whose events fill what the kernel holds before the next clients have come.
fn soon_blocked_stream() -> Client {
    stream_of("POST /log/a?events=3000&padding=20000")
}

fn stream_of(start: &str) -> Client {
    let rest = "X-Model: m\r\nContent-Length: 1\r\n\r\nx";
    Client {
        head: head(start, KEY, rest),
        ..Client::default()
    }
}

fn announced(len: usize) -> Client {
    Client {
        head: head(
            "POST /file/a",
            KEY,
            &format!("Content-Length: {len}\r\n\r\n"),
        ),
        ..Client::default()
    }
}

fn chunked(path: &str, key: &str) -> Client {
    let start = format!("POST {path}");
    Client {
        head: head(&start, key, "Transfer-Encoding: chunked\r\n\r\n"),
        ..Client::default()
    }
}

/// What the kernel holds for the entry counts as its memory, too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_behind_requests_stay_within_the_memory_of_the_vm() {
    let _turn = take_turn().await;
    let site = start_site(SMALL_MEMORY_MB, MAX_FDS).await;
    let watch = Watch::start(site.entries[0].id());
    let client = Client {
        piece: vec![b'b'; 64 << 10],
        pieces: 16,
        ..unread_stream()
    };
    let addr = site.callers_of(0);
    let crowd = Crowd::gather(addr, 400, client).await;
    let unread = unread_bytes(addr);
    let served = is_served(&site).await;
    crowd.dismiss().await;
    let held = watch.end().unwrap().memory + unread;
    let figures = format!(
        "{} KB of {SMALL_MEMORY_MB} MB, {} unread",
        held >> 10,
        unread >> 10
    );
    println!("{figures}");
    assert!(served, "{figures}");
    assert!(held < SMALL_MEMORY_MB * 1_000_000, "{figures}");
    site.check();
}

/// A stream's connection is opened anew after a report that came over the first one, or didn't come in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_nobody_reads_over_connections_opened_anew_after_a_report() {
    let _turn = take_turn().await;
    let mut site = start_site(MEMORY_MB, MAX_FDS).await;
    for engine in &site.engines {
        engine.close_connections();
    }
    let watch = Watch::start(site.entries[0].id());
    let client = Client {
        awaits_answer: true,
        ..soon_blocked_stream()
    };
    let crowd = Crowd::gather(site.callers_of(0), 400, client).await;
    let served_beside = is_served(&site).await;
    crowd.dismiss().await;
    assert!(site.entries[0].is_running(), "{}", site.log_tail(0));
    let peak = watch.end().unwrap().memory;
    println!("{} KB of {MEMORY_MB} MB", peak >> 10);
    assert!(served_beside, "{} KB", peak >> 10);
    assert!(peak < MEMORY_MB * 1_000_000, "{} KB", peak >> 10);
    site.check();
}

/// The entry takes as long as it needs for millions of chunks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_body_in_chunks_of_one_byte_is_served() {
    let _turn = take_turn().await;
    let mut site = Site::without_entries().await;
    site.limits = Some((MEMORY_MB, MAX_FDS));
    site.body_limit = BODY_LIMIT;
    site.plain_timeout_ms = PATIENCE_MS;
    site.start_entries(1).await;
    let watch = Watch::start(site.entries[0].id());
    let id = site.id();
    let mut stream = TcpStream::connect(site.callers_of(0)).await.unwrap();
    let head = chunked("/file/a", KEY).head.replace("{id}", &id);
    let head = head.replace(
        "X-Deadline-Ms: 20000",
        &format!("X-Deadline-Ms: {PATIENCE_MS}"),
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let piece = chunk(1).repeat(1 << 10);
    for _ in 0..BODY_LIMIT >> 10 {
        stream.write_all(&piece).await.unwrap();
    }
    stream.write_all(b"0\r\n\r\n").await.unwrap();
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200");
    let peak = watch.end().unwrap().memory;
    println!("{} KB of {MEMORY_MB} MB", peak >> 10);
    assert!(peak < MEMORY_MB * 1_000_000, "{} KB", peak >> 10);
    site.check();
}

/// Lets clients come a few at a time, so that each finds room for its request, however little is left for its answer.
async fn check_survives_in_turn(waves: usize, client: Client) {
    let _turn = take_turn().await;
    let mut site = start_site(MEMORY_MB, MAX_FDS).await;
    let watch = Watch::start(site.entries[0].id());
    let mut crowds = Vec::new();
    for _ in 0..waves {
        crowds.push(Crowd::gather(site.callers_of(0), 4, client.clone()).await);
    }
    let served_beside = is_served(&site).await;
    for crowd in crowds {
        crowd.dismiss().await;
    }
    let served_after = is_served(&site).await;
    assert!(site.entries[0].is_running(), "{}", site.log_tail(0));
    let peak = watch.end().unwrap().memory;
    println!("{} KB of {MEMORY_MB} MB", peak >> 10);
    assert!(served_beside, "{} KB", peak >> 10);
    assert!(served_after, "{} KB", peak >> 10);
    assert!(peak < MEMORY_MB * 1_000_000, "{} KB", peak >> 10);
    site.check();
}

macro_rules! crowds_in_turn {
    ($($name:ident: $waves:literal, $client:expr;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check_survives_in_turn($waves, $client).await;
            }
        )+
    };
}

crowds_in_turn! {
    answers_that_nobody_reads_as_clients_come_in_turn: 40, Client {
        head: head("GET /fetch/a?answer_bytes=3000000", KEY, "\r\n"),
        awaits_answer: true,
        ..Client::default()
    };
    streams_that_nobody_reads_as_clients_come_in_turn: 100, Client {
        awaits_answer: true,
        ..soon_blocked_stream()
    };
    bodies_that_stop_short_of_their_end_as_clients_come_in_turn: 20, Client {
        piece: vec![b'b'; BODY_LIMIT - 1],
        pieces: 1,
        ..announced(BODY_LIMIT)
    };
    bodies_in_chunks_of_one_byte_as_clients_come_in_turn: 4, Client {
        piece: chunk(1).repeat(1 << 10),
        pieces: 1 << 10,
        ..chunked("/file/a", KEY)
    };
    whole_bodies_whose_answers_nobody_reads_as_clients_come_in_turn: 40, Client {
        head: head("POST /file/a?answer_bytes=3000000", KEY, &format!("Content-Length: {BODY_LIMIT}\r\n\r\n")),
        piece: vec![b'b'; BODY_LIMIT],
        pieces: 1,
        awaits_answer: true,
    };
}
