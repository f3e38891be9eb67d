//! Settings: all problems are reported at once with their positions, and flags override the file.

use ladderstage::bundle::BundleKey;
use ladderstage_daemon::settings::{Flags, Settings, SettingsError};
use proptest::prelude::*;

fn valid_settings() -> String {
    let key = BundleKey::from_secret("operators", &[7; 32]).public_hex();
    format!(
        r#"node = "bergen-a-1"
zone = "bergen-a"
region = "vestland"
http_listen = "127.0.0.1:8080"
peer_listen = "127.0.0.1:7400"
data_folder = "data"
key_value = ["http://127.0.0.1:2379"]
machine_list = "http://127.0.0.1:9000"
initial_replicas = ["bergen-a-1", "bergen-b-1", "forde-1"]
[trusted_keys]
operators = "{key}"
[timing]
probe_interval_ms = 400
"#
    )
}

fn finding_positions(text: &str) -> Vec<(u32, u32)> {
    let findings = Settings::parse("s.toml", text, &Flags::default()).unwrap_err();
    findings
        .iter()
        .map(|finding| (finding.line, finding.column))
        .collect()
}

#[test]
fn valid_settings_are_read_and_overridden_by_flags() {
    let settings = Settings::parse("s.toml", &valid_settings(), &Flags::default()).unwrap();
    assert_eq!(settings.timing.probe_interval_ms, 400);
    assert_eq!(settings.timing.probe_timeout_ms, 250);
    assert_eq!(settings.initial_replicas.len(), 3);
    let flags = Flags {
        zone: Some("forde".to_owned()),
        http_listen: Some("127.0.0.1:0".parse().unwrap()),
        key_value: vec!["http://127.0.0.2:2379".to_owned()],
        ..Flags::default()
    };
    let text = valid_settings().replace("zone = \"bergen-a\"\n", "");
    let settings = Settings::parse("s.toml", &text, &flags).unwrap();
    assert_eq!(
        (settings.zone.as_str(), settings.http_listen.port()),
        ("forde", 0)
    );
    assert_eq!(settings.key_value, ["http://127.0.0.2:2379"]);
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = valid_settings()
        .replace("node = \"bergen-a-1\"", "nod = \"bergen-a-1\"")
        .replace("127.0.0.1:8080", "localhost:8080")
        .replace("http://127.0.0.1:2379", "https://127.0.0.1:2379")
        .replace("\"forde-1\"", "\"bergen-b-1\"")
        .replace("operators = \"", "operators = \"0")
        .replace("= 400", "= 0");
    let expected = [
        (1, 1),
        (1, 1),
        (4, 15),
        (7, 14),
        (9, 49),
        (11, 13),
        (13, 21),
    ];
    assert_eq!(finding_positions(&text), expected);
    let text = valid_settings()
        .replace("127.0.0.1:7400", "127.0.0.1:8080")
        .replace("data_folder = \"data\"\n", "")
        .replace("= 400", "= 200");
    assert_eq!(finding_positions(&text), [(5, 15), (8, 20), (11, 1)]);
}

#[test]
fn a_missing_file_is_reported_with_its_path() {
    let path = std::path::Path::new("/nonexistent/settings.toml");
    let error = Settings::load(Some(path), &Flags::default()).unwrap_err();
    assert!(matches!(error, SettingsError::Unreadable { .. }));
    assert!(error.to_string().contains("/nonexistent/settings.toml"));
    let error = Settings::load(None, &Flags::default()).unwrap_err();
    assert!(error.to_string().contains("no key `node`"));
}

proptest! {
    #[test]
    fn damaged_settings_never_panic(position in 0..400_usize, inserted in "[\\[\\]=\"\n0-9a-z.{},]{0,6}") {
        let mut text = valid_settings();
        text.insert_str(position.min(text.len()), &inserted);
        let _ = Settings::parse("s.toml", &text, &Flags::default());
    }
}
