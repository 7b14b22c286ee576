//! Tests of how connections through the site's proxies end.

use standins::site::{Proxy, ProxyFault};
use std::io::ErrorKind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Connections of each case, since a close that is taken for a reset, or the reverse, may be a race.
const CONNECTIONS: usize = 50;

/// End of a connection, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

/// Defines test cases: what the upstream and the proxy do after the first bytes, and the end that the caller sees.
macro_rules! cases {
    ($($name:ident($upstream:ident, $proxy:ident) => $end:ident;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                for _ in 0..CONNECTIONS {
                    let (mut upstream, proxy, mut caller) = connect().await;
                    upstream.write_all(b"part").await.unwrap();
                    caller.read_exact(&mut [0; 4]).await.unwrap();
                    $proxy(&proxy);
                    $upstream(upstream);
                    assert_eq!(end_of(caller).await, End::$end);
                }
            }
        )+
    };
}

cases! {
    close_of_the_upstream_stays_a_close(close, nothing) => Closed;
    reset_by_the_upstream_does_not_look_like_a_close(reset, nothing) => Reset;
    reset_by_the_proxy_does_not_look_like_a_close(keep, reset_all) => Reset;
    upstream_killed_after_a_reset_by_the_proxy_does_not_look_like_a_close(close, reset_all) => Reset;
}

async fn connect() -> (TcpStream, Proxy, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
    let caller = TcpStream::connect(proxy.addr()).await.unwrap();
    let (upstream, _) = listener.accept().await.unwrap();
    (upstream, proxy, caller)
}

async fn end_of(mut caller: TcpStream) -> End {
    match caller.read(&mut [0]).await {
        Ok(0) => End::Closed,
        Err(e) if e.kind() == ErrorKind::ConnectionReset => End::Reset,
        other => panic!("{other:?}"),
    }
}

fn close(upstream: TcpStream) {
    drop(upstream);
}

fn reset(upstream: TcpStream) {
    upstream.set_zero_linger().unwrap();
    drop(upstream);
}

fn keep(upstream: TcpStream) {
    std::mem::forget(upstream);
}

fn nothing(_: &Proxy) {}

fn reset_all(proxy: &Proxy) {
    proxy.set_fault(ProxyFault::Reset);
}
