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
use fireflycroft_platform::PlatformSettings;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr};
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time between two tellings.
const TELL_EVERY: Duration = Duration::from_millis(250);

/// Other entries told at a time, drawn anew each time.
///
/// What is told this way (versions, repeats, refused callers, who is there) may be a second or two
/// old. In a fleet of up to so many all tell all; in a larger one each is heard less often, and
/// what is sent stays the same.
const TOLD_AT_A_TIME: usize = 10;

/// Bounds on the time between two tellings of an entry that watches the store for the others, all of
/// whom it tells.
const WATCHER_TELLS_EVERY: RangeInclusive<Duration> = TELL_EVERY..=Duration::from_millis(500);

/// Time for each other entry between two such tellings: some 130 datagrams a second.
const WATCHER_TIME_FOR_EACH: Duration = Duration::from_micros(7_500);

/// Tellings of a watcher after whose loss it no longer counts, and a little more.
const WATCHER_MISSES: f64 = 3.2;

/// Time for which an entry that was sent a question may stay silent before it is passed over.
///
/// Replies come within milliseconds; a small VM that runs dry of its processor share waits for up
/// to a tenth of a second.
const SILENT_AFTER: Duration = Duration::from_millis(400);

/// Silence after which an entry is told nothing more.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Entries named in a datagram.
const MAX_NAMED: usize = 8;

/// Part of the entries known, as a divisor, by which another one has to know of more to be asked.
const LACKING_PART: usize = 10;

/// Crash counts that are told again and again.
const MAX_CRASHES: usize = 16;

/// Time for which a watcher's list may differ: its changes come by several datagrams, and this
/// entry may have them from the store a moment later.
const LIST_PATIENCE: Duration = Duration::from_millis(300);

/// Time for which an entry that the store answers waits for its own calls to bring what a peer has.
///
/// When a whole fleet starts, each entry hears of the configuration before its own list is read to
/// the end. If each fetched all upstreams from the peer that told it, three entries would send the
/// whole list a hundred times, over links that carry the callers' answers as well.
const OWN_CALLS_PATIENCE: Duration = Duration::from_secs(1);

/// Time for each other entry over which fetches of what all lack are spread, so that those that have
/// fetched first hand it on to the others.
const SPREAD_FOR_EACH: Duration = Duration::from_millis(3);

/// Entries of a data centre that fetch from another one at a time, in the mean.
const FAR_FETCHES: f64 = 3.0;

/// Time for which an entry counts as a source of what it told last.
const SOURCE_HEARD_WITHIN: Duration = Duration::from_secs(5);

/// What an entry that is behind lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Behind {
    /// A configuration of this version.
    pub(crate) config: Option<u64>,
    /// A list of upstreams that is complete up to this revision.
    pub(crate) list: Option<u64>,
}

impl Behind {
    pub(crate) const fn is_any(&self) -> bool {
        self.config.is_some() || self.list.is_some()
    }
}

/// What is known of another entry.
#[derive(Clone, Debug)]
struct Known {
    name: Option<Name>,
    heard: Option<Time>,
    since: Time,
    leaving: bool,
    watches: bool,
    data_centre: Name,
    /// When it was first sent a question since it was heard.
    asked: Option<Time>,
    /// Life that was heard last.
    incarnation: Option<Incarnation>,
    /// Configuration that it told last.
    config: u64,
    /// Revision up to which its list of upstreams was complete, as it told last.
    list: u64,
}

impl Known {
    fn by_hearsay(now: Time) -> Self {
        Self {
            name: None,
            data_centre: Name::default(),
            heard: None,
            since: now,
            leaving: false,
            watches: false,
            asked: None,
            incarnation: None,
            config: 0,
            list: 0,
        }
    }

    /// Whether it lives and stays, as far as is known.
    fn stays(&self, now: Time) -> bool {
        let silent = self.asked.is_some_and(|t| now.since(t) >= SILENT_AFTER);
        !self.leaving && !silent
    }

    fn is_heard_within(&self, now: Time, span: Duration) -> bool {
        self.heard.is_some_and(|t| now.since(t) < span)
    }
}

/// Other entries, and what is to be told to them.
pub struct Peers {
    me: Ipv4Addr,
    pub(crate) incarnation: Incarnation,
    known: HashMap<Ipv4Addr, Known>,
    seeds: Vec<Ipv4Addr>,
    pub(crate) crashes: VecDeque<CrashCount>,
    fetching: Rc<Cell<bool>>,
    list_behind_since: Option<Time>,
    config_behind_since: Option<Time>,
    pub(crate) wants_all: bool,
    /// Entries that have just started and may be told at once, until the next telling.
    greetings_left: usize,
}

