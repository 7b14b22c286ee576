//! Upstreams in trouble behind the agents of the fleet's own path: bytes that are no answer are never passed on as one,
//! end in bounded time and memory, and leave the requests beside them alone.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};
use standins::caller::Request;
use standins::crowd::Watch;
use standins::trouble::Trouble;
use support::{COUNTER, DOSSIERS, Doors, Fleet, GRADES, WAIT_TIMEOUT, until};

/// Request of a run at an engine.
const RUN: &str = "POST /v1/chat/completions";
/// Head of an answer whose body ends with its connection.
const OPENED: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
/// Events of a stream without its second token.
const GAP: &str = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n\
    id: 2\ndata: {\"choices\":[{\"delta\":{\"content\":\"c\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
/// Events of a stream without its first token.
const LATE_START: &str = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
/// Events of a stream whose gap has a token without a number.
const HIDDEN_GAP: &str = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n\
    data: {\"choices\":[{\"delta\":{\"content\":\"?\"}}]}\n\n\
    id: 5\ndata: {\"choices\":[{\"delta\":{\"content\":\"f\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
/// Heads of answers in chunks, up to an extension and up to a trailer.
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;";
const TRAILER: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
/// Bytes written at once of those without an end.
const PIECE_BYTES: usize = 64 << 10;
/// Memory of the VM in MB, and the calls that meet bytes without an end at once.
const MEMORY_MB: u64 = 64;
const CROWD: usize = 40;
/// Request of a read.
const READ: &str = "GET /records";
/// Request of a call that may not be repeated.
const FILE: &str = "POST /file";

crate::cases! {
    bytes_without_end_in_a_head_of_an_engine => without_end(RUN, chat, "HTTP/1.1 200 OK\r\nx: ", "h");
    bytes_without_end_for_a_head_of_an_engine => without_end(RUN, chat, "", "\u{1}");
    headers_without_end_of_an_engine => without_end(RUN, chat, "HTTP/1.1 200 OK\r\n", "x: h\r\n");
    event_without_end_of_an_engine => without_end(RUN, chat, OPENED, "data: d");
    comments_without_end_of_an_engine => without_end(RUN, chat, OPENED, ": c\n\n");
    error_without_end_of_an_engine => without_end(RUN, chat, "HTTP/1.1 500 Odd\r\n\r\n", "e");
    chunk_extension_without_end_of_an_engine => without_end(RUN, chat, CHUNKED, "e");
    trailer_without_end_of_an_engine => without_end(RUN, chat, TRAILER, "x: t\r\n");
    bytes_without_end_in_a_head_of_a_plain_service => without_end(READ, read, "HTTP/1.1 200 OK\r\nx: ", "h");
    bytes_without_end_in_a_body_of_a_plain_service => without_end(READ, read, "HTTP/1.1 200 OK\r\n\r\n", "b");
    chunk_extension_without_end_of_a_plain_service => without_end(READ, read, CHUNKED, "e");
    trailer_without_end_of_a_plain_service => without_end(READ, read, TRAILER, "x: t\r\n");
    interim_responses_without_end_of_an_engine => interim(1);
    interim_responses_without_end_of_several_runs => interim(10);
    error_that_trickles_from_an_engine => trickle(RUN, chat, "HTTP/1.1 500 Odd\r\n\r\n");
    body_that_trickles_from_a_plain_service => trickle(READ, read, "HTTP/1.1 200 OK\r\n\r\n");
    odd_statuses_of_an_engine => odd_statuses(RUN, chat);
    odd_statuses_of_a_plain_service => odd_statuses(READ, read);
    odd_statuses_of_a_call_that_may_not_be_repeated => odd_statuses(FILE, file);
    heads_of_an_engine_that_are_cut => cut_heads(RUN, chat);
    heads_of_a_plain_service_that_are_cut => cut_heads(READ, read);
    heads_of_a_call_that_may_not_be_repeated_that_are_cut => cut_heads(FILE, file);
    odd_status_leaves_the_streams_beside_it => beside("HTTP/1.1 000 Odd\r\n\r\n", "");
    event_that_is_none_leaves_the_streams_beside_it => beside(OPENED, "data: {oops\n\n");
    end_without_a_reason_leaves_the_streams_beside_it => beside(OPENED, "data: [DONE]\n\n");
    answer_that_ends_within_an_event_leaves_the_streams_beside_it => beside(OPENED, "data: {\"cho");
    stream_that_lacks_a_token_is_no_answer => beside(OPENED, GAP);
    stream_that_lacks_its_first_token_is_no_answer => beside(OPENED, LATE_START);
    stream_with_an_unnumbered_token_in_a_gap_is_no_answer => beside(OPENED, HIDDEN_GAP);
    answer_that_ends_before_an_event_leaves_the_streams_beside_it => beside(OPENED, "");
}

fn chat(fleet: &Fleet, mark: &str) -> RequestBuilder {
    let body = json!({
        "model": "model-a", "max_tokens": 10,
        "messages": [{"role": "user", "content": format!("[[mark={mark}]][[len=9]]")}],
    });
    let url = format!("{}/v1/chat/completions", fleet.entries[0].url());
    fleet.http.post(url).bearer_auth(COUNTER).json(&body)
}

fn read(fleet: &Fleet, mark: &str) -> RequestBuilder {
    let url = format!("{}/services/records/records/{mark}", fleet.entries[0].url());
    fleet.http.get(url).bearer_auth(COUNTER)
}

fn file(fleet: &Fleet, mark: &str) -> RequestBuilder {
    let url = format!("{}/services/records/file", fleet.entries[0].url());
    let call = fleet.http.post(url).bearer_auth(GRADES);
    call.header("idempotency-key", mark)
        .body(format!("[[mark={mark}]]"))
}

/// Fails unless the answer is an error of the system's own that doesn't promise that nothing ran.
async fn assert_own_error(res: Response, about: &str) {
    let (status, coded) = (res.status(), res.headers().contains_key("x-firefly-code"));
    let body: Value = res.json().await.unwrap_or_default();
    assert_eq!(status, 502, "{about}: {body}");
    assert!(
        coded && body["error"]["class"] != "not_run",
        "{about}: {body}"
    );
}

/// A head with such a status line is no answer.
async fn odd_statuses(to: &'static str, call: fn(&Fleet, &str) -> RequestBuilder) {
    let doors = Doors::open(Trouble {
        to: "none",
        ..Trouble::default()
    })
    .await;
    let statuses = [
        " 000 Odd",
        " 0 Odd",
        " 99 Odd",
        " 1000 Odd",
        " abc Odd",
        " ",
        "",
        " 999 Odd",
        " 101 Switching Protocols",
    ];
    for (n, status) in statuses.iter().enumerate() {
        let first = format!(
            "HTTP/1.1{status}\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{{}}"
        );
        doors.set(&Trouble {
            to,
            first: first.into_bytes(),
            ..Trouble::default()
        });
        let res = call(&doors.fleet, &format!("odd{n}")).send().await.unwrap();
        assert_own_error(res, status).await;
        doors.set(&Trouble {
            to: "none",
            ..Trouble::default()
        });
        let res = call(&doors.fleet, &format!("after{n}"))
            .send()
            .await
            .unwrap();
        assert_eq!(
            res.status(),
            200,
            "after {status:?}: {:?}",
            res.text().await
        );
    }
    if to == FILE {
        assert_eq!(doors.plain.begun(), statuses.len());
    }
}

/// A head that stops before its end, in order, is no answer; it is cut within each of its lines.
async fn cut_heads(to: &'static str, call: fn(&Fleet, &str) -> RequestBuilder) {
    let doors = Doors::open(Trouble {
        to: "none",
        ..Trouble::default()
    })
    .await;
    for framing in [
        "content-length: 2",
        "transfer-encoding: chunked",
        "connection: close",
    ] {
        let head =
            format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n{framing}\r\n\r\n");
        for cut in (0..head.len()).step_by(9) {
            doors.set(&Trouble {
                to,
                first: head.as_bytes()[..cut].to_vec(),
                ..Trouble::default()
            });
            let mark = format!("cut{cut}-{}", framing.len());
            let res = call(&doors.fleet, &mark)
                .timeout(WAIT_TIMEOUT)
                .send()
                .await
                .unwrap();
            assert!(
                matches!(res.status().as_u16(), 502 | 503),
                "{res:?} for {:?}",
                &head[..cut]
            );
        }
    }
}

/// A request gets these bytes, then the end of the connection; a stream on the same engine goes on.
async fn beside(head: &str, body: &str) {
    let doors = Doors::open(Trouble {
        to: "none",
        ..Trouble::default()
    })
    .await;
    let mut session = doors
        .fleet
        .caller()
        .begin(Request::stream("beside", DOSSIERS, "model-a", 600), 0);
    assert!(session.read_until_tokens(5).await);
    doors.set(&Trouble {
        to: RUN,
        first: format!("{head}{body}").into_bytes(),
        ..Trouble::default()
    });
    let res = chat(&doors.fleet, "odd").send().await.unwrap();
    assert_own_error(res, "beside a stream").await;
    let got = session.finish().await;
    assert!(got.is_complete(), "{got:?}");
    doors.fleet.assert_guarantees(&[got]);
}

/// Many callers meet bytes that go on until the agent closes: it stays within its memory, each gets an error, and others are
/// served beside them.
async fn without_end(
    to: &'static str,
    call: fn(&Fleet, &str) -> RequestBuilder,
    first: &str,
    piece: &str,
) {
    let mut doors = Doors::open(Trouble {
        to: "none",
        ..Trouble::default()
    })
    .await;
    let watches: Vec<Watch> = doors
        .fleet
        .nodes()
        .map(|n| Watch::start(n.process.id()))
        .collect();
    let pieces = piece.repeat(PIECE_BYTES / piece.len());
    doors.set(&Trouble {
        to,
        first: first.into(),
        piece: pieces.into(),
        ..Trouble::default()
    });
    let calls: Vec<_> = (0..CROWD)
        .map(|n| {
            call(&doors.fleet, &format!("m{n}"))
                .timeout(WAIT_TIMEOUT)
                .send()
        })
        .collect();
    let answers = join_all(calls).await;
    doors.set(&Trouble {
        to: "none",
        ..Trouble::default()
    });
    for answer in answers {
        let res = answer.unwrap();
        assert!(matches!(res.status().as_u16(), 502 | 503), "{res:?}");
    }
    assert_served_after(&mut doors, call).await;
    for watch in watches {
        let peak = watch.end().unwrap().memory;
        println!("{} KB of {MEMORY_MB} MB", peak >> 10);
        assert!(
            peak < MEMORY_MB * 1_000_000,
            "{} KB of {MEMORY_MB} MB",
            peak >> 10
        );
    }
}

/// The HTTP library skips these; their callers give up, and others are served beside them within the agent's memory.
async fn interim(count: usize) {
    let doors = Doors::open(Trouble {
        to: "none",
        ..Trouble::default()
    })
    .await;
    let watch = Watch::start(doors.fleet.agents[0].process.id());
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(PIECE_BYTES / 25);
    doors.set(&Trouble {
        to: RUN,
        piece: interim.into(),
        ..Trouble::default()
    });
    let calls: Vec<_> = (0..count)
        .map(|n| chat(&doors.fleet, &format!("m{n}")).send())
        .collect();
    for res in join_all(calls).await.into_iter().flatten() {
        assert_eq!(res.status().as_u16(), 502, "{res:?}");
    }
    doors.set(&Trouble {
        to: "none",
        ..Trouble::default()
    });
    let got = doors
        .fleet
        .call(Request::stream("after", DOSSIERS, "model-a", 50), 0)
        .await;
    assert!(got.is_complete(), "{got:?}");
    let peak = watch.end().unwrap().memory;
    println!("{} KB of {MEMORY_MB} MB", peak >> 10);
    assert!(peak < MEMORY_MB * 1_000_000, "{} KB", peak >> 10);
}

/// Bytes that come too slowly to reach a bound end by the time limit of the call.
async fn trickle(to: &'static str, call: fn(&Fleet, &str) -> RequestBuilder, first: &str) {
    let mut doors = Doors::open(Trouble {
        to: "none",
        ..Trouble::default()
    })
    .await;
    doors.set(&Trouble {
        to,
        first: first.into(),
        piece: b"t".into(),
        pause: Duration::from_millis(50),
    });
    let res = call(&doors.fleet, "m")
        .timeout(WAIT_TIMEOUT)
        .send()
        .await
        .unwrap();
    assert_own_error(res, "trickling").await;
    doors.set(&Trouble {
        to: "none",
        ..Trouble::default()
    });
    assert_served_after(&mut doors, call).await;
}

/// Fails unless the next caller is served, every answer in trouble has been closed, and the daemons live.
async fn assert_served_after(doors: &mut Doors, call: fn(&Fleet, &str) -> RequestBuilder) {
    until("the next caller is served", || async {
        let res = call(&doors.fleet, "after").send().await;
        res.is_ok_and(|r| r.status() == 200)
    })
    .await;
    for door in [&doors.engine, &doors.plain] {
        until("connections are closed", || {
            std::future::ready(door.ended() == door.begun())
        })
        .await;
    }
    let mut nodes = doors
        .fleet
        .entries
        .iter_mut()
        .chain(&mut doors.fleet.agents);
    assert!(nodes.all(|n| n.process.is_alive()));
}
