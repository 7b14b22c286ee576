//! An entry of another build, as far as others hear of it.

use super::Site;
use fireflycroft::{EntryAnnouncement, EntryMessage, Incarnation};
use fireflycroft_wire::encode_datagram;
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;

/// Last octet of its address.
const LAST_OCTET: u8 = 9;

/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(50);

/// An entry of another build; dropping it stops it.
pub(crate) struct OtherBuild {
    announced: Arc<AtomicUsize>,
    fetched: Arc<AtomicUsize>,
    _tasks: JoinSet<()>,
}

impl OtherBuild {
    /// Starts one that announces a version to the first entry and hands out `config` for it.
    pub(crate) async fn start(site: &Site, version: u64, config: Value) -> Self {
        let [port] = site.peer_port.numbers;
        let ip = Ipv4Addr::new(127, site.net[0], site.net[1], LAST_OCTET);
        let addr = SocketAddr::from((ip, port));
        let to = SocketAddr::from((site.entries[0].ip, port));
        let socket = UdpSocket::bind(addr).await.unwrap();
        let listener = TcpListener::bind(addr).await.unwrap();
        let announced = Arc::new(AtomicUsize::new(0));
        let fetched = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        tasks.spawn(announce(socket, to, version, announced.clone()));
        tasks.spawn(hand_out(listener, config, fetched.clone()));
        Self {
            announced,
            fetched,
            _tasks: tasks,
        }
    }

    /// Returns the number of announcements sent.
    pub(crate) fn announced(&self) -> usize {
        self.announced.load(Ordering::Relaxed)
    }

    /// Returns how often its state was fetched.
    pub(crate) fn fetched(&self) -> usize {
        self.fetched.load(Ordering::Relaxed)
    }
}

async fn announce(socket: UdpSocket, to: SocketAddr, version: u64, announced: Arc<AtomicUsize>) {
    let announcement = EntryAnnouncement {
        name: "front-other".into(),
        data_centre: "a".into(),
        incarnation: Incarnation(1),
        config: version,
        entries: 1,
        ..EntryAnnouncement::default()
    };
    let bytes = encode_datagram(&EntryMessage::Announcement(Box::new(announcement)));
    loop {
        // The entry may be gone at the end of a test.
        let _ = socket.send_to(&bytes, to).await;
        announced.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn hand_out(listener: TcpListener, config: Value, fetched: Arc<AtomicUsize>) {
    let state = json!({"config": config, "upstreams": [], "removed": [], "is_whole": false,
        "revision": 0, "digest": 0, "sure": false});
    let body = state.to_string();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut head = vec![0; 4_096];
        // A request head fits into one read on loopback.
        let len = stream.read(&mut head).await.unwrap_or(0);
        if head[..len].starts_with(b"GET /fleet/state") {
            fetched.fetch_add(1, Ordering::Relaxed);
        }
        // The entry may have closed the connection.
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}
