//! Admin server, over loopback.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use fireflycroft::{
    ConfigBundle, ConfigTransfer, ConfigVersion, ConnectionLimits, Document, split,
};
use fireflyd::admin::{Admin, Readiness};
use fireflyd::metrics::Metrics;
use fireflyd::port_file::write_port_file;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

struct Served {
    url: String,
    admin: Admin,
    drains: Arc<AtomicUsize>,
    stop: oneshot::Sender<()>,
    task: tokio::task::JoinHandle<anyhow::Result<()>>,
}

async fn serve() -> Served {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let drains = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&drains);
    let admin = Admin {
        metrics: Metrics::new().unwrap(),
        readiness: Readiness::not_ready("no configuration yet"),
        status: Arc::new(|| json!({"role": "entry"})),
        explain: Arc::new(|id| json!([{"event": "seen", "request": id.to_string()}])),
        config: Arc::new(|| None),
        drain: Arc::new(move || {
            counted.fetch_add(1, Ordering::Relaxed);
        }),
    };
    let (stop, stopped) = oneshot::channel();
    let task = tokio::spawn(admin.clone().serve(listener, limits(), async move {
        let _ = stopped.await;
    }));
    Served {
        url,
        admin,
        drains,
        stop,
        task,
    }
}

async fn call(method: reqwest::Method, url: String) -> (u16, String) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let res = client.request(method, url).send().await.unwrap();
    (res.status().as_u16(), res.text().await.unwrap())
}

fn limits() -> ConnectionLimits {
    ConnectionLimits::for_pages(None, None)
}

macro_rules! call_cases {
    ($($name:ident: $method:ident $path:expr => $status:expr, $body:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let served = serve().await;
            let url = format!("{}{}", served.url, $path);
            let (status, body) = call(reqwest::Method::$method, url).await;
            assert_eq!(status, $status, "{body}");
            assert!(body.contains($body), "{body}");
        }
    )*};
}

call_cases! {
    a_process_is_live: GET "/health/live" => 200, "live";
    a_process_is_not_ready_at_first: GET "/health/ready" => 503, "no configuration yet";
    the_status_is_json: GET "/status" => 200, "{\"role\":\"entry\"}";
    no_configuration_is_not_found: GET "/config" => 404, "no configuration yet";
    metrics_are_text: GET "/metrics" => 200, "# TYPE firefly_streams_running gauge";
    a_drain_by_get_is_refused: GET "/drain" => 405, "";
    another_path_is_not_found: GET "/" => 404, "";
}

#[tokio::test]
async fn readiness_follows_the_process() {
    let served = serve().await;
    let ready = || call(reqwest::Method::GET, format!("{}/health/ready", served.url));
    served.admin.readiness.set_ready();
    assert_eq!(ready().await, (200, "ready\n".to_owned()));
    served.admin.readiness.set_not_ready("draining");
    assert_eq!(ready().await, (503, "draining\n".to_owned()));
}

#[tokio::test]
async fn the_configuration_is_shown_with_its_parts() {
    let snapshot = split(&Document::default()).unwrap();
    let head = snapshot.head(ConfigVersion(7), 0, "operator".into(), "token".into());
    let mut transfer = ConfigTransfer::default();
    transfer.install(head, snapshot.parts).unwrap();
    let mut admin = serve().await.admin;
    admin.config = Arc::new(move || transfer.bundle());
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let url = format!("http://{}/config", listener.local_addr().unwrap());
    let task = tokio::spawn(admin.serve(listener, limits(), std::future::pending()));
    let (status, body) = call(reqwest::Method::GET, url).await;
    let bundle: ConfigBundle = serde_json::from_str(&body).unwrap();
    assert_eq!((status, bundle.head.version), (200, 7));
    assert_eq!(bundle.document().unwrap(), Document::default());
    task.abort();
}

#[tokio::test]
async fn a_drain_is_passed_on() {
    let served = serve().await;
    let url = format!("{}/drain", served.url);
    assert_eq!(call(reqwest::Method::POST, url).await.0, 202);
    assert_eq!(served.drains.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn the_interface_stops_when_told() {
    let served = serve().await;
    served.stop.send(()).unwrap();
    served.task.await.unwrap().unwrap();
}

#[test]
fn a_port_file_holds_a_line_for_each_address() {
    let path = std::env::temp_dir().join(format!("firefly-ports-{}", std::process::id()));
    let bound = [
        ("mailbox", "127.0.0.1:1".parse().unwrap()),
        ("admin", "[::1]:2".parse().unwrap()),
    ];
    write_port_file(&path, bound).unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    assert_eq!(text, "mailbox=127.0.0.1:1\nadmin=[::1]:2\n");
    std::fs::remove_file(&path).unwrap();
}
