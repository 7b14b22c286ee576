//! Entries that start with seeds that are all wrong, and find the others once their settings are right.

use super::Site;
use super::crashes::{until_acquainted, until_informed};

impl Site {
    /// Starts two more entries that don't know the first one, nor each other, and don't look for others in the store.
    pub(crate) async fn add_strangers(&mut self) {
        self.without = "discovery";
        self.add_entries_without_seeds().await;
    }

    /// Starts two more entries whose seeds don't answer.
    pub(crate) async fn add_entries_without_seeds(&mut self) {
        self.seeds = vec![240, 241];
        for last in [8, 9] {
            self.add_entry(last).await;
            until_informed(self, self.entries.len() - 1).await;
        }
    }

    /// Gives all entries the first one as a seed, and waits until they know each other.
    pub(crate) async fn correct_seeds(&mut self) {
        self.seeds = vec![1];
        for entry in &self.entries[1..] {
            self.write_settings(entry);
            entry.signal("HUP");
        }
        until_acquainted(self, self.entries.len()).await;
    }

    /// Returns a value among an entry's metrics, by its name and labels.
    pub(crate) async fn metric(&self, entry: usize, name: &str) -> f64 {
        let metrics = self.metrics(entry).await;
        let line = metrics.lines().find_map(|l| l.strip_prefix(name));
        line.unwrap().trim().parse().unwrap()
    }
}
