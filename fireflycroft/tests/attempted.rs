//! Upstreams to which a request may be sent, after those that it was sent to.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{
    AttemptedUpstreams, Incarnation, Name, Pool, Time, UpstreamIx, UpstreamRecord, UpstreamState,
};
use std::time::Duration;

/// Upstreams that one request may be sent to.
const MOST: u32 = 2;

cases! {
    first_upstreams_are_allowed => assert!(after(&[1], &[]).allows_another(MOST));
    no_more_than_the_limit_is_allowed => assert!(!after(&[1, 2], &[]).allows_another(MOST));
    same_upstream_counts_once => assert!(after(&[1, 1], &[]).allows_another(MOST));
    lost_upstream_does_not_count => assert!(after(&[1, 2], &[1]).allows_another(MOST));
    limit_holds_after_lost_ones => assert!(!after(&[1, 2, 3], &[2]).allows_another(MOST));
}

/// Returns the indices of four upstreams.
fn upstreams() -> Vec<UpstreamIx> {
    let mut pool = Pool::new(Name::from("a"));
    for number in 0..4 {
        let record = UpstreamRecord {
            instance: Name::from(format!("i-{number}")),
            incarnation: Incarnation::default(),
            service: Name::from("models"),
            addr: "127.0.0.1:80".parse().unwrap(),
            data_centre: Name::from("a"),
            software_version: None,
            slots: 8,
            state: UpstreamState::Serving,
            cold_for: Duration::ZERO,
            revision: number,
        };
        pool.upsert(Time::default(), record);
    }
    pool.indices()
}

/// Returns what is known after requests to some upstreams, of which some were lost.
fn after(sent: &[usize], lost: &[usize]) -> AttemptedUpstreams {
    let upstreams = upstreams();
    let mut attempted = AttemptedUpstreams::default();
    for number in sent {
        attempted.record_sent(upstreams[*number]);
    }
    for number in lost {
        attempted.record_lost(upstreams[*number]);
    }
    attempted
}
