//! Mailboxes over loopback: seals, limits, restarts, and rotation of a key under traffic.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use fireflycroft::ConnectionLimits;
use fireflyd::keyring::{KEY_LEN, KeyRing, SharedKeyRing};
use fireflyd::mailbox::{Limits, MAX_FRAME_BYTES, MAX_MESSAGE_BYTES, Mailbox};
use fireflyd::metrics::{MailboxMetrics, Metrics};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;

const OLD: (u8, [u8; KEY_LEN]) = (1, [0x11; KEY_LEN]);
const NEW: (u8, [u8; KEY_LEN]) = (2, [0x22; KEY_LEN]);
/// Longest wait for an event.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Connections without a sealed message that the mailboxes keep.
const MAX_STRANGERS: usize = 16;
const STRANGER_LIMITS: ConnectionLimits = ConnectionLimits {
    memory: 8 << 20,
    connections: MAX_STRANGERS,
};
/// Interval at which a counter is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

struct Endpoint {
    mailbox: Mailbox,
    rx: Receiver<Vec<u8>>,
    keys: SharedKeyRing,
    metrics: MailboxMetrics,
    all: Metrics,
}

impl Endpoint {
    fn new(keys: &[(u8, [u8; KEY_LEN])]) -> Self {
        Self::at(any_port(), keys, Limits::default()).unwrap()
    }

    fn at(
        listen: SocketAddr,
        keys: &[(u8, [u8; KEY_LEN])],
        limits: Limits,
    ) -> anyhow::Result<Self> {
        let keys = SharedKeyRing::new(ring(keys));
        let all = Metrics::new().unwrap();
        let strangers = all.accounts("mailbox", STRANGER_LIMITS);
        let metrics = all.mailbox.clone();
        let (mailbox, rx) =
            Mailbox::open(listen, keys.clone(), limits, metrics.clone(), strangers)?;
        Ok(Self {
            mailbox,
            rx,
            keys,
            metrics,
            all,
        })
    }

    fn addr(&self) -> SocketAddr {
        self.mailbox.local_addr()
    }

    async fn next(&mut self) -> Vec<u8> {
        tokio::time::timeout(TIMEOUT, self.rx.recv())
            .await
            .expect("no message received")
            .expect("the mailbox ended")
    }

    /// Returns whether a stranger has given way for want of `shortage`.
    fn has_evicted(&self, shortage: &str) -> bool {
        let name =
            format!("evicted_connections_total{{server=\"mailbox\",shortage=\"{shortage}\"}}");
        self.all.render().contains(&name)
    }

    fn dropped(&self, cause: &str) -> u64 {
        self.metrics.dropped.with_label_values(&[cause]).get()
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns a loopback address that no other test uses, so that its port can be bound again.
fn reusable_addr(last: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, last), 0))
}

fn ring(keys: &[(u8, [u8; KEY_LEN])]) -> KeyRing {
    KeyRing::new(keys.iter().copied()).unwrap()
}

async fn until(what: &str, done: impl Fn() -> bool) {
    let poll = async {
        while !done() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(
        tokio::time::timeout(TIMEOUT, poll).await.is_ok(),
        "timed out: {what}"
    );
}

/// Opens a plain push socket, for frames that a mailbox doesn't send.
fn raw_push(to: SocketAddr) -> nng::Socket {
    let socket = nng::Socket::new(nng::Protocol::Push0).unwrap();
    socket.dial(&format!("tcp://{to}")).unwrap();
    socket
}

macro_rules! delivery_cases {
    ($($name:ident: $len:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (a, mut b) = (Endpoint::new(&[OLD]), Endpoint::new(&[OLD]));
            let payload: Vec<u8> = (0..$len).map(|index: usize| index.to_le_bytes()[0]).collect();
            a.mailbox.send(b.addr(), payload.clone());
            assert!(b.next().await == payload);
        }
    )*};
}

delivery_cases! {
    an_empty_message_arrives: 0;
    a_short_message_arrives: 200;
    the_longest_message_arrives: MAX_MESSAGE_BYTES;
}

