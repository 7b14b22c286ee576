//! Following the platform's store: the configuration, the list of upstreams and the data centres that
//! are evacuated.
//!
//! Each kind is listed once and then watched from the revision of the list. A
//! list follows again only when the store has dropped its history, or has come
//! back from a copy and gives out its revisions anew.
//!
//! An entry that doesn't watch reads it all once when it starts, from any copy of
//! the store, and hears from then on of what changes.

use crate::client::Client;
use crate::ingest::Ingest;
use crate::links::Answered;
use crate::node::Node;
use crate::store_call::{StoreCall, page_path};
use fireflycroft::{HedgedCall, Mechanism, Name, era_of};
use fireflycroft_platform::{
    Kind, StoreFault, StoreObject, StorePage, read_era, read_events, read_page, watch_path,
};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Longest time that a watch waits at the store.
///
/// A store that has gone silent towards this entry looks like one without changes until a watch
/// is overdue. Then another entry has to step in and read what was missed, all within the two
/// seconds in which a configuration is to be in force.
const WATCH_WAIT: Duration = Duration::from_millis(800);

/// The same of a watch of evacuations: of the five seconds after which a data centre gets nothing more,
/// two more may pass until another entry reads for one that the store doesn't answer.
const EVACUATION_WAIT: Duration = Duration::from_secs(2);

/// The same of an entry that watches beside enough others that rank before it: it stands by.
///
/// Several step in at a time when watchers are lost, and each call is paid for.
const STANDBY_WAIT: Duration = Duration::from_secs(3);

/// Time after its wait at which a watch is overdue.
const WATCH_MARGIN: Duration = Duration::from_millis(600);

/// Wait of a watch that only asks whether the store is back.
const PROBE_WAIT: Duration = Duration::from_millis(1);

/// Time without a byte after which a call is tried once more beside the one that hangs: the store
/// answers in 4 ms, and in some 200 ms when it is slow.
const HEDGE_DELAY: Duration = Duration::from_millis(450);

/// Pause after a copy of the store that couldn't be read.
const REPLICA_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// First pause after a failed call; doubles with each further one.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Pause after changes of the list of upstreams, so that several come with one call.
///
/// Three entries watch, each with pauses of its own, so that the first of them hears of a change
/// well before the pause is over; a leaving upstream serves on for a second and a half at least.
const BATCH_DELAY: Duration = Duration::from_millis(300);

/// The same of an entry that stands by: when a fleet starts, its upstreams enter the list one after the
/// other.
const STANDBY_BATCH_DELAY: Duration = Duration::from_secs(2);

/// Time for which an entry has to be relied on before it reads evacuations: several are when watchers
/// are lost, until they hear of each other, and each call is paid for.
const PRIMARY_MIN_TIME: Duration = Duration::from_secs(1);

/// Time between two looks at whether another feed of this entry is answered again.
const CONNECTIVITY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a byte after which the only try is given up, where tries don't overlap.
const NO_PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);

/// One kind of object, read from the store.
struct Feed {
    node: Rc<Node>,
    client: Client,
    kind: Kind,
    retry_pause: Duration,
    connectivity: Connectivity,
    ingest: Ingest,
}

/// Whether the store answers, as one feed sees it.
struct Connectivity {
    node: Rc<Node>,
    kind: Kind,
    lost: Cell<bool>,
}

/// Follows one kind of object for as long as the process lives.
pub async fn follow(node: Rc<Node>, kind: Kind) {
    let client = Client::new(node.place.store.addr, node.clock);
    let connectivity = Connectivity {
        node: node.clone(),
        kind,
        lost: Cell::new(false),
    };
    let mut feed = Feed {
        ingest: Ingest::new(node.clone(), kind),
        node,
        client,
        kind,
        retry_pause: FIRST_RETRY_PAUSE,
        connectivity,
    };
    if !should_follow(&feed.node, kind) {
        feed.read_replica_at_start().await;
        feed.wait_until_following().await;
    }
    loop {
        feed.until_needed().await;
        match feed.list().await {
            Some(revision) => feed.watch_while_following(revision).await,
            None => feed.wait_until_following().await,
        }
    }
}

