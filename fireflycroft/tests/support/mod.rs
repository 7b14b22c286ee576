//! Fakes at the interfaces of the core, and the oracle that watches them.
//!
//! [`world::World`] holds real entries and agents in one process and drives
//! them in virtual time. The network, the platform, the upstreams and the
//! callers are fakes; every one of them reports to the [`oracle::Oracle`].

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

/// Names each case; the oracle is asked at its end.
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
