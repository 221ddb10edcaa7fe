//! Test which listed backend servers may get new work.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::backend::AnnouncedState;
use oleanderpass_gateway::backend::Announcement;
use oleanderpass_gateway::registry::RECOVERY_GRACE;
use oleanderpass_gateway::registry::Registry;
use oleanderpass_gateway::registry::Standing;
use oleanderpass_gateway::registry::VANISHED_GRACE;
use oleanderpass_gateway::store::StorePosition;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;

use crate::common::at;
use crate::common::server;

fn id(text: &str) -> BackendServerId {
    text.parse().unwrap()
}

fn listed(servers: &[&str]) -> Registry {
    let mut registry = Registry::default();
    let list = servers
        .iter()
        .zip(1..)
        .map(|(name, number)| (id(name), 5.into(), Some(server(name, "engines", 1, number))))
        .collect();
    registry.apply_list(at(0), 10, list);
    registry
}

fn update(registry: &mut Registry, now: Timestamp, revision: u64, entry: Announcement) {
    let mut changes = Vec::new();
    registry.apply_entry(now, entry.id.clone(), revision, Some(entry), &mut changes);
}

fn usable(registry: &Registry, now: Timestamp) -> Vec<String> {
    let service = "engines".parse().unwrap();
    registry
        .usable(now, &service)
        .map(|(_, backend)| backend.announcement.id.to_string())
        .collect()
}

/// Guards against new work for a draining server, also if an older entry of it arrives later.
#[test]
fn draining_server_gets_no_new_work() {
    let mut registry = listed(&["a", "b"]);
    let mut draining = server("a", "engines", 1, 1);
    draining.state = AnnouncedState::Draining;
    update(&mut registry, at(0), 20, draining);
    assert_eq!(usable(&registry, at(0)), ["b"]);
    update(&mut registry, at(10), 15, server("a", "engines", 1, 1));
    assert_eq!(usable(&registry, at(10)), ["b"]);
    update(&mut registry, at(20), 25, server("a", "engines", 1, 1));
    assert_eq!(
        usable(&registry, at(20)),
        ["b"],
        "the same incarnation gets new work again"
    );
    update(&mut registry, at(30), 30, server("a", "engines", 2, 1));
    assert_eq!(
        usable(&registry, at(30)).len(),
        2,
        "a new incarnation gets no new work"
    );
}

/// Guards against having no server at all when entries expire together, and against work for a
/// server that has been gone for longer than leaving servers still serve.
#[test]
fn vanished_server_is_a_last_resort_for_a_second() {
    let mut registry = listed(&["a", "b"]);
    let mut changes = Vec::new();
    registry.apply_removal(at(0), id("a"), 20, &mut changes);
    let standing = registry
        .iter()
        .find(|(_, b)| b.announcement.id == id("a"))
        .unwrap()
        .1
        .standing;
    assert_eq!(standing, Standing::LastResort(at(0) + VANISHED_GRACE));
    assert_eq!(usable(&registry, at(900)).len(), 2);
    assert_eq!(usable(&registry, at(1_000)), ["b"]);
    registry.tick(at(1_000), &mut changes);
    assert_eq!(registry.iter().count(), 1);
}

/// Guards against an empty list after an outage of the store in which all entries expired.
#[test]
fn expired_entries_serve_until_they_can_be_listed_again() {
    let mut registry = listed(&["a", "b"]);
    registry.on_store_recovered(at(5_000));
    registry.apply_list(at(5_000), 40, Vec::new());
    assert_eq!(usable(&registry, at(5_000)).len(), 2);
    update(&mut registry, at(6_500), 45, server("a", "engines", 1, 1));
    let end = at(5_000) + RECOVERY_GRACE;
    assert_eq!(usable(&registry, end + Millis::new(1)), ["a"]);
}

