//! Accounts of callers' connections, and the guards that reserve memory on them.
//!
//! [`ConnectionTable`] decides who gives way; this module tells the connections.

use bytes::Bytes;
use fireflycroft::{
    ConnectionId, ConnectionLimits, ConnectionTable, Eviction, Phase, Purpose, Time,
};
use std::collections::HashMap;
use std::fmt;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;
use tokio::time::Instant;

/// What a connection gave way for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Another connection needed the memory.
    Memory,
    /// A new connection needed the descriptor.
    Descriptors,
}

impl Shortage {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
        }
    }
}

/// What the connections of one server hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Open connections.
    pub connections: usize,
    /// Reserved memory in bytes.
    pub memory: u64,
}

/// Callers' connections of one server; clones share them.
#[derive(Clone)]
pub struct Callers {
    shared: Arc<Shared>,
}

struct Shared {
    server: &'static str,
    start: Instant,
    state: Mutex<State>,
    on_shortage: Box<dyn Fn(Shortage) + Send + Sync>,
}

struct State {
    table: ConnectionTable,
    accounts: HashMap<ConnectionId, Weak<AccountInner>>,
    by_peer: HashMap<SocketAddr, ConnectionId>,
}

/// Account of one connection; the connection counts as open until all clones are dropped.
#[derive(Clone)]
pub struct Account {
    inner: Arc<AccountInner>,
}

struct AccountInner {
    shared: Arc<Shared>,
    id: ConnectionId,
    peer: SocketAddr,
    calls_begun: AtomicU64,
    calls_ended: AtomicU64,
    /// Bodies that are arriving: several where a connection carries several requests at once.
    bodies: AtomicU64,
    has_to_close: AtomicBool,
    has_to_refuse: AtomicBool,
    refusal: Notify,
    /// Task that reads from and writes to the connection.
    task: Mutex<Option<Waker>>,
}

/// Bytes reserved on an account until dropped.
#[derive(Debug)]
pub struct Charge {
    account: Account,
    bytes: u64,
}

/// Guard of a request that is being served.
#[derive(Debug)]
pub struct CallGuard {
    account: Account,
}

/// Bytes with the reservation of their memory.
struct HeldBytes {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Callers {
    /// Creates the accounts of a server, which `server` names in the log; `on_shortage` counts what gives way.
    #[must_use]
    pub fn new(
        server: &'static str,
        limits: ConnectionLimits,
        on_shortage: impl Fn(Shortage) + Send + Sync + 'static,
    ) -> Self {
        let state = State {
            table: ConnectionTable::new(limits),
            accounts: HashMap::new(),
            by_peer: HashMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                server,
                start: Instant::now(),
                state: Mutex::new(state),
                on_shortage: Box::new(on_shortage),
            }),
        }
    }

    /// Opens the account of a new connection; `None` if there is no room for it.
    #[must_use]
    pub fn open(&self, peer: SocketAddr) -> Option<Account> {
        let shared = &self.shared;
        let mut state = lock(&shared.state);
        let opening = state.table.open(shared.now());
        let account = opening.id.map(|id| {
            let inner = Arc::new(AccountInner::new(shared.clone(), id, peer));
            state.accounts.insert(id, Arc::downgrade(&inner));
            state.by_peer.insert(peer, id);
            Account { inner }
        });
        let usage = state.usage();
        drop(state);
        shared.carry_out(&opening.evictions, Shortage::Descriptors);
        if account.is_none() {
            (shared.on_shortage)(Shortage::Descriptors);
            log::warn!(
                event = "connection_refused", server = shared.server, peer:% = peer,
                connections = usage.connections, memory = usage.memory;
                ""
            );
        }
        account
    }

    /// Returns the account of the connection with a peer.
    #[must_use]
    pub fn account_of(&self, peer: SocketAddr) -> Option<Account> {
        let state = lock(&self.shared.state);
        let id = state.by_peer.get(&peer)?;
        let inner = state.accounts.get(id)?.upgrade()?;
        drop(state);
        Some(Account { inner })
    }

    /// Returns what the connections hold.
    #[must_use]
    pub fn usage(&self) -> Usage {
        lock(&self.shared.state).usage()
    }
}

impl fmt::Debug for Callers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Callers").field(&self.usage()).finish()
    }
}

impl State {
    fn usage(&self) -> Usage {
        Usage {
            connections: self.table.count(),
            memory: self.table.held(),
        }
    }
}

impl Shared {
    fn now(&self) -> Time {
        let micros = self.start.elapsed().as_micros();
        Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Tells connections to give way: a request whose body is arriving is refused for its memory, all else is closed.
    fn carry_out(&self, evictions: &[Eviction], shortage: Shortage) {
        for eviction in evictions {
            let account = lock(&self.state).accounts.get(&eviction.id).cloned();
            let Some(account) = account.and_then(|a| a.upgrade()) else {
                continue;
            };
            let refuses = eviction.phase == Phase::Body && shortage == Shortage::Memory;
            (self.on_shortage)(shortage);
            log::warn!(
                event = "connection_evicted", server = self.server, peer:% = account.peer,
                shortage = shortage.name(), phase:? = eviction.phase,
                bytes = eviction.bytes, age_ms:% = eviction.age.as_millis(), answered = refuses;
                ""
            );
            if refuses {
                account.refuse();
            } else {
                account.close();
            }
        }
    }
}

impl AccountInner {
    fn new(shared: Arc<Shared>, id: ConnectionId, peer: SocketAddr) -> Self {
        Self {
            shared,
            id,
            peer,
            calls_begun: AtomicU64::new(0),
            calls_ended: AtomicU64::new(0),
            bodies: AtomicU64::new(0),
            has_to_close: AtomicBool::new(false),
            has_to_refuse: AtomicBool::new(false),
            refusal: Notify::new(),
            task: Mutex::new(None),
        }
    }

