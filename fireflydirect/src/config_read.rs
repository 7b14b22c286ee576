//! Reading one configuration from the store, for an entry that nobody could hand it.

use crate::client::Client;
use crate::feed::decode_page;
use crate::node::Node;
use crate::store_call::{StoreCall, page_path};
use fireflycroft::HedgedCall;
use fireflycroft_platform::Kind;
use std::time::Duration;

/// Further looks for the first configuration of all in copies of the store.
const FIRST_CONFIG_LOOKS: u32 = 5;

/// Pause before each of them.
const FIRST_CONFIG_PAUSE: Duration = Duration::from_millis(600);

/// The same of a large configuration that all entries read at once: several hundred kilobytes wait
/// before the first byte on links of 10 Mbit/s. Given up too soon, it is fetched from peers, whose
/// links are as narrow.
const CONFIG_PATIENCE: Duration = Duration::from_secs(2);

/// Reads a configuration of this version or a later one from the store; true when it was read.
///
/// Any copy of the store may have it by now, at a tenth of the price. The first configuration of all
/// may take some seconds to be there, and nobody waits for it.
pub(crate) async fn read_config(node: &Node, version: u64) -> bool {
    let mut answered = read_config_by(node, StoreCall::Copy).await;
    for _ in 0..FIRST_CONFIG_LOOKS {
        if !answered || node.config_version() > 0 {
            break;
        }
        tokio::time::sleep(FIRST_CONFIG_PAUSE).await;
        answered = read_config_by(node, StoreCall::Copy).await;
    }
    if answered && node.config_version() < version {
        read_config_by(node, StoreCall::List).await;
    }
    node.config_version() >= version
}

/// Reads the configuration once; true when the store answered.
async fn read_config_by(node: &Node, call: StoreCall) -> bool {
    let mut client = Client::new(node.place.store.addr, node.clock);
    let path = page_path(call, Kind::Config, None);
    let overlap = HedgedCall::single(CONFIG_PATIENCE);
    let answer = client.get(&path, overlap, || ()).await;
    let metrics = &node.metrics;
    metrics.record_store_call(Kind::Config, call, answer.is_ok());
    let page = answer
        .map_err(|e| e.to_string())
        .and_then(|answered| decode_page(&answered));
    match &page {
        Ok(page) => page
            .objects
            .iter()
            .for_each(|o| node.adopt_config(o, "store")),
        Err(why) => log::warn!(event = "config_unread", call = call.word(), why = why; ""),
    }
    page.is_ok()
}
