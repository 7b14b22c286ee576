//! Tests of the stand-in plain service.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{get, json, listener, soon, until};
use reqwest::Client;
use serde_json::{Value, json as j};
use standins::plain::{self, Config, CrashPoint};
use standins::{RunLog, Running};

cases! {
    records_repeat => records_repeat();
    filing_counts => counts_up("/file", "filed");
    grading_counts => counts_up("/grade", "graded");
    other_paths_are_unknown => unknown_path();
    call_outlives_its_caller => call_outlives_its_caller();
    crash_before_effect => crash(CrashPoint::Before, 0);
    crash_after_effect => crash(CrashPoint::After, 1);
}

fn start(cfg: &Config, listener: tokio::net::TcpListener) -> Running {
    plain::serve(cfg.clone(), listener).unwrap()
}

fn logged_config() -> Config {
    Config {
        run_log: Arc::new(RunLog::memory()),
        ..Config::default()
    }
}

fn logged_calls(cfg: &Config) -> Vec<Value> {
    let events = cfg.run_log.events().into_iter();
    events.filter(|event| event["event"] == "ran").collect()
}

async fn records_repeat() {
    let running = start(&Config::default(), listener().await);
    let url = format!("{}/records/r7", running.url());
    let (status, first) = get(&url).await;
    assert_eq!((status, &first["id"]), (200, &j!("r7")));
    assert_eq!(get(&url).await.1, first);
}

async fn counts_up(path: &str, counter: &str) {
    let cfg = logged_config();
    let running = start(&cfg, listener().await);
    for number in 1..=3 {
        let body = format!("[[mark=m{number}]]");
        let req = Client::new().post(format!("{}{path}", running.url()));
        let req = req.header("x-request-id", "q").body(body.clone());
        let answer = json(req.send().await.unwrap()).await;
        assert_eq!(answer, (200, j!({ "number": number, "echo": body })));
    }
    let counts = get(format!("{}/standin/calls", running.url())).await.1;
    assert_eq!(counts[counter], 3);
    let third = logged_calls(&cfg).pop().unwrap();
    assert_eq!(third["mark"], "m3");
    assert_eq!(third["request_id"], "q");
}

async fn unknown_path() {
    let running = start(&Config::default(), listener().await);
    assert_eq!(get(format!("{}/other", running.url())).await.0, 404);
}

async fn call_outlives_its_caller() {
    let cfg = Config {
        delay: Duration::from_millis(50),
        ..logged_config()
    };
    let running = start(&cfg, listener().await);
    let stream = tokio::net::TcpStream::connect(running.addr())
        .await
        .unwrap();
    let req = b"POST /file HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\na";
    tokio::io::AsyncWriteExt::write_all(&mut { stream }, req)
        .await
        .unwrap();
    until(|| async { logged_calls(&cfg).len() == 1 }).await;
}

async fn crash(point: CrashPoint, runs: usize) {
    let cfg = Config {
        crash_on: Some(Arc::from("boom")),
        crash_point: point,
        ..logged_config()
    };
    let mut running = start(&cfg, listener().await);
    let req = Client::new().post(format!("{}/file", running.url()));
    assert!(soon(req.body("a boom").send()).await.is_err());
    soon(running.stopped()).await;
    assert_eq!(logged_calls(&cfg).len(), runs);
    assert!(reqwest::get(running.url()).await.is_err());
}
