//! Framings of bodies that are written in pieces.

use std::io;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::http::{Headers, head};

/// How the end of a body that is written in pieces is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By an empty chunk.
    Chunked,
    /// By an empty chunk, beside another coding.
    CodedChunks,
    /// By an empty chunk, beside a length, which counts for nothing.
    ChunkedBesideLength,
    /// By its length.
    Length,
    /// By its length, in an answer of HTTP/1.0.
    OldLength,
    /// By its connection.
    UntilClose,
    /// By its connection, beside a coding that isn't chunked.
    CodedUntilClose,
    /// By its connection, in an answer of HTTP/1.0.
    OldUntilClose,
}

impl Framing {
    /// Returns whether the body comes in chunks.
    #[must_use]
    pub const fn is_chunked(self) -> bool {
        matches!(
            self,
            Self::Chunked | Self::CodedChunks | Self::ChunkedBesideLength
        )
    }

    /// Returns whether the head states the length of the body.
    #[must_use]
    pub const fn is_length(self) -> bool {
        matches!(self, Self::Length | Self::OldLength)
    }

    /// Returns the header lines that tell the framing of a body of some length.
    fn lines(self, len: usize) -> String {
        match self {
            Self::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Self::CodedChunks => "Transfer-Encoding: gzip, chunked\r\n".to_owned(),
            Self::ChunkedBesideLength => {
                format!("Content-Length: {len}\r\nTransfer-Encoding: chunked\r\n")
            }
            Self::Length | Self::OldLength => format!("Content-Length: {len}\r\n"),
            Self::UntilClose => "Connection: close\r\n".to_owned(),
            Self::CodedUntilClose => "Transfer-Encoding: identity\r\n".to_owned(),
            Self::OldUntilClose => String::new(),
        }
    }
}

/// Writes the head of a successful answer whose body, of some length, comes in pieces.
pub(super) async fn write_stream_head(
    stream: &mut TcpStream,
    headers: &Headers,
    framing: Framing,
    len: usize,
) -> io::Result<()> {
    write_head(stream, 200, headers, framing, len).await
}

/// Writes the head of an answer whose body, of some length, comes in pieces.
pub(super) async fn write_head(
    stream: &mut TcpStream,
    status: u16,
    headers: &Headers,
    framing: Framing,
    len: usize,
) -> io::Result<()> {
    let mut bytes = head(status, headers);
    if matches!(framing, Framing::OldLength | Framing::OldUntilClose) {
        bytes[..8].copy_from_slice(b"HTTP/1.0");
    }
    bytes.extend_from_slice(framing.lines(len).as_bytes());
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes).await
}

/// Writes one piece of a body.
pub(super) async fn write_piece(
    stream: &mut TcpStream,
    piece: &[u8],
    framing: Framing,
) -> io::Result<()> {
    if !framing.is_chunked() {
        return stream.write_all(piece).await;
    }
    let mut bytes = format!("{:x}\r\n", piece.len()).into_bytes();
    bytes.extend_from_slice(piece);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes).await
}
