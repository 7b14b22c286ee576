//! Measures round-trip times and the one-way rate between two mailboxes of one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use fireflycroft::ConnectionLimits;
use fireflyd::keyring::{KeyRing, SharedKeyRing};
use fireflyd::mailbox::{Limits, Mailbox};
use fireflyd::metrics::Metrics;
use tokio::sync::mpsc::Receiver;

const PAYLOAD_BYTES: usize = 200;
const ROUND_TRIPS: usize = 20_000;
const ONE_WAY_MESSAGES: usize = 200_000;
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);

fn open(keys: &SharedKeyRing) -> anyhow::Result<(Mailbox, Receiver<Vec<u8>>)> {
    let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let metrics = Metrics::new()?;
    let strangers = metrics.accounts("mailbox", ConnectionLimits::for_pages(None, None));
    Mailbox::open(
        local,
        keys.clone(),
        Limits::default(),
        metrics.mailbox,
        strangers,
    )
}

async fn round_trips(
    a: &Mailbox,
    b: Mailbox,
    a_rx: &mut Receiver<Vec<u8>>,
    mut b_rx: Receiver<Vec<u8>>,
) {
    let (to_a, to_b) = (a.local_addr(), b.local_addr());
    let echo = tokio::spawn(async move {
        while let Some(msg) = b_rx.recv().await {
            b.send(to_a, msg);
        }
    });
    let mut micros = Vec::with_capacity(ROUND_TRIPS);
    for _ in 0..ROUND_TRIPS {
        let start = Instant::now();
        a.send(to_b, vec![7; PAYLOAD_BYTES]);
        if a_rx.recv().await.is_none() {
            break;
        }
        micros.push(start.elapsed().as_micros());
    }
    echo.abort();
    micros.sort_unstable();
    let at = |percent: usize| micros[(micros.len() - 1) * percent / 100];
    println!(
        "round_trip_us p50={} p99={} n={}",
        at(50),
        at(99),
        micros.len()
    );
}

/// Sends with at most `window` messages in flight, so that no queue limit is reached.
async fn one_way(a: &Mailbox, keys: &SharedKeyRing, window: usize) -> anyhow::Result<()> {
    let (b, mut b_rx) = open(keys)?;
    let to = b.local_addr();
    a.send(to, vec![7; PAYLOAD_BYTES]);
    b_rx.recv().await;
    let start = Instant::now();
    let (mut sent, mut got) = (0, 0);
    while got < ONE_WAY_MESSAGES {
        while sent < ONE_WAY_MESSAGES && sent - got < window {
            a.send(to, vec![7; PAYLOAD_BYTES]);
            sent += 1;
        }
        match tokio::time::timeout(RECEIVE_TIMEOUT, b_rx.recv()).await {
            Ok(Some(_)) => got += 1,
            _ => break,
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    #[allow(clippy::cast_precision_loss)]
    let rate = got as f64 / seconds;
    println!(
        "one_way window={window} got={got} of={ONE_WAY_MESSAGES} messages_per_second={rate:.0}"
    );
    Ok(())
}

fn threads() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("Threads:"));
    line.unwrap_or("Threads: unknown").replace('\t', " ")
}

#[tokio::main(worker_threads = 2)]
async fn main() -> anyhow::Result<()> {
    println!("before nng: {}", threads());
    let keys = SharedKeyRing::new(KeyRing::new([(1, [7; 32])])?);
    let (a, mut a_rx) = open(&keys)?;
    let (b, b_rx) = open(&keys)?;
    round_trips(&a, b, &mut a_rx, b_rx).await;
    for window in [64, 1024] {
        one_way(&a, &keys, window).await?;
    }
    println!("with nng: {}", threads());
    Ok(())
}
