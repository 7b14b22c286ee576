//! Following the platform's store: the configuration, the list of upstreams and the evacuated
//! data centres.
//!
//! The feed of the configuration decides whether the store answers this entry: its watches are the
//! shortest, and it alone calls a store that is silent. The other feeds make one call more to a
//! store that fails them, then wait until it answers, and go on from their last revision.
//!
//! Each kind of object is listed once and then watched from the revision of the list. It is
//! listed again only when the store has dropped its history, or was restored from a backup and
//! reuses its revision numbers.
//!
//! An entry that doesn't watch reads all objects once when it starts, from any replica of the
//! store, and receives later changes from other entries.

use crate::client::Client;
use crate::config_read::{config_call, decode_object};
use crate::following::{
    should_follow, until_primary, until_should_follow, until_store_responds, until_store_silent,
};
use crate::ingest::Ingest;
use crate::links::CallResponse;
use crate::node::Node;
use crate::store_call::{StoreCall, page_path};
use crate::store_list::StoreList;
use fireflycroft::{HedgedCall, Mechanism, Time, era_of};
use fireflycroft_platform::{
    Kind, StoreError, StorePage, is_configuration, read_era, read_events, read_page, watch_path,
};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Longest wait of a watch of the configuration at the store.
///
/// A store that has become silent to this entry looks like one without changes until a watch is
/// overdue. Then another entry has to take over and read what was missed, all within the two
/// seconds in which a configuration has to become active.
const WATCH_WAIT: Duration = Duration::from_millis(800);

/// Longest wait of a watch of upstreams.
///
/// The feed of the configuration notices a silent store for it. What is left is a response that
/// is lost on its way, to all of the three entries that watch.
const UPSTREAM_WAIT: Duration = Duration::from_secs(2);

/// Longest wait of a watch of evacuations, likewise: a data centre has to get nothing more after
/// five seconds.
const EVACUATION_WAIT: Duration = Duration::from_secs(3);

/// Longest wait of a standby watcher: one with enough other watchers that rank before it.
///
/// Several entries take over at a time when watchers are lost, and each call has a cost.
const STANDBY_WAIT: Duration = Duration::from_secs(3);

/// Time beyond its wait after which a watch is overdue.
const WATCH_MARGIN: Duration = Duration::from_millis(600);

/// Wait of a watch that only probes whether the store is back.
const PROBE_WAIT: Duration = Duration::from_millis(1);

/// Time without a byte after which a second attempt begins beside one that hangs: the store
/// answers in 4 ms, and in some 200 ms when it is slow.
const HEDGE_DELAY: Duration = Duration::from_millis(450);

/// Pause after a failed read of a replica.
const REPLICA_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Attempts of a call that doesn't decide whether the store answers.
const MAX_FOLLOWER_ATTEMPTS: u64 = 2;

/// Time without a byte after which a trial fails; others are tried meanwhile.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after the first failure: only a connection may have failed, and a store that restarts lets
/// earlier calls hang.
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);

/// Pause after the second failure in a row; doubles with each further one.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Pause after changes of the list of upstreams, so that one call returns several.
///
/// Three entries watch with pauses of their own, so the first of them receives a change well
/// before the pause is over; a departing upstream serves for at least another second and a half.
const BATCH_DELAY: Duration = Duration::from_millis(300);

/// The same pause of a standby watcher: when a fleet starts, its upstreams enter the list one by
/// one.
const STANDBY_BATCH_DELAY: Duration = Duration::from_secs(2);

/// Time for which an entry has to be a primary watcher before it reads evacuations: when watchers
/// are lost, several entries are until they receive each other's announcements, and each call has
/// a cost.
const PRIMARY_MIN_TIME: Duration = Duration::from_secs(1);

/// Doublings after which a pause is longer than any role's longest.
const MAX_PAUSE_DOUBLINGS: u32 = 10;

/// Time without a byte after which the only attempt of an unhedged call is abandoned.
const NO_PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a call is sent anew although its answer goes on: a page takes a second on a link of 10 Mbit/s.
const READ_TIME: Duration = Duration::from_secs(10);

/// Reader of one kind of object in the store.
struct Feed {
    node: Rc<Node>,
    client: Client,
    kind: Kind,
    connectivity: Rc<Connectivity>,
    ingest: Ingest,
}

/// Connectivity to the store as seen by one feed.
struct Connectivity {
    node: Rc<Node>,
    kind: Kind,
    /// Failures in a row.
    failures: Cell<u32>,
    /// Whether the feed knows the store to be silent, and has logged it.
    lost: Cell<bool>,
}

