//! Origins of streams that callers may take up at another entry.
//!
//! A caller whose stream broke names the attempt that brought its first event. Any entry may get it, and has to
//! continue the stream at the software version that began it. The entry that began a stream reports the
//! origin to its owners ([`crate::owners_of`]), at once, again shortly after since a report may be lost, and
//! now and then while the stream lasts since an owner may be new. Whoever gets the caller queries them.
//!
//! What is known of a stream never changes: reports that contradict each other leave its origin unknown. When
//! its entry and all owners are lost, the origin is lost as well, and the stream can't be continued unless
//! its service had one version throughout ([`Pool::sole_version`](crate::Pool::sole_version)).

use crate::ids::{Digest, Name};
use crate::sole_version::MAX_STREAM_AGE;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Owners of a stream's origin, besides the entry that began it.
///
/// With three, half of the fleet may be lost at once and seven of eight origins are still known.
pub const STREAM_OWNERS: usize = 3;

/// Entries asked for a stream's origin: its owners by the view of whoever asks, and one more.
///
/// The entry that began the stream leaves itself out of the owners; whoever asks can't know which entry that was.
pub const STREAM_OWNERS_ASKED: usize = STREAM_OWNERS + 1;

/// Time after the start of a stream in which its origin is reported repeatedly.
const REPORT_FOR: Duration = Duration::from_millis(600);

/// Interval between two reports of a stream that lasts.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Origins per report.
const MAX_REPORTED: usize = 64;

/// Maximum number of known origins.
const MAX_KNOWN: usize = 16_384;

/// Interval between removals of expired origins.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The same while the limit is reached.
const FULL_SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Service and software version of the upstream that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The service.
    pub service: Name,
    /// Software version of the upstream.
    pub software_version: Name,
}

/// Origin of a stream, as reported between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamStart {
    /// Digest of the attempt that brought the first event ([`stream_digest`]).
    pub stream: Digest,
    /// Where it began.
    pub origin: StreamOrigin,
    /// Remaining time for which a caller may take the stream up.
    pub keep_for: Duration,
}

/// Returns the digest of a stream, from the id of the attempt that brought its first event.
#[must_use]
pub fn stream_digest(first_attempt: &str) -> Digest {
    Digest::of(&[b"stream", first_attempt.as_bytes()])
}

#[derive(Clone, Debug)]
struct Known {
    /// `None` once reports contradicted each other.
    origin: Option<StreamOrigin>,
    until: Time,
    own: Option<OwnStream>,
}

/// Stream that this entry relays or has relayed.
#[derive(Clone, Copy, Debug)]
struct OwnStream {
    began: Time,
    reported: Time,
    lasts: bool,
}

impl OwnStream {
    fn is_due(&self, now: Time) -> bool {
        let is_new = now.since(self.began) < REPORT_FOR;
        is_new || (self.lasts && now.since(self.reported) >= REPEAT_INTERVAL)
    }
}

/// Known origins of streams.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    known: HashMap<Digest, Known>,
    swept: Time,
}

impl StreamOrigins {
    /// Records a stream that this entry relays from now on.
    pub fn begin(&mut self, now: Time, start: StreamStart) {
        let stream = start.stream;
        self.apply(now, start);
        let own = OwnStream {
            began: now,
            reported: now,
            lasts: true,
        };
        if let Some(known) = self.known.get_mut(&stream) {
            known.own = Some(own);
        }
    }

    /// Records that this entry no longer relays a stream.
    pub fn end(&mut self, stream: Digest) {
        let known = self.known.get_mut(&stream);
        if let Some(own) = known.and_then(|k| k.own.as_mut()) {
            own.lasts = false;
        }
    }

    /// Applies an origin reported by another entry.
    pub fn apply(&mut self, now: Time, start: StreamStart) {
        self.sweep(now);
        if self.is_full() && !self.known.contains_key(&start.stream) {
            return;
        }
        let until = now + start.keep_for.min(MAX_STREAM_AGE);
        let known = self.known.entry(start.stream);
        let known = known.or_insert_with(|| Known {
            origin: Some(start.origin.clone()),
            until,
            own: None,
        });
        if known.until <= now {
            known.origin = Some(start.origin);
        } else if known.origin.as_ref() != Some(&start.origin) {
            known.origin = None;
        }
        known.until = known.until.max(until);
    }

    fn is_full(&self) -> bool {
        self.known.len() >= MAX_KNOWN
    }

    fn sweep(&mut self, now: Time) {
        let interval = if self.is_full() {
            FULL_SWEEP_INTERVAL
        } else {
            SWEEP_INTERVAL
        };
        if now.since(self.swept) >= interval {
            self.swept = now;
            self.known.retain(|_, k| k.until > now);
        }
    }

    /// Returns the origin of a stream, if it is known.
    #[must_use]
    pub fn origin(&self, now: Time, stream: Digest) -> Option<&StreamOrigin> {
        let known = self.known.get(&stream).filter(|k| k.until > now)?;
        known.origin.as_ref()
    }

    /// Returns what is known of a stream, to tell another entry.
    #[must_use]
    pub fn start(&self, now: Time, stream: Digest) -> Option<StreamStart> {
        Some(StreamStart {
            stream,
            origin: self.origin(now, stream)?.clone(),
            keep_for: self.known[&stream].until.since(now),
        })
    }

    /// Returns the origins of this entry's streams that are due to be reported again.
    pub fn due(&mut self, now: Time) -> Vec<StreamStart> {
        let is_due = |k: &Known| k.until > now && k.own.is_some_and(|own| own.is_due(now));
        let due = self.known.iter().filter(|(_, k)| is_due(k));
        let due: Vec<Digest> = due.map(|(s, _)| *s).take(MAX_REPORTED).collect();
        for stream in &due {
            let known = self.known.get_mut(stream);
            if let Some(own) = known.and_then(|k| k.own.as_mut()) {
                own.reported = now;
            }
        }
        due.into_iter().filter_map(|s| self.start(now, s)).collect()
    }
}
