//! The known other entries of the fleet, and the choice of those to announce to.
//!
//! Each entry sends a datagram to some others several times a second, and at once when a change
//! is urgent ([`crate::announce`]). A datagram holds the versions and some of the entries that
//! the sender knows; an entry that is out of date fetches the rest over TCP ([`crate::receive`]).
//! Work placed on upstreams is reported to the owners of those only ([`crate::loads`]).
//!
//! The library that the house style names for this, `nng`, keeps some 36 threads in a process and
//! memory to match; datagrams of a few hundred bytes that may be lost need neither.

use crate::fetch_guard::FetchGuard;
use crate::peer_record::PeerRecord;
use fireflycroft::{
    Digest, EntryAnnouncement, Incarnation, Name, OwnedKey, PeerOverview, STREAM_OWNERS,
    STREAM_OWNERS_ASKED, Time, WATCHERS, WatcherView, highest_ranked, owners_of, whole_millis,
};
use fireflycroft_platform::PlatformSettings;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::cell::Cell;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);

/// Number of entries that an announcement is sent to, drawn at random each time.
///
/// What is spread this way (versions, retries, refused callers, known entries) may be a second or
/// two old. In a fleet of up to this size each announces to all; in a larger one each receives
/// from the others less often, and the traffic per entry stays the same.
const ANNOUNCE_FANOUT: usize = 10;

/// Bounds of the announcement interval of a primary watcher, which announces to all entries.
const WATCHER_ANNOUNCE_INTERVALS: RangeInclusive<Duration> =
    ANNOUNCE_INTERVAL..=Duration::from_millis(500);

/// Announcement interval of a primary watcher per known entry: some 130 datagrams a second.
const WATCHER_TIME_PER_PEER: Duration = Duration::from_micros(7_500);

/// Silence of a watcher, in announcement intervals, after which it no longer counts: three lost
/// announcements and some margin.
const WATCHER_SILENT_INTERVALS: f64 = 3.2;

/// Silence after which an entry is forgotten.
const PEER_RETENTION: Duration = Duration::from_mins(1);

/// Maximum number of entries listed in a datagram.
const MAX_LISTED_PEERS: usize = 8;

/// Fraction of the known entries, as a divisor, by which another entry has to know more before
/// its list is fetched.
const MISSING_PEERS_DIVISOR: usize = 10;

/// Time for which a watcher's list may differ: its changes arrive in several datagrams, and may
/// reach this entry from the store shortly after.
const LIST_GRACE: Duration = Duration::from_millis(300);

/// Time for which an entry that the store answers waits for its own calls to bring a peer's
/// state.
///
/// When a whole fleet starts, each entry receives the configuration's announcement before it has
/// read its own list. If each fetched all upstreams from the announcing peer, three entries would
/// send the complete list a hundred times, over links that carry the callers' answers as well.
const OWN_CALLS_GRACE: Duration = Duration::from_secs(1);

/// Time per known entry over which fetches of state that all lack are spread, so that the first
/// to fetch it forward it to the others.
const SPREAD_PER_PEER: Duration = Duration::from_millis(3);

/// Mean number of entries of a data centre that fetch from another data centre at a time.
const REMOTE_FETCHES: f64 = 3.0;

/// Time since its last announcement for which an entry counts as a source of the announced state.
const SOURCE_MAX_AGE: Duration = Duration::from_secs(5);

/// State that an out-of-date entry lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MissingState {
    /// Version of the configuration.
    pub(crate) config: Option<u64>,
    /// Revision up to which the list of upstreams has to be complete.
    pub(crate) list: Option<u64>,
}

impl MissingState {
    pub(crate) const fn is_any(&self) -> bool {
        self.config.is_some() || self.list.is_some()
    }
}

/// The other entries, and what is to be announced to them.
pub struct Peers {
    me: Ipv4Addr,
    pub(crate) incarnation: Incarnation,
    known: HashMap<Ipv4Addr, PeerRecord>,
    seeds: Vec<Ipv4Addr>,
    fetching_config: Rc<Cell<bool>>,
    fetching_list: Rc<Cell<bool>>,
    list_missing_since: Option<Time>,
    config_missing_since: Option<Time>,
    pub(crate) needs_full_list: bool,
    /// Number of new entries that may still be introduced before the next announcement.
    introductions_left: usize,
}

