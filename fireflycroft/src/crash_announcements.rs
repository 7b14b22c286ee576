//! Crash counts to be told to the fleet again: any one message may be lost,
//! and the next entry must know before the caller sends the request again.

use crate::ids::Digest;
use crate::message::Message;
use crate::time::Time;
use std::time::Duration;

/// Times that a count is told after the first.
const RETRANSMISSIONS: u8 = 4;

/// Time between two tellings.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(400);

/// Counts told at once; beyond it a count is told only the first time.
const MAX_ANNOUNCEMENTS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Announcement {
    content: Digest,
    count: u8,
    next: Time,
    remaining: u8,
}

/// Counts that are still to be told.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashAnnouncements {
    announcements: Vec<Announcement>,
}

impl CrashAnnouncements {
    /// Takes a count that has just been told for the first time.
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

    /// Messages to be told now.
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
