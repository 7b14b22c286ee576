//! Reading the settings file again: on a signal, or when it has changed without one.

use crate::node::Node;
use crate::settings::Settings;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Time between two looks at the file.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Follows the file for as long as the process lives; a faulty file changes nothing.
pub async fn follow(node: Rc<Node>, settings: Settings) {
    let mut hang_up = match signal(SignalKind::hangup()) {
        Ok(signal) => signal,
        Err(e) => {
            log::error!(event = "no_reload_signal", error = e.to_string(); "");
            return;
        }
    };
    let mut text = std::fs::read(&settings.file).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            _ = hang_up.recv() => true,
            () = tokio::time::sleep(LOOK_EVERY) => false,
        };
        let now = std::fs::read(&settings.file).unwrap_or_default();
        if signalled || now != text {
            reload(&node, &settings, signalled);
        }
        text = now;
    }
}

fn reload(node: &Node, settings: &Settings, signalled: bool) {
    match settings.read_place() {
        Ok(place) => {
            log::info!(event = "reloaded", signalled = signalled; "");
            let mut budget = node.budget.borrow_mut();
            budget.set_limits(place.bounds.retry_limits);
        }
        Err(e) => {
            let why = format!("{e:#}");
            log::error!(event = "reload_refused", signalled = signalled, why = why; "");
        }
    }
}
