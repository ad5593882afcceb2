//! Configurations in the operator's format.

use crate::json::quoted;

/// A route of a configuration.
pub struct RouteSpec<'a> {
    pub hostname: &'a str,
    pub is_safe: bool,
    pub prefix: &'a str,
    pub service: &'a str,
}

/// Returns a version of the configuration.
pub fn config_text(version: u64, services: &[&str], routes: &[RouteSpec]) -> String {
    let mut resources: Vec<String> = Vec::new();
    for (index, route) in routes.iter().enumerate() {
        let kind = if route.is_safe { "safe" } else { "unsafe" };
        resources.push(format!(
            "{{\"resource_type\":\"routes\",\"metadata\":{{\"name\":\"r-{index}\"}},\"spec\":{{\
             \"hostname\":{},\"prefix\":{},\"route_type\":\"{kind}\",\"timeout_s\":3,\
             \"target_latency_s\":1,\"priority\":1,\"service\":{},\"max_attempts\":2}}}}",
            quoted(route.hostname),
            quoted(route.prefix),
            quoted(route.service)
        ));
    }
    for service in services {
        resources.push(format!(
            "{{\"resource_type\":\"services\",\"metadata\":{{\"name\":{}}},\"spec\":{{\
             \"health_path\":\"/health\",\"max_connections\":130,\"protocol\":\"h1\",\"tls\":false}}}}",
            quoted(service)
        ));
    }
    resources.push(
        "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}"
            .into(),
    );
    format!(
        "{{\"version\":{version},\"resources\":[{}]}}",
        resources.join(",")
    )
}
