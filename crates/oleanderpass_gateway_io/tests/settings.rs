//! Check how the settings of an instance are parsed.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use oleanderpass_gateway::cold::ColdBound;
use oleanderpass_gateway_io::settings::Settings;
use test_case::test_case;

const VALID: &str = "instance: edge-hafnir-1
zone: hafnir
ip: 10.1.0.40
caller_addr: 10.1.0.40:8227
readiness_addr: 10.1.0.40:8220
metrics_port: 9464
peer_port: 7340
seeds: 10.1.0.40:8229,10.2.0.29:8229
store_addr: 10.200.1.7:8223
stop_time_s: 8
retry_ratio: 0.2
retry_slack: 102
reservation_max_ms: 20000
";

/// Guards against contacting peers on the wrong port, and an instance contacting itself.
#[test]
fn seeds_are_contacted_on_the_peer_port() {
    let settings = Settings::parse(VALID).unwrap();
    assert_eq!(settings.seeds, ["10.2.0.29:7340".parse().unwrap()]);
    assert_eq!(settings.metrics_addr, "10.1.0.40:9464".parse().unwrap());
}

/// Guards against an instance without seeds that can't start.
#[test]
fn seeds_may_be_empty() {
    let text = VALID.replace("seeds: 10.1.0.40:8229,10.2.0.29:8229", "seeds: \"\"");
    assert!(Settings::parse(&text).unwrap().seeds.is_empty());
}

/// Guards against an instance that can't start, or that uses more memory than it has, because the
/// size of its memory is a fraction or missing.
#[test_case("", 160 << 20; "missing")]
#[test_case("memory_mb: 260\n", 260 << 20; "whole")]
#[test_case("memory_mb: 320.5\n", 641 << 19; "a fraction")]
fn size_of_the_memory_may_be_missing_or_a_fraction(line: &str, bytes: u64) {
    let settings = Settings::parse(&format!("{VALID}{line}")).unwrap();
    assert_eq!(settings.memory.get(), bytes);
}

/// Guards against an instance that can't start because its number of file descriptors is missing,
/// and against one that starts with too few to serve.
#[test_case("", Some(4_100); "missing")]
#[test_case("max_fds: 8192\n", Some(8_192); "given")]
#[test_case("max_fds: 2050.5\n", Some(2_050); "a fraction")]
#[test_case("max_fds: 63\n", None; "too few")]
fn descriptors_may_be_missing(line: &str, expected: Option<u64>) {
    let settings = Settings::parse(&format!("{VALID}{line}"));
    assert_eq!(settings.map(|settings| settings.max_fds).ok(), expected);
}

/// Guards against instances that don't start, because the platform scales a bound to the size of the
/// fleet.
#[test]
fn bound_on_retries_may_be_a_fraction() {
    let text = VALID.replace("retry_slack: 102", "retry_slack: 34.73684210526316");
    let settings = Settings::parse(&text).unwrap();
    assert_eq!(settings.bounds.retry_slack, 34);
}

/// Guards against instances that don't start where the platform names no bounds on evacuations and
/// cold servers, or whose bounds are misread where it does.
#[test_case(
    "evacuate_ms: \ncold_overrun: \ncold_slack: \nzone_regions: \n",
    0,
    1.0,
    0.0,
    0
)]
#[test_case(
    "evacuate_ms: 5000\ncold_overrun: 1.5\ncold_slack: 5\nzone_regions: {\"hafnir\":\"south\"}\n",
    5_000,
    1.5,
    5.0,
    1
)]
fn bounds_of_a_deployment_may_be_missing(
    lines: &str,
    evacuation_ms: u64,
    overrun: f64,
    slack: f64,
    regions: usize,
) {
    let settings = Settings::parse(&format!("{VALID}{lines}")).unwrap();
    assert_eq!(settings.bounds.evacuation.get(), evacuation_ms);
    assert_eq!(settings.bounds.cold, ColdBound { overrun, slack });
    assert_eq!(settings.zone_regions.len(), regions);
}

/// Guards against an instance that doesn't start beside a platform or a template of another build:
/// the one knows a field that the other doesn't.
#[test_case("first_start: {{FirstStart|json}}\n", &["first_start"]; "unknown and unfilled")]
#[test_case("first_start: true\n", &["first_start"]; "unknown")]
#[test_case("later:\n  - {a: 1}\n", &["later"]; "unknown and nested")]
#[test_case("evacuate_ms: {{Bounds.EvacuateMs}}\n", &["evacuate_ms"]; "unfilled")]
#[test_case("zone_regions: {{Zones|json}}\n", &["zone_regions"]; "unfilled table")]
fn unknown_and_unfilled_settings_are_ignored(lines: &str, ignored: &[&str]) {
    let settings = Settings::parse(&format!("{VALID}{lines}")).unwrap();
    assert_eq!(settings.ignored, ignored);
    let expected = Settings::parse(VALID).unwrap();
    assert_eq!(
        Settings {
            ignored: Vec::new(),
            ..settings
        },
        expected
    );
}

