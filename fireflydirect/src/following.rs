//! Which kinds of objects an entry follows in the store by its role, and waits for changes of that.

use crate::node::Node;
use fireflycroft_platform::Kind;

/// Returns whether an entry is to follow a kind of object: evacuations while it is a primary
/// watcher, the configuration while it watches or tries to, upstreams once it watches.
pub(crate) fn should_follow(node: &Node, kind: Kind) -> bool {
    let role = node.watcher_role.borrow();
    match kind {
        Kind::Evacuations => role.is_primary(),
        Kind::Upstreams | Kind::Entries => role.is_watching() && !role.is_on_trial(),
        Kind::Config => role.is_watching(),
    }
}

/// Waits until an entry is to follow a kind of object.
pub(crate) async fn until_should_follow(node: &Node, kind: Kind) {
    while !should_follow(node, kind) {
        node.watcher_role_changed.notified().await;
    }
}

/// Waits until this entry is a primary watcher, on which the others rely for the store's state.
pub(crate) async fn until_primary(node: &Node) {
    while !node.watcher_role.borrow().is_primary() {
        node.watcher_role_changed.notified().await;
    }
}

/// Waits until the store answers this entry.
pub(crate) async fn until_store_responds(node: &Node) {
    while !node.store_responding.get() {
        node.store_state_changed.notified().await;
    }
}

/// Waits until the store ceases to answer this entry.
pub(crate) async fn until_store_silent(node: &Node) {
    while node.store_responding.get() {
        node.store_state_changed.notified().await;
    }
}
