//! Connections with accounts: what they reserve, and how they give way.

use bytes::Bytes;
use fireflycroft::{CONNECTION_BYTES, ConnectionLimits, Purpose, SEND_BUFFER_BYTES};
use fireflynet::{
    Account, CallerStream, Callers, CollectError, HeadLimits, collect_answer, collect_request,
    listen,
};
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

const HEAD_LIMITS: HeadLimits = HeadLimits {
    bytes: 1_000,
    time: Duration::from_secs(5),
};

/// A server, and how many connections it told to give way.
struct Server {
    callers: Callers,
    evicted: Arc<AtomicUsize>,
}

impl Server {
    fn new(memory: u64, connections: usize) -> Self {
        let evicted = Arc::new(AtomicUsize::new(0));
        let counted = evicted.clone();
        let limits = ConnectionLimits {
            memory,
            connections,
        };
        let callers = Callers::new("test", limits, move |_| {
            counted.fetch_add(1, Ordering::SeqCst);
        });
        Self { callers, evicted }
    }

    fn open(&self, port: u16) -> Option<Account> {
        self.callers.open(SocketAddr::from(([127, 0, 0, 1], port)))
    }

    fn held(&self) -> u64 {
        self.callers.usage().memory
    }
}

/// Returns a socket for which a peer has to keep most of an answer.
fn small_window() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket
}

/// Returns both ends of a connection, the server's with an account.
async fn connect(server: &Server) -> (TcpStream, CallerStream) {
    connect_from(server, TcpSocket::new_v4().unwrap()).await
}

/// The same, from a socket.
async fn connect_from(server: &Server, socket: TcpSocket) -> (TcpStream, CallerStream) {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let client = socket.connect(listener.local_addr().unwrap()).await;
    let (stream, peer) = listener.accept().await.unwrap();
    let account = server.callers.open(peer).unwrap();
    (
        client.unwrap(),
        CallerStream::new(stream, account, HEAD_LIMITS),
    )
}

/// Returns a body of unknown length in frames of `len` bytes.
fn frames(
    count: usize,
    len: usize,
) -> StreamBody<impl futures_util::Stream<Item = Result<Frame<Bytes>, Infallible>> + Unpin> {
    let frame = move |_| Ok(Frame::data(Bytes::from(vec![b'f'; len])));
    StreamBody::new(futures_util::stream::iter((0..count).map(frame)))
}

macro_rules! cases {
    ($($name:ident($server:ident: $memory:expr, $connections:expr) $body:block)+) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() {
                let $server = Server::new($memory, $connections);
                $body
            }
        )+
    };
}

