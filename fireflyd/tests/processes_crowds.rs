//! Entries of the fleet's own path before clients that keep to no limit: each process stays within its VM's memory and
//! descriptors, and serves the callers beside them.

mod support;

use std::sync::OnceLock;
use std::time::Duration;

use standins::caller::Request;
use standins::crowd::{Client, Crowd, Peak, Watch, chunk, long_headers};
use standins::http2;
use support::{COUNTER, DOSSIERS, Fleet, GRADES, Spec};
use tokio::sync::{Mutex, MutexGuard};

/// Largest body, in bytes.
const BODY_LIMIT: usize = 768 << 10;

/// Memory of the VM in MB.
const MEMORY_MB: u64 = 64;

/// Descriptors of the VM, and a number that a crowd exceeds.
const MAX_FDS: &str = "2000";
const FEW_FDS: &str = "400";

/// Attempts of a caller beside a crowd, who comes back after a refusal.
const ATTEMPTS: usize = 8;

/// Pause before a caller comes back.
const PAUSE: Duration = Duration::from_millis(300);

/// Where a crowd connects.
#[derive(Clone, Copy)]
enum Port {
    Callers,
    Admin,
    Mailbox,
}

/// Waits until no other crowd of this file plays.
async fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: OnceLock<Mutex<()>> = OnceLock::new();
    TURN.get_or_init(Mutex::default).lock().await
}

/// Sends an ordinary request, again after a refusal, as callers do.
async fn is_served(fleet: &Fleet, mark: &str) -> bool {
    for attempt in 0..ATTEMPTS {
        let mark = format!("{mark}-{attempt}");
        let got = fleet
            .call(Request::stream(&mark, DOSSIERS, "model-a", 5), 0)
            .await;
        if got.is_complete() {
            return true;
        }
        tokio::time::sleep(PAUSE).await;
    }
    false
}

/// Starts a fleet of one entry whose VMs have so many descriptors.
async fn start_fleet(max_fds: &'static str) -> Fleet {
    Fleet::start(Spec {
        engines: 1,
        entries: 1,
        plain: true,
        engine_flags: vec!["--time-scale", "100"],
        daemon_env: vec![("FIREFLYD_MEMORY_MB", "64"), ("FIREFLYD_MAX_FDS", max_fds)],
        ..Spec::default()
    })
    .await
}

/// Lets a crowd come, stay and leave; checks the entry before and after it has left.
async fn check_survives(max_fds: &'static str, count: usize, port: Port, client: Client) {
    let _turn = take_turn().await;
    let mut fleet = start_fleet(max_fds).await;
    let watches: Vec<Watch> = fleet
        .nodes()
        .map(|n| Watch::start(n.process.id()))
        .collect();
    let addr = match port {
        Port::Callers => fleet.entries[0].callers.unwrap(),
        Port::Admin => fleet.entries[0].admin,
        Port::Mailbox => fleet.entries[0].mailbox,
    };
    let crowd = Crowd::gather(addr, count, client).await;
    let served_beside = is_served(&fleet, "beside").await;
    crowd.dismiss().await;
    let served_after = is_served(&fleet, "after").await;
    assert!(fleet.entries[0].process.is_alive());
    // The entry's first, then those of the agents.
    let peaks: Vec<Peak> = watches.into_iter().map(|w| w.end().unwrap()).collect();
    let figures = peaks.iter().map(|peak| {
        format!(
            "{} KB of {MEMORY_MB} MB, {} descriptors of {max_fds}; ",
            peak.memory >> 10,
            peak.descriptors
        )
    });
    let figures: String = figures.collect();
    println!("{figures}");
    assert!(served_beside, "not served beside the crowd; {figures}");
    assert!(served_after, "not served after the crowd; {figures}");
    for peak in peaks {
        assert!(peak.memory < MEMORY_MB * 1_000_000, "{figures}");
        assert!(peak.descriptors <= max_fds.parse().unwrap(), "{figures}");
    }
}

