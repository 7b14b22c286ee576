//! Streams of engines that leave, each with a play of its own.

use super::{Site, until, whole_stream};
use reqwest::RequestBuilder;
use standins::site::{AnswerFault, Play, Run};
use std::time::Duration;

/// Engines that streams begin at; all leave.
const SOURCES: usize = 2;

/// Time from a notice after which runs that begin are stopped at once, of which there is no copy then.
const PAST_STOP: Duration = Duration::from_millis(1_200);

/// Number of the last engine, of those that streams move to.
const LAST_TARGET: u8 = 3;

/// What became of a stream.
pub(crate) struct Played {
    /// What its engines did with it.
    pub(crate) play: Play,
    /// Id of its request.
    pub(crate) id: String,
    /// The body; `None` if it was broken off.
    pub(crate) body: Option<String>,
}

impl Played {
    /// Returns whether it is complete, with each piece once.
    pub(crate) fn is_whole(&self, events: u64) -> bool {
        self.body.as_deref() == Some(&*whole_stream(&self.id, events))
    }
}

/// Returns what is wrong with some streams, each with its play and runs; `is_good` tells of one and its runs.
pub(crate) fn faults(
    site: &Site,
    played: &[Played],
    is_good: impl Fn(&Played, &[Run]) -> bool,
) -> String {
    let fault = |p: &Played| {
        let runs = site.record.runs_of(&p.id);
        let seen = p.body.as_ref().map(|b| b.matches("id: ").count());
        let is_fault = !is_good(p, &runs);
        is_fault.then(|| format!("{}: {seen:?} events, {:?}, {runs:#?}", p.id, p.play))
    };
    let faults: Vec<String> = played.iter().filter_map(fault).collect();
    faults.join("\n")
}

/// Builds the request for a stream whose prompt it shares with none and is too short for a backup.
fn request(site: &Site, path: &str, events: u64, id: &str) -> RequestBuilder {
    let part = 0xd000 + id[1..].parse::<u32>().unwrap();
    site.stream(0, path, events, id)
        .header("X-Token-Usage", "900,60")
        .header("X-Prompt-Prefix", format!("{part:x}:900"))
}

/// Reads streams, one of each play and with so many events, whose engines say that they leave once all were sent; engines that hold heads
/// begin their answers when runs are stopped at once.
pub(crate) async fn play_all(site: &mut Site, path: &str, plays: &[(Play, u64)]) -> Vec<Played> {
    let reading: Vec<_> = plays
        .iter()
        .map(|(play, events)| {
            let id = site.id();
            site.record.play(&id, *play);
            let req = request(site, path, *events, &id);
            let play = *play;
            tokio::spawn(async move {
                let body = match req.send().await {
                    Ok(answer) => answer.text().await.ok(),
                    Err(_) => None,
                };
                Played { play, id, body }
            })
        })
        .collect();
    until("the runs", || async {
        site.record.runs().len() >= plays.len()
    })
    .await;
    for number in 2..=LAST_TARGET {
        site.add_engine(number).await;
    }
    until("the targets", || async {
        let came = |n| format!("instance=m-{n}");
        let log = site.log(0);
        let lines = log.lines().filter(|l| l.contains("event=upstream_came"));
        let lines = lines.collect::<Vec<_>>().join("\n");
        (2..=LAST_TARGET).all(|n| lines.contains(&came(n)))
    })
    .await;
    for engine in &site.engines[..SOURCES] {
        let record = engine.registration("models", "draining");
        site.store.put("servers", &engine.instance(), &record);
    }
    if site.engines[0].fault() == AnswerFault::HoldHead {
        until("the notices", || async {
            site.log(0).matches("event=upstream_leaves").count() >= SOURCES
        })
        .await;
        tokio::time::sleep(PAST_STOP).await;
        for engine in &site.engines {
            engine.set_fault(AnswerFault::None);
        }
    }
    let mut played = Vec::new();
    for reading in reading {
        played.push(reading.await.unwrap());
    }
    played
}
