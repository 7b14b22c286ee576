//! Report of a soak that broke a guarantee, and figures from logs.

use crate::soak_parts::plan::Step;
use crate::support::Site;
use standins::site::Breach;

/// Lists the fault plan, and the runs and log lines of each request concerned.
pub(crate) fn report(name: &str, steps: &[Step], breaches: &[Breach], site: &Site) -> String {
    let mut lines = vec![format!(
        "{name}: rerun with scripts/soak and the number of the seed"
    )];
    lines.extend(steps.iter().map(|s| format!("  {s:?}")));
    for breach in breaches {
        let name = format!("{breach}");
        let id = name.split('"').nth(1).unwrap_or_default();
        lines.push(name.clone());
        lines.push(format!("  {:#?}", site.record.runs_of(id)));
        let marks = [format!("req={id} "), format!("req={id}-")];
        for entry in 0..site.entries.len() {
            let log = site.log(entry);
            let of_request = log.lines().filter(|l| marks.iter().any(|m| l.contains(m)));
            lines.extend(of_request.map(|l| format!("  {l}")));
        }
    }
    lines.join("\n")
}

/// Returns the number of streams in logs that ended by themselves though their last upstream was ordered to stop them.
pub(crate) fn ended_beside_orders(logs: &[String]) -> usize {
    let lines = logs.iter().flat_map(|log| log.lines());
    let ended = lines.filter(|l| l.contains(" event=stream_ended "));
    ended.filter(|l| !l.contains(" stop_order=none ")).count()
}
