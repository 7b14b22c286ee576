//! Asking the owners of upstreams for their load, before a choice among them.

use crate::node::Node;
use crate::questions;
use fireflycroft::{
    Mechanism, Name, Need, OwnedKey, OwnerQueryBody, UpstreamIncarnation, UpstreamIx,
};
use std::collections::HashMap;
use std::net::Ipv4Addr;

/// Asks for the load of the upstreams that a choice for `need` is to look at.
///
/// Plain calls take no memory and end soon; they go by what this entry sees itself.
pub async fn ask(node: &Node, service: &Name, need: &Need, tried: &[UpstreamIx]) {
    if need.tokens == 0 || !node.policy.uses(Mechanism::Owners) {
        return;
    }
    let queries = queries(node, service, need, tried);
    node.breadth.borrow_mut().record_sent(queries.len());
    let asks = queries.into_iter();
    questions::ask(
        node,
        asks.map(|(owner, lives)| (owner, OwnerQueryBody::Loads(lives))),
    )
    .await;
}

/// The upstreams to ask about, by owner.
fn queries(
    node: &Node,
    service: &Name,
    need: &Need,
    tried: &[UpstreamIx],
) -> HashMap<Ipv4Addr, Vec<UpstreamIncarnation>> {
    let now = node.now();
    let most = node.breadth.borrow_mut().candidate_count(now);
    let pool = node.pool.borrow();
    let peers = node.peers.borrow();
    let mut queries: HashMap<Ipv4Addr, Vec<UpstreamIncarnation>> = HashMap::new();
    for ix in pool.upstreams_to_query(now, service, need, tried, most) {
        let life = pool.record(ix).upstream_incarnation();
        let key = OwnedKey::of_upstream(&life.instance);
        for owner in peers.other_owners(now, key) {
            queries.entry(owner).or_default().push(life.clone());
        }
    }
    queries
}