macro_rules! refused_frame_cases {
    ($($name:ident: $len:expr, sealed $sealed:expr => $counted:expr;)*) => {$(
        // The plain socket blocks its thread.
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let mut b = Endpoint::new(&[OLD]);
            let mut frame = vec![3; $len];
            if $sealed {
                ring(&[OLD]).seal(&mut frame);
            }
            let raw = raw_push(b.addr());
            raw.send(&frame[..]).unwrap();
            let counted: Option<fn(&Endpoint) -> u64> = $counted;
            if let Some(counted) = counted {
                until("the count", || counted(&b) == 1).await;
            }
            let a = Endpoint::new(&[OLD]);
            a.mailbox.send(b.addr(), b"after".to_vec());
            assert_eq!(b.next().await, b"after");
            assert_eq!(b.metrics.received.get(), 1);
        }
    )*};
}

refused_frame_cases! {
    an_unsealed_frame_is_refused: 100, sealed false => Some(|b| b.metrics.refused_seal.get());
    a_frame_shorter_than_a_seal_is_refused: 3, sealed false => Some(|b| b.metrics.refused_seal.get());
    a_frame_over_the_bound_is_counted: MAX_MESSAGE_BYTES + 1, sealed true => Some(|b| b.dropped("too_long"));
    // Its connection is closed before the frame is read, so it isn't counted.
    a_frame_far_over_the_bound_is_cut: 4 * MAX_FRAME_BYTES, sealed true => None;
}

#[tokio::test]
async fn a_wrong_fleet_key_is_refused_and_the_mailbox_lives_on() {
    let mut b = Endpoint::new(&[OLD]);
    let foreign = Endpoint::new(&[(1, [0x99; KEY_LEN])]);
    foreign.mailbox.send(b.addr(), b"forged".to_vec());
    until("the refusal", || b.metrics.refused_seal.get() == 1).await;
    let a = Endpoint::new(&[OLD]);
    a.mailbox.send(b.addr(), b"true".to_vec());
    assert_eq!(b.next().await, b"true");
    assert_eq!(b.metrics.received.get(), 1);
}

#[tokio::test]
async fn a_key_is_rolled_without_loss() {
    let (a, mut b) = (Endpoint::new(&[OLD]), Endpoint::new(&[OLD]));
    // Each step is applied to one process before the other.
    let steps: [(&[_], &[_]); 6] = [
        (&[OLD, NEW], &[OLD]),
        (&[OLD, NEW], &[OLD, NEW]),
        (&[NEW, OLD], &[OLD, NEW]),
        (&[NEW, OLD], &[NEW, OLD]),
        (&[NEW], &[NEW, OLD]),
        (&[NEW], &[NEW]),
    ];
    for (step, (a_keys, b_keys)) in (0_u8..).zip(steps) {
        a.keys.replace(ring(a_keys));
        b.keys.replace(ring(b_keys));
        for index in 0..50 {
            a.mailbox.send(b.addr(), vec![step, index]);
        }
        for index in 0..50 {
            assert_eq!(b.next().await, [step, index]);
        }
    }
    assert_eq!(b.metrics.refused_seal.get(), 0);
}

#[tokio::test]
async fn messages_of_one_peer_keep_their_order() {
    let (a, mut b) = (Endpoint::new(&[OLD]), Endpoint::new(&[OLD]));
    for index in 0..2000_u32 {
        a.mailbox.send(b.addr(), index.to_le_bytes().to_vec());
    }
    for index in 0..2000_u32 {
        assert_eq!(b.next().await, index.to_le_bytes());
    }
}

#[tokio::test]
async fn a_peer_restarted_at_its_address_gets_messages_again() {
    let a = Endpoint::new(&[OLD]);
    let mut b = Endpoint::at(reusable_addr(2), &[OLD], Limits::default()).unwrap();
    let addr = b.addr();
    a.mailbox.send(addr, b"first".to_vec());
    assert_eq!(b.next().await, b"first");
    tokio::task::spawn_blocking(move || drop(b)).await.unwrap();
    let mut b = reopen(addr).await;
    // The first messages may be lost with the old connection.
    let again = async {
        loop {
            a.mailbox.send(addr, b"again".to_vec());
            if let Ok(Some(msg)) =
                tokio::time::timeout(Duration::from_millis(50), b.rx.recv()).await
            {
                return msg;
            }
        }
    };
    let msg = tokio::time::timeout(TIMEOUT, again).await.unwrap();
    assert_eq!(msg, b"again");
}

