//! Guard against a digest that differs between instances or program versions, a delta chain over
//! its bound, and a zone with another number of readers than intended.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

use oleanderpass_config::content::Content;
use oleanderpass_config::delta;
use oleanderpass_config::delta::DeltaChain;
use oleanderpass_config::delta::MAX_CHAIN_BYTES;
use oleanderpass_config::readers::choose_readers;
use oleanderpass_config::readers::is_reader;
use oleanderpass_config::version::Version;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::InstanceId;

/// Guards against a digest that depends on the order of keys in the text, and against one that
/// changes because a newer program version writes default values. The feature `preserve_order` of
/// `serde_json` would keep the order of the text.
#[test]
fn canonical_json_has_sorted_keys_and_no_defaults() {
    let one = "generation: 3\nenvironment: {zones: [b, a], name: x}\ndefaults: {timeout_ms: 0}\n";
    let two = "environment:\n  name: x\n  zones:\n  - b\n  - a\ngeneration: 3\nmodels: []\n";
    let one = Content::from_yaml(one).unwrap();
    let two = Content::from_yaml(two).unwrap();
    assert_eq!(one.version(), two.version());
    let json = std::str::from_utf8(&one.canonical).unwrap();
    assert_eq!(
        json,
        r#"{"environment":{"name":"x","zones":["b","a"]},"generation":3}"#
    );
    let unsorted: serde_json::Value = serde_json::from_str(r#"{"b":1,"a":2}"#).unwrap();
    assert_eq!(unsorted.to_string(), r#"{"a":2,"b":1}"#);
}

/// Guards against a canonical form that changes when a peer parses and serializes it.
#[test]
fn canonical_json_is_its_own_canonical_form() {
    let yaml = "generation: 3\nenvironment: {zones: [a], name: x}\n";
    let content = Content::from_yaml(yaml).unwrap();
    let again = Content::from_json(&content.canonical).unwrap();
    assert_eq!(content.canonical, again.canonical);
    assert_eq!(content.version(), again.version());
}

/// Guards against a delta from the chain that doesn't lead to the next document.
#[test]
fn applied_delta_gives_the_next_document() {
    let from = Content::from_yaml("generation: 3\nenvironment: {zones: [a], name: x}\n").unwrap();
    let to = Content::from_yaml("generation: 4\nenvironment: {zones: [a, b], name: y}\n").unwrap();
    let patch = delta::diff(&from.canonical, &to.canonical).unwrap();
    let mut chain = DeltaChain::default();
    chain.push(from.version(), to.version(), patch);
    let deltas = chain.since(from.version());
    let json = delta::apply(&from.canonical, &deltas).unwrap();
    assert_eq!(json, &*to.canonical);
}

/// Guards against a delta chain that grows without bound.
#[test]
fn delta_chain_keeps_its_bound() {
    let version = |number| Version {
        generation: Generation::new(number),
        digest: Digest([0; 32]),
    };
    let mut chain = DeltaChain::default();
    for number in 0..100 {
        chain.push(version(number), version(number + 1), vec![0; 10_000]);
        assert!(chain.bytes() <= MAX_CHAIN_BYTES);
    }
    assert_eq!(chain.since(version(0)).len(), 0);
    assert_eq!(chain.since(version(80)).len(), 20);
    chain.push(version(100), version(101), vec![0; MAX_CHAIN_BYTES + 1]);
    assert_eq!(chain.bytes(), 0);
}

/// Guards against a zone with too few readers, and against the only instance of a zone not being a
/// reader.
#[test]
fn each_zone_has_two_readers() {
    let zone: Vec<InstanceId> = (0..52)
        .map(|n| format!("entry-{n}").parse().unwrap())
        .collect();
    let chosen: Vec<_> = zone
        .iter()
        .filter(|me| is_reader(me, &zone))
        .cloned()
        .collect();
    assert_eq!(chosen.len(), 2);
    assert!(
        choose_readers(&zone)
            .iter()
            .all(|reader| chosen.contains(reader))
    );
    assert!(is_reader(&zone[0], []));
}
