//! Guard against example documents and settings that the program rejects, or that don't describe
//! seven instances in three zones and ten organisations.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use oleanderpass_config::content::Content;
use oleanderpass_config::document::OrganisationClass;
use oleanderpass_config::document::parse_yaml;
use oleanderpass_config::promotion::diff;
use oleanderpass_proto::settings::Settings;
use oleanderpass_types::id::InstanceId;
use oleanderpass_types::id::ZoneId;
use test_case::test_case;

fn example(name: &str) -> PathBuf {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../examples").join(name)
}

fn text(name: &str) -> String {
    fs::read_to_string(example(name)).unwrap()
}

/// Return the document with its generation raised by 1.
fn promoted(name: &str) -> Content {
    let mut raw = parse_yaml(&text(name)).unwrap();
    raw.generation += 1;
    Content::from_raw(&raw).unwrap()
}

#[test_case("hallgrimsdottir", "skald", "bokhald")]
#[test_case("crestline", "lapping-llm", "workshop-app")]
fn documents_are_valid_and_differ_in_the_environment_only(name: &str, engine: &str, plain: &str) {
    let load = |file: &str| {
        Content::from_yaml(&text(&format!("{name}/{file}"))).unwrap_or_else(|e| panic!("{e}"))
    };
    let trial = load("trial.yaml");
    for document in [&trial.document, &load("production.yaml").document] {
        assert_eq!(document.environment.zones.len(), 3);
        assert_eq!(document.organisations.len(), 10);
        let classes = document.organisations.values().map(|o| o.class);
        assert_eq!(
            classes
                .filter(|class| *class == OrganisationClass::Large)
                .count(),
            3
        );
        let services: Vec<_> = document.services.keys().map(|id| id.as_str()).collect();
        assert_eq!(services, [engine, plain]);
        assert!(document.routes.values().any(|route| !route.idempotent));
    }
    let promotion = diff(&trial, &promoted(&format!("{name}/production.yaml"))).unwrap();
    assert!(!promotion.changes.is_empty());
    for change in &promotion.changes {
        assert_eq!(change.path[0], "environment", "{change}");
    }
}

#[test_case("hallgrimsdottir")]
#[test_case("crestline")]
fn settings_describe_seven_instances(name: &str) {
    let document = Content::from_yaml(&text(&format!("{name}/production.yaml")))
        .unwrap()
        .document;
    let mut instances = BTreeSet::new();
    let mut addrs = BTreeSet::new();
    let mut zones = BTreeSet::new();
    for entry in fs::read_dir(example(name).join("settings")).unwrap() {
        let path = entry.unwrap().path();
        let text = fs::read_to_string(&path).unwrap();
        let settings: Settings = serde_saphyr::from_str(&text).unwrap();
        let instance: InstanceId = settings.instance.parse().unwrap();
        assert_eq!(path.file_stem().unwrap().to_str(), Some(instance.as_str()));
        assert!(instances.insert(instance));
        let zone: ZoneId = settings.zone.parse().unwrap();
        assert!(document.environment.zones.contains(&zone));
        zones.insert(zone);
        for addr in [
            &settings.caller_addr,
            &settings.peer_addr,
            &settings.operator_addr,
        ] {
            assert!(addrs.insert(addr.parse::<SocketAddr>().unwrap()));
        }
        assert!(
            settings
                .seeds
                .iter()
                .all(|seed| seed.parse::<SocketAddr>().is_ok())
        );
    }
    assert_eq!((instances.len(), zones.len()), (7, 3));
}
