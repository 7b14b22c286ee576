//! Source of a process's configuration: the platform or a peer.
//!
//! A few members watch the platform. The others learn of a new version from
//! the header of any message and pull it from the sender. A version read is
//! kept for peers and passed to the loop; lower versions are ignored.
//!
//! Versions are compiled on a dedicated thread: compiling a large inventory
//! takes tens of milliseconds and would delay streams, and on one thread the
//! allocator reuses the memory of the previous version.

use std::collections::HashMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fireflycroft::{
    CompleteConfig, Config, ConfigBundle, ConfigFault, ConfigTransfer, ConfigVersion, Digest,
    HEAD_KIND, HEAD_NAME, Head, Message, PART_KIND, Part, PartName, Progress, ReceivedPart,
};
use tokio::sync::watch;

use crate::outbox::Outbox;
use crate::platform::{PlatformClient, PlatformError};

/// Maximum duration of one watch. A platform restored to an older state counts
/// its revisions from there, so a watch from a later revision sees no changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed call, doubled up to the maximum.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Time in which a peer that handed on a faulty version is asked for none.
const FAULTY_PEER_PAUSE: Duration = Duration::from_secs(1);
/// Time between two reads by a member that does not watch.
const POLL_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two checks whether this member has become a watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Source of configurations; clones share their state.
#[derive(Clone)]
pub struct ConfigFeed {
    transfer: Arc<Mutex<ConfigTransfer>>,
    compiled: watch::Receiver<Option<Arc<Config>>>,
    to_compile: Sender<CompleteConfig>,
    watching: Arc<AtomicBool>,
    /// When peers last handed on what is no configuration.
    faulty_peers: Arc<Mutex<HashMap<SocketAddr, Instant>>>,
}

impl ConfigFeed {
    /// Creates a feed without a configuration, and the channel of its compiled configurations.
    #[must_use]
    pub fn new() -> (Self, watch::Receiver<Option<Arc<Config>>>) {
        let (tx, rx) = watch::channel(None);
        let (to_compile, queue) = channel();
        std::thread::spawn(move || compile_all(&queue, &tx));
        let feed = Self {
            transfer: Arc::default(),
            compiled: rx.clone(),
            to_compile,
            watching: Arc::new(AtomicBool::new(true)),
            faulty_peers: Arc::default(),
        };
        (feed, rx)
    }

    /// Sets whether this member watches the platform.
    pub fn set_watching(&self, watching: bool) {
        self.watching.store(watching, Ordering::Relaxed);
    }

