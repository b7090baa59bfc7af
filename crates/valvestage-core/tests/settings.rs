//! The example settings are valid, and an error names the file, the key and the accepted values.

use std::fs;
use std::path::{Path, PathBuf};

use valvestage_core::CoreError;
use valvestage_core::settings::{BalancerSettings, DeploymentSettings, OperatorSettings};

fn examples(deployment: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings").join(deployment)
}

#[test]
fn the_examples_of_both_deployments_are_right() {
    for (deployment, zones, slots) in [("bzh-ouest", 3, 3), ("rs-sul", 4, 2)] {
        let folder = examples(deployment);

        let mut seen = Vec::new();
        for id in 1..=8 {
            let settings =
                BalancerSettings::read(&folder.join(format!("balancer-{id}.toml"))).unwrap();
            assert_eq!((settings.id, settings.peers.len()), (id, 7));
            seen.push(settings.zone);
        }
        seen.sort();
        seen.dedup();
        assert_eq!(seen.len(), zones);

        OperatorSettings::read(&folder.join("operator.toml")).unwrap();
        let known = DeploymentSettings::read(&folder.join("deployment.toml")).unwrap();
        let sizes: Vec<_> = known.services.iter().map(|s| (s.backends.len(), s.slots)).collect();
        assert_eq!(sizes, [(14, slots), (4, slots)]);
        assert!(known.services.iter().all(|service| service.connections == 2_000));
    }
}

/// Reads the first example with one line replaced, and returns the error text.
fn error_with(line: &str, replacement: &str) -> String {
    let text = fs::read_to_string(examples("bzh-ouest").join("balancer-1.toml")).unwrap();
    assert!(text.contains(line), "{line} is not in the example");
    let name = format!("valvestage-settings-{}-{}.toml", std::process::id(), replacement.len());
    let file = std::env::temp_dir().join(name);
    fs::write(&file, text.replacen(line, replacement, 1)).unwrap();

    let error = BalancerSettings::read(&file).unwrap_err();
    fs::remove_file(&file).unwrap();
    assert!(error.to_string().contains(&file.display().to_string()), "{error}");
    error.to_string()
}

#[test]
fn an_error_names_the_file_the_key_the_value_and_what_is_accepted() {
    let cases = [
        ("zone = \"brest-a\"\n", "zone = \"\"\n", "zone", "availability zone"),
        ("log_format = \"json\"", "log_format = \"xml\"", "xml", "\"text\" or \"json\""),
        ("log_format", "heartbeat_ms = 5\nlog_format", "heartbeat_ms = 5", "50 to 10000"),
        ("log_format", "dead_after_ms = 400\nlog_format", "dead_after_ms = 400", "three times"),
        ("log_format", "lease_ms = 900 \nlog_format", "lease_ms = 900", "at least 1000"),
        ("log_format", "max_deadline_ms = 7\nlog_format", "max_deadline_ms = 7", "1000 to 60000"),
        ("id = 2", "id = 3  ", "peers.id = 3", "each id once"),
    ];

    for (line, replacement, value, accepted) in cases {
        let error = error_with(line, replacement);
        assert!(error.contains(value) && error.contains(accepted), "{error}");
    }
}

#[test]
fn an_unknown_key_is_refused_by_name() {
    let error = error_with("log_format", "hearbeat_ms = 300\nlog_format");

    assert!(error.contains("hearbeat_ms"), "{error}");
}

#[test]
fn a_missing_file_is_named() {
    let error = BalancerSettings::read(Path::new("nowhere.toml")).unwrap_err();

    assert!(matches!(error, CoreError::Unreadable { .. }));
    assert!(error.to_string().contains("nowhere.toml"));
}
