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
use crate::intake::Intake;
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
const LOOK_WAIT: Duration = Duration::from_millis(1);

/// Time without a byte after which a call is tried once more beside the one that hangs: the store
/// answers in 4 ms, and in some 200 ms when it is slow.
const PATIENCE: Duration = Duration::from_millis(450);

/// Pause after a copy of the store that couldn't be read.
const COPY_PAUSE: Duration = Duration::from_millis(600);

/// First pause after a failed call; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Pause after changes of the list of upstreams, so that several come with one call.
///
/// Three entries watch, each with pauses of its own, so that the first of them hears of a change
/// well before the pause is over; a leaving upstream serves on for a second and a half at least.
const GATHER: Duration = Duration::from_millis(300);

/// The same of an entry that stands by: when a fleet starts, its upstreams enter the list one after the
/// other.
const STANDBY_GATHER: Duration = Duration::from_secs(2);

/// Time for which an entry has to be relied on before it reads evacuations: several are when watchers
/// are lost, until they hear of each other, and each call is paid for.
const RELIED_ON_FOR: Duration = Duration::from_secs(1);

/// Time between two looks at whether another feed of this entry is answered again.
const CONTACT_CHECK: Duration = Duration::from_millis(200);

/// Time without a byte after which the only try is given up, where tries don't overlap.
const HANG_LIMIT: Duration = Duration::from_secs(5);

/// One kind of object, read from the store.
struct Feed {
    node: Rc<Node>,
    client: Client,
    kind: Kind,
    pause: Duration,
    contact: Contact,
    intake: Intake,
}

/// Whether the store answers, as one feed sees it.
struct Contact {
    node: Rc<Node>,
    kind: Kind,
    lost: Cell<bool>,
}

