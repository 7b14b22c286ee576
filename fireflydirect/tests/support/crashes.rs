//! Sites with model engines for requests that crash them.

use super::{KEY, Site, until};

/// Starts a site with this number of model engines and of entries, each of which knows all others.
pub(crate) async fn site_of(engines: u8, entries: u8) -> Site {
    let mut site = Site::without_entries().await;
    for number in 2..engines {
        site.add_engine(number).await;
    }
    site.publish(&[KEY]);
    for entry in 0..entries {
        site.add_entry(entry + 1).await;
    }
    for entry in 0..usize::from(entries) {
        until_informed(&site, entry).await;
    }
    until_acquainted(&site, usize::from(entries)).await;
    site
}

/// Waits until an entry that has just started is ready and knows all upstreams.
pub(crate) async fn until_informed(site: &Site, entry: usize) {
    site.until_ready(entry).await;
    until("all upstreams", || async {
        let log = site.log(entry);
        let latest = log.rsplit("event=started").next().unwrap_or_default();
        let came = latest.matches("event=upstream_came").count();
        came >= site.engines.len() + site.plains.len()
    })
    .await;
}

/// Waits until each of the first entries knows the others.
pub(crate) async fn until_acquainted(site: &Site, entries: usize) {
    for entry in 0..entries {
        let others = format!("firefly_direct_peers {}", entries - 1);
        until("the other entries", || async {
            site.metrics(entry).await.contains(&others)
        })
        .await;
    }
}

/// Returns the log lines of an entry about requests that crash upstreams.
pub(crate) fn lines_about(site: &Site, entry: usize) -> String {
    const EVENTS: [&str; 7] = [
        "crash",
        "event=part_",
        "event=refused",
        "event=sent",
        "event=upstream_",
        "event=answered",
        "event=started",
    ];
    let log = site.log(entry);
    let lines = log.lines().filter(|l| EVENTS.iter().any(|e| l.contains(e)));
    lines.collect::<Vec<_>>().join("\n")
}
