//! Bounds of what a process reads from the fleet, by the memory of its VM.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::max_fleet_answer;

const MB: usize = 1 << 20;

cases! {
    answer_may_take_an_eighth_of_the_memory => assert_eq!(max_fleet_answer(Some(512 << 20)), 64 * MB);
    small_vm_reads_some_pages_of_a_list => assert_eq!(max_fleet_answer(Some(1 << 20)), 4 * MB);
    memory_that_is_not_known_has_a_bound => assert_eq!(max_fleet_answer(None), 32 * MB);
}