/// The pages of one list that have been read.
#[derive(Default)]
struct Listing {
    objects: Vec<StoreObject>,
    /// Revision of the first page: changes between two pages come again with a watch from there.
    revision: Option<u64>,
}

impl Listing {
    /// Name after which the next page begins.
    fn last_name(&self) -> Option<Name> {
        self.objects.last().map(|o| o.name.clone())
    }

    /// Takes the next page, unless it is of a later era than those before, which are void then.
    fn append(&mut self, page: StorePage) -> bool {
        let first = *self.revision.get_or_insert(page.revision);
        if era_of(first) != era_of(page.revision) {
            *self = Self::default();
            return false;
        }
        self.objects.extend(page.objects);
        true
    }
}

impl Feed {
    /// Lists all objects, page by page, and gives the revision from which a watch goes on; none when
    /// others have begun to watch for this entry before the end.
    ///
    /// A page that fails is asked for again, and not the pages before it: a store that answers some
    /// calls only would never be read to the end.
    async fn list(&mut self) -> Option<u64> {
        let mut listing = Listing::default();
        self.ingest.begin_list();
        loop {
            match self.read_page(StoreCall::List, &mut listing).await {
                Ok(true) => {}
                Ok(false) => {
                    self.record_success();
                    return self.apply_list(&listing);
                }
                Err(why) => self.back_off(&why).await,
            }
            if !should_follow(&self.node, self.kind) {
                return None;
            }
        }
    }

    /// Reads the next page of a list; true when the list goes on.
    async fn read_page(&mut self, call: StoreCall, listing: &mut Listing) -> Result<bool, String> {
        let after = listing.last_name();
        let path = page_path(call, self.kind, after.as_deref());
        let page = self.get_page(call, &path).await?;
        self.ingest.record_nameless(page.nameless);
        // What is read of a list that can't be read to its end holds all the same.
        self.ingest.apply_objects(&page.objects);
        let more = page.more;
        Ok(!listing.append(page) || more)
    }

    fn apply_list(&mut self, listing: &Listing) -> Option<u64> {
        let revision = listing.revision?;
        self.ingest.apply_list(&listing.objects, revision);
        Some(revision)
    }

    /// Reads all objects once, from any copy of the store, for an entry that starts beside watchers:
    /// what has changed since then it hears of the others.
    ///
    /// When a whole fleet starts, nobody could hand it all to each of them as soon.
    async fn read_replica_at_start(&mut self) {
        if self.kind == Kind::Evacuations {
            return;
        }
        let node = self.node.clone();
        let starts_following = until_should_follow(&node, self.kind);
        tokio::select! {
            () = self.read_replica_until_known() => {}
            () = starts_following => {}
        }
    }

    /// Reads a copy of the store until that succeeds or others have handed over what it says; again
    /// only once the store answers somebody.
    async fn read_replica_until_known(&mut self) {
        while let Err(why) = self.read_replica().await {
            let kind = format!("{:?}", self.kind);
            log::warn!(event = "store_copy_unread", kind = kind, why = why; "");
            loop {
                tokio::time::sleep(REPLICA_RETRY_PAUSE).await;
                if self.is_known() {
                    return;
                }
                if self.node.contact_ms().is_some() {
                    break;
                }
            }
        }
    }

    fn is_known(&self) -> bool {
        match self.kind {
            Kind::Config => self.node.config_version() > 0,
            Kind::Upstreams => self.node.has_complete_list.get(),
            Kind::Evacuations | Kind::Entries => true,
        }
    }

    async fn read_replica(&mut self) -> Result<(), String> {
        let node = self.node.clone();
        let _reading = node.begin_replica_read();
        let mut listing = Listing::default();
        while self.read_page(StoreCall::Replica, &mut listing).await? {}
        self.apply_list(&listing);
        Ok(())
    }