impl Peers {
    /// Knows the seeds of the settings only.
    #[must_use]
    pub fn new(place: &PlatformSettings) -> Self {
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
            list_behind_since: None,
            config_behind_since: None,
            wants_all: false,
            greetings_left: TOLD_AT_A_TIME,
        }
    }

    /// Other entries that live and stay, as far as is known.
    #[must_use]
    pub fn count(&self, now: Time) -> usize {
        let counts = |k: &&Known| k.heard.is_some() && k.stays(now);
        self.known.values().filter(counts).count()
    }

    /// Addresses of the other entries that are known, by hearsay too.
    pub(crate) fn addrs(&self) -> impl Iterator<Item = Ipv4Addr> {
        self.known.keys().copied()
    }

    /// The entries that hold what is known of `key`, this one perhaps among them.
    pub(crate) fn owners(&self, now: Time, key: OwnedKey) -> impl Iterator<Item = Ipv4Addr> {
        let others = self.known.iter().filter(move |(_, k)| k.stays(now));
        owners_of(key, others.map(|(ip, _)| *ip).chain([self.me]))
    }

    /// Other entries among the owners of `key`.
    pub(crate) fn other_owners(&self, now: Time, key: OwnedKey) -> impl Iterator<Item = Ipv4Addr> {
        let me = self.me;
        self.owners(now, key).filter(move |ip| *ip != me)
    }

    /// Notes that an entry was sent a question.
    pub(crate) fn note_asked(&mut self, now: Time, ip: Ipv4Addr) {
        if let Some(known) = self.known.get_mut(&ip) {
            known.asked.get_or_insert(now);
        }
    }

    /// Notes that an entry was heard.
    pub(crate) fn note_heard(&mut self, now: Time, ip: Ipv4Addr) {
        let known = self.known.entry(ip);
        let known = known.or_insert_with(|| Known::by_hearsay(now));
        known.heard = Some(now);
        known.asked = None;
    }

    /// What the other entries that stay do about the store.
    pub(crate) fn watch_views(&self, now: Time) -> Vec<WatcherView> {
        let within = self.watcher_tells_every().mul_f64(WATCHER_MISSES);
        let others = self.known.iter().filter(|(_, k)| k.stays(now));
        let view = |(addr, k): (&Ipv4Addr, &Known)| {
            let is_alive = k.is_heard_within(now, within);
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
    pub(crate) fn lacks_entries(&self, now: Time, news: &EntryAnnouncement) -> bool {
        let told = usize::try_from(news.entries).unwrap_or(usize::MAX);
        let known = 1 + self.known.values().filter(|k| k.stays(now)).count();
        news.watches && told > known + known / LACKING_PART + MAX_NAMED
    }

    /// Leave to tell an entry at once what this one knows: it has just started, and knows of few.
    pub(crate) fn may_greet(&mut self, from: Ipv4Addr, incarnation: Incarnation) -> bool {
        let is_known = |k: &Known| k.incarnation == Some(incarnation);
        let greets = self.greetings_left > 0 && !self.known.get(&from).is_some_and(is_known);
        self.greetings_left -= usize::from(greets);
        greets
    }

    fn watcher_tells_every(&self) -> Duration {
        let entries = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        let due = WATCHER_TIME_FOR_EACH.saturating_mul(entries);
        due.clamp(*WATCHER_TELLS_EVERY.start(), *WATCHER_TELLS_EVERY.end())
    }

    /// What operators are shown of the other entries.
    #[must_use]
    pub fn overview(&self, now: Time) -> Vec<PeerOverview> {
        let show = |(ip, k): (&Ipv4Addr, &Known)| PeerOverview {
            name: k.name.clone().unwrap_or_default(),
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
    pub(crate) fn learn(&mut self, now: Time, from: Ipv4Addr, news: &EntryAnnouncement) {
        let known = Known {
            name: Some(news.name.clone()),
            heard: Some(now),
            since: now,
            leaving: news.leaving,
            watches: news.watches && !news.leaving,
            data_centre: news.data_centre.clone(),
            asked: None,
            incarnation: Some(news.incarnation),
            config: news.config,
            list: news.upstreams_complete,
        };
        self.known.insert(from, known);
        self.learn_of(now, &news.peers);
    }

    /// Takes entries that another one knows.
    pub(crate) fn learn_of(&mut self, now: Time, peers: &[Ipv4Addr]) {
        for ip in peers.iter().filter(|ip| **ip != self.me) {
            let known = self.known.entry(*ip);
            known.or_insert_with(|| Known::by_hearsay(now));
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
    pub(crate) fn note_behind(&mut self, now: Time, told: Behind, own_calls: bool) -> Behind {
        let least = if own_calls {
            OWN_CALLS_PATIENCE
        } else {
            Duration::ZERO
        };
        Behind {
            config: overdue(&mut self.config_behind_since, now, told.config, least),
            list: overdue(
                &mut self.list_behind_since,
                now,
                told.list,
                least.max(LIST_PATIENCE),
            ),
        }
    }

    /// Notes that this entry has the list that the watchers tell.
    pub(crate) const fn note_list_held(&mut self) {
        self.list_behind_since = None;
    }

    /// Notes that the list was fetched: what it lacks from here on is new.
    pub(crate) const fn note_list_fetched(&mut self) {
        self.list_behind_since = None;
    }

    /// Longest pause before a fetch, of which a random part is taken.
    pub(crate) fn spread(&self) -> Duration {
        let entries = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        SPREAD_FOR_EACH.saturating_mul(entries)
    }

    /// An entry that has what is lacking; one drawn of all that have.
    pub(crate) fn source(&self, now: Time, behind: &Behind) -> Option<Ipv4Addr> {
        self.source_among(now, behind, |_| true)
    }

    /// The same in a data centre.
    pub(crate) fn near_source(
        &self,
        now: Time,
        behind: &Behind,
        data_centre: &Name,
    ) -> Option<Ipv4Addr> {
        self.source_among(now, behind, |k| k.data_centre == *data_centre)
    }

    /// Share of the entries of a data centre that fetch from another one where none there has what is
    /// lacking.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn far_share(&self, data_centre: &Name) -> f64 {
        let near = self
            .known
            .values()
            .filter(|k| k.data_centre == *data_centre);
        (FAR_FETCHES / (1 + near.count()) as f64).min(1.0)
    }

    fn source_among(
        &self,
        now: Time,
        behind: &Behind,
        counts: impl Fn(&Known) -> bool,
    ) -> Option<Ipv4Addr> {
        let has = |k: &Known| {
            counts(k)
                && k.is_heard_within(now, SOURCE_HEARD_WITHIN)
                && k.stays(now)
                && behind.config.is_none_or(|v| k.config >= v)
                && behind.list.is_none_or(|revision| k.list >= revision)
        };
        let sources = self.known.iter().filter(|(_, k)| has(k));
        let sources: Vec<Ipv4Addr> = sources.map(|(ip, _)| *ip).collect();
        sources.choose(&mut rand::rng()).copied()
    }

    /// Time to the next telling.
    pub(crate) fn pace(&self, relied_on: bool) -> Duration {
        if relied_on {
            self.watcher_tells_every()
        } else {
            TELL_EVERY
        }
    }

    /// Whom to tell now: all, or some.
    pub(crate) fn targets(&mut self, now: Time, all: bool) -> Vec<Ipv4Addr> {
        self.greetings_left = TOLD_AT_A_TIME;
        self.known
            .retain(|_, k| now.since(k.heard.unwrap_or(k.since)) < FORGET_AFTER);
        let unheard = |ip: &&Ipv4Addr| !self.known.contains_key(*ip);
        let seeds: Vec<Ipv4Addr> = self.seeds.iter().filter(unheard).copied().collect();
        let known: Vec<Ipv4Addr> = self.known.keys().copied().collect();
        let most = if all { known.len() } else { TOLD_AT_A_TIME };
        let mut targets: Vec<Ipv4Addr> = known.sample(&mut rand::rng(), most).copied().collect();
        targets.extend(seeds);
        targets
    }

    /// Entries that live and stay, as far as is known.
    pub(crate) fn living(&self, now: Time) -> Vec<Ipv4Addr> {
        let living = |k: &Known| k.heard.is_some() && k.stays(now);
        let living = self.known.iter().filter(|(_, k)| living(k));
        living.map(|(ip, _)| *ip).collect()
    }

    /// Some entries to name in a datagram, those first that watch the store: whoever has just started
    /// is to hear of them.
    pub(crate) fn named(&self, now: Time) -> Vec<Ipv4Addr> {
        let views = self.watch_views(now).into_iter();
        let watching = views.filter(|v| v.watches).map(|v| v.addr);
        let mut named: Vec<Ipv4Addr> = watching.take(WATCHERS).collect();
        let living = self.living(now);
        let sample = living.sample(&mut rand::rng(), MAX_NAMED).copied();
        let others: Vec<Ipv4Addr> = sample.filter(|ip| !named.contains(ip)).collect();
        named.extend(others);
        named.truncate(MAX_NAMED);
        named
    }
}

/// What has been lacking for long enough, if anything is lacking.
fn overdue(
    since: &mut Option<Time>,
    now: Time,
    lacking: Option<u64>,
    patience: Duration,
) -> Option<u64> {
    let lacking = lacking?;
    let since = *since.get_or_insert(now);
    (now.since(since) >= patience).then_some(lacking)
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
