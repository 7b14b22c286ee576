//! Entry processes that are stopped while callers still read.

mod support;

use standins::site::RunEnd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::slow_reader::{Pace, connect, is_whole, read_slowly};
use support::{KEY, Site, cases, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Size of an event, in bytes, and events of an answer.
const EVENT_BYTES: usize = 1_000;
const EVENTS: u64 = 400;

/// Events of an answer that the kernel holds whole well before its caller has read it.
const SHORT: u64 = 300;

/// Pace at which a caller needs some 6 s for an answer of [`EVENTS`].
const PACE: Pace = Pace {
    bytes: 1_000,
    pause: Duration::from_millis(14),
};

/// Callers who read at a time; for each of them the last bytes wait in the entry at another moment.
const READERS: usize = 16;

/// Grace period of the users, in which an entry has to end.
const GRACE: Duration = Duration::from_secs(8);

/// Opens a connection with a small window and sends a request for a stream of large events.
async fn request(site: &Site, id: &str, events: u64) -> TcpStream {
    let mut stream = connect(site.callers_of(0)).unwrap();
    let head = format!(
        "POST /log/a?events={events}&padding={EVENT_BYTES} HTTP/1.1\r\nHost: site.example\r\n\
         X-Request-Id: {id}\r\nX-Deadline-Ms: 20000\r\nX-Credential: {KEY}\r\nX-Model: m\r\n\
         Content-Length: 6\r\n\r\nprompt"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Reads an answer slowly, counted in `ended` before its connection is closed; returns whether it is whole.
async fn read(mut stream: TcpStream, ended: Arc<AtomicUsize>) -> bool {
    let answer = read_slowly(&mut stream, PACE).await;
    ended.fetch_add(1, Ordering::SeqCst);
    is_whole(&answer)
}

cases! {
    stopped_entry_hands_over_answers_that_are_read_slowly(site: 1) {
        let ids: Vec<String> = (0..READERS).map(|_| site.id()).collect();
        let ended = Arc::new(AtomicUsize::new(0));
        let mut readers = Vec::new();
        for id in &ids {
            let stream = request(&site, id, EVENTS).await;
            readers.push(tokio::spawn(read(stream, ended.clone())));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.entries[0].signal("TERM");
        let stopped = Instant::now();
        site.entries[0].wait_for_exit().await;
        let took = stopped.elapsed();
        assert!(took < GRACE, "{took:?}");
        for reader in readers {
            assert!(reader.await.unwrap(), "{}", site.log(0));
        }
    }

    stopped_entry_stays_until_its_callers_have_read_what_the_kernel_holds(site: 1) {
        let ids: Vec<String> = (0..READERS).map(|_| site.id()).collect();
        let ended = Arc::new(AtomicUsize::new(0));
        let mut readers = Vec::new();
        for id in &ids {
            let stream = request(&site, id, SHORT).await;
            readers.push(tokio::spawn(read(stream, ended.clone())));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        site.entries[0].signal("TERM");
        site.entries[0].wait_for_exit().await;
        assert_eq!(ended.load(Ordering::SeqCst), READERS, "{}", site.log(0));
        for reader in readers {
            assert!(reader.await.unwrap(), "{}", site.log(0));
        }
    }

    request_on_a_connection_opened_after_the_closing_gets_a_refusal(site: 1) {
        let lasting = request(&site, &site.id(), 700).await;
        let mut early = TcpStream::connect(site.callers_of(0)).await.unwrap();
        site.entries[0].signal("TERM");
        tokio::time::sleep(Duration::from_secs(3)).await;
        let mut late = TcpStream::connect(site.callers_of(0)).await.unwrap();
        for stream in [&mut early, &mut late] {
            stream.write_all(b"GET /fetch/a HTTP/1.1\r\nHost: site.example\r\n\r\n").await.unwrap();
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.unwrap();
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?} {}", site.log(0));
        }
        drop(lasting);
        site.entries[0].wait_for_exit().await;
    }

    stopped_entry_ends_soon_where_idle_connections_are_open(site: 1) {
        let call = site.call(0, "GET", "/fetch/a", &site.id());
        call.send().await.unwrap().text().await.unwrap();
        let idle = TcpStream::connect(site.callers_of(0)).await.unwrap();
        let mut partial = TcpStream::connect(site.callers_of(0)).await.unwrap();
        partial.write_all(b"GET /fetch/a HTTP/1.1\r\nHost: site").await.unwrap();
        tokio::time::sleep(Duration::from_millis(200)).await;
        site.entries[0].signal("TERM");
        let stopped = Instant::now();
        site.entries[0].wait_for_exit().await;
        assert!(stopped.elapsed() < GRACE / 2, "{}", site.log(0));
        drop((idle, partial));
    }

    stopped_entry_serves_a_request_whose_body_is_on_its_way(site: 1) {
        let id = site.id();
        let mut stream = TcpStream::connect(site.callers_of(0)).await.unwrap();
        let head = format!(
            "POST /file/a HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 20000\r\nX-Credential: {KEY}\r\nContent-Length: 30000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        let sender = async {
            for _ in 0..30 {
                stream.write_all(&[b'b'; 1_000]).await.unwrap();
                tokio::time::sleep(Duration::from_millis(120)).await;
            }
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.unwrap();
            answer
        };
        let stop = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            site.entries[0].signal("TERM");
        };
        let (answer, ()) = tokio::join!(sender, stop);
        assert!(answer.contains(&format!("POST /file/a for {id}")), "{answer}");
        site.entries[0].wait_for_exit().await;
    }

    caller_that_ends_its_sending_side_has_left(site: 1) {
        let id = site.id();
        let mut stream = request(&site, &id, EVENTS).await;
        site.engine_of(&id).await;
        stream.shutdown().await.unwrap();
        until("the end of the run", || async { site.record.running_count() == 0 }).await;
        assert_eq!(site.record.runs_of(&id)[0].end.0, RunEnd::Abandoned);
    }

    caller_that_reads_nothing_holds_a_stopped_entry_no_longer_than_the_grace_period(site: 1) {
        let id = site.id();
        let silent = request(&site, &id, EVENTS).await;
        site.engine_of(&id).await;
        site.entries[0].signal("TERM");
        let stopped = Instant::now();
        until("the end of readiness", || async { !site.is_ready(0).await }).await;
        assert!(site.entries[0].is_running());
        site.entries[0].wait_for_exit().await;
        assert!(stopped.elapsed() < GRACE, "{}", site.log(0));
        drop(silent);
    }
}