macro_rules! crowds {
    ($($name:ident: $max_fds:expr, $count:literal, $port:ident, $client:expr;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check_survives($max_fds, $count, Port::$port, $client).await;
            }
        )+
    };
}

crowds! {
    own_path_bodies_that_stop_short_of_their_end: MAX_FDS, 120, Callers, Client {
        piece: vec![b'b'; BODY_LIMIT - 1],
        pieces: 1,
        ..announced(BODY_LIMIT)
    };
    own_path_bodies_in_large_chunks_that_stop_short_of_their_end: MAX_FDS, 200, Callers, Client {
        piece: chunk(64 << 10),
        pieces: 12,
        ..chunked()
    };
    own_path_bodies_in_chunks_of_one_byte_that_stop_short_of_their_end: MAX_FDS, 20, Callers, Client {
        piece: chunk(1).repeat(1 << 10),
        pieces: 256,
        ..chunked()
    };
    own_path_bodies_sent_far_over_the_limit: MAX_FDS, 120, Callers, Client {
        piece: chunk(64 << 10),
        pieces: 64,
        ..chunked()
    };
    own_path_heads_without_an_end: MAX_FDS, 400, Callers, Client {
        head: format!("POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n{}", long_headers(300_000)),
        ..Client::default()
    };
    own_path_answers_that_nobody_reads: MAX_FDS, 150, Callers, Client {
        head: format!(
            "POST /services/records/file HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {GRADES}\r\n\
             idempotency-key: {{id}}\r\ncontent-length: 700000\r\n\r\n"
        ),
        piece: vec![b'b'; 700_000],
        pieces: 1,
        awaits_answer: true,
    };
    own_path_requests_in_one_go_whose_answers_nobody_reads: MAX_FDS, 40, Callers, Client {
        piece: filing(64 << 10).repeat(30),
        pieces: 1,
        awaits_answer: true,
        ..Client::default()
    };
    own_path_streams_that_nobody_reads: MAX_FDS, 300, Callers, Client {
        piece: STREAM.into(),
        pieces: 1,
        awaits_answer: true,
        ..request(&format!("content-length: {}", STREAM.len()))
    };
    own_path_requests_on_one_connection_whose_answers_nobody_reads: MAX_FDS, 300, Callers, Client {
        piece: shared_connection(5_000, 1 << 16, |n| http2::request(n, "GET", "/nowhere", &[], "")),
        pieces: 1,
        ..Client::default()
    };
    own_path_streams_on_one_connection_that_nobody_reads: MAX_FDS, 40, Callers, Client {
        piece: shared_connection(50, 0, |n| {
            let key = format!("Bearer {COUNTER}");
            let headers = [("authorization", key.as_str())];
            http2::request(n, "POST", "/v1/chat/completions", &headers, SHORT_STREAM)
        }),
        pieces: 1,
        ..Client::default()
    };
    own_path_chunk_extensions_without_an_end: MAX_FDS, 100, Callers, Client {
        head: chunked().head + "1;",
        piece: vec![b'e'; 64 << 10],
        pieces: 16,
        ..Client::default()
    };
    own_path_trailers_without_an_end: MAX_FDS, 100, Callers, Client {
        head: chunked().head + "0\r\n",
        piece: long_headers(64 << 10).into_bytes(),
        pieces: 16,
        ..Client::default()
    };
    own_path_connections_that_send_nothing: FEW_FDS, 600, Callers, Client::default();
    own_path_connections_to_the_mailbox_that_send_nothing: FEW_FDS, 600, Mailbox, Client::default();
    own_path_bytes_to_the_mailbox_that_are_no_message: MAX_FDS, 200, Mailbox, Client {
        piece: vec![0x7f; 64 << 10],
        pieces: 64,
        ..Client::default()
    };
    own_path_heads_without_an_end_at_the_admin_port: FEW_FDS, 600, Admin, Client {
        head: format!("GET /metrics HTTP/1.1\r\n{}", long_headers(300_000)),
        ..Client::default()
    };
}

