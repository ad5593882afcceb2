use std::{fmt::Write, net::SocketAddr};

use medlarspool_daemon::Settings;

use crate::{UpstreamSettings, loopback::free_address};

/// The fleet key of daemons that tests and benches start.
pub const FLEET_KEY: &str = "stand-in-fleet-key";

/// The operators' token of daemons that tests and benches start.
pub const OPERATOR_TOKEN: &str = "stand-in-operator-token";

/// The platform token of daemons that tests and benches start.
pub const PLATFORM_TOKEN: &str = "stand-in-platform-token";

/// The specification of a daemon that a test or bench starts.
#[derive(Clone, Debug)]
pub struct DaemonSpec {
    /// The daemon's availability zone.
    pub availability_zone: String,
    /// Further lines of the settings file in YAML, each with its line end.
    pub extra_settings: String,
    /// The daemon's instance.
    pub instance: String,
    /// The platform's address.
    pub platform_address: SocketAddr,
    /// The daemon's region.
    pub region: String,
    /// The upstream of the daemon's instance, if any. Its announcements address is replaced by that of the
    /// daemon; [`crate::ProcessDaemon`] also replaces its own address by a free one.
    pub upstream: Option<UpstreamSettings>,
}

impl DaemonSpec {
    /// Returns validated settings with free loopback addresses.
    ///
    /// # Errors
    ///
    /// Returns why the settings are refused.
    pub fn settings(&self) -> Result<Settings, String> {
        Settings::parse(&self.settings_yaml())
    }

    /// Returns the content of a settings file with free loopback addresses.
    #[must_use]
    pub fn settings_yaml(&self) -> String {
        let mut yaml = String::new();
        let addresses = [
            "administration_address",
            "announcements_address",
            "callers_address",
            "peers_address",
        ];
        for field in addresses {
            write_setting(&mut yaml, field, &free_address().to_string());
        }
        write_setting(&mut yaml, "availability_zone", &self.availability_zone);
        write_setting(&mut yaml, "fleet_key", FLEET_KEY);
        write_setting(&mut yaml, "instance", &self.instance);
        write_setting(&mut yaml, "operator_token", OPERATOR_TOKEN);
        write_setting(
            &mut yaml,
            "platform_address",
            &self.platform_address.to_string(),
        );
        write_setting(&mut yaml, "platform_token", PLATFORM_TOKEN);
        write_setting(&mut yaml, "region", &self.region);
        yaml.push_str(&self.extra_settings);
        yaml
    }
}

fn write_setting(yaml: &mut String, field: &str, value: &str) {
    writeln!(yaml, "{field}: \"{value}\"").expect("a string can be written to");
}
