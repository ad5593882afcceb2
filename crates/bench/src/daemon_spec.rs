use std::{fmt::Write, net::SocketAddr};

use medlarspool_daemon::Settings;

use crate::{UpstreamSettings, loopback::free_address};

/// The key of stand-in fleets.
pub const FLEET_KEY: &str = "stand-in-fleet-key";

/// The operators' token of stand-in fleets.
pub const OPERATOR_TOKEN: &str = "stand-in-operator-token";

/// The platform's token of stand-in fleets.
pub const PLATFORM_TOKEN: &str = "stand-in-platform-token";

/// What one daemon of a stand-in fleet is to be.
#[derive(Clone, Debug)]
pub struct DaemonSpec {
    /// Its availability zone.
    pub availability_zone: String,
    /// Further lines of its settings.
    pub extra_settings: String,
    /// Its instance.
    pub instance: String,
    /// Where it reaches the platform.
    pub platform_address: SocketAddr,
    /// Its region.
    pub region: String,
    /// The upstream beside it.
    pub upstream: Option<UpstreamSettings>,
}

impl DaemonSpec {
    /// Returns checked settings on free addresses.
    ///
    /// # Errors
    ///
    /// Returns why the settings are refused.
    pub fn settings(&self) -> Result<Settings, String> {
        Settings::parse(&self.settings_yaml())
    }

    /// Returns a settings file on free addresses.
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
