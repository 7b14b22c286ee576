//! Reloading of the settings file, on SIGHUP or when its content has changed.

use crate::node::Node;
use crate::settings::Settings;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Interval between two checks of the file's content.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the file for as long as the process lives; an invalid file changes nothing.
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
            () = tokio::time::sleep(CHECK_INTERVAL) => false,
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
            node.peers.borrow_mut().set_seeds(&place);
            node.announce_now.notify_one();
            let mut budget = node.retry_budget.borrow_mut();
            budget.set_limits(place.bounds.retry_limits);
        }
        Err(e) => {
            let why = format!("{e:#}");
            log::error!(event = "reload_refused", signalled = signalled, why = why; "");
        }
    }
}
