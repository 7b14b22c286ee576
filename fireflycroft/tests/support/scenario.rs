//! Scenarios shared by a named case and the test of a seeded fault.

use super::fleet::{CallSpec, ENGINES, Proc};
use super::world::World;

/// The agent that runs a call is frozen before its first token; the call is
/// restarted on another agent, then the frozen agent's tokens arrive.
pub(crate) fn late_tokens_of_a_fenced_generation(world: &mut World) -> usize {
    let spec = CallSpec {
        content: 5,
        ..CallSpec::default()
    };
    let call = world.submit(0, spec).unwrap();
    world.advance(4);
    let frozen = world.agent_of(call).unwrap();
    world.freeze(Proc::Agent(frozen));
    // Its messages still arrive, but messages to it are lost.
    for other in (0..ENGINES).filter(|a| *a != frozen) {
        world.set_pause(other, 100);
    }
    world.advance_until(30_000, |w| w.runs(call) >= 2);
    world
        .net
        .cut(Proc::Entry(0).addr(), Proc::Agent(frozen).addr());
    world.advance(50);
    world.thaw(Proc::Agent(frozen));
    world.advance(1_000);
    call
}
