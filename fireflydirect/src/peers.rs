//! The other entries of the fleet, as far as they are known, and whom to tell.
//!
//! Each entry sends a datagram to some others several times a second, and at
//! once when it has something urgent ([`crate::tell`]). A datagram says which
//! versions the sender knows and whom it knows; whoever is behind fetches the
//! rest over TCP from the one that told it ([`crate::hear`]). What entries place
//! on upstreams goes to the owners of those alone ([`crate::loads`]).
//! The library that the house style names for this, `nng`, keeps some 36 threads
//! in a process and memory to match; a datagram of a few hundred bytes that may
//! be lost needs neither.

use fireflycroft::{
    CrashCount, Digest, EntryAnnouncement, Incarnation, Name, OwnedKey, PeerOverview, Time,
    WATCHERS, WatcherView, owners_of, whole_millis,
};
use fireflycroft_platform::Place;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr};
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time between two tellings.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);

/// Other entries told at a time, drawn anew each time.
///
/// What is told this way (versions, repeats, refused callers, who is there) may be a second or two
/// old. In a fleet of up to so many all tell all; in a larger one each is heard less often, and
/// what is sent stays the same.
const ANNOUNCE_FANOUT: usize = 10;

/// Bounds on the time between two tellings of an entry that watches the store for the others, all of
/// whom it tells.
const WATCHER_ANNOUNCE_INTERVALS: RangeInclusive<Duration> =
    ANNOUNCE_INTERVAL..=Duration::from_millis(500);

/// Time for each other entry between two such tellings: some 130 datagrams a second.
const WATCHER_TIME_PER_PEER: Duration = Duration::from_micros(7_500);

/// Tellings of a watcher after whose loss it no longer counts, and a little more.
const WATCHER_SILENT_INTERVALS: f64 = 3.2;

/// Time for which an entry that was sent a question may stay silent before it is passed over.
///
/// Replies come within milliseconds; a small VM that runs dry of its processor share waits for up
/// to a tenth of a second.
const QUERY_SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Silence after which an entry is told nothing more.
const PEER_RETENTION: Duration = Duration::from_mins(1);

/// Entries named in a datagram.
const MAX_LISTED_PEERS: usize = 8;

/// Part of the entries known, as a divisor, by which another one has to know of more to be asked.
const MISSING_PEERS_DIVISOR: usize = 10;

/// Crash counts that are told again and again.
const MAX_CRASH_COUNTS: usize = 16;

/// Time for which a watcher's list may differ: its changes come by several datagrams, and this
/// entry may have them from the store a moment later.
const LIST_GRACE: Duration = Duration::from_millis(300);

/// Time for which an entry that the store answers waits for its own calls to bring what a peer has.
///
/// When a whole fleet starts, each entry hears of the configuration before its own list is read to
/// the end. If each fetched all upstreams from the peer that told it, three entries would send the
/// whole list a hundred times, over links that carry the callers' answers as well.
const OWN_CALLS_GRACE: Duration = Duration::from_secs(1);

/// Time for each other entry over which fetches of what all lack are spread, so that those that have
/// fetched first hand it on to the others.
const SPREAD_PER_PEER: Duration = Duration::from_millis(3);

/// Entries of a data centre that fetch from another one at a time, in the mean.
const REMOTE_FETCHES: f64 = 3.0;

/// Time for which an entry counts as a source of what it told last.
const SOURCE_MAX_AGE: Duration = Duration::from_secs(5);

/// What an entry that is behind lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MissingState {
    /// A configuration of this version.
    pub(crate) config: Option<u64>,
    /// A list of upstreams that is complete up to this revision.
    pub(crate) list: Option<u64>,
}

impl MissingState {
    pub(crate) const fn is_any(&self) -> bool {
        self.config.is_some() || self.list.is_some()
    }
}

/// What is known of another entry.
#[derive(Clone, Debug)]
struct PeerRecord {
    name: Option<Name>,
    last_received: Option<Time>,
    known_since: Time,
    leaving: bool,
    watches: bool,
    data_centre: Name,
    /// When it was first sent a question since it was heard.
    queried_at: Option<Time>,
    /// Life that was heard last.
    incarnation: Option<Incarnation>,
    /// Configuration that it told last.
    config: u64,
    /// Revision up to which its list of upstreams was complete, as it told last.
    list_complete_to: u64,
}

