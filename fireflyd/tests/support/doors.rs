//! A fleet whose upstreams stand behind doors that answer with given bytes.

use standins::trouble::{Door, Trouble};

use super::{Fleet, Spec};

/// A fleet whose upstreams stand behind doors.
pub struct Doors {
    /// The fleet: an entry, an engine and a plain service.
    pub fleet: Fleet,
    /// Door to the engine.
    pub engine: Door,
    /// Door to the plain service.
    pub plain: Door,
}

impl Doors {
    /// Starts the fleet; requests of the trouble's kind get it from either upstream.
    pub async fn open(trouble: Trouble) -> Self {
        let mut fleet = Fleet::start(Spec {
            engines: 1,
            entries: 1,
            plain: true,
            daemon_flags: vec!["--plain-timeout-ms", "3000"],
            daemon_env: vec![("FIREFLYD_MEMORY_MB", "64")],
            ..Spec::default()
        })
        .await;
        let engine = Door::open(fleet.engines[0].addr, trouble.clone())
            .await
            .unwrap();
        let records = fleet.plain.as_ref().unwrap().addr;
        let plain = Door::open(records, trouble).await.unwrap();
        for agent in &mut fleet.agents {
            agent.process.kill();
        }
        fleet.agents = vec![
            fleet.start_engine_agent(0, &engine.url()),
            fleet.start_plain_agent(&plain.url()),
        ];
        fleet.await_ready().await;
        Self {
            fleet,
            engine,
            plain,
        }
    }

    /// Replaces the trouble of both.
    pub fn set(&self, trouble: &Trouble) {
        self.engine.set(trouble.clone());
        self.plain.set(trouble.clone());
    }
}
