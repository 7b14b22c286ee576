//! Records of a soak's engines in the store, by the engines themselves and by strangers.

use crate::soak_parts::faults::{Soak, Undo};
use standins::site::EngineKind;
use std::time::Instant;

impl Soak {
    pub(super) async fn write_own_record(&mut self, engine: usize) {
        let instance = self.site.engines[engine].instance();
        let now = Instant::now();
        for (of, _, to) in &mut self.evidence.overwritten {
            if *of == instance {
                *to = now.min(*to);
            }
        }
        self.site.register(EngineKind::Model, engine, "ready").await;
    }

    /// Overwrites the record of an engine, which rewrites its own at `end`.
    pub(super) fn overwrite_record(&mut self, engine: usize, pick: usize, end: Instant) {
        let instance = self.site.engines[engine].instance();
        let mut foreign = self.site.engines[engine].registration("models", "ready");
        match pick % 4 {
            0 => foreign["state"] = "asleep".into(),
            1 => {
                foreign["service"] = self.foreign_service.into();
                // A stranger's own start, later than the engine's.
                foreign["born"] = (self.site.engines[engine].born() + 60_000).into();
            }
            2 => foreign["born"] = "yesterday".into(),
            _ => foreign = "nothing".into(),
        }
        self.site.store.put("servers", &instance, &foreign);
        self.end_serving(engine);
        let span = (instance, Instant::now(), end);
        self.evidence.overwritten.push(span);
        self.pending_undos.push((end, Undo::OwnRecord(engine)));
    }

    /// Upstreams and the operator rewrite what the snapshot may lack; records of gone ones expire.
    pub(super) async fn rewrite_records(&mut self) {
        for engine in self.active_engines() {
            self.write_own_record(engine).await;
        }
        let departed: Vec<(usize, bool)> = self.announced.iter().map(|(e, a)| (*e, *a)).collect();
        for (engine, announced) in departed {
            if announced && self.serves_on(engine) {
                self.site
                    .register(EngineKind::Model, engine, "draining")
                    .await;
            } else {
                let instance = self.site.engines[engine].instance();
                self.site.store.remove("servers", &instance);
            }
        }
        self.publish_among_strangers(&[]);
    }
}
