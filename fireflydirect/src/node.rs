//! What one process knows and shares among its tasks.

use crate::clock::Clock;
use crate::config_history::ConfigHistory;
use crate::datagrams::Datagrams;
use crate::departures::Departures;
use crate::figure::or_empty;
use crate::links::Links;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::questions::Questions;
use crate::runs::Runs;
use fireflycroft::{
    Catalog, Digest, Evacuations, FULL_VIEW_AFTER, FleetView, LengthEstimator, Policy, Pool,
    PoolChange, Quarantine, QueryBudget, Refusal, Regions, ReturningCallers, SharedRetryBudget,
    Time, UpstreamIncarnation, UpstreamIx, ValueDensities, WatcherRole,
};
use fireflycroft_platform::{Place, StoreObject};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// How far a process has come in stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It serves.
    Serving,
    /// It was told to stop: not ready, but still takes what comes.
    Draining,
    /// It takes nothing new and closes idle connections.
    Closing,
}

/// Whether an entry watches the store from its start on: the seeds do, which all others know.
fn begins_to_watch(place: &Place) -> bool {
    place.seeds.is_empty() || place.seeds.iter().any(|seed| seed.ip() == place.ip)
}

/// One process.
pub struct Node {
    /// Where it runs.
    pub place: Place,
    /// Mechanisms that are on.
    pub policy: Policy,
    /// Its clock.
    pub clock: Clock,
    /// Configuration in force.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// When it was taken.
    pub adopted_at: Cell<Option<Time>>,
    /// The same as the store holds it, to hand to other entries.
    pub configs: RefCell<ConfigHistory>,
    /// Upstreams.
    pub pool: RefCell<Pool>,
    /// Budget of repeats.
    pub budget: RefCell<SharedRetryBudget>,
    /// Content that crashes upstreams.
    pub quarantine: RefCell<Quarantine>,
    /// Callers who were refused and come back.
    pub returns: RefCell<ReturningCallers>,
    /// Lengths of answers.
    pub lengths: RefCell<LengthEstimator>,
    /// What generations bring for the memory that they hold.
    pub yields: RefCell<ValueDensities>,
    /// Connections to upstreams.
    pub links: Links,
    /// Streams under way.
    pub runs: Runs,
    /// Other entries.
    pub peers: RefCell<Peers>,
    /// The way to them.
    pub datagrams: Datagrams,
    /// Questions to owners of upstreams that wait for replies.
    pub questions: Questions,
    /// How many upstreams a choice asks about.
    pub breadth: RefCell<QueryBudget>,
    /// Whether this entry watches the store for the others.
    pub duty: RefCell<WatcherRole>,
    /// Rings when that has changed.
    pub duty_changed: Notify,
    /// Kinds of objects that are being read from any copy of the store.
    pub(crate) copies_read: Cell<usize>,
    /// Whether the store answered the last call.
    pub store_answers: Cell<bool>,
    /// Times that the store has come back from a copy; none until it is known.
    pub(crate) era: Cell<Option<u64>>,
    /// Whether any call has failed yet.
    pub(crate) store_failed: Cell<bool>,
    /// When it last answered one.
    pub store_answered_at: Cell<Option<Time>>,
    /// Whether the list of upstreams has been read whole since this entry watches.
    pub listed: Cell<bool>,
    /// Whether it was ever read whole, from the store or another entry.
    pub has_whole_list: Cell<bool>,
    /// Rings when an upstream comes or the configuration changes.
    pub changed: Notify,
    /// Rings when an upstream has started again.
    life_ended: Notify,
    /// Rings when there is something to tell the other entries at once.
    pub urgent: Notify,
    /// Whether that has to reach all of them, and not some who tell it on.
    pub tell_all: Cell<bool>,
    /// Rings when there is something to report to owners.
    pub to_report: Notify,
    /// Upstreams whose load changed since the last report.
    pub loads_changed: RefCell<BTreeSet<UpstreamIx>>,
    /// Callers who were refused since then.
    pub refused: RefCell<Vec<Refusal>>,
    /// Upstreams that couldn't be reached since then.
    pub unreachable: RefCell<Vec<UpstreamIncarnation>>,
    /// Upstreams that were found to leave, for the task that saves their runs.
    pub left: RefCell<Vec<UpstreamIx>>,
    /// Rings when an upstream was found to leave.
    pub leaving: Notify,
    /// What is known of upstreams that leave while they run something of this entry.
    pub departures: Departures,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Calls under way.
    pub busy: Cell<usize>,
    stage: watch::Sender<Stage>,
}