cases! {
    body_is_charged_by_what_its_buffer_costs(server: 1 << 20, 10) {
        let account = server.open(1).unwrap();
        let body = collect_request(frames(10_000, 1), 1 << 20, &account).await.unwrap();
        let bytes = body.into_bytes();
        assert_eq!(bytes.len(), 10_000);
        assert_eq!(server.held(), CONNECTION_BYTES + 10_000);
        let part = bytes.slice(..10);
        drop(bytes);
        assert_eq!(server.held(), CONNECTION_BYTES + 10_000);
        drop(part);
        assert_eq!(server.held(), CONNECTION_BYTES);
    }

    body_over_the_limit_is_too_large(server: 1 << 20, 10) {
        let account = server.open(1).unwrap();
        let announced = Full::new(Bytes::from(vec![0; 101]));
        let e = collect_request(announced, 100, &account).await.unwrap_err();
        assert_eq!(e, CollectError::TooLarge);
        let e = collect_request(frames(101, 1), 100, &account).await.unwrap_err();
        assert_eq!(e, CollectError::TooLarge);
        assert_eq!(server.held(), CONNECTION_BYTES);
    }

    body_without_room_is_refused_and_leaves_nothing(server: 1 << 20, 10) {
        let account = server.open(1).unwrap();
        let e = collect_request(frames(100, 16 << 10), 2 << 20, &account).await.unwrap_err();
        assert_eq!(e, CollectError::NoRoom);
        assert_eq!(server.held(), CONNECTION_BYTES);
    }

    body_that_stands_still_is_refused_for_another(server: 4 << 20, 10) {
        let (first, second) = (server.open(1).unwrap(), server.open(2).unwrap());
        let endless = frames(60, 16 << 10);
        let endless = futures_util::StreamExt::chain(endless, futures_util::stream::pending());
        let endless = StreamBody::new(endless);
        let refused = tokio::spawn(async move {
            let call = first.begin_call();
            let e = collect_request(Box::pin(endless), 2 << 20, &first).await.unwrap_err();
            drop(call);
            e
        });
        tokio::time::sleep(Duration::from_secs(1)).await;
        let body = collect_request(frames(60, 16 << 10), 2 << 20, &second).await.unwrap();
        assert_eq!(refused.await.unwrap(), CollectError::NoRoom);
        assert_eq!(server.evicted.load(Ordering::SeqCst), 1);
        assert_eq!(body.as_ref().len(), 60 << 14);
    }

    bodies_of_one_connection_are_refused_together(server: 4 << 20, 10) {
        let (first, second) = (server.open(1).unwrap(), server.open(2).unwrap());
        let mut refused = tokio::task::JoinSet::new();
        for _ in 0..2 {
            let first = first.clone();
            let endless = futures_util::StreamExt::chain(frames(20, 16 << 10), futures_util::stream::pending());
            refused.spawn(async move {
                let _call = first.begin_call();
                collect_request(Box::pin(StreamBody::new(endless)), 2 << 20, &first).await.unwrap_err()
            });
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let body = collect_request(frames(60, 16 << 10), 2 << 20, &second).await.unwrap();
        assert_eq!(refused.join_all().await, [CollectError::NoRoom, CollectError::NoRoom]);
        assert_eq!(server.evicted.load(Ordering::SeqCst), 1);
        drop(body);
        assert_eq!(server.held(), 2 * CONNECTION_BYTES);
    }

    answer_keeps_its_memory_until_it_is_dropped(server: 1 << 20, 10) {
        let account = server.open(1).unwrap();
        let answer = collect_answer(frames(10, 1_000), 1 << 20, &account).await.unwrap();
        let answer = answer.into_bytes();
        drop(account);
        assert!(server.held() >= 10_000);
        drop(answer);
        assert_eq!(server.held(), 0);
    }

    idle_connection_closes_for_a_new_one(server: 4 << 20, 1) {
        let (mut client, mut stream) = connect(&server).await;
        let reading = tokio::spawn(async move { stream.read_u8().await.unwrap_err().kind() });
        tokio::task::yield_now().await;
        assert!(server.open(2).is_some());
        assert_eq!(reading.await.unwrap(), ErrorKind::ConnectionAborted);
        assert!(matches!(client.read_u8().await.unwrap_err().kind(),
            ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset));
    }

    connection_in_service_turns_a_newcomer_away(server: 4 << 20, 1) {
        let account = server.open(1).unwrap();
        let call = account.begin_call();
        assert!(server.open(2).is_none());
        drop(call);
        assert!(server.open(2).is_some());
    }

    account_is_found_by_its_peer_while_it_is_open(server: 4 << 20, 2) {
        let peer = SocketAddr::from(([127, 0, 0, 1], 7));
        let account = server.callers.open(peer).unwrap();
        assert!(server.callers.account_of(peer).is_some());
        drop(account);
        assert!(server.callers.account_of(peer).is_none());
    }

    head_that_takes_too_long_fails(server: 4 << 20, 2) {
        let (mut client, mut stream) = connect(&server).await;
        client.write_all(b"GET / HTTP/1.1\r\n").await.unwrap();
        let mut buf = [0; 100];
        while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {}
        assert_eq!(stream.read(&mut buf).await.unwrap_err().kind(), ErrorKind::TimedOut);
    }

    head_that_is_too_long_fails(server: 4 << 20, 2) {
        let (mut client, mut stream) = connect(&server).await;
        client.write_all(&[b'h'; 1_001]).await.unwrap();
        let mut buf = [0; 2_000];
        stream.read_exact(&mut buf[..1_001]).await.unwrap();
        assert_eq!(stream.read(&mut buf).await.unwrap_err().kind(), ErrorKind::InvalidData);
    }

    bytes_of_a_request_in_service_are_no_head(server: 4 << 20, 2) {
        let (mut client, mut stream) = connect(&server).await;
        let account = server.callers.account_of(client.local_addr().unwrap()).unwrap();
        let call = account.begin_call();
        client.write_all(&[b'b'; 5_000]).await.unwrap();
        let mut buf = [0; 5_000];
        stream.read_exact(&mut buf).await.unwrap();
        client.write_all(b"b").await.unwrap();
        assert_eq!(stream.read(&mut buf).await.unwrap(), 1);
        drop(call);
    }

    grown_buffers_are_charged_until_the_connection_closes(server: 4 << 20, 2) {
        let limits = HeadLimits { bytes: 64 << 10, ..HEAD_LIMITS };
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (stream, peer) = listener.accept().await.unwrap();
        let account = server.callers.open(peer).unwrap();
        let mut stream = CallerStream::new(stream, account, limits);
        let mut buf = vec![0; 15 << 10];
        let sent = client.write_all(&buf.clone()).await;
        sent.unwrap();
        stream.read_exact(&mut buf).await.unwrap();
        drop(server.callers.account_of(peer).unwrap().begin_call());
        assert!(server.held() > CONNECTION_BYTES + 7_000, "{}", server.held());
        drop(stream);
        assert_eq!(server.held(), 0);
    }

    unfinished_answer_ends_with_a_reset(server: 4 << 20, 2) {
        let (mut client, mut stream) = connect(&server).await;
        stream.unfinished().set(true);
        stream.write_all(b"part").await.unwrap();
        stream.shutdown().await.unwrap();
        drop(stream);
        let end = client.read_to_end(&mut Vec::new()).await;
        assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset);
    }

    answer_whose_last_bytes_are_not_written_ends_with_a_reset(server: 4 << 20, 2) {
        let (mut client, mut stream) = connect(&server).await;
        stream.unfinished().set(true);
        stream.write_all(b"part").await.unwrap();
        stream.unfinished().set(false);
        drop(stream);
        let end = client.read_to_end(&mut Vec::new()).await;
        assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset);
    }

    finished_answer_is_read_whole_after_its_connection_is_given_up(server: 4 << 20, 2) {
        let (mut client, mut stream) = connect_from(&server, small_window()).await;
        stream.unfinished().set(true);
        stream.write_all(&vec![b'a'; SEND_BUFFER_BYTES as usize]).await.unwrap();
        stream.unfinished().set(false);
        stream.shutdown().await.unwrap();
        drop(stream);
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.unwrap();
        assert_eq!(answer.len(), SEND_BUFFER_BYTES as usize);
    }

    finished_answer_is_read_whole_after_its_connection_gives_way(server: 4 << 20, 1) {
        let (mut client, mut stream) = connect_from(&server, small_window()).await;
        stream.unfinished().set(true);
        stream.write_all(&vec![b'a'; SEND_BUFFER_BYTES as usize]).await.unwrap();
        stream.unfinished().set(false);
        assert!(server.open(2).is_some());
        stream.shutdown().await.unwrap();
        drop(stream);
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.unwrap();
        assert_eq!(answer.len(), SEND_BUFFER_BYTES as usize);
    }

    memory_is_reserved_for_input_up_to_three_quarters(server: 4 << 20, 20) {
        let account = server.open(1).unwrap();
        let call = account.begin_call();
        assert!(account.reserve(4 << 20, Purpose::Input).is_none());
        assert!(account.reserve(1 << 20, Purpose::Input).is_some());
        assert!(account.reserve(3 << 20, Purpose::Answer).is_some());
        drop(call);
    }
}
