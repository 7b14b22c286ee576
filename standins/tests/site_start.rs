//! Tests of stopping upstreams of the site while processes are being started.

use standins::site::{Engine, EngineKind, Record};
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
