//! The other entries of the fleet, as far as they are known, and whom to tell.
//!
//! Each entry sends a datagram to the others several times a second, and at
//! once when it has something urgent ([`crate::tell`]). A datagram says what the
//! sender has placed, which versions it knows and whom it knows; whoever is
//! behind fetches the rest over TCP from the one that told it ([`crate::hear`]).
//! The library that the house style names for this, `nng`, keeps some 36 threads
//! in a process and memory to match; a datagram of a few hundred bytes that may
//! be lost needs neither.

use fireflycroft::{
    CrashCount, Digest, EntryNews, Incarnation, Name, PeerOverview, Time, WatchView, whole_millis,
};
use fireflycroft_platform::Place;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time between two tellings. Placements change with each request; a quarter of a second is short
/// against the seconds that a generation lasts.
const TELL_EVERY: Duration = Duration::from_millis(250);

/// Entries that all tell each other everything; in a larger fleet each tells a few, drawn anew
/// each time.
const SMALL_FLEET: usize = 40;

/// Entries told at a time in a larger fleet.
const FEW: usize = 8;

/// Time between two tellings in a larger fleet, of those that watch the store and of the others.
///
/// Those that watch tell all: two datagrams a second from each of three are what every entry
/// reads of them, whatever the size.
const TELL_EVERY_WATCHING: Duration = Duration::from_millis(500);
const TELL_EVERY_LARGE: Duration = Duration::from_secs(1);

/// Silence after which an entry no longer counts.
const HEARD_WITHIN: Duration = Duration::from_secs(2);

/// Silence after which a watcher no longer counts: three tellings.
const WATCHER_HEARD_WITHIN: Duration = Duration::from_millis(800);
const WATCHER_HEARD_WITHIN_LARGE: Duration = Duration::from_millis(1_600);

/// Silence after which an entry is told nothing more.
const FORGET_AFTER: Duration = Duration::from_secs(30);
const FORGET_AFTER_LARGE: Duration = Duration::from_mins(3);

/// Entries named in a datagram.
const MAX_NAMED: usize = 8;

/// Crash counts that are told again and again.
const MAX_CRASHES: usize = 16;

/// Time for which a watcher's list may differ: its changes come by several datagrams, and this
/// entry may have them from the store a moment later.
const LIST_PATIENCE: Duration = Duration::from_millis(300);

/// What is known of another entry.
#[derive(Clone, Debug)]
struct Known {
    name: Name,
    heard: Option<Time>,
    since: Time,
    leaving: bool,
    watches: bool,
}

/// Other entries, and what is to be told to them.
pub struct Peers {
    me: Ipv4Addr,
    pub(crate) incarnation: Incarnation,
    known: HashMap<Ipv4Addr, Known>,
    seeds: Vec<Ipv4Addr>,
    pub(crate) crashes: VecDeque<CrashCount>,
    fetching: Rc<Cell<bool>>,
    pub(crate) behind_since: Option<Time>,
    pub(crate) wants_all: bool,
}

