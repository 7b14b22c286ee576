//! Requests late in a planned stop: whatever comes until the end of the grace is answered whole or refused as not run, also on
//! kept connections, with slow bodies, and beside work that outlasts the grace.

mod support;

use std::time::Duration;

use reqwest::Client;
use serde_json::{Value, json};
use standins::caller::{Caller, Request, RequestOutcome};
use support::{COUNTER, DOSSIERS, Fleet, GRADES, Spec, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

crate::cases! {
    entry_stops_with_a_usual_grace => entry_stops("1200");
    entry_stops_with_a_short_grace => entry_stops("100");
    entry_stops_with_the_shortest_grace => entry_stops("1");
    agent_stops_with_a_usual_grace => agent_stops("1200");
    agent_stops_with_the_shortest_grace => agent_stops("1");
}

/// Outcomes of requests sent one after the other until the port is closed or the caller is told to end.
#[derive(Default)]
struct Pumped {
    served: usize,
    refused: usize,
    /// Marks of those that got no answer.
    cut: Vec<String>,
}

/// Sends requests to `url`, each as `work` makes its body.
fn pump(
    name: &'static str,
    url: String,
    keeps: bool,
    key: &'static str,
    work: fn(&str) -> String,
) -> JoinHandle<Pumped> {
    let idle = if keeps { 4 } else { 0 };
    let http = Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(idle)
        .build()
        .unwrap();
    tokio::spawn(async move {
        let mut pumped = Pumped::default();
        for n in 0.. {
            let mark = format!("{name}{n}");
            let call = http
                .post(&url)
                .bearer_auth(key)
                .header("idempotency-key", &mark);
            let sent = call.body(work(&mark)).send().await;
            match sent {
                Err(e) if e.is_connect() => break,
                Err(_) => pumped.cut.push(mark),
                Ok(res) if res.status() == 503 => {
                    assert!(res.headers().contains_key("retry-after"), "{res:?}");
                    let body: Value = res.json().await.unwrap();
                    assert_eq!(body["error"]["class"], "not_run", "{body}");
                    pumped.refused += 1;
                }
                Ok(res) => {
                    let status = res.status();
                    let text = res.text().await;
                    let text = text.unwrap_or_else(|e| panic!("{mark} was cut: {e}"));
                    let whole = status == 200 && !text.contains("event: error");
                    assert!(whole, "{mark}: {status} {text}");
                    pumped.served += 1;
                }
            }
            sleep(Duration::from_millis(5)).await;
        }
        pumped
    })
}

fn chat(mark: &str) -> String {
    let content = format!("[[mark={mark}]][[len=9]]");
    json!({"model": "model-a", "stream": true, "max_tokens": 10, "messages": [{"role": "user", "content": content}]}).to_string()
}

fn filing(mark: &str) -> String {
    format!("[[mark={mark}]]")
}

/// Begins a request whose body lacks its last byte, which is returned.
async fn begin_slow(fleet: &Fleet, mark: &str) -> (TcpStream, u8) {
    let body = chat(mark);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {COUNTER}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let (last, rest) = body.as_bytes().split_last().unwrap();
    let mut caller = TcpStream::connect(fleet.entries[0].callers.unwrap())
        .await
        .unwrap();
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(rest).await.unwrap();
    (caller, *last)
}

fn begin(caller: &Caller, request: Request) -> JoinHandle<RequestOutcome> {
    let caller = caller.clone();
    tokio::spawn(async move { caller.run(request, 0).await })
}

/// Starts a fleet where one engine runs one request at a time and calls take longer than most graces.
async fn start(grace: &'static str, engines: usize) -> Fleet {
    Fleet::start(Spec {
        engines,
        entries: 1,
        plain: true,
        plain_flags: vec!["--delay-ms", "1000"],
        daemon_flags: vec!["--drain-grace-ms", grace],
        ..Spec::default()
    })
    .await
}

fn pump_all(fleet: &Fleet) -> Vec<JoinHandle<Pumped>> {
    let chats = format!("{}/v1/chat/completions", fleet.entries[0].url());
    let filings = format!("{}/services/records/file", fleet.entries[0].url());
    vec![
        pump("kept", chats.clone(), true, COUNTER, chat),
        pump("new", chats, false, COUNTER, chat),
        pump("filing", filings.clone(), true, GRADES, filing),
        pump("new-filing", filings, false, GRADES, filing),
    ]
}

/// Fails if one that got no answer ran.
fn assert_none_cut_ran(fleet: &Fleet, all: &[Pumped]) {
    for mark in all.iter().flat_map(|p| &p.cut) {
        assert_eq!(fleet.runs().count(mark), 0, "{mark} ran and was cut");
    }
}

/// All that was taken ends whole, however long it lasts; what comes later is refused.
async fn entry_stops(grace: &'static str) {
    let mut fleet = start(grace, 1).await;
    let caller = fleet.caller();
    let mut running = JoinSet::new();
    for n in 0..3 {
        let call = begin(
            &caller,
            Request::stream(&format!("long{n}"), DOSSIERS, "model-a", 900),
        );
        running.spawn(async move { call.await.unwrap() });
        let call = Request::call(&format!("call{n}"), GRADES, "records", "/file");
        let call = begin(&caller, call.with_idempotency_key(&format!("call{n}")));
        running.spawn(async move { call.await.unwrap() });
    }
    until("they are known", || async {
        fleet.status(&fleet.entries[0]).await["streams"] == 6
    })
    .await;
    let (mut slow, last) = begin_slow(&fleet, "slow").await;
    let pumps = pump_all(&fleet);
    fleet.entries[0].process.terminate();
    until("it is leaving", || async {
        fleet.status(&fleet.entries[0]).await["leaving"] == true
    })
    .await;
    let all = running.join_all().await;
    // By now the grace is over, and the one with the slow body is still open.
    let _ = slow.write_all(&[last]).await;
    let mut answer = String::new();
    let _ = slow.read_to_string(&mut answer).await;
    let mut pumped = Vec::new();
    for pump in pumps {
        pumped.push(pump.await.unwrap());
    }
    assert!(fleet.entries[0].process.ended().await.success());
    assert!(
        all.iter().all(|g| g.is_complete() && g.attempts.len() == 1),
        "{all:#?}"
    );
    fleet.assert_guarantees(&all);
    assert!(
        answer.starts_with("HTTP/1.1 503 ") && answer.contains("retry-after: "),
        "{answer:?}"
    );
    assert_eq!(fleet.runs().count("slow"), 0);
    assert_none_cut_ran(&fleet, &pumped);
    assert!(pumped.iter().map(|p| p.refused).sum::<usize>() > 0);
    println!(
        "{:?}",
        pumped
            .iter()
            .map(|p| (p.served, p.refused, p.cut.len()))
            .collect::<Vec<_>>()
    );
}

/// Requests that its entry sends meanwhile are served by the other agent or refused.
async fn agent_stops(grace: &'static str) {
    let mut fleet = start(grace, 2).await;
    let pumps = pump_all(&fleet);
    until("requests are served", || {
        std::future::ready(fleet.runs().count("kept1") > 0)
    })
    .await;
    fleet.agents[0].process.terminate();
    assert!(fleet.agents[0].process.ended().await.success());
    fleet.entries[0].process.terminate();
    let mut pumped = Vec::new();
    for pump in pumps {
        pumped.push(pump.await.unwrap());
    }
    assert!(fleet.entries[0].process.ended().await.success());
    assert_none_cut_ran(&fleet, &pumped);
    assert!(pumped.iter().all(|p| p.served > 0));
    println!(
        "{:?}",
        pumped
            .iter()
            .map(|p| (p.served, p.refused, p.cut.len()))
            .collect::<Vec<_>>()
    );
}