/// Guards against a template of which one field, left unfilled, keeps instances from starting without
/// an error that names it.
#[test]
fn each_field_of_the_template_may_be_unfilled_or_is_named() {
    let template = include_str!("../../../deploy/gateway.yaml");
    for line in template.lines() {
        let (key, _) = line.split_once(':').unwrap();
        if !line.contains("{{") {
            continue;
        }
        let other: String = VALID
            .lines()
            .filter(|valid| !valid.starts_with(&format!("{key}:")))
            .fold(String::new(), |text, valid| text + valid + "\n");
        match Settings::parse(&format!("{other}{line}\n")) {
            Ok(settings) => assert_eq!(settings.ignored, [key]),
            Err(error) => {
                let text = format!("{error:#}");
                assert!(text.contains(key), "{text} doesn't name {key}");
            }
        }
    }
}

/// Guards against instances that don't start because the platform leaves a bound empty, which belongs
/// to matters that aren't open there, and against one that is misspelled and in force unnoticed.
#[test_case("stop_time_s: 8\n", "stop_time_s", ""; "missing time to stop")]
#[test_case("stop_time_s: 8\n", "stop_time_s", "stop_time: 8\n"; "misspelled time to stop")]
#[test_case("retry_ratio: 0.2\n", "retry_ratio", "retry_ratio:\n"; "empty ratio")]
#[test_case("retry_slack: 102\n", "retry_slack", "retry_slack: \"\"\n"; "empty slack")]
fn missing_bounds_have_defaults_and_are_named(line: &str, key: &str, instead: &str) {
    let settings = Settings::parse(&VALID.replace(line, instead)).unwrap();
    assert_eq!(settings.defaulted, [key]);
    let misspelled = instead.starts_with("stop_time:").then_some("stop_time");
    assert_eq!(settings.ignored, Vec::from_iter(misspelled));
}

/// Guards against bounds that are misread where the platform writes whole numbers as fractions, and
/// against a bound on leases of zero where it names none.
#[test]
fn bounds_may_be_fractions_or_without_limit() {
    let text = VALID
        .replace("_s: 8", "_s: 8.5")
        .replace("20000", "20000.0");
    let settings = Settings::parse(&text).unwrap();
    assert_eq!(settings.stop_time.get(), 8_500);
    assert_eq!(settings.reservation_max.get(), 20_000);
    let text = VALID.replace("reservation_max_ms: 20000", "reservation_max_ms:");
    let settings = Settings::parse(&text).unwrap();
    assert_eq!(settings.reservation_max.get(), u64::MAX);
}

/// Guards against an error that doesn't say which setting is wrong.
#[test_case("zone: hafnir", "zone: \"a b\"", "zone")]
#[test_case("10.2.0.29:8229", "10.2.0.29", "10.2.0.29")]
#[test_case("retry_ratio: 0.2", "retry_ratio: 7", "retry_ratio")]
#[test_case("stop_time_s: 8", "stop_time_s: 0", "stop_time_s")]
#[test_case("caller_addr:", "caller_address:", "caller_addr")]
#[test_case("caller_addr: 10.1.0.40:8227", "caller_addr: 10.1.0.40", "caller_addr")]
#[test_case("ip: 10.1.0.40", "ip: 10.1.0", "ip")]
#[test_case("stop_time_s: 8", "stop_time_s: soon", "stop_time_s")]
#[test_case("retry_slack: 102", "retry_slack: -1", "retry_slack")]
#[test_case("stop_time_s: 8", "stop_time_s: 8\ncold_overrun: 0.5", "cold_overrun")]
#[test_case("stop_time_s: 8", "stop_time_s: 8\ncold_slack: -2", "cold_slack")]
#[test_case("peer_port: 7340\n", "", "peer_port")]
#[test_case("stop_time_s: 8", "stop_time_s: 8\nmemory_mb: -1", "memory_mb")]
fn error_names_the_wrong_setting(from: &str, to: &str, named: &str) {
    let error = Settings::parse(&VALID.replace(from, to)).unwrap_err();
    let text = format!("{error:#}");
    assert!(text.contains(named), "{text}");
}