/// Follows one kind of object for as long as the process lives.
pub async fn follow(node: Rc<Node>, kind: Kind) {
    let client = Client::new(node.place.store.addr, &node);
    let connectivity = Rc::new(Connectivity {
        node: node.clone(),
        kind,
        failures: Cell::new(0),
        lost: Cell::new(false),
    });
    let mut feed = Feed {
        ingest: Ingest::new(node.clone(), kind),
        node,
        client,
        kind,
        connectivity,
    };
    if !should_follow(&feed.node, kind) {
        feed.read_replica_at_start().await;
        feed.wait_until_following().await;
    }
    loop {
        feed.until_needed().await;
        feed.list_and_watch_while_following().await;
    }
}

impl Feed {
    /// Lists all objects, page by page, and returns the revision to watch from.
    ///
    /// A failed page is retried without the pages before it: otherwise a list would never be
    /// complete while the store answers only some calls.
    async fn list(&mut self) -> Option<u64> {
        let mut list = StoreList::default();
        self.ingest.begin_list();
        let began = self.node.now();
        if self.kind == Kind::Upstreams {
            self.node.list_currency.borrow_mut().doubt(began);
        }
        loop {
            let is_on_trial = self.node.watcher_role.borrow().is_on_trial();
            let call = if is_on_trial {
                StoreCall::Trial
            } else {
                StoreCall::List
            };
            match self.read_page(call, &mut list).await {
                Ok(more) => {
                    self.connectivity.record_response();
                    if !more {
                        let revision = self.apply_list(&list);
                        self.confirm_list(began);
                        return revision;
                    }
                }
                Err(why) => self.back_off(&why).await,
            }
        }
    }

    /// Records that the list of upstreams was read by a call sent at `sent`.
    fn confirm_list(&self, sent: Time) {
        if self.kind == Kind::Upstreams {
            self.node.list_currency.borrow_mut().confirm(sent);
        }
    }

    /// Reads the next page of a list; returns true if more pages follow.
    async fn read_page(&mut self, call: StoreCall, list: &mut StoreList) -> Result<bool, String> {
        let after = list.last_name();
        let path = page_path(call, self.kind, after.as_deref());
        let mut page = self.get_page(call, &path).await?;
        self.ingest.record_nameless(page.unnamed);
        // Objects of an incomplete list are valid as well.
        self.ingest.apply_objects(&page.objects);
        if self.kind == Kind::Config {
            self.read_past(call, &page).await?;
            page.objects.clear();
            page.more = false;
        }
        list.append(page).map_err(|e| e.to_string())
    }

    /// Reads the configuration by its name if the first page of its kind doesn't hold it; the page's revision is the
    /// one to watch from.
    async fn read_past(&mut self, call: StoreCall, page: &StorePage) -> Result<(), String> {
        if !page.more || page.objects.iter().any(is_configuration) {
            return Ok(());
        }
        let path = config_call(call);
        let answered = self.get(call, &path, self.hedged_call(call)).await;
        let object = decode_object(&answered.map_err(|e| e.to_string())?)?;
        self.ingest.apply_objects(object.as_slice());
        Ok(())
    }

    fn apply_list(&mut self, list: &StoreList) -> Option<u64> {
        let revision = list.revision()?;
        self.ingest.apply_list(list.objects(), revision);
        Some(revision)
    }

    /// Reads all objects once, from any replica of the store, for an entry that starts beside
    /// watchers; it receives later changes from the other entries.
    ///
    /// When a whole fleet starts, no entry could send it all to each of them as soon.
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