/// Guards against sending a request to an address that now belongs to another server.
#[test]
fn reused_address_belongs_to_the_new_server() {
    let mut registry = listed(&["a", "b"]);
    update(&mut registry, at(0), 20, server("c", "plain", 1, 1));
    assert_eq!(usable(&registry, at(0)), ["b"]);
}

/// Guards against an old list that removes a server or lists it again.
#[test]
fn older_list_changes_nothing() {
    let mut registry = listed(&["a"]);
    update(&mut registry, at(0), 20, server("b", "engines", 1, 2));
    registry.apply_list(
        at(0),
        12,
        vec![(id("a"), 5.into(), Some(server("a", "engines", 1, 1)))],
    );
    assert_eq!(usable(&registry, at(0)).len(), 2);
    let mut changes = Vec::new();
    registry.apply_removal(at(0), id("b"), 15, &mut changes);
    assert_eq!(usable(&registry, at(0)).len(), 2);
}

/// Guards against a malformed entry after which the previous server is still used.
#[test]
fn malformed_entry_removes_the_server() {
    let mut registry = listed(&["a", "b"]);
    let mut changes = Vec::new();
    registry.apply_entry(at(0), id("a"), 20, None, &mut changes);
    assert_eq!(usable(&registry, at(0)), ["b"]);
}

/// Guards against an older state of the list that overrides a peer's report.
#[test]
fn peer_report_of_a_leaving_server_stays_in_force() {
    let mut registry = listed(&["a", "b"]);
    let mut changes = Vec::new();
    let key = server("a", "engines", 1, 1).key();
    registry.on_leaving(at(0), key, &mut changes);
    assert_eq!(changes.len(), 1);
    update(&mut registry, at(10), 20, server("a", "engines", 1, 1));
    assert_eq!(usable(&registry, at(10)), ["b"]);
}

fn restored(registry: &mut Registry, now: Timestamp, list: &[(&str, u64, Announcement)]) {
    let list = list.iter().map(|(name, revision, entry)| {
        let position = StorePosition::new(2, *revision);
        (id(name), position, Some(entry.clone()))
    });
    registry.apply_list(now, StorePosition::new(2, 9), list.collect());
}

/// Guards against new work for a server that drained, because the store was restored from a copy
/// from before.
#[test]
fn drained_server_is_not_listed_again_by_an_older_copy() {
    let mut registry = listed(&["a", "b"]);
    let mut draining = server("a", "engines", 1, 1);
    draining.state = AnnouncedState::Draining;
    update(&mut registry, at(0), 20, draining);
    let mut changes = Vec::new();
    registry.apply_removal(at(2_000), id("a"), 21, &mut changes);
    let list = [
        ("a", 5, server("a", "engines", 1, 1)),
        ("b", 6, server("b", "engines", 1, 2)),
    ];
    restored(&mut registry, at(60_000), &list);
    assert_eq!(usable(&registry, at(60_000)), ["b"]);
}

/// Guards against dropping a server for the one that had its address before, because a restored
/// list has both.
#[test]
fn latest_entry_of_an_address_counts_in_a_restored_list() {
    let mut registry = listed(&["b"]);
    let list = [
        ("new", 8, server("new", "engines", 1, 3)),
        ("old", 7, server("old", "plain", 1, 3)),
    ];
    restored(&mut registry, at(0), &list);
    assert!(usable(&registry, at(0)).contains(&"new".to_owned()));
}

/// Guards against an empty list after a restore from a copy from before the servers started.
#[test]
fn entries_lost_by_a_restore_serve_until_they_can_be_listed_again() {
    let mut registry = Registry::default();
    let list = vec![(
        id("a"),
        StorePosition::new(1, 20),
        Some(server("a", "engines", 1, 1)),
    )];
    registry.apply_list(at(0), StorePosition::new(1, 20), list);
    restored(&mut registry, at(5_000), &[]);
    assert_eq!(usable(&registry, at(6_900)), ["a"]);
    assert!(usable(&registry, at(5_000) + RECOVERY_GRACE).is_empty());
}
