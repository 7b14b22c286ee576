//! An entry process.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use super::ports::ReservedPorts;
use serde_json::Value;
use tokio::net::TcpSocket;

/// An entry process.
pub(crate) struct Entry {
    /// Address of its VM.
    pub(crate) ip: Ipv4Addr,
    pub(super) callers: SocketAddr,
    pub(super) readiness: SocketAddr,
    pub(super) operators: SocketAddr,
    /// Address of the store as it reaches it.
    pub(super) store: SocketAddr,
    pub(super) settings: PathBuf,
    pub(super) log: PathBuf,
    /// Mechanisms that are off, as in the settings.
    pub(super) without: &'static str,
    pub(super) child: Option<Child>,
    pub(super) _ports: ReservedPorts<3>,
    pub(super) _peer_port: TcpSocket,
}

impl Entry {
    /// Starts the process, appending its output to the log.
    pub(crate) fn start(&mut self) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_fireflydirect"));
        if !self.without.is_empty() {
            command.env("FIREFLYDIRECT_WITHOUT", self.without);
        }
        let child = command
            .env("FIREFLYCROFT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Starts it again with another value in its settings.
    pub(crate) fn restart_with(&mut self, pointer: &str, value: Value) {
        self.kill();
        let settings = fs::read(&self.settings).unwrap();
        let mut settings: Value = serde_json::from_slice(&settings).unwrap();
        *settings.pointer_mut(pointer).unwrap() = value;
        fs::write(&self.settings, settings.to_string()).unwrap();
        self.start();
    }

    /// Returns the path of its settings.
    pub(crate) fn settings_path(&self) -> &Path {
        &self.settings
    }

    /// Returns the id of the process.
    pub(crate) fn id(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends the process a signal.
    pub(crate) fn signal(&self, name: &str) {
        signal_all(std::slice::from_ref(self), name);
    }

    /// Returns whether the process is running.
    pub(crate) fn is_running(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .is_none_or(|c| !matches!(c.try_wait(), Ok(None)));
        if ended {
            self.child = None;
        }
        !ended
    }

    /// Restarts the process if it has exited.
    pub(crate) fn restart_if_ended(&mut self) {
        if !self.is_running() {
            self.start();
        }
    }

    /// Waits for the process to exit successfully.
    pub(crate) async fn wait_for_exit(&mut self) {
        let mut child = self.child.take().unwrap();
        let status = tokio::task::spawn_blocking(move || child.wait()).await;
        assert!(status.unwrap().unwrap().success());
    }
}

/// Sends processes a signal at one moment.
pub(crate) fn signal_all(entries: &[Entry], name: &str) {
    let ids = entries.iter().map(|e| e.child.as_ref().unwrap().id());
    let ids = ids.map(|id| id.to_string());
    let sent = Command::new("kill").args(["-s", name]).args(ids).status();
    assert!(sent.unwrap().success());
}
