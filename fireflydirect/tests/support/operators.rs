//! What a site shows its operators.

use super::Site;
use serde_json::Value;

impl Site {
    /// Returns the cause of a request's outcome that `fireflyctl explain` shows.
    pub(crate) fn cause(&self, id: &str) -> String {
        let texts: Vec<String> = (0..self.entries.len()).map(|e| self.log(e)).collect();
        let lines = texts.iter().flat_map(|t| t.lines());
        let lines = lines
            .filter_map(|l| fireflyctl::parse_line("entry", l))
            .collect();
        fireflyctl::build_timeline(lines, id).map_or_else(String::new, |s| s.cause)
    }

    /// Runs `fireflyctl` against an entry; returns its exit status and standard output.
    pub(crate) async fn run_fireflyctl(&self, entry: usize, args: &[&str]) -> (u8, String) {
        let node = self.entries[entry].operators.to_string();
        let first = ["fireflyctl", "--nodes", &node];
        let all = first.iter().chain(args);
        let all: Vec<String> = all.map(|a| (*a).to_owned()).collect();
        let run = move || {
            let (mut out, mut err) = (Vec::new(), Vec::new());
            let mut console = fireflyctl::Console {
                out: &mut out,
                err: &mut err,
            };
            let exit = fireflyctl::run(all, &mut console);
            (exit, String::from_utf8(out).unwrap())
        };
        tokio::task::spawn_blocking(run).await.unwrap()
    }

    /// Returns the status that an entry shows operators.
    pub(crate) async fn status(&self, entry: usize) -> Value {
        let (_, shown) = self
            .run_fireflyctl(entry, &["entries", "status", "--json"])
            .await;
        let shown: Value = serde_json::from_str(&shown).unwrap();
        shown[0]["entry"].clone()
    }
}