    fn refuse(&self) {
        self.has_to_refuse.store(true, Ordering::Release);
        self.refusal.notify_waiters();
    }

    fn close(&self) {
        self.has_to_close.store(true, Ordering::Release);
        if let Some(task) = lock(&self.task).take() {
            task.wake();
        }
    }
}

impl Drop for AccountInner {
    fn drop(&mut self) {
        let mut state = lock(&self.shared.state);
        state.table.close(self.id);
        state.accounts.remove(&self.id);
        if state.by_peer.get(&self.peer) == Some(&self.id) {
            state.by_peer.remove(&self.peer);
        }
    }
}

impl Account {
    /// Reserves memory; `None` if others hold it with more right.
    #[must_use]
    pub fn reserve(&self, bytes: u64, purpose: Purpose) -> Option<Charge> {
        let mut charge = Charge {
            account: self.clone(),
            bytes: 0,
        };
        charge.grow(bytes, purpose).then_some(charge)
    }

    /// Marks the beginning of a request's service.
    #[must_use]
    pub fn begin_call(&self) -> CallGuard {
        self.inner.calls_begun.fetch_add(1, Ordering::Relaxed);
        if self.inner.bodies.load(Ordering::Acquire) == 0 {
            self.set_phase(Phase::Busy);
        }
        CallGuard {
            account: self.clone(),
        }
    }

    /// Returns the address of the caller.
    pub(crate) fn peer(&self) -> SocketAddr {
        self.inner.peer
    }

    /// Returns how many requests have begun on the connection.
    pub(crate) fn calls_begun(&self) -> u64 {
        self.inner.calls_begun.load(Ordering::Relaxed)
    }

    /// Returns whether a request is being served.
    pub(crate) fn is_serving(&self) -> bool {
        self.calls_begun() > self.inner.calls_ended.load(Ordering::Relaxed)
    }

    /// Records what the connection does from now on.
    pub fn set_phase(&self, phase: Phase) {
        let now = self.inner.shared.now();
        let mut state = lock(&self.inner.shared.state);
        state.table.set_phase(now, self.inner.id, phase);
    }

    pub(crate) fn set_blocked(&self, is_blocked: bool) {
        let now = self.inner.shared.now();
        let mut state = lock(&self.inner.shared.state);
        state.table.set_blocked(now, self.inner.id, is_blocked);
    }

    /// Returns whether the connection has to be closed; if not, the task is woken once it has.
    pub(crate) fn poll_has_to_close(&self, cx: &Context<'_>) -> bool {
        let has_to_close = || self.inner.has_to_close.load(Ordering::Acquire);
        if has_to_close() {
            return true;
        }
        let mut task = lock(&self.inner.task);
        if !task.as_ref().is_some_and(|t| t.will_wake(cx.waker())) {
            *task = Some(cx.waker().clone());
        }
        drop(task);
        has_to_close()
    }

    /// Waits until the connection has to be closed; one task of a connection may do so.
    pub async fn until_closed(&self) {
        poll_fn(|cx| {
            if self.poll_has_to_close(cx) {
                return Poll::Ready(());
            }
            Poll::Pending
        })
        .await;
    }

    /// Waits until requests whose bodies are arriving have to be refused.
    pub(crate) async fn until_refused(&self) {
        let mut refusal = pin!(self.inner.refusal.notified());
        refusal.as_mut().enable();
        if !self.inner.has_to_refuse.load(Ordering::Acquire) {
            refusal.await;
        }
    }

    /// Records that a body begins to arrive.
    pub(crate) fn begin_body(&self) {
        self.inner.bodies.fetch_add(1, Ordering::AcqRel);
        self.set_phase(Phase::Body);
    }

    /// Records that a body arrives no longer; after the last, a connection that was refused counts again.
    pub(crate) fn end_body(&self) {
        if self.inner.bodies.fetch_sub(1, Ordering::AcqRel) > 1 {
            return;
        }
        if self.inner.has_to_refuse.swap(false, Ordering::AcqRel) {
            lock(&self.inner.shared.state).table.readmit(self.inner.id);
        }
        self.set_phase(Phase::Busy);
    }
}

impl fmt::Debug for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Account").field(&self.inner.id).finish()
    }
}

impl Charge {
    /// Returns the reserved bytes.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Reserves further bytes; returns false if others hold them with more right.
    #[must_use]
    pub fn grow(&mut self, bytes: u64, purpose: Purpose) -> bool {
        let inner = &self.account.inner;
        let shared = &inner.shared;
        let reservation = lock(&shared.state)
            .table
            .reserve(shared.now(), inner.id, bytes, purpose);
        shared.carry_out(&reservation.evictions, Shortage::Memory);
        if reservation.is_granted {
            self.bytes += bytes;
        }
        reservation.is_granted
    }

    /// Keeps the reservation until the last of `bytes` is dropped.
    #[must_use]
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _charge: self,
        })
    }

    /// Returns all but `bytes`.
    pub fn shrink_to(&mut self, bytes: u64) {
        let returned = self.bytes.saturating_sub(bytes);
        let inner = &self.account.inner;
        let mut state = lock(&inner.shared.state);
        state.table.release(inner.id, returned);
        self.bytes -= returned;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.account
            .inner
            .calls_ended
            .fetch_add(1, Ordering::Relaxed);
        if !self.account.is_serving() {
            self.account.set_phase(Phase::Idle);
        }
    }
}
