//! Platform client against a fake platform with scripted responses: results and errors of calls.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fireflycroft::{ConfigVersion, Digest, Document, Message, split};
use fireflyd::config_feed::ConfigFeed;
use fireflyd::metrics::Metrics;
use fireflyd::outbox::Outbox;
use fireflyd::platform::{Condition, MAX_VALUE_BYTES, PlatformClient, PlatformError, VmState};
use poem::listener::TcpAcceptor;
use poem::{Endpoint, Request, Response, Server};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Timeout of calls that should get a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of calls that should time out.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Request to the fake platform: method, path with query, condition header.
type RecordedRequest = (String, String, Option<String>);

/// Fake platform that returns the given responses in order.
struct FakePlatform {
    url: String,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct ScriptedEndpoint {
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
    answers: Mutex<VecDeque<Response>>,
}

impl Endpoint for ScriptedEndpoint {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let header = |name: &str| {
            let value = req.header(name)?;
            Some(format!("{name}: {value}"))
        };
        let condition = header("if-match").or_else(|| header("if-none-match"));
        let request = (req.method().to_string(), req.uri().to_string(), condition);
        self.requests.lock().unwrap().push(request);
        let response = self.answers.lock().unwrap().pop_front();
        match response {
            Some(res) => Ok(res),
            None => std::future::pending().await,
        }
    }
}

impl FakePlatform {
    /// Returns `answers` in order, then leaves requests unanswered.
    async fn new(answers: impl IntoIterator<Item = Response>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let requests = Arc::default();
        let script = ScriptedEndpoint {
            requests: Arc::clone(&requests),
            answers: Mutex::new(answers.into_iter().collect()),
        };
        let acceptor = TcpAcceptor::from_tokio(listener).unwrap();
        let task = tokio::spawn(async move {
            Server::new_with_acceptor(acceptor)
                .run(script)
                .await
                .unwrap();
        });
        Self {
            url,
            requests,
            task,
        }
    }

    fn requests(&self) -> Vec<RecordedRequest> {
        self.requests.lock().unwrap().clone()
    }
}

fn client(url: &str, timeout: Duration) -> PlatformClient {
    PlatformClient::new(url, timeout, Metrics::new().unwrap()).unwrap()
}

fn response(status: u16, body: &serde_json::Value) -> Response {
    let status = poem::http::StatusCode::from_u16(status).unwrap();
    Response::builder().status(status).body(body.to_string())
}

fn rate_limited(seconds: &str) -> Response {
    let mut res = response(429, &json!({}));
    let value = poem::http::HeaderValue::from_str(seconds).unwrap();
    res.headers_mut().insert("retry-after", value);
    res
}

fn unavailable(seconds: Option<u64>) -> PlatformError {
    PlatformError::Unavailable {
        retry_after: seconds.map(Duration::from_secs),
    }
}

macro_rules! put_cases {
    ($($name:ident: $response:expr => $want:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fake = FakePlatform::new([$response]).await;
            let client = client(&fake.url, RESPONSE_TIMEOUT);
            let got = client.put("config", "head", &json!(1), Condition::Absent).await;
            assert_eq!(got, $want);
            let want_request = ("PUT", "/v1/objects/config/head", "if-none-match: *");
            let seen = fake.requests();
            let (method, uri, condition) = &seen[0];
            assert_eq!((&method[..], &uri[..], condition.as_deref().unwrap()), want_request);
            assert_eq!(seen.len(), 1);
        }
    )*};
}

put_cases! {
    put_gives_the_version: response(200, &json!({"version": 7})) => Ok(7);
    put_tells_a_conflict: response(409, &json!({"version": 9})) => Err(PlatformError::Conflict { version: 9 });
    put_in_an_outage_has_no_effect: response(503, &json!({})) => Err(unavailable(None));
    put_over_the_rate_has_no_effect: rate_limited("3") => Err(unavailable(Some(3)));
    put_over_the_rate_with_an_odd_wait: rate_limited("soon") => Err(unavailable(None));
    put_answered_by_504_is_unknown: response(504, &json!({})) => Err(PlatformError::OutcomeUnknown);
    put_answered_by_500_is_unknown: response(500, &json!({})) => Err(PlatformError::OutcomeUnknown);
    put_answered_by_408_is_unknown: response(408, &json!({})) => Err(PlatformError::OutcomeUnknown);
    put_answered_by_nonsense_is_unknown: response(200, &json!("?")) => Err(PlatformError::OutcomeUnknown);
    put_too_large_is_invalid: response(413, &json!({})) => Err(PlatformError::Invalid("413 Payload Too Large".to_owned()));
}