impl Node {
    /// A process that knows nothing yet.
    ///
    /// # Errors
    ///
    /// When two metrics have one name.
    pub fn new(place: Place, policy: Policy) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let mut pool = Pool::new(place.data_centre.clone());
        pool.set_policy(policy);
        pool.set_regions(Regions::new(place.regions.iter().cloned()));
        pool.set_drain_timeout(place.bounds.drain_timeout);
        if let Some(heartbeat) = place.heartbeat {
            pool.set_heartbeat(heartbeat);
        }
        pool.set_fleet(FleetView::unknown(place.ip));
        if let Some(limits) = place.bounds.cold {
            pool.set_cold_limits(&place.vm, limits);
        }
        let budget = SharedRetryBudget::new(place.bounds.repeats);
        let peers = Peers::new(&place);
        let metrics = Metrics::new()?;
        Ok(Self {
            policy,
            clock,
            catalog: RefCell::default(),
            adopted_at: Cell::new(None),
            configs: RefCell::default(),
            pool: RefCell::new(pool),
            budget: RefCell::new(budget),
            quarantine: RefCell::default(),
            returns: RefCell::default(),
            lengths: RefCell::default(),
            yields: RefCell::default(),
            links: Links::new(clock),
            runs: Runs::default(),
            peers: RefCell::new(peers),
            datagrams: Datagrams::new(place.peer_ports.0, metrics.clone()),
            questions: Questions::default(),
            breadth: RefCell::default(),
            duty: RefCell::new(WatcherRole::new(place.ip, begins_to_watch(&place))),
            duty_changed: Notify::new(),
            copies_read: Cell::new(0),
            store_answers: Cell::new(false),
            era: Cell::new(None),
            store_failed: Cell::new(false),
            store_answered_at: Cell::new(None),
            listed: Cell::new(false),
            has_whole_list: Cell::new(false),
            changed: Notify::new(),
            life_ended: Notify::new(),
            urgent: Notify::new(),
            tell_all: Cell::new(false),
            to_report: Notify::new(),
            loads_changed: RefCell::default(),
            refused: RefCell::default(),
            unreachable: RefCell::default(),
            left: RefCell::default(),
            leaving: Notify::new(),
            departures: Departures::default(),
            busy: Cell::new(0),
            stage: watch::Sender::new(Stage::Serving),
            metrics,
            place,
        })
    }

    /// Time now.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// How far the process has come in stopping.
    #[must_use]
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Sets the stage and tells all who wait for it.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    /// Follows the stage.
    #[must_use]
    pub fn follow_stage(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && self.catalog.borrow().is_some()
    }

    /// Version of the configuration in force; zero for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.catalog.borrow().as_ref().map_or(0, |c| c.version())
    }

    /// Entries that share the budget of repeats, this one included.
    #[must_use]
    pub fn entries(&self) -> usize {
        1 + self.peers.borrow().count(self.now())
    }

    /// Tells the pool who the entries are.
    pub fn review_fleet(&self) {
        let has_just_started = self.now().since(Time::default()) < FULL_VIEW_AFTER;
        let fleet = if has_just_started {
            FleetView::unknown(self.place.ip)
        } else {
            FleetView::new(self.place.ip, self.peers.borrow().addrs())
        };
        self.pool.borrow_mut().set_fleet(fleet);
    }

    /// Takes a published configuration unless it is not newer than the one in force.
    pub fn adopt(&self, object: &StoreObject, source: &str) {
        let catalog = match fireflycroft_platform::read_catalog(object.content.get()) {
            Ok(catalog) => catalog,
            Err(e) => {
                let why = e.to_string();
                self.metrics.note_unreadable("config", 1);
                log::error!(event = "config_unreadable", source = source, error = why; "");
                return;
            }
        };
        let was = self.version();
        if catalog.version() <= was && was != 0 {
            return;
        }
        log::info!(
            event = "config_adopted", source = source, version = catalog.version(), was = was,
            routes = catalog.route_count();
            ""
        );
        for service in catalog.services() {
            let memory = service.engine.map(|e| e.memory_tokens);
            let mut pool = self.pool.borrow_mut();
            pool.set_memory(&service.name, memory);
            pool.set_cold_rate(&service.name, service.cold_rate);
        }
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        let now = self.now();
        self.configs.borrow_mut().take(now, object.clone());
        self.adopted_at.set(Some(now));
        self.changed.notify_waiters();
        self.urgent.notify_one();
    }

    /// Takes a list of evacuated data centres unless it is not newer than the one in force.
    ///
    /// Whoever has it from the store tells all others at once.
    pub fn apply_evacuations(&self, told: Evacuations, source: &str) {
        let revision = told.revision;
        let data_centres = told.data_centres.iter();
        let data_centres: Vec<&str> = data_centres.map(|name| &**name).collect();
        let data_centres = data_centres.join(",");
        let now = self.now();
        if !self.pool.borrow_mut().apply_evacuations(now, told) {
            return;
        }
        log::info!(
            event = "evacuations_changed", data_centres = data_centres, revision = revision,
            source = source;
            ""
        );
        self.changed.notify_waiters();
        if self.watches_store() {
            self.tell_all_at_once();
        }
    }

    /// Acts on changes of the pool.
    pub fn take_changes(&self, changes: impl IntoIterator<Item = PoolChange>, source: &str) {
        for change in changes {
            let (ix, event) = match change {
                PoolChange::Available(ix) => (ix, "upstream_came"),
                PoolChange::Leaves(ix) => (ix, "upstream_leaves"),
                PoolChange::Restarted { begun, .. } => (begun, "upstream_restarted"),
                PoolChange::Unreadable(ix) => (ix, "upstream_set_aside"),
                PoolChange::Missing(ix) => (ix, "upstream_missing"),
                PoolChange::Relisted { ix, missing_for } => {
                    self.log_back(ix, missing_for, source);
                    continue;
                }
            };
            let record = self.pool.borrow().record(ix).clone();
            log::info!(
                event = event, instance = &*record.instance, incarnation = record.incarnation.0,
                service = &*record.service, addr = record.addr.to_string(),
                revision = record.revision, source = source;
                ""
            );
            match change {
                PoolChange::Leaves(ix) => {
                    self.save_if_leaving(ix);
                    self.urgent.notify_one();
                }
                PoolChange::Restarted { ended, .. } => {
                    self.metrics.note_restart(&record.service);
                    self.end_life(ended);
                    self.urgent.notify_one();
                }
                PoolChange::Available(_)
                | PoolChange::Unreadable(_)
                | PoolChange::Missing(_)
                | PoolChange::Relisted { .. } => {}
            }
        }
        self.changed.notify_waiters();
    }

    fn log_back(&self, ix: UpstreamIx, missing_for: Duration, source: &str) {
        let pool = self.pool.borrow();
        let record = pool.record(ix);
        log::info!(
            event = "upstream_back", instance = &*record.instance, revision = record.revision,
            missing_ms = missing_for.as_millis(),
            contact_ms = or_empty(self.contact_ms()), source = source;
            ""
        );
    }

    /// Lets go of all that a life of an upstream held: idle connections, copies, and what waits for
    /// an answer of it.
    fn end_life(&self, ix: UpstreamIx) {
        let life = self.pool.borrow().record(ix).upstream_incarnation();
        self.links.drop_idle(&life);
        self.save_if_leaving(ix);
        self.life_ended.notify_waiters();
    }

    /// Returns once a later life of an upstream is known, after which nothing comes of this one.
    pub async fn until_ended(&self, ix: UpstreamIx) {
        loop {
            let ended = self.life_ended.notified();
            if self.pool.borrow().is_ended(ix) {
                return;
            }
            ended.await;
        }
    }

    /// Has the runs of an upstream that leaves saved, if it does.
    pub fn save_if_leaving(&self, ix: UpstreamIx) {
        if !self.pool.borrow().is_serving(ix) {
            self.left.borrow_mut().push(ix);
            self.leaving.notify_one();
        }
    }

    /// Notes that the owners of an upstream should hear of its load at once.
    pub(crate) fn note_load(&self, ix: UpstreamIx) {
        self.loads_changed.borrow_mut().insert(ix);
        self.to_report.notify_one();
    }

    /// Notes that a caller was refused for lack of room and told to come back.
    pub fn note_refused(&self, content: Digest) {
        let now = self.now();
        self.returns.borrow_mut().record_refusal(now, content);
        let age = Duration::ZERO;
        self.refused.borrow_mut().push(Refusal { content, age });
        self.to_report.notify_one();
    }

    /// Notes that an upstream couldn't be reached, here and for its owners.
    pub fn note_unreachable(&self, ix: UpstreamIx) {
        let mut pool = self.pool.borrow_mut();
        let life = pool.record(ix).upstream_incarnation();
        pool.record_unreachable(self.now(), &self.place.vm, &life);
        self.unreachable.borrow_mut().push(life);
        self.to_report.notify_one();
    }

    /// Tells all other entries what is new here.
    pub fn tell_all_at_once(&self) {
        self.tell_all.set(true);
        self.urgent.notify_one();
    }
}
