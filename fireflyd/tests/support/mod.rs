//! A fleet of separate processes on loopback, for tests that kill them, freeze
//! them or cut their connections.

#![allow(
    dead_code,
    unused_imports,
    unreachable_pub,
    reason = "each test file uses a part"
)]

mod doors;
mod engines;
mod fleet;
mod link;
mod old_caller;
mod process;
mod wait;

pub use doors::Doors;
pub use fleet::{Fleet, Node, Spec, StandIn};
pub use link::{Link, linked_fleet};
pub use old_caller::{chat_as_http_1_0, send_as_http_1_0};
pub use process::{Process, run};
pub use wait::{WAIT_TIMEOUT, until, within};

/// Keys of the sample inventory.
pub const COUNTER: &str = "demo-key-1";
pub const DOSSIERS: &str = "demo-key-2";
pub const LOGS: &str = "demo-key-4";
pub const GRADES: &str = "demo-key-5";

/// Defines a test for each case name, which awaits the given check.
#[macro_export]
macro_rules! cases {
    ($($name:ident => $check:ident($($arg:expr),* $(,)?);)*) => {
        mod cases {
            #[allow(unused_imports, reason = "some cases have no arguments")]
            use super::*;

            $(
                #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
                async fn $name() {
                    super::$check($($arg),*).await;
                }
            )*
        }
    };
}
