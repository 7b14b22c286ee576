//! A simulated fleet and the oracle that checks it.
//!
//! [`world::World`] runs real entries and agents in one process and in
//! virtual time. The network, the platform, the upstreams and the callers are
//! fakes, and the [`oracle::Oracle`] records every call, run and reply.

#![allow(dead_code, unused_macros)]

pub(crate) mod fleet;
pub(crate) mod link;
pub(crate) mod mutant;
pub(crate) mod op;
pub(crate) mod oracle;
pub(crate) mod platform;
pub(crate) mod rng;
pub(crate) mod scenario;
pub(crate) mod tally;
pub(crate) mod upstream;
pub(crate) mod world;

/// Defines one test per case; each ends with a check that the oracle found no violation.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($world:ident) $body:block)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut fleet = $crate::support::world::World::new(1, Default::default());
                let $world = &mut fleet;
                $body
                fleet.settle();
                assert!(fleet.violations().is_empty(), "{:#?}", fleet.violations());
            }
        )+
    };
}

#[allow(unused_imports)]
pub(crate) use cases;
