//! Event loop of an entry, without a front end: what calls get that come as it ends.

use std::net::Ipv4Addr;
use std::time::Duration;

use fireflycroft::{
    CallId, Code, ConnectionLimits, EntryEvent, EntryLimits, EntrySetup, Reply, Role, RoutePolicy,
    Submission,
};
use fireflyd::admin::Readiness;
use fireflyd::config_feed::ConfigFeed;
use fireflyd::entry::{EntryInput, EntryLoop};
use fireflyd::frontend::FrontendEvent;
use fireflyd::grace_period::GracePeriod;
use fireflyd::journal::Journal;
use fireflyd::keyring::{KEY_LEN, KeyRing, SharedKeyRing};
use fireflyd::mailbox::{Limits, Mailbox};
use fireflyd::metrics::Metrics;
use fireflyd::node::{Identity, Node};
use fireflyd::platform::PlatformClient;
use fireflyd::request::parse_call;
use fireflyd::status::Status;
use poem::http::HeaderMap;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Entries that end, and callers who call each without pause meanwhile.
const ENTRIES: usize = 40;
const CALLERS: u64 = 6;
/// Time in which an entry refuses calls before it ends.
const GRACE: Duration = Duration::from_millis(20);

/// Returns an entry alone and the messages that reach it.
fn entry(tx: mpsc::Sender<EntryInput>) -> (EntryLoop, mpsc::Receiver<Vec<u8>>) {
    let metrics = Metrics::new().unwrap();
    let keys = SharedKeyRing::new(KeyRing::new([(1, [7; KEY_LEN])]).unwrap());
    let listen = (Ipv4Addr::LOCALHOST, 0).into();
    let strangers = metrics.accounts("mailbox", ConnectionLimits::for_pages(None, None));
    let opened = Mailbox::open(
        listen,
        keys,
        Limits::default(),
        metrics.mailbox.clone(),
        strangers,
    );
    let (mailbox, mail) = opened.unwrap();
    let identity = Identity {
        name: "entry-1".into(),
        data_centre: "dc1".into(),
        role: Role::Entry,
        serves: Vec::new(),
        seeds: Vec::new(),
    };
    let platform = PlatformClient::new("http://127.0.0.1:1", GRACE, metrics.clone()).unwrap();
    let journal = Journal::new("entry-1".into());
    let node = Node::new(identity, mailbox, metrics, journal, GracePeriod::new(GRACE));
    let setup = EntrySetup {
        data_centre: "dc1".into(),
        policy: RoutePolicy::Expected,
        seed: [1; 32],
        limits: EntryLimits::default(),
    };
    let (feed, ready) = (ConfigFeed::new().0, Readiness::not_ready("starting"));
    let entry = EntryLoop::new(setup, node, platform, feed, ready, Status::default(), tx);
    (entry, mail)
}

fn submission() -> Submission {
    let mut headers = HeaderMap::new();
    headers.insert("authorization", "Bearer key".parse().unwrap());
    parse_call(&headers, "POST", "records", "/file", Vec::new())
        .unwrap()
        .submission
}

/// Calls until the entry takes no more; returns whether each call that it took was refused as not run.
async fn call_until_closed(number: u64, calls: mpsc::Sender<FrontendEvent>) -> bool {
    let submission = submission();
    for n in 0.. {
        let id = CallId(n * CALLERS + number);
        let (replies, mut rx) = mpsc::unbounded_channel();
        if calls.send(FrontendEvent::Open(id, replies)).await.is_err() {
            return true;
        }
        let submit = EntryEvent::Submit(id, Box::new(submission.clone()));
        if calls.send(FrontendEvent::Event(submit)).await.is_err() {
            return true;
        }
        let reply = rx.recv().await;
        let refused = [Code::Leaving, Code::NotReady];
        if !matches!(reply, Some(Reply::Fail { code, .. }) if refused.contains(&code)) {
            return false;
        }
    }
    true
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn call_that_comes_as_the_entry_ends_is_refused_as_not_run() {
    for _ in 0..ENTRIES {
        let (tx, inputs) = mpsc::channel(4);
        let (entry, mail) = entry(tx.clone());
        let (calls_tx, calls) = mpsc::channel(64);
        let mut callers: JoinSet<bool> = (0..CALLERS)
            .map(|number| call_until_closed(number, calls_tx.clone()))
            .collect();
        tx.send(EntryInput::Leave).await.unwrap();
        tokio::spawn(entry.run(mail, calls, inputs)).await.unwrap();
        while let Some(refused) = callers.join_next().await {
            assert!(refused.unwrap(), "a call was taken and got no answer");
        }
    }
}