    /// Returns whether this member watches the platform.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watching.load(Ordering::Relaxed)
    }

    /// Requests a version later than the current one from a peer, unless it handed on a faulty one just now.
    pub fn pull(&self, from: SocketAddr, out: &mut Outbox) {
        if self.faulty_peers().contains_key(&from) {
            return;
        }
        let transfer = self.transfer();
        out.push(
            from,
            Message::ConfigPull {
                have: transfer.version(),
                part: transfer.next_part(),
            },
        );
    }

    /// Answers a pull request or processes a received part.
    pub fn on_message(&self, from: SocketAddr, message: &Message, out: &mut Outbox) {
        match message {
            Message::ConfigPull { have, part } => {
                if let Some(answer) = self.transfer().serve(*have, *part) {
                    out.push(from, answer);
                }
            }
            Message::ConfigPart {
                version,
                part,
                parts,
                digest,
                data,
            } => {
                let received = ReceivedPart {
                    version: *version,
                    part: *part,
                    parts: *parts,
                    digest: *digest,
                    data: data.clone(),
                };
                self.on_part(from, &received, out);
            }
            _ => {}
        }
    }

    fn on_part(&self, from: SocketAddr, received: &ReceivedPart, out: &mut Outbox) {
        let mut transfer = self.transfer();
        let have = transfer.version();
        match transfer.on_part(received) {
            Progress::Next(part) => out.push(from, Message::ConfigPull { have, part }),
            Progress::Complete(complete) => {
                drop(transfer);
                log::info!(event = "config_pulled", version = complete.version().0, peer:% = from; "");
                self.submit(*complete);
            }
            Progress::Ignored => {}
            Progress::Invalid(e) => {
                transfer.abandon();
                self.faulty_peers().insert(from, Instant::now());
                log::warn!(event = "config_part_faulty", peer:% = from, cause:% = e; "");
            }
        }
    }

    /// Follows the platform's configuration; never returns.
    pub async fn follow(self, platform: PlatformClient) {
        let mut delay = MIN_RETRY_DELAY;
        let mut last_revision = None;
        let mut watched = None;
        loop {
            match self.poll(&platform).await {
                Ok(revision) => {
                    delay = MIN_RETRY_DELAY;
                    if last_revision.replace(revision) == Some(revision) {
                        // A stale read: a watch from this revision would return at once.
                        tokio::time::sleep(MIN_RETRY_DELAY).await;
                    } else {
                        watched = None;
                    }
                    let since = watched.unwrap_or(revision);
                    watched = self.wait_for_next_poll(&platform, since).await;
                }
                Err(e) => {
                    log::warn!(event = "config_read_failed", cause:% = e; "");
                    tokio::time::sleep(delay).await;
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    /// Waits until the next read: on a watch from `since` if this member is a watcher,
    /// otherwise for a fixed time. Returns the revision up to which the head is known to be unchanged.
    async fn wait_for_next_poll(&self, platform: &PlatformClient, since: u64) -> Option<u64> {
        if self.watching.load(Ordering::Relaxed) {
            return match platform.watch(HEAD_KIND, since, WATCH_TIMEOUT).await {
                Ok(seen) => {
                    let changed = seen.changes.iter().any(|c| &*c.name == HEAD_NAME);
                    (!changed).then_some(seen.revision)
                }
                Err(e) => {
                    log::warn!(event = "config_watch_failed", cause:% = e; "");
                    tokio::time::sleep(MIN_RETRY_DELAY).await;
                    None
                }
            };
        }
        let mut waited = Duration::ZERO;
        while waited < POLL_INTERVAL && !self.watching.load(Ordering::Relaxed) {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            waited += ROLE_CHECK_INTERVAL;
        }
        None
    }

    /// Reads the head and any new parts; returns the revision to watch from.
    async fn poll(&self, platform: &PlatformClient) -> Result<u64, PlatformError> {
        let object = match platform.get(HEAD_KIND, HEAD_NAME).await {
            Ok(object) => object,
            Err(PlatformError::NotFound) => return Ok(0),
            Err(e) => return Err(e),
        };
        let revision = object.version;
        let unreadable = |cause: &dyn Display| {
            let head = format!("{HEAD_KIND}/{HEAD_NAME} at revision {revision}: {cause}");
            PlatformError::Invalid(head)
        };
        let head: Head = serde_json::from_value(object.value).map_err(|e| unreadable(&e))?;
        let was = self.transfer().version();
        let version = head.config_version();
        if version > was {
            let parts = self.fetch(platform, &head).await?;
            let installed = self.transfer().install(head, parts);
            if let Some(complete) = installed.map_err(|e| unreadable(&e))? {
                log::info!(event = "config_adopted", source = "platform", version = version.0, was = was.0, revision = revision; "");
                self.submit(complete);
            }
        }
        Ok(revision)
    }

    /// Reads the parts that `head` lists.
    async fn fetch(
        &self,
        platform: &PlatformClient,
        head: &Head,
    ) -> Result<Vec<Part>, PlatformError> {
        let mut parts = Vec::with_capacity(head.parts.len());
        for name in &head.parts {
            let cached = self.transfer().part(name).cloned();
            let part = match cached {
                Some(part) => part,
                None => read_part(platform, *name).await?,
            };
            parts.push(part);
        }
        Ok(parts)
    }

    fn submit(&self, complete: CompleteConfig) {
        if self.to_compile.send(complete).is_err() {
            log::error!(event = "config_compiler_gone"; "");
        }
    }

    /// Returns the peers not to be asked at present.
    fn faulty_peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Instant>> {
        let peers = self.faulty_peers.lock();
        let mut peers = peers.unwrap_or_else(PoisonError::into_inner);
        peers.retain(|_, at| at.elapsed() < FAULTY_PEER_PAUSE);
        peers
    }

    fn transfer(&self) -> MutexGuard<'_, ConfigTransfer> {
        self.transfer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current version with all its parts, for operators.
    #[must_use]
    pub fn bundle(&self) -> Option<ConfigBundle> {
        self.transfer().bundle()
    }

    /// Returns the digest of the last compiled configuration.
    #[must_use]
    pub fn digest(&self) -> Option<Digest> {
        self.compiled.borrow().as_ref().map(|config| config.digest)
    }

    /// Returns the version available to peers.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.transfer().version()
    }
}

async fn read_part(platform: &PlatformClient, name: PartName) -> Result<Part, PlatformError> {
    let unreadable = |revision: u64, cause: &dyn Display| {
        let part = format!("{PART_KIND}/{name} at revision {revision}: {cause}");
        PlatformError::Invalid(part)
    };
    match platform.get(PART_KIND, &name.to_string()).await {
        Ok(object) => {
            Part::from_value(name, &object.value).map_err(|e| unreadable(object.version, &e))
        }
        Err(PlatformError::NotFound) => Err(unreadable(0, &PlatformError::NotFound)),
        Err(e) => Err(e),
    }
}

/// Compiles queued versions and publishes them to `tx` until the feed is dropped.
fn compile_all(queue: &Receiver<CompleteConfig>, tx: &watch::Sender<Option<Arc<Config>>>) {
    while let Ok(next) = queue.recv() {
        match next.compile() {
            Ok(config) => publish(tx, config),
            Err(faults) => log_faults(&next, &faults),
        }
    }
}

fn publish(tx: &watch::Sender<Option<Arc<Config>>>, config: Config) {
    tx.send_if_modified(|held| {
        let older = held.as_ref().is_some_and(|h| h.version >= config.version);
        if !older {
            *held = Some(Arc::new(config));
        }
        !older
    });
}

fn log_faults(complete: &CompleteConfig, faults: &[ConfigFault]) {
    let first = faults.first().map(|f| format!("{}: {}", f.field, f.text));
    let first = first.unwrap_or_default();
    log::error!(event = "config_faulty", version = complete.version().0, cause = first; "");
}
