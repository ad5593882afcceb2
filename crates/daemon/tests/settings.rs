//! The error about invalid settings names the line, the field and the value, and never shows a secret.

use medlarspool_daemon::Settings;
use rstest::rstest;

const VALID_SETTINGS: &str = "\
instance: karoo-1
availability_zone: za-1a
region: za-1
callers_address: 127.0.1.7:8080
peers_address: 127.0.1.7:8081
administration_address: 127.0.1.7:8082
announcements_address: 127.0.0.1:8083
platform_address: 127.0.0.5:7000
platform_token: secret-of-the-platform
operator_token: secret-of-the-operators
fleet_key: secret-of-the-whole-fleet
";

/// Returns the valid settings without the line of `field`, and with `line` added at the end.
fn settings_with(field: &str, line: &str) -> String {
    let is_other_field = |valid_line: &&str| !valid_line.starts_with(&format!("{field}:"));
    let other_lines: Vec<_> = VALID_SETTINGS.lines().filter(is_other_field).collect();
    format!("{}\n{line}\n", other_lines.join("\n"))
}

#[test]
fn valid_settings_are_accepted() {
    let settings = Settings::parse(VALID_SETTINGS).expect("valid");
    assert_eq!(settings.instance.as_str(), "karoo-1");
    assert_eq!(settings.drain_timeout.as_millis(), 30_000);
}

#[rstest]
#[case::broken_yaml("region", "region: [za-1", &["line 11"])]
#[case::duplicate("", "region: za-2", &["line 12", "`region`"])]
#[case::empty_token("operator_token", "operator_token: \"\"", &["line 11", "`operator_token`", "empty"])]
#[case::forbidden_character("region", "region: ZA 1", &["line 11", "`region`", "`ZA 1`"])]
#[case::host_name("callers_address", "callers_address: example:80", &["`callers_address`", "`example:80`"])]
#[case::missing("region", "", &["missing field `region`"])]
#[case::negative("", "drain_timeout_ms: -4", &["line 12", "`drain_timeout_ms`", "`-4`"])]
#[case::no_worker("", "worker_threads: 0", &["line 12", "`worker_threads`", "`0`"])]
#[case::short_key("fleet_key", "fleet_key: short-secret", &["line 11", "`fleet_key`", "16"])]
#[case::unknown_field("", "colour: red", &["line 12", "`colour`"])]
#[case::wrong_unit("", "drain_timeout_s: 3", &["line 12", "`drain_timeout_s`", "drain_timeout_ms"])]
#[case::wrong_unit_in_value("", "drain_timeout_ms: 3s", &["line 12", "`drain_timeout_ms`", "`3s`"])]
fn invalid_settings_are_refused(
    #[case] field: &str,
    #[case] line: &str,
    #[case] expected_parts: &[&str],
) {
    let error = Settings::parse(&settings_with(field, line)).expect_err("refused");
    for part in expected_parts {
        assert!(error.contains(part), "`{part}` is missing in: {error}");
    }
    assert!(!error.contains("secret"), "{error}");
}
