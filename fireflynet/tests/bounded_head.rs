//! Readers whose bytes have a bound until the head of an answer has come.

use fireflynet::{BoundedHead, HeadArrival};
use std::io::ErrorKind;
use tokio::io::{AsyncReadExt, repeat};

/// Bytes below and above the bound.
const FEW: u64 = 1 << 20;
const MANY: u64 = 3 << 20;

macro_rules! cases {
    ($($name:ident($reader:ident, $arrival:ident) $body:block)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let $arrival = HeadArrival::default();
                let mut $reader = BoundedHead::new(repeat(b'h'), $arrival.clone());
                $body
            }
        )+
    };
}

/// Reads so many bytes; returns the kind of the error if that fails.
async fn read(reader: &mut BoundedHead<tokio::io::Repeat>, bytes: u64) -> Option<ErrorKind> {
    let mut part = reader.take(bytes);
    let mut sink = tokio::io::sink();
    let read = tokio::io::copy(&mut part, &mut sink).await;
    read.err().map(|e| e.kind())
}

cases! {
    bytes_without_end_before_a_head_are_an_error(reader, arrival) {
        assert_eq!(read(&mut reader, MANY).await, Some(ErrorKind::InvalidData));
        arrival.record();
    }

    long_head_and_body_are_read(reader, arrival) {
        assert_eq!(read(&mut reader, FEW).await, None);
        arrival.record();
        assert_eq!(read(&mut reader, MANY).await, None);
    }
}
