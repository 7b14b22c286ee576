//! Placement of long generations on engines of two speeds.
//!
//! A quarter of the engines takes 0.55 of the usual time for a token, the others 1.2 of it, and all slow down
//! at unpredictable times. On a slow engine a prompt that is read at such a time delays events of the other
//! answers beyond their objective; on a fast one it doesn't.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

#[path = "support/pools.rs"]
mod pools;

use fireflycroft::{Name, Need, Pool, Time, UpstreamIx};
use pools::{at, record};
use std::time::Duration;

cases! {
    long_generations_run_where_no_event_is_late => few_are_held_up(&[0.55, 1.2, 1.2, 1.2], 270);
    engines_of_one_speed_share_all => fill_is_even();
}

/// Number of engines; the first of each four is fast.
const ENGINES: usize = 40;

/// Memory of an engine in tokens.
const MEMORY: u64 = 27_000;

/// Tokens of a long generation: its prompt and its answer.
const PROMPT: u64 = 3_000;
const ANSWER: u32 = 750;

/// Time for a token on an engine of the usual speed.
const TOKEN: Duration = Duration::from_millis(9);

/// Gap between arrivals.
const GAP: Duration = Duration::from_millis(50);

/// Number of counted arrivals, after as many for warm-up.
const COUNTED: usize = 1_200;

struct Run {
    engine: UpstreamIx,
    need: Need,
    ends: Time,
}

/// Returns the time for an answer on an engine of a speed.
fn answer_takes(speed: f64) -> Duration {
    (TOKEN * ANSWER).mul_f64(speed)
}

/// Engines, their speeds by number, and the running generations.
struct Service {
    pool: Pool,
    runs: Vec<Run>,
    speeds: Vec<f64>,
    drawn: u64,
}

impl Service {
    fn new(speeds: &[f64]) -> Self {
        let mut pool = Pool::new(Name::from("dc"));
        for i in 0..ENGINES {
            pool.upsert(at(0), record(&format!("e{i}"), 1 + i as u64));
        }
        pool.set_memory(&Name::from("models"), Some(MEMORY));
        let speeds = speeds.iter().cycle().take(ENGINES);
        Self {
            pool,
            runs: Vec::new(),
            speeds: speeds.copied().collect(),
            drawn: 0,
        }
    }

    fn speed(&self, engine: UpstreamIx) -> f64 {
        let instance = &self.pool.record(engine).instance;
        let number: usize = instance[1..].parse().unwrap();
        self.speeds[number]
    }

    fn end_runs(&mut self, now: Time) {
        let (ended, running) = self.runs.drain(..).partition(|run| run.ends <= now);
        self.runs = running;
        let ended: Vec<Run> = ended;
        for run in ended {
            let span = answer_takes(self.speed(run.engine));
            self.pool.record_pace(run.engine, ANSWER.into(), span);
            self.pool.release(run.engine, &run.need);
        }
    }

    /// Places the next generation and returns the speed of its engine.
    fn arrive(&mut self, now: Time) -> f64 {
        self.end_runs(now);
        self.drawn = self.drawn.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let need = Need {
            tokens: PROMPT + u64::from(ANSWER),
            prompt: PROMPT,
            draw: self.drawn,
            ..Need::default()
        };
        let engine = self.pool.choose(now, "models", &need, &[]).unwrap();
        self.pool.place(now, engine, &need);
        let speed = self.speed(engine);
        let ends = now + answer_takes(speed);
        self.runs.push(Run { engine, need, ends });
        speed
    }

    fn fullest(&self, now: Time) -> f64 {
        let all = self.pool.indices().into_iter();
        all.map(|ix| self.pool.memory_share(now, ix))
            .fold(0.0, f64::max)
    }
}

/// Checks that at most `allowed` in a thousand of [`COUNTED`] generations run on slow engines, the overflow
/// of the fast ones at three quarters of their memory, and that no engine runs out of memory.
fn few_are_held_up(speeds: &[f64], allowed: usize) {
    let mut service = Service::new(speeds);
    let mut slow = 0;
    for i in 0..2 * COUNTED {
        let now = at(0) + GAP.saturating_mul(u32::try_from(i).unwrap());
        let speed = service.arrive(now);
        slow += usize::from(i >= COUNTED && speed > 1.0);
        assert!(service.fullest(now) <= 1.0);
    }
    let share = slow * 1_000 / COUNTED;
    assert!(share <= allowed, "{share} in a thousand on slow engines");
}

fn fill_is_even() {
    let mut service = Service::new(&[1.0]);
    for i in 0..COUNTED {
        let now = at(0) + GAP.saturating_mul(u32::try_from(i).unwrap());
        service.arrive(now);
    }
    let now = at(60_000);
    assert!(service.fullest(now) <= 0.85, "{}", service.fullest(now));
}
