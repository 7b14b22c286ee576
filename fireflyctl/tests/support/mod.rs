//! Shared by the tests: a platform, fake nodes and runs of the command line.

#![allow(dead_code, reason = "each test file uses a part")]

use poem::listener::TcpAcceptor;
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, IntoResponse, Response, Route, Server, get, handler, post};
use serde_json::{Value, json};
use standins::Running;
use standins::platform::{self, Config};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Exit status and output of a run.
#[derive(Debug)]
pub(crate) struct RunOutput {
    pub(crate) exit: u8,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl RunOutput {
    /// Checks the exit status.
    pub(crate) fn exits(self, exit: u8) -> Self {
        assert_eq!(self.exit, exit, "{}\n{}", self.out, self.err);
        self
    }

    /// Checks that standard output contains `text`.
    pub(crate) fn prints(self, text: &str) -> Self {
        assert!(
            self.out.contains(text),
            "no {text:?} in {}\n{}",
            self.out,
            self.err
        );
        self
    }

    /// Checks that standard error contains `text`.
    pub(crate) fn warns(self, text: &str) -> Self {
        assert!(
            self.err.contains(text),
            "no {text:?} in {}\n{}",
            self.err,
            self.out
        );
        self
    }
}

/// Runs the command line with these arguments.
pub(crate) async fn run(args: &[&str]) -> RunOutput {
    let mut full = vec!["fireflyctl".to_owned()];
    full.extend(args.iter().map(|arg| (*arg).to_owned()));
    let run = move || {
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let mut console = fireflyctl::Console {
            out: &mut out,
            err: &mut err,
        };
        let exit = fireflyctl::run(full, &mut console);
        RunOutput {
            exit,
            out: String::from_utf8(out).unwrap(),
            err: String::from_utf8(err).unwrap(),
        }
    };
    tokio::task::spawn_blocking(run).await.unwrap()
}

/// Returns the path of an example file.
pub(crate) fn example_path(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../examples").join(name).display().to_string()
}

/// Writes a file under a name that must be unique among the tests; returns its path.
pub(crate) fn write_file(name: &str, text: &str) -> String {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

/// Starts a platform.
pub(crate) async fn platform() -> Running {
    platform_with(&Config::default()).await
}

/// Starts a platform with these settings.
pub(crate) async fn platform_with(cfg: &Config) -> Running {
    platform::serve(cfg, bind_listener().await).unwrap()
}

/// Sets faults of a platform.
pub(crate) async fn set_faults(platform: &Running, faults: Value) {
    let url = format!("{}/standin/faults", platform.url());
    let res = reqwest::Client::new().post(url).json(&faults).send().await;
    assert!(res.unwrap().status().is_success());
}

/// Reads an object of a platform as JSON.
pub(crate) async fn read_object(platform: &Running, path: &str) -> Value {
    let url = format!("{}/v1/objects/{path}", platform.url());
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

async fn bind_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Answers of a fake node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answers {
    pub(crate) status: Value,
    /// Statuses of the first calls; `status` is used afterwards.
    pub(crate) statuses: Vec<Value>,
    pub(crate) config: Option<Value>,
    pub(crate) events: Value,
    /// Metrics of the next scrapes; the last one is repeated.
    pub(crate) metrics: Vec<String>,
    pub(crate) drained: bool,
}

/// Fake node with preset answers, served until it is dropped.
pub(crate) struct FakeNode {
    pub(crate) addr: String,
    answers: Arc<Mutex<Answers>>,
    server: JoinHandle<()>,
}

impl FakeNode {
    /// Starts a node on which `version` is active.
    pub(crate) async fn start(name: &str, version: u64) -> Self {
        let answers = Answers {
            status: json!({
                "name": name,
                "role": "entry",
                "data_centre": "dc-1",
                "config_version": version,
                "streams": 2,
                "queue": 1,
                "leaving": false,
            }),
            events: json!([]),
            ..Answers::default()
        };
        let answers = Arc::new(Mutex::new(answers));
        let listener = bind_listener().await;
        let addr = listener.local_addr().unwrap().to_string();
        let acceptor = TcpAcceptor::from_tokio(listener).unwrap();
        let routes = Route::new()
            .at("/status", get(status))
            .at("/health/ready", get(ready))
            .at("/config", get(config))
            .at("/explain/:id", get(explain))
            .at("/metrics", get(metrics))
            .at("/drain", post(drain))
            .data(answers.clone());
        let server = Server::new_with_acceptor(acceptor).run(routes);
        Self {
            addr,
            answers,
            server: tokio::spawn(async {
                let _ = server.await;
            }),
        }
    }

    /// Changes the node's answers.
    pub(crate) fn update_answers(&self, change: impl FnOnce(&mut Answers)) {
        change(&mut self.answers.lock().unwrap());
    }

    /// Returns whether the node was told to drain.
    pub(crate) fn was_drained(&self) -> bool {
        self.answers.lock().unwrap().drained
    }
}

impl Drop for FakeNode {
    fn drop(&mut self) {
        self.server.abort();
    }
}

type SharedAnswers = Arc<Mutex<Answers>>;

#[handler]
fn status(Data(answers): Data<&SharedAnswers>) -> Json<Value> {
    let mut answers = answers.lock().unwrap();
    if answers.statuses.is_empty() {
        return Json(answers.status.clone());
    }
    Json(answers.statuses.remove(0))
}

#[handler]
fn ready() -> &'static str {
    "ready\n"
}

#[handler]
fn config(Data(answers): Data<&SharedAnswers>) -> Response {
    match answers.lock().unwrap().config.clone() {
        Some(config) => Json(config).into_response(),
        None => poem::http::StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
fn explain(Path(_): Path<String>, Data(answers): Data<&SharedAnswers>) -> Json<Value> {
    Json(answers.lock().unwrap().events.clone())
}

#[handler]
fn metrics(Data(answers): Data<&SharedAnswers>) -> String {
    let metrics = &mut answers.lock().unwrap().metrics;
    match metrics.len() {
        0 => String::new(),
        1 => metrics[0].clone(),
        _ => metrics.remove(0),
    }
}

#[handler]
fn drain(Data(answers): Data<&SharedAnswers>) -> Response {
    let mut answers = answers.lock().unwrap();
    answers.drained = true;
    answers.status["leaving"] = true.into();
    answers.status["streams"] = 0.into();
    answers.status["queue"] = 0.into();
    poem::http::StatusCode::ACCEPTED.into_response()
}
