//! Streams of engines that leave, each with a play of its own.

use super::streams::list;
use super::{Site, until, whole_stream};
use reqwest::RequestBuilder;
use standins::site::{AnswerFault, Play, Run};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Engines that streams begin at; all leave.
const SOURCES: usize = 2;

/// Time from a notice after which runs that begin are stopped at once, of which there is no copy then.
pub(crate) const PAST_STOP: Duration = Duration::from_millis(1_200);

/// Number of the last engine, of those that streams move to.
const LAST_TARGET: u8 = 3;

/// What became of a stream.
pub(crate) struct Played {
    /// How its engines treat it.
    pub(crate) play: Play,
    /// Id of its request.
    pub(crate) id: String,
    /// The body; `None` if it was broken off.
    pub(crate) body: Option<String>,
}

impl Played {
    /// Returns whether it is complete, with each piece once; comments are no pieces.
    pub(crate) fn is_whole(&self, events: u64) -> bool {
        let is_comment = |line: &&str| line.starts_with(':');
        let body = self.body.as_ref().map(|body| {
            let lines = body.split_inclusive('\n');
            lines.filter(|l| !is_comment(l)).collect::<String>()
        });
        body.as_deref() == Some(&*whole_stream(&self.id, events))
    }
}

/// Starts a site without standby copies: its runs are ordered to stop even while its store seems silent, as on a busy machine.
pub(crate) async fn site() -> Site {
    let mut site = Site::without_entries().await;
    site.without = "standby_copies";
    site.start_entries(1).await;
    site
}

/// Returns what is wrong with some streams, each with its play and runs; `is_good` judges one by its runs.
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

/// Builds the request for a stream whose prompt is shared by no other one, and too short for a backup.
fn request(site: &Site, path: &str, events: u64, id: &str) -> RequestBuilder {
    let part = 0xd000 + id[1..].parse::<u32>().unwrap();
    site.stream(0, path, events, id)
        .header("X-Token-Usage", "900,60")
        .header("X-Prompt-Prefix", format!("{part:x}:900"))
}

/// Streams that are being read.
pub(crate) type Reading = Vec<JoinHandle<Played>>;

/// Reads streams, one of each play and with so many events; their engines say that they leave once all streams were
/// requested. Engines that hold heads begin their answers at the time from which runs are stopped at once.
pub(crate) async fn play_all(site: &mut Site, path: &str, plays: &[(Play, u64)]) -> Vec<Played> {
    let reading = begin(site, path, plays).await;
    finish(reading).await
}

/// The same, until the first engines have said that they leave.
pub(crate) async fn begin(site: &mut Site, path: &str, plays: &[(Play, u64)]) -> Reading {
    let reading = plays
        .iter()
        .map(|(play, events)| read(site, path, *play, *events))
        .collect();
    until("the runs", || async {
        site.record.runs().len() >= plays.len()
    })
    .await;
    for number in 2..=LAST_TARGET {
        add_target(site, number).await;
    }
    for engine in 0..SOURCES {
        list(site, engine, "draining");
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
    reading
}

/// Reads a stream in a task of its own.
pub(crate) fn read(site: &Site, path: &str, play: Play, events: u64) -> JoinHandle<Played> {
    let id = site.id();
    site.record.play(&id, play);
    let req = request(site, path, events, &id);
    tokio::spawn(async move {
        let body = match req.send().await {
            Ok(answer) => answer.text().await.ok(),
            Err(_) => None,
        };
        Played { play, id, body }
    })
}

/// Starts an engine and waits until the entry knows it.
pub(crate) async fn add_target(site: &mut Site, number: u8) {
    site.add_engine(number).await;
    let came = format!("event=upstream_came instance=m-{number} ");
    until("the target", || async { site.log(0).contains(&came) }).await;
}

/// Waits until streams have ended.
pub(crate) async fn finish(reading: Reading) -> Vec<Played> {
    let mut played = Vec::new();
    for reading in reading {
        played.push(reading.await.unwrap());
    }
    played
}