macro_rules! get_cases {
    ($($name:ident: $response:expr => $want:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fake = FakePlatform::new([$response]).await;
            let got = client(&fake.url, RESPONSE_TIMEOUT).get("config", "head").await;
            assert_eq!(got.map(|object| object.version), $want);
        }
    )*};
}

get_cases! {
    get_gives_the_object: response(200, &json!({"kind": "config", "name": "head", "version": 3, "value": {}})) => Ok(3);
    get_tells_the_absent: response(404, &json!({})) => Err(PlatformError::NotFound);
    get_in_an_outage: response(503, &json!({})) => Err(unavailable(None));
    get_answered_by_504_has_no_effect: response(504, &json!({})) => Err(unavailable(None));
}

#[tokio::test]
async fn a_write_without_an_answer_in_time_is_unknown() {
    let fake = FakePlatform::new([]).await;
    let client = client(&fake.url, SHORT_TIMEOUT);
    let put = client.put("claim", "a", &1, Condition::Absent).await;
    assert_eq!(put, Err(PlatformError::OutcomeUnknown));
    let delete = client.delete("claim", "a", Condition::Version(4)).await;
    assert_eq!(delete, Err(PlatformError::OutcomeUnknown));
    let get = client.get("claim", "a").await;
    assert_eq!(get, Err(unavailable(None)));
    assert_eq!(fake.requests()[1].2.as_deref(), Some("if-match: 4"));
}

#[tokio::test]
async fn a_refused_connection_has_no_effect() {
    let bound = tokio::net::TcpSocket::new_v4().unwrap();
    bound.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let url = format!("http://{}", bound.local_addr().unwrap());
    let put = client(&url, RESPONSE_TIMEOUT)
        .put("claim", "a", &1, Condition::Absent)
        .await;
    assert_eq!(put, Err(unavailable(None)));
}

macro_rules! cut_cases {
    ($($name:ident: $response:expr;)*) => {$(
        /// The connection is closed after the server has read the write.
        #[tokio::test]
        async fn $name() {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
            let url = format!("http://{}", listener.local_addr().unwrap());
            let served = tokio::spawn(async move {
                let (mut socket, _) = listener.accept().await.unwrap();
                let mut buf = [0; 4096];
                let len = socket.read(&mut buf).await.unwrap();
                socket.write_all($response).await.unwrap();
                len
            });
            let put = client(&url, RESPONSE_TIMEOUT).put("claim", "a", &1, Condition::Absent).await;
            assert_eq!(put, Err(PlatformError::OutcomeUnknown));
            assert!(served.await.unwrap() > 0);
        }
    )*};
}

cut_cases! {
    a_write_cut_before_the_answer_is_unknown: b"";
    a_write_cut_within_the_head_is_unknown: b"HTTP/1.1 200";
    a_write_cut_within_the_body_is_unknown: b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{";
}

#[tokio::test]
async fn list_watch_and_vms_are_asked_for_and_parsed() {
    let object = json!({"kind": "part", "name": "b", "version": 2, "value": [1]});
    let vm = |state: &str| json!({"name": "vm1", "address": "127.0.0.1:1", "data_centre": "a", "role": "entry", "state": state});
    let fake = FakePlatform::new([
        response(200, &json!({"revision": 8, "objects": [object]})),
        response(
            200,
            &json!({"revision": 9, "changes": [
                {"name": "b", "version": 9, "deleted": true, "value": null}
            ]}),
        ),
        response(200, &json!({"vms": [vm("live"), vm("leaving"), vm("odd")]})),
    ])
    .await;
    let client = client(&fake.url, RESPONSE_TIMEOUT);
    let page = client.list("part", "a b", 10).await.unwrap();
    assert_eq!(
        (page.revision, page.objects[0].value.clone()),
        (8, json!([1]))
    );
    let seen = client
        .watch("part", 8, Duration::from_millis(500))
        .await
        .unwrap();
    assert!(seen.changes[0].deleted && seen.changes[0].value.is_none());
    let states: Vec<VmState> = client
        .vms()
        .await
        .unwrap()
        .iter()
        .map(|vm| vm.state)
        .collect();
    assert_eq!(states, [VmState::Live, VmState::Leaving, VmState::Unknown]);
    let uris: Vec<String> = fake.requests().into_iter().map(|(_, uri, _)| uri).collect();
    assert_eq!(
        uris,
        [
            "/v1/objects/part?after=a+b&limit=10",
            "/v1/watch/part?since=8&timeout_ms=500",
            "/v1/vms",
        ]
    );
}

macro_rules! name_cases {
    ($($name:ident: $object:expr => $uri:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fake = FakePlatform::new([response(404, &json!({}))]).await;
            let got = client(&fake.url, RESPONSE_TIMEOUT).get("config", $object).await;
            let uris: Vec<String> = fake.requests().into_iter().map(|(_, uri, _)| uri).collect();
            let want: Option<&str> = $uri;
            assert_eq!(uris.first().map(|uri| &uri[..]), want);
            assert_eq!(matches!(got, Err(PlatformError::Invalid(_))), want.is_none());
        }
    )*};
}