impl Peers {
    /// Creates the state of an entry that knows the seeds only.
    #[must_use]
    pub fn new(place: &PlatformSettings) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = unix.map_or(0, whole_millis);
        Self {
            me: place.ip,
            incarnation: Incarnation::started_at(millis, rand::rng().next_u64()),
            known: HashMap::new(),
            seeds: seeds_of(place),
            fetching_config: Rc::default(),
            fetching_list: Rc::default(),
            list_missing_since: None,
            config_missing_since: None,
            needs_full_list: false,
            introductions_left: ANNOUNCE_FANOUT,
        }
    }

    /// Returns the number of available other entries that have sent a datagram.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        let counts = |k: &&PeerRecord| k.last_received.is_some() && k.is_available(now);
        self.known.values().filter(counts).count()
    }

    /// Returns the addresses of all other entries, including those known second-hand only.
    pub(crate) fn addrs(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.known.keys().copied()
    }

    /// Sets the seeds, as the settings name them now.
    pub(crate) fn set_seeds(&mut self, place: &PlatformSettings) {
        self.seeds = seeds_of(place);
    }

    /// Returns up to `most` entries to ask: those heard from, then the seeds.
    pub(crate) fn to_ask(&self, most: usize) -> Vec<Ipv4Addr> {
        let heard = self.known.iter();
        let heard = heard.filter(|(_, k)| k.last_received.is_some());
        let heard: Vec<Ipv4Addr> = heard.map(|(ip, _)| *ip).collect();
        let mut asked: Vec<Ipv4Addr> = heard.sample(&mut rand::rng(), most).copied().collect();
        let seeds = self.seeds.iter().filter(|ip| !heard.contains(ip));
        asked.extend(seeds);
        asked.truncate(most);
        asked
    }

    /// Returns the owners of `key`, possibly including this entry.
    pub(crate) fn owners(&self, now: Time, key: OwnedKey) -> impl Iterator<Item = Ipv4Addr> {
        let others = self.known.iter().filter(move |(_, k)| k.is_available(now));
        owners_of(key, others.map(|(ip, _)| *ip).chain([self.me]))
    }

    /// Returns the owners of `key` other than this entry.
    pub(crate) fn other_owners(&self, now: Time, key: OwnedKey) -> impl Iterator<Item = Ipv4Addr> {
        let me = self.me;
        self.owners(now, key).filter(move |ip| *ip != me)
    }

    /// Returns the owners of the origin of a stream that this entry has begun.
    pub(crate) fn stream_owners(&self, now: Time, stream: Digest) -> Vec<Ipv4Addr> {
        self.others_ranked::<STREAM_OWNERS>(now, stream)
    }

    /// Returns the entries to ask for the origin of a stream that another entry has begun.
    pub(crate) fn stream_owners_to_ask(&self, now: Time, stream: Digest) -> Vec<Ipv4Addr> {
        self.others_ranked::<STREAM_OWNERS_ASKED>(now, stream)
    }

    fn others_ranked<const N: usize>(&self, now: Time, stream: Digest) -> Vec<Ipv4Addr> {
        let others = self.known.iter().filter(|(_, k)| k.is_available(now));
        let others = others.map(|(ip, _)| *ip);
        highest_ranked::<N>(OwnedKey::of_stream(stream), others).collect()
    }

    /// Records a query sent to an entry.
    pub(crate) fn record_query(&mut self, now: Time, ip: Ipv4Addr) {
        if let Some(known) = self.known.get_mut(&ip) {
            known.queried_at.get_or_insert(now);
        }
    }

    /// Records a datagram received from an entry.
    pub(crate) fn record_received(&mut self, now: Time, ip: Ipv4Addr) {
        let known = self.known.entry(ip);
        let known = known.or_insert_with(|| PeerRecord::second_hand(now));
        known.last_received = Some(now);
        known.queried_at = None;
    }

    /// Returns the available other entries' roles as watchers of the store.
    pub(crate) fn watcher_views(&self, now: Time) -> Vec<WatcherView> {
        let within = self.watcher_silence();
        let others = self.known.iter().filter(|(_, k)| k.is_available(now));
        let view = |(addr, k): (&Ipv4Addr, &PeerRecord)| {
            let is_alive = k.has_announced_within(now, within);
            WatcherView {
                addr: *addr,
                is_alive,
                // One that takes another object for the configuration announces no change of it.
                watches: is_alive && k.watches && k.has_config(k.config),
                is_unanswered: is_alive && k.is_unanswered,
            }
        };
        others.map(view).collect()
    }

    /// Returns whether a watcher knows of far more entries than this one, beyond what a datagram
    /// or two would list.
    pub(crate) fn lacks_entries(&self, now: Time, announcement: &EntryAnnouncement) -> bool {
        let announced = usize::try_from(announcement.entries).unwrap_or(usize::MAX);
        let known = 1 + self.known.values().filter(|k| k.is_available(now)).count();
        announcement.watches && announced > known + known / MISSING_PEERS_DIVISOR + MAX_LISTED_PEERS
    }

    /// Returns whether this entry may introduce itself at once to one that has just started and
    /// knows few others.
    pub(crate) fn may_introduce(&mut self, from: Ipv4Addr, incarnation: Incarnation) -> bool {
        let is_known = |k: &PeerRecord| k.incarnation == Some(incarnation);
        let introduces =
            self.introductions_left > 0 && !self.known.get(&from).is_some_and(is_known);
        self.introductions_left -= usize::from(introduces);
        introduces
    }

    /// Returns the silence after which a watcher no longer counts.
    pub(crate) fn watcher_silence(&self) -> Duration {
        self.watcher_interval().mul_f64(WATCHER_SILENT_INTERVALS)
    }

    fn watcher_interval(&self) -> Duration {
        let entries = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        let due = WATCHER_TIME_PER_PEER.saturating_mul(entries);
        due.clamp(
            *WATCHER_ANNOUNCE_INTERVALS.start(),
            *WATCHER_ANNOUNCE_INTERVALS.end(),
        )
    }

    /// Returns the other entries as shown to operators.
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

    /// Applies an announcement: updates its sender and adds the entries that it lists.
    pub(crate) fn apply_announcement(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        announcement: &EntryAnnouncement,
    ) {
        let is_same = |k: &&PeerRecord| k.incarnation == Some(announcement.incarnation);
        let before = self.known.get(&from).filter(is_same);
        let known = PeerRecord {
            refused_config: before.and_then(|k| k.refused_config),
            name: Some(announcement.name.clone()),
            last_received: Some(now),
            announced_at: Some(now),
            known_since: now,
            leaving: announcement.leaving,
            watches: announcement.watches && !announcement.leaving,
            is_unanswered: announcement.is_unanswered_watcher() && !announcement.leaving,
            data_centre: announcement.data_centre.clone(),
            queried_at: None,
            incarnation: Some(announcement.incarnation),
            config: announcement.config,
            list_complete_to: announcement.upstreams_complete,
        };
        self.known.insert(from, known);
        self.add_second_hand(now, &announcement.peers);
    }

    /// Adds entries known to another one.
    pub(crate) fn add_second_hand(&mut self, now: Time, peers: &[Ipv4Addr]) {
        for ip in peers.iter().filter(|ip| **ip != self.me) {
            let known = self.known.entry(*ip);
            known.or_insert_with(|| PeerRecord::second_hand(now));
        }
    }

    /// Returns whether an entry that is known second-hand has sent nothing for some time since.
    pub(crate) fn is_unheard_for(&self, now: Time, ip: Ipv4Addr, time: Duration) -> bool {
        let known = self.known.get(&ip);
        known.is_some_and(|k| k.last_received.is_none() && now.since(k.known_since) >= time)
    }

    /// Begins a fetch of the configuration; `None` while one is in progress.
    ///
    /// With two at a time each entry would fetch a large configuration twice, over links of 10
    /// Mbit/s that carry streams as well.
    pub(crate) fn begin_config_fetch(&self) -> Option<FetchGuard> {
        FetchGuard::begin(&self.fetching_config)
    }

    /// Begins a fetch of the list of upstreams or of entries; `None` while one is in progress.
    pub(crate) fn begin_list_fetch(&self) -> Option<FetchGuard> {
        FetchGuard::begin(&self.fetching_list)
    }

    /// Returns the announced state that has to be fetched: a configuration at once, a list that
    /// differs after a grace period, and both later if this entry's own calls to the store are
    /// about to bring them.
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

    /// Returns the version that an entry announces.
    pub(crate) fn announced_config(&self, from: Ipv4Addr) -> Option<u64> {
        self.known.get(&from).map(|k| k.config)
    }

    /// Records that what an entry handed out while it announced `version` isn't the configuration.
    pub(crate) fn refuse_config(&mut self, from: Ipv4Addr, version: Option<u64>) {
        if let Some(known) = self.known.get_mut(&from) {
            known.refused_config = version;
        }
    }

    /// Returns whether an entry announces a configuration of at least this version, as far as is known rightly.
    pub(crate) fn has_config(&self, from: Ipv4Addr, version: u64) -> bool {
        self.known.get(&from).is_some_and(|k| k.has_config(version))
    }

    /// Records that the list equals the one that watchers announce.
    pub(crate) const fn record_list_current(&mut self) {
        self.list_missing_since = None;
    }

    /// Records a completed fetch of the list: differences from here on are new.
    pub(crate) const fn record_list_fetched(&mut self) {
        self.list_missing_since = None;
    }

    /// Returns the longest pause before a fetch, of which a random part is taken.
    pub(crate) fn fetch_spread(&self) -> Duration {
        let entries = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        SPREAD_PER_PEER.saturating_mul(entries)
    }

    /// Returns a random entry that has the missing state.
    pub(crate) fn source(&self, now: Time, missing: &MissingState) -> Option<Ipv4Addr> {
        self.source_among(now, missing, |_| true)
    }

    /// Returns a random entry of a data centre that has the missing state.
    pub(crate) fn nearby_source(
        &self,
        now: Time,
        missing: &MissingState,
        data_centre: &Name,
    ) -> Option<Ipv4Addr> {
        self.source_among(now, missing, |k| k.data_centre == *data_centre)
    }

    /// Returns the share of a data centre's entries that fetch from another one while none of
    /// theirs has the missing state.
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
                && k.has_announced_within(now, SOURCE_MAX_AGE)
                && k.is_available(now)
                && missing.config.is_none_or(|v| k.has_config(v))
                && missing
                    .list
                    .is_none_or(|revision| k.list_complete_to >= revision)
        };
        let sources = self.known.iter().filter(|(_, k)| has(k));
        let sources: Vec<Ipv4Addr> = sources.map(|(ip, _)| *ip).collect();
        sources.choose(&mut rand::rng()).copied()
    }

    /// Returns the time until the next announcement.
    pub(crate) fn announce_interval(&self, is_primary: bool) -> Duration {
        if is_primary {
            self.watcher_interval()
        } else {
            ANNOUNCE_INTERVAL
        }
    }

    /// Returns the entries to announce to: all, or a random sample; seeds that aren't known
    /// yet are always included.
    pub(crate) fn targets(&mut self, now: Time, all: bool) -> Vec<Ipv4Addr> {
        self.introductions_left = ANNOUNCE_FANOUT;
        self.known
            .retain(|_, k| now.since(k.last_received.unwrap_or(k.known_since)) < PEER_RETENTION);
        let unknown = |ip: &&Ipv4Addr| !self.known.contains_key(*ip);
        let seeds: Vec<Ipv4Addr> = self.seeds.iter().filter(unknown).copied().collect();
        let known: Vec<Ipv4Addr> = self.known.keys().copied().collect();
        let most = if all { known.len() } else { ANNOUNCE_FANOUT };
        let mut targets: Vec<Ipv4Addr> = known.sample(&mut rand::rng(), most).copied().collect();
        targets.extend(seeds);
        targets
    }

    /// Returns the available entries that have sent a datagram.
    pub(crate) fn available(&self, now: Time) -> Vec<Ipv4Addr> {
        let available = |k: &PeerRecord| k.last_received.is_some() && k.is_available(now);
        let available = self.known.iter().filter(|(_, k)| available(k));
        available.map(|(ip, _)| *ip).collect()
    }

    /// Returns the entries to list in a datagram, watchers of the store first: new entries need
    /// them.
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

/// Returns the seeds other than the entry itself.
fn seeds_of(place: &PlatformSettings) -> Vec<Ipv4Addr> {
    let seeds = place.seeds.iter().filter_map(|s| v4(s.ip()));
    seeds.filter(|ip| *ip != place.ip).collect()
}

/// Returns what has been lacking for at least the grace period.
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

/// Returns the address if it is IPv4, which the fleet uses.
pub(crate) const fn v4(ip: IpAddr) -> Option<Ipv4Addr> {
    match ip {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    }
}
