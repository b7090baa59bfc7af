//! Checks that the source replacements listed for `scripts/ablate` still match the sources.

use std::fs;
use std::path::Path;

use serde::Deserialize;

#[derive(Deserialize)]
struct AblationList {
    mechanism: Vec<Variant>,
    constant: Vec<Variant>,
}

#[derive(Deserialize)]
struct Variant {
    name: String,
    file: String,
    find: String,
    replace: String,
    #[serde(default)]
    days: Vec<String>,
}

#[test]
fn every_change_fits_exactly_once_and_every_day_is_there() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let root = package.join("../..");
    let text = fs::read_to_string(root.join("scripts/ablation.toml")).unwrap();
    let list: AblationList = toml::from_str(&text).unwrap();

    // The first mechanism is the unchanged code.
    for variant in list.mechanism.iter().skip(1).chain(&list.constant) {
        let source = fs::read_to_string(package.join("src/steering").join(&variant.file)).unwrap();
        let Variant { name, find, replace, days, .. } = variant;
        assert_eq!(source.matches(find).count(), 1, "{name}");
        assert_ne!(find, replace, "{name}");
        for day in days {
            assert!(root.join(format!("deploy/days/{day}.toml")).exists(), "{name}: {day}");
        }
    }
}
