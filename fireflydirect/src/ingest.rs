//! Applying state from the store or another entry: configuration, upstreams, evacuations.

use crate::log_value::or_empty;
use crate::node::Node;
use crate::state_page::PeerState;
use fireflycroft::{Evacuations, ListChange, Name, UpstreamRecord, is_tellable};
use fireflycroft_platform::{Kind, StoreEvent, StoreObject, read_upstream};
use std::collections::HashMap;
use std::rc::Rc;

/// Applies objects of one kind that were read from the store.
pub struct Ingest {
    node: Rc<Node>,
    kind: Kind,
    /// Unreadable records with their revisions, so that each is logged once.
    unreadable: HashMap<Name, u64>,
}

impl Ingest {
    /// Creates an ingest that has applied nothing yet.
    #[must_use]
    pub fn new(node: Rc<Node>, kind: Kind) -> Self {
        Self {
            node,
            kind,
            unreadable: HashMap::new(),
        }
    }

    /// Starts a new list; its unreadable records are logged again.
    pub fn begin_list(&mut self) {
        self.unreadable.clear();
        if self.kind == Kind::Upstreams {
            self.node.upstreams_listed.set(false);
        }
    }

    /// Applies objects of a list that may be incomplete.
    pub fn apply_objects(&mut self, objects: &[StoreObject]) {
        for object in objects {
            match self.kind {
                Kind::Config => {
                    self.node.adopt_config(object, "store");
                }
                Kind::Upstreams => self.apply_record(object),
                // Evacuations are valid as a complete list only.
                Kind::Evacuations | Kind::Entries => {}
            }
        }
    }

    /// Applies a complete list of evacuations or upstreams.
    pub fn apply_list(&mut self, objects: &[StoreObject], revision: u64) {
        if self.kind == Kind::Evacuations {
            let active = objects
                .iter()
                .filter(|o| !o.deleting && is_tellable(&o.name));
            let listed = Evacuations {
                revision,
                data_centres: active.map(|o| o.name.clone()).collect(),
            };
            self.node.apply_evacuations(listed, "store");
        }
        if self.kind == Kind::Upstreams {
            let records = objects.iter().filter_map(|o| self.read_record(o)).collect();
            let now = self.node.now();
            let changes = self
                .node
                .pool
                .borrow_mut()
                .apply_list(now, records, revision);
            self.node.apply_pool_changes(changes, "store");
            self.node.upstreams_listed.set(true);
            self.node.record_complete_list();
        }
    }

    fn apply_record(&mut self, object: &StoreObject) {
        let record = self.read_record(object);
        let now = self.node.now();
        let change = record.and_then(|r| self.node.pool.borrow_mut().upsert(now, r));
        self.node.apply_pool_changes(change, "store");
    }

    /// Decodes the record of an upstream; for an unreadable one, returns what the pool knows
    /// under that name, marked as unreadable.
    fn read_record(&mut self, object: &StoreObject) -> Option<UpstreamRecord> {
        let e = match read_upstream(object) {
            Ok(record) => return Some(record),
            Err(e) => e,
        };
        let (name, revision) = (&object.name, object.revision);
        if self.unreadable.insert(name.clone(), revision) != Some(revision) {
            let why = e.to_string();
            self.node.metrics.record_unreadable("upstream", 1);
            log::warn!(
                event = "upstream_unreadable", instance = &**name, revision = revision, why = why;
                ""
            );
        }
        self.node.pool.borrow().unreadable(name, revision)
    }

    /// Records objects that were skipped since they have no name.
    pub fn record_nameless(&self, count: usize) {
        if count > 0 {
            self.node.metrics.record_unreadable("nameless", count);
            let kind = format!("{:?}", self.kind);
            log::warn!(event = "objects_nameless", kind = kind, count = count; "");
        }
    }

    /// Applies changes that lead to the list as of `revision`.
    pub fn apply_events(&mut self, events: Vec<StoreEvent>, revision: u64) {
        if self.kind == Kind::Evacuations && !events.is_empty() {
            self.apply_evacuations(&events, revision);
            return;
        }
        for event in events {
            match self.kind {
                Kind::Config if !event.removed => {
                    self.node.adopt_config(&event.object, "store");
                }
                Kind::Upstreams => self.apply_upstream_event(&event),
                Kind::Config | Kind::Evacuations | Kind::Entries => {}
            }
        }
    }

    /// Applies changes to the list of evacuations, whose revision is `revision` with them.
    fn apply_evacuations(&self, events: &[StoreEvent], revision: u64) {
        let held = self.node.pool.borrow().evacuations().clone();
        let events = events.iter().filter(|e| is_tellable(&e.object.name));
        let changed = events.fold(held, |list, event| {
            let evacuated = !event.removed && !event.object.deleting;
            list.with(event.object.name.clone(), evacuated)
        });
        let changed = Evacuations {
            revision,
            ..changed
        };
        self.node.apply_evacuations(changed, "store");
    }

    fn apply_upstream_event(&mut self, event: &StoreEvent) {
        if !event.removed {
            self.apply_record(&event.object);
            return;
        }
        let (instance, revision) = (&event.object.name, event.object.revision);
        let node = &self.node;
        let now = node.now();
        log::info!(
            event = "upstream_removed", instance = &**instance, revision = revision,
            contact_ms = or_empty(node.contact_ms()), sure = node.pool.borrow().store_connectivity().confirms_removals(now);
            ""
        );
        let change = node
            .pool
            .borrow_mut()
            .apply_removal(now, instance, revision);
        node.apply_pool_changes(change, "store");
    }
}

/// Applies another entry's state of upstreams; an upstream that its complete list lacks is
/// removed if the list is confirmed.
///
/// What is unconfirmed there stays unchanged here: that entry announces it once it is decided.
pub fn apply_peer_state(node: &Node, state: PeerState) {
    let now = node.now();
    if !state.is_whole {
        let records = state.upstreams.into_iter().map(ListChange::Listed);
        let removed = state.removed.into_iter();
        let removed =
            removed.map(|(instance, revision)| ListChange::Removed { instance, revision });
        for change in records.chain(removed) {
            let pool_changes = node.pool.borrow_mut().apply_change(now, change);
            node.apply_pool_changes(pool_changes, "peer");
        }
        for (instance, revision) in state.leaving {
            let mut pool = node.pool.borrow_mut();
            let change = pool.mark_leaving(now, &instance, revision);
            drop(pool);
            node.apply_pool_changes(change, "peer");
        }
        return;
    }
    if state.confirmed {
        let mut pool = node.pool.borrow_mut();
        let changes = pool.remove_unlisted(now, &state.upstreams, state.revision);
        drop(pool);
        node.apply_pool_changes(changes, "peer");
    }
    for record in state.upstreams {
        let change = node.pool.borrow_mut().upsert(now, record);
        node.apply_pool_changes(change, "peer");
    }
    node.record_complete_list();
    // Other entries may fetch the list here from now on.
    node.announce_now.notify_one();
}
