//! The engines of a fleet: their faults and what they ran.

use std::fs;

use serde_json::{Value, json};

use super::fleet::Fleet;
use super::wait::until;

impl Fleet {
    /// Multiplies the step time of all running engines by `factor`.
    pub async fn slow_engines(&mut self, factor: u32) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].process.is_alive() {
                let faults = json!({ "slow_factor": factor });
                self.post(&self.engines[engine], "/standin/faults", faults)
                    .await;
            }
        }
    }

    /// Replaces the software of an engine, which keeps its streams.
    pub async fn upgrade_engine(&self, engine: usize, version: &str) {
        self.engine_faults(engine, json!({ "software_version": version }))
            .await;
    }

    /// Sets the injected faults of an engine.
    pub async fn engine_faults(&self, engine: usize, faults: Value) {
        self.post(&self.engines[engine], "/standin/faults", faults)
            .await;
    }

    /// Cancels the generation that began last at an engine, without an order from its agent.
    pub async fn cancel_at_engine(&self, engine: usize) {
        let events = self.engine_log(engine);
        let started = events.iter().rfind(|e| e["event"] == "started").unwrap();
        let id = started["stream_id"].as_str().unwrap();
        let path = format!("/v1/streams/{id}/cancel");
        self.post(&self.engines[engine], &path, Value::Null).await;
    }

    /// Returns the tokens in an engine's memory, as of a moment ago.
    pub async fn engine_tokens(&self, engine: usize) -> u64 {
        let url = format!("{}/v1/load", self.engines[engine].url());
        let res = self.http.get(url).send().await.unwrap();
        let load: Value = res.json().await.unwrap();
        load["used_tokens"].as_u64().unwrap()
    }

    fn engine_log(&self, engine: usize) -> Vec<Value> {
        let log = fs::read_to_string(&self.engines[engine].run_log).unwrap();
        let events = log.lines().map(serde_json::from_str);
        // The last line may be in writing.
        events.filter_map(Result::ok).collect()
    }

    /// Waits for a generation with that mark; returns the index of the engine on
    /// which the latest one started.
    pub async fn engine_of(&self, mark: &str) -> usize {
        until(&format!("{mark} began"), || {
            std::future::ready(!self.runs().log_indexes(mark).is_empty())
        })
        .await;
        self.runs().log_indexes(mark)[0]
    }
}
