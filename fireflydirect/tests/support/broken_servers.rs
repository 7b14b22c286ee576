//! Upstreams in trouble before the real ones of a site.

// Each test file uses a different part of it.
#![allow(dead_code)]

use crate::support::Site;
use serde_json::json;
use standins::site::{BrokenAnswer, BrokenServer};
use std::net::SocketAddr;

/// Puts a server in trouble before each upstream of a service, and starts the entries.
pub(crate) async fn start_site(models: bool, answer: &BrokenAnswer) -> (Site, Vec<BrokenServer>) {
    let mut site = Site::without_entries().await;
    let servers = break_upstreams(&site, models, answer);
    site.limits = Some((MEMORY_MB, MAX_FDS));
    site.start_entries(1).await;
    (site, servers)
}

/// Memory of the VM, in MB, and its descriptors.
pub(crate) const MEMORY_MB: u64 = 64;
pub(crate) const MAX_FDS: usize = 2_000;

/// Registers upstreams of a service behind servers in trouble.
pub(crate) fn break_upstreams(
    site: &Site,
    models: bool,
    answer: &BrokenAnswer,
) -> Vec<BrokenServer> {
    let (upstreams, service) = if models {
        (&site.engines, "models")
    } else {
        (&site.plains, "records")
    };
    let broken = upstreams.iter().map(|upstream| {
        let addr = SocketAddr::from((upstream.addr().ip(), 0));
        let server = BrokenServer::start(addr, upstream.addr(), answer.clone()).unwrap();
        upstream.set_advertised_addr(server.addr());
        let mut record = upstream.registration(service, "ready");
        record["address"] = json!(server.addr().to_string());
        site.store.put("servers", &upstream.instance(), &record);
        server
    });
    broken.collect()
}

/// Puts a server before the store, which breaks nothing so far, and starts the entry again.
pub(crate) async fn break_store(site: &mut Site) -> BrokenServer {
    let addr = SocketAddr::from((site.store.addr().ip(), 0));
    let server = BrokenServer::start(addr, site.store.addr(), intact()).unwrap();
    let known_at = json!(server.addr().to_string());
    site.entries[0].restart_with("/platform/address", known_at);
    site.until_ready(0).await;
    server
}

/// Returns the address at which an entry answers others.
pub(crate) fn peer_addr(site: &Site, entry: usize) -> SocketAddr {
    let settings = std::fs::read(site.entries[entry].settings_path()).unwrap();
    let settings: serde_json::Value = serde_json::from_slice(&settings).unwrap();
    let port = settings["internal_port_range"][0].as_u64().unwrap();
    SocketAddr::from((site.entries[entry].ip, u16::try_from(port).unwrap()))
}

/// Returns what breaks no answer.
pub(crate) fn intact() -> BrokenAnswer {
    BrokenAnswer {
        path: "/none",
        ..BrokenAnswer::default()
    }
}

/// Returns the number of broken answers that servers have begun.
pub(crate) fn answered(servers: &[BrokenServer]) -> usize {
    servers.iter().map(BrokenServer::answered).sum()
}
