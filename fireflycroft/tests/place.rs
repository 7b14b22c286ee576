//! Placement of models on simulated engines that carry out every order.

use fireflycroft::{
    EngineView, IdSource, Incarnation, Name, Order, OrderKind, Peer, PlacementLimits, Placer, Role,
    Time,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use std::collections::HashMap;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(500);

fn engine(i: usize, loaded: &[&str]) -> EngineView {
    EngineView {
        agent: Peer {
            name: Name::from(format!("agent-{i}")),
            addr: ([127, 0, 0, 1], 7_000).into(),
            incarnation: Incarnation(1),
            role: Role::Agent,
        },
        loaded: loaded.iter().map(|m| Name::from(*m)).collect(),
        running: 0,
    }
}

fn wanted(list: &[(&str, u32)]) -> Vec<(Name, u32)> {
    list.iter().map(|(m, n)| (Name::from(*m), *n)).collect()
}

/// Engines that carry out each order at once.
struct SimulatedEngines {
    placer: Placer,
    engines: Vec<EngineView>,
    ids: IdSource,
    now: Time,
    loads: Vec<Time>,
}

impl SimulatedEngines {
    fn new(engines: Vec<EngineView>) -> Self {
        Self {
            placer: Placer::new(PlacementLimits::default()),
            engines,
            ids: IdSource::new([7; 32]),
            now: Time::from_millis(1),
            loads: Vec::new(),
        }
    }

    fn tick(&mut self, fence: Option<u64>, wanted: &[(Name, u32)]) -> Option<(Peer, Order)> {
        self.now = self.now + STEP;
        self.placer
            .on_tick(self.now, fence, wanted, &self.engines, &mut self.ids)
    }

    fn run(&mut self, wanted: &[(Name, u32)], ticks: usize) {
        for _ in 0..ticks {
            if let Some((agent, order)) = self.tick(Some(1), wanted) {
                self.execute(&agent, &order);
            }
        }
    }

    fn execute(&mut self, agent: &Peer, order: &Order) {
        let engine = self.engines.iter_mut().find(|e| e.agent == *agent).unwrap();
        match order.kind {
            OrderKind::Load => {
                engine.loaded.push(order.model.clone());
                self.loads.push(self.now);
            }
            OrderKind::Unload => {
                assert_eq!(engine.running, 0, "a model was unloaded from a busy engine");
                engine.loaded.retain(|m| *m != order.model);
            }
        }
        assert!(self.placer.on_order_done(self.now, order.id, true));
    }

    fn counts(&self) -> HashMap<Name, u32> {
        let mut counts = HashMap::new();
        for model in self.engines.iter().flat_map(|e| &e.loaded) {
            *counts.entry(model.clone()).or_default() += 1;
        }
        counts
    }
}

macro_rules! cases {
    ($($name:ident: $body:block)+) => {
        $(#[test]
        fn $name() $body)+
    };
}

cases! {
    without_the_lease_nothing_is_ordered: {
        let mut fleet = SimulatedEngines::new(vec![engine(0, &[])]);
        let wanted = wanted(&[("model-a", 1)]);
        assert!((0..100).all(|_| fleet.tick(None, &wanted).is_none()));
    }

    a_new_holder_waits_out_the_gap: {
        let mut fleet = SimulatedEngines::new(vec![engine(0, &[])]);
        let wanted = wanted(&[("model-a", 1)]);
        let gap = PlacementLimits::default().load_gap;
        let ticks = usize::try_from(gap.as_millis() / STEP.as_millis()).unwrap();
        assert!((0..ticks).all(|_| fleet.tick(Some(1), &wanted).is_none()));
        assert!(fleet.tick(Some(1), &wanted).is_some());
    }

    an_unanswered_order_is_sent_again_as_a_copy: {
        let mut fleet = SimulatedEngines::new(vec![engine(0, &[])]);
        let wanted = wanted(&[("model-a", 1)]);
        let sent: Vec<Order> = (0..60).filter_map(|_| fleet.tick(Some(1), &wanted)).map(|(_, o)| o).collect();
        assert!(sent.len() > 2);
        assert!(sent.iter().all(|o| *o == sent[0]));
    }

    a_refusing_engine_is_left_out_for_a_while: {
        let mut fleet = SimulatedEngines::new(vec![engine(0, &[]), engine(1, &["model-b"])]);
        let wanted = wanted(&[("model-a", 1), ("model-b", 1)]);
        let (first, order) = (0..60).find_map(|_| fleet.tick(Some(1), &wanted)).unwrap();
        fleet.placer.on_order_done(fleet.now, order.id, false);
        let (second, _) = (0..20).find_map(|_| fleet.tick(Some(1), &wanted)).unwrap();
        assert_ne!(first.name, second.name);
    }

    an_engine_whose_record_lags_is_not_ordered_twice: {
        let mut fleet = SimulatedEngines::new(vec![engine(0, &["old"])]);
        let nothing = wanted(&[]);
        let (_, order) = (0..60).find_map(|_| fleet.tick(Some(1), &nothing)).unwrap();
        fleet.placer.on_order_done(fleet.now, order.id, true);
        // The view still shows the state before the order.
        assert!((0..9).all(|_| fleet.tick(Some(1), &nothing).is_none()));
    }

    an_engine_that_runs_is_not_emptied: {
        let mut busy = engine(0, &["model-old"]);
        busy.running = 3;
        let mut fleet = SimulatedEngines::new(vec![busy]);
        fleet.run(&wanted(&[("model-a", 1)]), 200);
        assert!(fleet.counts().contains_key("model-old"));
    }

    an_unlisted_model_is_unloaded_for_a_wanted_one: {
        let mut fleet = SimulatedEngines::new(vec![engine(0, &["old-1", "old-2"])]);
        fleet.run(&wanted(&[("model-a", 1)]), 200);
        assert_eq!(fleet.counts().get("model-a"), Some(&1));
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(6),
        ..Config::default()
    })]

    /// Replicas that fit are placed from any initial state, and loads keep the gap.
    #[test]
    fn wanted_replicas_that_fit_are_placed(
        engines in 1_usize..8,
        a in 0_u32..6,
        b in 0_u32..6,
        held in prop::collection::vec(prop::sample::subsequence(vec!["a", "b", "old"], 0..=2), 8),
    ) {
        let a = a.min(u32::try_from(engines).unwrap());
        let b = b.min(u32::try_from(engines).unwrap());
        let views = (0..engines).map(|i| engine(i, &held[i])).collect();
        let mut fleet = SimulatedEngines::new(views);
        fleet.run(&wanted(&[("a", a), ("b", b)]), 600);
        let counts = fleet.counts();
        let count = |m: &str| counts.get(m).copied().unwrap_or(0);
        prop_assert!(count("a") >= a, "a: {counts:?}");
        prop_assert!(count("b") >= b, "b: {counts:?}");
        prop_assert_eq!(count("old"), 0);
        for pair in fleet.loads.windows(2) {
            prop_assert!(pair[1].since(pair[0]) >= PlacementLimits::default().load_gap);
        }
    }
}
