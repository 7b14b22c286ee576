//! Adoption of the operator's configuration, from the store or another entry.
//!
//! One object of the store is the configuration; drafts, copies and whatever else is kept beside it
//! count for nothing, even if they hold a valid configuration, and even if another entry took one of
//! them for it. Versions only grow: the configuration is adopted if its version is higher than the
//! active one's, whoever sends it and whenever it was written.

use crate::node::Node;
use fireflycroft::Catalog;
use fireflycroft_platform::{StoreObject, is_configuration, read_catalog};
use std::rc::Rc;

impl Node {
    /// Adopts the configuration if it is newer than the active one; returns false for an object that is unreadable or
    /// another one.
    pub fn adopt_config(&self, object: &StoreObject, source: &str) -> bool {
        if !is_configuration(object) {
            self.log_passed_over(object, source);
            return false;
        }
        let catalog = match read_catalog(object.content.get()) {
            Ok(catalog) => catalog,
            Err(e) => {
                let why = e.to_string();
                self.metrics.record_unreadable("config", 1);
                log::error!(
                    event = "config_unreadable", source = source, error = why,
                    name = &*object.name, revision = object.revision;
                    ""
                );
                return false;
            }
        };
        let was = self.config_version();
        if catalog.version() <= was && was != 0 {
            self.log_kept(object, &catalog, source);
            return true;
        }
        log::info!(
            event = "config_adopted", source = source, version = catalog.version(), was = was,
            routes = catalog.route_count(), name = &*object.name, revision = object.revision,
            was_revision = self.configs.borrow().revision();
            ""
        );
        self.activate_config(catalog, object);
        true
    }

    /// Logs an object that isn't the configuration, once for each of its revisions.
    fn log_passed_over(&self, object: &StoreObject, source: &str) {
        if self.configs.borrow_mut().record_passed_over(object) {
            log::warn!(
                event = "config_passed_over", source = source, version = self.config_version(),
                name = &*object.name, revision = object.revision;
                ""
            );
        }
    }

    /// Logs a configuration written after the active one that has no higher version.
    fn log_kept(&self, object: &StoreObject, offered: &Catalog, source: &str) {
        let held = self.configs.borrow().revision();
        if object.revision > held {
            log::warn!(
                event = "config_kept", source = source, version = self.config_version(),
                offered = offered.version(), name = &*object.name, revision = object.revision,
                was_revision = held;
                ""
            );
        }
    }

    fn activate_config(&self, catalog: Catalog, object: &StoreObject) {
        for service in catalog.services() {
            let memory = service.engine.map(|e| e.memory_tokens);
            let mut pool = self.pool.borrow_mut();
            pool.set_memory(&service.name, memory);
            pool.set_cold_rate(&service.name, service.cold_rate);
        }
        let now = self.now();
        let services = catalog.services().iter().map(|s| s.name.clone());
        let changes = self.pool.borrow_mut().set_services(now, services);
        self.apply_pool_changes(changes, "config");
        let replaced = self.catalog.borrow_mut().replace(Rc::new(catalog));
        if let (Some(old), Some(new)) = (replaced, self.catalog.borrow().as_ref()) {
            self.route_changes.borrow_mut().record(now, &old, new);
        }
        self.configs.borrow_mut().activate(now, object.clone());
        self.config_adopted_at.set(Some(now));
        self.routing_changed.notify_waiters();
        self.announce_now.notify_one();
    }
}
