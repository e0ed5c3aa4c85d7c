//! Settings of a deployment whose upstreams announce themselves.

use insta::assert_snapshot;
use pimentotide::fleet::FleetSettings;

const ENTRY: &str = "role: entry\ninstance: i1\nzone: z1\nip: 10.1.0.40\nports: [7340, 7355]\n\
    seeds: [\"10.1.0.43:8229\"]\nlisten: {callers: \"10.1.0.40:8227\", ready: \"10.1.0.40:8220\"}\n\
    token: a-token-of-16-bytes\nunknown: [1, 2]\n";

#[test]
fn unknown_keys_are_ignored_and_addresses_are_derived() {
    let settings = FleetSettings::parse(ENTRY).unwrap();
    let derived = (
        settings.calls(),
        settings.beacons_at(settings.ip),
        settings.seed_calls(),
        settings.lease(),
    );
    assert_snapshot!(format!("{derived:#?}"));
}

#[test]
fn missing_and_invalid_settings_of_a_role_are_reported() {
    let invalid = [
        ENTRY.replace("callers: \"10.1.0.40:8227\", ", ""),
        ENTRY.replace("role: entry", "role: control"),
        ENTRY.replace("role: entry", "role: agent"),
        ENTRY.replace("role: entry", "role: cook"),
        ENTRY.replace("[7340, 7355]", "[7340]"),
        ENTRY.replace("a-token-of-16-bytes", "short"),
        ENTRY.replace("10.1.0.40:8227", "somewhere"),
    ];
    let errors: Vec<String> = invalid
        .iter()
        .map(|text| FleetSettings::parse(text).unwrap_err().to_string())
        .collect();
    assert_snapshot!(errors.join("\n"));
}
