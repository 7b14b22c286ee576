//! Tests of the load tool.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::listener;
use standins::Running;
use standins::engine;
use standins::load::{self, Class, ClassRecord, Config, Mix, Record, arrivals};

cases! {
    engines_straight => engines_straight();
    refusals_by_code => refusals_by_code();
    nobody_there => nobody_there();
    answers_cut_by_a_crash => answers_cut();
    run_ends_with_answers_open => run_ends();
    report_of_a_record => report();
}

/// Speed-up factor of the engines.
const SCALE: f64 = 50.0;

async fn engine() -> Running {
    let cfg = engine::Config {
        time_scale: SCALE,
        ..engine::Config::default()
    };
    engine::serve(cfg, listener().await).unwrap()
}

fn config(targets: &[&Running]) -> Config {
    Config {
        targets: targets.iter().map(|running| running.url()).collect(),
        straight: true,
        mix: Mix::built_in("celje").unwrap(),
        rate: 2.0,
        duration: Duration::from_secs(20),
        drain: Duration::from_secs(10_000),
        time_scale: SCALE,
        seed: 7,
    }
}

/// Returns the sum of a field over both classes.
fn sum(record: &Record, field: impl Fn(&ClassRecord) -> u64) -> u64 {
    record.classes.values().map(field).sum()
}

async fn engines_straight() {
    let (first, second) = (engine().await, engine().await);
    let cfg = config(&[&first, &second]);
    let planned = arrivals(&cfg.mix, cfg.rate, cfg.duration, cfg.seed);
    let tokens: Vec<_> = planned.map(|arrival| arrival.output_tokens).collect();
    let record = load::run(cfg.clone()).await.unwrap();
    assert_eq!(sum(&record, |class| class.complete), tokens.len() as u64);
    assert_eq!(sum(&record, |class| class.with_usage), tokens.len() as u64);
    assert_eq!(
        sum(&record, |class| class.tokens),
        tokens.iter().sum::<u64>()
    );
    assert_eq!(
        sum(&record, |class| ClassRecord::total(&class.violations)),
        0
    );
    assert_eq!(sum(&record, |class| class.wasted_tokens), 0);
    assert_eq!(record.settings.seed, cfg.seed);
}

async fn refusals_by_code() {
    let running = engine().await;
    let mut cfg = config(&[&running]);
    cfg.mix.model = Arc::from("other");
    let record = load::run(cfg).await.unwrap();
    for class in record.classes.values() {
        assert!(class.sent > 0);
        assert_eq!(class.refused["404"], class.sent);
        assert_eq!(class.stall_ms.count, 0);
    }
}

async fn nobody_there() {
    let running = engine().await;
    let cfg = config(&[&running]);
    running.kill().await;
    let record = load::run(cfg).await.unwrap();
    for class in record.classes.values() {
        assert_eq!(class.failed["connect"], class.sent);
    }
}

async fn answers_cut() {
    let mut running = engine().await;
    let cfg = Config {
        rate: 20.0,
        ..config(&[&running])
    };
    let run = tokio::spawn(load::run(cfg));
    common::until(|| async {
        let load = common::get(format!("{}/v1/load", running.url())).await.1;
        load["running"].as_u64() > Some(4)
    })
    .await;
    crash(&running.url()).await;
    common::soon(running.stopped()).await;
    let record = run.await.unwrap().unwrap();
    assert!(sum(&record, |class| ClassRecord::total(&class.broken)) > 0);
    assert!(sum(&record, |class| class.wasted_tokens) > 0);
    assert_eq!(
        sum(&record, |class| ClassRecord::total(&class.violations)),
        0
    );
}

/// Crashes the engine with a request of higher priority than all others.
async fn crash(url: &str) {
    let body = serde_json::json!({
        "model": "small",
        "messages": [{ "role": "user", "content": "[[crash]]" }],
        "priority": 100,
    });
    let req = reqwest::Client::new().post(format!("{url}/v1/chat/completions"));
    assert!(common::soon(req.json(&body).send()).await.is_err());
}

async fn run_ends() {
    let running = engine().await;
    let mut cfg = Config {
        drain: Duration::ZERO,
        ..config(&[&running])
    };
    for kind in &mut cfg.mix.kinds {
        kind.output.median = 50_000.0;
        kind.output.max = 50_000;
    }
    let record = load::run(cfg).await.unwrap();
    let sent = sum(&record, |class| class.sent);
    assert!(sent > 0);
    assert_eq!(sum(&record, |class| class.unfinished), sent);
}

async fn report() {
    let running = engine().await;
    let record = load::run(config(&[&running])).await.unwrap();
    let json = serde_json::to_string(&record).unwrap();
    let read: Record = serde_json::from_str(&json).unwrap();
    let records = [("one".to_owned(), read)];
    let table = load::table(&records);
    assert_eq!(table.lines().count(), 1 + Class::ALL.len());
    let path = std::env::temp_dir().join(format!("standins-{}.svg", std::process::id()));
    load::draw(&records, &path).unwrap();
    let svg = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(svg.contains("</svg>") && svg.contains("one interactive"));
}
