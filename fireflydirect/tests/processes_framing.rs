//! Entry processes before upstreams whose answers have neither a length nor chunks and end with their connection, and
//! an entry that gets most new connections.

mod support;

use reqwest::Client;
use standins::site::AnswerFault;
use std::io::ErrorKind;
use std::time::Duration;
use support::{KEY, Site, outcome, whole_stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Events of a stream whose entry is killed before its end.
const LONG: u64 = 400;

/// Requests that come to one entry at once, each on a new connection.
const CROWD: usize = 150;

/// Sends a stream's request of a caller that knows no chunks.
async fn ask_without_chunks(site: &Site, events: u64) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(site.callers_of(0)).await?;
    let request = format!(
        "POST /log/a?events={events} HTTP/1.0\r\nHost: site.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: 20000\r\n\
         X-Credential: {KEY}\r\nX-Model: m\r\nContent-Length: 0\r\n\r\n",
        site.id()
    );
    stream.write_all(request.as_bytes()).await?;
    Ok(stream)
}

/// Reads the answer to a stream's request of a caller that knows no chunks, until its connection ends.
async fn answer_without_chunks(site: &Site, events: u64) -> std::io::Result<String> {
    let mut stream = ask_without_chunks(site, events).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// Kills an entry once a caller that knows no chunks has so many of a stream's events; returns what its connection ends with.
async fn end_at_kill(site: &mut Site, events: usize) -> std::io::Result<usize> {
    let mut stream = ask_without_chunks(site, LONG).await.unwrap();
    let mut answer = Vec::new();
    while String::from_utf8_lossy(&answer).matches("\n\n").count() < events {
        assert!(stream.read_buf(&mut answer).await.unwrap() > 0, "it ended");
    }
    site.entries[0].kill();
    stream.read_to_end(&mut answer).await
}

fn end_with_connection(site: &Site) {
    for upstream in site.engines.iter().chain(&site.plains) {
        upstream.end_answers_with_connection();
    }
}

support::cases! {
    answers_that_end_with_their_connection_are_whole(site: 1) {
        end_with_connection(&site);
        for _ in 0..10 {
            let id = site.id();
            let answer = site.call(0, "GET", "/fetch/a", &id).send().await.unwrap();
            assert_eq!(outcome(&answer).0, 200);
            assert_eq!(answer.text().await.unwrap(), format!("GET /fetch/a for {id}"));
            let id = site.id();
            let answer = site.call(0, "POST", "/file/a", &id).body("x").send().await.unwrap();
            assert_eq!(answer.text().await.unwrap(), format!("POST /file/a for {id}"));
        }
    }

    answer_that_is_reset_on_the_way_is_not_whole(site: 1) {
        end_with_connection(&site);
        for plain in &site.plains {
            plain.set_fault(AnswerFault::Truncate);
        }
        for (method, path) in [("GET", "/fetch/a"), ("POST", "/file/a")] {
            let answer = site.call(0, method, path, &site.id()).send().await.unwrap();
            assert_eq!(outcome(&answer), (502, Some(4001)), "{path}");
        }
    }

    retry_gets_an_answer_that_ends_with_its_connection(site: 1) {
        end_with_connection(&site);
        site.plains[0].set_fault(AnswerFault::Truncate);
        for _ in 0..10 {
            let id = site.id();
            let answer = site.call(0, "GET", "/fetch/a", &id).send().await.unwrap();
            assert_eq!(answer.text().await.unwrap(), format!("GET /fetch/a for {id}"));
        }
    }

    stream_that_ends_with_its_connection_is_whole(site: 1) {
        end_with_connection(&site);
        for path in ["/log/a", "/grade/a"] {
            let id = site.id();
            let answer = site.generation(0, path, 20, &id).send().await.unwrap();
            assert_eq!(answer.text().await.unwrap(), whole_stream(&id, 20));
            assert_eq!(site.record.runs_of(&id).len(), 1);
        }
    }

    stream_that_ends_within_an_event_has_broken_off(site: 1) {
        end_with_connection(&site);
        for engine in &site.engines {
            engine.set_fault(AnswerFault::CutInEvent);
        }
        let id = site.id();
        // A stream that may run once, without a copy to go on from.
        let answer = site.stream(0, "/log/a", 20, &id).send().await.unwrap();
        assert!(answer.text().await.is_err(), "a part looked whole");
    }

    stream_that_ends_within_an_event_goes_on(site: 1) {
        end_with_connection(&site);
        site.engines[0].set_fault(AnswerFault::CutInEvent);
        for _ in 0..6 {
            let id = site.id();
            let answer = site.stream(0, "/grade/a", 20, &id).send().await.unwrap();
            assert_eq!(answer.text().await.unwrap(), whole_stream(&id, 20));
        }
    }

    stream_that_ends_before_its_first_event_has_broken_off(site: 1) {
        end_with_connection(&site);
        site.engines[0].set_fault(AnswerFault::NoEvents);
        for _ in 0..6 {
            let id = site.id();
            let answer = site.stream(0, "/grade/a", 20, &id).send().await.unwrap();
            assert_eq!(answer.text().await.unwrap(), whole_stream(&id, 20));
        }
    }

    stream_is_whole_to_a_caller_without_chunks(site: 1) {
        let answer = answer_without_chunks(&site, 20).await.unwrap();
        assert!(answer.ends_with("r0 20\n\n"), "{answer}");
    }

    cut_stream_does_not_look_whole_to_a_caller_without_chunks(site: 1) {
        for engine in &site.engines {
            engine.set_fault(AnswerFault::Truncate);
        }
        let answer = answer_without_chunks(&site, 20).await;
        assert!(answer.is_err(), "a part looked whole: {answer:?}");
    }

    stream_of_a_killed_entry_does_not_look_whole_to_a_caller_without_chunks(site: 1) {
        let end = end_at_kill(&mut site, 20).await;
        assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset);
    }

    stream_of_an_entry_killed_at_its_first_event_does_not_look_whole_to_a_caller_without_chunks(site: 1) {
        let end = end_at_kill(&mut site, 1).await;
        assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset);
    }

    entry_that_gets_most_new_connections_serves_them(site: 3) {
        let ids: Vec<String> = (0..CROWD).map(|_| site.id()).collect();
        let url = format!("http://{}", site.callers_of(0));
        let calls = ids.iter().enumerate().map(|(number, id)| {
            let path = if number % 3 == 0 { "/grade/a?events=5" } else { "/fetch/a" };
            let req = Client::new().request(if number % 3 == 0 { "POST" } else { "GET" }.parse().unwrap(), format!("{url}{path}"));
            req.header("Host", "site.example")
                .header("X-Request-Id", id)
                .header("X-Deadline-Ms", "20000")
                .header("X-Credential", KEY)
                .timeout(Duration::from_secs(20))
                .send()
        });
        let answers = futures_util::future::join_all(calls).await;
        let served = answers.iter().flatten().filter(|a| a.status() == 200).count();
        assert!(4 * served >= 3 * CROWD, "{served} of {CROWD} were served at the first attempt");
    }
}