impl PeerRecord {
    fn second_hand(now: Time) -> Self {
        Self {
            name: None,
            data_centre: Name::default(),
            last_received: None,
            known_since: now,
            leaving: false,
            watches: false,
            queried_at: None,
            incarnation: None,
            config: 0,
            list_complete_to: 0,
        }
    }

    /// Whether it lives and stays, as far as is known.
    fn is_available(&self, now: Time) -> bool {
        let silent = self
            .queried_at
            .is_some_and(|t| now.since(t) >= QUERY_SILENCE_TIMEOUT);
        !self.leaving && !silent
    }

    fn received_within(&self, now: Time, span: Duration) -> bool {
        self.last_received.is_some_and(|t| now.since(t) < span)
    }
}

/// Other entries, and what is to be told to them.
pub struct Peers {
    me: Ipv4Addr,
    pub(crate) incarnation: Incarnation,
    known: HashMap<Ipv4Addr, PeerRecord>,
    seeds: Vec<Ipv4Addr>,
    pub(crate) crashes: VecDeque<CrashCount>,
    fetching: Rc<Cell<bool>>,
    list_missing_since: Option<Time>,
    config_missing_since: Option<Time>,
    pub(crate) needs_full_list: bool,
    /// Entries that have just started and may be told at once, until the next telling.
    introductions_left: usize,
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
            incarnation: Incarnation::started_at(millis, rand::rng().next_u64()),
            known: HashMap::new(),
            seeds: seeds.filter(|ip| *ip != place.ip).collect(),
            crashes: VecDeque::new(),
            fetching: Rc::default(),
            list_missing_since: None,
            config_missing_since: None,
            needs_full_list: false,
            introductions_left: ANNOUNCE_FANOUT,
        }
    }

    /// Other entries that live and stay, as far as is known.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        let counts = |k: &&PeerRecord| k.last_received.is_some() && k.is_available(now);
        self.known.values().filter(counts).count()
    }

    /// Addresses of the other entries that are known, by hearsay too.
    pub(crate) fn addrs(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.known.keys().copied()
    }

    /// The entries that hold what is known of `key`, this one perhaps among them.
    pub(crate) fn owners(&self, now: Time, key: OwnedKey) -> impl Iterator<Item = Ipv4Addr> {
        let others = self.known.iter().filter(move |(_, k)| k.is_available(now));
        owners_of(key, others.map(|(ip, _)| *ip).chain([self.me]))
    }

    /// Other entries among the owners of `key`.
    pub(crate) fn other_owners(&self, now: Time, key: OwnedKey) -> impl Iterator<Item = Ipv4Addr> {
        let me = self.me;
        self.owners(now, key).filter(move |ip| *ip != me)
    }

    /// Notes that an entry was sent a question.
    pub(crate) fn record_query(&mut self, now: Time, ip: Ipv4Addr) {
        if let Some(known) = self.known.get_mut(&ip) {
            known.queried_at.get_or_insert(now);
        }
    }

    /// Notes that an entry was heard.
    pub(crate) fn record_received(&mut self, now: Time, ip: Ipv4Addr) {
        let known = self.known.entry(ip);
        let known = known.or_insert_with(|| PeerRecord::second_hand(now));
        known.last_received = Some(now);
        known.queried_at = None;
    }

    /// What the other entries that stay do about the store.
    pub(crate) fn watcher_views(&self, now: Time) -> Vec<WatcherView> {
        let within = self.watcher_interval().mul_f64(WATCHER_SILENT_INTERVALS);
        let others = self.known.iter().filter(|(_, k)| k.is_available(now));
        let view = |(addr, k): (&Ipv4Addr, &PeerRecord)| {
            let is_alive = k.received_within(now, within);
            WatcherView {
                addr: *addr,
                is_alive,
                watches: is_alive && k.watches,
            }
        };
        others.map(view).collect()
    }

    /// Whether an entry that all others tell knows of far more of them than this one, beyond what a
    /// datagram or two would name.
    pub(crate) fn lacks_entries(&self, now: Time, announcement: &EntryAnnouncement) -> bool {
        let announced = usize::try_from(announcement.entries).unwrap_or(usize::MAX);
        let known = 1 + self.known.values().filter(|k| k.is_available(now)).count();
        announcement.watches && announced > known + known / MISSING_PEERS_DIVISOR + MAX_LISTED_PEERS
    }

    /// Leave to tell an entry at once what this one knows: it has just started, and knows of few.
    pub(crate) fn may_introduce(&mut self, from: Ipv4Addr, incarnation: Incarnation) -> bool {
        let is_known = |k: &PeerRecord| k.incarnation == Some(incarnation);
        let introduces =
            self.introductions_left > 0 && !self.known.get(&from).is_some_and(is_known);
        self.introductions_left -= usize::from(introduces);
        introduces
    }

    fn watcher_interval(&self) -> Duration {
        let entries = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        let due = WATCHER_TIME_PER_PEER.saturating_mul(entries);
        due.clamp(
            *WATCHER_ANNOUNCE_INTERVALS.start(),
            *WATCHER_ANNOUNCE_INTERVALS.end(),
        )
    }

    /// What operators are shown of the other entries.
    #[must_use]
    pub fn overview(&self, now: Time) -> Vec<PeerOverview> {
        let show = |(ip, k): (&Ipv4Addr, &PeerRecord)| PeerOverview {
            name: k.name.clone().unwrap_or_default(),
            ip: *ip,
            heard_ms: k.last_received.map(|t| whole_millis(now.since(t))),
            watches: k.watches,
            leaving: k.leaving,
        };
        let mut all: Vec<PeerOverview> = self.known.iter().map(show).collect();
        all.sort_by_key(|p| p.ip);
        all
    }

    /// Keeps a crash count to be told.
    pub fn add_crash(&mut self, content: Digest, count: u8) {
        self.crashes.retain(|c| c.content != content);
        self.crashes.push_back(CrashCount { content, count });
        if self.crashes.len() > MAX_CRASH_COUNTS {
            self.crashes.pop_front();
        }
    }

    /// Takes the sender of news and those whom it names.
    pub(crate) fn apply_announcement(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        announcement: &EntryAnnouncement,
    ) {
        let known = PeerRecord {
            name: Some(announcement.name.clone()),
            last_received: Some(now),
            known_since: now,
            leaving: announcement.leaving,
            watches: announcement.watches && !announcement.leaving,
            data_centre: announcement.data_centre.clone(),
            queried_at: None,
            incarnation: Some(announcement.incarnation),
            config: announcement.config,
            list_complete_to: announcement.upstreams_complete,
        };
        self.known.insert(from, known);
        self.add_second_hand(now, &announcement.peers);
    }

    /// Takes entries that another one knows.
    pub(crate) fn add_second_hand(&mut self, now: Time, peers: &[Ipv4Addr]) {
        for ip in peers.iter().filter(|ip| **ip != self.me) {
            let known = self.known.entry(*ip);
            known.or_insert_with(|| PeerRecord::second_hand(now));
        }
    }

    /// Leave to fetch what is lacking; none while a fetch is under way.
    ///
    /// With two at a time each entry would take a large configuration twice, over links of 10 Mbit/s
    /// that carry streams as well.
    pub(crate) fn begin_fetch(&self) -> Option<FetchGuard> {
        if self.fetching.replace(true) {
            return None;
        }
        Some(FetchGuard {
            fetching: self.fetching.clone(),
        })
    }

    /// What has to be fetched of what an entry told: a configuration at once, a list that differs
    /// after a moment, both later where the entry's own calls of the store are about to bring them.
    pub(crate) fn overdue_state(
        &mut self,
        now: Time,
        announced: MissingState,
        own_calls: bool,
    ) -> MissingState {
        let least = if own_calls {
            OWN_CALLS_GRACE
        } else {
            Duration::ZERO
        };
        MissingState {
            config: overdue(&mut self.config_missing_since, now, announced.config, least),
            list: overdue(
                &mut self.list_missing_since,
                now,
                announced.list,
                least.max(LIST_GRACE),
            ),
        }
    }

    /// Notes that this entry has the list that the watchers tell.
    pub(crate) const fn record_list_current(&mut self) {
        self.list_missing_since = None;
    }

    /// Notes that the list was fetched: what it lacks from here on is new.
    pub(crate) const fn record_list_fetched(&mut self) {
        self.list_missing_since = None;
    }

    /// Longest pause before a fetch, of which a random part is taken.
    pub(crate) fn fetch_spread(&self) -> Duration {
        let entries = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        SPREAD_PER_PEER.saturating_mul(entries)
    }

    /// An entry that has what is lacking; one drawn of all that have.
    pub(crate) fn source(&self, now: Time, missing: &MissingState) -> Option<Ipv4Addr> {
        self.source_among(now, missing, |_| true)
    }

    /// The same in a data centre.
    pub(crate) fn nearby_source(
        &self,
        now: Time,
        missing: &MissingState,
        data_centre: &Name,
    ) -> Option<Ipv4Addr> {
        self.source_among(now, missing, |k| k.data_centre == *data_centre)
    }

    /// Share of the entries of a data centre that fetch from another one where none there has what is
    /// lacking.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn remote_share(&self, data_centre: &Name) -> f64 {
        let nearby = self
            .known
            .values()
            .filter(|k| k.data_centre == *data_centre);
        (REMOTE_FETCHES / (1 + nearby.count()) as f64).min(1.0)
    }

    fn source_among(
        &self,
        now: Time,
        missing: &MissingState,
        counts: impl Fn(&PeerRecord) -> bool,
    ) -> Option<Ipv4Addr> {
        let has = |k: &PeerRecord| {
            counts(k)
                && k.received_within(now, SOURCE_MAX_AGE)
                && k.is_available(now)
                && missing.config.is_none_or(|v| k.config >= v)
                && missing
                    .list
                    .is_none_or(|revision| k.list_complete_to >= revision)
        };
        let sources = self.known.iter().filter(|(_, k)| has(k));
        let sources: Vec<Ipv4Addr> = sources.map(|(ip, _)| *ip).collect();
        sources.choose(&mut rand::rng()).copied()
    }

    /// Time to the next telling.
    pub(crate) fn announce_interval(&self, relied_on: bool) -> Duration {
        if relied_on {
            self.watcher_interval()
        } else {
            ANNOUNCE_INTERVAL
        }
    }

    /// Whom to tell now: all, or some.
    pub(crate) fn targets(&mut self, now: Time, all: bool) -> Vec<Ipv4Addr> {
        self.introductions_left = ANNOUNCE_FANOUT;
        self.known
            .retain(|_, k| now.since(k.last_received.unwrap_or(k.known_since)) < PEER_RETENTION);
        let unheard = |ip: &&Ipv4Addr| !self.known.contains_key(*ip);
        let seeds: Vec<Ipv4Addr> = self.seeds.iter().filter(unheard).copied().collect();
        let known: Vec<Ipv4Addr> = self.known.keys().copied().collect();
        let most = if all { known.len() } else { ANNOUNCE_FANOUT };
        let mut targets: Vec<Ipv4Addr> = known.sample(&mut rand::rng(), most).copied().collect();
        targets.extend(seeds);
        targets
    }

    /// Entries that live and stay, as far as is known.
    pub(crate) fn available(&self, now: Time) -> Vec<Ipv4Addr> {
        let available = |k: &PeerRecord| k.last_received.is_some() && k.is_available(now);
        let available = self.known.iter().filter(|(_, k)| available(k));
        available.map(|(ip, _)| *ip).collect()
    }

    /// Some entries to name in a datagram, those first that watch the store: whoever has just started
    /// is to hear of them.
    pub(crate) fn listed_peers(&self, now: Time) -> Vec<Ipv4Addr> {
        let views = self.watcher_views(now).into_iter();
        let watching = views.filter(|v| v.watches).map(|v| v.addr);
        let mut listed: Vec<Ipv4Addr> = watching.take(WATCHERS).collect();
        let available = self.available(now);
        let sample = available
            .sample(&mut rand::rng(), MAX_LISTED_PEERS)
            .copied();
        let others: Vec<Ipv4Addr> = sample.filter(|ip| !listed.contains(ip)).collect();
        listed.extend(others);
        listed.truncate(MAX_LISTED_PEERS);
        listed
    }
}

/// What has been lacking for long enough, if anything is lacking.
fn overdue(
    since: &mut Option<Time>,
    now: Time,
    lacking: Option<u64>,
    grace: Duration,
) -> Option<u64> {
    let lacking = lacking?;
    let since = *since.get_or_insert(now);
    (now.since(since) >= grace).then_some(lacking)
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
