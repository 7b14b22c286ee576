//! Tests of the ends of the site's upstreams.

use standins::site::{Engine, EngineKind, Record, RunEnd};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Engines that are stopped, one after the other.
const ENGINES: usize = 300;

/// Threads that start processes in the meantime.
const STARTERS: usize = 4;

/// Checks that a stopped engine accepts no connection once its open ones are reset. When its
/// listener was only dropped, some of 300 engines did, since starting processes held a copy of the
/// descriptor.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ended_engine_takes_no_connection_while_processes_start() {
    let stop = Arc::new(AtomicBool::new(false));
    let starters: Vec<_> = (0..STARTERS)
        .map(|_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            })
        })
        .collect();
    let mut connected = 0;
    for _ in 0..ENGINES {
        let addr = "127.0.0.1:0".parse().unwrap();
        let engine = Engine::start(EngineKind::Plain, "p", addr, Record::default());
        let engine = engine.await.unwrap();
        let mut open = TcpStream::connect(engine.addr()).await.unwrap();
        engine.kill();
        // A reset and a close both mean that the engine has stopped.
        let _ = open.read(&mut [0]).await;
        connected += usize::from(TcpStream::connect(engine.addr()).await.is_ok());
    }
    stop.store(true, Ordering::Relaxed);
    for starter in starters {
        starter.join().unwrap();
    }
    assert_eq!(connected, 0, "connections to engines that had ended");
}

/// Checks that an upstream that two requests crash at one moment has crashed under one of them.
#[tokio::test]
async fn upstream_that_two_requests_crash_at_once_has_crashed_once() {
    let record = Record::default();
    record.crash_on_path("/bad");
    let addr = "127.0.0.1:0".parse().unwrap();
    let engine = Engine::start(EngineKind::Plain, "p", addr, record.clone());
    let engine = engine.await.unwrap();
    let mut callers = Vec::new();
    for _ in 0..2 {
        callers.push(TcpStream::connect(engine.addr()).await.unwrap());
    }
    for (number, caller) in callers.iter().enumerate() {
        let req = format!("GET /bad HTTP/1.1\r\nHost: a\r\nX-Request-Id: r{number}\r\n\r\n");
        assert_eq!(caller.try_write(req.as_bytes()).unwrap(), req.len());
    }
    for mut caller in callers {
        // A reset and a close both mean that it has ended.
        let _ = caller.read(&mut [0]).await;
    }
    let runs = record.runs_on("/bad").into_iter();
    let crashed = runs.filter(|r| r.end.0 == RunEnd::Crashed).count();
    assert_eq!(crashed, 1);
}