impl Peers {
    /// Knows the seeds of the settings only.
    #[must_use]
    pub fn new(place: &Place) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = unix.map_or(0, whole_millis);
        let seeds = place.seeds.iter().filter_map(|s| v4(s.ip()));
        Self {
            me: place.ip,
            incarnation: Incarnation::begun(millis, rand::rng().next_u64()),
            known: HashMap::new(),
            seeds: seeds.filter(|ip| *ip != place.ip).collect(),
            crashes: VecDeque::new(),
            fetching: Rc::default(),
            behind_since: None,
            wants_all: false,
        }
    }

    /// Other entries that were heard of late and are not stopping.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        // In a large fleet each is heard now and then only, so all that are known count.
        let heard = |k: &Known| k.heard.is_some_and(|t| now.since(t) < HEARD_WITHIN);
        let counts = |k: &&Known| !k.leaving && (self.is_large() || heard(k));
        self.known.values().filter(counts).count()
    }

    /// What the other entries that are heard do about the store.
    pub(crate) fn watch_views(&self, now: Time) -> Vec<WatchView> {
        let within = if self.is_large() {
            WATCHER_HEARD_WITHIN_LARGE
        } else {
            WATCHER_HEARD_WITHIN
        };
        let heard = |k: &&Known| k.heard.is_some_and(|t| now.since(t) < within);
        let view = |k: &Known| WatchView {
            name: k.name.clone(),
            watches: k.watches,
        };
        self.known.values().filter(heard).map(view).collect()
    }

    /// What operators are shown of the other entries.
    #[must_use]
    pub fn overview(&self, now: Time) -> Vec<PeerOverview> {
        let show = |(ip, k): (&Ipv4Addr, &Known)| PeerOverview {
            name: k.name.clone(),
            ip: *ip,
            heard_ms: k.heard.map(|t| whole_millis(now.since(t))),
            watches: k.watches,
            leaving: k.leaving,
        };
        let mut all: Vec<PeerOverview> = self.known.iter().map(show).collect();
        all.sort_by_key(|p| p.ip);
        all
    }

    /// Keeps a crash count to be told.
    pub fn tell_crash(&mut self, content: Digest, count: u8) {
        self.crashes.retain(|c| c.content != content);
        self.crashes.push_back(CrashCount { content, count });
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Takes the sender of news and those whom it names.
    pub(crate) fn learn(&mut self, now: Time, from: Ipv4Addr, news: &EntryNews) {
        let known = Known {
            name: news.name.clone(),
            heard: Some(now),
            since: now,
            leaving: news.leaving,
            watches: news.watches && !news.leaving,
        };
        self.known.insert(from, known);
        for ip in news.peers.iter().filter(|ip| **ip != self.me) {
            self.known.entry(*ip).or_insert(Known {
                name: Name::default(),
                heard: None,
                since: now,
                leaving: false,
                watches: false,
            });
        }
    }

    /// Leave to fetch what is lacking; none while a fetch is under way.
    ///
    /// With two at a time each entry took a large configuration twice, over links of 10 Mbit/s that
    /// carry streams as well: on a day of 28 entries 121 of 1,085 generations were late, 40 with one.
    pub(crate) fn begin_fetch(&self) -> Option<FetchGuard> {
        if self.fetching.replace(true) {
            return None;
        }
        Some(FetchGuard {
            fetching: self.fetching.clone(),
        })
    }

    /// Notes that a watcher's list differs from this entry's; true when it has for so long that the
    /// list has to be fetched.
    pub(crate) fn note_behind(&mut self, now: Time) -> bool {
        let since = *self.behind_since.get_or_insert(now);
        now.since(since) >= LIST_PATIENCE
    }

    /// Whether the fleet is too large for all to tell all.
    fn is_large(&self) -> bool {
        self.known.len() > SMALL_FLEET
    }

    /// Time to the next telling.
    pub(crate) fn pace(&self, relied_on: bool) -> Duration {
        match (self.is_large(), relied_on) {
            (false, _) => TELL_EVERY,
            (true, true) => TELL_EVERY_WATCHING,
            (true, false) => TELL_EVERY_LARGE,
        }
    }

    /// Whom to tell now; `all` in a large fleet as well.
    pub(crate) fn targets(&mut self, now: Time, all: bool) -> Vec<Ipv4Addr> {
        let forget_after = if self.is_large() {
            FORGET_AFTER_LARGE
        } else {
            FORGET_AFTER
        };
        self.known
            .retain(|_, k| now.since(k.heard.unwrap_or(k.since)) < forget_after);
        let unheard = |ip: &&Ipv4Addr| !self.known.contains_key(*ip);
        let seeds: Vec<Ipv4Addr> = self.seeds.iter().filter(unheard).copied().collect();
        let known: Vec<Ipv4Addr> = self.known.keys().copied().collect();
        let most = if all || !self.is_large() {
            known.len()
        } else {
            FEW
        };
        let mut targets: Vec<Ipv4Addr> = known.sample(&mut rand::rng(), most).copied().collect();
        targets.extend(seeds);
        targets
    }

    /// Some entries to name in a datagram.
    pub(crate) fn named(&self) -> Vec<Ipv4Addr> {
        let heard = self.known.iter().filter(|(_, k)| k.heard.is_some());
        let all: Vec<Ipv4Addr> = heard.map(|(ip, _)| *ip).collect();
        all.sample(&mut rand::rng(), MAX_NAMED).copied().collect()
    }
}

/// A fetch that is under way, until it is dropped.
pub(crate) struct FetchGuard {
    fetching: Rc<Cell<bool>>,
}

impl Drop for FetchGuard {
    fn drop(&mut self) {
        self.fetching.set(false);
    }
}

/// The address, if it is of the version that the fleet speaks.
pub(crate) const fn v4(ip: IpAddr) -> Option<Ipv4Addr> {
    match ip {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    }
}
