//! Validation of the settings of an entry VM, as the platform provides them.

use std::path::Path;

use valvestage_core::settings::{EntrySettings, RawEntrySettings};

const COMMON: &str = r#"
name = "front-1"
zone = "zone-a"
data_address = "10.0.0.1:8172"
ready_address = "10.0.0.1:8167"
control_address = "10.0.0.1:8166"
peer_port = 7720
seeds = ["10.0.0.1:8166", "10.0.0.2:8166"]
store_address = "10.0.9.1:8169"
stop_within_s = 6
"#;

fn read(further: &str) -> EntrySettings {
    let raw: RawEntrySettings = toml::from_str(&format!("{COMMON}{further}")).unwrap();

    EntrySettings::try_from((Path::new("entry.toml"), raw)).unwrap()
}

#[test]
fn zones_of_another_region_are_far() {
    let settings = read(
        "[zone_regions]\n\"zone-a\" = \"west\"\n\"zone-b\" = \"west\"\n\"zone-c\" = \"east\"\n",
    );

    assert_eq!(settings.other_region_zones, ["zone-c".to_owned()].into());
}

#[test]
fn without_regions_no_zone_is_far() {
    assert!(read("").other_region_zones.is_empty());
    assert!(read("[zone_regions]\n").other_region_zones.is_empty());
    // The region of the VM's own zone is unknown because the settings do not list that zone.
    assert!(read("[zone_regions]\nzone-b = \"west\"\n").other_region_zones.is_empty());
}

#[test]
fn zones_can_be_evacuated_where_the_settings_say_so() {
    assert!(!read("").has_evacuations);

    let settings = read("evacuations = true\n[zone_regions]\nzone-b = \"west\"\n");
    assert!(settings.has_evacuations);
    assert_eq!(settings.zones(), ["zone-a".to_owned(), "zone-b".to_owned()].into());
}

#[test]
fn cold_backend_servers_are_limited_where_the_settings_say_so() {
    assert!(read("").cold_limit.is_none());
    let limit = read("cold_over = 1.5\ncold_slack = 5\n").cold_limit.unwrap();
    assert!((limit.rate_factor - 1.5).abs() < 1e-9 && (limit.extra_rate - 5.0).abs() < 1e-9);

    for refused in ["cold_over = 0.0\n", "cold_over = 1e4\n", "cold_slack = -1.0\n"] {
        let raw: RawEntrySettings = toml::from_str(&format!("{COMMON}{refused}")).unwrap();
        assert!(EntrySettings::try_from((Path::new("entry.toml"), raw)).is_err(), "{refused}");
    }
}

#[test]
fn the_own_address_is_no_peer() {
    assert_eq!(read("").seeds, ["10.0.0.2:7720".parse().unwrap()]);
}

#[test]
fn a_link_has_the_speed_that_is_given_or_that_of_the_slowest() {
    assert_eq!(read("link_mbps = 200\n").link_mbps.to_bits(), 200.0_f64.to_bits());
    assert_eq!(read("").link_mbps.to_bits(), 10.0_f64.to_bits());

    let none = RawEntrySettings { link_mbps: Some(0.0), ..toml::from_str(COMMON).unwrap() };
    assert!(EntrySettings::try_from((Path::new("entry.toml"), none)).is_err());
}

#[test]
fn the_heartbeat_of_backend_servers_is_the_one_given_within_bounds() {
    assert_eq!(read("").heartbeat.as_millis(), 770);
    assert_eq!(read("heartbeat_ms = 2000\n").heartbeat.as_millis(), 2_000);

    for refused in [0, 99, 10_001] {
        let raw =
            RawEntrySettings { heartbeat_ms: Some(refused), ..toml::from_str(COMMON).unwrap() };
        let error = EntrySettings::try_from((Path::new("entry.toml"), raw)).unwrap_err();
        let text = error.to_string();
        assert!(text.contains("heartbeat_ms") && text.contains("100 to 10000"), "{text}");
    }
}