name_cases! {
    a_name_with_a_blank_is_escaped: "a b?c" => Some("/v1/objects/config/a%20b%3Fc");
    a_name_of_segments_keeps_them: "parts/ab" => Some("/v1/objects/config/parts/ab");
    a_name_that_climbs_is_not_sent: "a/../../x" => None;
    an_empty_name_is_not_sent: "" => None;
}

#[tokio::test]
async fn a_value_over_the_bound_is_not_sent() {
    let fake = FakePlatform::new([]).await;
    let value = "x".repeat(MAX_VALUE_BYTES);
    let put = client(&fake.url, RESPONSE_TIMEOUT)
        .put("config", "part", &value, Condition::Always)
        .await;
    assert!(matches!(put, Err(PlatformError::Invalid(_))));
    assert!(fake.requests().is_empty());
}

#[tokio::test]
async fn calls_are_counted_by_kind_and_result() {
    let fake = FakePlatform::new([
        response(200, &json!({"version": 1})),
        response(404, &json!({})),
        response(404, &json!({})),
    ])
    .await;
    let metrics = Metrics::new().unwrap();
    let client = PlatformClient::new(&fake.url, RESPONSE_TIMEOUT, metrics.clone()).unwrap();
    client.put("a", "b", &1, Condition::Always).await.unwrap();
    for _ in 0..2 {
        client.get("a", "b").await.unwrap_err();
    }
    let text = metrics.render();
    assert!(text.contains("firefly_platform_calls_total{kind=\"put\",result=\"ok\"} 1"));
    assert!(text.contains("firefly_platform_calls_total{kind=\"get\",result=\"not_found\"} 2"));
}

fn object(kind: &str, name: &str, version: u64, value: &Value) -> Value {
    json!({"kind": kind, "name": name, "version": version, "value": value})
}

/// Returns the objects that hold a configuration's head and its only part.
fn configuration(version: u64, revision: u64) -> [Value; 2] {
    let snapshot = split(&Document::default()).unwrap();
    let part = &snapshot.parts[0];
    let head = snapshot.head(ConfigVersion(version), 0, "anna".into(), "t".into());
    let head = serde_json::to_value(head).unwrap();
    let part_name = part.name.to_string();
    [
        object("config", "head", revision, &head),
        object("config-part", &part_name, 1, &part.to_value().unwrap()),
    ]
}

/// Returns the head with another value at a JSON pointer.
fn changed_head(pointer: &str, value: Value) -> Value {
    let [mut head, _] = configuration(8, 7);
    *head.pointer_mut(pointer).unwrap() = value;
    head
}

fn watched(revision: u64, name: &str) -> Value {
    let change = json!({"name": name, "version": revision, "value": 7});
    json!({"revision": revision, "changes": [change]})
}

/// Lets a member follow the scripted platform until it has made that many calls; returns its version and the calls.
async fn follow(answers: impl IntoIterator<Item = Value>, calls: usize) -> (u64, Vec<String>) {
    let fake = FakePlatform::new(answers.into_iter().map(|a| response(200, &a))).await;
    let (feed, _configs) = ConfigFeed::new();
    let following = tokio::spawn(feed.clone().follow(client(&fake.url, RESPONSE_TIMEOUT)));
    while fake.requests().len() < calls {
        tokio::task::yield_now().await;
    }
    following.abort();
    let uris = fake.requests().into_iter().map(|(_, uri, _)| uri);
    (feed.version().0, uris.collect())
}

macro_rules! foreign_head_cases {
    ($($name:ident: $first:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let answers = [$first].into_iter().chain(configuration(3, 9));
            let (version, uris) = follow(answers, 4).await;
            assert_eq!(version, 3);
            assert_eq!(uris[..2], ["/v1/objects/config/head", "/v1/objects/config/head"]);
        }
    )*};
}

foreign_head_cases! {
    head_that_is_no_head_does_not_shut_out_the_next: object("config", "head", 7, &json!(7));
    head_of_another_kind_is_not_taken: changed_head("/kind", json!("draft"));
    head_under_another_name_is_not_taken: changed_head("/name", json!("draft"));
    head_whose_digest_is_not_of_its_parts_is_not_taken: changed_head("/value/parts", json!([]));
}

#[tokio::test]
async fn part_that_is_half_written_is_fetched_again() {
    let [head, _] = configuration(3, 9);
    let name = split(&Document::default()).unwrap().parts[0]
        .name
        .to_string();
    let torn = object("config-part", &name, 1, &json!("[{\"sett"));
    let answers = [head, torn].into_iter().chain(configuration(3, 9));
    let (version, uris) = follow(answers, 5).await;
    assert_eq!((version, uris.len()), (3, 5), "{uris:?}");
}