async fn reopen(addr: SocketAddr) -> Endpoint {
    let reopened = async {
        loop {
            match Endpoint::at(addr, &[OLD], Limits::default()) {
                Ok(end) => return end,
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    };
    tokio::time::timeout(TIMEOUT, reopened)
        .await
        .expect("the address stayed in use")
}

/// An address that refuses connections, reserved until the drop.
struct UnreachablePeer {
    _bound: tokio::net::TcpSocket,
    addr: SocketAddr,
}

impl UnreachablePeer {
    fn new() -> Self {
        let bound = tokio::net::TcpSocket::new_v4().unwrap();
        bound.bind(any_port()).unwrap();
        let addr = bound.local_addr().unwrap();
        Self {
            _bound: bound,
            addr,
        }
    }
}

#[tokio::test]
async fn messages_to_an_unreachable_peer_are_dropped_when_old() {
    let limits = Limits {
        max_age: Duration::from_millis(100),
        ..Limits::default()
    };
    let a = Endpoint::at(any_port(), &[OLD], limits).unwrap();
    let unreachable = UnreachablePeer::new();
    for _ in 0..100 {
        a.mailbox.send(unreachable.addr, vec![1; 10]);
    }
    until("the drops", || a.dropped("too_old") == 100).await;
    assert_eq!(a.metrics.sent.get(), 0);
}

macro_rules! full_queue_cases {
    ($($name:ident: $limits:expr => $dropped:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let limits = Limits { max_age: TIMEOUT, ..$limits };
            let a = Endpoint::at(any_port(), &[OLD], limits).unwrap();
            let unreachable = UnreachablePeer::new();
            // One message leaves the queue for the socket; ten are subject to the limit.
            for _ in 0..11 {
                a.mailbox.send(unreachable.addr, vec![1; 100]);
            }
            assert_eq!(a.dropped("queue_full"), $dropped);
        }
    )*};
}

full_queue_cases! {
    a_full_queue_drops_by_count: Limits { peer_messages: 4, ..Limits::default() } => 6;
    a_full_queue_drops_by_bytes: Limits { peer_bytes: 400, ..Limits::default() } => 7;
}

#[tokio::test]
async fn too_long_and_too_many_are_dropped_at_the_sender() {
    let limits = Limits {
        peers: 1,
        ..Limits::default()
    };
    let a = Endpoint::at(any_port(), &[OLD], limits).unwrap();
    let (first, second) = (UnreachablePeer::new(), UnreachablePeer::new());
    a.mailbox.send(first.addr, vec![1; MAX_MESSAGE_BYTES + 1]);
    assert_eq!(a.dropped("too_long"), 1);
    a.mailbox.send(first.addr, vec![1]);
    assert_eq!(a.dropped("too_many_peers"), 0);
    a.mailbox.send(second.addr, vec![1]);
    assert_eq!(a.dropped("too_many_peers"), 1);
}

#[tokio::test]
async fn an_idle_peer_is_closed_and_dialled_again() {
    let limits = Limits {
        idle: Duration::from_millis(500),
        ..Limits::default()
    };
    let a = Endpoint::at(any_port(), &[OLD], limits).unwrap();
    let mut b = Endpoint::new(&[OLD]);
    for round in 0..3 {
        a.mailbox.send(b.addr(), vec![round]);
        assert_eq!(b.next().await, [round]);
        until("the close", || a.metrics.peers.get() == 0).await;
    }
}

#[tokio::test]
async fn closing_amid_traffic_ends() {
    for round in 0..20_u8 {
        let (a, b) = (Endpoint::new(&[OLD]), Endpoint::new(&[OLD]));
        let to_a = a.addr();
        for index in 0..200 {
            a.mailbox.send(b.addr(), vec![round, index]);
            b.mailbox.send(to_a, vec![round, index]);
        }
        let closed = tokio::task::spawn_blocking(move || {
            // Even rounds drop the sender with queued messages first, odd rounds its peer.
            if round % 2 == 0 {
                drop((a, b));
            } else {
                drop((b, a));
            }
        });
        tokio::time::timeout(TIMEOUT, closed)
            .await
            .expect("closing hangs")
            .unwrap();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_peer_may_come_and_go_amid_traffic() {
    let a = Endpoint::new(&[OLD]);
    let addr = Endpoint::at(reusable_addr(3), &[OLD], Limits::default())
        .unwrap()
        .addr();
    let sender = a.mailbox.clone();
    let flood = tokio::spawn(async move {
        loop {
            for _ in 0..20 {
                sender.send(addr, vec![7; 200]);
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    for _ in 0..10 {
        let mut b = reopen(addr).await;
        for _ in 0..50 {
            assert_eq!(b.next().await, [7; 200]);
        }
        tokio::task::spawn_blocking(move || drop(b)).await.unwrap();
    }
    flood.abort();
}

/// Opens connections that send `bytes` and stay, each once the one before has been accepted.
async fn strangers(to: &Endpoint, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let mut strangers = Vec::new();
    for _ in 0..count {
        let mut stranger = TcpStream::connect(to.addr()).await.unwrap();
        stranger.write_all(bytes).await.unwrap();
        // The header of the mailbox.
        let _ = stranger.read_exact(&mut [0; 8]).await;
        strangers.push(stranger);
    }
    strangers
}

/// Returns whether the mailbox closes the connection.
async fn is_closed(stranger: &mut TcpStream) -> bool {
    tokio::time::timeout(TIMEOUT, stranger.read_to_end(&mut Vec::new()))
        .await
        .is_ok()
}

/// Returns the beginning of a connection that announces a frame.
fn announcement(len: u64) -> Vec<u8> {
    [b"\0SP\0\0\x50\0\0", &len.to_be_bytes()[..]].concat()
}

macro_rules! stranger_cases {
    ($($name:ident: $bytes:expr => $shortage:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (a, mut b) = (Endpoint::new(&[OLD]), Endpoint::new(&[OLD]));
            a.mailbox.send(b.addr(), b"before".to_vec());
            assert_eq!(b.next().await, b"before");
            let mut crowd = strangers(&b, 3 * MAX_STRANGERS, &$bytes).await;
            assert!(b.has_evicted($shortage));
            // The oldest have given way to the newest.
            for stranger in &mut crowd[..2 * MAX_STRANGERS] {
                assert!(is_closed(stranger).await);
            }
            a.mailbox.send(b.addr(), b"beside".to_vec());
            assert_eq!(b.next().await, b"beside");
            let c = Endpoint::new(&[OLD]);
            c.mailbox.send(b.addr(), b"new".to_vec());
            assert_eq!(b.next().await, b"new");
            assert_eq!((a.dropped("link"), c.dropped("link")), (0, 0));
        }
    )*};
}

stranger_cases! {
    silent_strangers_give_way_to_newcomers: [] => "descriptors";
    strangers_that_stop_after_the_handshake_give_way_to_newcomers: announcement(0)[..8] => "descriptors";
    strangers_that_announce_a_frame_and_stop_give_way_to_newcomers: announcement(MAX_FRAME_BYTES as u64) => "memory";
}

macro_rules! closed_cases {
    ($($name:ident: $bytes:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let b = Endpoint::new(&[OLD]);
            let mut crowd = strangers(&b, 1, &$bytes).await;
            assert!(is_closed(&mut crowd[0]).await);
        }
    )*};
}

closed_cases! {
    a_client_that_is_no_push_socket_is_closed: [b'G'; 8];
    a_client_of_another_protocol_is_closed: *b"\0SP\0\0\x30\0\0";
    a_client_that_never_shakes_hands_is_closed: [];
    a_client_that_announces_too_long_a_frame_is_closed: announcement(u64::MAX);
}

#[tokio::test]
async fn a_member_that_falls_silent_is_closed() {
    let limits = Limits {
        idle: Duration::from_millis(200),
        ..Limits::default()
    };
    let mut b = Endpoint::at(any_port(), &[OLD], limits).unwrap();
    let mut frame = b"once".to_vec();
    ring(&[OLD]).seal(&mut frame);
    let first = [announcement(frame.len() as u64), frame].concat();
    let mut member = strangers(&b, 1, &first).await;
    assert_eq!(b.next().await, b"once");
    assert!(is_closed(&mut member[0]).await);
}
