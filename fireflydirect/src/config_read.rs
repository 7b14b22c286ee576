//! Reading one configuration from the store, for an entry that nobody could hand it.

use crate::client::Client;
use crate::feed::decode_page;
use crate::node::Node;
use crate::store_call::{StoreCall, page_path};
use fireflycroft::HedgedCall;
use fireflycroft_platform::Kind;
use std::time::Duration;

/// Further looks for the first configuration of all in copies of the store.
const FIRST_CONFIG_RETRIES: u32 = 5;

/// Pause before each of them.
const FIRST_CONFIG_PAUSE: Duration = Duration::from_millis(600);

/// The same of a large configuration that all entries read at once: several hundred kilobytes wait
/// before the first byte on links of 10 Mbit/s. Given up too soon, it is fetched from peers, whose
/// links are as narrow.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a configuration of this version or a later one from the store; true when it was read.
///
/// Any copy of the store may have it by now, at a tenth of the price. The first configuration of all
/// may take some seconds to be there, and nobody waits for it.
pub(crate) async fn read_config(node: &Node, version: u64) -> bool {
    let mut responded = read_config_once(node, StoreCall::Replica).await;
    for _ in 0..FIRST_CONFIG_RETRIES {
        if !responded || node.config_version() > 0 {
            break;
        }
        tokio::time::sleep(FIRST_CONFIG_PAUSE).await;
        responded = read_config_once(node, StoreCall::Replica).await;
    }
    if responded && node.config_version() < version {
        read_config_once(node, StoreCall::List).await;
    }
    node.config_version() >= version
}

/// Reads the configuration once; true when the store answered.
async fn read_config_once(node: &Node, call: StoreCall) -> bool {
    let mut client = Client::new(node.place.store.addr, node.clock);
    let path = page_path(call, Kind::Config, None);
    let hedged_call = HedgedCall::single(CONFIG_TIMEOUT);
    let answer = client.get(&path, hedged_call, || ()).await;
    let metrics = &node.metrics;
    metrics.record_store_call(Kind::Config, call, answer.is_ok());
    let page = answer
        .map_err(|e| e.to_string())
        .and_then(|responded| decode_page(&responded));
    match &page {
        Ok(page) => page
            .objects
            .iter()
            .for_each(|o| node.adopt_config(o, "store")),
        Err(why) => log::warn!(event = "config_unread", call = call.label(), why = why; ""),
    }
    page.is_ok()
}
