//! Bodies collected in memory that is reserved as they come.

use crate::callers::{Account, Charge};
use bytes::Bytes;
use fireflycroft::{Purpose, SMALL_BYTES};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::fmt;
use std::pin::pin;

/// Smallest buffer of a body of unknown size, in bytes.
const MIN_BUFFER_BYTES: usize = 1 << 10;

/// Reason for a body that wasn't collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CollectError<E> {
    /// It is over the limit.
    TooLarge,
    /// Others hold the memory with more right.
    NoRoom,
    /// It broke off.
    Broken(E),
}

impl<E: fmt::Display> fmt::Display for CollectError<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("body over the limit"),
            Self::NoRoom => f.write_str("no memory for the body"),
            Self::Broken(e) => write!(f, "body broke off: {e}"),
        }
    }
}

/// Collects a caller's body of at most `limit` bytes; gives way to others while it arrives.
///
/// # Errors
///
/// See [`CollectError`]; the rest of the body is left unread.
pub async fn collect_request<B>(
    body: B,
    limit: usize,
    account: &Account,
) -> Result<Collected, CollectError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Collected::default());
    }
    let _receiving = Receiving::begin(account);
    tokio::select! {
        biased;
        () = account.until_refused() => Err(CollectError::NoRoom),
        collected = collect(body, limit, account, Purpose::Input) => collected,
    }
}

/// Guard of a body that is arriving.
struct Receiving<'a> {
    account: &'a Account,
}

impl<'a> Receiving<'a> {
    fn begin(account: &'a Account) -> Self {
        account.begin_body();
        Self { account }
    }
}

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.account.end_body();
    }
}

/// Collects an upstream's answer of at most `limit` bytes for a caller.
///
/// # Errors
///
/// See [`CollectError`]; the rest of the answer is left unread.
pub async fn collect_answer<B>(
    body: B,
    limit: usize,
    account: &Account,
) -> Result<Collected, CollectError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    collect(body, limit, account, Purpose::Answer).await
}

async fn collect<B>(
    body: B,
    limit: usize,
    account: &Account,
    purpose: Purpose,
) -> Result<Collected, CollectError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint();
    if announced.lower() > limit as u64 {
        return Err(CollectError::TooLarge);
    }
    let expected = announced.upper().and_then(|b| usize::try_from(b).ok());
    let most = expected.unwrap_or(limit).min(limit);
    let mut buf = Collected::default();
    let mut body = pin!(body);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(CollectError::Broken)?.into_data() else {
            continue;
        };
        if buf.bytes.len() + data.len() > limit {
            return Err(CollectError::TooLarge);
        }
        if !buf.append(&data, most, account, purpose) {
            return Err(CollectError::NoRoom);
        }
    }
    buf.shrink();
    Ok(buf)
}

/// Contiguous bytes, whose memory is reserved.
#[derive(Debug, Default)]
pub struct Collected {
    bytes: Vec<u8>,
    charge: Option<Charge>,
}

impl AsRef<[u8]> for Collected {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Collected {
    /// Returns the bytes, which keep the reservation until the last of them is dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }

    /// Returns the bytes and their reservation, if there are any.
    #[must_use]
    pub fn into_parts(self) -> (Vec<u8>, Option<Charge>) {
        (self.bytes, self.charge)
    }

    /// Appends to a body of which at most `most` bytes are expected.
    fn append(&mut self, data: &[u8], most: usize, account: &Account, purpose: Purpose) -> bool {
        let len = self.bytes.len() + data.len();
        if len > self.bytes.capacity() && !self.grow(len, most, account, purpose) {
            return false;
        }
        self.bytes.extend_from_slice(data);
        true
    }

    /// Grows to at least `len` bytes; old and new memory are both held for a moment.
    fn grow(&mut self, len: usize, most: usize, account: &Account, purpose: Purpose) -> bool {
        let first = if most as u64 <= SMALL_BYTES {
            most
        } else {
            MIN_BUFFER_BYTES
        };
        let doubled = (2 * self.bytes.capacity()).max(first).min(most);
        let capacity = doubled.max(len);
        let Some(charge) = account.reserve(capacity as u64, purpose) else {
            return false;
        };
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.charge = Some(charge);
        true
    }

    /// Returns the memory that isn't used.
    fn shrink(&mut self) {
        self.bytes.shrink_to_fit();
        if let Some(charge) = &mut self.charge {
            charge.shrink_to(self.bytes.capacity() as u64);
        }
    }
}
