//! An entry of another build, as far as others hear of it.

use super::Site;
use fireflycroft::{EntryAnnouncement, EntryMessage, Incarnation, OwnerReport};
use fireflycroft_wire::{MAX_DATAGRAM_BYTES, decode_datagram, encode_datagram};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinSet;

/// Revision of the store that no test reaches.
const LATE_REVISION: u64 = 1 << 40;

/// What one hands out as its state.
enum Answer {
    /// A state with this configuration.
    State(Value),
    /// Bytes without an end.
    Endless,
}

/// Length that an answer without an end states.
const ENDLESS_BYTES: usize = 1 << 20;

/// Interval between two bytes of an answer without an end.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(50);

/// An entry of another build; dropping it stops it.
pub(crate) struct OtherBuild {
    announced: Arc<AtomicUsize>,
    fetched: Arc<AtomicUsize>,
    has_other_list: Arc<AtomicBool>,
    is_quiet: Arc<AtomicBool>,
    _tasks: JoinSet<()>,
}

impl OtherBuild {
    /// Starts one, at the address that ends with `last`, that says that it watches the store; it announces a version to
    /// the entry whose address ends with `to` and hands out `config` for it.
    pub(crate) async fn start(site: &Site, last: u8, to: u8, version: u64, config: &Value) -> Self {
        let answer = Answer::State(config.clone());
        Self::start_with(site, last, to, announcement(last, version), answer).await
    }

    /// Starts one that announces another list of upstreams than the entry knows, and hands it out without an end.
    pub(crate) async fn with_an_endless_list(site: &Site, last: u8, to: u8) -> Self {
        let announcement = EntryAnnouncement {
            upstreams: LATE_REVISION,
            upstreams_complete: LATE_REVISION,
            upstreams_digest: 1,
            ..announcement(last, 1)
        };
        Self::start_with(site, last, to, announcement, Answer::Endless).await
    }

    /// Starts one that announces a version and hands out its state without an end.
    pub(crate) async fn with_an_endless_state(site: &Site, last: u8, to: u8, version: u64) -> Self {
        Self::start_with(site, last, to, announcement(last, version), Answer::Endless).await
    }

    /// Starts one that announces the list of upstreams that the entry has, until it is to have another one, which it
    /// never hands out.
    pub(crate) async fn with_the_same_list(site: &Site, last: u8, to: u8) -> Self {
        Self::start_with(site, last, to, announcement(last, 1), Answer::Endless).await
    }

    /// Has it announce another list from now on.
    pub(crate) fn take_another_list(&self) {
        self.has_other_list.store(true, Ordering::Relaxed);
    }

    /// Has it announce nothing from now on; its reports go on.
    pub(crate) fn stop_announcing(&self) {
        self.is_quiet.store(true, Ordering::Relaxed);
    }

    async fn start_with(
        site: &Site,
        last: u8,
        to: u8,
        announcement: EntryAnnouncement,
        answer: Answer,
    ) -> Self {
        let [port] = site.peer_port.numbers;
        let addr = |last| SocketAddr::from(([127, site.net[0], site.net[1], last], port));
        let (addr, to) = (addr(last), addr(to));
        let socket = UdpSocket::bind(addr).await.unwrap();
        let listener = TcpListener::bind(addr).await.unwrap();
        let announced = Arc::new(AtomicUsize::new(0));
        let fetched = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        let has_other_list = Arc::new(AtomicBool::new(announcement.upstreams == LATE_REVISION));
        let other_list = has_other_list.clone();
        let is_quiet = Arc::new(AtomicBool::new(false));
        let sender = Sender {
            socket,
            to,
            announced: announced.clone(),
            has_other_list: other_list,
            is_quiet: is_quiet.clone(),
        };
        tasks.spawn(sender.announce(announcement));
        tasks.spawn(hand_out(listener, answer, fetched.clone()));
        Self {
            announced,
            fetched,
            has_other_list,
            is_quiet,
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

fn announcement(last: u8, version: u64) -> EntryAnnouncement {
    EntryAnnouncement {
        name: format!("other-{last}").into(),
        data_centre: "a".into(),
        incarnation: Incarnation(1),
        config: version,
        entries: 1,
        watches: true,
        store_age: Some(Duration::ZERO),
        ..EntryAnnouncement::default()
    }
}

/// What one sends, until it ends.
struct Sender {
    socket: UdpSocket,
    to: SocketAddr,
    announced: Arc<AtomicUsize>,
    has_other_list: Arc<AtomicBool>,
    is_quiet: Arc<AtomicBool>,
}

impl Sender {
    async fn announce(self, mut announcement: EntryAnnouncement) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let report = encode_datagram(&EntryMessage::Report(OwnerReport::default()));
        loop {
            let has_other_list = self.has_other_list.load(Ordering::Relaxed);
            while let Ok((len, _)) = self.socket.try_recv_from(&mut buf) {
                if let Ok(EntryMessage::Announcement(heard)) = decode_datagram(&buf[..len])
                    && !has_other_list
                {
                    announcement.upstreams_digest = heard.upstreams_digest;
                }
            }
            if has_other_list {
                announcement.upstreams = LATE_REVISION;
                announcement.upstreams_complete = LATE_REVISION;
                announcement.upstreams_digest = 1;
            }
            let message = EntryMessage::Announcement(Box::new(announcement.clone()));
            // The entry may be gone at the end of a test.
            let _ = self.socket.send_to(&report, self.to).await;
            if !self.is_quiet.load(Ordering::Relaxed) {
                let bytes = encode_datagram(&message);
                let _ = self.socket.send_to(&bytes, self.to).await;
                self.announced.fetch_add(1, Ordering::Relaxed);
            }
            tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        }
    }
}

async fn hand_out(listener: TcpListener, answer: Answer, fetched: Arc<AtomicUsize>) {
    let (config, is_endless) = match answer {
        Answer::State(config) => (config, false),
        Answer::Endless => (Value::Null, true),
    };
    let state = json!({"config": config, "upstreams": [], "removed": [], "is_whole": false,
        "revision": 0, "digest": 0, "sure": false});
    let body = state.to_string();
    let length = if is_endless {
        ENDLESS_BYTES
    } else {
        body.len()
    };
    let answer =
        format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut head = vec![0; 4_096];
        // A request head fits into one read on loopback.
        let len = stream.read(&mut head).await.unwrap_or(0);
        if head[..len].starts_with(b"GET /fleet/state") {
            fetched.fetch_add(1, Ordering::Relaxed);
        }
        // The entry may have closed the connection.
        let _ = stream.write_all(answer.as_bytes()).await;
        if is_endless {
            tokio::spawn(trickle(stream));
        }
    }
}

/// Sends bytes until the entry closes the connection.
async fn trickle(mut stream: TcpStream) {
    while stream.write_all(b" ").await.is_ok() {
        tokio::time::sleep(TRICKLE_INTERVAL).await;
    }
}