    async fn get_page(&mut self, call: StoreCall, path: &str) -> Result<StorePage, String> {
        let answered = self.get(call, path, self.hedged_call()).await;
        decode_page(&answered.map_err(|e| e.to_string())?)
    }

    /// Tries that overlap, as often as this entry may call a store that is away.
    fn hedged_call(&self) -> HedgedCall {
        if self.kind == Kind::Evacuations || !self.node.policy.uses(Mechanism::Overlap) {
            return HedgedCall::single(NO_PROGRESS_TIMEOUT);
        }
        HedgedCall::new(HEDGE_DELAY, self.node.watcher_role.borrow().max_pause())
    }

    /// Sends a call to the store; an answer that the store gave before it came back from a copy is none.
    async fn get(
        &mut self,
        call: StoreCall,
        path: &str,
        hedged_call: HedgedCall,
    ) -> anyhow::Result<Answered> {
        let connectivity = &self.connectivity;
        let on_hang = || {
            connectivity
                .node
                .metrics
                .record_store_call(self.kind, call, false);
            connectivity.record_failure("no progress");
        };
        let answered = self.client.get(path, hedged_call, on_hang).await;
        let metrics = &self.node.metrics;
        metrics.record_store_call(self.kind, call, answered.is_ok());
        let answered = answered?;
        let era = read_era(&answered.headers);
        self.node.record_store_era(era, "store");
        anyhow::ensure!(era == self.node.store_era(), "an answer of a former era");
        Ok(answered)
    }

    /// Watches while this entry is to, then waits until it is again.
    ///
    /// A watch that waits at the store is cut short, by closing its connection.
    async fn watch_while_following(&mut self, revision: u64) {
        let node = self.node.clone();
        let kind = self.kind;
        let stopped_following = async {
            while should_follow(&node, kind) {
                node.watcher_role_changed.notified().await;
            }
        };
        tokio::select! {
            () = self.watch_from(revision) => return,
            () = stopped_following => {}
        }
        self.wait_until_following().await;
    }

    async fn wait_until_following(&mut self) {
        let node = self.node.clone();
        self.client = Client::new(node.place.store.addr, node.clock);
        if self.kind == Kind::Evacuations {
            return;
        }
        node.store_responding.set(false);
        until_should_follow(&node, self.kind).await;
    }

    async fn watch_from(&mut self, mut revision: u64) {
        while era_of(revision) == self.node.store_era() {
            let answer = self.probe_or_watch(revision).await;
            let read = match answer {
                // The store came back from a copy while the watch waited.
                Ok(answered) if read_era(&answered.headers) != era_of(revision) => return,
                Ok(answered) => read_events(answered.status, &answered.body).map_err(Some),
                Err(e) => {
                    self.back_off(&e.to_string()).await;
                    continue;
                }
            };
            match read {
                Ok(read) => {
                    let read = read.in_era(era_of(revision));
                    self.record_success();
                    revision = read.revision;
                    self.ingest.record_nameless(read.nameless);
                    let any_events = !read.events.is_empty();
                    self.ingest.apply_events(read.events, revision);
                    if self.kind == Kind::Upstreams {
                        self.node.pool.borrow_mut().note_complete(revision);
                    }
                    if any_events && self.kind == Kind::Upstreams {
                        self.delay_batch().await;
                    }
                }
                Err(Some(StoreFault::HistoryGone)) => return,
                // What changed is in the list as well, one object at a time.
                Err(Some(StoreFault::Malformed)) => {
                    self.back_off("the changes can't be read").await;
                    return;
                }
                Err(fault) => self.back_off(&format!("{fault:?}")).await,
            }
        }
    }

    /// Lets changes gather; for longer while this entry only stands by.
    async fn delay_batch(&self) {
        tokio::time::sleep(BATCH_DELAY).await;
        let standby_delay = STANDBY_BATCH_DELAY.saturating_sub(BATCH_DELAY);
        // What is over first ends the pause.
        let _ = tokio::time::timeout(standby_delay, until_primary(&self.node)).await;
    }

