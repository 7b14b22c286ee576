//! Queries to the owners of upstreams for their load, before a choice among them.

use crate::node::Node;
use crate::owner_queries;
use fireflycroft::{
    Mechanism, Name, Need, OwnedKey, OwnerQueryBody, UpstreamIncarnation, UpstreamIx,
};
use std::collections::HashMap;
use std::net::Ipv4Addr;

/// Queries the load of the upstreams considered in a choice for `need`.
///
/// Plain calls take no memory and end soon; for them this entry's own view is sufficient.
pub async fn query(node: &Node, service: &Name, need: &Need, tried: &[UpstreamIx]) {
    if need.tokens == 0 || !node.policy.uses(Mechanism::Owners) {
        return;
    }
    let queries = queries(node, service, need, tried);
    node.query_budget.borrow_mut().record_sent(queries.len());
    let queries = queries.into_iter();
    owner_queries::query_owners(
        node,
        queries.map(|(owner, incarnations)| (owner, OwnerQueryBody::Loads(incarnations))),
    )
    .await;
}

/// Returns the upstreams to query, by owner.
fn queries(
    node: &Node,
    service: &Name,
    need: &Need,
    tried: &[UpstreamIx],
) -> HashMap<Ipv4Addr, Vec<UpstreamIncarnation>> {
    let now = node.now();
    let max_count = node.query_budget.borrow_mut().candidate_count(now);
    let pool = node.pool.borrow();
    let peers = node.peers.borrow();
    let mut queries: HashMap<Ipv4Addr, Vec<UpstreamIncarnation>> = HashMap::new();
    for ix in pool.upstreams_to_query(now, service, need, tried, max_count) {
        let incarnation = pool.record(ix).upstream_incarnation();
        let key = OwnedKey::of_upstream(&incarnation.instance);
        for owner in peers.other_owners(now, key) {
            queries.entry(owner).or_default().push(incarnation.clone());
        }
    }
    queries
}
