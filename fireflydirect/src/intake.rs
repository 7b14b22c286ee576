//! Taking what the store or another entry says: configuration, upstreams, evacuations.

use crate::figure::or_empty;
use crate::node::Node;
use crate::state_page::PeerState;
use fireflycroft::{Evacuations, ListChange, Name, UpstreamRecord};
use fireflycroft_platform::{Kind, StoreEvent, StoreObject, read_upstream};
use std::collections::HashMap;
use std::rc::Rc;

/// Takes objects of one kind that were read from the store.
pub struct Intake {
    node: Rc<Node>,
    kind: Kind,
    /// Records that were last seen unreadable, with their revisions, so that each is said once.
    unreadable: HashMap<Name, u64>,
}

impl Intake {
    /// Has taken nothing yet.
    #[must_use]
    pub fn new(node: Rc<Node>, kind: Kind) -> Self {
        Self {
            node,
            kind,
            unreadable: HashMap::new(),
        }
    }

    /// Forgets what was said of unreadable records, before a list says it anew.
    pub fn begin_list(&mut self) {
        self.unreadable.clear();
        if self.kind == Kind::Upstreams {
            self.node.listed.set(false);
        }
    }

    /// Takes objects of a list that may go on.
    pub fn take_objects(&mut self, objects: &[StoreObject]) {
        for object in objects {
            match self.kind {
                Kind::Config => self.node.adopt(object, "store"),
                Kind::Upstreams => self.take_record(object),
                // They hold as a whole list.
                Kind::Evacuations | Kind::Entries => {}
            }
        }
    }

    /// Takes a whole list of evacuations, or what a whole list of upstreams lacks.
    pub fn take_list(&mut self, objects: &[StoreObject], revision: u64) {
        if self.kind == Kind::Evacuations {
            let in_force = objects.iter().filter(|o| !o.deleting);
            let listed = Evacuations {
                revision,
                data_centres: in_force.map(|o| o.name.clone()).collect(),
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
            self.node.take_changes(changes, "store");
            self.node.listed.set(true);
            self.node.has_whole_list.set(true);
        }
    }

    fn take_record(&mut self, object: &StoreObject) {
        let record = self.read_record(object);
        let now = self.node.now();
        let change = record.and_then(|r| self.node.pool.borrow_mut().upsert(now, r));
        self.node.take_changes(change, "store");
    }

    /// The record of an upstream; what can't be read says so of one that is known.
    fn read_record(&mut self, object: &StoreObject) -> Option<UpstreamRecord> {
        let e = match read_upstream(object) {
            Ok(record) => return Some(record),
            Err(e) => e,
        };
        let (name, revision) = (&object.name, object.revision);
        if self.unreadable.insert(name.clone(), revision) != Some(revision) {
            let why = e.to_string();
            self.node.metrics.note_unreadable("upstream", 1);
            log::warn!(
                event = "upstream_unreadable", instance = &**name, revision = revision, why = why;
                ""
            );
        }
        self.node.pool.borrow().unreadable(name, revision)
    }

    /// Notes objects that were left out, since they have no name.
    pub fn note_nameless(&self, count: usize) {
        if count > 0 {
            self.node.metrics.note_unreadable("nameless", count);
            let kind = format!("{:?}", self.kind);
            log::warn!(event = "objects_nameless", kind = kind, count = count; "");
        }
    }

    /// Takes changes that lead to the list as of `revision`.
    pub fn take_events(&mut self, events: Vec<StoreEvent>, revision: u64) {
        if self.kind == Kind::Evacuations && !events.is_empty() {
            self.apply_evacuations(&events, revision);
            return;
        }
        for event in events {
            match self.kind {
                Kind::Config if !event.removed => self.node.adopt(&event.object, "store"),
                Kind::Upstreams => self.take_upstream(&event),
                Kind::Config | Kind::Evacuations | Kind::Entries => {}
            }
        }
    }

    /// Takes changes of the list of evacuations, which holds as of `revision` with them.
    fn apply_evacuations(&self, events: &[StoreEvent], revision: u64) {
        let held = self.node.pool.borrow().evacuations().clone();
        let changed = events.iter().fold(held, |list, event| {
            let evacuated = !event.removed && !event.object.deleting;
            list.with(event.object.name.clone(), evacuated)
        });
        let changed = Evacuations {
            revision,
            ..changed
        };
        self.node.apply_evacuations(changed, "store");
    }

    fn take_upstream(&mut self, event: &StoreEvent) {
        if !event.removed {
            self.take_record(&event.object);
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
        node.take_changes(change, "store");
    }
}

/// Takes what another entry knows of upstreams; what its whole list lacks is gone if it is sure.
///
/// What it doubts stays here as it is: it tells once it has decided.
pub fn take_told(node: &Node, state: PeerState) {
    let now = node.now();
    if !state.is_whole {
        let records = state.upstreams.into_iter().map(ListChange::Listed);
        let removed = state.removed.into_iter();
        let removed =
            removed.map(|(instance, revision)| ListChange::Removed { instance, revision });
        for change in records.chain(removed) {
            let taken = node.pool.borrow_mut().apply_change(now, change);
            node.take_changes(taken, "peer");
        }
        for (instance, revision) in state.leaving {
            let mut pool = node.pool.borrow_mut();
            let change = pool.mark_leaving(now, &instance, revision);
            drop(pool);
            node.take_changes(change, "peer");
        }
        return;
    }
    if state.sure {
        let mut pool = node.pool.borrow_mut();
        let changes = pool.remove_unlisted(now, &state.upstreams, state.revision);
        drop(pool);
        node.take_changes(changes, "peer");
    }
    for record in state.upstreams {
        let change = node.pool.borrow_mut().upsert(now, record);
        node.take_changes(change, "peer");
    }
    node.has_whole_list.set(true);
    // Others may fetch it here from now on.
    node.urgent.notify_one();
}
