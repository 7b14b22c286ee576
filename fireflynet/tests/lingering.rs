//! Streams whose shutdown waits for their peers.

use fireflynet::LingeringStream;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Time after which the stream gives up a peer that is silent.
const QUIET_LIMIT: Duration = Duration::from_secs(5);

/// Time after which it gives up one that goes on sending.
const TOTAL_LIMIT: Duration = Duration::from_secs(30);

/// Rounding of timers.
const SLACK: Duration = Duration::from_millis(10);

/// Defines test cases, each with both ends of a connection.
macro_rules! cases {
    ($($name:ident($stream:ident, $peer:ident) $body:block)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                #[allow(unused_mut)]
                let (mut $stream, mut $peer) = connect().await;
                $body
            }
        )+
    };
}

async fn connect() -> (LingeringStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap());
    let (accepted, peer) = tokio::join!(listener.accept(), peer);
    (LingeringStream::new(accepted.unwrap().0), peer.unwrap())
}

cases! {
    peer_reads_the_end_before_it_closes(stream, peer) {
        stream.write_all(b"answer").await.unwrap();
        let reader = async {
            let mut answer = String::new();
            peer.read_to_string(&mut answer).await.unwrap();
            answer
        };
        let (ended, answer) = tokio::join!(timeout(SLACK, stream.shutdown()), reader);
        assert!(ended.is_err(), "it didn't wait");
        assert_eq!(answer, "answer");
        drop(peer);
        stream.shutdown().await.unwrap();
    }

    input_that_comes_meanwhile_is_dropped(stream, peer) {
        stream.write_all(b"answer").await.unwrap();
        let sender = async {
            peer.write_all(&vec![0; 4 << 20]).await.unwrap();
            let mut answer = String::new();
            peer.read_to_string(&mut answer).await.unwrap();
            drop(peer);
            answer
        };
        let (ended, answer) = tokio::join!(stream.shutdown(), sender);
        ended.unwrap();
        assert_eq!(answer, "answer");
    }

    silent_peer_is_given_up(stream, peer) {
        tokio::time::pause();
        stream.write_all(b"answer").await.unwrap();
        let before = Instant::now();
        stream.shutdown().await.unwrap();
        let took = before.elapsed();
        assert!(QUIET_LIMIT <= took + SLACK && took <= QUIET_LIMIT + SLACK, "{took:?}");
        drop(peer);
    }

    peer_that_has_long_had_its_answer_is_not_waited_for(stream, peer) {
        tokio::time::pause();
        stream.write_all(b"answer").await.unwrap();
        sleep(QUIET_LIMIT).await;
        let before = Instant::now();
        stream.shutdown().await.unwrap();
        assert!(before.elapsed() <= SLACK);
        drop(peer);
    }

    peer_that_goes_on_sending_is_given_up(stream, peer) {
        tokio::time::pause();
        let before = Instant::now();
        let sender = async {
            while peer.write_all(b"x").await.is_ok() {
                sleep(QUIET_LIMIT / 2).await;
            }
        };
        let closed = async {
            stream.shutdown().await.unwrap();
            drop(stream);
            before.elapsed()
        };
        let ((), took) = tokio::join!(sender, closed);
        assert!(TOTAL_LIMIT <= took + SLACK && took <= TOTAL_LIMIT + SLACK, "{took:?}");
    }

    peer_that_has_closed_is_not_waited_for(stream, peer) {
        drop(peer);
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).await.unwrap();
        tokio::time::pause();
        let before = Instant::now();
        stream.shutdown().await.unwrap();
        assert!(before.elapsed() <= SLACK);
    }
}