#[tokio::test]
async fn other_objects_beside_the_head_do_not_end_each_watch_at_once() {
    let [head, part] = configuration(3, 5);
    let [again, _] = configuration(3, 5);
    let (_, uris) = follow([head, part, watched(9, "draft"), again], 5).await;
    assert!(uris[2].starts_with("/v1/watch/config?since=5&"), "{uris:?}");
    assert!(uris[4].starts_with("/v1/watch/config?since=9&"), "{uris:?}");
}

#[tokio::test]
async fn head_that_changed_is_watched_from_where_it_was_read() {
    let [head, part] = configuration(3, 5);
    let [stale, _] = configuration(3, 5);
    let (_, uris) = follow([head, part, watched(9, "head"), stale], 5).await;
    assert!(uris[4].starts_with("/v1/watch/config?since=5&"), "{uris:?}");
}

#[tokio::test]
async fn vm_that_is_unreadable_hides_no_other() {
    let vm = |name: &str| json!({"name": name, "address": "127.0.0.1:1", "data_centre": "a", "role": "entry", "state": "live"});
    let odd = json!({"name": 7, "state": ["leaving"]});
    let list = json!({"vms": [vm("vm1"), odd, 7, vm("vm2")]});
    let fake = FakePlatform::new([response(200, &list)]).await;
    let vms = client(&fake.url, RESPONSE_TIMEOUT).vms().await.unwrap();
    let names: Vec<&str> = vms.iter().map(|vm| &*vm.name).collect();
    assert_eq!(names, ["vm1", "vm2"]);
}

/// Returns an answer of the platform whose text no parser has seen.
fn text_response(text: &str) -> Response {
    Response::builder()
        .content_type("application/json")
        .body(text.to_owned())
}

macro_rules! odd_value_cases {
    ($($name:ident: $value:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let odd: String = $value;
            let vm = |name: &str| format!(r#"{{"name": "{name}", "address": "127.0.0.1:1", "data_centre": "a", "role": "entry", "state": "live"}}"#);
            let object = |name: &str, value: &str| format!(r#"{{"kind": "config", "name": "{name}", "version": 2, "value": {value}}}"#);
            let fake = FakePlatform::new([
                text_response(&format!(r#"{{"vms": [{}, {{"name": "odd", "extra": {odd}}}, {odd}, {}]}}"#, vm("vm1"), vm("vm2"))),
                text_response(&format!(r#"{{"revision": 8, "objects": [{}, {}]}}"#, object("odd", &odd), object("b", "7"))),
                text_response(&format!(r#"{{"revision": 9, "changes": [{{"name": "odd", "version": 9, "value": {odd}}}, {{"name": "b", "version": 10, "value": 7}}]}}"#)),
            ])
            .await;
            let client = client(&fake.url, RESPONSE_TIMEOUT);
            let vms = client.vms().await.unwrap();
            let names: Vec<&str> = vms.iter().map(|vm| &*vm.name).collect();
            assert_eq!(names, ["vm1", "vm2"]);
            let page = client.list("config", "", 10).await.unwrap();
            assert_eq!((page.revision, page.objects.last().unwrap().value.clone()), (8, json!(7)));
            let seen = client.watch("config", 8, Duration::from_millis(500)).await.unwrap();
            let names: Vec<&str> = seen.changes.iter().map(|c| &*c.name).collect();
            assert_eq!((seen.revision, names), (9, vec!["odd", "b"]));
        }
    )*};
}

odd_value_cases! {
    value_that_is_nested_very_deeply_hides_no_other: format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    number_beyond_any_bound_hides_no_other: "1e999".to_owned();
    number_of_many_digits_hides_no_other: "1234567890".repeat(50);
    text_of_half_a_character_hides_no_other: r#""\ud800""#.to_owned();
}

#[test]
fn peer_that_hands_on_what_is_no_configuration_is_not_asked_at_its_every_message() {
    let (feed, _configs) = ConfigFeed::new();
    let [peer, other] = [7_001, 7_002].map(|port| (Ipv4Addr::LOCALHOST, port).into());
    let asks = |of| {
        let mut out = Outbox::default();
        feed.pull(of, &mut out);
        !out.is_empty()
    };
    assert!(asks(peer));
    let part = Message::ConfigPart {
        version: ConfigVersion(9),
        part: 0,
        parts: 1,
        digest: Digest::of(&[]),
        data: b"7".as_slice().into(),
    };
    feed.on_message(peer, &part, &mut Outbox::default());
    assert_eq!((asks(peer), asks(other)), (false, true));
}
