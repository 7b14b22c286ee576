//! What one process knows and shares among its tasks.

use crate::clock::Clock;
use crate::config_history::ConfigHistory;
use crate::datagrams::Datagrams;
use crate::departures::Departures;
use crate::links::Links;
use crate::log_value::or_empty;
use crate::metrics::Metrics;
use crate::owner_queries::OwnerQueries;
use crate::peers::Peers;
use crate::runs::Runs;
use fireflycroft::{
    Catalog, Digest, Evacuations, FULL_VIEW_AFTER, FleetView, LengthEstimator, Life, Policy, Pool,
    PoolChange, Quarantine, QueryBudget, Refusal, Regions, ReturningCallers, SharedRetryBudget,
    Time, UpstreamIx, ValueDensities, WatcherRole,
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
fn watches_initially(place: &Place) -> bool {
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
    pub config_adopted_at: Cell<Option<Time>>,
    /// The same as the store holds it, to hand to other entries.
    pub configs: RefCell<ConfigHistory>,
    /// Upstreams.
    pub pool: RefCell<Pool>,
    /// Budget of repeats.
    pub retry_budget: RefCell<SharedRetryBudget>,
    /// Content that crashes upstreams.
    pub quarantine: RefCell<Quarantine>,
    /// Callers who were refused and come back.
    pub returning_callers: RefCell<ReturningCallers>,
    /// Lengths of answers.
    pub lengths: RefCell<LengthEstimator>,
    /// What generations bring for the memory that they hold.
    pub value_densities: RefCell<ValueDensities>,
    /// Connections to upstreams.
    pub links: Links,
    /// Streams under way.
    pub runs: Runs,
    /// Other entries.
    pub peers: RefCell<Peers>,
    /// The way to them.
    pub datagrams: Datagrams,
    /// Questions to owners of upstreams that wait for replies.
    pub owner_queries: OwnerQueries,
    /// How many upstreams a choice asks about.
    pub candidate_count: RefCell<QueryBudget>,
    /// Whether this entry watches the store for the others.
    pub watcher_role: RefCell<WatcherRole>,
    /// Rings when that has changed.
    pub watcher_role_changed: Notify,
    /// Kinds of objects that are being read from any copy of the store.
    pub(crate) replica_reads: Cell<usize>,
    /// Whether the store answered the last call.
    pub store_responding: Cell<bool>,
    /// Times that the store has come back from a copy; none until it is known.
    pub(crate) store_era: Cell<Option<u64>>,
    /// Whether any call has failed yet.
    pub(crate) any_store_failure: Cell<bool>,
    /// When it last answered one.
    pub last_store_response: Cell<Option<Time>>,
    /// Whether the list of upstreams has been read whole since this entry watches.
    pub upstreams_listed: Cell<bool>,
    /// Whether it was ever read whole, from the store or another entry.
    pub has_complete_list: Cell<bool>,
    /// Rings when an upstream comes or the configuration changes.
    pub routing_changed: Notify,
    /// Rings when an upstream has started again.
    incarnation_ended: Notify,
    /// Rings when there is something to tell the other entries at once.
    pub announce_now: Notify,
    /// Whether that has to reach all of them, and not some who tell it on.
    pub announce_to_all: Cell<bool>,
    /// Rings when there is something to report to owners.
    pub report_due: Notify,
    /// Upstreams whose load changed since the last report.
    pub loads_changed: RefCell<BTreeSet<UpstreamIx>>,
    /// Callers who were refused since then.
    pub unreported_refusals: RefCell<Vec<Refusal>>,
    /// Upstreams that couldn't be reached since then.
    pub unreported_unreachable: RefCell<Vec<Life>>,
    /// Upstreams that were found to leave, for the task that saves their runs.
    pub departing: RefCell<Vec<UpstreamIx>>,
    /// Rings when an upstream was found to leave.
    pub departure_found: Notify,
    /// What is known of upstreams that leave while they run something of this entry.
    pub departures: Departures,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Calls under way.
    pub calls_in_flight: Cell<usize>,
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
        let retry_budget = SharedRetryBudget::new(place.bounds.repeats);
        let peers = Peers::new(&place);
        let metrics = Metrics::new()?;
        Ok(Self {
            policy,
            clock,
            catalog: RefCell::default(),
            config_adopted_at: Cell::new(None),
            configs: RefCell::default(),
            pool: RefCell::new(pool),
            retry_budget: RefCell::new(retry_budget),
            quarantine: RefCell::default(),
            returning_callers: RefCell::default(),
            lengths: RefCell::default(),
            value_densities: RefCell::default(),
            links: Links::new(clock),
            runs: Runs::default(),
            peers: RefCell::new(peers),
            datagrams: Datagrams::new(place.peer_ports.0, metrics.clone()),
            owner_queries: OwnerQueries::default(),
            candidate_count: RefCell::default(),
            watcher_role: RefCell::new(WatcherRole::new(place.ip, watches_initially(&place))),
            watcher_role_changed: Notify::new(),
            replica_reads: Cell::new(0),
            store_responding: Cell::new(false),
            store_era: Cell::new(None),
            any_store_failure: Cell::new(false),
            last_store_response: Cell::new(None),
            upstreams_listed: Cell::new(false),
            has_complete_list: Cell::new(false),
            routing_changed: Notify::new(),
            incarnation_ended: Notify::new(),
            announce_now: Notify::new(),
            announce_to_all: Cell::new(false),
            report_due: Notify::new(),
            loads_changed: RefCell::default(),
            unreported_refusals: RefCell::default(),
            unreported_unreachable: RefCell::default(),
            departing: RefCell::default(),
            departure_found: Notify::new(),
            departures: Departures::default(),
            calls_in_flight: Cell::new(0),
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
    pub fn subscribe_stage(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && self.catalog.borrow().is_some()
    }

    /// Version of the configuration in force; zero for none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.catalog.borrow().as_ref().map_or(0, |c| c.version())
    }

    /// Entries that share the budget of repeats, this one included.
    #[must_use]
    pub fn entries(&self) -> usize {
        1 + self.peers.borrow().count(self.now())
    }

    /// Tells the pool who the entries are.
    pub fn update_fleet_view(&self) {
        let has_just_started = self.now().since(Time::default()) < FULL_VIEW_AFTER;
        let fleet = if has_just_started {
            FleetView::unknown(self.place.ip)
        } else {
            FleetView::new(self.place.ip, self.peers.borrow().addrs())
        };
        self.pool.borrow_mut().set_fleet(fleet);
    }

    /// Takes a published configuration unless it is not newer than the one in force.
    pub fn adopt_config(&self, object: &StoreObject, source: &str) {
        let catalog = match fireflycroft_platform::read_catalog(object.content.get()) {
            Ok(catalog) => catalog,
            Err(e) => {
                let why = e.to_string();
                self.metrics.record_unreadable("config", 1);
                log::error!(event = "config_unreadable", source = source, error = why; "");
                return;
            }
        };
        let was = self.config_version();
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
        self.configs.borrow_mut().activate(now, object.clone());
        self.config_adopted_at.set(Some(now));
        self.routing_changed.notify_waiters();
        self.announce_now.notify_one();
    }

    /// Takes a list of evacuated data centres unless it is not newer than the one in force.
    ///
    /// Whoever has it from the store tells all others at once.
    pub fn apply_evacuations(&self, evacuations: Evacuations, source: &str) {
        let revision = evacuations.revision;
        let data_centres = evacuations.data_centres.iter();
        let data_centres: Vec<&str> = data_centres.map(|name| &**name).collect();
        let data_centres = data_centres.join(",");
        let now = self.now();
        if !self.pool.borrow_mut().apply_evacuations(now, evacuations) {
            return;
        }
        log::info!(
            event = "evacuations_changed", data_centres = data_centres, revision = revision,
            source = source;
            ""
        );
        self.routing_changed.notify_waiters();
        if self.watches_store() {
            self.announce_to_all_now();
        }
    }

    /// Acts on changes of the pool.
    pub fn apply_pool_changes(&self, changes: impl IntoIterator<Item = PoolChange>, source: &str) {
        for change in changes {
            let (ix, event) = match change {
                PoolChange::Came(ix) => (ix, "upstream_came"),
                PoolChange::Leaves(ix) => (ix, "upstream_leaves"),
                PoolChange::Restarted { begun, .. } => (begun, "upstream_restarted"),
                PoolChange::Unreadable(ix) => (ix, "upstream_set_aside"),
                PoolChange::Missing(ix) => (ix, "upstream_missing"),
                PoolChange::Back { ix, missing_for } => {
                    self.log_recovered(ix, missing_for, source);
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
                    self.migrate_if_departing(ix);
                    self.announce_now.notify_one();
                }
                PoolChange::Restarted { ended, .. } => {
                    self.metrics.record_restart(&record.service);
                    self.end_incarnation(ended);
                    self.announce_now.notify_one();
                }
                PoolChange::Came(_)
                | PoolChange::Unreadable(_)
                | PoolChange::Missing(_)
                | PoolChange::Back { .. } => {}
            }
        }
        self.routing_changed.notify_waiters();
    }

    fn log_recovered(&self, ix: UpstreamIx, missing_for: Duration, source: &str) {
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
    fn end_incarnation(&self, ix: UpstreamIx) {
        let incarnation = self.pool.borrow().record(ix).life();
        self.links.drop_idle(&incarnation);
        self.migrate_if_departing(ix);
        self.incarnation_ended.notify_waiters();
    }

    /// Returns once a later life of an upstream is known, after which nothing comes of this one.
    pub async fn until_ended(&self, ix: UpstreamIx) {
        loop {
            let ended = self.incarnation_ended.notified();
            if self.pool.borrow().is_ended(ix) {
                return;
            }
            ended.await;
        }
    }

    /// Has the runs of an upstream that leaves saved, if it does.
    pub fn migrate_if_departing(&self, ix: UpstreamIx) {
        if !self.pool.borrow().is_serving(ix) {
            self.departing.borrow_mut().push(ix);
            self.departure_found.notify_one();
        }
    }

    /// Notes that the owners of an upstream should hear of its load at once.
    pub(crate) fn record_load_change(&self, ix: UpstreamIx) {
        self.loads_changed.borrow_mut().insert(ix);
        self.report_due.notify_one();
    }

    /// Notes that a caller was refused for lack of room and told to come back.
    pub fn record_refusal(&self, content: Digest) {
        let now = self.now();
        self.returning_callers
            .borrow_mut()
            .record_refusal(now, content);
        let age = Duration::ZERO;
        self.unreported_refusals
            .borrow_mut()
            .push(Refusal { content, age });
        self.report_due.notify_one();
    }

    /// Notes that an upstream couldn't be reached, here and for its owners.
    pub fn record_unreachable(&self, ix: UpstreamIx) {
        let mut pool = self.pool.borrow_mut();
        let incarnation = pool.record(ix).life();
        pool.record_unreachable(self.now(), &self.place.vm, &incarnation);
        self.unreported_unreachable.borrow_mut().push(incarnation);
        self.report_due.notify_one();
    }

    /// Tells all other entries what is new here.
    pub fn announce_to_all_now(&self) {
        self.announce_to_all.set(true);
        self.announce_now.notify_one();
    }
}