    /// Reads a replica until that succeeds or other entries have sent what it holds; retries only
    /// once the store answers some entry.
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
            Kind::Upstreams => self.node.has_complete_list(),
            Kind::Evacuations | Kind::Entries => true,
        }
    }

    async fn read_replica(&mut self) -> Result<(), String> {
        let node = self.node.clone();
        let _reading = node.begin_replica_read();
        let mut list = StoreList::default();
        while self.read_page(StoreCall::Replica, &mut list).await? {}
        self.apply_list(&list);
        Ok(())
    }

    async fn get_page(&mut self, call: StoreCall, path: &str) -> Result<StorePage, String> {
        let answered = self.get(call, path, self.hedged_call(call)).await;
        decode_page(&answered.map_err(|e| e.to_string())?)
    }

    /// Returns a hedged call, whose attempts may be as far apart as this entry's role allows
    /// calls to a lost store; few attempts for what doesn't decide whether the store answers, a
    /// single one for trials, for evacuations or if hedging is disabled.
    fn hedged_call(&self, call: StoreCall) -> HedgedCall {
        if call == StoreCall::Trial {
            return HedgedCall::single(TRIAL_TIMEOUT).with_first_time(READ_TIME);
        }
        if self.kind == Kind::Evacuations || !self.node.policy.uses(Mechanism::Hedging) {
            return HedgedCall::single(NO_PROGRESS_TIMEOUT).with_first_time(READ_TIME);
        }
        let max_pause = self.node.watcher_role.borrow().max_pause();
        let hedged_call = HedgedCall::new(HEDGE_DELAY, max_pause).with_first_time(READ_TIME);
        if self.kind == Kind::Config && call != StoreCall::Replica {
            return hedged_call;
        }
        hedged_call.with_max_started(MAX_FOLLOWER_ATTEMPTS)
    }

    /// Sends a call to the store; fails on a response of an era before the store's restore.
    async fn get(
        &mut self,
        call: StoreCall,
        path: &str,
        hedged_call: HedgedCall,
    ) -> anyhow::Result<CallResponse> {
        let connectivity = self.connectivity.clone();
        let on_hang = || {
            connectivity
                .node
                .metrics
                .record_store_call(self.kind, call, false);
            // A replica that hangs tells nothing about the store.
            if call != StoreCall::Replica {
                connectivity.record_failure("no progress");
            }
        };
        let answered = self.client.get(path, hedged_call, on_hang).await;
        let metrics = &self.node.metrics;
        metrics.record_store_call(self.kind, call, answered.is_ok());
        let answered = answered?;
        let era = read_era(&answered.headers);
        self.node.record_store_era(era, "store");
        anyhow::ensure!(era == self.node.store_era(), "response of a previous era");
        Ok(answered)
    }

    /// Lists and watches while this entry is to follow the objects, then waits until it is again.
    ///
    /// A watch that waits at the store is ended by closing its connection.
    async fn list_and_watch_while_following(&mut self) {
        let node = self.node.clone();
        let kind = self.kind;
        let stopped_following = async {
            while should_follow(&node, kind) {
                node.watcher_role_changed.notified().await;
            }
        };
        let lists_and_watches = async {
            if let Some(revision) = self.list().await {
                self.watch_from(revision).await;
            }
        };
        tokio::select! {
            biased;
            () = stopped_following => {}
            () = lists_and_watches => return,
        }
        self.wait_until_following().await;
    }

    async fn wait_until_following(&mut self) {
        let node = self.node.clone();
        self.client = Client::new(node.place.store.addr, &node);
        self.connectivity.failures.set(0);
        self.connectivity.lost.set(false);
        if self.kind == Kind::Evacuations {
            return;
        }
        if self.kind == Kind::Config {
            node.store_responding.set(false);
        }
        until_should_follow(&node, self.kind).await;
    }

    async fn watch_from(&mut self, mut revision: u64) {
        while era_of(revision) == self.node.store_era() {
            let sent = self.node.now();
            let answer = self.probe_or_watch(revision).await;
            let read = match answer {
                // The store was restored from a backup while the watch waited.
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
                    self.connectivity.record_response();
                    self.confirm_list(sent);
                    revision = read.revision;
                    self.ingest.record_nameless(read.unnamed);
                    let any_events = !read.events.is_empty();
                    self.ingest.apply_events(read.events, revision);
                    if self.kind == Kind::Upstreams {
                        self.node.pool.borrow_mut().record_complete(revision);
                    }
                    if any_events && self.kind == Kind::Upstreams {
                        self.delay_batch().await;
                    }
                }
                Err(Some(StoreError::HistoryGone)) => return,
                // A new list holds the same changes, decoded object by object.
                Err(Some(StoreError::Malformed)) => {
                    self.back_off("unreadable changes").await;
                    return;
                }
                Err(fault) => self.back_off(&format!("{fault:?}")).await,
            }
        }
    }

    /// Pauses so that changes accumulate; longer for a standby watcher.
    async fn delay_batch(&self) {
        tokio::time::sleep(BATCH_DELAY).await;
        let standby_delay = STANDBY_BATCH_DELAY.saturating_sub(BATCH_DELAY);
        // Becoming a primary watcher ends the pause early.
        let _ = tokio::time::timeout(standby_delay, until_primary(&self.node)).await;
    }

    /// Waits for changes; after a failure, only probes whether the store is back, with hedged
    /// calls.
    async fn probe_or_watch(&mut self, revision: u64) -> anyhow::Result<CallResponse> {
        if self.connectivity.failures.get() > 0 {
            let path = watch_path(self.kind, revision, PROBE_WAIT);
            let hedged_call = self.hedged_call(StoreCall::Watch);
            return self.get(StoreCall::Watch, &path, hedged_call).await;
        }
        let node = self.node.clone();
        if !node.watcher_role.borrow().is_primary() {
            tokio::select! {
                answer = self.watch(revision, STANDBY_WAIT) => return answer,
                () = until_primary(&node) => {}
            }
            self.client = Client::new(node.place.store.addr, &node);
        }
        if self.kind == Kind::Config {
            return self.watch(revision, self.longest_wait()).await;
        }
        tokio::select! {
            answer = self.watch(revision, self.longest_wait()) => return answer,
            () = until_store_silent(&node) => {}
        }
        self.connectivity.record_lost("the store is silent");
        self.client = Client::new(node.place.store.addr, &node);
        until_store_responds(&node).await;
        self.watch(revision, self.longest_wait()).await
    }

    const fn longest_wait(&self) -> Duration {
        match self.kind {
            Kind::Config => WATCH_WAIT,
            Kind::Evacuations => EVACUATION_WAIT,
            Kind::Upstreams | Kind::Entries => UPSTREAM_WAIT,
        }
    }

    async fn watch(&mut self, revision: u64, wait: Duration) -> anyhow::Result<CallResponse> {
        let path = watch_path(self.kind, revision, wait);
        let hedged_call = HedgedCall::single(wait + WATCH_MARGIN).with_first_time(wait + READ_TIME);
        self.get(StoreCall::Watch, &path, hedged_call).await
    }

    /// Pauses after a failed call; a feed that doesn't decide whether the store answers waits until
    /// it does, after a second failure.
    async fn back_off(&mut self, why: &str) {
        let failures = self.connectivity.record_failure(why);
        let longest = self.node.watcher_role.borrow().max_pause();
        let pause = match failures {
            0 | 1 => RECONNECT_PAUSE,
            _ => FIRST_RETRY_PAUSE * (1 << (failures - 2).min(MAX_PAUSE_DOUBLINGS)),
        };
        tokio::time::sleep(pause.min(longest)).await;
        if self.kind != Kind::Config && failures > 1 {
            until_store_responds(&self.node).await;
        }
    }

    /// Waits until this entry is to read its kind of object: evacuations once it is a primary
    /// watcher, other objects at once unless the store is silent.
    async fn until_needed(&self) {
        if self.kind != Kind::Evacuations {
            if self.kind != Kind::Config && self.node.any_store_failure.get() {
                until_store_responds(&self.node).await;
            }
            return;
        }
        loop {
            until_primary(&self.node).await;
            tokio::time::sleep(PRIMARY_MIN_TIME).await;
            until_store_responds(&self.node).await;
            if self.node.watcher_role.borrow().is_primary() {
                return;
            }
        }
    }
}

impl Connectivity {
    fn record_response(&self) {
        self.failures.set(0);
        self.node.record_store_response();
        if self.lost.replace(false) {
            log::info!(event = "store_regained", kind = format!("{:?}", self.kind); "");
        }
    }

    fn record_lost(&self, why: &str) {
        if !self.lost.replace(true) {
            log::warn!(event = "store_lost", kind = format!("{:?}", self.kind), why = why; "");
        }
    }

    /// Records a call that failed or makes no progress; returns the number of failures in a row.
    fn record_failure(&self, why: &str) -> u32 {
        let failures = self.failures.get().saturating_add(1);
        self.failures.set(failures);
        self.record_lost(why);
        self.node.record_store_failure();
        if self.kind != Kind::Config {
            return failures;
        }
        self.node.record_store_silent();
        if failures == 2 {
            // More than a connection failed.
            self.node.announce_to_all_now();
        }
        failures
    }
}

/// Decodes the response to a list request.
fn decode_page(answered: &CallResponse) -> Result<StorePage, String> {
    let status = answered.status;
    let page = read_page(status, &answered.body).map_err(|e| format!("{status} {e:?}"))?;
    Ok(page.in_era(read_era(&answered.headers)))
}
