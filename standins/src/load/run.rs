//! Runs the load: sends requests on schedule and adds up their outcomes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::call::{Body, Call, End, Message, Outcome};
use super::meter::Meter;
use super::mix::{Class, Mix};
use super::plan::{Arrival, arrivals};
use super::progress::Progress;
use super::prompt;
use super::record::{Record, Settings, WorkspaceRecord};
use super::tally::Tally;
use crate::clock::wait_until;

/// Path of chat completions.
const COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// Limit on the answer length in requests, in tokens.
const MAX_TOKENS: u64 = 16_384;

/// Priority of interactive requests sent directly to engines.
const INTERACTIVE_PRIORITY: i64 = 10;

/// Priority of batch requests sent directly to engines.
const BATCH_PRIORITY: i64 = 0;

/// Settings of a run. Times are simulated.
#[derive(Clone, Debug)]
pub struct Config {
    /// Base URLs of the targets, used in turn.
    pub targets: Vec<String>,
    /// Whether the targets are engines, which take priorities instead of classes.
    pub straight: bool,
    /// Request mix.
    pub mix: Mix,
    /// Requests per second.
    pub rate: f64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Time to wait for answers in progress after `duration`.
    pub drain: Duration,
    /// Speed-up factor of simulated time over real time.
    pub time_scale: f64,
    /// Seed of the arrival process.
    pub seed: u64,
}

/// Results by workspace so far.
type WorkspaceRecords = BTreeMap<Arc<str>, WorkspaceRecord>;

/// State shared by the requests of a run.
struct Run {
    cfg: Config,
    client: Client,
    progress: Progress,
    start: Instant,
    deadline: Instant,
}

/// Runs the load to its end and returns the record.
///
/// # Errors
///
/// Fails without targets, when the HTTP client or a histogram can't be created, or
/// when the task of a request panics.
pub async fn run(cfg: Config) -> anyhow::Result<Record> {
    anyhow::ensure!(!cfg.targets.is_empty(), "no target given");
    let run = Arc::new(Run::new(cfg)?);
    let mut background = JoinSet::new();
    let shared = Arc::clone(&run);
    background.spawn(async move { shared.progress.report().await });
    let (tallies, workspaces) = run.send_all().await?;
    let duration = run.cfg.duration;
    Ok(Record {
        settings: run.settings(),
        classes: tallies
            .into_iter()
            .map(|(class, tally)| (class, tally.into_record(duration)))
            .collect(),
        workspaces,
    })
}

impl Run {
    fn new(cfg: Config) -> anyhow::Result<Self> {
        let client = Client::builder().tcp_nodelay(true).build();
        let start = Instant::now();
        let end = (cfg.duration + cfg.drain).div_f64(cfg.time_scale);
        Ok(Self {
            client: client.context("can't create the HTTP client")?,
            progress: Progress::default(),
            start,
            deadline: start + end,
            cfg,
        })
    }

    /// Sends each request at its scheduled time and adds up the outcomes by class and
    /// by workspace.
    async fn send_all(
        self: &Arc<Self>,
    ) -> anyhow::Result<(BTreeMap<Class, Tally>, WorkspaceRecords)> {
        let mut tallies = BTreeMap::new();
        let mut workspaces = WorkspaceRecords::new();
        for class in Class::ALL {
            tallies.insert(class, Tally::new()?);
        }
        let mut calls = JoinSet::new();
        let cfg = &self.cfg;
        for arrival in arrivals(&cfg.mix, cfg.rate, cfg.duration, cfg.seed) {
            wait_until(self.scheduled_at(&arrival)).await;
            self.progress.add_sent();
            let run = Arc::clone(self);
            calls.spawn(async move { (arrival, run.send_request(&arrival).await) });
            while let Some(done) = calls.try_join_next() {
                self.add_outcome(&mut tallies, &mut workspaces, &done?);
            }
        }
        while let Some(done) = calls.join_next().await {
            self.add_outcome(&mut tallies, &mut workspaces, &done?);
        }
        Ok((tallies, workspaces))
    }

    async fn send_request(&self, arrival: &Arrival) -> Outcome {
        let class = self.cfg.mix.kinds[arrival.kind].class;
        let goal = self.cfg.mix.goal(class);
        let meter = Meter::new(goal, self.cfg.time_scale, self.scheduled_at(arrival));
        let call = self.build_call(arrival);
        let outcome = call.run(&self.client, meter, &self.progress).await;
        self.progress.add_end(&outcome.end);
        outcome
    }

    fn add_outcome(
        &self,
        tallies: &mut BTreeMap<Class, Tally>,
        workspaces: &mut WorkspaceRecords,
        (arrival, outcome): &(Arrival, Outcome),
    ) {
        let mix = &self.cfg.mix;
        if let Some(tally) = tallies.get_mut(&mix.kinds[arrival.kind].class) {
            tally.add(outcome);
        }
        let name = Arc::clone(&mix.workspaces[arrival.workspace].name);
        let workspace = workspaces.entry(name).or_default();
        workspace.sent += 1;
        if outcome.end == End::Complete {
            workspace.complete += 1;
            workspace.good += u64::from(outcome.meter.met_goal());
        }
    }

    fn build_call(&self, arrival: &Arrival) -> Call {
        let mix = &self.cfg.mix;
        let mark = format!("{}-{}", self.cfg.seed, arrival.number);
        Call {
            url: format!("{}{COMPLETIONS_PATH}", self.target(arrival.number)),
            key: mix.workspaces[arrival.workspace].key.to_string(),
            body: self.build_body(arrival, &mark),
            mark,
            output_tokens: arrival.output_tokens,
            deadline: self.deadline,
        }
    }

    fn build_body(&self, arrival: &Arrival, mark: &str) -> Body {
        let mix = &self.cfg.mix;
        let kind = &mix.kinds[arrival.kind];
        let system = Message {
            role: "system",
            content: prompt::shared_prefix(mix, arrival),
        };
        let user = Message {
            role: "user",
            content: prompt::user_prompt(kind, arrival, mark),
        };
        Body {
            model: mix.model.to_string(),
            messages: [system, user],
            max_tokens: MAX_TOKENS,
            stream: true,
            priority_class: (!self.cfg.straight).then_some(kind.class),
            priority: self.cfg.straight.then(|| engine_priority(kind.class)),
        }
    }

    fn target(&self, number: u64) -> &str {
        let targets = &self.cfg.targets;
        let index = number % targets.len() as u64;
        let index = usize::try_from(index).unwrap_or_default();
        targets[index].trim_end_matches('/')
    }

    /// Returns the scheduled arrival of a request in real time.
    fn scheduled_at(&self, arrival: &Arrival) -> Instant {
        self.start + arrival.at.div_f64(self.cfg.time_scale)
    }

    fn settings(&self) -> Settings {
        let cfg = &self.cfg;
        let goals = Class::ALL.map(|class| (class, cfg.mix.goal(class)));
        Settings {
            targets: cfg.targets.clone(),
            straight: cfg.straight,
            mix: Arc::clone(&cfg.mix.name),
            rate: cfg.rate,
            duration_s: cfg.duration.as_secs_f64(),
            time_scale: cfg.time_scale,
            seed: cfg.seed,
            goals: goals.into(),
        }
    }
}

fn engine_priority(class: Class) -> i64 {
    match class {
        Class::Interactive => INTERACTIVE_PRIORITY,
        Class::Batch => BATCH_PRIORITY,
    }
}