/// Body of a request for a long stream.
const STREAM: &str = r#"{"model":"model-a","stream":true,"max_tokens":1501,"messages":[{"role":"user","content":"[[len=1500]] hello"}]}"#;

/// Body of a request for a short stream.
const SHORT_STREAM: &str = r#"{"model":"model-a","stream":true,"max_tokens":21,"messages":[{"role":"user","content":"[[len=20]] hello"}]}"#;

/// Returns a whole request whose answer is as long as its body of `len` bytes.
fn filing(len: usize) -> Vec<u8> {
    let head = format!(
        "POST /services/records/file HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {GRADES}\r\n\
         content-length: {len}\r\n\r\n"
    );
    [head.into_bytes(), vec![b'b'; len]].concat()
}

/// Returns what a client sends that makes `count` requests at once on one connection.
fn shared_connection(count: u32, window: u32, request: impl Fn(u32) -> Vec<u8>) -> Vec<u8> {
    let requests = (0..count).flat_map(request);
    http2::open(window).into_iter().chain(requests).collect()
}

/// Returns the beginning of a request; `rest` ends its head.
fn request(rest: &str) -> Client {
    Client {
        head: format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n\
             authorization: Bearer {COUNTER}\r\n{rest}\r\n\r\n"
        ),
        ..Client::default()
    }
}

fn announced(len: usize) -> Client {
    request(&format!("content-length: {len}"))
}

fn chunked() -> Client {
    request("transfer-encoding: chunked")
}

/// Lets clients come a few at a time, so that each finds room for its request, however little is left for its answer.
async fn check_survives_in_turn(waves: usize, client: Client) {
    let _turn = take_turn().await;
    let mut fleet = start_fleet(MAX_FDS).await;
    let watch = Watch::start(fleet.entries[0].process.id());
    let addr = fleet.entries[0].callers.unwrap();
    let mut crowds = Vec::new();
    for _ in 0..waves {
        crowds.push(Crowd::gather(addr, 4, client.clone()).await);
    }
    let served = is_served(&fleet, "beside").await;
    for crowd in crowds {
        crowd.dismiss().await;
    }
    assert!(fleet.entries[0].process.is_alive());
    let peak = watch.end().unwrap().memory;
    println!("{} KB of {MEMORY_MB} MB", peak >> 10);
    assert!(served, "{} KB", peak >> 10);
    assert!(peak < MEMORY_MB * 1_000_000, "{} KB", peak >> 10);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn own_path_answers_that_nobody_reads_as_clients_come_in_turn() {
    let client = Client {
        piece: filing(700_000),
        pieces: 1,
        awaits_answer: true,
        ..Client::default()
    };
    check_survives_in_turn(40, client).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_answers_that_an_agent_keeps_stay_within_the_memory_of_its_vm() {
    let _turn = take_turn().await;
    let fleet = start_fleet(MAX_FDS).await;
    let watch = Watch::start(fleet.agents[1].process.id());
    let url = format!(
        "http://{}/services/records/file",
        fleet.entries[0].callers.unwrap()
    );
    let body = "b".repeat(700_000);
    for number in 0..120 {
        let call = fleet.http.post(&url).bearer_auth(GRADES);
        let call = call.header("idempotency-key", format!("large-{number}"));
        let answer = call.body(body.clone()).send().await.unwrap();
        assert_eq!(answer.status(), 200);
        assert!(answer.text().await.unwrap().len() > body.len());
    }
    let peak = watch.end().unwrap().memory;
    println!("{} KB of {MEMORY_MB} MB", peak >> 10);
    assert!(peak < MEMORY_MB * 1_000_000, "{} KB", peak >> 10);
}
