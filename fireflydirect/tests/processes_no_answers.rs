//! Entry processes before upstreams whose answers bear no status of an answer.

#[path = "support/broken_servers.rs"]
mod broken_servers;
mod support;

use broken_servers::{answered, break_store, intact, start_site};
use standins::site::BrokenAnswer;
use support::{KEY, outcome, until, whole_stream};

/// Code of a request whose outcome is not known.
const UNKNOWN: (u16, Option<u32>) = (502, Some(4001));

/// Returns an answer that begins with these bytes and bears all that a proper one does.
fn answer(status_line: &str) -> BrokenAnswer {
    BrokenAnswer {
        start: format!(
            "{status_line}\r\nX-Request-Id: {{id}}\r\nX-Response-Seal: seal\r\nContent-Length: 9\r\n\r\nno answer"
        ),
        ..BrokenAnswer::default()
    }
}

/// Calls that may be repeated go to one more upstream, others don't; none gets the bytes as an answer.
async fn check_call(status_line: &str) {
    let (site, servers) = start_site(false, &answer(status_line)).await;
    for (method, path, attempts) in [("POST", "/file/a", 1), ("GET", "/fetch/a", 2)] {
        let before = answered(&servers);
        let call = site.call(0, method, path, &site.id());
        assert_eq!(
            outcome(&call.send().await.unwrap()),
            UNKNOWN,
            "{}",
            site.log(0)
        );
        let after = answered(&servers);
        assert_eq!(after - before, attempts, "{}", site.log(0));
    }
    site.check();
}

/// The same for streams.
async fn check_stream(status_line: &str) {
    let at = |path| BrokenAnswer {
        path,
        ..answer(status_line)
    };
    for (path, attempts) in [("/log/", 1), ("/grade/", 2)] {
        let (site, servers) = start_site(true, &at(path)).await;
        let request = site.generation(0, &format!("{path}a"), 10, &site.id());
        assert_eq!(
            outcome(&request.send().await.unwrap()),
            UNKNOWN,
            "{}",
            site.log(0)
        );
        assert_eq!(answered(&servers), attempts, "{}", site.log(0));
        site.check();
    }
}

/// A stream that broke off gets nothing of such an answer where it would go on.
async fn check_resumed_stream(status_line: &str) {
    let (site, mut servers) = start_site(true, &intact()).await;
    let id = site.id();
    let request = site.generation(0, "/grade/a", 200, &id);
    let begun = request.send().await.unwrap();
    assert_eq!(outcome(&begun), (200, None));
    let at = site.engine_of(&id).await;
    for server in &servers {
        server.set_answer(BrokenAnswer {
            path: "/grade/",
            ..answer(status_line)
        });
    }
    site.engines[at].kill();
    // The address of an engine that has ended refuses connections.
    drop(servers.remove(at));
    let text = begun.text().await;
    assert!(text.is_err(), "{text:?} {}", site.log(0));
    assert!(answered(&servers) > 0, "{}", site.log(0));
    site.check();
}

/// Streams are served whole where the answers to an entry's own calls are none.
async fn check_own_calls(status_line: &str) {
    for path in ["/v1/report", "/v1/kv-move"] {
        let broken = BrokenAnswer {
            path,
            ..answer(status_line)
        };
        let (site, servers) = start_site(true, &broken).await;
        let id = site.id();
        // Without a size the run has no backup, so that only a move preserves it.
        let stream = site.stream(0, "/log/a", 300, &id).send().await.unwrap();
        let at = site.engine_of(&id).await;
        site.engines[at].report_leaving(2_000);
        let mut record = site.engines[at].registration("models", "draining");
        record["address"] = servers[at].addr().to_string().into();
        site.store
            .put("servers", &site.engines[at].instance(), &record);
        until("a broken answer", || async { answered(&servers) > 0 }).await;
        assert_eq!(
            stream.text().await.unwrap(),
            whole_stream(&id, 300),
            "{}",
            site.log(0)
        );
        site.check();
    }
}

/// An entry whose store gives such answers serves on, and goes on from there when they end.
async fn check_store(status_line: &str) {
    let mut site = support::Site::start(1).await;
    let server = break_store(&mut site).await;
    server.set_answer(answer(status_line));
    until("two broken answers", || async { server.answered() > 1 }).await;
    site.publish_routes(&[KEY], &[("new", "/new/")]);
    let call = site.call(0, "GET", "/fetch/a", &site.id());
    assert_eq!(outcome(&call.send().await.unwrap()), (200, None));
    server.set_answer(intact());
    until("the new route", || async {
        let call = site.call(0, "GET", "/new/a", &site.id());
        call.send().await.unwrap().status() == 200
    })
    .await;
    site.check();
}

macro_rules! no_answers {
    ($($name:ident: $check:ident, $status_line:literal;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                $check($status_line).await;
            }
        )+
    };
}

no_answers! {
    call_answered_with_status_000: check_call, "HTTP/1.1 000 Status";
    call_answered_with_status_0: check_call, "HTTP/1.1 0 Status";
    call_answered_with_status_099: check_call, "HTTP/1.1 099 Status";
    call_answered_with_status_99: check_call, "HTTP/1.1 99 Status";
    call_answered_with_status_600: check_call, "HTTP/1.1 600 Status";
    call_answered_with_status_999: check_call, "HTTP/1.1 999 Status";
    call_answered_with_status_1000: check_call, "HTTP/1.1 1000 Status";
    call_answered_with_letters_for_a_status: check_call, "HTTP/1.1 2OO OK";
    call_answered_without_a_status: check_call, "HTTP/1.1";
    call_answered_without_a_status_line: check_call, "200 OK";
    call_answered_in_an_unknown_version: check_call, "HTTP/3.1 200 OK";
    call_answered_with_a_change_of_protocol: check_call, "HTTP/1.1 101 Switching Protocols";
    call_answered_with_a_preliminary_answer_alone: check_call, "HTTP/1.1 100 Continue";
    stream_answered_with_status_000: check_stream, "HTTP/1.1 000 Status";
    stream_answered_with_status_999: check_stream, "HTTP/1.1 999 Status";
    stream_answered_with_letters_for_a_status: check_stream, "HTTP/1.1 2OO OK";
    stream_answered_with_a_change_of_protocol: check_stream, "HTTP/1.1 101 Switching Protocols";
    own_calls_answered_with_status_000: check_own_calls, "HTTP/1.1 000 Status";
    own_calls_answered_with_status_999: check_own_calls, "HTTP/1.1 999 Status";
    own_calls_answered_with_a_change_of_protocol: check_own_calls, "HTTP/1.1 101 Switching Protocols";
    store_answers_with_status_000: check_store, "HTTP/1.1 000 Status";
    store_answers_with_status_999: check_store, "HTTP/1.1 999 Status";
    store_answers_with_a_change_of_protocol: check_store, "HTTP/1.1 101 Switching Protocols";
    stream_resumed_with_status_000: check_resumed_stream, "HTTP/1.1 000 Status";
    stream_resumed_with_status_999: check_resumed_stream, "HTTP/1.1 999 Status";
    stream_resumed_with_a_change_of_protocol: check_resumed_stream, "HTTP/1.1 101 Switching Protocols";
}
