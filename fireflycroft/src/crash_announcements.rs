//! Retransmission of crash counts to the fleet: a single message may be lost, and
//! every entry must know the count before a caller retries the request there.

use crate::ids::Digest;
use crate::message::Message;
use crate::time::Time;
use std::time::Duration;

/// Number of retransmissions of a count after the first broadcast.
const RETRANSMISSIONS: u8 = 4;

/// Interval between two transmissions.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of pending counts; above it, a count is sent only once.
const MAX_ANNOUNCEMENTS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Announcement {
    content: Digest,
    count: u8,
    next: Time,
    remaining: u8,
}

/// Counts pending retransmission.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashAnnouncements {
    announcements: Vec<Announcement>,
}

impl CrashAnnouncements {
    /// Schedules a count that was just broadcast for the first time.
    pub(crate) fn add(&mut self, now: Time, content: Digest, count: u8) {
        self.announcements.retain(|i| i.content != content);
        if self.announcements.len() < MAX_ANNOUNCEMENTS {
            self.announcements.push(Announcement {
                content,
                count,
                next: now + RETRANSMIT_INTERVAL,
                remaining: RETRANSMISSIONS,
            });
        }
    }

    /// Returns the messages due now.
    pub(crate) fn due(&mut self, now: Time) -> Vec<Message> {
        let mut out = Vec::new();
        for announcement in self.announcements.iter_mut().filter(|i| i.next <= now) {
            announcement.next = now + RETRANSMIT_INTERVAL;
            announcement.remaining -= 1;
            out.push(Message::Crashes {
                content: announcement.content,
                count: announcement.count,
            });
        }
        self.announcements.retain(|i| i.remaining > 0);
        out
    }
}