/// Follows one kind of object for as long as the process lives.
pub async fn follow(node: Rc<Node>, kind: Kind) {
    let client = Client::new(node.place.store.addr, node.clock);
    let contact = Contact {
        node: node.clone(),
        kind,
        lost: Cell::new(false),
    };
    let mut feed = Feed {
        intake: Intake::new(node.clone(), kind),
        node,
        client,
        kind,
        pause: FIRST_PAUSE,
        contact,
    };
    if !is_on_duty(&feed.node, kind) {
        feed.read_copy_at_start().await;
        feed.wait_for_duty().await;
    }
    loop {
        feed.until_due().await;
        match feed.list().await {
            Some(revision) => feed.watch_while_on_duty(revision).await,
            None => feed.wait_for_duty().await,
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
    fn last(&self) -> Option<Name> {
        self.objects.last().map(|o| o.name.clone())
    }

    /// Takes the next page, unless it is of a later era than those before, which are void then.
    fn take(&mut self, page: StorePage) -> bool {
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
        self.intake.begin_list();
        loop {
            match self.read_page(StoreCall::List, &mut listing).await {
                Ok(true) => {}
                Ok(false) => {
                    self.heard();
                    return self.take_list(&listing);
                }
                Err(why) => self.rest(&why).await,
            }
            if !is_on_duty(&self.node, self.kind) {
                return None;
            }
        }
    }

    /// Reads the next page of a list; true when the list goes on.
    async fn read_page(&mut self, call: StoreCall, listing: &mut Listing) -> Result<bool, String> {
        let after = listing.last();
        let path = page_path(call, self.kind, after.as_deref());
        let page = self.get_page(call, &path).await?;
        self.intake.note_nameless(page.nameless);
        // What is read of a list that can't be read to its end holds all the same.
        self.intake.take_objects(&page.objects);
        let more = page.more;
        Ok(!listing.take(page) || more)
    }

    fn take_list(&mut self, listing: &Listing) -> Option<u64> {
        let revision = listing.revision?;
        self.intake.take_list(&listing.objects, revision);
        Some(revision)
    }

    /// Reads all objects once, from any copy of the store, for an entry that starts beside watchers:
    /// what has changed since then it hears of the others.
    ///
    /// When a whole fleet starts, nobody could hand it all to each of them as soon.
    async fn read_copy_at_start(&mut self) {
        if self.kind == Kind::Evacuations {
            return;
        }
        let node = self.node.clone();
        let begins_to_watch = on_duty(&node, self.kind);
        tokio::select! {
            () = self.read_copy_until_known() => {}
            () = begins_to_watch => {}
        }
    }

    /// Reads a copy of the store until that succeeds or others have handed over what it says; again
    /// only once the store answers somebody.
    async fn read_copy_until_known(&mut self) {
        while let Err(why) = self.read_copy().await {
            let kind = format!("{:?}", self.kind);
            log::warn!(event = "store_copy_unread", kind = kind, why = why; "");
            loop {
                tokio::time::sleep(COPY_PAUSE).await;
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
            Kind::Config => self.node.version() > 0,
            Kind::Upstreams => self.node.has_whole_list.get(),
            Kind::Evacuations | Kind::Entries => true,
        }
    }

    async fn read_copy(&mut self) -> Result<(), String> {
        let node = self.node.clone();
        let _reading = node.begin_copy();
        let mut listing = Listing::default();
        while self.read_page(StoreCall::Copy, &mut listing).await? {}
        self.take_list(&listing);
        Ok(())
    }

    async fn get_page(&mut self, call: StoreCall, path: &str) -> Result<StorePage, String> {
        let answered = self.get(call, path, self.patient()).await;
        decode_page(&answered.map_err(|e| e.to_string())?)
    }

    /// Tries that overlap, as often as this entry may call a store that is away.
    fn patient(&self) -> HedgedCall {
        if self.kind == Kind::Evacuations || !self.node.policy.uses(Mechanism::Hedging) {
            return HedgedCall::single(HANG_LIMIT);
        }
        HedgedCall::new(PATIENCE, self.node.duty.borrow().max_pause())
    }

    /// Sends a call to the store; an answer that the store gave before it came back from a copy is none.
    async fn get(
        &mut self,
        call: StoreCall,
        path: &str,
        overlap: HedgedCall,
    ) -> anyhow::Result<Answered> {
        let contact = &self.contact;
        let on_hang = || {
            contact.node.metrics.note_store_call(self.kind, call, false);
            contact.note_lost("no progress");
        };
        let answered = self.client.get(path, overlap, on_hang).await;
        let metrics = &self.node.metrics;
        metrics.note_store_call(self.kind, call, answered.is_ok());
        let answered = answered?;
        let era = read_era(&answered.headers);
        self.node.note_era(era, "store");
        anyhow::ensure!(era == self.node.era(), "an answer of a former era");
        Ok(answered)
    }

    /// Watches while this entry is to, then waits until it is again.
    ///
    /// A watch that waits at the store is cut short, by closing its connection.
    async fn watch_while_on_duty(&mut self, revision: u64) {
        let node = self.node.clone();
        let kind = self.kind;
        let off_duty = async {
            while is_on_duty(&node, kind) {
                node.duty_changed.notified().await;
            }
        };
        tokio::select! {
            () = self.watch_from(revision) => return,
            () = off_duty => {}
        }
        self.wait_for_duty().await;
    }

    async fn wait_for_duty(&mut self) {
        let node = self.node.clone();
        self.client = Client::new(node.place.store.addr, node.clock);
        if self.kind == Kind::Evacuations {
            return;
        }
        node.store_answers.set(false);
        on_duty(&node, self.kind).await;
    }

    async fn watch_from(&mut self, mut revision: u64) {
        while era_of(revision) == self.node.era() {
            let answer = self.look_or_wait(revision).await;
            let read = match answer {
                // The store came back from a copy while the watch waited.
                Ok(answered) if read_era(&answered.headers) != era_of(revision) => return,
                Ok(answered) => read_events(answered.status, &answered.body).map_err(Some),
                Err(e) => {
                    self.rest(&e.to_string()).await;
                    continue;
                }
            };
            match read {
                Ok(read) => {
                    let read = read.in_era(era_of(revision));
                    self.heard();
                    revision = read.revision;
                    self.intake.note_nameless(read.nameless);
                    let any = !read.events.is_empty();
                    self.intake.take_events(read.events, revision);
                    if self.kind == Kind::Upstreams {
                        self.node.pool.borrow_mut().record_complete(revision);
                    }
                    if any && self.kind == Kind::Upstreams {
                        self.gather().await;
                    }
                }
                Err(Some(StoreFault::HistoryGone)) => return,
                // What changed is in the list as well, one object at a time.
                Err(Some(StoreFault::Malformed)) => {
                    self.rest("the changes can't be read").await;
                    return;
                }
                Err(fault) => self.rest(&format!("{fault:?}")).await,
            }
        }
    }

    /// Lets changes gather; for longer while this entry only stands by.
    async fn gather(&self) {
        tokio::time::sleep(GATHER).await;
        let standing_by = STANDBY_GATHER.saturating_sub(GATHER);
        // What is over first ends the pause.
        let _ = tokio::time::timeout(standing_by, relied_on(&self.node)).await;
    }

    /// Waits for changes; while the store is lost, only asks whether it is back, by tries that
    /// overlap.
    async fn look_or_wait(&mut self, revision: u64) -> anyhow::Result<Answered> {
        if self.contact.lost.get() {
            let path = watch_path(self.kind, revision, LOOK_WAIT);
            return self.get(StoreCall::Watch, &path, self.patient()).await;
        }
        if self.node.duty.borrow().is_primary() {
            return self.watch(revision, self.longest_wait()).await;
        }
        let node = self.node.clone();
        tokio::select! {
            answer = self.watch(revision, STANDBY_WAIT) => return answer,
            () = relied_on(&node) => {}
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
        let overlap = HedgedCall::single(wait + WATCH_MARGIN);
        self.get(StoreCall::Watch, &path, overlap).await
    }

    fn heard(&mut self) {
        self.pause = FIRST_PAUSE;
        self.contact.note_answer();
    }

    async fn rest(&mut self, why: &str) {
        self.contact.note_lost(why);
        tokio::time::sleep(self.pause).await;
        let longest = self.node.duty.borrow().max_pause();
        self.pause = (self.pause * 2).min(longest);
        if self.kind == Kind::Evacuations {
            self.until_answered().await;
        }
    }

    /// Returns once a feed whose calls overlap has found the store again.
    async fn until_answered(&self) {
        while !self.node.store_answers.get() {
            tokio::time::sleep(CONTACT_CHECK).await;
        }
    }

    /// Returns when this entry is to read its kind of object: evacuations once others rely on it for
    /// them, everything else at once.
    async fn until_due(&self) {
        if self.kind != Kind::Evacuations {
            return;
        }
        loop {
            relied_on(&self.node).await;
            tokio::time::sleep(RELIED_ON_FOR).await;
            self.until_answered().await;
            if self.node.duty.borrow().is_primary() {
                return;
            }
        }
    }
}

impl Contact {
    fn note_answer(&self) {
        self.node.note_store_answer();
        if self.lost.replace(false) {
            log::info!(event = "store_regained", kind = format!("{:?}", self.kind); "");
        }
    }

    /// Notes that a call failed or hangs.
    fn note_lost(&self, why: &str) {
        self.node.note_store_failure();
        if !self.lost.replace(true) {
            log::warn!(event = "store_lost", kind = format!("{:?}", self.kind), why = why; "");
        }
    }
}

/// Whether an entry is to follow a kind of object: evacuations while others rely on it, everything else
/// while it watches at all.
fn is_on_duty(node: &Node, kind: Kind) -> bool {
    let duty = node.duty.borrow();
    if kind == Kind::Evacuations {
        duty.is_primary()
    } else {
        duty.is_watching()
    }
}

/// Returns once an entry is to follow a kind of object.
async fn on_duty(node: &Node, kind: Kind) {
    while !is_on_duty(node, kind) {
        node.duty_changed.notified().await;
    }
}

/// Returns once the others rely on this entry for what the store says.
async fn relied_on(node: &Node) {
    while !node.duty.borrow().is_primary() {
        node.duty_changed.notified().await;
    }
}

/// The page that an answer to a list holds.
pub(crate) fn decode_page(answered: &Answered) -> Result<StorePage, String> {
    let status = answered.status;
    let page = read_page(status, &answered.body).map_err(|e| format!("{status} {e:?}"))?;
    Ok(page.in_era(read_era(&answered.headers)))
}
