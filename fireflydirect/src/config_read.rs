//! Reading of a configuration from the store, for an entry that gets it from no peer.

use crate::client::Client;
use crate::links::CallResponse;
use crate::node::Node;
use crate::store_call::StoreCall;
use fireflycroft::HedgedCall;
use fireflycroft_platform::{
    Kind, StoreObject, config_path, config_replica_path, read_era, read_object,
};
use std::time::Duration;

/// Retries when no replica of the store has a first configuration yet.
const FIRST_CONFIG_RETRIES: u32 = 5;

/// Pause before each of these retries.
const FIRST_CONFIG_PAUSE: Duration = Duration::from_millis(600);

/// Time without progress after which reading a configuration is abandoned. When all entries read a
/// large one at once, its first byte comes after several hundred kilobytes on links of 10 Mbit/s;
/// with a shorter timeout it would be fetched from peers, whose links are as slow.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a configuration of at least this version from the store; returns true if it was found.
///
/// A replica of the store is read first, since that costs a tenth. The first configuration may
/// take seconds to reach it, and the entry can't serve before.
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

/// Reads the configuration once and adopts it; returns true if the store answered.
async fn read_config_once(node: &Node, call: StoreCall) -> bool {
    let mut client = Client::new(node.place.store.addr, node);
    let hedged_call = HedgedCall::single(CONFIG_TIMEOUT);
    let answer = client.get(&config_call(call), hedged_call, || ()).await;
    let metrics = &node.metrics;
    metrics.record_store_call(Kind::Config, call, answer.is_ok());
    let read = answer
        .map_err(|e| e.to_string())
        .and_then(|response| decode_object(&response));
    match &read {
        Ok(Some(object)) => {
            node.adopt_config(object, "store");
        }
        Ok(None) => {}
        Err(why) => log::warn!(event = "config_unread", call = call.label(), why = why; ""),
    }
    read.is_ok()
}

/// Returns the path of a call that reads the configuration.
pub(crate) fn config_call(call: StoreCall) -> String {
    match call {
        StoreCall::Replica => config_replica_path(),
        StoreCall::List | StoreCall::Trial | StoreCall::Watch => config_path(),
    }
}

/// Decodes the response to a call for one object.
pub(crate) fn decode_object(response: &CallResponse) -> Result<Option<StoreObject>, String> {
    let status = response.status;
    let object = read_object(status, &response.body).map_err(|e| format!("{status} {e:?}"))?;
    Ok(object.map(|o| o.in_era(read_era(&response.headers))))
}
