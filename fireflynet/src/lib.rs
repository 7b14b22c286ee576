//! Connections of the fleet's processes.
//!
//! A server that closes a connection may take an answer away from a peer that was about to read it. The kernel resets
//! a connection that is closed with unread input, and a peer that still sends then fails before it reads. And where a
//! process ends, what the kernel holds for a slow reader may end with its network. So [`LingeringStream`] closes in
//! two steps (RFC 9112, section 9.6): it ends its own side, then drops what comes until the peer has closed the other
//! side, or for a limited time.
//!
//! ```
//! use fireflynet::LingeringStream;
//! use tokio::io::AsyncWriteExt;
//! use tokio::net::TcpListener;
//!
//! # async fn answer_one(listener: TcpListener) -> std::io::Result<()> {
//! let (stream, _) = listener.accept().await?;
//! let mut stream = LingeringStream::new(stream);
//! stream.write_all(b"answer").await?;
//! // Returns once the peer has closed.
//! stream.shutdown().await
//! # }
//! ```

//!
//! And a server whose clients keep to no limit runs out of memory or descriptors. [`Callers`] keeps an account of each
//! connection, [`CallerStream`] closes those that have to give way, and [`collect_request`] and
//! [`collect_answer`] reserve the memory of bodies as they come.

mod bounded_head;
mod caller_stream;
mod callers;
mod collect;
mod lingering;
mod listen;
mod short_reads;
mod unfinished;

pub use bounded_head::{BoundedHead, HeadArrival};
pub use caller_stream::{CallerStream, HeadLimits};
pub use callers::{Account, CallGuard, Callers, Charge, Shortage, Usage};
pub use collect::{CollectError, Collected, collect_answer, collect_request};
pub use lingering::LingeringStream;
pub use listen::listen;
pub use short_reads::ShortReads;
pub use unfinished::Unfinished;
