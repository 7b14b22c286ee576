//! Configurations that the operator of a site publishes.

use super::{BASE_ROUTES, Site};
use serde_json::{Value, json};

impl Site {
    /// Publishes the next configuration version, with these keys for `brand-a`.
    pub(crate) fn publish(&mut self, keys: &[&str]) {
        self.publish_routes(keys, &[]);
    }

    /// Publishes the next configuration version with additional routes, each a name and a prefix.
    pub(crate) fn publish_routes(&mut self, keys: &[&str], more: &[(&str, &str)]) {
        self.version += 1;
        let mut routes = vec![
            route("log", "/log/", "streaming", "models", false, 1),
            route(
                "grade",
                "/grade/",
                self.grade_kind,
                self.grade_service,
                true,
                self.grade_attempts,
            ),
            route("file", "/file/", "unsafe", "records", false, 1),
            route("fetch", "/fetch/", "safe", "records", false, 2),
        ];
        assert_eq!(routes.len(), BASE_ROUTES);
        let added = more
            .iter()
            .map(|(name, prefix)| route(name, prefix, "safe", "records", false, 2));
        routes.extend(added);
        routes[0]["target_latency_ms"] = json!(self.log_objective_ms);
        routes[1]["timeout_ms"] = json!(self.grade_timeout_ms);
        for route in &mut routes[2..BASE_ROUTES] {
            route["timeout_ms"] = json!(self.plain_timeout_ms);
        }
        for route in &mut routes {
            route["allowed_regions"] = json!(self.route_homes);
        }
        let engine = json!({"slots": 8, "kv_capacity_tokens": 20_000, "moves": true,
            "backups": true, "stride": 4});
        let models = |name| {
            json!({"name": name, "max_connections": 100, "engine": engine,
                "cold_per_s": self.cold_per_s})
        };
        let mut services = vec![
            models("models"),
            json!({"name": "records", "max_connections": 100}),
        ];
        if self.grade_service != "models" {
            services.push(models(self.grade_service));
        }
        let config = json!({
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": self.body_limit,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
            "tenants": [{"name": "brand-a", "api_keys": keys, "priority": 1,
                "allowed_regions": self.workspace_homes}],
        });
        self.store.put("config", "main", &config);
        self.published = config;
    }

    /// Returns the published configuration as an entry hands it out.
    pub(crate) fn whole_config(&self) -> Value {
        let object =
            json!({"name": "main", "revision": u64::from(u32::MAX), "content": self.published});
        json!({"Whole": object})
    }
}

fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    resumable: bool,
    attempts: u32,
) -> Value {
    json!({"name": name, "host": "site.example", "path_prefix": prefix, "kind": kind,
        "timeout_ms": 20_000, "target_latency_ms": 1_500, "priority": 1, "service": service,
        "max_attempts": attempts, "public": false, "resumable": resumable})
}