    /// Waits for changes; while the store is lost, only asks whether it is back, by tries that
    /// overlap.
    async fn probe_or_watch(&mut self, revision: u64) -> anyhow::Result<Answered> {
        if self.connectivity.lost.get() {
            let path = watch_path(self.kind, revision, PROBE_WAIT);
            return self.get(StoreCall::Watch, &path, self.hedged_call()).await;
        }
        if self.node.watcher_role.borrow().is_primary() {
            return self.watch(revision, self.longest_wait()).await;
        }
        let node = self.node.clone();
        tokio::select! {
            answer = self.watch(revision, STANDBY_WAIT) => return answer,
            () = until_primary(&node) => {}
        }
        self.client = Client::new(node.place.store.addr, node.clock);
        self.watch(revision, self.longest_wait()).await
    }

    const fn longest_wait(&self) -> Duration {
        match self.kind {
            Kind::Evacuations => EVACUATION_WAIT,
            Kind::Config | Kind::Upstreams | Kind::Entries => WATCH_WAIT,
        }
    }

    async fn watch(&mut self, revision: u64, wait: Duration) -> anyhow::Result<Answered> {
        let path = watch_path(self.kind, revision, wait);
        let hedged_call = HedgedCall::single(wait + WATCH_MARGIN);
        self.get(StoreCall::Watch, &path, hedged_call).await
    }

    fn record_success(&mut self) {
        self.retry_pause = FIRST_RETRY_PAUSE;
        self.connectivity.record_response();
    }

    async fn back_off(&mut self, why: &str) {
        self.connectivity.record_failure(why);
        tokio::time::sleep(self.retry_pause).await;
        let longest = self.node.watcher_role.borrow().max_pause();
        self.retry_pause = (self.retry_pause * 2).min(longest);
        if self.kind == Kind::Evacuations {
            self.until_store_responds().await;
        }
    }

    /// Returns once a feed whose calls overlap has found the store again.
    async fn until_store_responds(&self) {
        while !self.node.store_responding.get() {
            tokio::time::sleep(CONNECTIVITY_CHECK_INTERVAL).await;
        }
    }

    /// Returns when this entry is to read its kind of object: evacuations once others rely on it for
    /// them, everything else at once.
    async fn until_needed(&self) {
        if self.kind != Kind::Evacuations {
            return;
        }
        loop {
            until_primary(&self.node).await;
            tokio::time::sleep(PRIMARY_MIN_TIME).await;
            self.until_store_responds().await;
            if self.node.watcher_role.borrow().is_primary() {
                return;
            }
        }
    }
}

impl Connectivity {
    fn record_response(&self) {
        self.node.record_store_response();
        if self.lost.replace(false) {
            log::info!(event = "store_regained", kind = format!("{:?}", self.kind); "");
        }
    }

    /// Notes that a call failed or hangs.
    fn record_failure(&self, why: &str) {
        self.node.record_store_failure();
        if !self.lost.replace(true) {
            log::warn!(event = "store_lost", kind = format!("{:?}", self.kind), why = why; "");
        }
    }
}

/// Whether an entry is to follow a kind of object: evacuations while others rely on it, everything else
/// while it watches at all.
fn should_follow(node: &Node, kind: Kind) -> bool {
    let duty = node.watcher_role.borrow();
    if kind == Kind::Evacuations {
        duty.is_primary()
    } else {
        duty.is_watching()
    }
}

/// Returns once an entry is to follow a kind of object.
async fn until_should_follow(node: &Node, kind: Kind) {
    while !should_follow(node, kind) {
        node.watcher_role_changed.notified().await;
    }
}

/// Returns once the others rely on this entry for what the store says.
async fn until_primary(node: &Node) {
    while !node.watcher_role.borrow().is_primary() {
        node.watcher_role_changed.notified().await;
    }
}

/// The page that an answer to a list holds.
pub(crate) fn decode_page(answered: &Answered) -> Result<StorePage, String> {
    let status = answered.status;
    let page = read_page(status, &answered.body).map_err(|e| format!("{status} {e:?}"))?;
    Ok(page.in_era(read_era(&answered.headers)))
}
