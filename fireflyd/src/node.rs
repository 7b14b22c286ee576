//! State shared by both roles: identity, clock, mailbox, members and journal.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fireflycroft::{
    Incarnation, LogEvent, MemberSetup, MemberState, Message, Name, Peer, Role, Time,
};
use fireflycroft_wire::{Header, decode_all};

use crate::fleet::Fleet;
use crate::grace_period::GracePeriod;
use crate::journal::Journal;
use crate::mailbox::Mailbox;
use crate::metrics::Metrics;
use crate::outbox::Outbox;

/// Interval of the core's ticks.
pub const TICK: Duration = Duration::from_millis(50);
/// Interval of the tasks that aren't urgent and whose cost grows with the
/// members: ranks, counts and the status page.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Configured identity of a process.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Stable name.
    pub name: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Entry or agent.
    pub role: Role,
    /// Models or plain services of its upstream; empty for an entry.
    pub serves: Vec<Name>,
    /// Mailbox addresses of seed members.
    pub seeds: Vec<SocketAddr>,
}

/// One process of the fleet, without the core of its role.
pub struct Node {
    /// Its own peer record.
    pub me: Peer,
    /// Its mailbox.
    pub mailbox: Mailbox,
    /// Its metrics.
    pub metrics: Metrics,
    /// Its view of the members.
    pub fleet: Fleet,
    /// Outgoing messages of this turn.
    pub outbox: Outbox,
    /// Recent events of requests.
    pub journal: Journal,
    /// Time between refusing new work and leaving.
    pub grace: GracePeriod,
    started: Instant,
    next_maintenance: Time,
}

impl Node {
    /// Creates a node with that identity and mailbox.
    #[must_use]
    pub fn new(
        identity: Identity,
        mailbox: Mailbox,
        metrics: Metrics,
        journal: Journal,
        grace: GracePeriod,
    ) -> Self {
        let me = Peer {
            name: identity.name,
            addr: mailbox.local_addr(),
            incarnation: new_incarnation(),
            role: identity.role,
        };
        let setup = MemberSetup {
            me: me.clone(),
            data_centre: identity.data_centre,
            serves: identity.serves,
            seeds: identity.seeds,
            seed: rand::random(),
        };
        Self {
            fleet: Fleet::new(setup),
            me,
            mailbox,
            metrics,
            outbox: Outbox::default(),
            journal,
            grace,
            started: Instant::now(),
            next_maintenance: Time::default(),
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::default() + self.started.elapsed()
    }

    /// Returns whether maintenance is due at `now`; if so, schedules the next.
    pub fn start_maintenance(&mut self, now: Time) -> bool {
        let due = now >= self.next_maintenance;
        if due {
            self.next_maintenance = now + MAINTENANCE_INTERVAL;
        }
        due
    }

    /// Decodes a mailbox message; logs one that is unreadable.
    #[must_use]
    pub fn read(&self, buf: &[u8]) -> Option<(Header, Vec<Message>)> {
        match decode_all(buf) {
            Ok(decoded) => Some(decoded),
            Err(e) => {
                log::warn!(event = "message_unreadable", code = e.code().number(), cause:% = e; "");
                None
            }
        }
    }

    /// Updates the metrics of members by state.
    pub fn update_member_counts(&self) {
        let states = [
            ("alive", MemberState::Alive),
            ("suspect", MemberState::Suspect),
            ("leaving", MemberState::Leaving),
            ("dead", MemberState::Dead),
        ];
        for (label, state) in states {
            let count = i64::try_from(self.fleet.count(state)).unwrap_or(i64::MAX);
            self.metrics.members.with_label_values(&[label]).set(count);
        }
    }

    /// Logs an event, adds it to the journal and updates the metrics.
    pub fn record_event(&self, log_event: &LogEvent) {
        update_metrics(&self.metrics, log_event);
        self.journal.add(log_event);
        let code = log_event.code.map_or(0, fireflycroft::Code::number);
        let peer = log_event.peer.as_deref().unwrap_or("-");
        if let Some(suspect) = log_event.suspect {
            let id = suspect.to_string();
            let (part, content) = if suspect.is_content() {
                ("", &*id)
            } else {
                (&*id, "")
            };
            log::info!(event = log_event.event, part = part, content = content, count = log_event.count; "");
            return;
        }
        match log_event.request {
            Some(req) => {
                log::info!(event = log_event.event, req:% = req, peer = peer, code = code, count = log_event.count; "");
            }
            None => {
                log::info!(event = log_event.event, peer = peer, code = code, count = log_event.count; "");
            }
        }
    }
}

fn update_metrics(metrics: &Metrics, log_event: &LogEvent) {
    match log_event.event {
        "offer_sent" => metrics.offers_sent.inc(),
        "restarted" => metrics.restarts.inc(),
        "offer_refused" => {
            let code = log_event
                .code
                .map_or(0, fireflycroft::Code::number)
                .to_string();
            metrics.offers_refused.with_label_values(&[&code]).inc();
        }
        "config_in_force" => {
            metrics
                .config_version
                .set(i64::try_from(log_event.count).unwrap_or(i64::MAX));
        }
        _ => {}
    }
}

/// Returns a new incarnation number: milliseconds of the wall clock above
/// random bits, so that a restarted process gets a higher one.
fn new_incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let millis = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    Incarnation((millis << 20) | (rand::random::<u64>() >> 44))
}
